//! A placement engine and its running attempts, driven as the owner of a partition drives them.

use std::collections::HashMap;
use std::sync::Arc;

use magnolia_policy::{
    AttemptRecord, PlacementDecision, PlacementEngine, PreemptionAction, TaskEnd, WaitingJob,
    WorkerView,
};
use magnolia_types::{AttemptId, JobId, JobSpec, Millis, ResourceVector, TaskRef};

use crate::BenchError;

/// Effects of one round of decisions.
#[derive(Default)]
pub struct RoundOutcome {
    /// Attempts that were started.
    pub started: Vec<AttemptRecord>,
    /// Preempted attempts and what is done to each.
    pub preempted: Vec<(AttemptId, PreemptionAction)>,
    /// Jobs that the engine gave up because their tasks failed too often.
    pub given_up: Vec<JobId>,
}

/// A placement engine and its running attempts; starts always succeed and take no time.
pub struct BenchCluster {
    /// The engine under test.
    pub engine: Box<dyn PlacementEngine>,
    /// Running attempts by id.
    pub running: HashMap<AttemptId, AttemptRecord>,
    specs: HashMap<JobId, Arc<JobSpec>>,
    next_attempt: u64,
    next_job: u64,
}

impl BenchCluster {
    /// Creates a cluster with these workers and nothing running.
    pub fn new(engine: Box<dyn PlacementEngine>, workers: Vec<WorkerView>) -> Self {
        let mut cluster = Self {
            engine,
            running: HashMap::new(),
            specs: HashMap::new(),
            next_attempt: 0,
            next_job: 0,
        };
        for worker in workers {
            cluster.engine.upsert_worker(worker);
        }
        cluster
    }

    /// Queues a job with all its tasks.
    ///
    /// # Errors
    ///
    /// Fails when the id of the job is not valid.
    pub fn submit(&mut self, spec: &Arc<JobSpec>, now: Millis) -> Result<JobId, BenchError> {
        self.next_job += 1;
        let job = JobId::new_in("p0", self.next_job)?;
        self.specs.insert(job.clone(), Arc::clone(spec));
        self.engine.enqueue(WaitingJob {
            job: job.clone(),
            spec: Arc::clone(spec),
            submitted: now,
            tasks: (0..spec.tasks).collect(),
        });
        Ok(job)
    }

    /// Queues a task of a submitted job again.
    pub fn resubmit(&mut self, task: &TaskRef, spec: &Arc<JobSpec>, now: Millis) {
        self.engine.enqueue(WaitingJob {
            job: task.job.clone(),
            spec: Arc::clone(spec),
            submitted: now,
            tasks: vec![task.task],
        });
    }

    /// Makes one round of decisions with at most `limit` starts and carries it out.
    ///
    /// # Errors
    ///
    /// Fails when the id of an attempt is not valid.
    pub fn decide(&mut self, now: Millis, limit: usize) -> Result<RoundOutcome, BenchError> {
        let decisions = self.engine.decide(now, limit);
        self.carry_out(decisions, now)
    }

    /// Carries out decisions: starts attempts, and returns the preemptions without carrying them
    /// out.
    ///
    /// # Errors
    ///
    /// Fails when the id of an attempt is not valid.
    pub fn carry_out(
        &mut self,
        decisions: Vec<PlacementDecision>,
        now: Millis,
    ) -> Result<RoundOutcome, BenchError> {
        let mut outcome = RoundOutcome::default();
        for decision in decisions {
            match decision {
                PlacementDecision::Start { job, members } => {
                    for (task, worker, size) in members {
                        let record = self.new_record(&job, task, worker, size, now)?;
                        outcome.started.push(record);
                    }
                }
                PlacementDecision::Preempt {
                    attempt, action, ..
                } => {
                    outcome.preempted.push((attempt, action));
                }
                PlacementDecision::GiveUp { job, .. } => outcome.given_up.push(job),
            }
        }
        for record in &outcome.started {
            self.engine.attempt_started(record.clone());
            self.running.insert(record.attempt.clone(), record.clone());
        }
        Ok(outcome)
    }

    /// Ends an attempt; returns `None` when it is not running.
    pub fn end(&mut self, attempt: &AttemptId, end: TaskEnd, now: Millis) -> Option<AttemptRecord> {
        let record = self.running.remove(attempt)?;
        self.engine.attempt_ended(attempt, end, now);
        Some(record)
    }

    fn new_record(
        &mut self,
        job: &JobId,
        task: u32,
        worker: magnolia_types::WorkerId,
        size: ResourceVector,
        now: Millis,
    ) -> Result<AttemptRecord, BenchError> {
        self.next_attempt += 1;
        let spec = self.specs.get(job).map(Arc::clone);
        let spec = spec.ok_or_else(|| BenchError::Work(format!("{job} was never submitted")))?;
        Ok(AttemptRecord {
            attempt: AttemptId::new(&format!("a{}", self.next_attempt))?,
            task: TaskRef::new(job.clone(), task),
            worker,
            size,
            spec,
            started: now,
        })
    }
}
