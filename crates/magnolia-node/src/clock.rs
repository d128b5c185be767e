//! Monotonic time since the start of the process, and wall-clock time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use magnolia_types::Millis;

/// Monotonic clock and wall clock of a daemon.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Instant,
}

impl NodeClock {
    /// Monotonic time at the start. It is not zero, because zero stands for an unset time.
    const START: Millis = Millis::new(1);

    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Millis {
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX);
        Self::START.saturating_add(Millis::new(elapsed))
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub fn unix_ms(&self) -> u64 {
        match SystemTime::now().duration_since(UNIX_EPOCH) {
            Ok(time) => u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
            Err(error) => {
                log::error!(error:% = error; "system clock is set before 1970");
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
