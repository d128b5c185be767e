//! Records of the journal and their encoding in the log.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, CustomerName, DaemonId, Epoch, IdempotencyKey, Incarnation, JobId, JobOutcome,
    JobSpec, LogOffset, Millis, RequestId, ResultCode, TaskRef, WorkerId, stable_hash, wire_types,
};
use serde_bytes::ByteBuf;

use crate::AttemptResult;

/// First bytes of every record; the digit is the version of the format.
const MAGIC: [u8; 4] = *b"MWJ1";
/// Length of the header: magic bytes and checksum of the content.
const HEADER_BYTES: usize = MAGIC.len() + size_of::<u64>();
/// Maximum bytes of a snapshot in one record. Encoded as base64, the record stays under 1 MiB.
pub const SNAPSHOT_PART_BYTES: usize = 512 << 10;
/// Maximum of the summed [`JournalEntry::max_encoded_bytes`] of a batch. Encoded as base64, the
/// record stays under 1 MiB.
pub const MAX_BATCH_BYTES: usize = 640 << 10;
/// Upper bound of an entry's encoded size without text of variable length: six identifiers and the
/// field names.
const ENTRY_OVERHEAD_BYTES: usize = 1024;

wire_types! {
    /// One append to the stream: entries of one owner, identified by epoch, incarnation and
    /// sequence number.
    pub struct JournalBatch {
        /// Epoch of the owner.
        pub epoch: Epoch,
        /// Incarnation of the owner's process.
        pub incarnation: Incarnation,
        /// Sequence number of the append under this epoch, from 1; a retried append keeps its
        /// number.
        pub sequence: u64,
        /// Offset of the newest complete snapshot that the owner knows; 0 when there is none.
        pub base: LogOffset,
        /// Entries, in the order in which they are applied.
        pub entries: Vec<JournalEntry>,
    }

    /// One entry of the journal.
    #[serde(rename_all = "snake_case")]
    pub enum JournalEntry {
        /// A new owner opens the journal; later records of lower epochs have no effect.
        Opened {
            /// The owner.
            daemon: DaemonId,
            /// Incarnation of the owner's process.
            incarnation: Incarnation,
        },
        /// The takeover is complete, so owners before this one no longer matter: every worker was
        /// fenced, all leases of the earlier owners have expired, or there is no earlier owner
        /// other than one that handed over.
        TakeoverDone,
        /// The owner grants leases of this duration.
        LeaseGranted {
            /// Duration of a lease.
            lease: Millis,
        },
        /// A job was accepted.
        JobAccepted {
            /// The job.
            job: JobId,
            /// The job as submitted.
            spec: Arc<JobSpec>,
            /// Wall-clock time at which it was accepted.
            at: Millis,
        },
        /// An attempt was started. For a task that is not repeatable, it is about to be started.
        AttemptStarted {
            /// The task.
            task: TaskRef,
            /// The attempt.
            attempt: AttemptId,
            /// Worker that it runs on.
            worker: WorkerId,
        },
        /// An attempt was found on a worker after a takeover.
        AttemptFound {
            /// The task.
            task: TaskRef,
            /// The attempt.
            attempt: AttemptId,
            /// Worker that it runs on.
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
            /// Wall-clock time of its end.
            at: Millis,
        },
        /// A job was cancelled or given up; its tasks are not started again.
        JobEnded {
            /// The job.
            job: JobId,
            /// Outcome of the job, with the reason.
            outcome: JobOutcome,
            /// Wall-clock time at which it was ended.
            at: Millis,
        },
        /// A request that is not repeatable is about to be sent.
        IntentRecorded {
            /// Customer that used the key.
            customer: CustomerName,
            /// The idempotency key.
            key: IdempotencyKey,
            /// The request.
            request: RequestId,
            /// Hash of the request's content.
            content: u64,
            /// Hash of the set of partitions that keep idempotency keys.
            key_set: u64,
            /// Wall-clock time at which it was recorded.
            at: Millis,
        },
        /// The outcome of a request that is not repeatable.
        IntentResolved {
            /// Customer that used the key.
            customer: CustomerName,
            /// The idempotency key.
            key: IdempotencyKey,
            /// Result code.
            code: ResultCode,
            /// The answer, or the reason of the failure.
            text: Arc<str>,
        },
        /// A part of a snapshot. The snapshot holds the state after all records before its first
        /// part.
        SnapshotPart {
            /// Number of the snapshot under its epoch.
            snapshot: u64,
            /// Index of the part.
            index: u32,
            /// Number of parts.
            count: u32,
            /// Bytes of this part.
            data: ByteBuf,
        },
    }
}

/// Why a record could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A record of another program or another version of the format.
    #[error("record of another program or format version")]
    Foreign,
    /// The record is truncated, or its checksum does not match the content.
    #[error("record is truncated or its checksum does not match")]
    Torn,
}

/// Failure to encode a batch or a snapshot, or to decode a snapshot.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// Encoding failed.
    #[error("encoding failed: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// Decoding failed.
    #[error("decoding failed: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

impl JournalBatch {
    /// Encodes the batch as a log record.
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

    /// Decodes a log record.
    ///
    /// # Errors
    ///
    /// Fails when the record is foreign, truncated or damaged.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let rest = bytes.strip_prefix(&MAGIC).ok_or(RecordError::Foreign)?;
        let (checksum, content) = rest.split_first_chunk::<8>().ok_or(RecordError::Torn)?;
        if stable_hash(content) != u64::from_be_bytes(*checksum) {
            return Err(RecordError::Torn);
        }
        rmp_serde::from_slice(content).map_err(|_| RecordError::Foreign)
    }
}

impl JournalEntry {
    /// Returns an upper bound of the entry's encoded size in bytes.
    pub fn max_encoded_bytes(&self) -> usize {
        match self {
            Self::JobEnded { outcome, .. } => ENTRY_OVERHEAD_BYTES + outcome.reason.len(),
            Self::IntentResolved { text, .. } => ENTRY_OVERHEAD_BYTES + text.len(),
            Self::SnapshotPart { data, .. } => ENTRY_OVERHEAD_BYTES + data.len(),
            _ => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// Splits an encoded snapshot into entries. Each has to be appended as a record of its own.
///
/// `snapshot` is the number of the snapshot under the owner's epoch.
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
