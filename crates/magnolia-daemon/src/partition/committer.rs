//! Group commit of journal records, without I/O.
//!
//! One append is in flight at a time. An append without an answer is repeated unchanged until it
//! is acknowledged, because it may have taken effect.

use std::collections::VecDeque;

use bytes::Bytes;
use magnolia_state::{JournalBatch, JournalEntry, MAX_BATCH_BYTES};
use magnolia_types::{Epoch, Incarnation, LogOffset, Millis};

/// Longest wait of an entry that a caller waits for.
const AWAITED_DELAY: Millis = Millis::new(10);
/// Longest wait of other entries. Starts and ends make few appends this way: the log takes a few
/// hundred a second from the whole cell.
const UNAWAITED_DELAY: Millis = Millis::new(250);
/// Pause before a failed append or read is repeated.
const RETRY_PAUSE: Millis = Millis::new(200);
/// Time between two reads that find out whether the log is back.
const PROBE_INTERVAL: Millis = Millis::new(500);
/// Accepted records after which a snapshot is due.
const SNAPSHOT_RECORDS: u64 = 4000;
/// Entries that are kept during an outage of the log; beyond, a snapshot replaces them.
const MAX_PENDING_ENTRIES: usize = 20_000;

/// What has to be done at the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitAction {
    /// Append this record.
    Append(Bytes),
    /// Read the records from the first offset up to the second one, exclusively.
    ReadGap(LogOffset, LogOffset),
    /// Find out whether the log answers.
    Probe,
}

/// What came of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// It took effect at this offset.
    Acknowledged(LogOffset),
    /// It certainly had no effect.
    NotWritten,
    /// It may have taken effect.
    Unknown,
}

/// What follows for those who wait for entries.
#[derive(Debug, PartialEq)]
pub enum CommitOutcome<W> {
    /// Nothing yet.
    Nothing,
    /// The entries are in the journal.
    Written(Vec<W>),
    /// The entries were not written and will not be.
    Refused(Vec<W>),
    /// Another owner has opened the journal.
    Superseded(Epoch),
}

/// An entry with the one who waits for it.
struct PendingEntry<W> {
    entry: JournalEntry,
    waiter: Option<W>,
    /// Whether the entry is given up when the log is away and it was never sent.
    revocable: bool,
}

/// The append in flight.
struct AppendFlight<W> {
    data: Bytes,
    entries: Vec<PendingEntry<W>>,
    /// Whether an earlier try may have taken effect.
    uncertain: bool,
    /// Offset of the acknowledged append while the gap before it is read.
    acknowledged: Option<LogOffset>,
    is_part: bool,
}

/// When the flight continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlightStep {
    Idle,
    Busy,
    RetryAt(Millis),
}

/// Counters of the journal for the state dump.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct CommitCounts {
    /// Acknowledged appends.
    pub appends: u64,
    /// Entries in them.
    pub entries: u64,
    /// Tries without an acknowledgement.
    pub failures: u64,
    /// Reads of a gap before an append.
    pub gaps: u64,
    /// Complete snapshots.
    pub snapshots: u64,
}

/// Collects entries and appends them in batches.
pub struct JournalCommitter<W> {
    epoch: Epoch,
    incarnation: Incarnation,
    sequence: u64,
    base: LogOffset,
    last: LogOffset,
    pending: VecDeque<PendingEntry<W>>,
    awaited_since: Option<Millis>,
    unawaited_since: Option<Millis>,
    flight: Option<AppendFlight<W>>,
    step: FlightStep,
    healthy: bool,
    parts: VecDeque<JournalEntry>,
    part_base: Option<LogOffset>,
    snapshot_interval: Millis,
    snapshot_at: Millis,
    since_snapshot: u64,
    overflowed: bool,
    counts: CommitCounts,
}

impl<W> JournalCommitter<W> {
    /// Creates the committer of an owner whose `Opened`, with sequence 1, is at `last`.
    pub fn new(
        epoch: Epoch,
        incarnation: Incarnation,
        last: LogOffset,
        snapshot_interval: Millis,
        now: Millis,
    ) -> Self {
        Self {
            epoch,
            incarnation,
            sequence: 1,
            base: LogOffset::new(0),
            last,
            pending: VecDeque::new(),
            awaited_since: None,
            unawaited_since: None,
            flight: None,
            step: FlightStep::Idle,
            healthy: true,
            parts: VecDeque::new(),
            part_base: None,
            snapshot_interval,
            snapshot_at: now.saturating_add(snapshot_interval),
            since_snapshot: 0,
            overflowed: false,
            counts: CommitCounts::default(),
        }
    }

    /// Tells where the newest snapshot is and how many records follow it.
    #[must_use]
    pub fn with_base(mut self, base: LogOffset, since_base: u64) -> Self {
        self.base = base;
        self.since_snapshot = since_base;
        self
    }

    /// Tells whether the log answered last.
    pub fn is_healthy(&self) -> bool {
        self.healthy
    }

    /// Tells whether nothing waits or is in flight.
    pub fn is_idle(&self) -> bool {
        self.flight.is_none() && self.pending.is_empty() && self.parts.is_empty()
    }

    /// Returns the offset after the last record of this owner.
    pub fn next_offset(&self) -> LogOffset {
        self.last.saturating_add(LogOffset::new(1))
    }

    /// Returns the counters.
    pub fn counts(&self) -> CommitCounts {
        self.counts
    }

    /// Returns the number of entries that wait for an append.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Adds an entry that nobody waits for at the moment.
    pub fn push(&mut self, entry: JournalEntry, waiter: Option<W>, now: Millis) {
        self.unawaited_since.get_or_insert(now);
        self.pending.push_back(PendingEntry {
            entry,
            waiter,
            revocable: false,
        });
        if self.pending.len() > MAX_PENDING_ENTRIES && !self.healthy {
            self.drop_replaceable();
        }
    }

    /// Adds an entry that holds up work; a `revocable` one is refused when the log is away.
    pub fn push_awaited(&mut self, entry: JournalEntry, waiter: W, revocable: bool, now: Millis) {
        self.awaited_since.get_or_insert(now);
        self.pending.push_back(PendingEntry {
            entry,
            waiter: Some(waiter),
            revocable,
        });
    }

    /// Tells whether a snapshot should be taken now.
    pub fn is_snapshot_due(&self, now: Millis) -> bool {
        let due = self.since_snapshot >= SNAPSHOT_RECORDS || now >= self.snapshot_at;
        self.healthy && self.parts.is_empty() && self.flight.is_none() && (due || self.overflowed)
    }

    /// Appends the parts of a snapshot of the present state before all waiting entries.
    pub fn begin_snapshot(&mut self, parts: Vec<JournalEntry>, now: Millis) {
        self.parts = parts.into();
        self.part_base = None;
        self.snapshot_at = now.saturating_add(self.snapshot_interval);
        self.overflowed = false;
    }

    /// Returns what has to be done at the log now.
    pub fn poll(&mut self, now: Millis, flush: bool) -> Option<CommitAction> {
        match self.step {
            FlightStep::Busy => return None,
            FlightStep::RetryAt(at) if now < at => return None,
            FlightStep::RetryAt(_) | FlightStep::Idle => {}
        }
        if self.flight.is_none() && !self.healthy && self.pending.is_empty() {
            self.step = FlightStep::Busy;
            return Some(CommitAction::Probe);
        }
        if self.flight.is_none() && (flush || self.is_due(now)) {
            self.flight = self.next_flight();
        }
        let flight = self.flight.as_ref()?;
        self.step = FlightStep::Busy;
        Some(match flight.acknowledged {
            Some(offset) => CommitAction::ReadGap(self.next_offset(), offset),
            None => CommitAction::Append(flight.data.clone()),
        })
    }

    /// Takes the result of an append.
    pub fn appended(&mut self, result: AppendResult, now: Millis) -> CommitOutcome<W> {
        let next = self.next_offset();
        let Some(flight) = &mut self.flight else {
            return CommitOutcome::Nothing;
        };
        match result {
            AppendResult::Acknowledged(offset) if offset == next => self.finish(offset, now),
            AppendResult::Acknowledged(offset) => {
                self.counts.gaps += 1;
                flight.acknowledged = Some(offset);
                self.step = FlightStep::Idle;
                CommitOutcome::Nothing
            }
            AppendResult::NotWritten if !flight.uncertain => self.dissolve(now),
            AppendResult::NotWritten | AppendResult::Unknown => {
                flight.uncertain = true;
                self.fail(now);
                CommitOutcome::Refused(self.revoke_pending())
            }
        }
    }

    /// Takes the records of a gap, or `None` when they could not be read.
    pub fn gap_read(&mut self, records: Option<&[Bytes]>, now: Millis) -> CommitOutcome<W> {
        let Some(records) = records else {
            self.fail(now);
            return CommitOutcome::Nothing;
        };
        let epochs = records
            .iter()
            .filter_map(|data| JournalBatch::decode(data).ok())
            .map(|batch| batch.epoch);
        match epochs.max() {
            Some(epoch) if epoch > self.epoch => CommitOutcome::Superseded(epoch),
            _ => match self.flight.as_ref().and_then(|flight| flight.acknowledged) {
                Some(offset) => self.finish(offset, now),
                None => CommitOutcome::Nothing,
            },
        }
    }

    /// Takes the result of a probe.
    pub fn probed(&mut self, answered: bool, now: Millis) {
        self.healthy = answered;
        self.step = if answered {
            FlightStep::Idle
        } else {
            FlightStep::RetryAt(now.saturating_add(PROBE_INTERVAL))
        };
    }

    /// Returns the waiters of an append whose effect is not known, for an owner that stops.
    pub fn abandon(&mut self) -> (Vec<W>, Vec<W>) {
        let sent = self.flight.take().map(|flight| flight.entries);
        let sent = sent.into_iter().flatten().filter_map(|entry| entry.waiter);
        let unsent = self.pending.drain(..).filter_map(|entry| entry.waiter);
        (sent.collect(), unsent.collect())
    }

    fn is_due(&self, now: Millis) -> bool {
        let passed = |since: Option<Millis>, delay| {
            since.is_some_and(|since| now >= since.saturating_add(delay))
        };
        !self.parts.is_empty()
            || passed(self.awaited_since, AWAITED_DELAY)
            || passed(self.unawaited_since, UNAWAITED_DELAY)
    }

    fn next_flight(&mut self) -> Option<AppendFlight<W>> {
        let is_part = !self.parts.is_empty();
        let entries = match self.parts.pop_front() {
            Some(entry) => vec![PendingEntry {
                entry,
                waiter: None,
                revocable: false,
            }],
            None => self.take_batch(),
        };
        if entries.is_empty() {
            return None;
        }
        let batch = JournalBatch {
            epoch: self.epoch,
            incarnation: self.incarnation,
            sequence: self.sequence + 1,
            base: self.base,
            entries: entries.iter().map(|entry| entry.entry.clone()).collect(),
        };
        let data = batch.encode().ok()?;
        Some(AppendFlight {
            data: data.into(),
            entries,
            uncertain: false,
            acknowledged: None,
            is_part,
        })
    }

    fn take_batch(&mut self) -> Vec<PendingEntry<W>> {
        let mut bytes = 0;
        let fitting = self.pending.iter().take_while(|entry| {
            bytes += entry.entry.max_encoded_bytes();
            bytes <= MAX_BATCH_BYTES
        });
        // A single entry over the bound still has to go out.
        let count = fitting.count().max(1).min(self.pending.len());
        let entries = self.pending.drain(..count).collect();
        if self.pending.is_empty() {
            self.awaited_since = None;
            self.unawaited_since = None;
        }
        entries
    }

    fn finish(&mut self, offset: LogOffset, now: Millis) -> CommitOutcome<W> {
        let Some(flight) = self.flight.take() else {
            return CommitOutcome::Nothing;
        };
        self.step = FlightStep::Idle;
        self.healthy = true;
        self.sequence += 1;
        self.last = offset;
        self.since_snapshot += 1;
        self.counts.appends += 1;
        self.counts.entries += flight.entries.len() as u64;
        if flight.is_part {
            let first = *self.part_base.get_or_insert(offset);
            if self.parts.is_empty() {
                self.base = first;
                self.since_snapshot = 0;
                self.snapshot_at = now.saturating_add(self.snapshot_interval);
                self.counts.snapshots += 1;
            }
        }
        let waiters = flight.entries.into_iter().filter_map(|entry| entry.waiter);
        CommitOutcome::Written(waiters.collect())
    }

    /// Takes a record back that was certainly not written.
    fn dissolve(&mut self, now: Millis) -> CommitOutcome<W> {
        self.fail(now);
        if let Some(flight) = self.flight.take() {
            if flight.is_part {
                // The state moves on meanwhile, so the snapshot is taken anew.
                self.parts.clear();
                self.overflowed = true;
            } else {
                let entries = flight.entries.into_iter().rev();
                entries.for_each(|entry| self.pending.push_front(entry));
                self.unawaited_since.get_or_insert(now);
            }
        }
        CommitOutcome::Refused(self.revoke_pending())
    }

    fn fail(&mut self, now: Millis) {
        self.healthy = false;
        self.counts.failures += 1;
        self.step = FlightStep::RetryAt(now.saturating_add(RETRY_PAUSE));
    }

    fn revoke_pending(&mut self) -> Vec<W> {
        let (revoked, kept): (Vec<_>, Vec<_>) =
            self.pending.drain(..).partition(|entry| entry.revocable);
        self.pending = kept.into();
        let waiters = revoked.into_iter().filter_map(|entry| entry.waiter);
        waiters.collect()
    }

    /// Drops the entries that nobody waits for; a snapshot will have their effect.
    fn drop_replaceable(&mut self) {
        self.pending.retain(|entry| entry.waiter.is_some());
        self.overflowed = true;
    }
}
