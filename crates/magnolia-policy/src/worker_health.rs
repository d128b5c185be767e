//! Failure records that tell faulty workers from faulty jobs.
//!
//! A quarantined worker gets no tasks except probes, single tasks that show whether it works again.

use std::collections::{BTreeSet, HashMap, VecDeque};

use magnolia_types::{JobId, Millis, TaskIndex};

use crate::resource_ledger::WorkerIndex;

/// Number of failed jobs, without a success in between, after which a worker is quarantined if
/// the jobs are not all similar.
const QUARANTINE_JOBS: usize = 3;
/// Number of failed jobs after which a worker is quarantined even if the jobs are similar.
const QUARANTINE_SIMILAR_JOBS: usize = 6;
/// Number of workers on which a job must have failed before it is given up.
const GIVE_UP_WORKERS: usize = 3;
/// A job that failed on this many other workers is not counted as evidence against a worker.
const SUSPECT_JOB_WORKERS: usize = 2;
/// A job is given up when one of its tasks failed this multiple of its maximum attempts, even if
/// the job failed on too few workers, because only few may be able to run it.
const MAX_ATTEMPTS_FACTOR: usize = 2;
/// Time for which a job avoids a worker on which it failed.
const AVOID_TIME: Millis = Millis::from_secs(60);
/// Time from the quarantine to the first probe.
const FIRST_PROBE_AFTER: Millis = Millis::from_secs(30);
/// Longest time between two probes, and the time for which a probe may be overdue before the
/// quarantine ends without one.
const MAX_PROBE_AFTER: Millis = Millis::from_secs(600);
/// Maximum number of jobs whose failures are remembered.
const MAX_FAILING_JOBS: usize = 10_000;

/// Hash of the customer, class and size of a job; similar jobs have the same signature.
pub type JobSignature = u64;

/// One failed attempt of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct TaskFailure {
    task: TaskIndex,
    worker: WorkerIndex,
    at: Millis,
}

/// Failures of a worker since its last success, and its quarantine.
#[derive(Clone, Debug, Default)]
struct WorkerHealth {
    /// Jobs that failed since the last success.
    failed_jobs: Vec<(JobId, JobSignature)>,
    /// When the next probe is due; `None` when the worker is not quarantined.
    probe_at: Option<Millis>,
    /// Time from the start of the quarantine, or from the last failed probe, to the next probe.
    probe_after: Millis,
    /// Whether a probe was started and has not ended.
    probing: bool,
}

/// Effects of a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureEffects {
    /// Whether the worker was quarantined.
    pub quarantine: bool,
    /// Whether the job must be given up.
    pub give_up: bool,
}

/// Failures by worker and by job.
#[derive(Default)]
pub struct HealthTracker {
    workers: HashMap<WorkerIndex, WorkerHealth>,
    jobs: HashMap<JobId, Vec<TaskFailure>>,
    /// Jobs in the order in which they first failed.
    jobs_by_age: VecDeque<JobId>,
    /// Quarantined workers by the time at which their next probe is due.
    probes: BTreeSet<(Millis, WorkerIndex)>,
}

impl HealthTracker {
    /// Records a failed task; on a quarantined worker, the failure does not count against the job.
    ///
    /// `worker_count` is the number of workers in the inventory; a job cannot fail on more.
    pub fn failed(
        &mut self,
        worker: WorkerIndex,
        (job, task): (&JobId, TaskIndex),
        signature: JobSignature,
        (max_attempts, worker_count): (u32, usize),
        now: Millis,
    ) -> FailureEffects {
        if self.is_quarantined(worker) {
            self.postpone_probe(worker, now);
            return FailureEffects::default();
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
            return FailureEffects {
                quarantine: true,
                give_up: false,
            };
        }
        FailureEffects {
            quarantine: false,
            give_up: self.should_give_up(job, task, max_attempts, worker_count),
        }
    }

    /// Records a successful task; returns `true` when this ends the quarantine of the worker.
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

    /// Records that an attempt on the worker ended without a result, or was not started; if the
    /// worker is quarantined, the next probe may start.
    pub fn probe_interrupted(&mut self, worker: WorkerIndex) {
        if let Some(health) = self.workers.get_mut(&worker) {
            health.probing = false;
        }
    }

    /// Forgets a job; its failures no longer count against workers.
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

    /// Tells whether the job avoids the worker, because it failed there recently.
    ///
    /// A faulty worker always has free resources; without this rule it would use up all attempts.
    pub fn avoids(&self, job: &JobId, worker: WorkerIndex, now: Millis) -> bool {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        let there = failures.iter().filter(|failure| failure.worker == worker);
        let latest = there.map(|failure| failure.at).max();
        latest.is_some_and(|at| at.saturating_add(AVOID_TIME) > now)
    }

    /// Tells whether the job failed on the worker.
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

    /// Returns the quarantined workers that are due for a probe and run none.
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

    /// Tells whether a probe has been due for so long that the quarantine ends without one.
    ///
    /// No probe can start while no repeatable batch work waits.
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

    /// Records a failure of a job; beyond the maximum number of jobs, those that first failed
    /// longest ago are forgotten.
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

    /// Tells whether enough jobs failed on the worker.
    ///
    /// Jobs that also failed on several other workers do not count. Similar jobs may share a
    /// defect, so that more of them are needed.
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

    /// Tells whether the job must be given up, because the task used up its attempts.
    fn should_give_up(
        &self,
        job: &JobId,
        task: TaskIndex,
        max_attempts: u32,
        worker_count: usize,
    ) -> bool {
        let failures = self.jobs.get(job).map(Vec::as_slice).unwrap_or_default();
        let of_task = failures.iter().filter(|failure| failure.task == task);
        let attempts = of_task.count();
        let max_attempts = max_attempts.max(1) as usize;
        let workers_needed = GIVE_UP_WORKERS.min(max_attempts).min(worker_count.max(1));
        let on_several = attempts >= max_attempts && self.failed_workers(job) >= workers_needed;
        on_several || attempts >= max_attempts.saturating_mul(MAX_ATTEMPTS_FACTOR)
    }

    /// Quarantines the worker; its failures no longer count against the jobs.
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

    /// Doubles the time to the next probe after a probe failed.
    fn postpone_probe(&mut self, worker: WorkerIndex, now: Millis) {
        let Some(health) = self.workers.get_mut(&worker) else {
            return;
        };
        // Attempts that started before the quarantine also fail; only a failed probe counts here.
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
