//! Group commit of journal entries, without I/O.
//!
//! At most one append is in flight. An append without an answer is repeated unchanged until it is
//! acknowledged, because it may have taken effect; readers recognise the copies. If other records
//! lie between this owner's last record and the acknowledged one (a gap), they are read first,
//! because a later owner may have opened the journal there.

use std::collections::VecDeque;

use bytes::Bytes;
use magnolia_state::{JournalBatch, JournalEntry, MAX_BATCH_BYTES};
use magnolia_types::{Epoch, Incarnation, LogOffset, Millis};

/// Maximum time that an urgent entry waits for others to share its append.
const URGENT_DELAY: Millis = Millis::new(10);
/// Maximum time that any other entry waits. It keeps the number of appends for starts and ends
/// small: the log takes a few hundred appends a second from the whole cell.
const DEFERRED_DELAY: Millis = Millis::new(250);
/// Delay before a failed append or read is retried.
const RETRY_DELAY: Millis = Millis::new(200);
/// Interval at which an unavailable log is probed when there is nothing to append.
const PROBE_INTERVAL: Millis = Millis::new(500);
/// Number of records since the last snapshot at which the next one is due.
const SNAPSHOT_RECORDS: u64 = 4000;
/// Maximum number of entries that are kept while the log is unavailable. Above it, entries without
/// a waiter are dropped, and a snapshot after the outage replaces them.
const MAX_PENDING_ENTRIES: usize = 20_000;

/// The next call of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAction {
    /// Append this record.
    Append(Bytes),
    /// Read the records from the first offset up to the second one, exclusively.
    ReadGap(LogOffset, LogOffset),
    /// Check whether the log answers.
    Probe,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// It took effect at this offset.
    Acknowledged(LogOffset),
    /// It certainly had no effect.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// Consequence of a result for the waiters of entries.
#[derive(Debug, PartialEq)]
pub enum CommitOutcome<W> {
    /// No entry was decided.
    Nothing,
    /// The entries are in the journal.
    Written(Vec<W>),
    /// The entries were not written and will not be.
    Refused(Vec<W>),
    /// A later owner, with this epoch, has written to the journal.
    Superseded(Epoch),
}

/// An entry that was not written yet, with its waiter.
struct PendingEntry<W> {
    entry: JournalEntry,
    waiter: Option<W>,
    /// Whether the entry is refused when the log is unavailable and it was never sent.
    revocable: bool,
}

/// The append in flight.
struct InFlightAppend<W> {
    data: Bytes,
    entries: Vec<PendingEntry<W>>,
    /// Whether an earlier attempt to append it may have taken effect.
    may_be_written: bool,
    /// Offset at which the append took effect, while the gap before it has to be read.
    acknowledged: Option<LogOffset>,
    /// Whether it holds a part of a snapshot instead of a batch of entries.
    is_snapshot_part: bool,
}

/// Whether a call of the log may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AppendStep {
    /// No call is under way.
    Idle,
    /// A call is under way.
    Busy,
    /// No call before this time.
    RetryAt(Millis),
}

/// Counters of the journal for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CommitCounts {
    /// Acknowledged appends.
    pub appends: u64,
    /// Entries in them.
    pub entries: u64,
    /// Appends and gap reads that failed or had no answer.
    pub failures: u64,
    /// Reads of a gap before an append.
    pub gaps: u64,
    /// Complete snapshots.
    pub snapshots: u64,
}

/// Collects entries and decides when they are appended, in batches.
pub struct JournalCommitter<W> {
    epoch: Epoch,
    incarnation: Incarnation,
    /// Sequence number of the last record of this owner.
    sequence: u64,
    /// Offset of the newest complete snapshot; 0 if there is none.
    snapshot_offset: LogOffset,
    /// Offset of the last record of this owner.
    last_offset: LogOffset,
    pending: VecDeque<PendingEntry<W>>,
    /// When the first urgent entry was added since the queue was last empty.
    urgent_since: Option<Millis>,
    /// When the first other entry was added since the queue was last empty.
    deferred_since: Option<Millis>,
    in_flight: Option<InFlightAppend<W>>,
    step: AppendStep,
    /// Whether the last call of the log succeeded.
    healthy: bool,
    /// Parts of the snapshot under way that were not sent yet.
    snapshot_parts: VecDeque<JournalEntry>,
    /// Offset of the first part of the snapshot under way.
    first_part_offset: Option<LogOffset>,
    /// Time after a snapshot at which the next one is due.
    snapshot_interval: Millis,
    next_snapshot_at: Millis,
    records_since_snapshot: u64,
    /// Whether a snapshot is due because entries were dropped or the last snapshot was interrupted.
    snapshot_needed: bool,
    counts: CommitCounts,
}

impl<W> JournalCommitter<W> {
    /// Creates the committer of an owner whose `Opened` record, with sequence number 1, is at
    /// `last_offset`.
    pub fn new(
        epoch: Epoch,
        incarnation: Incarnation,
        last_offset: LogOffset,
        snapshot_interval: Millis,
        now: Millis,
    ) -> Self {
        Self {
            epoch,
            incarnation,
            sequence: 1,
            snapshot_offset: LogOffset::new(0),
            last_offset,
            pending: VecDeque::new(),
            urgent_since: None,
            deferred_since: None,
            in_flight: None,
            step: AppendStep::Idle,
            healthy: true,
            snapshot_parts: VecDeque::new(),
            first_part_offset: None,
            snapshot_interval,
            next_snapshot_at: now.saturating_add(snapshot_interval),
            records_since_snapshot: 0,
            snapshot_needed: false,
            counts: CommitCounts::default(),
        }
    }

    /// Sets the offset of the newest snapshot and the number of records after it.
    #[must_use]
    pub fn with_snapshot(
        mut self,
        snapshot_offset: LogOffset,
        records_since_snapshot: u64,
    ) -> Self {
        self.snapshot_offset = snapshot_offset;
        self.records_since_snapshot = records_since_snapshot;
        self
    }

    /// Tells whether the last call of the log succeeded.
    pub fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Tells whether no entry waits and no append is in flight.
    pub fn is_idle(&self) -> bool {
        self.in_flight.is_none() && self.pending.is_empty() && self.snapshot_parts.is_empty()
    }

    /// Returns the offset right after the last record of this owner. An append that lands later has
    /// a gap before it.
    pub fn next_offset(&self) -> LogOffset {
        self.last_offset.saturating_add(LogOffset::new(1))
    }

    /// Returns the counters.
    pub fn counts(&self) -> CommitCounts {
        self.counts
    }

    /// Returns the number of entries that wait for an append.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Adds an entry whose append may be deferred to share one with later entries.
    pub fn push(&mut self, entry: JournalEntry, waiter: Option<W>, now: Millis) {
        self.deferred_since.get_or_insert(now);
        self.pending.push_back(PendingEntry {
            entry,
            waiter,
            revocable: false,
        });
        if self.pending.len() > MAX_PENDING_ENTRIES && !self.healthy {
            self.drop_entries_without_waiter();
        }
    }

    /// Adds an entry whose waiter cannot go on before it is written; a `revocable` one is refused
    /// when the log is unavailable.
    pub fn push_urgent(&mut self, entry: JournalEntry, waiter: W, revocable: bool, now: Millis) {
        self.urgent_since.get_or_insert(now);
        self.pending.push_back(PendingEntry {
            entry,
            waiter: Some(waiter),
            revocable,
        });
    }

    /// Tells whether a snapshot should be taken now.
    pub fn is_snapshot_due(&self, now: Millis) -> bool {
        let due = self.records_since_snapshot >= SNAPSHOT_RECORDS || now >= self.next_snapshot_at;
        self.healthy
            && self.snapshot_parts.is_empty()
            && self.in_flight.is_none()
            && (due || self.snapshot_needed)
    }

    /// Appends the parts of a snapshot before all waiting entries.
    pub fn begin_snapshot(&mut self, parts: Vec<JournalEntry>, now: Millis) {
        self.snapshot_parts = parts.into();
        self.first_part_offset = None;
        self.next_snapshot_at = now.saturating_add(self.snapshot_interval);
        self.snapshot_needed = false;
    }

    /// Returns the next call of the log, if one is due; with `flush`, waiting entries are appended
    /// at once instead of after their delay.
    pub fn poll(&mut self, now: Millis, flush: bool) -> Option<CommitAction> {
        match self.step {
            AppendStep::Busy => return None,
            AppendStep::RetryAt(at) if now < at => return None,
            AppendStep::RetryAt(_) | AppendStep::Idle => {}
        }
        if self.in_flight.is_none() && !self.healthy && self.pending.is_empty() {
            self.step = AppendStep::Busy;
            return Some(CommitAction::Probe);
        }
        if self.in_flight.is_none() && (flush || self.is_due(now)) {
            self.in_flight = self.build_append();
        }
        let in_flight = self.in_flight.as_ref()?;
        self.step = AppendStep::Busy;
        Some(match in_flight.acknowledged {
            Some(offset) => CommitAction::ReadGap(self.next_offset(), offset),
            None => CommitAction::Append(in_flight.data.clone()),
        })
    }

    /// Handles the result of an append.
    pub fn appended(&mut self, result: AppendResult, now: Millis) -> CommitOutcome<W> {
        let next = self.next_offset();
        let Some(in_flight) = &mut self.in_flight else {
            return CommitOutcome::Nothing;
        };
        match result {
            AppendResult::Acknowledged(offset) if offset == next => self.finish_append(offset, now),
            AppendResult::Acknowledged(offset) => {
                self.counts.gaps += 1;
                in_flight.acknowledged = Some(offset);
                self.step = AppendStep::Idle;
                CommitOutcome::Nothing
            }
            AppendResult::NotWritten if !in_flight.may_be_written => self.requeue_append(now),
            AppendResult::NotWritten | AppendResult::Unknown => {
                in_flight.may_be_written = true;
                self.record_failure(now);
                CommitOutcome::Refused(self.remove_revocable())
            }
        }
    }

    /// Handles the records of a gap, or `None` when they could not be read. The append is complete
    /// if no later owner has written to the gap.
    pub fn gap_read(&mut self, records: Option<&[Bytes]>, now: Millis) -> CommitOutcome<W> {
        let Some(records) = records else {
            self.record_failure(now);
            return CommitOutcome::Nothing;
        };
        let epochs = records
            .iter()
            .filter_map(|data| JournalBatch::decode(data).ok())
            .map(|batch| batch.epoch);
        match epochs.max() {
            Some(epoch) if epoch > self.epoch => CommitOutcome::Superseded(epoch),
            _ => match self
                .in_flight
                .as_ref()
                .and_then(|in_flight| in_flight.acknowledged)
            {
                Some(offset) => self.finish_append(offset, now),
                None => CommitOutcome::Nothing,
            },
        }
    }

    /// Handles the result of a probe.
    pub fn probed(&mut self, answered: bool, now: Millis) {
        self.healthy = answered;
        self.step = if answered {
            AppendStep::Idle
        } else {
            AppendStep::RetryAt(now.saturating_add(PROBE_INTERVAL))
        };
    }

    /// Removes and returns the waiters when the owner stops: those of the append in flight, whose
    /// effect is not known, and those of entries that were never sent.
    pub fn take_waiters(&mut self) -> (Vec<W>, Vec<W>) {
        let sent = self.in_flight.take().map(|in_flight| in_flight.entries);
        let sent = sent.into_iter().flatten().filter_map(|entry| entry.waiter);
        let unsent = self.pending.drain(..).filter_map(|entry| entry.waiter);
        (sent.collect(), unsent.collect())
    }

    fn is_due(&self, now: Millis) -> bool {
        let passed = |since: Option<Millis>, delay| {
            since.is_some_and(|since| now >= since.saturating_add(delay))
        };
        !self.snapshot_parts.is_empty()
            || passed(self.urgent_since, URGENT_DELAY)
            || passed(self.deferred_since, DEFERRED_DELAY)
    }

    fn build_append(&mut self) -> Option<InFlightAppend<W>> {
        let is_snapshot_part = !self.snapshot_parts.is_empty();
        let entries = match self.snapshot_parts.pop_front() {
            Some(entry) => vec![PendingEntry {
                entry,
                waiter: None,
                revocable: false,
            }],
            None => self.next_batch(),
        };
        if entries.is_empty() {
            return None;
        }
        let batch = JournalBatch {
            epoch: self.epoch,
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
            base: self.snapshot_offset,
            entries: entries.iter().map(|entry| entry.entry.clone()).collect(),
        };
        let data = batch.encode().ok()?;
        Some(InFlightAppend {
            data: data.into(),
            entries,
            may_be_written: false,
            acknowledged: None,
            is_snapshot_part,
        })
    }

    fn next_batch(&mut self) -> Vec<PendingEntry<W>> {
        let mut bytes = 0;
        let fitting = self.pending.iter().take_while(|entry| {
            bytes += entry.entry.max_encoded_bytes();
            bytes <= MAX_BATCH_BYTES
        });
        // A single entry above the maximum is still sent.
        let count = fitting.count().max(1).min(self.pending.len());
        let entries = self.pending.drain(..count).collect();
        if self.pending.is_empty() {
            self.urgent_since = None;
            self.deferred_since = None;
        }
        entries
    }

    fn finish_append(&mut self, offset: LogOffset, now: Millis) -> CommitOutcome<W> {
        let Some(in_flight) = self.in_flight.take() else {
            return CommitOutcome::Nothing;
        };
        self.step = AppendStep::Idle;
        self.healthy = true;
        self.sequence += 1;
        self.last_offset = offset;
        self.records_since_snapshot += 1;
        self.counts.appends += 1;
        self.counts.entries += in_flight.entries.len() as u64;
        if in_flight.is_snapshot_part {
            let first = *self.first_part_offset.get_or_insert(offset);
            if self.snapshot_parts.is_empty() {
                self.snapshot_offset = first;
                self.records_since_snapshot = 0;
                self.next_snapshot_at = now.saturating_add(self.snapshot_interval);
                self.counts.snapshots += 1;
            }
        }
        let waiters = in_flight
            .entries
            .into_iter()
            .filter_map(|entry| entry.waiter);
        CommitOutcome::Written(waiters.collect())
    }

    /// Puts the entries of an append back into the queue, because it certainly was not written. An
    /// interrupted snapshot is discarded.
    fn requeue_append(&mut self, now: Millis) -> CommitOutcome<W> {
        self.record_failure(now);
        if let Some(in_flight) = self.in_flight.take() {
            if in_flight.is_snapshot_part {
                // The state changes until the next attempt, which therefore takes a new snapshot.
                self.snapshot_parts.clear();
                self.snapshot_needed = true;
            } else {
                let entries = in_flight.entries.into_iter().rev();
                entries.for_each(|entry| self.pending.push_front(entry));
                self.deferred_since.get_or_insert(now);
            }
        }
        CommitOutcome::Refused(self.remove_revocable())
    }

    fn record_failure(&mut self, now: Millis) {
        self.healthy = false;
        self.counts.failures += 1;
        self.step = AppendStep::RetryAt(now.saturating_add(RETRY_DELAY));
    }

    fn remove_revocable(&mut self) -> Vec<W> {
        let (revoked, kept): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|entry| entry.revocable);
        self.pending = kept.into();
        let waiters = revoked.into_iter().filter_map(|entry| entry.waiter);
        waiters.collect()
    }

    /// Drops the entries without a waiter; the next snapshot contains their effects.
    fn drop_entries_without_waiter(&mut self) {
        self.pending.retain(|entry| entry.waiter.is_some());
        self.snapshot_needed = true;
    }
}
