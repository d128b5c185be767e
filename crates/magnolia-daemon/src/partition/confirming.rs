//! Confirmation of the claim, and the actions that need it: starts on new or restarted workers, and
//! giving up attempts whose leases have expired.
//!
//! A restarted worker no longer knows its fence and would accept the commands of a superseded
//! owner. An owner therefore sends it starts only after the log has confirmed the claim.

use std::sync::Arc;

use magnolia_types::{AttemptId, JobKind, Millis, WorkerId};

use super::events::OwnerEvent;
use super::evidence;
use super::owner::PartitionOwner;
use crate::metrics::names;
use crate::ownership::ConfirmationSource;

/// Delay before the claim is checked again when the log has not confirmed it.
const CONFIRM_DELAY: Millis = Millis::new(500);

/// Times at which the last successful confirmations of the claim were asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConfirmationTimes {
    /// Confirmed by the log.
    by_log: Millis,
    /// Confirmed by the log or a peer.
    by_anyone: Millis,
}

impl PartitionOwner {
    /// Asks whether the claim is current, unless a check is under way or [`CONFIRM_DELAY`] is not
    /// over.
    pub(super) fn ask_for_confirmation(&mut self, now: Millis) {
        if self.confirmation_asked.is_some() || now < self.next_confirmation_at {
            return;
        }
        self.confirmation_asked = Some(now);
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let claim = self.claim.clone();
        tokio::spawn(async move {
            let source = evidence::confirm_claim(&context, &claim).await;
            let asked = now;
            events.send(OwnerEvent::Confirmed { asked, source }).ok();
        });
    }

    /// Records a confirmation. One by the log allows starts on the worker incarnations that were
    /// known at `asked`.
    ///
    /// A peer that has not read a later claim confirms as well. The later owner may have started
    /// the tasks of the restarted worker elsewhere by then, so a peer allows no starts.
    pub(super) fn handle_confirmation(
        &mut self,
        asked: Millis,
        source: Option<ConfirmationSource>,
    ) {
        self.confirmation_asked = None;
        if source != Some(ConfirmationSource::Log) {
            self.next_confirmation_at = self.now().saturating_add(CONFIRM_DELAY);
        }
        match source {
            Some(ConfirmationSource::Log) => {
                self.confirmed.by_log = asked;
                self.confirmed.by_anyone = asked;
                self.allow_starts(asked);
            }
            Some(ConfirmationSource::Peer) => self.confirmed.by_anyone = asked,
            None => self.context.metrics.count(names::CLAIMS_NOT_CONFIRMED),
        }
    }

    /// Allows starts on the worker incarnations that were known at `asked`, when the log confirmed
    /// the claim.
    fn allow_starts(&mut self, asked: Millis) {
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            let reading = self.leases.newest_reading(&worker);
            if let Some(link) = self.links.get_mut(&worker)
                && link.incarnation_learned_at <= asked
            {
                link.confirmed_incarnation = reading.map(|reading| reading.incarnation);
            }
            self.update_view(&worker);
        }
    }

    /// Completes the takeover once all leases of earlier owners have expired, and ends the attempts
    /// whose leases have expired.
    ///
    /// A later owner may have fenced a worker that this one cannot reach, and renewed the leases
    /// there. A lease therefore counts as expired only when the log has confirmed the claim after
    /// its expiry: any later owner then finds the lease expired.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        if self.tracker.advance(self.confirmed.by_log) {
            self.finish_takeover();
        }
        for (worker, lost) in self.leases.expire(self.confirmed.by_log) {
            self.abandon_attempts(&worker, lost);
        }
        self.expire_services();
        if self.tracker.is_wait_over(now) || self.leases.expired(now).next().is_some() {
            self.ask_for_confirmation(now);
        }
    }

    /// Ends the attempts of services whose leases have expired. For these, a confirmation by a peer
    /// is enough, so that services restart during an outage of the log: two runs of a service task
    /// do less harm than none.
    fn expire_services(&mut self) {
        let expired = self.leases.expired(self.confirmed.by_anyone);
        let services = expired.filter(|(_, attempt)| self.is_service(attempt));
        let services: Vec<(WorkerId, AttemptId)> = services
            .map(|(worker, attempt)| (worker.clone(), attempt.clone()))
            .collect();
        for (worker, attempt) in services {
            self.leases.remove_attempt(&worker, &attempt);
            self.abandon_attempts(&worker, vec![attempt]);
        }
    }

    fn is_service(&self, attempt: &AttemptId) -> bool {
        let owned = self.attempts.get(attempt);
        let entry = owned.and_then(|owned| self.table.get(&owned.task.job));
        entry.is_some_and(|entry| entry.spec.kind == JobKind::Service)
    }

    fn abandon_attempts(&mut self, worker: &WorkerId, lost: Vec<AttemptId>) {
        let count = lost.len() as u64;
        self.context.metrics.add(names::ATTEMPTS_WAITED_OUT, count);
        self.end_lost_attempts(worker, lost);
    }
}
