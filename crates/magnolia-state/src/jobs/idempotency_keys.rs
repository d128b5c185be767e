//! Idempotency keys and what they were used for.

use std::sync::Arc;

use magnolia_types::{JobId, Millis, RequestId, ResultCode};
use serde::{Deserialize, Serialize};

/// The submission that a key was first used for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyUse {
    /// A job.
    Job(JobId),
    /// A quick request that is not repeatable.
    Request {
        /// The request.
        request: RequestId,
        /// Hash of the set of partitions that kept idempotency keys at the time.
        key_set: u64,
        /// Code and text of the outcome, once it is known.
        outcome: Option<(ResultCode, Arc<str>)>,
    },
}

/// The first use of one key of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Hash of the content that was submitted with the key.
    pub content: u64,
    /// Wall-clock time of the first use.
    pub at: Millis,
    /// What the key was used for.
    pub used_for: KeyUse,
}

/// Result of looking up the key of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The key has not been used.
    Unused,
    /// The key was used with the same content: the submission is a repetition.
    Same(KeyUse),
    /// The key was used with different content.
    Reused,
}
