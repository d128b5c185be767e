//! Handling of submissions while the store is unavailable.
//!
//! Nothing can be accepted during an outage of the store, which lasts a few seconds as a rule. A
//! caller with enough time left is refused with a retry delay after which it still has time. One
//! without enough time for a retry waits if the store is expected to be back before it leaves, and
//! is refused at once otherwise.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

/// Decision on a submission that can't be stored now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageDecision {
    /// It waits for the store.
    Wait,
    /// It is refused and never runs.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: Millis,
    },
}

/// Shortest retry delay: the header that carries it is in whole seconds.
const MIN_RETRY_AFTER: Millis = Millis::new(1000);
/// Longest retry delay: outages are shorter as a rule.
const MAX_RETRY_AFTER: Millis = Millis::new(4000);
/// Time to store a job and answer its caller once the store is back: two calls to the store and the
/// delay before a repeat.
const ACCEPT_TIME: Millis = Millis::new(300);
/// Time until a refusal reaches its caller: the interval between two checks of the waiting
/// submissions, and the response through another daemon.
const REFUSAL_TIME: Millis = Millis::new(200);

/// Decides by how long the store has been unavailable (`outage`) and how long the caller still
/// waits.
pub fn decide_outage(outage: Millis, time_left: Millis) -> OutageDecision {
    // An outage of unknown length is expected to last as long again as it has lasted so far.
    let can_retry = time_left > MIN_RETRY_AFTER.saturating_add(ACCEPT_TIME);
    if !can_retry && outage <= time_left && time_left > REFUSAL_TIME {
        return OutageDecision::Wait;
    }
    let latest = (time_left.saturating_sub(ACCEPT_TIME).get() / 1000).saturating_mul(1000);
    let retry_after = outage
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .min(Millis::new(latest))
        .max(MIN_RETRY_AFTER);
    OutageDecision::Refuse { retry_after }
}
