//! The partitions that this daemon owns.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

use magnolia_protocol::{JobOperation, JobReply};
use magnolia_types::UnitId;
use tokio::sync::{mpsc, oneshot};

/// A job operation with the channel for its reply.
pub struct OwnerCommand {
    /// The operation.
    pub operation: JobOperation,
    /// Where the reply goes.
    pub reply: oneshot::Sender<JobReply>,
}

/// Channels to the owners that run in this daemon.
pub struct PartitionRegistry {
    owners: Mutex<BTreeMap<UnitId, mpsc::Sender<OwnerCommand>>>,
}

impl PartitionRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self {
            owners: Mutex::default(),
        }
    }

    /// Returns the channel to the owner of a partition, if it runs here.
    pub fn get(&self, unit: &UnitId) -> Option<mpsc::Sender<OwnerCommand>> {
        self.owners
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(unit)
            .cloned()
    }

    /// Adds an owner; returns `false` when the partition has one already.
    pub fn insert(&self, unit: UnitId, commands: mpsc::Sender<OwnerCommand>) -> bool {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        if owners.contains_key(&unit) {
            return false;
        }
        owners.insert(unit, commands);
        true
    }

    /// Forgets an owner, which ends when its last operation is answered.
    pub fn remove(&self, unit: &UnitId) {
        let mut owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        owners.remove(unit);
    }

    /// Describes the owners for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
        serde_json::json!(owners.keys().collect::<Vec<_>>())
    }
}
