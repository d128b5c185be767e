//! The owners of partitions that run in this daemon.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use magnolia_protocol::Handover;
use magnolia_types::{Epoch, UnitId};
use serde_json::Value;
use tokio::sync::mpsc;

use super::events::{OwnerCommand, OwnerEvent};

/// Channels to an owner that runs in this daemon.
#[derive(Clone)]
pub struct OwnerHandle {
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Operations of callers.
    pub commands: mpsc::Sender<OwnerCommand>,
    /// Events, such as the end of the ownership.
    pub events: mpsc::UnboundedSender<OwnerEvent>,
    /// Description for the state dump, which the owner updates.
    pub description: Arc<Mutex<Value>>,
}

/// Result of adding an owner.
pub enum OwnerInsertion {
    /// Added, in place of an owner of an earlier epoch if there was one.
    Added(Option<OwnerHandle>),
    /// An owner of this or a later epoch runs or has run here.
    Refused,
}

#[derive(Default)]
struct RegistryState {
    owners: BTreeMap<UnitId, OwnerHandle>,
    /// Highest epoch at which an owner has stopped here. No owner starts again at it or below.
    retired: BTreeMap<UnitId, Epoch>,
    /// States that previous owners have sent here, or that drained owners could not send.
    handovers: BTreeMap<UnitId, Handover>,
}

/// The owners that run in this daemon, and the states for handovers.
#[derive(Default)]
pub struct PartitionRegistry {
    state: Mutex<RegistryState>,
}

impl PartitionRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the channels to the owner of a partition, if it runs here.
    pub fn get(&self, unit: &UnitId) -> Option<OwnerHandle> {
        self.lock().owners.get(unit).cloned()
    }

    /// Adds an owner, unless one of this or a later epoch runs or has run here.
    pub fn insert(&self, unit: &UnitId, handle: OwnerHandle) -> OwnerInsertion {
        let mut state = self.lock();
        let retired = state
            .retired
            .get(unit)
            .is_some_and(|epoch| *epoch >= handle.epoch);
        let known = state
            .owners
            .get(unit)
            .is_some_and(|known| known.epoch >= handle.epoch);
        if retired || known {
            return OwnerInsertion::Refused;
        }
        OwnerInsertion::Added(state.owners.insert(unit.clone(), handle))
    }

    /// Removes the owner of an epoch permanently: none of this or an earlier epoch is added again.
    pub fn retire(&self, unit: &UnitId, epoch: Epoch) {
        let mut state = self.lock();
        if state
            .owners
            .get(unit)
            .is_some_and(|owner| owner.epoch == epoch)
        {
            state.owners.remove(unit);
        }
        let retired = state.retired.entry(unit.clone()).or_default();
        *retired = epoch.max(*retired);
    }

    /// Stores a handover, unless one of a later epoch is stored.
    pub fn keep_handover(&self, handover: Handover) {
        let mut state = self.lock();
        let kept = state.handovers.get(&handover.unit);
        if kept.is_none_or(|kept| kept.epoch <= handover.epoch) {
            state.handovers.insert(handover.unit.clone(), handover);
        }
    }

    /// Removes the stored handover and returns it if it is from the epoch right before `epoch`.
    pub fn take_handover(&self, unit: &UnitId, epoch: Epoch) -> Option<Handover> {
        let handover = self.lock().handovers.remove(unit)?;
        (handover.epoch.saturating_add(Epoch::new(1)) == epoch).then_some(handover)
    }

    /// Describes the owners for the state dump.
    pub fn dump(&self) -> Value {
        let owners: Vec<(String, OwnerHandle)> = self
            .lock()
            .owners
            .iter()
            .map(|(unit, owner)| (unit.to_string(), owner.clone()))
            .collect();
        let entries = owners.into_iter().map(|(unit, owner)| {
            let description = owner.description.lock();
            (
                unit,
                description.unwrap_or_else(PoisonError::into_inner).clone(),
            )
        });
        Value::Object(entries.collect())
    }

    fn lock(&self) -> MutexGuard<'_, RegistryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
