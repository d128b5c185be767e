//! Keeps a group in step with the configuration, the instance list and its executors' status.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{ExecutorId, Millis};
use tokio::task::JoinSet;

use super::group::ExecutorGroup;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Time between two looks at a group.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two status calls to an executor; a leaving executor must be noticed within 2 s.
const STATUS_INTERVAL: Millis = Millis::new(1500);
/// Time between two status calls to an executor whose status is wanted at once.
const URGENT_INTERVAL: Millis = Millis::new(200);

/// Watches a group until it is stopped.
pub async fn watch_group(context: Arc<DaemonContext>, group: Arc<ExecutorGroup>) {
    let mut asked: BTreeMap<ExecutorId, Millis> = BTreeMap::new();
    let mut asking: BTreeSet<ExecutorId> = BTreeSet::new();
    let mut calls: JoinSet<ExecutorId> = JoinSet::new();
    while context
        .groups
        .get(&group.claim.unit)
        .is_some_and(|current| Arc::ptr_eq(&current, &group))
    {
        configure(&context, &group);
        for (executor, address) in due(&group, &asked) {
            if asking.insert(executor.clone()) {
                asked.insert(executor.clone(), context.clock.now());
                let call = ask_status(Arc::clone(&context), Arc::clone(&group), executor, address);
                calls.spawn(call);
            }
        }
        while let Some(Ok(executor)) = calls.try_join_next() {
            asking.remove(&executor);
        }
        group.state().pump(context.clock.now());
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

fn configure(context: &DaemonContext, group: &ExecutorGroup) {
    let config = context.config();
    let Some(document) = &config.document else {
        return;
    };
    let block = document.executor_block(group.claim.unit.group().unwrap_or_default());
    let mut state = group.state();
    let gone = state.configure(block, &context.members);
    if state.config_version != config.version {
        state.replace_policies(document, config.version, context.clock.now());
    }
    drop(state);
    for slots in gone {
        context.http.forget(slots.address);
    }
}

/// Returns the executors whose status is to be asked for now.
fn due(
    group: &ExecutorGroup,
    asked: &BTreeMap<ExecutorId, Millis>,
) -> Vec<(ExecutorId, SocketAddr)> {
    let now = group.clock.now();
    let state = group.state();
    let due = state.executors.iter().filter(|slots| {
        let interval = if slots.wants_status(now) {
            URGENT_INTERVAL
        } else {
            STATUS_INTERVAL
        };
        let last = asked.get(&slots.executor);
        last.is_none_or(|last| now.saturating_sub(*last) >= interval)
    });
    due.map(|slots| (slots.executor.clone(), slots.address))
        .collect()
}

async fn ask_status(
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
            // Connections of others, such as those that an earlier owner has not closed yet.
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
        // Another executor answers at this address: nothing is known of the wanted one.
        Ok(_) => context.metrics.count(names::EXECUTORS_OTHER_AT_ADDRESS),
        Err(_) => context.metrics.count(names::EXECUTORS_STATUS_FAILED),
    }
    state.pump(now);
    drop(state);
    executor
}
