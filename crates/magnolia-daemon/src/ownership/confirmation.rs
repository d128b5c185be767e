//! Confirmation that this daemon's claims are still current.

use std::sync::Arc;
use std::time::Duration;

use magnolia_state::ClaimRecord;
use magnolia_types::{Millis, UnitId};

use super::claim_reader::{fetch_from_peers, read_to_end};
use crate::context::DaemonContext;

/// Maximum age of the last confirmation by the log or a peer with which the owner of an executor
/// group still sends.
pub const MAX_CONFIRMATION_AGE: Millis = Millis::from_secs(2);
/// Age of the last confirmation above which an owner of executor groups asks for the next one.
const REFRESH_AGE: Millis = Millis::new(1000);
/// Interval at which the age of the last confirmation is checked.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout for reading the claims to the end of the log, after which peers are asked instead.
const LOG_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum age of the instance list for concluding from it that there is no other daemon.
const MAX_LIST_AGE: Millis = Millis::from_secs(5);

/// Who has confirmed a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfirmationSource {
    /// The log held no later claim when it was asked, which proves the ownership until then.
    Log,
    /// A peer knew of no later claim; it may not have read the newest one.
    Peer,
}

impl DaemonContext {
    /// Returns the claim of a unit if it belongs to this run of this daemon and is the current one
    /// as far as known.
    pub fn own_claim(&self, unit: &UnitId) -> Option<ClaimRecord> {
        let claim = self.claims.get(unit)?;
        let mine =
            claim.daemon == self.identity.daemon && claim.incarnation == self.identity.incarnation;
        (mine && self.claims.is_current(&claim)).then_some(claim)
    }

    /// Asks the log, or peers while it is unavailable, whether this daemon still owns a unit.
    pub async fn confirm_claim(&self, unit: &UnitId) -> bool {
        self.confirmation_source(unit).await.is_some()
    }

    /// Asks the log, or peers while it is unavailable, whether this daemon still owns a unit;
    /// returns who confirmed it.
    pub async fn confirmation_source(&self, unit: &UnitId) -> Option<ConfirmationSource> {
        let asked = self.clock.now();
        let read = tokio::time::timeout(LOG_TIMEOUT, read_to_end(self)).await;
        let source = if matches!(read, Ok(Ok(()))) {
            ConfirmationSource::Log
        } else {
            if !fetch_from_peers(self).await {
                // If no other daemon is listed, no other daemon can have claimed anything.
                if !self.members.is_alone(&self.identity.daemon, MAX_LIST_AGE) {
                    return None;
                }
                self.claims.record_confirmation(asked);
            }
            // `call_peer` has recorded the confirmation, unless the peer reported a newer claim.
            ConfirmationSource::Peer
        };
        self.own_claim(unit).map(|_| source)
    }

    /// Confirms the claims if the last confirmation is too old; tells whether the owner of an
    /// executor group may send.
    pub async fn ensure_recently_confirmed(&self, unit: &UnitId) -> bool {
        if self.is_recently_confirmed() {
            return true;
        }
        // All requests that wait for the lock share one confirmation.
        let _confirming = self.claims.confirming.lock().await;
        if !self.is_recently_confirmed() {
            self.confirm_claim(unit).await;
        }
        self.is_recently_confirmed()
    }

    /// Tells whether the owner of an executor group may send: its claim was confirmed within
    /// `MAX_CONFIRMATION_AGE`, and this process was not paused since.
    pub fn is_recently_confirmed(&self) -> bool {
        let now = self.clock.now();
        let confirmed = self.claims.last_confirmation();
        self.pause.has_recent_heartbeat(now)
            && confirmed.is_some_and(|asked| now.saturating_sub(asked) <= MAX_CONFIRMATION_AGE)
    }
}

/// Keeps the claims of executor groups confirmed until the daemon ends.
pub async fn keep_confirmed(context: Arc<DaemonContext>) {
    loop {
        tokio::time::sleep(REFRESH_INTERVAL).await;
        let now = context.clock.now();
        let confirmed = context.claims.last_confirmation();
        let is_due = confirmed.is_none_or(|asked| now.saturating_sub(asked) > REFRESH_AGE);
        if !is_due {
            continue;
        }
        if let Some(unit) = context.groups.units().first() {
            context.confirm_claim(unit).await;
        }
    }
}
