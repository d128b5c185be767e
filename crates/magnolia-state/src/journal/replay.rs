//! Rebuilds the jobs of a partition from its journal.

use magnolia_types::{Epoch, LogOffset};

use super::reader::{JournalCounts, JournalReadOutcome, JournalReader};
use super::record::{JournalBatch, JournalEntry};
use crate::JobTable;

/// The parts read so far of an incomplete snapshot.
struct PartialSnapshot {
    epoch: Epoch,
    snapshot: u64,
    /// Offset of the first part.
    first: LogOffset,
    bytes: Vec<u8>,
    /// Number of parts read, which is the index of the next part.
    parts: u32,
}

/// Replays the records of a journal onto a job table.
pub struct JournalReplay {
    reader: JournalReader,
    table: JobTable,
    partial: Option<PartialSnapshot>,
    snapshot_offset: LogOffset,
    records_since_snapshot: u64,
}

impl JournalReplay {
    /// Creates a replay that starts with the state in `table`.
    pub fn new(table: JobTable) -> Self {
        Self {
            reader: JournalReader::new(),
            table,
            partial: None,
            snapshot_offset: LogOffset::new(0),
            records_since_snapshot: 0,
        }
    }

    /// Reads the next record and applies it if it is accepted; returns whether it was.
    pub fn read(&mut self, offset: LogOffset, data: &[u8]) -> bool {
        let JournalReadOutcome::Accepted(batch) = self.reader.read(data) else {
            return false;
        };
        self.records_since_snapshot += 1;
        self.apply(offset, batch);
        true
    }

    /// Returns the current state.
    pub fn table(&self) -> &JobTable {
        &self.table
    }

    /// Ends the replay and returns its state.
    pub fn into_table(self) -> JobTable {
        self.table
    }

    /// Returns the offset of the first record of the newest complete snapshot; 0 if there is none.
    pub fn snapshot_offset(&self) -> LogOffset {
        self.snapshot_offset
    }

    /// Returns the number of accepted records since the newest complete snapshot.
    pub fn records_since_snapshot(&self) -> u64 {
        self.records_since_snapshot
    }

    /// Returns the highest epoch read.
    pub fn epoch(&self) -> Epoch {
        self.reader.epoch()
    }

    /// Returns the number of records by outcome.
    pub fn counts(&self) -> JournalCounts {
        self.reader.counts()
    }

    fn apply(&mut self, offset: LogOffset, batch: JournalBatch) {
        let epoch = batch.epoch;
        for entry in batch.entries {
            match entry {
                JournalEntry::SnapshotPart {
                    snapshot,
                    index,
                    count,
                    data,
                } => self.add_snapshot_part(epoch, offset, snapshot, (index, count), &data),
                entry => {
                    if matches!(entry, JournalEntry::Opened { .. }) {
                        self.partial = None;
                    }
                    self.table.apply(epoch, &entry);
                }
            }
        }
    }

    fn add_snapshot_part(
        &mut self,
        epoch: Epoch,
        offset: LogOffset,
        snapshot: u64,
        (index, count): (u32, u32),
        data: &[u8],
    ) {
        if index == 0 {
            self.partial = Some(PartialSnapshot {
                epoch,
                snapshot,
                first: offset,
                bytes: Vec::new(),
                parts: 0,
            });
        }
        let Some(partial) = &mut self.partial else {
            return;
        };
        if (partial.epoch, partial.snapshot, partial.parts) != (epoch, snapshot, index) {
            self.partial = None;
            return;
        }
        partial.bytes.extend_from_slice(data);
        partial.parts += 1;
        if partial.parts < count {
            return;
        }
        let Some(complete) = self.partial.take() else {
            return;
        };
        if let Ok(table) = JobTable::from_snapshot(&complete.bytes) {
            self.table = table.with_retention(self.table.retention());
            self.snapshot_offset = complete.first;
            self.records_since_snapshot = 0;
        }
    }
}
