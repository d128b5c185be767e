//! Bounds on the size of the record of a job, so that a record can be stored whatever happens to the
//! job.
//!
//! The part of a record that is known when the job is submitted has to leave room for what the
//! record gains later: failed runs and checkpoints. Checkpoints that find no room are left out, and
//! their tasks start from the beginning after a change of owner. A job whose failed runs find no
//! room ends as failed.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::sync::Arc;

use crate::record::{JobRecord, LiveRecord, RecordError};
use crate::{AccountRules, JobSpec, QueueRules};

/// Share of the longest record that is kept for failed runs and checkpoints, as a divisor.
const PROGRESS_SHARE: u64 = 4;
/// Longest encoding of the key of a record with its length.
const KEY_BYTES: u64 = 32;
/// Longest encoding of one occurrence without its steps.
const OCCURRENCE_BYTES: u64 = 6;
/// Longest encoding of one step without its tasks, failed runs and checkpoints.
const STEP_BYTES: u64 = 6;
/// Longest encoding of one failed run, with its share of the length of the list.
pub(crate) const FAILED_RUN_BYTES: u64 = 15;
/// Longest encoding of one checkpoint without its text, with its share of the length of the list.
pub(crate) const CHECKPOINT_BYTES: u64 = 11;

/// Returns the part of a record of at most `limit` bytes that is kept for failed runs and
/// checkpoints.
pub(crate) fn progress_bytes(limit: u64) -> u64 {
    limit / PROGRESS_SHARE
}

/// Checks that the record of a job can be stored as long as the job is live.
///
/// # Errors
///
/// Fails with [`RecordError::TooLarge`] if the record may exceed `limit` bytes.
pub fn check_record_size(
    spec: &Arc<JobSpec>,
    rules: &Arc<QueueRules>,
    account: Option<&Arc<AccountRules>>,
    limit: u64,
) -> Result<(), RecordError> {
    let empty = JobRecord::Live(LiveRecord {
        rules: Arc::clone(rules),
        spec: Arc::clone(spec),
        accepted_unix_ms: u64::MAX,
        order_unix_ms: u64::MAX,
        occurrences: Vec::new(),
        account: account.cloned(),
        beyond_share: true,
    });
    let encoded = u64::try_from(empty.encode()?.len()).unwrap_or(u64::MAX);
    let steps = spec.steps.iter().map(|step| {
        let done = u64::from(step.tasks).div_ceil(8);
        done.saturating_add(STEP_BYTES)
    });
    let of_occurrence = steps.fold(OCCURRENCE_BYTES, u64::saturating_add);
    let occurrences = spec.recurrence.as_ref().map_or(1, |times| times.count);
    let needed = of_occurrence
        .saturating_mul(u64::from(occurrences.max(1)))
        .saturating_add(encoded)
        .saturating_add(KEY_BYTES)
        .saturating_add(progress_bytes(limit));
    if needed > limit {
        return Err(RecordError::TooLarge { needed, limit });
    }
    Ok(())
}
