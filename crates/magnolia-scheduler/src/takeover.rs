//! Change of owner: which executors must answer a new owner before it starts inherited tasks.
//!
//! The store records the executors in use. A new owner starts a task that an earlier owner may have
//! started only after all executors on which it may run have answered, or after the leases there
//! have expired. For executors on which nothing new starts, the store also lists their tasks, so
//! that only these have to wait.

use std::collections::BTreeSet;

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executor_state::{ExecutorState, stretch_lease};
use crate::executors::{ExecutorIndex, ExecutorRecord, ExecutorStatus, ExecutorUse};
use crate::witnesses::WitnessListing;
use crate::{StepRef, TaskRef};

/// Inherited tasks that can't start because an executor has not answered since the change of owner.
#[derive(Default)]
pub(crate) struct TakeoverBlock {
    /// Whether all inherited tasks are blocked: one of these executors may run any of them.
    pub(crate) all: bool,
    /// Tasks that may run on one of these executors, or begin there late.
    pub(crate) tasks: BTreeSet<TaskRef>,
}

impl CellScheduler {
    /// Loads an executor that an earlier owner had in use, before anything starts.
    pub fn load_executor(&mut self, record: ExecutorRecord, now: Millis) {
        self.loaded_at = now;
        let wait = self.settings.longest_takeover_wait();
        let unproven_wait = self.settings.unproven_wait();
        let usage = ExecutorUse::of(Some(&record));
        let listing = WitnessListing::of(Some(&record));
        let life = record.entry.life;
        let executor_index = self.executors.add(record.entry);
        let executor = self.executors.get_mut(executor_index);
        executor.listed = false;
        executor.has_entry = false;
        executor.recorded_life = Some(life);
        let restart_lease = record.restart_lease_left.unwrap_or_default();
        executor.restart_leases_end = now.saturating_add(restart_lease);
        executor.inherited = true;
        executor.listing = listing;
        executor.usage = usage;
        executor.stored_usage = executor.usage;
        executor.inherited_tasks = record.confined_to.map(BTreeSet::from_iter);
        executor.lease_recorded = record.lease_left.is_some();
        executor.lease_batched = executor.lease_recorded;
        let late = record.late_starts.into_iter();
        executor.inherited_starts = late
            .map(|(task, left)| (task, now.saturating_add(left)))
            .collect();
        let stored = record.lease_left.filter(|left| *left < wait);
        executor.settles_because = if stored.is_some() {
            "the stored lease has ended"
        } else {
            "the longest lease has ended"
        };
        executor.settles_at = now.saturating_add(stored.unwrap_or(wait));
        // A lease is stored with all leases that the owner may have granted.
        if stored.is_none() {
            executor.unproven_wait = unproven_wait;
        }
    }

    /// Records that no earlier owner sends orders any more, so that all leases that they granted
    /// have expired once [`SchedulerSettings::lease_end`](crate::SchedulerSettings::lease_end) has
    /// passed.
    pub fn apply_earlier_owners_ended(&mut self, now: Millis) {
        let settles_at = now.saturating_add(self.settings.lease_end());
        self.exclude_earlier_owners(settles_at, "all earlier owners have ended");
    }

    /// Tells whether it matters when the earlier owners end: one may still be attested, or inherited
    /// tasks wait for executors that have not answered yet.
    pub fn awaits_earlier_owners(&self) -> bool {
        let unsettled = |executor: &ExecutorState| executor.inherited && !executor.settled;
        let mut executors = self.executors.iter();
        !self.earlier_excluded || executors.any(|(_, executor)| unsettled(executor))
    }

    /// Takes executors out of use that are draining or no longer listed and run nothing, so that
    /// the next owner does not wait for them.
    pub(crate) fn retire_leaving(&mut self) {
        let leaving = |executor: &ExecutorState| {
            let leaves = !executor.listed || executor.entry.status == ExecutorStatus::Draining;
            let used = executor.usage != ExecutorUse::Unused;
            leaves && used && executor.settled && executor.runs.is_empty()
        };
        let indexes: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| leaving(executor))
            .map(|(executor_index, _)| executor_index)
            .collect();
        indexes
            .into_iter()
            .for_each(|executor_index| self.retire_executor(executor_index));
    }

    /// Takes an executor out of use if it has no runs, none whose end may be unlisted, and no later
    /// life of it may begin one.
    pub(crate) fn retire_executor(&mut self, executor_index: ExecutorIndex) {
        let executor = self.executors.get_mut(executor_index);
        let empty = executor.runs.is_empty()
            && executor.inherited_starts.is_empty()
            && !executor.may_have_unlisted_ends;
        if executor.usage != ExecutorUse::Unused && empty {
            executor.usage = ExecutorUse::Unused;
            self.mark_executor_dirty(executor_index);
        }
    }

    /// Confines executors that are draining or unresponsive: nothing new starts there, and their
    /// tasks are stored, so that only these wait for the executor after a change of owner.
    pub(crate) fn confine_executors(&mut self, now: Millis) {
        let to_confine = |executor: &ExecutorState| {
            let leaves = executor.entry.status == ExecutorStatus::Draining;
            let open = executor.usage == ExecutorUse::Open && executor.settled;
            // The tasks of unlisted ends can't be stored.
            let known = !executor.may_have_unlisted_ends;
            open && known && (leaves || !executor.is_responsive(now))
        };
        let indexes: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| to_confine(executor))
            .map(|(executor_index, _)| executor_index)
            .collect();
        for executor_index in indexes {
            let executor = self.executors.get_mut(executor_index);
            executor.usage = ExecutorUse::Confined;
            log::info!(executor:% = executor.entry.id, runs = executor.runs.len();
                "executor is draining or unresponsive; nothing new starts there");
            self.mark_executor_dirty(executor_index);
        }
        // The remaining lease is stored once the executor is unresponsive, and removed from the
        // store before the lease is renewed again.
        let changed = |executor: &ExecutorState| {
            let recordable =
                executor.is_lease_recordable(now) && executor.lease.expires_at().is_some();
            // A record that waits for the store is not written again: while appends overlap, the newest
            // one would never be stored.
            recordable && !executor.lease_batched
                || executor.lease_batched && executor.is_responsive(now)
        };
        let indexes: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| changed(executor))
            .map(|(executor_index, _)| executor_index)
            .collect();
        indexes
            .into_iter()
            .for_each(|executor_index| self.mark_executor_dirty(executor_index));
    }

    /// Forgets starts of earlier owners that can't be carried out any more, once the executor has
    /// answered since, or a run that began at the last moment has no lease any more.
    pub(crate) fn expire_inherited_starts(&mut self, now: Millis) {
        let longest_lease = stretch_lease(self.settings.max_lease);
        for (_, executor) in self.executors.iter_mut() {
            let accepted_at = executor.accepted_at;
            executor.inherited_starts.retain(|_, until| {
                let has_answered = accepted_at.is_some_and(|at| at >= *until);
                let lease_end = until.saturating_add(longest_lease);
                now < *until || (now < lease_end && !has_answered)
            });
        }
    }

    /// Returns the inherited tasks that may run on executors that have not answered this owner yet,
    /// or that a later life of an executor may begin by a start of an earlier owner.
    pub(crate) fn takeover_block(&self) -> TakeoverBlock {
        let mut block = TakeoverBlock::default();
        let executors = self.executors.iter().map(|(_, executor)| executor);
        for executor in executors.filter(|executor| executor.blocks_inherited()) {
            match &executor.inherited_tasks {
                Some(tasks) => block.tasks.extend(tasks),
                None => block.all = true,
            }
        }
        let executors = self.executors.iter().map(|(_, executor)| executor);
        let late = executors.flat_map(|executor| executor.inherited_starts.keys());
        block.tasks.extend(late);
        block
    }

    /// Tells whether an earlier owner may have started tasks of a step.
    pub(crate) fn is_inherited(&self, step: StepRef) -> bool {
        self.step_state(step).is_some_and(|state| state.inherited)
    }

    /// Tells whether tasks of a step have to wait because of an earlier owner.
    pub(crate) fn is_blocked(&self, step: StepRef) -> bool {
        let block = self.takeover_block();
        let may_run = block.tasks.iter().any(|task| task.step == step);
        self.is_inherited(step) && (block.all || may_run)
    }
}
