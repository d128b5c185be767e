//! Whether a job is accepted.
//!
//! Answers days on which one kind of work floods in far beyond what the executors can take: a job
//! that cannot be served within the time that still earns its caller something is refused at once,
//! with the time after which the backlog has drained.

use magnolia_types::Millis;

/// What stands before a new job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionLoad {
    /// Work accepted and not done that comes before the job or shares with it, in core-milliseconds.
    pub backlog_work: u64,
    /// Processors that this work can use, in thousandths.
    pub capacity_millis: u64,
    /// Time for which calls for eligibility are queued.
    pub advice_backlog: Millis,
    /// Objective of the job.
    pub objective: Millis,
    /// Longest chain of the job's own work.
    pub critical_path: Millis,
}

/// Verdict on a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The job is accepted.
    Accept,
    /// The job is refused and never runs.
    Refuse {
        /// When the backlog has drained far enough.
        retry_after: Millis,
    },
}

/// Time, as a share of the objective in percent, within which a job has to be expected to end: up to
/// three objectives it is late, beyond them it is of no use to its caller.
const MAX_COMPLETION_PERCENT: u64 = 300;
/// Share of the processors, in percent, that tasks of one queue reach: eligibility and the sizes of
/// executors leave the rest between them.
const USABLE_PERCENT: u64 = 75;
/// Shortest time to come back; shorter ones only add load.
const MIN_RETRY_AFTER: Millis = Millis::new(1000);
/// Longest time to come back; backlogs drain faster than they can be predicted beyond it.
const MAX_RETRY_AFTER: Millis = Millis::new(10_000);

/// Decides by the expected completion against the time within which the caller still gains.
pub fn decide_admission(load: &AdmissionLoad) -> AdmissionDecision {
    let capacity = (load.capacity_millis * USABLE_PERCENT / 100).max(1);
    let drain = load.backlog_work.saturating_mul(1000) / capacity;
    let wait = drain.saturating_add(load.advice_backlog.get());
    let expected = wait.saturating_add(load.critical_path.get());
    let limit = load.objective.get().saturating_mul(MAX_COMPLETION_PERCENT) / 100;
    if expected <= limit {
        return AdmissionDecision::Accept;
    }
    let excess = Millis::new(expected - limit);
    let retry_after = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    AdmissionDecision::Refuse { retry_after }
}
