//! Order of jobs within a priority.
//!
//! Under overload with batch jobs, ordering by the deadline (the acceptance plus the objective)
//! alone lets large jobs delay many small ones, and nearly all end late. Therefore a job is ordered
//! later the more work it has compared with the mean job of its queue.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

/// Highest ratio of a job's work to the mean that delays it further; bounds the wait of the largest
/// jobs.
const MAX_WORK_RATIO: f64 = 4.0;
/// Weight of one job in the moving mean of its queue, which covers some twenty jobs.
const MEAN_WEIGHT: f64 = 0.05;

/// Moving mean of the work of the jobs submitted to a queue.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMean {
    mean: Option<f64>,
}

impl WorkMean {
    /// Adds the work of a job, in core-milliseconds.
    pub fn observe(&mut self, work: u64) {
        let work = work as f64;
        let mean = self.mean.unwrap_or(work);
        self.mean = Some(mean + (work - mean) * MEAN_WEIGHT);
    }

    /// Returns the ratio of a job's work to the mean; 1.0 before the first job.
    pub fn ratio(&self, work: u64) -> f64 {
        match self.mean {
            Some(mean) if mean > 0.0 => work as f64 / mean,
            _ => 1.0,
        }
    }
}

/// Returns the Unix milliseconds by which jobs are ordered: the acceptance plus the objective,
/// scaled by the job's work. `work_share` is the part of the objective that grows with the work, 0
/// to 1.
pub fn order_time(
    accepted_unix_ms: u64,
    objective: Millis,
    work_ratio: f64,
    work_share: f64,
) -> u64 {
    let ratio = work_ratio.min(MAX_WORK_RATIO);
    let share = 1.0 - work_share + work_share * ratio;
    accepted_unix_ms.saturating_add((objective.get() as f64 * share) as u64)
}
