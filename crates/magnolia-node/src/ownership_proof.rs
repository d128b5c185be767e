//! Evidence that the claim of an owner is still in force. An owner sends orders only while it has
//! recent evidence.
//!
//! Evidence comes from the store, or from the executors that the store lists as witnesses. It counts
//! from the time at which a call was sent. An answer may be read long after it has arrived if the
//! process was paused, and says nothing about the time in between. Other daemons give no evidence:
//! they can be cut off from the store and from the next owner together with this one.

use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{RenewalKind, SchedulerSettings};
use magnolia_types::Millis;
use tokio::time::sleep;

use crate::owner::OwnerSession;

/// Age of the last confirmation by the store from which the owner asks for another one. Appends
/// confirm ownership as well, so that a busy owner rarely has to ask.
const CONFIRMATION_INTERVAL: Millis = Millis::new(500);
/// Age of the last confirmation by the store from which executors are asked more often and counted as
/// witnesses. A renewal that was sent before has been answered when the confirmation no longer counts.
const ATTESTATION_AGE: Millis = Millis::new(900);
/// Interval at which the owner checks whether it has to ask.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Delay of a check from which a pause of the process is logged; a busy process is late by less.
const PAUSE_THRESHOLD: Millis = Millis::new(500);

/// What the orders of an owner rest on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EvidenceSource {
    /// A recent answer of the store.
    Store,
    /// Recent answers of more than half of the witnesses, and no recent answer of the store.
    Witnesses,
    /// No recent evidence.
    None,
}

/// Times for which it is known that no later owner had acted.
#[derive(Clone, Debug)]
pub(crate) struct OwnershipProof {
    /// Start of the latest call by which the store confirmed the claim.
    confirmed_at: Millis,
    /// Time since which more than half of the witnesses have accepted the epoch.
    attested_at: Option<Millis>,
    /// Last check for a pause of the process.
    checked_at: Millis,
    /// Longest age of the evidence.
    limit: Millis,
    /// Longest age of the last confirmation by the store while witnesses count.
    outage_limit: Millis,
}

impl OwnershipProof {
    /// Creates the proof of an owner whose claim is confirmed at `now`.
    pub(crate) fn new(now: Millis, settings: &SchedulerSettings) -> Self {
        Self {
            confirmed_at: now,
            attested_at: None,
            checked_at: now,
            limit: settings.isolation_limit,
            outage_limit: settings.outage_limit,
        }
    }

    /// Records that a call to the store that was sent at `sent_at` confirmed the claim.
    pub(crate) fn confirm(&mut self, sent_at: Millis) {
        self.confirmed_at = self.confirmed_at.max(sent_at);
    }

    /// Records that more than half of the witnesses accepted the epoch in calls that were sent at
    /// `since` or later. They are the only evidence while the store is unavailable.
    pub(crate) fn attest(&mut self, since: Millis) {
        self.attested_at = self.attested_at.max(Some(since));
    }

    /// Returns the time since the last check for a pause if the process was paused.
    pub(crate) fn check_pause(&mut self, now: Millis) -> Option<Millis> {
        let since = now.saturating_sub(self.checked_at);
        self.checked_at = now;
        (since > PAUSE_THRESHOLD).then_some(since)
    }

    /// Returns the start of the latest call by which the store confirmed the claim.
    pub(crate) fn confirmed_at(&self) -> Millis {
        self.confirmed_at
    }

    /// Returns what orders rest on at `now`. Only the store counts while the evidence is
    /// `contradicted` by an executor that knows a higher epoch.
    pub(crate) fn source(&self, now: Millis, contradicted: bool) -> EvidenceSource {
        let store_age = now.saturating_sub(self.confirmed_at);
        let attested = self
            .attested_at
            .is_some_and(|at| now.saturating_sub(at) <= self.limit);
        if store_age <= self.limit {
            EvidenceSource::Store
        } else if attested && !contradicted && store_age <= self.outage_limit {
            EvidenceSource::Witnesses
        } else {
            EvidenceSource::None
        }
    }
}

impl OwnerSession {
    pub(crate) fn lock_proof(&self) -> MutexGuard<'_, OwnershipProof> {
        self.proof.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns what orders that are decided at `now` rest on.
    pub(crate) fn evidence(&self, now: Millis) -> EvidenceSource {
        let contradicted = self.lock().has_unexplained_fence();
        self.lock_proof().source(now, contradicted)
    }

    /// Tells whether this daemon has no recent evidence at `now` that it still owns the cell. Another
    /// daemon may own it by then, so no task is started and no lease renewed.
    pub(crate) fn is_isolated(&self, now: Millis) -> bool {
        self.evidence(now) == EvidenceSource::None
    }

    /// Returns what renewals that are decided at `now` may ask for.
    pub(crate) fn renewal_kind(&self, now: Millis) -> RenewalKind {
        if self.is_isolated(now) {
            return RenewalKind::Inquiry;
        }
        let store_age = now.saturating_sub(self.lock_proof().confirmed_at());
        if store_age > ATTESTATION_AGE {
            RenewalKind::Attesting
        } else {
            RenewalKind::Full
        }
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

    /// Counts the witnesses while the store does not confirm the claim. Logs pauses of the process
    /// and changes of what orders rest on; returns what they rest on now.
    pub(crate) fn update_evidence(&self, now: Millis, last: EvidenceSource) -> EvidenceSource {
        let (paused, confirmed_at) = {
            let mut proof = self.lock_proof();
            (proof.check_pause(now), proof.confirmed_at())
        };
        let store_age = now.saturating_sub(confirmed_at);
        if store_age > ATTESTATION_AGE {
            let attested = self.lock().attested_since();
            if let Some(since) = attested {
                self.lock_proof().attest(since);
            }
        }
        let source = self.evidence(now);
        let attested_at = self.lock_proof().attested_at;
        if let Some(length) = paused {
            log::warn!(epoch:% = self.epoch(), length:% = length, store_age:% = store_age;
                "process was paused");
        }
        if source != last {
            log::warn!(epoch:% = self.epoch(), source:? = source, store_age:% = store_age,
                attested_at:? = attested_at;
                "evidence of ownership changed; without any, no starts and renewals are sent");
        }
        source
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
