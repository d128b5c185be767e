//! Takeover: adopts the attempts that run on the workers and decides when tasks of earlier owners
//! may be placed.

use std::sync::Arc;

use magnolia_backing::{AttemptReport, AttemptState, WorkerReport};
use magnolia_policy::AttemptRecord;
use magnolia_state::{AttemptResult, FoundAttempt, JournalEntry, TakeoverTracker, with_drift};
use magnolia_types::{AttemptId, Epoch, JobId, Millis, TaskRef, WorkerId};

use super::committer::JournalCommitter;
use super::events::OpenedJournal;
use super::evidence;
use super::exchange::attempt_result;
use super::owner::{OwnedAttempt, OwnerPhase, PartitionOwner};
use super::worker_link::AttemptOrder;
use crate::metrics::names;

/// Number of snapshots within the retention of the log, so that it always holds a complete one.
const SNAPSHOTS_PER_RETENTION: u64 = 4;

impl PartitionOwner {
    /// Starts to serve with the state that was read from the journal.
    pub(super) fn start_serving(&mut self, journal: OpenedJournal) {
        let now = self.now();
        let retention = self.context.settings.log_retention_ms;
        let interval = Millis::new(retention.get() / SNAPSHOTS_PER_RETENTION);
        let (epoch, incarnation) = (self.claim.epoch, self.claim.incarnation);
        self.committer = JournalCommitter::new(epoch, incarnation, journal.offset, interval, now)
            .with_snapshot(journal.snapshot_offset, journal.records_since_snapshot);
        self.table = journal.table;
        self.phase = OwnerPhase::Serving;
        self.collect_journal_only();
        let is_first = self.earlier_owners().next().is_none();
        let lease = self.lease.max(self.table.longest_lease());
        self.tracker = TakeoverTracker::new(epoch, lease, self.workers_to_fence());
        // A handover proves the end of the previous owner, but not of the owners before it.
        let previous = Epoch::new(epoch.get().saturating_sub(1));
        let has_older = self.table.owners().iter().any(|owner| owner.0 < previous);
        if is_first || (journal.handed_over && !has_older) {
            self.tracker = self.tracker.clone().with_confirmed_end();
            self.bound_journal_only_leases(now, lease);
        }
        log::info!(
            "{}: journal replayed up to offset {}, {} jobs, state from a handover: {}",
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
            self.finish_takeover();
        }
        self.enqueue_all();
    }

    /// Adopts the attempts in the report of a worker that has accepted the fence, or keeps the
    /// report until the journal is open.
    pub(super) fn handle_fence_report(
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

    /// Adopts the reported attempts and ends those as lost that the journal has on this worker but
    /// the report does not.
    fn adopt_report(&mut self, worker: &WorkerId, report: &WorkerReport, received: Millis) {
        for attempt in &report.attempts {
            self.adopt_attempt(worker, attempt, (report.clock_ms, received));
        }
        let journal_only = self.journal_only.remove(worker).unwrap_or_default();
        for (task, attempt) in journal_only {
            let is_reported = report.attempts.iter().any(|it| it.attempt == attempt);
            if !is_reported && self.is_current(&task, &attempt) {
                self.end_journal_only(&task, &attempt, worker);
            }
        }
        if self.tracker.record_fenced(worker) {
            self.finish_takeover();
        }
        self.update_view(worker);
    }

    /// Adopts a reported attempt if it is the current one of its task; otherwise acknowledges its
    /// end or stops it. The worker took `reading` of its clock with the report, which this owner
    /// received at `received`.
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
                        link.set_order(&attempt, AttemptOrder::Stop);
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
        self.leases
            .adopt_attempt(worker, attempt.clone(), received.saturating_add(left));
        self.track_attempt(worker, report, now);
        match report.state {
            AttemptState::Ended(end) => self.end_attempt(&attempt, attempt_result(end), true),
            _ => self.expect_end(worker, report, now),
        }
    }

    /// Records an adopted attempt as running, for the owner and the placement engine.
    fn track_attempt(&mut self, worker: &WorkerId, report: &AttemptReport, now: Millis) {
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

    /// Sets when an adopted attempt is expected to end; stops it if its job is ending.
    fn expect_end(&mut self, worker: &WorkerId, report: &AttemptReport, now: Millis) {
        let entry = self.table.get(&report.task.job);
        let run = entry.and_then(|entry| entry.spec.run_ms);
        let is_ending = entry.is_some_and(|entry| entry.ending.is_some());
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        if let Some(run) = run {
            let end = now.saturating_add(run).saturating_sub(report.ran_ms);
            link.expected_ends.insert(report.attempt.clone(), end);
        }
        if is_ending {
            link.set_order(&report.attempt, AttemptOrder::Stop);
        }
    }

    /// Records when the earlier owners have ended, once that is proved for all of them.
    pub(super) fn record_proofs_of_end(&mut self) {
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

    /// Journals that the takeover is complete, ends the attempts that can no longer run anywhere
    /// and queues the tasks of earlier owners.
    pub(super) fn finish_takeover(&mut self) {
        log::info!(
            "{}: takeover complete: tasks of earlier owners may be placed",
            self.claim.unit
        );
        let now = self.now();
        let done = JournalEntry::TakeoverDone;
        self.table.apply(self.claim.epoch, &done);
        self.committer.push(done, None, now);
        for (worker, journal_only) in std::mem::take(&mut self.journal_only) {
            for (task, attempt) in journal_only {
                if self.attempts.contains_key(&attempt) {
                    // After a handover, the attempt may still be running: the report of the worker
                    // or the expiry of its lease decides.
                    let kept = self.journal_only.entry(worker.clone()).or_default();
                    kept.push((task, attempt));
                } else if self.is_current(&task, &attempt) {
                    self.end_journal_only(&task, &attempt, &worker);
                }
            }
        }
        self.enqueue_all();
    }

    /// Journals the duration of the leases if it is longer than any before, for later owners.
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
        self.placement_due = true;
    }

    /// Ends an attempt as lost that is in the journal but was not reported by its worker.
    fn end_journal_only(&mut self, task: &TaskRef, attempt: &AttemptId, worker: &WorkerId) {
        let (task, worker) = (task.clone(), worker.clone());
        let owned = OwnedAttempt { task, worker };
        self.attempts.insert(attempt.clone(), owned);
        self.end_attempt(attempt, AttemptResult::Lost, false);
    }

    /// Collects the attempts that are running according to the journal.
    fn collect_journal_only(&mut self) {
        for (job, entry) in self.table.iter() {
            for (task, running) in entry.running() {
                let journal_only = self.journal_only.entry(running.worker.clone()).or_default();
                journal_only.push((TaskRef::new(job.clone(), task), running.attempt.clone()));
            }
        }
    }

    /// Bounds the leases of attempts that no worker has reported yet: they expire at the latest one
    /// lease after `now`, because the earlier owner has ended.
    fn bound_journal_only_leases(&mut self, now: Millis, lease: Millis) {
        let until = now.saturating_add(with_drift(lease));
        for (worker, journal_only) in &self.journal_only {
            for (task, attempt) in journal_only {
                self.leases.adopt_attempt(worker, attempt.clone(), until);
                let (task, worker) = (task.clone(), worker.clone());
                let owned = OwnedAttempt { task, worker };
                self.attempts.insert(attempt.clone(), owned);
            }
        }
    }

    /// Returns the workers of the inventory and those on which attempts run according to the
    /// journal.
    ///
    /// A worker that has left the inventory may still run tasks, but cannot be fenced, because the
    /// journal does not have its address; the takeover has to wait until its leases have expired.
    fn workers_to_fence(&self) -> Vec<WorkerId> {
        self.links
            .keys()
            .chain(self.journal_only.keys())
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

    /// Tells whether the task runs as this attempt according to the job table.
    fn is_current(&self, task: &TaskRef, attempt: &AttemptId) -> bool {
        let entry = self.table.get(&task.job);
        entry.is_some_and(|entry| {
            entry
                .running()
                .any(|(index, running)| index == task.task && running.attempt == *attempt)
        })
    }
}
