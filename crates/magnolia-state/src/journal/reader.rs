//! Decides which records of a journal are accepted and which are skipped.

use magnolia_types::{Epoch, Incarnation};

use super::record::{JournalBatch, RecordError};

/// Classification of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalReadOutcome {
    /// A record that takes effect.
    Accepted(JournalBatch),
    /// A record of another program or another version of the format.
    Foreign,
    /// A truncated or damaged record.
    Torn,
    /// A record of an owner that had already been superseded, or of a process that did not win the
    /// claim of its epoch.
    Stale,
    /// A duplicate of an accepted record.
    Repeated,
}

/// Number of records by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct JournalCounts {
    /// Accepted records.
    pub accepted: u64,
    /// Records of another program or another version of the format.
    pub foreign: u64,
    /// Truncated or damaged records.
    pub torn: u64,
    /// Records of superseded owners, or of processes that did not win the claim.
    pub stale: u64,
    /// Duplicates.
    pub repeated: u64,
}

/// The owner whose records are accepted at present, and the sequence of its last record.
#[derive(Clone, Copy, Debug)]
struct CurrentWriter {
    epoch: Epoch,
    incarnation: Incarnation,
    sequence: u64,
}

/// Classifies the records of a journal, read in offset order.
///
/// An owner appends nothing before its `Opened` is acknowledged. Records of a higher epoch without
/// an `Opened` therefore appear only if the start of the stream was trimmed; they raise the epoch
/// as well. An owner has only one append in flight, so a sequence number at or below the last one
/// marks a duplicate.
#[derive(Clone, Debug, Default)]
pub struct JournalReader {
    writer: Option<CurrentWriter>,
    counts: JournalCounts,
}

impl JournalReader {
    /// Creates a reader that has read nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Classifies the next record.
    pub fn read(&mut self, data: &[u8]) -> JournalReadOutcome {
        let outcome = match JournalBatch::decode(data) {
            Ok(batch) => self.classify(batch),
            Err(RecordError::Foreign) => JournalReadOutcome::Foreign,
            Err(RecordError::Torn) => JournalReadOutcome::Torn,
        };
        let counts = &mut self.counts;
        *match outcome {
            JournalReadOutcome::Accepted(_) => &mut counts.accepted,
            JournalReadOutcome::Foreign => &mut counts.foreign,
            JournalReadOutcome::Torn => &mut counts.torn,
            JournalReadOutcome::Stale => &mut counts.stale,
            JournalReadOutcome::Repeated => &mut counts.repeated,
        } += 1;
        outcome
    }

    /// Returns the highest epoch read.
    pub fn epoch(&self) -> Epoch {
        self.writer.map_or(Epoch::new(0), |writer| writer.epoch)
    }

    /// Returns the number of records by outcome.
    pub fn counts(&self) -> JournalCounts {
        self.counts
    }

    fn classify(&mut self, batch: JournalBatch) -> JournalReadOutcome {
        if let Some(writer) = self.writer {
            if batch.epoch < writer.epoch {
                return JournalReadOutcome::Stale;
            }
            if batch.epoch == writer.epoch {
                // An epoch has one owner, so another incarnation did not win the claim.
                if batch.incarnation != writer.incarnation {
                    return JournalReadOutcome::Stale;
                }
                if batch.sequence <= writer.sequence {
                    return JournalReadOutcome::Repeated;
                }
            }
        }
        self.writer = Some(CurrentWriter {
            epoch: batch.epoch,
            incarnation: batch.incarnation,
            sequence: batch.sequence,
        });
        JournalReadOutcome::Accepted(batch)
    }
}
