//! Records of the journal and their form in the log.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, CustomerName, DaemonId, Epoch, IdempotencyKey, Incarnation, JobId, JobOutcome,
    JobSpec, LogOffset, Millis, RequestId, ResultCode, TaskRef, WorkerId, stable_hash, wire_types,
};
use serde_bytes::ByteBuf;

use crate::AttemptResult;

/// First bytes of every record; the digit is the version of the form.
const MAGIC: [u8; 4] = *b"MWJ1";
/// Bytes before the content: magic and checksum.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u64>();
/// Most bytes of a snapshot in one record. In base64 the record stays under 1 MiB.
pub const SNAPSHOT_PART_BYTES: usize = 512 << 10;
/// Most weight of the entries of one batch, in bytes. In base64 the record stays under 1 MiB.
pub const MAX_BATCH_BYTES: usize = 640 << 10;
/// Upper bound of an entry's bytes without its free text: six names and the field names.
const ENTRY_OVERHEAD_BYTES: usize = 1024;

wire_types! {
    /// One append to the stream: entries of one owner, identified by incarnation and sequence.
    pub struct JournalBatch {
        /// Epoch of the owner.
        pub epoch: Epoch,
        /// The run of the owner's process.
        pub incarnation: Incarnation,
        /// Number of the append under this epoch, from 1; a repeated append keeps its number.
        pub sequence: u64,
        /// Offset of the newest complete snapshot that the owner knows; 0 when there is none.
        pub base: LogOffset,
        /// Entries in order.
        pub entries: Vec<JournalEntry>,
    }

    /// One entry of the journal.
    #[serde(rename_all = "snake_case")]
    pub enum JournalEntry {
        /// An owner begins; records of lower epochs are void from here on.
        Opened {
            /// The owner.
            daemon: DaemonId,
            /// The run of the owner's process.
            incarnation: Incarnation,
        },
        /// The owner has fenced or waited out every worker; earlier owners no longer matter.
        TakeoverDone,
        /// The owner grants leases of this length.
        LeaseGranted {
            /// Length of a lease.
            lease: Millis,
        },
        /// A job was accepted.
        JobAccepted {
            /// The job.
            job: JobId,
            /// The job as submitted.
            spec: Arc<JobSpec>,
            /// Wall-clock time of the acceptance.
            at: Millis,
        },
        /// An attempt was started, or for a task that may not repeat, is about to be.
        AttemptStarted {
            /// The task.
            task: TaskRef,
            /// The attempt.
            attempt: AttemptId,
            /// Where it runs.
            worker: WorkerId,
        },
        /// An attempt was found on a worker after a takeover.
        AttemptFound {
            /// The task.
            task: TaskRef,
            /// The attempt.
            attempt: AttemptId,
            /// Where it runs.
            worker: WorkerId,
        },
        /// An attempt ended.
        AttemptEnded {
            /// The task.
            task: TaskRef,
            /// The attempt.
            attempt: AttemptId,
            /// How it ended.
            result: AttemptResult,
            /// Wall-clock time.
            at: Millis,
        },
        /// A job was cancelled or given up; its tasks get no further attempt.
        JobEnded {
            /// The job.
            job: JobId,
            /// Why.
            outcome: JobOutcome,
            /// Wall-clock time.
            at: Millis,
        },
        /// A request that may not repeat is about to be sent.
        IntentRecorded {
            /// Customer of the key.
            customer: CustomerName,
            /// The key.
            key: IdempotencyKey,
            /// The request.
            request: RequestId,
            /// Hash of the request's content.
            content: u64,
            /// Hash of the set of partitions that takes keys.
            key_set: u64,
            /// Wall-clock time.
            at: Millis,
        },
        /// The outcome of such a request.
        IntentResolved {
            /// Customer of the key.
            customer: CustomerName,
            /// The key.
            key: IdempotencyKey,
            /// Code of the outcome.
            code: ResultCode,
            /// Answer or reason.
            text: Arc<str>,
        },
        /// A part of the state after all records before the first part.
        SnapshotPart {
            /// Number of the snapshot under its epoch.
            snapshot: u64,
            /// Index of the part.
            index: u32,
            /// Number of parts.
            count: u32,
            /// Content.
            data: ByteBuf,
        },
    }
}

/// Why the bytes of a record are not a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordFault {
    /// Another writer or another version of the form.
    #[error("foreign record")]
    Foreign,
    /// The checksum does not match the content.
    #[error("torn record")]
    Torn,
}

/// A batch or snapshot that has no encoded form, or a snapshot that cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Encoding failed.
    #[error("encode: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// Decoding failed.
    #[error("decode: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl JournalBatch {
    /// Encodes the batch as the content of a log record.
    ///
    /// # Errors
    ///
    /// Fails when a value has no MessagePack form.
    pub fn encode(&self) -> Result<Vec<u8>, JournalError> {
        let content = rmp_serde::to_vec_named(self)?;
        let mut bytes = Vec::with_capacity(HEADER_BYTES + content.len());
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&stable_hash(&content).to_be_bytes());
        bytes.extend_from_slice(&content);
        Ok(bytes)
    }

    /// Decodes the content of a log record.
    ///
    /// # Errors
    ///
    /// Fails when the record is foreign or torn.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordFault> {
        let rest = bytes.strip_prefix(&MAGIC).ok_or(RecordFault::Foreign)?;
        let (checksum, content) = rest.split_first_chunk::<8>().ok_or(RecordFault::Torn)?;
        if stable_hash(content) != u64::from_be_bytes(*checksum) {
            return Err(RecordFault::Torn);
        }
        rmp_serde::from_slice(content).map_err(|_| RecordFault::Foreign)
    }
}

impl JournalEntry {
    /// Returns an upper bound of the encoded size in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Self::JobEnded { outcome, .. } => ENTRY_OVERHEAD_BYTES + outcome.reason.len(),
            Self::IntentResolved { text, .. } => ENTRY_OVERHEAD_BYTES + text.len(),
            Self::SnapshotPart { data, .. } => ENTRY_OVERHEAD_BYTES + data.len(),
            _ => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// Splits an encoded snapshot into entries of which each goes into its own record.
pub fn split_snapshot(snapshot: u64, bytes: &[u8]) -> Vec<JournalEntry> {
    let chunks: Vec<&[u8]> = bytes.chunks(SNAPSHOT_PART_BYTES).collect();
    let count = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let parts = (0..).zip(chunks).map(|(index, chunk)| {
        let data = ByteBuf::from(chunk);
        JournalEntry::SnapshotPart {
            snapshot,
            index,
            count,
            data,
        }
    });
    parts.collect()
}
