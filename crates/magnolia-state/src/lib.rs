//! State machines without clock or I/O: ownership claims, leases, journal, requests, retries.

mod claim_table;
mod request_state;
mod retry_budget;
mod suspicion_tracker;

pub use claim_table::{ClaimChange, ClaimRecord, ClaimTable, ClaimVerdict};
pub use request_state::{RequestEventError, RequestPhase, RequestState};
pub use retry_budget::RetryBudget;
pub use suspicion_tracker::SuspicionTracker;
