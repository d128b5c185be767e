//! Admission control for submitted jobs.
//!
//! Under overload, a job that is expected to end too late to be of use to its caller is refused at
//! once, with the time after which the backlog should have drained.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

/// Load that a new job has to wait for, and its own objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLoad {
    /// Accepted, unfinished work that runs before the job or at the same time, in
    /// core-milliseconds.
    pub backlog_work: u64,
    /// Processors that this work can use, in thousandths.
    pub capacity_millis: u64,
    /// Time that the queued eligibility requests will take.
    pub eligibility_backlog: Millis,
    /// Time within which the job counts as on time.
    pub objective: Millis,
    /// Estimated run time of the job's critical path.
    pub critical_path: Millis,
}

/// Decision on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is accepted.
    Accept,
    /// The job is refused and never runs.
    Refuse {
        /// Time after which the backlog should have drained far enough.
        retry_after: Millis,
    },
}

/// Longest expected completion time of an accepted job, in percent of its objective: up to three
/// times the objective a job is late, beyond that it is of no use to its caller.
const MAX_COMPLETION_PERCENT: u64 = 300;
/// Share of the processors, in percent, that tasks of one queue can use: the rest stays idle
/// because of eligibility and fragmentation.
const USABLE_PERCENT: u64 = 75;
/// Shortest retry delay; shorter ones only add load.
const MIN_RETRY_AFTER: Millis = Millis::new(1000);
/// Longest retry delay; beyond it, backlogs drain faster than can be predicted.
const MAX_RETRY_AFTER: Millis = Millis::new(10_000);

/// Accepts a job if its expected completion time is within the limit set by its objective.
pub fn decide_admission(load: &AdmissionLoad) -> AdmissionDecision {
    let capacity = (load.capacity_millis.saturating_mul(USABLE_PERCENT) / 100).max(1);
    let drain = load.backlog_work.saturating_mul(1000).checked_div(capacity);
    let drain = drain.unwrap_or(u64::MAX);
    let wait = drain.saturating_add(load.eligibility_backlog.get());
    let expected = wait.saturating_add(load.critical_path.get());
    let limit = load.objective.get().saturating_mul(MAX_COMPLETION_PERCENT) / 100;
    if expected <= limit {
        return AdmissionDecision::Accept;
    }
    let excess = Millis::new(expected.saturating_sub(limit));
    let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    AdmissionDecision::Refuse { retry_after }
}
