//! The monotonic clock of the daemon.

use std::time::Instant;

use magnolia_types::Millis;

/// Monotonic clock in milliseconds since the start of the daemon.
#[derive(Clone, Copy, Debug)]
pub struct DaemonClock {
    origin: Instant,
}

impl DaemonClock {
    /// Creates a clock that starts at zero.
    pub fn new() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// Returns the time since the creation of the clock.
    pub fn now(&self) -> Millis {
        Millis::new(u64::try_from(self.origin.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}
