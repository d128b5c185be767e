//! The claims as this daemon has read them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_protocol::decode;
use magnolia_state::{ClaimChange, ClaimRecord, ClaimTable, ClaimVerdict};
use magnolia_types::{LogOffset, Millis, UnitId};
use tokio::sync::watch;

use crate::context::DaemonContext;

/// Stream of claims.
pub const CLAIM_STREAM: &str = "claims";
/// Longest wait of one read for a new record.
const POLL_WAIT: Millis = Millis::from_secs(10);
/// Most records of one read.
const POLL_RECORDS: usize = 256;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Known claims, with a signal for each change.
pub struct ClaimBook {
    table: Mutex<ClaimTable>,
    changes: watch::Sender<u64>,
}

impl ClaimBook {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self {
            table: Mutex::default(),
            changes: watch::Sender::new(0),
        }
    }

    /// Returns the current claim of a unit.
    pub fn get(&self, unit: &UnitId) -> Option<ClaimRecord> {
        self.with_table(|table| table.get(unit).cloned())
    }

    /// Runs `read` on the table.
    pub fn with_table<T>(&self, read: impl FnOnce(&ClaimTable) -> T) -> T {
        read(&self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a receiver that is marked at each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn apply(&self, change: &ClaimChange) -> ClaimVerdict {
        let verdict = self
            .table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .apply(change);
        if verdict == ClaimVerdict::Accepted {
            self.changes.send_modify(|count| *count += 1);
        }
        verdict
    }
}

/// Reads stream `claims` until the daemon ends.
pub async fn follow_claims(context: Arc<DaemonContext>) {
    let mut next = LogOffset::new(0);
    loop {
        match context
            .log
            .read(CLAIM_STREAM, next, POLL_WAIT, POLL_RECORDS)
            .await
        {
            Ok(page) => {
                for record in page.records {
                    match decode::<ClaimChange>(&record.data) {
                        Ok(change) => {
                            context.claims.apply(&change);
                        }
                        Err(_) => context.metrics.count("claims.foreign_record"),
                    }
                    next = record.offset.saturating_add(LogOffset::new(1));
                }
            }
            Err(_) => {
                context.metrics.count("claims.read_failed");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
