//! Ownership of partitions and executor groups.

mod announce;
mod claim_book;
mod claim_reader;
mod claimer;
mod confirmation;
mod pause_guard;
mod unit_watch;

pub use claim_book::ClaimBook;
pub use claim_reader::{follow_claims, follow_hints};
pub use claimer::{keep_claiming, next_candidate};
pub use confirmation::{ConfirmationSource, keep_fresh};
pub use pause_guard::{PauseGuard, watch_pauses};
