//! The executor groups that this daemon owns: start, stop and handover.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::Duration;

use magnolia_protocol::{Handover, PeerReply, PeerRequest};
use magnolia_state::ClaimRecord;
use magnolia_types::{LogOffset, ResultCode, UnitId};
use serde_bytes::ByteBuf;

use super::group_state::GroupState;
use super::group_watch::watch_group;
use crate::clock::DaemonClock;
use crate::context::DaemonContext;
use crate::membership::MemberEntry;

/// Maximum wait for requests in flight before a group is handed over.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the number of requests in flight is checked.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of the call that hands a group over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);

/// An executor group that this daemon owns under one claim.
pub struct ExecutorGroup {
    /// Claim of this daemon.
    pub claim: ClaimRecord,
    /// Clock of the daemon.
    pub clock: DaemonClock,
    context: Weak<DaemonContext>,
    state: Mutex<GroupState>,
}

impl ExecutorGroup {
    /// Tells whether this daemon may send requests to the executors now: its claim is current and
    /// was confirmed recently.
    pub fn may_send(&self) -> bool {
        let context = self.context.upgrade();
        context.is_some_and(|context| {
            context.is_recently_confirmed() && context.claims.is_current(&self.claim)
        })
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, GroupState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The groups that this daemon owns.
pub struct GroupRegistry {
    clock: DaemonClock,
    groups: Mutex<BTreeMap<UnitId, Arc<ExecutorGroup>>>,
}

impl GroupRegistry {
    /// Creates an empty registry.
    pub fn new(clock: DaemonClock) -> Self {
        Self {
            clock,
            groups: Mutex::default(),
        }
    }

    /// Describes the groups for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let groups = self.lock();
        let descriptions: BTreeMap<String, serde_json::Value> = groups
            .iter()
            .map(|(unit, group)| {
                let state = group.state();
                let executors = state.executors.iter().map(|slots| slots.dump(now));
                let description = serde_json::json!({
                    "epoch": group.claim.epoch,
                    "free_slots": state.free(now),
                    "queued": state.queued(),
                    "in_flight": state.in_flight(),
                    "executors": executors.collect::<Vec<_>>(),
                });
                (unit.to_string(), description)
            })
            .collect();
        let free = descriptions
            .iter()
            .map(|(unit, description)| (unit.clone(), description["free_slots"].clone()));
        let free: BTreeMap<String, serde_json::Value> = free.collect();
        serde_json::json!({ "free_slots": free, "groups": descriptions })
    }

    /// Returns the units of all groups.
    pub fn units(&self) -> Vec<UnitId> {
        self.lock().keys().cloned().collect()
    }

    /// Returns a group, if this daemon owns it.
    pub fn get(&self, unit: &UnitId) -> Option<Arc<ExecutorGroup>> {
        self.lock().get(unit).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UnitId, Arc<ExecutorGroup>>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts to serve a claimed group. Does nothing if this daemon serves it already or has no
/// configuration.
pub fn start_group(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    let config = context.config();
    let Some(document) = &config.document else {
        return;
    };
    let mut groups = context.groups.lock();
    if groups.contains_key(&claim.unit) {
        return;
    }
    let group = Arc::new(ExecutorGroup {
        claim: claim.clone(),
        clock: context.clock,
        context: Arc::downgrade(context),
        state: Mutex::new(GroupState::new(document, config.version)),
    });
    groups.insert(claim.unit.clone(), Arc::clone(&group));
    drop(groups);
    log::info!(
        "starting the owner of {} at epoch {}",
        claim.unit,
        claim.epoch
    );
    tokio::spawn(watch_group(Arc::clone(context), group));
}

/// Stops serving a group: refuses its queued requests as not run and forgets the connections to its
/// executors.
pub fn stop_group(context: &DaemonContext, unit: &UnitId) {
    let Some(group) = context.groups.lock().remove(unit) else {
        return;
    };
    let mut state = group.state();
    state.closed = true;
    state.refuse_all(ResultCode::NotOwner, "the group has another owner");
    for slots in &state.executors {
        context.http.forget(slots.address);
    }
}

/// Drains a group and hands it over to `successor`; returns whether the successor accepted it.
pub async fn hand_over_group(
    context: &DaemonContext,
    claim: &ClaimRecord,
    successor: &MemberEntry,
) -> bool {
    if let Some(group) = context.groups.get(&claim.unit) {
        drain(&group).await;
    }
    context.claims.record_release(&claim.unit, claim.epoch);
    stop_group(context, &claim.unit);
    let handover = Handover {
        unit: claim.unit.clone(),
        epoch: claim.epoch,
        next: LogOffset::new(0),
        snapshot: ByteBuf::new(),
    };
    let request = PeerRequest::Handover(handover);
    let reply = context
        .call_peer(successor.address, request, HANDOVER_TIMEOUT)
        .await;
    matches!(reply.map(|reply| reply.body), Ok(PeerReply::HandoverTaken))
}

/// Refuses queued and new requests, and waits for the requests in flight.
async fn drain(group: &ExecutorGroup) {
    {
        let mut state = group.state();
        state.closed = true;
        state.refuse_all(ResultCode::Draining, "the owner of the group is stopping");
    }
    let drained = async {
        while group.state().in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(DRAIN_TIMEOUT, drained).await.ok();
}
