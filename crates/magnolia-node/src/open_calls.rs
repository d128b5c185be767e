//! Calls to the store that have no outcome yet, by their sequence.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_types::Millis;
use tokio::sync::Notify;

/// Time from which the store counts as away after a call failed: beyond its usual answer of 5 ms and
/// one repeat, and within the objective of an urgent job.
const FAILED_LIMIT: Millis = Millis::new(120);
/// Time from which the store counts as away without an answer: a slow store takes some 400 ms.
const SILENT_LIMIT: Millis = Millis::new(700);

/// A call without an outcome.
#[derive(Clone, Copy, Debug)]
struct OpenCall {
    since: Millis,
    /// Whether a try failed.
    failed: bool,
}

/// Calls without an outcome; several may be under way at a time.
#[derive(Default)]
pub(crate) struct OpenCalls {
    calls: Mutex<BTreeMap<u64, OpenCall>>,
    ended: Notify,
}

impl OpenCalls {
    pub(crate) fn begin(&self, sequence: u64, since: Millis) {
        let failed = false;
        self.lock().insert(sequence, OpenCall { since, failed });
    }

    pub(crate) fn end(&self, sequence: u64) {
        self.lock().remove(&sequence);
        self.ended.notify_waiters();
    }

    pub(crate) fn note_failure(&self, sequence: u64) {
        if let Some(call) = self.lock().get_mut(&sequence) {
            call.failed = true;
        }
    }

    /// Tells whether a try of any open call failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.lock().values().any(|call| call.failed)
    }

    /// Tells whether no earlier call is open.
    pub(crate) fn is_first(&self, sequence: u64) -> bool {
        self.lock()
            .first_key_value()
            .is_none_or(|(first, _)| *first >= sequence)
    }

    /// Waits until no earlier call is open: the store takes calls in their sequence only.
    pub(crate) async fn first_in_line(&self, sequence: u64) {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            // Registered before the check, so that no end in between is missed.
            ended.as_mut().enable();
            if self.is_first(sequence) {
                return;
            }
            ended.await;
        }
    }

    /// Returns for how long the store has been away, as far as these calls tell.
    pub(crate) fn away_for(&self, now: Millis) -> Option<Millis> {
        let calls = self.lock();
        let lasted = |call: &OpenCall| now.saturating_sub(call.since);
        let away = |call: &&OpenCall| {
            let limit = if call.failed {
                FAILED_LIMIT
            } else {
                SILENT_LIMIT
            };
            lasted(call) >= limit
        };
        calls.values().filter(away).map(lasted).max()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, OpenCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
