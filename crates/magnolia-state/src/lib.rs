//! State machines without clock or I/O: claims of ownership, takeover, leases, jobs and their
//! journal, quick requests, failure detection and retries.

mod claim_table;
mod jobs;
mod journal;
mod lease_table;
mod request_state;
mod retry_budget;
mod suspicion_tracker;
mod takeover;

pub use claim_table::{ClaimChange, ClaimOutcome, ClaimRecord, ClaimTable};
pub use jobs::{
    AttemptResult, FoundAttempt, JobEffects, JobEntry, JobTable, KeyEntry, KeyLookup, KeyUse,
    RetentionLimits, RunningAttempt, TaskEntry, TaskState, TaskTally, job_content,
};
pub use journal::{
    JournalBatch, JournalCounts, JournalEntry, JournalError, JournalReadOutcome, JournalReader,
    JournalReplay, MAX_BATCH_BYTES, RecordError, SNAPSHOT_PART_BYTES, split_snapshot,
};
pub use lease_table::{ClockReading, IncarnationCheck, LeaseTable, with_drift};
pub use request_state::{RequestEventError, RequestPhase, RequestState};
pub use retry_budget::RetryBudget;
pub use suspicion_tracker::SuspicionTracker;
pub use takeover::{TakeoverProgress, TakeoverTracker};
