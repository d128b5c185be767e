//! Detects faulty executors by the outcomes of their runs.

use magnolia_types::{Millis, value_types};

use crate::JobKey;

value_types! {
    /// Whether an executor gets new tasks.
    pub enum HealthState {
        /// Gets tasks.
        Trusted,
        /// Gets no tasks until its set-aside time has passed.
        SetAside,
    }
}

/// Tracks the outcomes of the runs on one executor and sets it aside after repeated failures.
///
/// An executor on which every run fails has to be distinguished from a job that fails on every
/// executor: failures of a single job never set an executor aside.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    /// Number of failures, halved by each success.
    score: f64,
    /// Distinct jobs that failed recently, newest last.
    failed_jobs: Vec<JobKey>,
    set_aside_until: Option<Millis>,
    /// Consecutive times that it was set aside; each doubles the next set-aside time.
    repeats: u32,
}

impl HealthTracker {
    /// Score from which failures of at least two jobs set an executor aside: three failures in a
    /// row. Healthy executors fail one run in twenty, so that three in a row occur once in 8,000
    /// runs.
    const SCORE_LIMIT: f64 = 2.5;
    /// Most jobs kept in `failed_jobs`.
    const MAX_REMEMBERED_JOBS: usize = 4;
    /// First set-aside time; a temporary fault lasts several seconds.
    const FIRST_SET_ASIDE_TIME: Millis = Millis::new(2000);
    /// Most doublings of the set-aside time.
    const MAX_DOUBLINGS: u32 = 2;

    /// Records a successful run.
    pub fn record_success(&mut self) {
        self.score /= 2.0;
        if self.score < 0.5 {
            self.failed_jobs.clear();
            self.repeats = 0;
        }
    }

    /// Records a failed run; returns whether it sets the executor aside.
    pub fn record_failure(&mut self, job: JobKey, now: Millis) -> bool {
        self.score += 1.0;
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        if self.failed_jobs.len() > Self::MAX_REMEMBERED_JOBS {
            self.failed_jobs.remove(0);
        }
        let several_jobs = self.failed_jobs.len() >= 2;
        if self.score < Self::SCORE_LIMIT || !several_jobs {
            return false;
        }
        self.set_aside(now);
        true
    }

    /// Sets the executor aside at once, after a hung run or when it reports itself as unhealthy.
    pub fn set_aside(&mut self, now: Millis) {
        let doublings = self.repeats.min(Self::MAX_DOUBLINGS);
        let pause = Millis::new(Self::FIRST_SET_ASIDE_TIME.get() << doublings);
        self.repeats += 1;
        self.set_aside_until = Some(now.saturating_add(pause));
        // The next failure sets it aside again, unless a run succeeds before or all remembered
        // failures are of one job.
        self.score = Self::SCORE_LIMIT - 1.0;
    }

    /// Returns the state at `now`.
    pub fn state(&self, now: Millis) -> HealthState {
        match self.set_aside_until {
            Some(until) if now < until => HealthState::SetAside,
            _ => HealthState::Trusted,
        }
    }
}
