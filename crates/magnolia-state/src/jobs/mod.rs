//! Jobs of a partition, their tasks, and the idempotency keys.

mod idempotency_keys;
mod job_entry;
mod job_table;

pub use idempotency_keys::{KeyEntry, KeyLookup, KeyUse};
pub use job_entry::{
    AttemptResult, JobEffects, JobEntry, RunningAttempt, TaskEntry, TaskState, TaskTally,
};
pub use job_table::{FoundAttempt, JobTable, RetentionLimits, job_content};
