//! Weighted shares of the client accounts.
//!
//! Each accepted job of an account gets a virtual start time: the jobs of an account start one after
//! the other, at the rate of its weight. As long as the account sends no more than that, virtual
//! start times are those of the acceptance. An account that sends more gets ahead of its share. Its
//! further jobs come after those of the same priority of all accounts within their share. Load: one account that sends many times its usual beside others that send theirs.
//!
//! This is the virtual scheduling of Goyal, Vin and Cheng (Start-time Fair Queueing, 1996) with wall
//! time as virtual time, so that the state of an account is a single time.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

use crate::AccountWeight;

/// Time by which an account may be ahead of its share before its jobs count as beyond it: the weight
/// is in jobs a second, so that as many may come at once.
const BURST_TIME_US: u64 = 1_000_000;

/// Virtual time of one account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShareClock {
    /// Virtual start time of the next job, in Unix microseconds.
    next_us: u64,
}

/// Position of a job relative to the share of its account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SharePosition {
    /// The job is within the share.
    Within,
    /// The account is ahead of its share; the job would be within it after this time.
    Beyond(Millis),
}

impl ShareClock {
    /// Returns the position of a job that is submitted now, without counting it.
    pub fn position(&self, weight: AccountWeight, now_unix_ms: u64) -> SharePosition {
        if weight.get() == 0 {
            return SharePosition::Within;
        }
        let allowed = now_unix_ms
            .saturating_mul(1000)
            .saturating_add(BURST_TIME_US);
        match self.next_us.checked_sub(allowed) {
            None | Some(0) => SharePosition::Within,
            Some(ahead) => SharePosition::Beyond(Millis::new(ahead.div_ceil(1000))),
        }
    }

    /// Counts a job that was accepted at this time.
    pub fn count(&mut self, weight: AccountWeight, accepted_unix_ms: u64) {
        let accepted_us = accepted_unix_ms.saturating_mul(1000);
        let interval_us = 1_000_000_000u64.checked_div(weight.get()).unwrap_or(0);
        self.next_us = self.next_us.max(accepted_us).saturating_add(interval_us);
    }
}
