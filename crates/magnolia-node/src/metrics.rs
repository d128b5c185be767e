//! Counters, gauges and latency histograms of a daemon, and their text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Mutex, PoisonError};

use hdrhistogram::Histogram;
use magnolia_types::Millis;

/// Counters, gauges and histograms of a daemon.
#[derive(Default)]
pub struct NodeMetrics {
    counters: Mutex<BTreeMap<&'static str, u64>>,
    gauges: Mutex<BTreeMap<&'static str, u64>>,
    latencies: Mutex<BTreeMap<&'static str, Histogram<u32>>>,
    /// Gauges by client account; each report replaces all values of a name.
    account_gauges: Mutex<BTreeMap<&'static str, Vec<(String, u64)>>>,
}

/// Largest latency that a histogram records, in milliseconds; larger ones count as this.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant decimal digits of a histogram; one digit keeps it at a few kilobytes.
const LATENCY_DIGITS: u8 = 1;
/// Quantiles that are exported.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

impl NodeMetrics {
    /// Creates metrics without values.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds one to a counter.
    pub fn count(&self, name: &'static str) {
        self.add(name, 1);
    }

    /// Adds to a counter.
    pub fn add(&self, name: &'static str, amount: u64) {
        let mut counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        *counters.entry(name).or_default() += amount;
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &'static str, value: u64) {
        let mut gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        gauges.insert(name, value);
    }

    /// Replaces the values of a gauge by client account.
    pub fn account_gauge(&self, name: &'static str, values: Vec<(String, u64)>) {
        let mut gauges = self
            .account_gauges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        gauges.insert(name, values);
    }

    /// Records a latency in a histogram.
    pub fn latency(&self, name: &'static str, time: Millis) {
        let mut latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let new = || Histogram::new_with_bounds(1, MAX_LATENCY_MS, LATENCY_DIGITS);
        if !latencies.contains_key(name) {
            match new() {
                Ok(histogram) => {
                    latencies.insert(name, histogram);
                }
                Err(error) => {
                    log::error!(name = name, error:% = error; "can't create histogram");
                    return;
                }
            }
        }
        if let Some(histogram) = latencies.get_mut(name) {
            histogram.saturating_record(time.get().max(1));
        }
    }

    /// Returns all metrics as lines of name and value.
    pub fn render(&self) -> String {
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            // Writing to a string cannot fail.
            let _ = writeln!(text, "magnolia_{name} {value}");
        };
        let counters = self.counters.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in counters.iter() {
            line(&format!("{name}_total"), *value);
        }
        drop(counters);
        let gauges = self.gauges.lock().unwrap_or_else(PoisonError::into_inner);
        for (name, value) in gauges.iter() {
            line(name, *value);
        }
        drop(gauges);
        let gauges = self
            .account_gauges
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, values) in gauges.iter() {
            for (account, value) in values {
                line(&format!("{name}{{account=\"{account}\"}}"), *value);
            }
        }
        drop(gauges);
        let latencies = self
            .latencies
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for (name, histogram) in latencies.iter() {
            line(&format!("{name}_ms_count"), histogram.len());
            for quantile in QUANTILES {
                let value = histogram.value_at_quantile(quantile);
                line(&format!("{name}_ms{{quantile=\"{quantile}\"}}"), value);
            }
        }
        drop(latencies);
        text
    }
}
