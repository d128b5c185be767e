//! Order of jobs within an urgency.
//!
//! Answers days on which more batch work comes than the executors can do: in the order of the ends of
//! their objectives alone, wide jobs hold up many narrow ones and nearly all end late. A job counts as
//! due the later the more work it brings against the usual job of its queue.

use magnolia_types::Millis;

/// Most work, against the usual job, that delays a job: the widest must not wait for ever.
const MAX_WORK_RATIO: f64 = 4.0;
/// Weight of one job in the usual work of its queue: some twenty jobs make the mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Usual work of a queue's jobs, learnt from those submitted.
#[derive(Clone, Copy, Debug, Default)]
pub struct WorkMean {
    mean: Option<f64>,
}

impl WorkMean {
    /// Takes the work of a job in; in core-milliseconds.
    pub fn observe(&mut self, work: u64) {
        let work = work as f64;
        let mean = self.mean.unwrap_or(work);
        self.mean = Some(mean + (work - mean) * MEAN_WEIGHT);
    }

    /// Returns the work of a job against the usual one.
    pub fn ratio(&self, work: u64) -> f64 {
        match self.mean {
            Some(mean) if mean > 0.0 => work as f64 / mean,
            _ => 1.0,
        }
    }
}

/// Returns the time by which jobs are ordered: the end of the objective, moved by the job's work;
/// `work_share` is the part of the objective that grows with the work, 0 to 1.
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
