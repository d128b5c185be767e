//! Follows the platform's list of executors and passes changes to the scheduler.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{ExecutorId, LogOffset, Millis};
use tokio::time::sleep;

use crate::executor_loop::ensure_renewal_loops;
use crate::owner::OwnerSession;
use crate::ports::{StoreError, StreamName, StreamRecord};

/// Interval between two reads. An executor that reports that it is draining must get no new tasks
/// later than 2 s after the report.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay between the deletion of an executor's entry and the removal of the executor. Entries that
/// expire during an outage of the store are written again within about 2 s.
const REMOVAL_DELAY: Millis = Millis::new(2500);

/// Reads the whole list, retrying until that succeeds.
pub(crate) async fn load_inventory(session: &Arc<OwnerSession>) {
    loop {
        match session.node.store.read_all(StreamName::Inventory).await {
            Ok((records, _)) => {
                let mut removals = BTreeMap::new();
                apply_records(session, &records, &mut removals);
                ensure_renewal_loops(session);
                return;
            }
            Err(error) => log::warn!(error:% = error; "reading the executor list failed; retrying"),
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Reads changes of the list until the session ends.
pub(crate) async fn follow_inventory(session: Arc<OwnerSession>) {
    let mut next: Option<LogOffset> = None;
    let mut removals = BTreeMap::new();
    loop {
        let result = match next {
            None => reload(&session, &mut removals).await,
            Some(from) => read_changes(&session, from, &mut removals).await,
        };
        match result {
            Ok(offset) => next = Some(offset),
            Err(StoreError::Expired) => next = None,
            Err(error) => log::debug!(error:% = error; "reading the executor list failed"),
        }
        apply_removals(&session, &mut removals);
        ensure_renewal_loops(&session);
        sleep(POLL_INTERVAL).await;
    }
}

/// Reads the whole list. Executors that it does not contain are removed after a delay.
async fn reload(
    session: &Arc<OwnerSession>,
    removals: &mut BTreeMap<ExecutorId, Millis>,
) -> Result<LogOffset, StoreError> {
    let (records, end) = session.node.store.read_all(StreamName::Inventory).await?;
    let now = session.now();
    let known = session.lock().executors_to_renew();
    for entry in known {
        session.lock().record_deleted_entry(&entry.id);
        removals.entry(entry.id).or_insert(now);
    }
    apply_records(session, &records, removals);
    Ok(end)
}

/// Reads the changes from an offset on; returns the offset to continue at.
async fn read_changes(
    session: &Arc<OwnerSession>,
    from: LogOffset,
    removals: &mut BTreeMap<ExecutorId, Millis>,
) -> Result<LogOffset, StoreError> {
    let store = &session.node.store;
    let page = store
        .read_tail(StreamName::Inventory, from, Millis::new(0))
        .await?;
    apply_records(session, &page.records, removals);
    Ok(page.next)
}

/// Adds and updates executors, and records when an entry was deleted or became invalid.
fn apply_records(
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
                    scheduler.record_deleted_entry(&id);
                    removals.entry(id).or_insert(now);
                }
                Err(error) => log::debug!(error:% = error; "invalid key of a deleted entry"),
            }
            continue;
        }
        match session.node.ports.decoder.executor(record) {
            Ok(entry) => {
                removals.remove(&entry.id);
                scheduler.upsert_executor(entry, now);
            }
            // The executor of this id writes its entry again; if it does not, it is gone.
            Err(error) => {
                session.node.metrics.count("invalid_inventory_entries");
                log::warn!(key = &*record.key, error:% = error;
                    "an inventory entry names no executor");
                if let Ok(id) = ExecutorId::new(&record.key) {
                    removals.entry(id).or_insert(now);
                }
            }
        }
    }
}

/// Removes the executors whose entries were deleted long enough ago.
fn apply_removals(session: &Arc<OwnerSession>, removals: &mut BTreeMap<ExecutorId, Millis>) {
    let now = session.now();
    let is_due = |at: &Millis| now.saturating_sub(*at) > REMOVAL_DELAY;
    let removed: Vec<ExecutorId> = removals
        .iter()
        .filter(|(_, at)| is_due(at))
        .map(|(id, _)| id.clone())
        .collect();
    for id in removed {
        removals.remove(&id);
        session.lock().remove_executor(&id);
    }
}
