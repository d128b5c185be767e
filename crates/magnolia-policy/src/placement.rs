//! Placement: which task starts on which worker, and which attempts are preempted.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, JobId, JobSpec, Millis, RackName, ResourceVector, TaskIndex, TaskRef, WorkerId,
};

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerCondition {
    /// Takes new tasks.
    Usable,
    /// Did not answer the last call, or its present process has not accepted the epoch of the owner
    /// yet; may still run tasks.
    Unavailable,
    /// Is about to leave or was removed from the inventory; its services are moved to other workers
    /// first.
    Leaving,
}

/// A worker as the owner of its partition knows it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackName,
    /// Its total resources.
    pub capacity: ResourceVector,
    /// Whether it takes new tasks.
    pub condition: WorkerCondition,
}

/// A job with waiting tasks.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When it was submitted.
    pub submitted: Millis,
    /// The waiting tasks.
    pub tasks: Vec<TaskIndex>,
}

/// An attempt that runs on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerId,
    /// Resources allocated to it.
    pub size: ResourceVector,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When it started.
    pub started: Millis,
}

/// How an attempt ended, as far as placement distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task completed.
    Succeeded,
    /// The task failed on the worker.
    Failed,
    /// It was stopped, checkpointed or lost; this is evidence against neither job nor worker.
    Interrupted,
}

/// What is done to a preempted attempt, mildest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionAction {
    /// The attempt continues with this percentage of its CPU; 100 ends the throttling.
    Throttle(u8),
    /// The task saves its state and ends; a later attempt continues from there.
    Checkpoint,
    /// The attempt is stopped.
    Stop,
}

/// One decision; the engine has already recorded its effects on allocated resources and queues.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Start tasks. All tasks of a gang are in one decision and start together or not at all.
    Start {
        /// The job.
        job: JobId,
        /// Task, worker and allocated resources of each start.
        members: Vec<(TaskIndex, WorkerId, ResourceVector)>,
    },
    /// Preempt an attempt for more urgent work or to move its service, or end its throttling.
    Preempt {
        /// The preempted attempt.
        attempt: AttemptId,
        /// What is done to it.
        action: PreemptionAction,
        /// The job that needs the resources; the attempt's own job when no other one does.
        beneficiary: JobId,
    },
    /// Give up the job, because its tasks failed too often.
    GiveUp {
        /// The job.
        job: JobId,
        /// Reason in one sentence.
        reason: Arc<str>,
    },
}

/// Places the waiting tasks of one partition.
///
/// The owner of the partition reports every change and carries out the decisions. The engine keeps
/// its own indexes and never allocates more resources than a worker has.
pub trait PlacementEngine: Send {
    /// Replaces classes, customers and rules.
    fn set_rules(&mut self, document: &magnolia_config::ConfigDocument);

    /// Adds or changes a worker.
    fn upsert_worker(&mut self, worker: WorkerView);

    /// Removes a worker; its attempts must have been reported as ended.
    fn remove_worker(&mut self, worker: &WorkerId);

    /// Returns the reason if the job could not run even if nothing else ran: too few of its tasks
    /// fit on the workers of the inventory, or those that start together exceed the quota.
    fn never_fits(&self, spec: &JobSpec) -> Option<Arc<str>>;

    /// Queues tasks of a job; if the job is known, the tasks are added to it.
    fn enqueue(&mut self, job: WaitingJob);

    /// Removes the waiting tasks of jobs that were cancelled or given up.
    fn withdraw(&mut self, jobs: &[JobId]);

    /// Records a running attempt, either after a start or as found at a takeover.
    ///
    /// The record replaces the resources that a `Start` decision allocated to the same task.
    fn attempt_started(&mut self, record: AttemptRecord);

    /// Releases the resources of a `Start` decision that was not carried out, and queues the task
    /// again unless its job was withdrawn.
    fn start_failed(&mut self, task: &TaskRef, worker: &WorkerId, now: Millis);

    /// Releases the resources of an attempt that ended; the owner of the partition decides whether
    /// to queue the task again.
    fn attempt_ended(&mut self, attempt: &AttemptId, end: TaskEnd, now: Millis);

    /// Records the measured usage of an attempt.
    fn observe_usage(&mut self, attempt: &AttemptId, usage: ResourceVector);

    /// Makes one round of decisions with at most `limit` starts; a gang is never split and may
    /// exceed the limit.
    fn decide(&mut self, now: Millis, limit: usize) -> Vec<PlacementDecision>;

    /// Explains why a job waits, one sentence per line.
    fn explain(&self, job: &JobId, now: Millis) -> Vec<Arc<str>>;

    /// Returns the number of waiting tasks.
    fn waiting_tasks(&self) -> usize;

    /// Returns the quarantined workers, which run only probes because different jobs failed there.
    fn quarantined_workers(&self) -> Vec<WorkerId> {
        Vec::new()
    }
}
