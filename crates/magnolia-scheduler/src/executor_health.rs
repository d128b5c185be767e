//! Tells faulty executors from faulty jobs by their ends.

use magnolia_types::{Millis, value_types};

use crate::JobKey;

value_types! {
    /// Whether an executor gets new work.
    pub enum HealthState {
        /// Gets work.
        Trusted,
        /// Gets none until its set-aside time has passed.
        SetAside,
    }
}

/// Judges one executor by how its runs end.
///
/// Answers days on which some executors fail all that they start, beside jobs that fail anywhere:
/// failures of one job alone never set an executor aside.
#[derive(Clone, Debug, Default)]
pub struct HealthTracker {
    /// Failures, halved by each success.
    score: f64,
    /// Jobs of the latest failures, newest last.
    failed_jobs: Vec<JobKey>,
    set_aside_until: Option<Millis>,
    /// Set-aside times in a row; each doubles the next.
    repeats: u32,
}

impl HealthTracker {
    /// Failures in a row, of two jobs or more, that set an executor aside: healthy ones fail one
    /// run in twenty, so that three in a row come once in 8,000 runs.
    const SCORE_LIMIT: f64 = 2.5;
    /// Jobs remembered.
    const MAX_REMEMBERED_JOBS: usize = 4;
    /// First set-aside time; a faulty spell lasts several seconds.
    const FIRST_SET_ASIDE_TIME: Millis = Millis::new(2000);
    /// Doublings of the set-aside time.
    const MAX_DOUBLINGS: u32 = 2;

    /// Records a run that ended well.
    pub fn record_success(&mut self) {
        self.score /= 2.0;
        if self.score < 0.5 {
            self.failed_jobs.clear();
            self.repeats = 0;
        }
    }

    /// Records a failed run; returns whether the executor is set aside by it.
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

    /// Sets the executor aside at once, as after a run that hung or a refusal as unhealthy.
    pub fn set_aside(&mut self, now: Millis) {
        let doublings = self.repeats.min(Self::MAX_DOUBLINGS);
        let pause = Millis::new(Self::FIRST_SET_ASIDE_TIME.get() << doublings);
        self.repeats += 1;
        self.set_aside_until = Some(now.saturating_add(pause));
        // One further failure after the pause is enough.
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
