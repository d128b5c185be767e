//! Appends that have no outcome yet, by their sequence number, and the outage that follows from
//! them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_types::Millis;
use tokio::sync::Notify;

/// Age of a pending append with a failed try from which the store counts as unavailable. It leaves
/// room for the usual answer after 5 ms and one retry, and is within the latency objective of an
/// urgent job.
const OUTAGE_AFTER_FAILURE: Millis = Millis::new(120);
/// Age of a pending append without a failed try from which the store counts as unavailable. A slow
/// store answers after some 400 ms.
const OUTAGE_AFTER_SILENCE: Millis = Millis::new(700);
/// The same while the store refuses an append and the refused record is looked for. A slow store
/// takes three calls for that.
const OUTAGE_AFTER_REFUSAL: Millis = Millis::new(1500);

/// An append without an outcome.
#[derive(Clone, Copy, Debug)]
struct PendingAppend {
    since: Millis,
    /// Whether a try has failed.
    failed: bool,
    /// Whether the store has refused a try.
    refused: bool,
}

/// Appends without an outcome, of which there may be several at a time.
#[derive(Default)]
pub(crate) struct PendingAppends {
    appends: Mutex<BTreeMap<u64, PendingAppend>>,
    /// Notified when an append has an outcome.
    ended: Notify,
}

impl PendingAppends {
    /// Adds an append, unless one with this sequence number is pending; returns when that one was
    /// first sent.
    pub(crate) fn begin(&self, sequence: u64, since: Millis) -> Millis {
        let mut appends = self.lock();
        let added = PendingAppend {
            since,
            failed: false,
            refused: false,
        };
        appends.entry(sequence).or_insert(added).since
    }

    pub(crate) fn end(&self, sequence: u64) {
        self.lock().remove(&sequence);
        self.ended.notify_waiters();
    }

    pub(crate) fn record_failure(&self, sequence: u64) {
        if let Some(append) = self.lock().get_mut(&sequence) {
            append.failed = true;
        }
    }

    pub(crate) fn record_refusal(&self, sequence: u64) {
        if let Some(append) = self.lock().get_mut(&sequence) {
            append.refused = true;
        }
    }

    /// Tells whether a try of any pending append has failed or was refused.
    pub(crate) fn has_failed(&self) -> bool {
        self.lock()
            .values()
            .any(|append| append.failed || append.refused)
    }

    /// Tells whether no earlier append is pending.
    pub(crate) fn is_first(&self, sequence: u64) -> bool {
        self.lock()
            .first_key_value()
            .is_none_or(|(first, _)| *first >= sequence)
    }

    /// Tells whether no later append is pending.
    pub(crate) fn is_last(&self, sequence: u64) -> bool {
        self.lock()
            .last_key_value()
            .is_none_or(|(last, _)| *last <= sequence)
    }

    /// Waits until no earlier append is pending, because the store accepts appends only in
    /// sequence.
    pub(crate) async fn wait_until_first(&self, sequence: u64) {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            // Registered before the check, so that an end in between is not missed.
            ended.as_mut().enable();
            if self.is_first(sequence) {
                return;
            }
            ended.await;
        }
    }

    /// Returns the age of the oldest append that shows the store to be unavailable, if there is
    /// one.
    pub(crate) fn outage_duration(&self, now: Millis) -> Option<Millis> {
        let appends = self.lock();
        let age = |append: &PendingAppend| now.saturating_sub(append.since);
        // Later appends wait for the refused one.
        let refused = appends.values().any(|append| append.refused);
        let in_outage = |append: &&PendingAppend| {
            let threshold = if refused {
                OUTAGE_AFTER_REFUSAL
            } else if append.failed {
                OUTAGE_AFTER_FAILURE
            } else {
                OUTAGE_AFTER_SILENCE
            };
            age(append) >= threshold
        };
        appends.values().filter(in_outage).map(age).max()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<u64, PendingAppend>> {
        self.appends.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
