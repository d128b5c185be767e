//! Whether a submission waits while the store is away.
//!
//! Answers outages of a few seconds, in which nothing can be accepted. A caller with time to spare is
//! told when to come back, so that it does come back in time. One that could not waits where the store
//! is expected to return before it leaves, and is refused at once otherwise.

use magnolia_types::Millis;

/// Verdict on a submission that can't be stored now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutageDecision {
    /// It waits for the store.
    Wait,
    /// It is refused and never runs.
    Refuse {
        /// When to come back.
        retry_after: Millis,
    },
}

/// Shortest time to come back: the header that carries it counts whole seconds.
const MIN_RETRY_AFTER: Millis = Millis::new(1000);
/// Longest time to come back: outages are shorter as a rule.
const MAX_RETRY_AFTER: Millis = Millis::new(4000);
/// Time in which a job is stored and its caller told, once the store is back: two calls of the store
/// and the pause before a repeat.
const ACCEPT_TIME: Millis = Millis::new(300);
/// Time that a refusal takes to its caller: the interval of the pass over waiting submissions, and the
/// way back through another daemon.
const REFUSAL_TIME: Millis = Millis::new(200);

/// Decides by how long the store has been away and how long the caller still waits.
pub fn decide_outage(away: Millis, time_left: Millis) -> OutageDecision {
    // An outage of unknown length is expected to last as long again as it has lasted.
    let returns_in_time = time_left > MIN_RETRY_AFTER.saturating_add(ACCEPT_TIME);
    if !returns_in_time && away <= time_left && time_left > REFUSAL_TIME {
        return OutageDecision::Wait;
    }
    let latest = time_left.saturating_sub(ACCEPT_TIME).get() / 1000 * 1000;
    let retry_after = away
        .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER)
        .min(Millis::new(latest))
        .max(MIN_RETRY_AFTER);
    OutageDecision::Refuse { retry_after }
}
