//! Corrections of declared task sizes and run times, learned from successful attempts.

use std::collections::HashMap;
use std::hash::Hash;

use magnolia_types::{Millis, ResourceVector};

/// Number of most recent observations that are kept of each quantity.
const WINDOW: usize = 32;
/// Minimum number of observations before declared sizes are corrected.
const MIN_SIZE_SAMPLES: usize = 16;
/// Minimum number of observations before run times are estimated.
const MIN_RUN_SAMPLES: usize = 8;
/// Factor above the largest observed peak when a size is reduced, because usage reports lag.
const SIZE_MARGIN: f32 = 1.15;
/// A declared size is never reduced below this fraction.
const MIN_SIZE_FACTOR: f32 = 0.25;
/// A declared size is never raised beyond this multiple.
const MAX_SIZE_FACTOR: f32 = 4.0;
/// Quantile of peak usage, in percent, to which a size that was declared too small is raised.
const RAISE_QUANTILE_PERCENT: usize = 75;
/// Quantile of run times, in percent, that is used as the expected run time.
///
/// It is above the median because attempts that end later than expected delay gangs.
const RUN_QUANTILE_PERCENT: usize = 90;

/// Ring buffer of the most recent observations of one quantity.
#[derive(Clone, Debug, Default)]
struct SampleWindow {
    samples: Vec<f32>,
    /// Number of observations so far; modulo `WINDOW`, the position of the oldest one once the
    /// buffer is full.
    count: usize,
}

impl SampleWindow {
    fn push(&mut self, sample: f32) {
        if self.samples.len() < WINDOW {
            self.samples.push(sample);
        } else {
            self.samples[self.count % WINDOW] = sample;
        }
        self.count += 1;
    }

    /// Returns the nearest-rank quantile; `None` when there are no observations.
    fn quantile(&self, percent: usize) -> Option<f32> {
        let mut sorted = self.samples.clone();
        sorted.sort_by(f32::total_cmp);
        let rank = (sorted.len() * percent).div_ceil(100);
        sorted.get(rank.checked_sub(1)?).copied()
    }

    /// Returns the quantile for run times; `None` until enough of them were observed.
    fn run_quantile(&self) -> Option<f32> {
        let is_known = self.samples.len() >= MIN_RUN_SAMPLES;
        is_known.then(|| self.quantile(RUN_QUANTILE_PERCENT))?
    }

    /// Returns the factor by which declared sizes are multiplied.
    ///
    /// A reduced size keeps a margin above the largest peak, so that workers are not overcommitted.
    /// A raised size follows a quantile, because raising it to the largest of noisy peaks would
    /// leave most of the fleet empty.
    fn size_factor(&self) -> f32 {
        if self.samples.len() < MIN_SIZE_SAMPLES {
            return 1.0;
        }
        let cut = self.quantile(100).unwrap_or(1.0) * SIZE_MARGIN;
        let raise = self.quantile(RAISE_QUANTILE_PERCENT).unwrap_or(1.0);
        cut.min(1.0)
            .max(raise)
            .clamp(MIN_SIZE_FACTOR, MAX_SIZE_FACTOR)
    }
}

/// Observations and estimates of one customer and class.
#[derive(Clone, Debug)]
struct GroupEstimate {
    /// Peak CPU usage divided by the declared CPU.
    cpu_ratios: SampleWindow,
    /// Peak memory usage divided by the declared memory.
    memory_ratios: SampleWindow,
    /// Run time divided by the declared run time.
    run_ratios: SampleWindow,
    /// Run times of jobs that declare none.
    run_millis: SampleWindow,
    /// Factor by which declared CPU is multiplied.
    cpu_factor: f32,
    /// Factor by which declared memory is multiplied.
    memory_factor: f32,
    /// Factor by which declared run times are multiplied.
    run_factor: f32,
    /// Run time of jobs that declare none.
    expected_run: Option<Millis>,
}

impl Default for GroupEstimate {
    fn default() -> Self {
        Self {
            cpu_ratios: SampleWindow::default(),
            memory_ratios: SampleWindow::default(),
            run_ratios: SampleWindow::default(),
            run_millis: SampleWindow::default(),
            cpu_factor: 1.0,
            memory_factor: 1.0,
            run_factor: 1.0,
            expected_run: None,
        }
    }
}

/// Measurements of a successful attempt.
#[derive(Clone, Copy, Debug)]
pub struct RunObservation {
    /// Size that the job declares.
    pub declared: ResourceVector,
    /// Peak measured usage, if any was measured.
    pub peak: Option<ResourceVector>,
    /// Run time that the job declares.
    pub declared_run: Option<Millis>,
    /// Time from start to end.
    pub ran: Millis,
}

/// Estimates by group `K`, which identifies a customer and class.
#[derive(Debug)]
pub struct Estimator<K> {
    groups: HashMap<K, GroupEstimate>,
}

impl<K> Default for Estimator<K> {
    fn default() -> Self {
        Self {
            groups: HashMap::new(),
        }
    }
}

impl<K: Eq + Hash> Estimator<K> {
    /// Returns the resources to allocate to a task of this declared size.
    ///
    /// Accelerators cannot be divided and stay as declared.
    pub fn allocation_size(&self, group: &K, declared: &ResourceVector) -> ResourceVector {
        let Some(estimate) = self.groups.get(group) else {
            return *declared;
        };
        ResourceVector::new(
            scale(declared.cpu_millis.get(), estimate.cpu_factor),
            scale(declared.memory_mib.get(), estimate.memory_factor),
            declared.accelerators,
        )
    }

    /// Returns the expected run time; `None` when none is declared and too few were observed.
    pub fn run_time(&self, group: &K, declared: Option<Millis>) -> Option<Millis> {
        let estimate = self.groups.get(group);
        match declared {
            Some(declared) => {
                let factor = estimate.map_or(1.0, |estimate| estimate.run_factor);
                Some(Millis::new(scale(declared.get(), factor)))
            }
            None => estimate.and_then(|estimate| estimate.expected_run),
        }
    }

    /// Updates the estimates of a group with a successful attempt.
    pub fn observe(&mut self, group: K, observation: &RunObservation) {
        let estimate = self.groups.entry(group).or_default();
        if let Some(peak) = observation.peak {
            let declared = &observation.declared;
            let ratio = usage_ratio(peak.cpu_millis.get(), declared.cpu_millis.get());
            estimate.cpu_ratios.push(ratio);
            let ratio = usage_ratio(peak.memory_mib.get(), declared.memory_mib.get());
            estimate.memory_ratios.push(ratio);
            estimate.cpu_factor = estimate.cpu_ratios.size_factor();
            estimate.memory_factor = estimate.memory_ratios.size_factor();
        }
        if let Some(declared) = observation
            .declared_run
            .filter(|declared| declared.get() > 0)
        {
            let ratio = observation.ran.get() as f32 / declared.get() as f32;
            estimate.run_ratios.push(ratio);
            estimate.run_factor = estimate.run_ratios.run_quantile().unwrap_or(1.0);
        } else {
            estimate.run_millis.push(observation.ran.get() as f32);
            let known = estimate.run_millis.run_quantile();
            estimate.expected_run = known.map(|millis| Millis::new(millis as u64));
        }
    }
}

fn usage_ratio(peak: u64, declared: u64) -> f32 {
    match declared {
        0 => 1.0,
        declared => peak as f32 / declared as f32,
    }
}

fn scale(amount: u64, factor: f32) -> u64 {
    // Groups with too few observations have a factor of exactly one. Their amounts are returned
    // unchanged, because the conversion to floating point could round them.
    if factor == 1.0 {
        return amount;
    }
    (amount as f64 * f64::from(factor)).ceil() as u64
}
