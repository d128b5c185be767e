//! Starts and stops a small cell of processes on loopback.

mod builder;
mod process;

pub use builder::{CellBuilder, CellError, RunningCell};
pub use process::ChildProcess;
