//! Tells faulty workers and faulty jobs apart.

use std::collections::{BTreeSet, HashMap, VecDeque};

use magnolia_types::{JobId, Millis, TaskIndex};

use crate::resource_ledger::WorkerIndex;

/// Failed jobs without a success in between after which a worker is quarantined.
const QUARANTINE_JOBS: usize = 3;
/// Failed jobs that suffice when all of them are alike.
const QUARANTINE_SIMILAR_JOBS: usize = 6;
/// Workers on which a job must have failed before the job is given up.
const GIVE_UP_WORKERS: usize = 3;
/// A job that failed on this many other workers is no evidence against a worker.
const SUSPECT_JOB_WORKERS: usize = 2;
/// A task that only few workers can hold is given up after this many times its limit of attempts.
const REPEATED_LIMIT_FACTOR: usize = 2;
/// Time for which a job stays off a worker on which it failed.
const AVOID_TIME: Millis = Millis::from_secs(60);
/// Time from the quarantine to the first probe.
const FIRST_PROBE_AFTER: Millis = Millis::from_secs(30);
/// Longest time between two probes.
const MAX_PROBE_AFTER: Millis = Millis::from_secs(600);

/// Most jobs whose failures are remembered.
const MAX_FAILING_JOBS: usize = 10_000;

/// Hash of what makes jobs alike: customer, class and size.
pub type JobSignature = u64;

/// A failure of a job's task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskFailure {
    task: TaskIndex,
    worker: WorkerIndex,
    at: Millis,
}

#[derive(Clone, Debug, Default)]
struct WorkerHealth {
    failed_jobs: Vec<(JobId, JobSignature)>,
    probe_at: Option<Millis>,
    probe_after: Millis,
    probing: bool,
}

/// What follows from a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureResponse {
    /// The worker is quarantined from now on.
    pub quarantine: bool,
    /// The job is to be given up.
    pub give_up: bool,
}

/// Failures by worker and by job.
#[derive(Default)]
pub struct HealthTracker {
    workers: HashMap<WorkerIndex, WorkerHealth>,
    jobs: HashMap<JobId, Vec<TaskFailure>>,
    jobs_by_age: VecDeque<JobId>,
    probes: BTreeSet<(Millis, WorkerIndex)>,
}

impl HealthTracker {
    /// Records a failed task.
    ///
    /// `usable_workers` bounds the number of workers on which a job can fail at all.
    pub fn failed(
        &mut self,
        worker: WorkerIndex,
        (job, task): (&JobId, TaskIndex),
        signature: JobSignature,
        (max_attempts, usable_workers): (u32, usize),
        now: Millis,
    ) -> FailureResponse {
        if self.is_quarantined(worker) {
            self.postpone_probe(worker, now);
            return FailureResponse::default();
        }
        self.record_job_failure(
            job,
            TaskFailure {
                task,
                worker,
                at: now,
            },
        );
        let health = self.workers.entry(worker).or_default();
        if !health.failed_jobs.iter().any(|(known, _)| known == job) {
            health.failed_jobs.push((job.clone(), signature));
        }
        if self.is_faulty(worker) {
            self.quarantine(worker, now);
            return FailureResponse {
                quarantine: true,
                give_up: false,
            };
        }
        FailureResponse {
            quarantine: false,
            give_up: self.should_give_up(job, task, max_attempts, usable_workers),
        }
    }

    /// Records a task that ended well; `true` when the worker returns from quarantine.
    pub fn succeeded(&mut self, worker: WorkerIndex) -> bool {
        let Some(health) = self.workers.remove(&worker) else {
            return false;
        };
        match health.probe_at {
            Some(at) => {
                self.probes.remove(&(at, worker));
                true
            }
            None => false,
        }
    }

    /// Records that a probe ended without a verdict; another one follows.
    pub fn probe_interrupted(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker) {
            health.probing = false;
        }
    }

    /// Forgets a job; its failures are no evidence against workers any more.
    pub fn forget_job(&mut self, job: &JobId) {
        for failure in self.jobs.remove(job).unwrap_or_default() {
            if let Some(health) = self.workers.get_mut(&failure.worker) {
                health.failed_jobs.retain(|(known, _)| known != job);
            }
        }
    }

    /// Forgets a worker.
    pub fn forget_worker(&mut self, worker: WorkerIndex) {
        self.succeeded(worker);
    }

    /// Tells whether the worker is quarantined.
    pub fn is_quarantined(&self, worker: WorkerIndex) -> bool {
        let health = self.workers.get(&worker);
        health.is_some_and(|health| health.probe_at.is_some())
    }

    /// Tells whether tasks failed on the worker since its last success.
    pub fn is_suspect(&self, worker: WorkerIndex) -> bool {
        self.workers.contains_key(&worker)
    }

    /// Tells whether the job failed on any worker.
    pub fn has_failed(&self, job: &JobId) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|failures| !failures.is_empty())
    }

    /// Tells whether the job stays off the worker, because it failed there lately.
    ///
    /// A faulty worker is always the one with room; without this it would use up all attempts.
    pub fn avoids(&self, job: &JobId, worker: WorkerIndex, now: Millis) -> bool {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        let there = failures.iter().filter(|failure| failure.worker == worker);
        let latest = there.map(|failure| failure.at).max();
        latest.is_some_and(|at| at.saturating_add(AVOID_TIME) > now)
    }

    fn failed_there(&self, job: &JobId, worker: WorkerIndex) -> bool {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        failures.iter().any(|failure| failure.worker == worker)
    }

    /// Returns on how many workers the job failed.
    pub fn failed_workers(&self, job: &JobId) -> usize {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        let workers: BTreeSet<WorkerIndex> = failures.iter().map(|each| each.worker).collect();
        workers.len()
    }

    /// Returns the quarantined workers.
    pub fn quarantined(&self) -> impl Iterator<Item = WorkerIndex> {
        self.probes.iter().map(|&(_, worker)| worker)
    }

    /// Returns a worker that is due for a probe.
    pub fn due_probes(&self, now: Millis) -> Vec<WorkerIndex> {
        let due = self.probes.iter().take_while(|(at, _)| *at <= now);
        due.map(|&(_, worker)| worker)
            .filter(|worker| {
                !self
                    .workers
                    .get(worker)
                    .is_some_and(|health| health.probing)
            })
            .collect()
    }

    /// Tells whether a probe has been due for so long that the worker returns without one.
    ///
    /// Without repeatable batch work there is nothing to probe with.
    pub fn is_probe_overdue(&self, worker: WorkerIndex, now: Millis) -> bool {
        let health = self.workers.get(&worker);
        let due = health.and_then(|health| health.probe_at);
        due.is_some_and(|at| at.saturating_add(MAX_PROBE_AFTER) <= now)
    }

    /// Records that a probe starts.
    pub fn probe_started(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker) {
            health.probing = true;
        }
    }

    /// Keeps the failures of a bounded number of jobs; the oldest are forgotten first.
    fn record_job_failure(&mut self, job: &JobId, failure: TaskFailure) {
        if !self.jobs.contains_key(job) {
            self.jobs_by_age.push_back(job.clone());
        }
        self.jobs.entry(job.clone()).or_default().push(failure);
        while self.jobs_by_age.len() > MAX_FAILING_JOBS {
            if let Some(oldest) = self.jobs_by_age.pop_front() {
                self.forget_job(&oldest);
            }
        }
    }

    /// Tells whether enough unlike jobs failed that are not suspect themselves.
    fn is_faulty(&self, worker: WorkerIndex) -> bool {
        let Some(health) = self.workers.get(&worker) else {
            return false;
        };
        let fails_elsewhere = |job: &JobId| {
            let other = self.failed_workers(job) - usize::from(self.failed_there(job, worker));
            other >= SUSPECT_JOB_WORKERS
        };
        let evidence = health.failed_jobs.iter();
        let evidence: Vec<JobSignature> = evidence
            .filter(|(job, _)| !fails_elsewhere(job))
            .map(|&(_, signature)| signature)
            .collect();
        let distinct = evidence.iter().collect::<BTreeSet<_>>().len();
        evidence.len() >= QUARANTINE_SIMILAR_JOBS
            || (evidence.len() >= QUARANTINE_JOBS && distinct > 1)
    }

    fn should_give_up(
        &self,
        job: &JobId,
        task: TaskIndex,
        max_attempts: u32,
        usable_workers: usize,
    ) -> bool {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        let of_task = failures.iter().filter(|failure| failure.task == task);
        let attempts = of_task.count();
        let max_attempts = max_attempts.max(1) as usize;
        let wanted = GIVE_UP_WORKERS.min(max_attempts).min(usable_workers.max(1));
        let on_several = attempts >= max_attempts && self.failed_workers(job) >= wanted;
        on_several || attempts >= max_attempts.saturating_mul(REPEATED_LIMIT_FACTOR)
    }

    /// Quarantines the worker and clears the jobs that failed on it.
    fn quarantine(&mut self, worker: WorkerIndex, now: Millis) {
        let Some(health) = self.workers.get_mut(&worker) else {
            return;
        };
        health.probe_after = FIRST_PROBE_AFTER;
        let at = now.saturating_add(health.probe_after);
        health.probe_at = Some(at);
        self.probes.insert((at, worker));
        for (job, _) in &health.failed_jobs {
            if let Some(failures) = self.jobs.get_mut(job) {
                failures.retain(|failure| failure.worker != worker);
            }
        }
    }

    fn postpone_probe(&mut self, worker: WorkerIndex, now: Millis) {
        let Some(health) = self.workers.get_mut(&worker) else {
            return;
        };
        // Attempts from before the quarantine also end; only a failed probe postpones the next.
        if !std::mem::take(&mut health.probing) {
            return;
        }
        if let Some(at) = health.probe_at {
            self.probes.remove(&(at, worker));
        }
        let doubled = health.probe_after.saturating_add(health.probe_after);
        health.probe_after = doubled.min(MAX_PROBE_AFTER);
        let at = now.saturating_add(health.probe_after);
        health.probe_at = Some(at);
        self.probes.insert((at, worker));
    }
}
