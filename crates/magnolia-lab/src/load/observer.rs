//! Reads the configuration version in force at every daemon.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_http::{HttpClient, PoolSettings};
use serde_json::Value;
use tokio::task::JoinHandle;

use crate::history::{HistoryEvent, HistoryWriter, monotonic_us};

/// Time between two questions to a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time of a question.
const POLL_LIMIT: Duration = Duration::from_secs(1);

/// Asks every daemon until it is dropped.
pub struct ConfigObserver {
    task: JoinHandle<()>,
}

impl ConfigObserver {
    /// Starts to ask.
    pub fn start(entries: Vec<(Arc<str>, SocketAddr)>, history: HistoryWriter) -> Self {
        let client = HttpClient::new(PoolSettings::new());
        let task = tokio::spawn(async move {
            let asked = entries
                .iter()
                .map(|(daemon, address)| observe(&client, daemon, *address, &history));
            join_all(asked).await;
        });
        Self { task }
    }
}

impl Drop for ConfigObserver {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Writes the versions of a daemon; an unchanged version is written once a second.
async fn observe(
    client: &HttpClient,
    daemon: &Arc<str>,
    address: SocketAddr,
    history: &HistoryWriter,
) {
    let mut written = (0, 0);
    loop {
        let asked_us = monotonic_us();
        let answer = client.get(address, "/v1/state", POLL_LIMIT).await;
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
