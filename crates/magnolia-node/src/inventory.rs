//! Follows the platform's list of executors.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{ExecutorId, LogOffset, Millis};
use tokio::time::sleep;

use crate::executor_loop::ensure_loops;
use crate::owner::OwnerSession;
use crate::ports::{StoreError, StreamName, StreamRecord};

/// Time between two reads: a leaving executor gets nothing new within 2 s of its report.
const READ_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);
/// Time after which a dropped entry counts as gone: entries that ran out while the store was away
/// are written again within about 2 s.
const REMOVAL_DELAY: Millis = Millis::new(2500);

/// Reads the whole list, trying until it succeeds.
pub(crate) async fn load_until_done(session: &Arc<OwnerSession>) {
    loop {
        match session.node.store.read_all(StreamName::Inventory).await {
            Ok((records, _)) => {
                let mut removals = BTreeMap::new();
                apply(session, &records, &mut removals);
                ensure_loops(session);
                return;
            }
            Err(error) => log::warn!(error:% = error; "list of executors not read; trying again"),
        }
        sleep(FAILURE_PAUSE).await;
    }
}

/// Reads every change.
pub(crate) async fn follow_inventory(session: Arc<OwnerSession>) {
    let mut next: Option<LogOffset> = None;
    let mut removals = BTreeMap::new();
    loop {
        let result = match next {
            None => reload(&session, &mut removals).await,
            Some(from) => follow(&session, from, &mut removals).await,
        };
        match result {
            Ok(offset) => next = Some(offset),
            Err(StoreError::Expired) => next = None,
            Err(error) => log::debug!(error:% = error; "list of executors not read"),
        }
        apply_removals(&session, &mut removals);
        ensure_loops(&session);
        sleep(READ_INTERVAL).await;
    }
}

/// Reads the whole list; what it does not name is removed later.
async fn reload(
    session: &Arc<OwnerSession>,
    removals: &mut BTreeMap<ExecutorId, Millis>,
) -> Result<LogOffset, StoreError> {
    let (records, end) = session.node.store.read_all(StreamName::Inventory).await?;
    let now = session.now();
    for entry in session.lock().held_executors() {
        removals.entry(entry.id).or_insert(now);
    }
    apply(session, &records, removals);
    Ok(end)
}

async fn follow(
    session: &Arc<OwnerSession>,
    from: LogOffset,
    removals: &mut BTreeMap<ExecutorId, Millis>,
) -> Result<LogOffset, StoreError> {
    let store = &session.node.store;
    let page = store
        .read_tail(StreamName::Inventory, from, Millis::new(0))
        .await?;
    apply(session, &page.records, removals);
    Ok(page.next)
}

fn apply(
    session: &Arc<OwnerSession>,
    records: &[StreamRecord],
    removals: &mut BTreeMap<ExecutorId, Millis>,
) {
    let now = session.now();
    let mut scheduler = session.lock();
    for record in records {
        if record.value.is_empty() {
            match ExecutorId::new(&record.key) {
                Ok(id) => {
                    removals.entry(id).or_insert(now);
                }
                Err(error) => log::debug!(error:% = error; "dropped entry of no executor"),
            }
            continue;
        }
        if let Some(entry) = session.node.ports.decoder.executor(record) {
            removals.remove(&entry.id);
            scheduler.upsert_executor(entry, now);
        }
    }
}

fn apply_removals(session: &Arc<OwnerSession>, removals: &mut BTreeMap<ExecutorId, Millis>) {
    let now = session.now();
    let due = |at: &Millis| now.saturating_sub(*at) > REMOVAL_DELAY;
    let gone: Vec<ExecutorId> = removals
        .iter()
        .filter(|(_, at)| due(at))
        .map(|(id, _)| id.clone())
        .collect();
    for id in gone {
        removals.remove(&id);
        session.lock().remove_executor(&id);
    }
}
