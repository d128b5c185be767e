//! The rule by which every reader accepts or skips records.

use magnolia_types::{Epoch, Incarnation};

use super::record::{JournalBatch, RecordFault};

/// What a reader makes of a record.
#[derive(Clone, Debug, PartialEq)]
pub enum JournalVerdict {
    /// The record counts.
    Accepted(JournalBatch),
    /// Another writer's record.
    Foreign,
    /// A damaged record.
    Torn,
    /// A record of an owner that was superseded before it.
    Stale,
    /// A second copy of a record.
    Repeated,
}

/// Number of records by verdict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct JournalCounts {
    /// Accepted records.
    pub accepted: u64,
    /// Records of another writer or form.
    pub foreign: u64,
    /// Damaged records.
    pub torn: u64,
    /// Records of superseded owners.
    pub stale: u64,
    /// Second copies.
    pub repeated: u64,
}

/// The writer whose records count at the moment.
#[derive(Clone, Copy, Debug)]
struct CurrentWriter {
    epoch: Epoch,
    incarnation: Incarnation,
    sequence: u64,
}

/// Reads records in offset order.
///
/// An owner appends nothing before its `Opened` is acknowledged. A higher epoch without `Opened`
/// therefore only appears when the start of the stream was trimmed, and raises the epoch as well.
/// An owner has one append in flight, so a sequence at or below the last one is a copy.
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

    /// Reads the next record.
    pub fn read(&mut self, data: &[u8]) -> JournalVerdict {
        let verdict = match JournalBatch::decode(data) {
            Ok(batch) => self.classify(batch),
            Err(RecordFault::Foreign) => JournalVerdict::Foreign,
            Err(RecordFault::Torn) => JournalVerdict::Torn,
        };
        let counts = &mut self.counts;
        *match verdict {
            JournalVerdict::Accepted(_) => &mut counts.accepted,
            JournalVerdict::Foreign => &mut counts.foreign,
            JournalVerdict::Torn => &mut counts.torn,
            JournalVerdict::Stale => &mut counts.stale,
            JournalVerdict::Repeated => &mut counts.repeated,
        } += 1;
        verdict
    }

    /// Returns the highest epoch read.
    pub fn epoch(&self) -> Epoch {
        self.writer.map_or(Epoch::new(0), |writer| writer.epoch)
    }

    /// Returns the number of records by verdict.
    pub fn counts(&self) -> JournalCounts {
        self.counts
    }

    fn classify(&mut self, batch: JournalBatch) -> JournalVerdict {
        if let Some(writer) = self.writer {
            if batch.epoch < writer.epoch {
                return JournalVerdict::Stale;
            }
            if batch.epoch == writer.epoch {
                // One epoch has one winner, so another incarnation lost the claim.
                if batch.incarnation != writer.incarnation {
                    return JournalVerdict::Stale;
                }
                if batch.sequence <= writer.sequence {
                    return JournalVerdict::Repeated;
                }
            }
        }
        self.writer = Some(CurrentWriter {
            epoch: batch.epoch,
            incarnation: batch.incarnation,
            sequence: batch.sequence,
        });
        JournalVerdict::Accepted(batch)
    }
}
