//! Slots of the executors of the groups that this daemon owns.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use magnolia_platform::{ExecuteAnswer, ExecuteCall};
use magnolia_protocol::{QuickForward, QuickOutcome};
use magnolia_state::ClaimRecord;
use magnolia_types::{ResultCode, UnitId};
use tokio::sync::Semaphore;

use crate::context::DaemonContext;

/// One executor with its slots.
struct ExecutorSlots {
    address: SocketAddr,
    free: Arc<Semaphore>,
}

/// One executor group.
pub struct ExecutorGroup {
    executors: Vec<ExecutorSlots>,
}

impl ExecutorGroup {
    fn free_slots(&self) -> u32 {
        let free = self
            .executors
            .iter()
            .map(|executor| executor.free.available_permits());
        u32::try_from(free.sum::<usize>()).unwrap_or(u32::MAX)
    }
}

/// The groups that this daemon owns.
pub struct GroupRegistry {
    groups: Mutex<BTreeMap<UnitId, Arc<ExecutorGroup>>>,
}

impl GroupRegistry {
    /// Creates an empty registry.
    pub fn new() -> Self {
        Self {
            groups: Mutex::default(),
        }
    }

    /// Describes the groups for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let free: BTreeMap<String, u32> = groups
            .iter()
            .map(|(unit, group)| (unit.to_string(), group.free_slots()))
            .collect();
        serde_json::json!({ "free_slots": free })
    }

    /// Returns the groups that this daemon serves.
    pub fn units(&self) -> Vec<UnitId> {
        let groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.keys().cloned().collect()
    }

    fn get(&self, unit: &UnitId) -> Option<Arc<ExecutorGroup>> {
        self.groups
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(unit)
            .cloned()
    }
}

/// Starts to serve a claimed group, once.
pub fn start_group(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    let mut groups = context
        .groups
        .groups
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if groups.contains_key(&claim.unit) {
        return;
    }
    let Some(name) = claim.unit.group() else {
        return;
    };
    let executors = context.with_document(|document| {
        let block = document.executor_block(name);
        let slots = block.map_or(0, |block| block.slots as usize);
        let executors = block
            .map(|block| block.executors.as_slice())
            .unwrap_or_default();
        let executors = executors.iter().map(|executor| ExecutorSlots {
            address: executor.address,
            free: Arc::new(Semaphore::new(slots)),
        });
        executors.collect()
    });
    let group = ExecutorGroup {
        executors: executors.unwrap_or_default(),
    };
    groups.insert(claim.unit.clone(), Arc::new(group));
    log::info!("owner of {} at epoch {}", claim.unit, claim.epoch);
}

/// Stops to serve a group.
pub fn stop_group(context: &DaemonContext, unit: &UnitId) {
    let mut groups = context
        .groups
        .groups
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    groups.remove(unit);
}

/// Runs a request on an executor of a group of this daemon.
pub async fn run_in_group(context: &DaemonContext, forward: &QuickForward) -> QuickOutcome {
    let group = UnitId::new_group(&forward.group)
        .ok()
        .and_then(|unit| context.groups.get(&unit));
    let Some(group) = group else {
        return outcome(
            ResultCode::NotOwner,
            "this daemon does not own the group",
            0,
        );
    };
    for executor in &group.executors {
        let Ok(permit) = Arc::clone(&executor.free).try_acquire_owned() else {
            continue;
        };
        let call = ExecuteCall {
            request: forward.request.clone(),
            body: Arc::clone(&forward.spec.body),
            remaining: forward.spec.deadline_ms,
        };
        let result = context.executors.execute(executor.address, &call).await;
        drop(permit);
        let free = group.free_slots();
        return match result {
            Ok(ExecuteAnswer::Answered(text)) => outcome(ResultCode::Ok, &text, free),
            Ok(ExecuteAnswer::Failed(text)) => outcome(ResultCode::WorkFailed, &text, free),
            Ok(ExecuteAnswer::NotRun(text)) => outcome(ResultCode::NoBackend, &text, free),
            Err(error) if error.is_without_effect() => {
                outcome(ResultCode::NoBackend, &error.to_string(), free)
            }
            Err(error) => outcome(ResultCode::OutcomeUnknown, &error.to_string(), free),
        };
    }
    outcome(
        ResultCode::NoBackend,
        "no executor of the group has a free slot",
        0,
    )
}

fn outcome(code: ResultCode, text: &str, free_slots: u32) -> QuickOutcome {
    QuickOutcome {
        code,
        text: text.into(),
        free_slots,
    }
}
