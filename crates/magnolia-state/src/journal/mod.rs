//! The journal of a partition: the records in the partition's stream of the log, and their replay.

mod reader;
mod record;
mod replay;

pub use reader::{JournalCounts, JournalReadOutcome, JournalReader};
pub use record::{
    JournalBatch, JournalEntry, JournalError, MAX_BATCH_BYTES, RecordError, SNAPSHOT_PART_BYTES,
    split_snapshot,
};
pub use replay::JournalReplay;
