//! What a new owner has to know of executors, and what it waits for.
//!
//! The store holds which executors are in use. A new owner asks all of them before it starts what an
//! earlier owner may have started; of executors that get nothing new, the tasks there are stored too.

use std::collections::BTreeSet;

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executor_state::ExecutorState;
use crate::executors::{ExecutorIndex, ExecutorRecord, ExecutorStatus, ExecutorUse};
use crate::{StepRef, TaskRef};

/// Tasks that wait for executors which have not answered since the change of owner.
#[derive(Default)]
pub(crate) struct TakeoverBlock {
    /// Whether any inherited task may run there.
    pub(crate) all: bool,
    /// Tasks that may run there.
    pub(crate) tasks: BTreeSet<TaskRef>,
}

impl CellScheduler {
    /// Takes in an executor that an earlier owner had in use, before anything starts.
    pub fn load_executor(&mut self, record: ExecutorRecord, now: Millis) {
        let wait = self.settings.takeover_wait();
        let usage = ExecutorUse::of(Some(&record));
        let executor_index = self.executors.add(record.entry);
        let executor = self.executors.get_mut(executor_index);
        executor.listed = false;
        executor.inherited = true;
        executor.usage = usage;
        executor.stored_usage = executor.usage;
        executor.left_there = record.confined_to.map(BTreeSet::from_iter);
        executor.lease_recorded = record.lease_left.is_some();
        let wait = record.lease_left.map_or(wait, |left| left.min(wait));
        executor.settles_at = now.saturating_add(wait);
    }

    /// Takes the news that the earlier owner gives no orders any more: what it granted runs out one
    /// lease from now at the latest.
    pub fn apply_predecessor_ended(&mut self, now: Millis) {
        let settles_at = now.saturating_add(self.settings.lease_end());
        let waiting = self.executors.iter_mut().map(|(_, executor)| executor);
        for executor in waiting.filter(|executor| executor.blocks_inherited()) {
            executor.settles_at = executor.settles_at.min(settles_at);
        }
    }

    /// Takes executors out of use that get nothing new and run nothing, so that the next owner does
    /// not wait for them.
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

    /// Takes an executor out of use, after nothing can run there any more.
    pub(crate) fn retire_executor(&mut self, executor_index: ExecutorIndex) {
        let executor = self.executors.get_mut(executor_index);
        if executor.usage != ExecutorUse::Unused && executor.runs.is_empty() {
            executor.usage = ExecutorUse::Unused;
            self.mark_executor_dirty(executor_index);
        }
    }

    /// Stores what runs on executors that leave or are silent, where nothing new starts: the next
    /// owner then waits for them with these tasks only.
    pub(crate) fn confine_executors(&mut self, now: Millis) {
        let closed = |executor: &ExecutorState| {
            let leaves = executor.entry.status == ExecutorStatus::Draining;
            let open = executor.usage == ExecutorUse::Open && executor.settled;
            open && (leaves || !executor.is_responsive(now))
        };
        let indexes: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| closed(executor))
            .map(|(executor_index, _)| executor_index)
            .collect();
        for executor_index in indexes {
            let executor = self.executors.get_mut(executor_index);
            executor.usage = ExecutorUse::Confined;
            log::info!(executor:% = executor.entry.id, runs = executor.runs.len();
                "nothing new starts on an executor that leaves or is silent");
            self.mark_executor_dirty(executor_index);
        }
        // The rest of the lease is stored once the executor is silent, and withdrawn before the lease is
        // renewed again.
        let changed = |executor: &ExecutorState| {
            let recordable =
                executor.is_lease_recordable(now) && executor.lease.expires_at().is_some();
            recordable && !executor.lease_recorded
                || executor.lease_recorded && executor.is_responsive(now)
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

    /// Returns which tasks may run unseen on executors that have not answered this owner yet.
    pub(crate) fn takeover_block(&self) -> TakeoverBlock {
        let mut block = TakeoverBlock::default();
        let unseen = self.executors.iter().map(|(_, executor)| executor);
        for executor in unseen.filter(|executor| executor.blocks_inherited()) {
            match &executor.left_there {
                Some(tasks) => block.tasks.extend(tasks),
                None => block.all = true,
            }
        }
        block
    }

    /// Tells whether an earlier owner may have started tasks of a step.
    pub(crate) fn is_inherited(&self, step: StepRef) -> bool {
        self.step_state(step).is_some_and(|state| state.inherited)
    }

    /// Tells whether tasks of a step may run unseen on an executor that has not answered this owner.
    pub(crate) fn is_blocked(&self, step: StepRef) -> bool {
        let block = self.takeover_block();
        let left_there = block.tasks.iter().any(|task| task.step == step);
        self.is_inherited(step) && (block.all || left_there)
    }
}
