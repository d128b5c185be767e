//! Updates a group from the configuration, the instance list and the status of its executors.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{ExecutorId, Millis};
use tokio::task::JoinSet;

use super::group::ExecutorGroup;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Interval at which a group is updated.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Interval of status calls to an executor. A leaving executor has to be noticed within 2 s.
const STATUS_INTERVAL: Millis = Millis::new(1500);
/// Interval of status calls to an executor whose status is needed urgently.
const URGENT_INTERVAL: Millis = Millis::new(200);

/// Updates a group until this daemon stops serving it.
pub async fn watch_group(context: Arc<DaemonContext>, group: Arc<ExecutorGroup>) {
    let mut last_polled: BTreeMap<ExecutorId, Millis> = BTreeMap::new();
    let mut polling: BTreeSet<ExecutorId> = BTreeSet::new();
    let mut calls: JoinSet<ExecutorId> = JoinSet::new();
    while context
        .groups
        .get(&group.claim.unit)
        .is_some_and(|current| Arc::ptr_eq(&current, &group))
    {
        configure(&context, &group);
        for (executor, address) in executors_to_poll(&group, &last_polled) {
            if polling.insert(executor.clone()) {
                last_polled.insert(executor.clone(), context.clock.now());
                let call = poll_status(Arc::clone(&context), Arc::clone(&group), executor, address);
                calls.spawn(call);
            }
        }
        while let Some(Ok(executor)) = calls.try_join_next() {
            polling.remove(&executor);
        }
        group.state().grant_slots(context.clock.now());
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

/// Applies the configuration and the instance list to a group.
fn configure(context: &DaemonContext, group: &ExecutorGroup) {
    let config = context.config();
    let Some(document) = &config.document else {
        return;
    };
    let block = document.executor_block(group.claim.unit.group().unwrap_or_default());
    let mut state = group.state();
    let removed = state.configure(block, &context.members);
    if state.config_version != config.version {
        state.replace_policies(document, config.version, context.clock.now());
    }
    drop(state);
    for slots in removed {
        context.http.forget(slots.address);
    }
}

/// Returns the executors whose status is due, with their addresses.
fn executors_to_poll(
    group: &ExecutorGroup,
    last_polled: &BTreeMap<ExecutorId, Millis>,
) -> Vec<(ExecutorId, SocketAddr)> {
    let now = group.clock.now();
    let state = group.state();
    let due = state.executors.iter().filter(|slots| {
        let interval = if slots.needs_status(now) {
            URGENT_INTERVAL
        } else {
            STATUS_INTERVAL
        };
        let last = last_polled.get(&slots.executor);
        last.is_none_or(|last| now.saturating_sub(*last) >= interval)
    });
    due.map(|slots| (slots.executor.clone(), slots.address))
        .collect()
}

/// Requests the status of an executor and applies it to the group.
async fn poll_status(
    context: Arc<DaemonContext>,
    group: Arc<ExecutorGroup>,
    executor: ExecutorId,
    address: SocketAddr,
) -> ExecutorId {
    let asked = context.clock.now();
    let status = context.executors.status(address).await;
    let now = context.clock.now();
    let mut state = group.state();
    match status {
        Ok(status) if status.executor == executor => {
            // Connections of other daemons, such as those that an earlier owner has not closed yet.
            let open = context.http.open_connections(address);
            let all = usize::try_from(status.connections).unwrap_or(usize::MAX);
            let foreign = all.saturating_sub(open);
            if let Some(slots) = state.executor(&executor) {
                slots.apply_status(status, asked, now);
                let limit = usize::try_from(slots.connection_limit()).unwrap_or(usize::MAX);
                let limit = limit.saturating_sub(foreign).max(1);
                context.http.set_limit(address, Some(limit));
            }
            state.update_capacity();
        }
        // Another executor answered at this address; the status says nothing about this one.
        Ok(_) => context.metrics.count(names::EXECUTORS_OTHER_AT_ADDRESS),
        Err(_) => context.metrics.count(names::EXECUTORS_STATUS_FAILED),
    }
    state.grant_slots(now);
    drop(state);
    executor
}
