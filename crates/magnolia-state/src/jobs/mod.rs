//! Jobs of a partition, their tasks, and the idempotency keys.

mod job_entry;
mod job_table;
mod key_book;

pub use job_entry::{
    AttemptResult, JobEffects, JobEntry, RunningAttempt, TaskEntry, TaskState, TaskTally,
};
pub use job_table::{FoundAttempt, JobLimits, JobTable, job_content};
pub use key_book::{KeyEntry, KeyLookup, KeyUse};
