//! Bound of the retries against one peer.

/// Token bucket: each first attempt earns a part of a retry.
///
/// Without a bound, retries multiply the load on peers that already fail.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Tokens in hundredths of a retry.
    hundredths: u32,
}

impl RetryBudget {
    /// Share of first attempts that may be retried, in percent.
    pub const PERCENT: u32 = 10;
    /// Most retries saved up.
    pub const BURST: u32 = 10;
    /// Hundredths that one retry costs.
    const COST: u32 = 100;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            hundredths: Self::BURST * Self::COST,
        }
    }

    /// Earns for one first attempt.
    pub fn record_request(&mut self) {
        let earned = self.hundredths.saturating_add(Self::PERCENT);
        self.hundredths = earned.min(Self::BURST * Self::COST);
    }

    /// Takes one retry; `false` when the budget is spent.
    pub fn try_retry(&mut self) -> bool {
        let left = self.hundredths.checked_sub(Self::COST);
        self.hundredths = left.unwrap_or(self.hundredths);
        left.is_some()
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new()
    }
}
