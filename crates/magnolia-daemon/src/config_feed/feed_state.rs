//! State of the configuration feed that other parts of the daemon read.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_config::{PublicationId, PublicationOutcome};
use magnolia_types::{ConfigVersion, Millis};
use tokio::sync::{Notify, oneshot};

/// Where the configuration in force came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigSource {
    /// No configuration is in force yet.
    #[default]
    None,
    /// The log.
    Log,
    /// Another daemon.
    Peer,
}

impl fmt::Display for ConfigSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::None => "nowhere",
            Self::Log => "the log",
            Self::Peer => "a peer",
        })
    }
}

/// Status of the configuration feed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedStatus {
    /// Source of the configuration in force.
    pub source: ConfigSource,
    /// When this daemon put the version in force.
    pub adopted_at: Option<Millis>,
    /// When a read of the log last showed that there is no newer version.
    pub confirmed_at: Option<Millis>,
    /// Since when every read of the log has failed.
    pub log_unavailable_since: Option<Millis>,
    /// Whether the log has dropped records that were not read and no snapshot has replaced them
    /// yet.
    pub waiting_for_snapshot: bool,
}

/// A peer with a newer configuration version.
#[derive(Clone, Copy, Debug)]
pub struct PeerHint {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Configuration version of the peer.
    pub version: ConfigVersion,
}

/// Shared state of the configuration feed.
#[derive(Default)]
pub struct ConfigFeed {
    status: Mutex<FeedStatus>,
    /// The peer with the newest version that has not been asked yet.
    hint: Mutex<Option<PeerHint>>,
    hint_added: Notify,
    /// Publishers of this daemon that wait for an outcome.
    publishers: Mutex<HashMap<PublicationId, oneshot::Sender<PublicationOutcome>>>,
}

impl ConfigFeed {
    /// Creates the state before the first read of the log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the status of the feed.
    pub fn status(&self) -> FeedStatus {
        *lock(&self.status)
    }

    /// Records that a peer has `version` in force.
    pub fn record_peer_version(&self, address: SocketAddr, version: ConfigVersion) {
        let mut hint = lock(&self.hint);
        if hint.is_none_or(|known| known.version < version) {
            *hint = Some(PeerHint { address, version });
            self.hint_added.notify_one();
        }
    }

    /// Waits for a peer with a newer version and returns it.
    pub(super) async fn next_hint(&self) -> PeerHint {
        loop {
            if let Some(hint) = lock(&self.hint).take() {
                return hint;
            }
            self.hint_added.notified().await;
        }
    }

    /// Records that a configuration was put in force.
    pub(super) fn record_adoption(&self, now: Millis, source: ConfigSource) {
        let mut status = lock(&self.status);
        status.adopted_at = Some(now);
        status.source = source;
    }

    /// Records a successful read of the log. `is_up_to_date` tells whether it reached the end of
    /// the stream and no snapshot is missing.
    pub(super) fn record_read(&self, now: Millis, is_up_to_date: bool, waiting_for_snapshot: bool) {
        let mut status = lock(&self.status);
        if is_up_to_date {
            status.confirmed_at = Some(now);
        }
        status.waiting_for_snapshot = waiting_for_snapshot;
        if status.log_unavailable_since.take().is_some() {
            log::info!("the log is available again");
        }
    }

    /// Records a failed read of the log.
    pub(super) fn record_read_failure(&self, now: Millis, reason: &dyn fmt::Display) {
        let mut status = lock(&self.status);
        if status.log_unavailable_since.is_none() {
            status.log_unavailable_since = Some(now);
            log::warn!("the log is unavailable: {reason}");
        }
    }

    /// Registers a publication; the receiver gets the outcome once the publication was read back
    /// from the log.
    pub(super) fn register_publisher(
        &self,
        id: PublicationId,
    ) -> oneshot::Receiver<PublicationOutcome> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.publishers).insert(id, sender);
        receiver
    }

    /// Removes a registered publication.
    pub(super) fn remove_publisher(&self, id: PublicationId) {
        lock(&self.publishers).remove(&id);
    }

    /// Delivers an outcome to the publisher, if it is this daemon.
    pub(super) fn deliver_outcome(&self, id: PublicationId, outcome: PublicationOutcome) {
        if let Some(publisher) = lock(&self.publishers).remove(&id) {
            // Fails if the publisher has stopped waiting.
            publisher.send(outcome).ok();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
