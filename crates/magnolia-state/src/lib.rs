//! State machines without clock or I/O: ownership claims, leases, journal, requests, retries.

mod claim_table;

pub use claim_table::{ClaimChange, ClaimRecord, ClaimTable, ClaimVerdict};
