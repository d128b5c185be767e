//! Stored records of jobs: one record with the newest state for each job.

use std::sync::Arc;

use magnolia_types::{ResourceVector, wire_types};

use crate::{AccountName, AccountRules, JobSpec, JobStatus, QueueName, QueueRules, SpecError};

/// Error of encoding or decoding a job record.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not a record of this format.
    #[error("unreadable job record: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The record holds a job that no caller can submit.
    #[error("invalid job in a record: {0}")]
    InvalidSpec(#[from] SpecError),
    /// The record of a submitted job may exceed the limit of the store.
    #[error("the record of the job may need {needed} bytes, {} above the limit of {limit}",
        needed - limit)]
    TooLarge {
        /// Longest possible record in bytes.
        needed: u64,
        /// Longest record that can be stored, in bytes.
        limit: u64,
    },
    /// The record can't be written.
    #[error("job record can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

wire_types! {
    /// Newest state of a job.
    pub enum JobRecord {
        /// The job may still start tasks.
        Live(LiveRecord),
        /// Nothing of the job starts any more.
        Ended(EndedRecord),
    }

    /// State of a job that has not ended.
    pub struct LiveRecord {
        /// Rules of the queue when the job was accepted.
        pub rules: Arc<QueueRules>,
        /// The job as submitted.
        pub spec: Arc<JobSpec>,
        /// Unix milliseconds of its acceptance.
        pub accepted_unix_ms: u64,
        /// Unix milliseconds by which it is ordered among the jobs of its priority.
        pub order_unix_ms: u64,
        /// Progress of each occurrence that has begun.
        pub occurrences: Vec<OccurrenceRecord>,
        /// Rules of its client account when it was accepted.
        #[serde(default)]
        pub account: Option<Arc<AccountRules>>,
        /// Whether the account was ahead of its share when it was accepted.
        #[serde(default)]
        pub beyond_share: bool,
    }

    /// Outcome of a job.
    pub struct EndedRecord {
        /// Its queue.
        pub queue: QueueName,
        /// Completed, failed or cancelled.
        pub status: JobStatus,
        /// Unix milliseconds of its end.
        pub ended_unix_ms: u64,
        /// Its client account.
        #[serde(default)]
        pub account: Option<EndedAccount>,
    }

    /// What remains of an ended job for its client account.
    pub struct EndedAccount {
        /// Name of the account.
        pub name: AccountName,
        /// Unix milliseconds of the acceptance, if the job counts for the share of the account.
        pub counted_unix_ms: Option<u64>,
        /// Resources of the runs that were being stopped when the job ended.
        pub stopping: ResourceVector,
    }

    /// Progress of one occurrence.
    #[derive(Default)]
    pub struct OccurrenceRecord {
        /// Progress of each step.
        pub steps: Vec<StepRecord>,
    }

    /// Progress of one step.
    #[derive(Default)]
    pub struct StepRecord {
        /// Bit per task: whether it has succeeded.
        #[serde(with = "serde_bytes")]
        pub done: Vec<u8>,
        /// Failed runs, as task index and run number, so that a run counts once even if it is
        /// reported several times.
        pub failed: Vec<(u32, u64)>,
        /// Checkpoints that the next runs resume from, with their task index; checkpoints saved by
        /// present runs are not included.
        pub saved: Vec<(u32, Arc<str>)>,
    }
}

impl StepRecord {
    /// Marks a task as done.
    pub fn set_done(&mut self, index: u32) {
        let byte = index as usize / 8;
        if self.done.len() <= byte {
            self.done.resize(byte + 1, 0);
        }
        self.done[byte] |= 1 << (index % 8);
    }

    /// Tells whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        let byte = self.done.get(index as usize / 8);
        byte.is_some_and(|byte| byte & (1 << (index % 8)) != 0)
    }
}

impl JobRecord {
    /// Encodes the record.
    ///
    /// # Errors
    ///
    /// Fails when the record can't be written.
    pub fn encode(&self) -> Result<Vec<u8>, RecordError> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a record of this format, or its job is invalid.
    pub fn decode(bytes: &[u8]) -> Result<Self, RecordError> {
        let record = rmp_serde::from_slice(bytes)?;
        if let Self::Live(live) = &record {
            live.spec.check()?;
        }
        Ok(record)
    }
}
