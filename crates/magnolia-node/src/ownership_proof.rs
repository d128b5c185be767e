//! Evidence that the claim of an owner is still in force. An owner sends orders only while it has
//! recent evidence.
//!
//! Evidence counts from the time at which a call was sent. An answer may be read long after it has
//! arrived if the process was paused, and says nothing about the time in between.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_types::Millis;
use tokio::time::sleep;

use crate::owner::OwnerSession;
use crate::peer_messages::PingRequest;

/// Age of the last confirmation by the store from which the owner asks for another one. Appends
/// confirm ownership as well, so that a busy owner rarely has to ask.
const CONFIRMATION_INTERVAL: Millis = Millis::new(500);
/// Interval at which the owner checks whether it has to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay of a check from which a pause of the process is logged; a busy process is late by less.
const PAUSE_THRESHOLD: Millis = Millis::new(500);

/// What the orders of an owner rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// A recent answer of the store.
    Store,
    /// A recent ping of a peer, and no recent answer of the store.
    Peer,
    /// No recent evidence.
    None,
}

/// Times for which it is known that no later owner had acted.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipProof {
    /// Start of the latest call by which the store confirmed the claim.
    confirmed_at: Millis,
    /// Latest time of the owner's clock that a peer returned in a ping that named no later claim.
    echoed_at: Millis,
    /// Last check for a pause of the process.
    checked_at: Millis,
    /// Last check that came late because the process was paused.
    resumed_at: Option<Millis>,
    /// Longest age of the evidence.
    limit: Millis,
}

impl OwnershipProof {
    /// Creates the proof of an owner whose claim is confirmed at `now`; evidence counts for
    /// `limit`.
    pub(crate) fn new(now: Millis, limit: Millis) -> Self {
        Self {
            confirmed_at: now,
            echoed_at: now,
            checked_at: now,
            resumed_at: None,
            limit,
        }
    }

    /// Records that a call to the store that was sent at `sent_at` confirmed the claim.
    pub(crate) fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Records that a peer knew of no later claim after it had read `stamp`, a time of the owner's
    /// clock. Pings are the only evidence while the store is unavailable for all daemons.
    pub(crate) fn record_echo(&mut self, stamp: Millis) {
        self.echoed_at = self.echoed_at.max(stamp);
    }

    /// Detects that the process was paused since the last check; returns the time since then if it
    /// was.
    pub(crate) fn check_pause(&mut self, now: Millis) -> Option<Millis> {
        let since = now.saturating_sub(self.checked_at);
        if since > self.limit {
            self.resumed_at = Some(now);
        }
        self.checked_at = now;
        (since > PAUSE_THRESHOLD).then_some(since)
    }

    /// Returns what orders rest on at `now`.
    pub(crate) fn source(&self, now: Millis) -> EvidenceSource {
        let store_age = now.saturating_sub(self.confirmed_at);
        let peer_age = now.saturating_sub(self.echoed_at);
        match (store_age <= self.limit, peer_age <= self.limit) {
            (true, _) => EvidenceSource::Store,
            (false, true) => EvidenceSource::Peer,
            (false, false) => EvidenceSource::None,
        }
    }

    /// Returns the start of the latest call by which the store confirmed the claim.
    pub(crate) fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Tells whether orders may be sent. The only registered daemon needs no recent evidence unless
    /// it was paused: another daemon may have registered and claimed ownership meanwhile. Only the
    /// store counts while the evidence is `contradicted` by an executor that knows a higher epoch.
    pub(crate) fn allows_orders(&self, now: Millis, only_member: bool, contradicted: bool) -> bool {
        if contradicted {
            return now.saturating_sub(self.confirmed_at) <= self.limit;
        }
        let newest = self.confirmed_at.max(self.echoed_at);
        let paused = now.saturating_sub(self.checked_at) > self.limit
            || self.resumed_at.is_some_and(|at| at >= self.confirmed_at);
        now.saturating_sub(newest) <= self.limit || (only_member && !paused)
    }
}

impl OwnerSession {
    pub(crate) fn lock_proof(&self) -> MutexGuard<'_, OwnershipProof> {
        self.proof.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether this daemon has no recent evidence that it still owns the cell. Another daemon
    /// may own it by then, so no task is started and no lease renewed.
    pub(crate) fn is_isolated(&self) -> bool {
        let only_member = self.node.cell.borrow().members.len() <= 1;
        let contradicted = self.lock().has_unexplained_fence();
        !self
            .lock_proof()
            .allows_orders(self.now(), only_member, contradicted)
    }

    /// Records that the store confirmed the claim by a call that was sent at `sent_at`.
    pub(crate) fn record_confirmation(&self, sent_at: Millis) {
        self.lock_proof().confirm(sent_at);
        let mut scheduler = self.lock();
        if scheduler.awaits_confirmation() {
            scheduler.confirm_ownership(sent_at, self.now());
            drop(scheduler);
            self.request_plan();
        }
    }

    /// Logs a pause of the process, and changes of what the orders rest on.
    pub(crate) fn log_evidence(&self, last: EvidenceSource) -> EvidenceSource {
        let now = self.now();
        let (paused, source, store_age, peer_age) = {
            let mut proof = self.lock_proof();
            let paused = proof.check_pause(now);
            let store_age = now.saturating_sub(proof.confirmed_at);
            let peer_age = now.saturating_sub(proof.echoed_at);
            (paused, proof.source(now), store_age, peer_age)
        };
        if let Some(length) = paused {
            log::warn!(epoch:% = self.epoch(), length:% = length, store_age:% = store_age,
                peer_age:% = peer_age; "process was paused");
        }
        if source != last {
            log::warn!(epoch:% = self.epoch(), source:? = source, store_age:% = store_age,
                peer_age:% = peer_age; "evidence of ownership has another source");
        }
        source
    }

    /// Takes the evidence from a ping of a peer.
    pub(crate) fn record_ping_evidence(&self, ping: &PingRequest) {
        if ping.epoch == self.epoch() {
            self.lock_proof().record_echo(ping.echo);
        }
    }

    /// Asks the store for a confirmation when the last one is old, or when tasks wait for one.
    pub(crate) async fn confirm_periodically(self: Arc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            let confirmed_at = self.lock_proof().confirmed_at();
            let is_old = self.now().saturating_sub(confirmed_at) > CONFIRMATION_INTERVAL;
            if !is_old && !self.lock().awaits_confirmation() {
                continue;
            }
            let sent_at = self.now();
            if self.node.confirms_epoch(self.epoch()).await {
                self.record_confirmation(sent_at);
            }
        }
    }
}
