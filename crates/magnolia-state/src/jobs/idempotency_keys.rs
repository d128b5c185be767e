//! Idempotency keys and what they were used for.

use std::sync::Arc;

use magnolia_types::{JobId, Millis, RequestId, ResultCode};
use serde::{Deserialize, Serialize};

/// What a key was used for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum KeyUse {
    /// A job.
    Job(JobId),
    /// A quick request that may not repeat.
    Request {
        /// The request.
        request: RequestId,
        /// Hash of the set of partitions that took keys at the time.
        key_set: u64,
        /// Code and text of the outcome, once known.
        outcome: Option<(ResultCode, Arc<str>)>,
    },
}

/// One key of a customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyEntry {
    /// Hash of the content that came with the key.
    pub content: u64,
    /// Wall-clock time of the first use.
    pub at: Millis,
    /// First use.
    pub used_for: KeyUse,
}

/// What a key of a new submission means.
#[derive(Clone, Debug, PartialEq)]
pub enum KeyLookup {
    /// The key is new.
    Unused,
    /// The key came with the same content before.
    Same(KeyUse),
    /// The key came with other content before.
    Reused,
}
