//! The executors of the cell, by a dense number.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{DataCentreName, ExecutorId, Millis, ResourceVector, value_types, wire_types};

use crate::executor_state::ExecutorState;
use crate::{ExecutorLife, ServiceName, TaskRef};

wire_types! {
    /// What the platform lists of an executor.
    pub struct ExecutorEntry {
        /// Identifier; may be used again by a later life.
        pub id: ExecutorId,
        /// Life that wrote the entry.
        pub life: ExecutorLife,
        /// Where it listens.
        pub address: SocketAddr,
        /// Service that it runs tasks of.
        pub service: ServiceName,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// What it has.
        pub capacity: ResourceVector,
        /// Its kind and rack.
        pub labels: Vec<Arc<str>>,
        /// Whether it takes new work.
        pub status: ExecutorStatus,
    }
}

wire_types! {
    /// What the store holds of an executor in use, for the next owner.
    pub struct ExecutorRecord {
        /// The executor.
        pub entry: ExecutorEntry,
        /// The only tasks that may run there; any task may when there is no list.
        pub confined_to: Option<Vec<TaskRef>>,
        /// Time for which its lease still lasted when the record was made, where no owner renews it
        /// before the record is replaced.
        pub lease_left: Option<Millis>,
    }
}

value_types! {
    /// What an executor is used for.
    pub(crate) enum ExecutorUse {
        /// Nothing runs there and nothing starts.
        Unused,
        /// Nothing new starts there; what runs is known.
        Confined,
        /// Tasks may start there.
        Open,
    }

    /// Whether an executor takes new work.
    pub enum ExecutorStatus {
        /// Takes work.
        Ready,
        /// Leaves soon.
        Draining,
    }
}

impl ExecutorUse {
    /// Returns the use that a record stands for.
    pub(crate) fn of(record: Option<&ExecutorRecord>) -> Self {
        match record {
            None => Self::Unused,
            Some(record) if record.confined_to.is_some() => Self::Confined,
            Some(_) => Self::Open,
        }
    }
}

/// Dense number of an executor within one owner.
pub(crate) type Slot = usize;

/// All executors that the owner knows.
#[derive(Default)]
pub(crate) struct ExecutorTable {
    slots: HashMap<ExecutorId, Slot>,
    states: Vec<ExecutorState>,
}

impl ExecutorTable {
    pub(crate) fn slot(&self, id: &ExecutorId) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    pub(crate) fn get(&self, slot: Slot) -> &ExecutorState {
        &self.states[slot]
    }

    pub(crate) fn get_mut(&mut self, slot: Slot) -> &mut ExecutorState {
        &mut self.states[slot]
    }

    pub(crate) fn add(&mut self, entry: ExecutorEntry) -> Slot {
        let slot = self.states.len();
        self.slots.insert(entry.id.clone(), slot);
        self.states.push(ExecutorState::new(entry));
        slot
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Slot, &ExecutorState)> {
        self.states.iter().enumerate()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (Slot, &mut ExecutorState)> {
        self.states.iter_mut().enumerate()
    }
}
