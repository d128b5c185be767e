//! Confirms the claim, and what waits for that: restarted workers and leases that have ended.

use std::sync::Arc;

use magnolia_types::{AttemptId, JobKind, Millis, WorkerId};

use super::events::OwnerEvent;
use super::evidence;
use super::owner::PartitionOwner;
use crate::metrics::names;
use crate::ownership::ConfirmationSource;

/// Pause before the claim is asked about again after it was not confirmed by the log.
const CONFIRM_PAUSE: Millis = Millis::new(500);

/// When the claim was last confirmed, as the times at which the questions were asked.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ConfirmationTimes {
    /// By the log.
    by_log: Millis,
    /// By the log or a peer.
    by_anyone: Millis,
}

impl PartitionOwner {
    /// Asks whether the claim is current, unless the question is open or was asked just now.
    pub(super) fn ask_for_confirmation(&mut self, now: Millis) {
        if self.confirming.is_some() || now < self.confirm_after {
            return;
        }
        self.confirming = Some(now);
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let claim = self.claim.clone();
        tokio::spawn(async move {
            let source = evidence::confirm_claim(&context, &claim).await;
            let asked = now;
            events.send(OwnerEvent::Confirmed { asked, source }).ok();
        });
    }

    /// Allows starts on the incarnations that were known before the question was asked.
    pub(super) fn claim_confirmed(&mut self, asked: Millis, source: Option<ConfirmationSource>) {
        self.confirming = None;
        if source != Some(ConfirmationSource::Log) {
            self.confirm_after = self.now().saturating_add(CONFIRM_PAUSE);
        }
        match source {
            Some(ConfirmationSource::Log) => self.confirmed.by_log = asked,
            Some(ConfirmationSource::Peer) => {}
            None => {
                self.context.metrics.count(names::CLAIMS_NOT_CONFIRMED);
                return;
            }
        }
        self.confirmed.by_anyone = asked;
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            let citation = self.book.newest_reading(&worker);
            if let Some(link) = self.links.get_mut(&worker)
                && link.learned <= asked
            {
                link.confirmed = citation.map(|citation| citation.incarnation);
            }
            self.update_view(&worker);
        }
    }

    /// Ends the wait for the workers that cannot be fenced, and the attempts whose leases have
    /// ended.
    ///
    /// A later owner may have fenced a worker that this one cannot reach, and renewed the leases
    /// there. The end of a lease by this owner's book therefore counts only when the log has
    /// confirmed the claim after it: any later owner then finds the lease ended.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        if self.tracker.advance(self.confirmed.by_log) {
            self.takeover_done();
        }
        for (worker, lost) in self.book.expire(self.confirmed.by_log) {
            self.give_up(&worker, lost);
        }
        self.expire_services();
        if self.tracker.is_wait_over(now) || self.book.expired(now).next().is_some() {
            self.ask_for_confirmation(now);
        }
    }

    /// Ends the attempts of services on the confirmation of a peer, so that a log outage does not keep services
    /// down; two runs of a service task do less harm than none.
    fn expire_services(&mut self) {
        let expired = self.book.expired(self.confirmed.by_anyone);
        let services = expired.filter(|(_, attempt)| self.is_service(attempt));
        let services: Vec<(WorkerId, AttemptId)> = services
            .map(|(worker, attempt)| (worker.clone(), attempt.clone()))
            .collect();
        for (worker, attempt) in services {
            self.book.remove_attempt(&worker, &attempt);
            self.give_up(&worker, vec![attempt]);
        }
    }

    fn is_service(&self, attempt: &AttemptId) -> bool {
        let owned = self.attempts.get(attempt);
        let entry = owned.and_then(|owned| self.table.get(&owned.task.job));
        entry.is_some_and(|entry| entry.spec.kind == JobKind::Service)
    }

    fn give_up(&mut self, worker: &WorkerId, lost: Vec<AttemptId>) {
        let count = lost.len() as u64;
        self.context.metrics.add(names::ATTEMPTS_WAITED_OUT, count);
        self.lose_attempts(worker, lost);
    }
}
