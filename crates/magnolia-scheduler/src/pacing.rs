//! CPU share of filler tasks beside tasks with a latency target.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

/// Decision on the CPU share of the fillers of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceDecision {
    /// Keep the present share.
    Keep,
    /// Set the share, in percent.
    Set(u8),
}

/// Tail latency, in percent of its target, from which the share is halved.
const YIELD_PERCENT: u64 = 75;
/// Tail latency, in percent of its target, below which the share is raised.
const RESUME_PERCENT: u64 = 50;
/// Step by which the share is raised, in percent. Small steps prevent oscillation between 0 and 100
/// when the tail latency is noisy.
const RESUME_STEP: u8 = 20;

/// Decides by the worst tail latency, in percent of its target, and the present share. From 100% of
/// the target, the share is set to 0.
pub fn decide_pace(worst_tail_percent: u64, share: u8) -> PaceDecision {
    if worst_tail_percent >= 100 && share > 0 {
        return PaceDecision::Set(0);
    }
    if worst_tail_percent >= YIELD_PERCENT && share > 0 {
        return PaceDecision::Set(share / 2);
    }
    if worst_tail_percent < RESUME_PERCENT && share < 100 {
        return PaceDecision::Set(share.saturating_add(RESUME_STEP).min(100));
    }
    PaceDecision::Keep
}
