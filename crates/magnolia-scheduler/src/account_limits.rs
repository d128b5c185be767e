//! Limits on what the tasks of a client account may take on all executors together.
//!
//! Decides for a full account how many further tasks may start. Load: accounts whose callers send
//! more than the limit of their account lets run at once, beside accounts below theirs.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::{Millis, ResourceVector};

/// What counts against the limit of an account.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AccountLoad {
    /// Resources of the runs that this owner knows of, from the order to start until their end is
    /// known.
    pub running: ResourceVector,
    /// Most resources that runs of earlier owners may take on executors that have not answered this
    /// owner.
    pub unlocated: ResourceVector,
    /// Resources that the tasks leave free for more urgent ones of the account.
    pub kept_free: ResourceVector,
}

impl AccountLoad {
    /// Returns the most resources that may be in use.
    pub fn total(&self) -> ResourceVector {
        self.running.saturating_add(&self.unlocated)
    }
}

/// Returns `cap` raised by a part in thousandths.
pub fn raise_cap(cap: &ResourceVector, permille: u64) -> ResourceVector {
    let raise = |amount: u64| amount.saturating_add(amount.saturating_mul(permille) / 1000);
    ResourceVector::new(
        raise(cap.cpu_millis.get()),
        raise(cap.memory_mib.get()),
        u32::try_from(raise(u64::from(cap.accelerators))).unwrap_or(u32::MAX),
    )
}

/// Returns how many tasks that need `need` each fit below `cap` beside `load`.
///
/// An account of which nothing may be running can start one task whatever its size, so that a job
/// which was accepted under a higher limit still ends.
pub fn tasks_below_cap(cap: &ResourceVector, load: &AccountLoad, need: &ResourceVector) -> u32 {
    let total = load.total().saturating_add(&load.kept_free);
    let amounts = [
        (
            cap.cpu_millis.get(),
            total.cpu_millis.get(),
            need.cpu_millis.get(),
        ),
        (
            cap.memory_mib.get(),
            total.memory_mib.get(),
            need.memory_mib.get(),
        ),
        (
            u64::from(cap.accelerators),
            u64::from(total.accelerators),
            u64::from(need.accelerators),
        ),
    ];
    let fitting = amounts
        .into_iter()
        .filter(|(cap, _, need)| *cap > 0 && *need > 0)
        .map(|(cap, used, need)| cap.saturating_sub(used).checked_div(need).unwrap_or(0))
        .min()
        .unwrap_or(u64::MAX);
    let fitting = u32::try_from(fitting).unwrap_or(u32::MAX);
    if load.total().is_zero() {
        fitting.max(1)
    } else {
        fitting
    }
}

/// Processors that an account is expected to need for urgent tasks at short notice, in thousandths.
///
/// Load: accounts whose batch tasks would fill their limit for seconds, so that their next urgent job
/// would be late in a cell with free processors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UrgentDemand {
    peak_millis: u64,
    peak_at: Millis,
}

impl UrgentDemand {
    /// Time in which a peak that does not recur loses half of its weight.
    const HALF_LIFE: Millis = Millis::new(10_000);
    /// Largest part of the limit that is kept free, as a divisor.
    const MAX_SHARE: u64 = 2;

    /// Records an urgent job whose widest step needs so many processors.
    pub fn observe(&mut self, millis: u64, now: Millis) {
        if millis >= self.expected(now) {
            self.peak_millis = millis;
            self.peak_at = now;
        }
    }

    /// Returns the processors that the next urgent job is expected to need.
    pub fn expected(&self, now: Millis) -> u64 {
        let since = now.saturating_sub(self.peak_at).get();
        let halvings = since.checked_div(Self::HALF_LIFE.get()).unwrap_or(0);
        let shift = u32::try_from(halvings).unwrap_or(u32::MAX);
        self.peak_millis.checked_shr(shift).unwrap_or(0)
    }

    /// Returns what other tasks leave free below a limit of `cap_millis`, while urgent tasks use
    /// `urgent_millis`. Tasks that need `needed_millis` together are not kept out by it alone.
    pub fn kept_free(
        &self,
        cap_millis: u64,
        urgent_millis: u64,
        needed_millis: u64,
        now: Millis,
    ) -> u64 {
        let beside = cap_millis.saturating_sub(needed_millis);
        let largest = (cap_millis / Self::MAX_SHARE).min(beside);
        let kept = self.expected(now).min(largest);
        kept.saturating_sub(urgent_millis)
    }
}

/// Returns whether so many tasks that start together can ever fit below `cap`.
pub fn can_fit_cap(cap: &ResourceVector, need: &ResourceVector, together: u32) -> bool {
    let times = u64::from(together);
    let fits = |cap: u64, need: u64| cap == 0 || need.saturating_mul(times) <= cap;
    fits(cap.cpu_millis.get(), need.cpu_millis.get())
        && fits(cap.memory_mib.get(), need.memory_mib.get())
        && fits(u64::from(cap.accelerators), u64::from(need.accelerators))
}
