//! Stand-ins of the platform, each a small HTTP service.

mod executor_server;
mod instance_server;
mod log_server;
mod worker_model;
mod worker_server;

pub use executor_server::run_executors;
pub use instance_server::run_instances;
pub use log_server::run_log;
pub use worker_model::WorkerModel;
pub use worker_server::run_workers;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_config::{CheckErrors, ConfigDocument};
use magnolia_http::{HttpHandler, serve};
use tokio::net::TcpListener;

/// Longest drain of a stand-in.
const DRAIN_LIMIT: Duration = Duration::from_secs(1);

/// Why a stand-in cannot run.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// An address is in use or a file cannot be read.
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

/// Serves one address until the process ends.
async fn serve_forever(
    address: SocketAddr,
    handler: Arc<dyn HttpHandler>,
) -> Result<(), StandinError> {
    let listener = TcpListener::bind(address).await?;
    serve(listener, handler, std::future::pending(), DRAIN_LIMIT).await;
    Ok(())
}

/// Returns the value of a parameter of a query string.
fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find_map(|(key, value)| (key == name).then_some(value))
}
