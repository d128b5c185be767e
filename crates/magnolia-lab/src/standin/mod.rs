//! Stand-ins for the services of the platform, each a small HTTP server.
//!
//! `PUT /faults` on the address of a stand-in replaces its faults; an empty object resets each
//! fault to its default.

mod executor_server;
mod fault_state;
mod instance_server;
mod log_server;
mod server;
mod worker_model;
#[cfg(test)]
mod worker_model_tests;
mod worker_server;

pub use executor_server::{ExecutorFaults, run_executors};
pub use fault_state::{FaultState, StandinOptions};
pub use instance_server::{InstanceFaults, run_instances};
pub use log_server::{LogFaults, LogOutage, run_log};
pub use server::{StandinHandler, StandinReply, StandinRequest, serve_forever};
pub use worker_model::{CheckpointStore, WorkerAction, WorkerModel};
pub use worker_server::{WorkerFaults, run_workers};

use magnolia_config::{CheckErrors, ConfigDocument};

/// Reasons for which a stand-in cannot run.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// An address is in use, a file cannot be read or the faults are malformed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The configuration file is invalid.
    #[error("{0}")]
    Config(#[from] CheckErrors),
}

/// Reads and validates a configuration file.
///
/// # Errors
///
/// Fails when the file cannot be read or is invalid.
pub fn load_config(path: &str) -> Result<ConfigDocument, StandinError> {
    Ok(ConfigDocument::from_toml(&std::fs::read_to_string(path)?)?)
}

/// Returns the value of a parameter of a query string.
fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
