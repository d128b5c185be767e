//! Ownership of partitions and executor groups: claims, their confirmation, the choice of owners.
//!
//! A partition or an executor group is a unit of ownership. A daemon becomes its owner by appending
//! a claim with the next epoch to stream `claims` of the log. If several daemons do so, the first
//! record of the epoch wins, so that all readers of the stream agree on the owner.

mod announce;
mod claim_eligibility;
mod claim_reader;
mod claimer;
mod confirmation;
mod known_claims;
mod pause_guard;

pub use claim_reader::{fetch_reported_claims, follow_claims};
pub use claimer::{keep_claiming, next_candidate};
pub use confirmation::{ConfirmationSource, keep_confirmed};
pub use known_claims::KnownClaims;
pub use pause_guard::{PauseGuard, watch_pauses};
