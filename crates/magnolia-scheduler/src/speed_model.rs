//! Speeds of executors, learnt from the run times of tasks.
//!
//! Tasks of a step have about the same work, so that the time of each, compared with the mean of the
//! step, measures the executor that ran it. Executors with the same label are of one kind: what one
//! shows is expected of the others, until they have shown enough themselves.
//!
//! Speeds are averaged as logarithms, relative to the mean of all: plain ratios are biased by the few
//! tasks that take many times as long, and drift when each estimate enters the next one.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::HashMap;
use std::sync::Arc;

/// Weight of one run in the mean of a label, and in that of all.
const LABEL_WEIGHT: f64 = 0.03;
/// Runs of a label before its mean counts: tasks of a step differ by up to a third.
const MIN_LABEL_RUNS: u32 = 10;
/// Runs of an executor that weigh as much as the mean of its label.
const PRIOR_RUNS: f64 = 10.0;
/// Weight of one run in the speed that an executor has shown. It follows a slowdown within some ten
/// runs, and is as exact as a plain mean of `MEMORY_RUNS`.
const RUN_WEIGHT: f64 = 0.15;
/// See [`RUN_WEIGHT`].
const MEMORY_RUNS: f64 = 12.0;
/// Ratio of two speeds that makes a difference in placement.
const TIER_RATIO: f64 = 1.25;
/// Bound on one measurement, as the logarithm of a ratio of eight: temporary slowdowns reach that.
const MAX_LOG_RATIO: f64 = 2.08;

/// Natural logarithm of a speed relative to the mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct LogSpeed(f64);

impl LogSpeed {
    /// Creates a measurement, which is bounded.
    pub fn new(log: f64) -> Self {
        Self(log.clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO))
    }
}

/// Moving mean of measurements.
#[derive(Clone, Copy, Debug, Default)]
struct MovingMean {
    mean: f64,
    runs: u32,
}

impl MovingMean {
    /// Adds a measurement; the first ones weigh as in a plain mean, later ones at least `weight`.
    fn observe(&mut self, seen: LogSpeed, weight: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = (1.0 / f64::from(self.runs)).max(weight);
        self.mean += (seen.0 - self.mean) * weight;
    }
}

/// Mean speeds by label.
#[derive(Debug, Default)]
pub struct SpeedModel {
    all: MovingMean,
    labels: HashMap<Arc<str>, MovingMean>,
}

impl SpeedModel {
    /// Adds the speed that a run has shown on an executor with these labels.
    pub fn observe(&mut self, labels: &[Arc<str>], seen: LogSpeed) {
        self.all.observe(seen, LABEL_WEIGHT);
        for label in labels {
            let known = self.labels.entry(Arc::clone(label)).or_default();
            known.observe(seen, LABEL_WEIGHT);
        }
    }

    /// Returns the speed that is expected of an executor with these labels: the mean of the label
    /// with the most runs, which is the kind and not the rack.
    pub fn expected(&self, labels: &[Arc<str>]) -> LogSpeed {
        let known = labels.iter().filter_map(|label| self.labels.get(label));
        let most = known.max_by_key(|label| label.runs);
        let mean = most.filter(|label| label.runs >= MIN_LABEL_RUNS);
        mean.map_or(LogSpeed::default(), |label| {
            LogSpeed::new(label.mean - self.all.mean)
        })
    }

    /// Returns the estimate of an executor's speed from its own runs and from those of its kind.
    pub fn estimate(&self, measured: &MeasuredSpeed, labels: &[Arc<str>]) -> f64 {
        let runs = f64::from(measured.0.runs).min(MEMORY_RUNS);
        let own = measured.0.mean - self.all.mean;
        let expected = self.expected(labels).0;
        ((own * runs + expected * PRIOR_RUNS) / (runs + PRIOR_RUNS)).exp()
    }
}

/// What an executor has shown by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct MeasuredSpeed(MovingMean);

impl MeasuredSpeed {
    /// Adds the speed that a run has shown.
    pub fn observe(&mut self, seen: LogSpeed) {
        self.0.observe(seen, RUN_WEIGHT);
    }
}

/// Returns the tier of a speed; the speeds of one tier make no difference in placement.
pub fn speed_tier(speed: f64) -> i64 {
    let tier = speed.max(0.01).ln() / TIER_RATIO.ln();
    // At most some twenty tiers on either side.
    tier.round() as i64
}
