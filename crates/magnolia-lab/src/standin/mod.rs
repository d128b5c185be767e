//! Stand-ins of the platform, each a small HTTP service.
//!
//! `PUT /faults` on the address of a stand-in replaces its faults; an empty object clears them.

mod executor_server;
mod fault_cell;
mod instance_server;
mod log_server;
mod server;
mod worker_model;
#[cfg(test)]
mod worker_model_tests;
mod worker_server;

pub use executor_server::{ExecutorFaults, run_executors};
pub use fault_cell::{FaultCell, StandinOptions};
pub use instance_server::{InstanceFaults, run_instances};
pub use log_server::{LogFaults, LogOutage, run_log};
pub use server::{StandinHandler, StandinReply, StandinRequest, serve_forever};
pub use worker_model::{CheckpointStore, WorkerAction, WorkerModel};
pub use worker_server::{WorkerFaults, run_workers};

use magnolia_config::{CheckErrors, ConfigDocument};

/// Why a stand-in cannot run.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// An address is in use, a file cannot be read or a fault is malformed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The configuration file does not pass the checks.
    #[error("{0}")]
    Config(#[from] CheckErrors),
}

/// Reads a configuration file.
///
/// # Errors
///
/// Fails when the file cannot be read or does not pass the checks.
pub fn load(path: &str) -> Result<ConfigDocument, StandinError> {
    Ok(ConfigDocument::from_toml(&std::fs::read_to_string(path)?)?)
}

/// Returns the value of a parameter of a query string.
fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
