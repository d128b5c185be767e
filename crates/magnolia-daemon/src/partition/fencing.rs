//! Takeover: adopts what runs on the workers and decides when old tasks may be placed.

use std::sync::Arc;

use magnolia_backing::{AttemptReport, AttemptState, WorkerReport};
use magnolia_policy::AttemptRecord;
use magnolia_state::{AttemptResult, FoundAttempt, JournalEntry, TakeoverTracker, with_drift};
use magnolia_types::{AttemptId, Epoch, JobId, Millis, TaskRef, WorkerId};

use super::committer::JournalCommitter;
use super::events::OpenedJournal;
use super::evidence;
use super::exchange::result_of;
use super::owner::{OwnedAttempt, OwnerPhase, PartitionOwner};
use super::worker_link::AttemptOrder;
use crate::metrics::names;

/// Part of the retention after which a snapshot is due.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

impl PartitionOwner {
    /// Starts to serve with the state of the journal.
    pub(super) fn opened(&mut self, journal: OpenedJournal) {
        let now = self.now();
        let retention = self.context.settings.log_retention_ms;
        let interval = Millis::new(retention.get() / SNAPSHOTS_PER_RETENTION);
        let (epoch, incarnation) = (self.claim.epoch, self.claim.incarnation);
        self.committer = JournalCommitter::new(epoch, incarnation, journal.offset, interval, now)
            .with_base(journal.base, journal.since_base);
        self.table = journal.table;
        self.phase = OwnerPhase::Serving;
        self.collect_unseen();
        let is_first = self.earlier_owners().next().is_none();
        let lease = self.lease.max(self.table.longest_lease());
        self.tracker = TakeoverTracker::new(epoch, lease, self.workers_to_fence());
        // A handover proves the end of the owner that hands over, not of owners before it.
        let handing = Epoch::new(epoch.get().saturating_sub(1));
        let has_older = self.table.owners().iter().any(|owner| owner.0 < handing);
        if is_first || (journal.handed_over && !has_older) {
            self.tracker = self.tracker.clone().with_confirmed_end();
            self.bound_unseen(now, lease);
        }
        log::info!(
            "{}: journal read up to {}, {} jobs, handed over: {}",
            self.claim.unit,
            journal.offset,
            self.table.iter().count(),
            journal.handed_over
        );
        self.journal_lease();
        self.resolve_open_intents();
        let needs_no_fences = self.tracker.is_complete();
        for (worker, (report, received)) in std::mem::take(&mut self.early_reports) {
            self.adopt_report(&worker, &report, received);
        }
        if needs_no_fences {
            self.takeover_done();
        }
        self.enqueue_all();
    }

    /// Adopts the report of a fence, or keeps it until the journal is read.
    pub(super) fn take_fence_report(
        &mut self,
        worker: &WorkerId,
        report: &WorkerReport,
        now: Millis,
    ) {
        if matches!(self.phase, OwnerPhase::Opening) {
            self.early_reports
                .insert(worker.clone(), (report.clone(), now));
        } else if !self.tracker.is_fenced(worker) {
            self.adopt_report(worker, report, now);
        }
    }

    fn adopt_report(&mut self, worker: &WorkerId, report: &WorkerReport, received: Millis) {
        for attempt in &report.attempts {
            self.adopt_attempt(worker, attempt, (report.clock_ms, received));
        }
        let unseen = self.unseen.remove(worker).unwrap_or_default();
        for (task, attempt) in unseen {
            let is_reported = report.attempts.iter().any(|it| it.attempt == attempt);
            if !is_reported && self.is_current(&task, &attempt) {
                self.lose_unseen(&task, &attempt, worker);
            }
        }
        if self.tracker.record_fenced(worker) {
            self.takeover_done();
        }
        self.update_view(worker);
    }

    fn adopt_attempt(
        &mut self,
        worker: &WorkerId,
        report: &AttemptReport,
        (reading, received): (Millis, Millis),
    ) {
        let found = self
            .table
            .reconcile_attempt(&report.task, &report.attempt, worker);
        let is_current = found == FoundAttempt::Current;
        let (attempt, task) = (report.attempt.clone(), report.task.clone());
        if !is_current {
            match report.state {
                AttemptState::Ended(_) => self.acknowledge_now(worker, &attempt),
                _ => {
                    if let Some(link) = self.links.get_mut(worker) {
                        link.order(&attempt, AttemptOrder::Stop);
                    }
                }
            }
            return;
        }
        self.context.metrics.count(names::ATTEMPTS_ADOPTED);
        let now = self.now();
        let entry = JournalEntry::AttemptFound {
            task: task.clone(),
            attempt: attempt.clone(),
            worker: worker.clone(),
        };
        self.committer.push(entry, None, now);
        let left = with_drift(report.lease_until_ms.saturating_sub(reading));
        self.book
            .adopt_attempt(worker, attempt.clone(), received.saturating_add(left));
        self.own_attempt(worker, report, now);
        match report.state {
            AttemptState::Ended(end) => self.end_attempt(&attempt, result_of(end), true),
            _ => self.expect_end(worker, report, now),
        }
    }

    fn own_attempt(&mut self, worker: &WorkerId, report: &AttemptReport, now: Millis) {
        let task = report.task.clone();
        let Some(entry) = self.table.get(&task.job) else {
            return;
        };
        self.engine.attempt_started(AttemptRecord {
            attempt: report.attempt.clone(),
            task: task.clone(),
            worker: worker.clone(),
            size: report.size,
            spec: Arc::clone(&entry.spec),
            started: now.saturating_sub(report.ran_ms),
        });
        let worker = worker.clone();
        let owned = OwnedAttempt { task, worker };
        self.attempts.insert(report.attempt.clone(), owned);
    }

    fn expect_end(&mut self, worker: &WorkerId, report: &AttemptReport, now: Millis) {
        let entry = self.table.get(&report.task.job);
        let run = entry.and_then(|entry| entry.spec.run_ms);
        let is_ending = entry.is_some_and(|entry| entry.ending.is_some());
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        if let Some(run) = run {
            let end = now.saturating_add(run).saturating_sub(report.ran_ms);
            link.expected.insert(report.attempt.clone(), end);
        }
        if is_ending {
            link.order(&report.attempt, AttemptOrder::Stop);
        }
    }

    /// Looks for the proof that earlier owners have ended.
    pub(super) fn prove_earlier_ends(&mut self) {
        if self.tracker.is_complete() || !self.is_serving() {
            return;
        }
        let proofs: Option<Vec<Millis>> = self
            .earlier_owners()
            .map(|(daemon, incarnation)| evidence::proof_of_end(&self.context, daemon, incarnation))
            .collect();
        if let Some(latest) = proofs.and_then(|proofs| proofs.into_iter().max()) {
            self.tracker.record_proof_of_end(latest);
        }
    }

    /// Ends the attempts that nobody can run any more and queues the tasks of earlier owners.
    pub(super) fn takeover_done(&mut self) {
        log::info!("{}: every worker is fenced or waited out", self.claim.unit);
        let now = self.now();
        let done = JournalEntry::TakeoverDone;
        self.table.apply(self.claim.epoch, &done);
        self.committer.push(done, None, now);
        for (worker, unseen) in std::mem::take(&mut self.unseen) {
            for (task, attempt) in unseen {
                if self.attempts.contains_key(&attempt) {
                    // After a handover, the report of the worker or the end of its lease decides.
                    let kept = self.unseen.entry(worker.clone()).or_default();
                    kept.push((task, attempt));
                } else if self.is_current(&task, &attempt) {
                    self.lose_unseen(&task, &attempt, &worker);
                }
            }
        }
        self.enqueue_all();
    }

    /// Tells later owners how long the leases of this one are, if they are longer than before.
    pub(super) fn journal_lease(&mut self) {
        if self.lease > self.table.longest_lease() {
            let entry = JournalEntry::LeaseGranted { lease: self.lease };
            self.table.apply(self.claim.epoch, &entry);
            self.committer.push(entry, None, self.now());
        }
    }

    fn enqueue_all(&mut self) {
        let jobs: Vec<JobId> = self.table.iter().map(|(job, _)| job.clone()).collect();
        jobs.iter().for_each(|job| self.enqueue_ready(job));
        self.place_due = true;
    }

    /// Ends an attempt that only the journal knows.
    fn lose_unseen(&mut self, task: &TaskRef, attempt: &AttemptId, worker: &WorkerId) {
        let (task, worker) = (task.clone(), worker.clone());
        let owned = OwnedAttempt { task, worker };
        self.attempts.insert(attempt.clone(), owned);
        self.end_attempt(attempt, AttemptResult::Lost, false);
    }

    /// Collects the attempts that the journal says are running.
    fn collect_unseen(&mut self) {
        for (job, entry) in self.table.iter() {
            for (task, running) in entry.running() {
                let unseen = self.unseen.entry(running.worker.clone()).or_default();
                unseen.push((TaskRef::new(job.clone(), task), running.attempt.clone()));
            }
        }
    }

    /// Bounds the leases of unseen attempts when the earlier owner has ended before `now`.
    fn bound_unseen(&mut self, now: Millis, lease: Millis) {
        let until = now.saturating_add(with_drift(lease));
        for (worker, unseen) in &self.unseen {
            for (task, attempt) in unseen {
                self.book.adopt_attempt(worker, attempt.clone(), until);
                let (task, worker) = (task.clone(), worker.clone());
                let owned = OwnedAttempt { task, worker };
                self.attempts.insert(attempt.clone(), owned);
            }
        }
    }

    /// Returns the workers of the inventory and those that the journal names.
    ///
    /// A worker that has left the inventory may still run tasks and can only be waited out.
    fn workers_to_fence(&self) -> Vec<WorkerId> {
        self.links
            .keys()
            .chain(self.unseen.keys())
            .cloned()
            .collect()
    }

    fn earlier_owners(
        &self,
    ) -> impl Iterator<Item = (&magnolia_types::DaemonId, magnolia_types::Incarnation)> {
        let owners = self.table.owners().iter();
        let earlier = owners.filter(|(epoch, _, _)| *epoch < self.claim.epoch);
        earlier.map(|(_, daemon, incarnation)| (daemon, *incarnation))
    }

    fn is_current(&self, task: &TaskRef, attempt: &AttemptId) -> bool {
        let entry = self.table.get(&task.job);
        entry.is_some_and(|entry| {
            entry
                .running()
                .any(|(index, running)| index == task.task && running.attempt == *attempt)
        })
    }
}
