//! Jobs of the worker partitions that this daemon owns.

mod committer;
#[cfg(test)]
mod committer_tests;
mod describe;
mod events;
mod evidence;
mod exchange;
mod fencing;
mod inventory;
mod journalling;
mod lifecycle;
mod opening;
mod operations;
mod owner;
mod placement_notes;
mod placing;
mod registry;
mod router;
mod run_once;
mod worker_link;

pub use lifecycle::{hand_over, start_owner, stop_owner, take_handover};
pub use registry::PartitionRegistry;
pub use router::{run_local, run_operation};
