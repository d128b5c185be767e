//! Moving averages of service times and decaying sums of slot time.

use std::collections::HashMap;

use magnolia_types::{CustomerName, Millis, WorkClass};

/// Weight of a new observation in the moving average of a service time.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Moving averages of service times, by class and by customer within a class.
#[derive(Default)]
pub struct ServiceTimes {
    by_customer: HashMap<WorkClass, HashMap<CustomerName, f64>>,
    by_class: HashMap<WorkClass, f64>,
}

impl ServiceTimes {
    /// Returns the expected service time; that of the class when the customer has none yet.
    pub fn expected_ms(&self, class: &WorkClass, customer: &CustomerName) -> Option<f64> {
        let customers = self.by_customer.get(class);
        let own = customers.and_then(|customers| customers.get(customer));
        own.or_else(|| self.by_class.get(class)).copied()
    }

    /// Returns the moving average of the service time of a class.
    pub fn class_ms(&self, class: &WorkClass) -> Option<f64> {
        self.by_class.get(class).copied()
    }

    /// Updates the averages with one finished request.
    pub fn observe(&mut self, class: &WorkClass, customer: &CustomerName, took_ms: f64) {
        let mean = self.by_class.entry(class.clone()).or_insert(took_ms);
        *mean += SMOOTHING_FACTOR * (took_ms - *mean);
        let customers = self.by_customer.entry(class.clone()).or_default();
        let mean = customers.entry(customer.clone()).or_insert(took_ms);
        *mean += SMOOTHING_FACTOR * (took_ms - *mean);
    }
}

/// A sum whose terms decay exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayedSum {
    value: f64,
    /// When `value` was last brought up to date.
    at: Millis,
}

impl DecayedSum {
    /// Time in which a term decays to 1/e; long compared with the service time of a request, short
    /// compared with a flood of requests.
    pub const TIME_CONSTANT_MS: f64 = 1000.0;

    /// Returns the sum at the time `now`.
    pub fn value(&mut self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.at).get();
        if elapsed > 0 {
            self.value *= (-(elapsed as f64) / Self::TIME_CONSTANT_MS).exp();
            self.at = now;
        }
        self.value.max(0.0)
    }

    /// Adds an amount; a negative one corrects an earlier estimate.
    pub fn add(&mut self, now: Millis, amount: f64) {
        self.value(now);
        self.value += amount;
    }
}
