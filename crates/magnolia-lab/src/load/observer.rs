//! Observer of the configuration version in force at every daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_http::{HttpClient, PoolSettings};
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::history::{HistoryEvent, HistoryWriter, monotonic_us};

/// Interval at which a daemon is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout of a read.
const POLL_TIMEOUT: Duration = Duration::from_secs(1);

/// Polls every daemon until it is dropped.
pub struct ConfigObserver {
    task: JoinHandle<()>,
}

impl ConfigObserver {
    /// Starts to poll the daemons.
    pub fn start(daemons: Vec<(Arc<str>, SocketAddr)>, history: HistoryWriter) -> Self {
        let client = HttpClient::new(PoolSettings::new());
        let task = tokio::spawn(async move {
            let observers = daemons
                .iter()
                .map(|(daemon, address)| observe(&client, daemon, *address, &history));
            join_all(observers).await;
        });
        Self { task }
    }
}

impl Drop for ConfigObserver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Records the versions of a daemon; an unchanged version is recorded once per second.
async fn observe(
    client: &HttpClient,
    daemon: &Arc<str>,
    address: SocketAddr,
    history: &HistoryWriter,
) {
    // Time and version of the last recorded event.
    let mut written = (0, 0);
    loop {
        let asked_us = monotonic_us();
        let answer = client.get(address, "/v1/state", POLL_TIMEOUT).await;
        let body = answer.ok().and_then(|answer| answer.json::<Value>().ok());
        let version = body.and_then(|body| body["config_version"].as_u64());
        if let Some(version) = version {
            let is_new = version != written.1 || asked_us - written.0 > 1_000_000;
            if is_new {
                written = (asked_us, version);
                history.write(HistoryEvent::ConfigSeen {
                    daemon: Arc::clone(daemon),
                    asked_us,
                    version,
                });
            }
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
