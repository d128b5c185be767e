//! The executors of a cell, addressed by index.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{DataCentreName, ExecutorId, Millis, ResourceVector, value_types, wire_types};

use crate::executor_state::ExecutorState;
use crate::{ExecutorLife, ServiceName, TaskRef};

wire_types! {
    /// Entry of an executor in the platform's list.
    pub struct ExecutorEntry {
        /// Identifier; a later life may use it again.
        pub id: ExecutorId,
        /// Life of the executor that published the entry.
        pub life: ExecutorLife,
        /// Address on which it listens.
        pub address: SocketAddr,
        /// Service whose tasks it runs.
        pub service: ServiceName,
        /// Its data centre.
        pub data_centre: DataCentreName,
        /// Total resources.
        pub capacity: ResourceVector,
        /// Its kind and rack.
        pub labels: Vec<Arc<str>>,
        /// Whether it accepts new tasks.
        pub status: ExecutorStatus,
    }
}

wire_types! {
    /// Stored record of an executor in use, for the next owner.
    pub struct ExecutorRecord {
        /// The executor.
        pub entry: ExecutorEntry,
        /// The tasks that may run there; any task if there is no list.
        pub confined_to: Option<Vec<TaskRef>>,
        /// Remaining lease when the record was made, if the lease is not renewed before the record
        /// is replaced.
        pub lease_left: Option<Millis>,
        /// Whether the executor is a witness of ownership: an owner that the store does not answer
        /// sends orders only while more than half of the witnesses accept its epoch.
        #[serde(default = "is_witness_by_default")]
        pub witness: bool,
        /// Tasks of starts without an answer, with the time for which a later life of the executor
        /// may still carry them out.
        #[serde(default)]
        pub late_starts: Vec<(TaskRef, Millis)>,
        /// Time after which the leases have expired that calls for an earlier life may have granted to
        /// the present one; none if the owner knew of no restart.
        #[serde(default)]
        pub restart_lease_left: Option<Millis>,
    }
}

/// Records of versions without witnesses list executors in use, which are all witnesses.
fn is_witness_by_default() -> bool {
    true
}

value_types! {
    /// Use of an executor, from the most restricted.
    pub(crate) enum ExecutorUse {
        /// Nothing runs there and nothing starts.
        Unused,
        /// Nothing new starts there; the tasks that run are stored.
        Confined,
        /// Tasks may start there.
        Open,
    }

    /// Whether an executor accepts new tasks.
    pub enum ExecutorStatus {
        /// Accepts new tasks.
        Ready,
        /// Accepts no new tasks and will leave soon.
        Draining,
    }
}

impl ExecutorUse {
    /// Returns the use that a stored record expresses; `Unused` if there is none.
    pub(crate) fn of(record: Option<&ExecutorRecord>) -> Self {
        match record {
            None => Self::Unused,
            Some(record) if record.confined_to.is_some() => Self::Confined,
            Some(_) => Self::Open,
        }
    }
}

/// Index of an executor in the table of one owner; never reused.
pub(crate) type ExecutorIndex = usize;

/// All executors that the owner has known, including those no longer listed.
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
