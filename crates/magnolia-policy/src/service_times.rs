//! Learned service times and decayed sums of slot time.

use std::collections::HashMap;

use magnolia_types::{CustomerName, Millis, WorkClass};

/// Share of a new observation in a learned service time.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Mean service times by class and customer.
#[derive(Default)]
pub struct ServiceTimes {
    by_customer: HashMap<WorkClass, HashMap<CustomerName, f64>>,
    by_class: HashMap<WorkClass, f64>,
}

impl ServiceTimes {
    /// Returns the expected service time; that of the class when the customer is new.
    pub fn expected_ms(&self, class: &WorkClass, customer: &CustomerName) -> Option<f64> {
        let customers = self.by_customer.get(class);
        let own = customers.and_then(|customers| customers.get(customer));
        own.or_else(|| self.by_class.get(class)).copied()
    }

    /// Returns the mean service time of a class.
    pub fn class_ms(&self, class: &WorkClass) -> Option<f64> {
        self.by_class.get(class).copied()
    }

    /// Learns from one request.
    pub fn observe(&mut self, class: &WorkClass, customer: &CustomerName, took_ms: f64) {
        let mean = self.by_class.entry(class.clone()).or_insert(took_ms);
        *mean += SMOOTHING_FACTOR * (took_ms - *mean);
        let customers = self.by_customer.entry(class.clone()).or_default();
        let mean = customers.entry(customer.clone()).or_insert(took_ms);
        *mean += SMOOTHING_FACTOR * (took_ms - *mean);
    }
}

/// A sum whose parts fade with their age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedSum {
    value: f64,
    at: Millis,
}

impl DecayedSum {
    /// Time in which a part fades to 1/e; long against requests, short against floods.
    pub const TIME_CONSTANT_MS: f64 = 1000.0;

    /// Returns the sum at a time.
    pub fn value(&mut self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.at).get();
        if elapsed > 0 {
            self.value *= (-(elapsed as f64) / Self::TIME_CONSTANT_MS).exp();
            self.at = now;
        }
        self.value.max(0.0)
    }

    /// Adds a part; a negative one corrects an earlier estimate.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.value(now);
        self.value += amount;
    }
}
