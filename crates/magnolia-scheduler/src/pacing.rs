//! How much of the idle processors fillers may use beside tasks that serve.

/// What to do with the fillers of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceDecision {
    /// Leave their share.
    Keep,
    /// Give them this share, in percent.
    Set(u8),
}

/// Tail against target, in percent, from which fillers give way.
const YIELD_PERCENT: u64 = 75;
/// Tail against target, in percent, below which fillers get more.
const RESUME_PERCENT: u64 = 50;
/// Share that is given back at a time, in percent; below a full return, so that a noisy tail does
/// not swing the fillers between nothing and all.
const RESUME_STEP: u8 = 20;

/// Decides from the worst tail against its target, in percent, and the present share.
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
