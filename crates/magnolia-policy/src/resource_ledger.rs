//! Workers of one partition, with the starts and attempts to which their resources are allocated.

use std::collections::{BTreeMap, HashMap};

use magnolia_types::{AttemptId, ResourceVector, TaskRef, WorkerId};

use crate::{AttemptRecord, WorkerCondition, WorkerView};

/// Position of a worker in the ledger.
pub type WorkerIndex = usize;

/// A worker with the resources allocated on it.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The worker as last reported.
    pub view: WorkerView,
    /// Sum of the allocated resources.
    pub used: ResourceVector,
    /// Number of pending starts and running attempts with allocated resources.
    pub allocations: u32,
    /// Running attempts.
    pub attempts: Vec<AttemptId>,
    removed: bool,
}

impl WorkerEntry {
    /// Returns the unallocated resources.
    pub fn free(&self) -> ResourceVector {
        let capacity = &self.view.capacity;
        ResourceVector {
            cpu_millis: capacity.cpu_millis.saturating_sub(self.used.cpu_millis),
            memory_mib: capacity.memory_mib.saturating_sub(self.used.memory_mib),
            accelerators: capacity.accelerators.saturating_sub(self.used.accelerators),
        }
    }

    /// Tells whether the worker left the inventory; it keeps its position while resources are
    /// allocated on it.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// Tells whether the worker takes new tasks.
    pub fn is_usable(&self) -> bool {
        !self.removed && self.view.condition == WorkerCondition::Usable
    }
}

/// A running attempt and its allocated resources.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The attempt as reported.
    pub record: AttemptRecord,
    /// Its worker.
    pub worker: WorkerIndex,
    /// Resources allocated now; less than in the record while the attempt is throttled.
    pub size: ResourceVector,
}

/// Resources allocated to a start that was decided and is not confirmed yet.
#[derive(Clone, Debug)]
pub struct PendingStart {
    /// The worker.
    pub worker: WorkerIndex,
    /// The allocated resources.
    pub size: ResourceVector,
}

/// Records every allocation; free resources change nowhere else.
#[derive(Default)]
pub struct ResourceLedger {
    by_name: BTreeMap<WorkerId, WorkerIndex>,
    entries: Vec<WorkerEntry>,
    /// Positions in `entries` that a new worker may take.
    free_positions: Vec<WorkerIndex>,
    pending_starts: HashMap<TaskRef, PendingStart>,
    attempts: HashMap<AttemptId, RunningAttempt>,
    /// Number of running attempts by task; tasks without one are absent.
    running_counts: HashMap<TaskRef, u32>,
}

impl ResourceLedger {
    /// Adds or changes a worker and returns its position.
    pub fn upsert_worker(&mut self, view: WorkerView) -> WorkerIndex {
        if let Some(&index) = self.by_name.get(&view.worker) {
            self.entries[index].view = view;
            self.entries[index].removed = false;
            return index;
        }
        let name = view.worker.clone();
        let entry = WorkerEntry {
            view,
            used: ResourceVector::default(),
            allocations: 0,
            attempts: Vec::new(),
            removed: false,
        };
        let index = if let Some(index) = self.free_positions.pop() {
            self.entries[index] = entry;
            index
        } else {
            self.entries.push(entry);
            self.entries.len() - 1
        };
        self.by_name.insert(name, index);
        index
    }

    /// Removes a worker; its position is kept until nothing is allocated on it.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Option<WorkerIndex> {
        let index = self.index_of(worker)?;
        self.entries[index].removed = true;
        self.free_position_if_unused(index);
        Some(index)
    }

    /// Returns the position of a worker.
    pub fn index_of(&self, worker: &WorkerId) -> Option<WorkerIndex> {
        self.by_name.get(worker).copied()
    }

    /// Returns the worker at a position.
    pub fn entry(&self, index: WorkerIndex) -> &WorkerEntry {
        &self.entries[index]
    }

    /// Returns the number of positions, including those of removed workers.
    pub fn positions(&self) -> usize {
        self.entries.len()
    }

    /// Returns the workers of the inventory, sorted by name.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerEntry)> {
        let entries = self
            .by_name
            .values()
            .map(|&index| (index, &self.entries[index]));
        entries.filter(|(_, entry)| !entry.removed)
    }

    /// Returns a running attempt.
    pub fn attempt(&self, attempt: &AttemptId) -> Option<&RunningAttempt> {
        self.attempts.get(attempt)
    }

    /// Tells whether the task has a pending start or a running attempt.
    pub fn is_task_active(&self, task: &TaskRef) -> bool {
        self.pending_starts.contains_key(task) || self.running_counts.contains_key(task)
    }

    /// Allocates resources to a decided start; returns `false` when the worker has too few or a
    /// start of the task is already pending.
    pub fn allocate_start(
        &mut self,
        task: TaskRef,
        worker: WorkerIndex,
        size: ResourceVector,
    ) -> bool {
        if !size.fits_in(&self.entries[worker].free()) || self.pending_starts.contains_key(&task) {
            return false;
        }
        self.allocate(worker, &size);
        self.pending_starts
            .insert(task, PendingStart { worker, size });
        true
    }

    /// Releases the resources of a pending start on `worker`, if there is one.
    pub fn cancel_start(&mut self, task: &TaskRef, worker: &WorkerId) -> Option<PendingStart> {
        let index = self.index_of(worker)?;
        if self.pending_starts.get(task)?.worker != index {
            return None;
        }
        self.release_pending_start(task)
    }

    /// Records a running attempt; it replaces a pending start of the same task on its worker.
    ///
    /// Returns the position of the worker and the replaced start; `None` when the worker is
    /// unknown or the attempt is already recorded.
    pub fn start_attempt(
        &mut self,
        record: AttemptRecord,
    ) -> Option<(WorkerIndex, Option<PendingStart>)> {
        let worker = self.index_of(&record.worker)?;
        if self.attempts.contains_key(&record.attempt) {
            return None;
        }
        let released = match self.pending_starts.get(&record.task) {
            Some(pending) if pending.worker == worker => self.release_pending_start(&record.task),
            _ => None,
        };
        let size = record.size;
        self.allocate(worker, &size);
        self.entries[worker].attempts.push(record.attempt.clone());
        *self.running_counts.entry(record.task.clone()).or_default() += 1;
        let id = record.attempt.clone();
        let running = RunningAttempt {
            record,
            worker,
            size,
        };
        self.attempts.insert(id, running);
        Some((worker, released))
    }

    /// Releases the resources of an attempt.
    pub fn end_attempt(&mut self, attempt: &AttemptId) -> Option<RunningAttempt> {
        let running = self.attempts.remove(attempt)?;
        self.entries[running.worker]
            .attempts
            .retain(|id| id != attempt);
        if let Some(count) = self.running_counts.get_mut(&running.record.task) {
            *count -= 1;
            if *count == 0 {
                self.running_counts.remove(&running.record.task);
            }
        }
        self.release(running.worker, &running.size);
        Some(running)
    }

    /// Changes the resources of an attempt; returns `false` when the attempt is unknown or would
    /// grow beyond what its worker has free.
    pub fn resize_attempt(&mut self, attempt: &AttemptId, size: ResourceVector) -> bool {
        let Some(running) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let entry = &mut self.entries[running.worker];
        let Some(rest) = entry.used.checked_sub(&running.size) else {
            return false;
        };
        let wanted = rest.saturating_add(&size);
        if !wanted.fits_in(&entry.view.capacity) && !size.fits_in(&running.size) {
            return false;
        }
        entry.used = wanted;
        running.size = size;
        true
    }

    fn release_pending_start(&mut self, task: &TaskRef) -> Option<PendingStart> {
        let pending = self.pending_starts.remove(task)?;
        self.release(pending.worker, &pending.size);
        Some(pending)
    }

    fn allocate(&mut self, worker: WorkerIndex, size: &ResourceVector) {
        let entry = &mut self.entries[worker];
        entry.used = entry.used.saturating_add(size);
        entry.allocations += 1;
    }

    fn release(&mut self, worker: WorkerIndex, size: &ResourceVector) {
        let entry = &mut self.entries[worker];
        entry.used = entry.used.checked_sub(size).unwrap_or_default();
        entry.allocations -= 1;
        self.free_position_if_unused(worker);
    }

    /// Makes the position of a removed worker reusable once nothing is allocated on it.
    fn free_position_if_unused(&mut self, index: WorkerIndex) {
        let entry = &self.entries[index];
        if entry.removed
            && entry.allocations == 0
            && self.by_name.remove(&entry.view.worker).is_some()
        {
            self.free_positions.push(index);
        }
    }
}
