//! Which task starts on which worker, and what gives way.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, JobId, JobSpec, Millis, RackName, ResourceVector, TaskIndex, TaskRef, WorkerId,
};

/// Whether a worker takes new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerCondition {
    /// Takes new tasks.
    Usable,
    /// Cannot be reached or is not fenced yet; may still run tasks.
    Unavailable,
    /// Goes away; its services move first.
    Leaving,
}

/// A worker as its owner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerView {
    /// The worker.
    pub worker: WorkerId,
    /// Its rack.
    pub rack: RackName,
    /// What it has.
    pub capacity: ResourceVector,
    /// Whether it takes new tasks.
    pub condition: WorkerCondition,
}

/// A job with tasks that wait.
#[derive(Clone, Debug, PartialEq)]
pub struct WaitingJob {
    /// The job.
    pub job: JobId,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When it was submitted.
    pub submitted: Millis,
    /// The tasks that wait.
    pub tasks: Vec<TaskIndex>,
}

/// An attempt that holds room on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// The task.
    pub task: TaskRef,
    /// The worker.
    pub worker: WorkerId,
    /// Room that it holds.
    pub size: ResourceVector,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// When it started.
    pub started: Millis,
}

/// How an attempt ended, as far as decisions care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It ran to its end.
    Succeeded,
    /// The task failed on the worker.
    Failed,
    /// It was stopped, checkpointed or lost; nobody's fault.
    Interrupted,
}

/// How running work gives way, mildest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PreemptionAction {
    /// Runs on with this share of its processors in percent.
    Throttle(u8),
    /// Saves its state and ends; a later attempt goes on.
    Checkpoint,
    /// Ends.
    Stop,
}

/// One decision; the engine has already accounted for it.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Start tasks; those of a gang come in one decision and are all or nothing.
    Start {
        /// The job.
        job: JobId,
        /// Task, worker and reserved room of each start.
        members: Vec<(TaskIndex, WorkerId, ResourceVector)>,
    },
    /// Make room for more urgent work.
    Preempt {
        /// The attempt that gives way.
        attempt: AttemptId,
        /// How.
        action: PreemptionAction,
        /// The job that needs the room.
        beneficiary: JobId,
    },
    /// Give the job up: it failed on several workers.
    GiveUp {
        /// The job.
        job: JobId,
        /// Reason in one sentence.
        reason: Arc<str>,
    },
}

/// Places the waiting tasks of one partition.
///
/// The caller reports every change; the engine keeps its own indexes and never allocates more
/// than a worker has.
pub trait PlacementEngine: Send {
    /// Replaces classes, customers and rules.
    fn set_rules(&mut self, document: &magnolia_config::ConfigDocument);

    /// Adds or changes a worker.
    fn upsert_worker(&mut self, worker: WorkerView);

    /// Removes a worker; its attempts must have been reported as ended.
    fn remove_worker(&mut self, worker: &WorkerId);

    /// Tells why no worker of the inventory could ever run the job, if so.
    fn never_fits(&self, spec: &JobSpec) -> Option<Arc<str>>;

    /// Queues tasks of a job; tasks of a known job are added to it.
    fn enqueue(&mut self, job: WaitingJob);

    /// Removes the waiting tasks of jobs that were cancelled or given up.
    fn withdraw(&mut self, jobs: &[JobId]);

    /// Records an attempt that runs, after a start or as found at takeover.
    ///
    /// Room that a `Start` decision reserved for the same task is replaced by the record.
    fn attempt_started(&mut self, record: AttemptRecord);

    /// Releases the room of a `Start` decision that was not carried out; the task is queued again.
    fn start_failed(&mut self, task: &TaskRef, worker: &WorkerId, now: Millis);

    /// Releases the room of an attempt that ended; the caller queues the task again if it wants.
    fn attempt_ended(&mut self, attempt: &AttemptId, end: TaskEnd, now: Millis);

    /// Records measured usage.
    fn observe_usage(&mut self, attempt: &AttemptId, usage: ResourceVector);

    /// Decides, at most `limit` starts; a gang is never split and may go beyond the limit.
    fn decide(&mut self, now: Millis, limit: usize) -> Vec<PlacementDecision>;

    /// Explains why a job waits, a sentence a line.
    fn explain(&self, job: &JobId, now: Millis) -> Vec<Arc<str>>;

    /// Returns the number of waiting tasks.
    fn waiting_tasks(&self) -> usize;

    /// Returns the workers that get no work except probes, because unlike jobs failed on them.
    fn quarantined_workers(&self) -> Vec<WorkerId> {
        Vec::new()
    }
}
