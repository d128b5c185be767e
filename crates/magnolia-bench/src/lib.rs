//! Benchmarks of the decision logic: each one runs the policies of the product and their simpler
//! baselines on the same generated work and reports the results side by side.

mod account_costs;
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
mod property_test;
mod replay;
mod report;
mod waiting;
mod workload;

pub use command::{command, run};
pub use error::BenchError;
pub use property_test::property_test;
pub use report::{BenchReport, BenchRow};

/// Seeds and size of a benchmark run.
#[derive(Clone, Debug)]
pub struct BenchScope {
    /// Seeds of the generated work; there is one run per seed.
    pub seeds: Vec<u64>,
    /// Whether the work is reduced so that a run takes seconds; its figures mean nothing.
    pub small: bool,
}
