//! Jobs of the worker partitions that this daemon owns.

mod job_table;
mod owner;
mod registry;
mod router;
mod worker_link;

pub use owner::{start_owner, stop_owner};
pub use registry::PartitionRegistry;
pub use router::{run_local, run_operation};
