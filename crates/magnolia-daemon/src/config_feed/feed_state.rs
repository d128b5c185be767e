//! What the feed tells other parts of the daemon.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_config::{PublicationId, PublicationVerdict};
use magnolia_types::{ConfigVersion, Millis};
use tokio::sync::{Notify, oneshot};

/// Where the configuration in force came from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ConfigSource {
    /// Nothing is in force yet.
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

/// How the configuration and the log stand at this daemon.
#[derive(Clone, Copy, Debug, Default)]
pub struct FeedStatus {
    /// Where the configuration came from.
    pub source: ConfigSource,
    /// When the version was put in force here.
    pub adopted_at: Option<Millis>,
    /// When the log last showed that nothing newer exists.
    pub confirmed_at: Option<Millis>,
    /// Since when every read of the log has failed.
    pub log_unavailable_since: Option<Millis>,
    /// Whether records were trimmed unread and no snapshot has replaced them yet.
    pub waiting_for_snapshot: bool,
}

/// A peer that knows a newer version.
#[derive(Clone, Copy, Debug)]
pub struct PeerHint {
    /// Address of the peer.
    pub address: SocketAddr,
    /// Its version.
    pub version: ConfigVersion,
}

/// State that the parts of the feed share.
#[derive(Default)]
pub struct ConfigFeed {
    status: Mutex<FeedStatus>,
    hint: Mutex<Option<PeerHint>>,
    hint_added: Notify,
    publishers: Mutex<HashMap<PublicationId, oneshot::Sender<PublicationVerdict>>>,
}

impl ConfigFeed {
    /// Creates the state before the first read.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how configuration and log stand.
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

    /// Waits for a peer with a newer version.
    pub(super) async fn next_hint(&self) -> PeerHint {
        loop {
            if let Some(hint) = lock(&self.hint).take() {
                return hint;
            }
            self.hint_added.notified().await;
        }
    }

    pub(super) fn record_adoption(&self, now: Millis, source: ConfigSource) {
        let mut status = lock(&self.status);
        status.adopted_at = Some(now);
        status.source = source;
    }

    /// Records a read of the log.
    pub(super) fn record_read(&self, now: Millis, is_up_to_date: bool, waiting: bool) {
        let mut status = lock(&self.status);
        if is_up_to_date {
            status.confirmed_at = Some(now);
        }
        status.waiting_for_snapshot = waiting;
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

    /// Registers a publication; the receiver gets what the log order decides about it.
    pub(super) fn register_publisher(
        &self,
        id: PublicationId,
    ) -> oneshot::Receiver<PublicationVerdict> {
        let (sender, receiver) = oneshot::channel();
        lock(&self.publishers).insert(id, sender);
        receiver
    }

    /// Gives up waiting for a publication.
    pub(super) fn remove_publisher(&self, id: PublicationId) {
        lock(&self.publishers).remove(&id);
    }

    /// Reports a decision to the publisher, if it is this daemon.
    pub(super) fn deliver_verdict(&self, id: PublicationId, verdict: PublicationVerdict) {
        if let Some(publisher) = lock(&self.publishers).remove(&id) {
            // The publisher may have given up in the meantime.
            publisher.send(verdict).ok();
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
