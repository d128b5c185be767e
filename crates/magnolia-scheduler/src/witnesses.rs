//! Executors as witnesses of ownership while the store is unavailable.
//!
//! An executor rejects every order of an owner once it has answered a later one. The witnesses are
//! the executors that the store lists as in use. An owner without the store sends orders only while
//! more than half of the witnesses accept its epoch. A new owner that can't reach an executor waits
//! for the leases there only from the time at which half of the witnesses have answered it: from
//! then on, no earlier owner finds more than half any more. The writer's epoch fences the list, and
//! a new owner changes it only after that time, so that each owner counts the witnesses of the owner
//! before.

use magnolia_types::Millis;

use crate::ExecutorLife;
use crate::cell::CellScheduler;
use crate::executor_state::ExecutorState;
use crate::executors::{ExecutorIndex, ExecutorRecord, ExecutorUse};

/// What the store may hold of an executor as a witness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct WitnessListing {
    /// Life of the executor in the record that the store certainly holds.
    certain: Option<ExecutorLife>,
    /// Whether the store may hold a record that lists it as a witness.
    pub(crate) possible: bool,
}

impl WitnessListing {
    /// Returns the listing after a record of the executor was stored, or deleted.
    pub(crate) fn of(record: Option<&ExecutorRecord>) -> Self {
        let listed = record.filter(|record| record.witness);
        Self {
            certain: listed.map(|record| record.entry.life),
            possible: listed.is_some(),
        }
    }

    /// Takes into account that `record` may be stored from now on, in place of the present one.
    pub(crate) fn add_pending(&mut self, record: Option<&ExecutorRecord>) {
        let pending = Self::of(record);
        self.certain = self.certain.filter(|life| pending.certain == Some(*life));
        self.possible |= pending.possible;
    }
}

impl ExecutorState {
    /// Returns the start of the latest call in which it accepted the epoch of this owner as a
    /// witness.
    fn attested_at(&self) -> Option<Millis> {
        let attests = self.listing.certain == Some(self.entry.life);
        self.accepted_at.filter(|_| attests)
    }
}

impl CellScheduler {
    /// Returns the latest time since which more than half of the witnesses have accepted the epoch
    /// of this owner; `None` if fewer have ever accepted it.
    pub fn attested_since(&self) -> Option<Millis> {
        let executors = self.executors.iter().map(|(_, executor)| executor);
        let witnesses = executors.filter(|executor| executor.listing.possible);
        let attested: Vec<Option<Millis>> = witnesses.map(ExecutorState::attested_at).collect();
        let mut times: Vec<Millis> = attested.iter().flatten().copied().collect();
        times.sort_unstable_by(|left, right| right.cmp(left));
        times.get(attested.len() / 2).copied()
    }

    /// Checks whether half of the witnesses have answered this owner. From then on it may give up
    /// executors that do not answer, after a wait, and change the list of witnesses.
    pub(crate) fn check_exclusion(&mut self, now: Millis) {
        if self.earlier_excluded {
            return;
        }
        let executors = self.executors.iter().map(|(_, executor)| executor);
        let inherited =
            executors.filter(|executor| executor.inherited && executor.listing.possible);
        let (closed, open): (Vec<_>, Vec<_>) =
            inherited.partition(|executor| executor.closed_to_earlier);
        let (closed, open) = (closed.len(), open.len());
        let outage_limit = self.settings.outage_limit;
        let is_over = now.saturating_sub(self.loaded_at) >= outage_limit;
        if closed < open && !is_over {
            return;
        }
        if open > 0 {
            log::info!(epoch:% = self.epoch, answered = closed, silent = open,
                took:% = now.saturating_sub(self.loaded_at); "earlier owners are excluded");
        }
        let since = now.max(self.last_closed_at);
        let settles_at = since.saturating_add(self.settings.takeover_wait());
        self.exclude_earlier_owners(settles_at, "half of the witnesses have answered");
    }

    /// Records that no earlier owner gets evidence any more, and that all leases that they granted
    /// have expired at `settles_at`.
    pub(crate) fn exclude_earlier_owners(&mut self, settles_at: Millis, reason: &'static str) {
        self.earlier_excluded = true;
        let unproven_wait = self.settings.unproven_wait();
        let waiting = self.executors.iter_mut().map(|(_, executor)| executor);
        for executor in waiting.filter(|executor| executor.blocks_inherited()) {
            if settles_at < executor.settles_at {
                executor.settles_at = settles_at;
                executor.unproven_wait = unproven_wait;
                executor.settles_because = reason;
            }
        }
        // Executors that came into use before are no witnesses yet.
        let in_use = |executor: &ExecutorState| executor.usage != ExecutorUse::Unused;
        let unlisted: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| in_use(executor) && !executor.listing.possible)
            .map(|(executor_index, _)| executor_index)
            .collect();
        unlisted
            .into_iter()
            .for_each(|executor_index| self.mark_executor_dirty(executor_index));
    }

    /// Tells whether the record of an executor can be stored now. Until the earlier owners are
    /// excluded, the list of witnesses has to stay as it is for the next owner.
    pub(crate) fn is_record_storable(&self, executor_index: ExecutorIndex) -> bool {
        let executor = self.executors.get(executor_index);
        let leaves = executor.usage == ExecutorUse::Unused && executor.listing.possible;
        self.earlier_excluded || !leaves
    }
}
