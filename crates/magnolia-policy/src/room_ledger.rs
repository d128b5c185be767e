//! Room of the workers of one partition and what holds it.

use std::collections::{BTreeMap, HashMap};

use magnolia_types::{AttemptId, ResourceVector, TaskRef, WorkerId};

use crate::{AttemptRecord, WorkerCondition, WorkerView};

/// Position of a worker in the ledger.
pub type WorkerIndex = usize;

/// A worker with the room that is held on it.
#[derive(Clone, Debug)]
pub struct WorkerSlot {
    /// The worker as last reported.
    pub view: WorkerView,
    /// Sum of the held room.
    pub used: ResourceVector,
    /// Number of reservations and attempts that hold room.
    pub holds: u32,
    /// Attempts that hold room.
    pub attempts: Vec<AttemptId>,
    removed: bool,
}

impl WorkerSlot {
    /// Returns the room that nothing holds.
    pub fn free(&self) -> ResourceVector {
        let capacity = &self.view.capacity;
        ResourceVector {
            cpu_millis: capacity.cpu_millis.saturating_sub(self.used.cpu_millis),
            memory_mib: capacity.memory_mib.saturating_sub(self.used.memory_mib),
            accelerators: capacity.accelerators.saturating_sub(self.used.accelerators),
        }
    }

    /// Tells whether the worker left the inventory; what it still holds keeps its position.
    pub fn is_removed(&self) -> bool {
        self.removed
    }

    /// Tells whether the worker takes new tasks.
    pub fn is_usable(&self) -> bool {
        !self.removed && self.view.condition == WorkerCondition::Usable
    }
}

/// An attempt that holds room.
#[derive(Clone, Debug)]
pub struct HeldAttempt {
    /// The attempt as reported.
    pub record: AttemptRecord,
    /// Its worker.
    pub worker: WorkerIndex,
    /// Room that it holds now; less than reported while it is throttled.
    pub size: ResourceVector,
}

/// Room of a start that was decided and is not confirmed yet.
#[derive(Clone, Debug)]
pub struct HeldReservation {
    /// The worker.
    pub worker: WorkerIndex,
    /// The room.
    pub size: ResourceVector,
}

/// Accounts for every hold; the only place where room is added or subtracted.
#[derive(Default)]
pub struct RoomLedger {
    by_name: BTreeMap<WorkerId, WorkerIndex>,
    slots: Vec<WorkerSlot>,
    vacant: Vec<WorkerIndex>,
    reservations: HashMap<TaskRef, HeldReservation>,
    attempts: HashMap<AttemptId, HeldAttempt>,
    running: HashMap<TaskRef, u32>,
}

impl RoomLedger {
    /// Adds or changes a worker and returns its position.
    pub fn upsert_worker(&mut self, view: WorkerView) -> WorkerIndex {
        if let Some(&index) = self.by_name.get(&view.worker) {
            self.slots[index].view = view;
            self.slots[index].removed = false;
            return index;
        }
        let name = view.worker.clone();
        let slot = WorkerSlot {
            view,
            used: ResourceVector::default(),
            holds: 0,
            attempts: Vec::new(),
            removed: false,
        };
        let index = if let Some(index) = self.vacant.pop() {
            self.slots[index] = slot;
            index
        } else {
            self.slots.push(slot);
            self.slots.len() - 1
        };
        self.by_name.insert(name, index);
        index
    }

    /// Removes a worker; its position is kept until nothing holds room on it.
    pub fn remove_worker(&mut self, worker: &WorkerId) -> Option<WorkerIndex> {
        let index = self.index_of(worker)?;
        self.slots[index].removed = true;
        self.vacate(index);
        Some(index)
    }

    /// Returns the position of a worker.
    pub fn index_of(&self, worker: &WorkerId) -> Option<WorkerIndex> {
        self.by_name.get(worker).copied()
    }

    /// Returns the worker at a position.
    pub fn slot(&self, index: WorkerIndex) -> &WorkerSlot {
        &self.slots[index]
    }

    /// Returns the number of positions, those of removed workers included.
    pub fn positions(&self) -> usize {
        self.slots.len()
    }

    /// Returns the workers of the inventory in the order of their names.
    pub fn workers(&self) -> impl Iterator<Item = (WorkerIndex, &WorkerSlot)> {
        let slots = self
            .by_name
            .values()
            .map(|&index| (index, &self.slots[index]));
        slots.filter(|(_, slot)| !slot.removed)
    }

    /// Returns an attempt that holds room.
    pub fn attempt(&self, attempt: &AttemptId) -> Option<&HeldAttempt> {
        self.attempts.get(attempt)
    }

    /// Tells whether a start of the task is decided or an attempt of it holds room.
    pub fn holds_task(&self, task: &TaskRef) -> bool {
        self.reservations.contains_key(task) || self.running.contains_key(task)
    }

    /// Holds room for a decided start; `false` when the worker has not enough.
    pub fn reserve(&mut self, task: TaskRef, worker: WorkerIndex, size: ResourceVector) -> bool {
        if !size.fits_in(&self.slots[worker].free()) || self.reservations.contains_key(&task) {
            return false;
        }
        self.hold(worker, &size);
        self.reservations
            .insert(task, HeldReservation { worker, size });
        true
    }

    /// Releases the room of a decided start on `worker`, if there is any.
    pub fn cancel_reservation(
        &mut self,
        task: &TaskRef,
        worker: &WorkerId,
    ) -> Option<HeldReservation> {
        let index = self.index_of(worker)?;
        if self.reservations.get(task)?.worker != index {
            return None;
        }
        self.release_reservation(task)
    }

    /// Replaces a reservation of the same task by an attempt.
    ///
    /// Returns the position of the worker and the released reservation; `None` when the worker is
    /// unknown or the attempt is known already.
    pub fn start_attempt(
        &mut self,
        record: AttemptRecord,
    ) -> Option<(WorkerIndex, Option<HeldReservation>)> {
        let worker = self.index_of(&record.worker)?;
        if self.attempts.contains_key(&record.attempt) {
            return None;
        }
        let released = match self.reservations.get(&record.task) {
            Some(held) if held.worker == worker => self.release_reservation(&record.task),
            _ => None,
        };
        let size = record.size;
        self.hold(worker, &size);
        self.slots[worker].attempts.push(record.attempt.clone());
        *self.running.entry(record.task.clone()).or_default() += 1;
        let id = record.attempt.clone();
        let held = HeldAttempt {
            record,
            worker,
            size,
        };
        self.attempts.insert(id, held);
        Some((worker, released))
    }

    /// Releases the room of an attempt.
    pub fn end_attempt(&mut self, attempt: &AttemptId) -> Option<HeldAttempt> {
        let held = self.attempts.remove(attempt)?;
        self.slots[held.worker].attempts.retain(|id| id != attempt);
        if let Some(count) = self.running.get_mut(&held.record.task) {
            *count -= 1;
            if *count == 0 {
                self.running.remove(&held.record.task);
            }
        }
        self.release(held.worker, &held.size);
        Some(held)
    }

    /// Changes the room of an attempt; `false` when the worker has not enough.
    pub fn resize_attempt(&mut self, attempt: &AttemptId, size: ResourceVector) -> bool {
        let Some(held) = self.attempts.get_mut(attempt) else {
            return false;
        };
        let slot = &mut self.slots[held.worker];
        let Some(rest) = slot.used.checked_sub(&held.size) else {
            return false;
        };
        let wanted = rest.saturating_add(&size);
        if !wanted.fits_in(&slot.view.capacity) && !size.fits_in(&held.size) {
            return false;
        }
        slot.used = wanted;
        held.size = size;
        true
    }

    fn release_reservation(&mut self, task: &TaskRef) -> Option<HeldReservation> {
        let held = self.reservations.remove(task)?;
        self.release(held.worker, &held.size);
        Some(held)
    }

    fn hold(&mut self, worker: WorkerIndex, size: &ResourceVector) {
        let slot = &mut self.slots[worker];
        slot.used = slot.used.saturating_add(size);
        slot.holds += 1;
    }

    fn release(&mut self, worker: WorkerIndex, size: &ResourceVector) {
        let slot = &mut self.slots[worker];
        slot.used = slot.used.checked_sub(size).unwrap_or_default();
        slot.holds -= 1;
        self.vacate(worker);
    }

    fn vacate(&mut self, index: WorkerIndex) {
        let slot = &self.slots[index];
        if slot.removed && slot.holds == 0 && self.by_name.remove(&slot.view.worker).is_some() {
            self.vacant.push(index);
        }
    }
}
