//! Ownership of partitions and executor groups.

mod claim_book;
mod claimer;

pub use claim_book::{ClaimBook, follow_claims};
pub use claimer::keep_claiming;
