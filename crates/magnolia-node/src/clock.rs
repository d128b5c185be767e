//! Steady time since the start of the process, and the time of day.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use magnolia_types::Millis;

/// Clock of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Steady time at the start: above zero, so that no reading equals an unset time.
    const FIRST: Millis = Millis::new(1);

    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the steady time.
    pub fn now(&self) -> Millis {
        let passed = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Self::FIRST.saturating_add(Millis::new(passed))
    }

    /// Returns the time of day in Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(time) => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            Err(error) => {
                log::error!(error:% = error; "time of day lies before 1970");
                0
            }
        }
    }
}

impl Default for NodeClock {
    fn default() -> Self {
        Self::new()
    }
}
