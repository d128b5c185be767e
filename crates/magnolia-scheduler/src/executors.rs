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
pub(crate) type ExecutorIndex = usize;

/// All executors that the owner knows.
#[derive(Default)]
pub(crate) struct ExecutorTable {
    indexes: HashMap<ExecutorId, ExecutorIndex>,
    states: Vec<ExecutorState>,
}

impl ExecutorTable {
    pub(crate) fn index_of(&self, id: &ExecutorId) -> Option<ExecutorIndex> {
        self.indexes.get(id).copied()
    }

    pub(crate) fn get(&self, executor_index: ExecutorIndex) -> &ExecutorState {
        &self.states[executor_index]
    }

    pub(crate) fn get_mut(&mut self, executor_index: ExecutorIndex) -> &mut ExecutorState {
        &mut self.states[executor_index]
    }

    pub(crate) fn add(&mut self, entry: ExecutorEntry) -> ExecutorIndex {
        let executor_index = self.states.len();
        self.indexes.insert(entry.id.clone(), executor_index);
        self.states.push(ExecutorState::new(entry));
        executor_index
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (ExecutorIndex, &ExecutorState)> {
        self.states.iter().enumerate()
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (ExecutorIndex, &mut ExecutorState)> {
        self.states.iter_mut().enumerate()
    }
}
