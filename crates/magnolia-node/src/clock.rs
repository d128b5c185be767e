//! Monotonic time since the start of the process, and wall-clock time.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use magnolia_types::Millis;
use nix::time::{ClockId, clock_gettime};

/// Monotonic clock and wall clock of a daemon.
///
/// The monotonic clock counts the time for which the machine was suspended. Leases and the evidence
/// of ownership expire during that time.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    start: Duration,
}

impl NodeClock {
    /// Monotonic time at the start. It is not zero, because zero stands for an unset time.
    const START: Millis = Millis::new(1);

    /// Creates a clock that starts now.
    pub fn new() -> Self {
        Self {
            start: time_since_boot(),
        }
    }

    /// Returns the monotonic time.
    pub fn now(&self) -> Millis {
        let elapsed = time_since_boot().saturating_sub(self.start).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or(u64::MAX);
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

/// Returns the time since the machine was started.
fn time_since_boot() -> Duration {
    #[expect(clippy::expect_used, reason = "every supported kernel has this clock")]
    clock_gettime(ClockId::CLOCK_BOOTTIME)
        .expect("the clock exists")
        .into()
}

impl Default for NodeClock {
    fn default() -> Self {
        Self::new()
    }
}
