//! Benchmarks of the decision logic: each drives a policy and its baseline with the same work.

mod cluster;
mod command;
mod decisions;
mod error;
mod executors;
mod faults;
mod floods;
pub mod heavy_days;
mod job_floods;
pub mod load_simulation;
mod memory;
mod packing;
mod replay;
mod report;
mod waiting;
mod workload;

pub use command::{command, run};
pub use error::BenchError;
pub use report::{BenchReport, BenchRow};

/// Bounds of a run of benchmarks.
#[derive(Clone, Debug)]
pub struct BenchScope {
    /// Seeds of the generated work; one run each.
    pub seeds: Vec<u64>,
    /// Whether sizes are cut down so that a run takes seconds; its figures mean nothing.
    pub small: bool,
}
