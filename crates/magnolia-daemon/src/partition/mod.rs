//! The owners of worker partitions that run in this daemon: jobs, journal, workers, takeover.
//!
//! Each partition has one owner at a time, whose claim carries an epoch. The owner keeps the jobs
//! of the partition, places their tasks on its workers and writes each change to the journal, a
//! stream of the log. The next owner replays the journal and fences the workers: a fenced worker
//! refuses the commands of lower epochs.

mod committer;
#[cfg(test)]
mod committer_tests;
mod confirming;
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
mod retry_delays;
#[cfg(test)]
mod retry_delays_tests;
mod router;
mod run_once;
mod worker_link;

pub use lifecycle::{accept_handover, hand_over, start_owner, stop_owner};
pub use registry::PartitionRegistry;
pub use router::{run_local, run_operation};
