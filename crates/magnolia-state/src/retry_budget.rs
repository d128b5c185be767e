//! Limits the retries of quick requests to one target: an executor or an executor group.

/// Token bucket of retries: each first attempt adds a fraction of a retry.
///
/// Without a limit, retries multiply the load on targets that are already failing.
#[derive(Clone, Debug, PartialEq)]
pub struct RetryBudget {
    /// Available tokens, in hundredths of a retry.
    hundredths: u32,
}

impl RetryBudget {
    /// Retries that are allowed per first attempt, in percent; also the number of tokens that a
    /// first attempt adds.
    pub const PERCENT: u32 = 10;
    /// Maximum number of retries that the budget can hold.
    pub const BURST: u32 = 10;
    /// Tokens that one retry consumes.
    const COST: u32 = 100;

    /// Creates a full budget.
    pub fn new() -> Self {
        Self {
            hundredths: Self::BURST * Self::COST,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn record_request(&mut self) {
        let tokens = self.hundredths.saturating_add(Self::PERCENT);
        self.hundredths = tokens.min(Self::BURST * Self::COST);
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
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
