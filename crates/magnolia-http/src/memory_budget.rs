//! Account of the memory that clients make a process hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Memory that clients may make a process hold, in bytes. What they hold is taken before it is read.
#[derive(Debug)]
pub struct MemoryBudget {
    total: u64,
    used: AtomicU64,
}

/// Memory taken from a budget, which is given back when the share is dropped.
#[derive(Debug)]
pub struct MemoryShare {
    budget: Arc<MemoryBudget>,
    bytes: u64,
}

impl MemoryBudget {
    /// Part of the budget that only small amounts may use, as a divisor: large bodies leave it to
    /// short calls.
    const SHORT_CALL_SHARE: u64 = 4;

    /// Creates a budget of so many bytes.
    pub fn new(total: u64) -> Arc<Self> {
        Arc::new(Self {
            total,
            used: AtomicU64::new(0),
        })
    }

    /// Returns the bytes taken.
    pub fn used(&self) -> u64 {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the size of the budget in bytes.
    pub fn total(&self) -> u64 {
        self.total
    }

    /// Returns an empty share.
    pub fn empty_share(self: &Arc<Self>) -> MemoryShare {
        MemoryShare {
            budget: Arc::clone(self),
            bytes: 0,
        }
    }

    fn take(&self, bytes: u64, limit: u64) -> bool {
        let taken = |used: u64| used.checked_add(bytes).filter(|used| *used <= limit);
        self.used
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, taken)
            .is_ok()
    }
}

impl MemoryShare {
    /// Takes further bytes; returns whether the budget had them. `short` tells whether they are part
    /// of a short call, which may use the whole budget.
    pub fn grow(&mut self, bytes: u64, short: bool) -> bool {
        let total = self.budget.total;
        let kept = if short {
            0
        } else {
            total / MemoryBudget::SHORT_CALL_SHARE
        };
        let taken = self.budget.take(bytes, total.saturating_sub(kept));
        if taken {
            self.bytes = self.bytes.saturating_add(bytes);
        }
        taken
    }

    /// Returns the bytes of the share.
    pub fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Drop for MemoryShare {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
