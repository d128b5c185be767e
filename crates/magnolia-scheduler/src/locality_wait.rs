//! How long a task waits for a place near its data.
//!
//! Load: many jobs whose data is on one rack, while other racks have room. A task runs longer away
//! from its data, by a factor of the deployment. Waiting pays as long as the expected rest of the wait
//! and the run near the data together are shorter than the run elsewhere, started now.
//!
//! Delay scheduling (Zaharia et al., EuroSys 2010) waits for a fixed time. Here the time follows from
//! the turnover of the rack, so that a rack that everyone wants does not become a queue.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

/// Longest wait whatever it may save: the platform asks that a job with room elsewhere begins within
/// three seconds.
const MAX_WAIT: Millis = Millis::new(2000);

/// What is known when a task could start away from its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitLoad {
    /// Estimated run time near the data.
    pub near_run: Millis,
    /// Run time elsewhere as a multiple of that, in thousandths.
    pub far_permille: u64,
    /// Processors that become free near the data, in thousandths a second.
    pub turnover_millis: u64,
    /// Processors that the task and those that wait before it for the same place need, in thousandths.
    pub wanted_millis: u64,
    /// Time for which the task has waited.
    pub waited: Millis,
    /// Time after which a start near the data is too late for the objective of the job.
    pub slack: Millis,
}

/// Whether a task waits for a place near its data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// It waits; a place is expected after this time.
    Wait(Millis),
    /// It starts elsewhere now.
    StartElsewhere,
}

/// Decides whether a task waits for a place near its data, or starts elsewhere.
pub fn decide_locality_wait(load: &WaitLoad) -> WaitDecision {
    let far_run = load.near_run.get().saturating_mul(load.far_permille) / 1000;
    let saved = far_run.saturating_sub(load.near_run.get());
    // A task that has waited for as long as it can save has lost at most that much by waiting.
    let longest = saved.min(MAX_WAIT.get());
    let expected = load
        .wanted_millis
        .saturating_mul(1000)
        .checked_div(load.turnover_millis);
    match expected {
        // A task that would be late all the same leaves the place to one that is not.
        Some(rest)
            if rest < saved
                && rest <= load.slack.get()
                && load.waited.get().saturating_add(rest) <= longest =>
        {
            WaitDecision::Wait(Millis::new(rest))
        }
        _ => WaitDecision::StartElsewhere,
    }
}

/// Processors that become free on a group of executors, as a moving mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnoverMeter {
    /// Thousandths of processors a second, as of `at`.
    rate: f64,
    /// When it was last updated.
    at: Millis,
}

impl TurnoverMeter {
    /// Time in which the mean forgets; some runs of urgent tasks.
    const WINDOW_MS: f64 = 2000.0;

    /// Records that so many processors became free.
    pub fn record(&mut self, millis: u64, now: Millis) {
        self.rate = self.decayed(now) + millis as f64 * 1000.0 / Self::WINDOW_MS;
        self.at = now;
    }

    /// Returns the thousandths of processors that become free a second.
    pub fn rate(&self, now: Millis) -> u64 {
        // Converting saturates.
        self.decayed(now) as u64
    }

    fn decayed(&self, now: Millis) -> f64 {
        let since = now.saturating_sub(self.at).get() as f64;
        self.rate * (-since / Self::WINDOW_MS).exp()
    }
}
