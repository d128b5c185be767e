//! Open connections to one peer.

use std::time::{Duration, Instant};

use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;

use bytes::Bytes;

/// Bounds of the connections that a client keeps.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Oldest connection that is used again.
    pub max_age: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Most idle connections kept to one peer.
    pub max_idle: usize,
    /// Largest answer in bytes.
    pub max_answer_bytes: usize,
}

impl PoolSettings {
    const MAX_AGE: Duration = Duration::from_secs(60);
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    const MAX_IDLE: usize = 64;
    const MAX_ANSWER_BYTES: usize = 16 << 20;

    /// Creates the default bounds.
    pub fn new() -> Self {
        Self {
            max_age: Self::MAX_AGE,
            connect_timeout: Self::CONNECT_TIMEOUT,
            max_idle: Self::MAX_IDLE,
            max_answer_bytes: Self::MAX_ANSWER_BYTES,
        }
    }

    /// Sets the longest time to open a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self::new()
    }
}

/// One open connection.
pub(crate) struct PooledConnection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    pub(crate) opened: Instant,
}

/// Idle connections to one peer.
#[derive(Default)]
pub(crate) struct PeerPool {
    idle: Vec<PooledConnection>,
    /// Connections opened before this instant are not used again.
    distrusted_before: Option<Instant>,
}

impl PeerPool {
    /// Takes the newest usable idle connection.
    pub(crate) fn take(&mut self, max_age: Duration) -> Option<PooledConnection> {
        while let Some(connection) = self.idle.pop() {
            if self.is_usable(&connection, max_age) {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later calls.
    pub(crate) fn put(&mut self, connection: PooledConnection, settings: &PoolSettings) {
        let room = self.idle.len() < settings.max_idle;
        if room && self.is_usable(&connection, settings.max_age) {
            self.idle.push(connection);
        }
    }

    /// Gives up every connection opened up to `opened`.
    ///
    /// Something between the two ends may have lost track of them all.
    pub(crate) fn distrust(&mut self, opened: Instant) {
        let newest = self
            .distrusted_before
            .map_or(opened, |before| before.max(opened));
        self.distrusted_before = Some(newest);
        self.idle.retain(|connection| connection.opened > newest);
    }

    fn is_usable(&self, connection: &PooledConnection, max_age: Duration) -> bool {
        let trusted = self
            .distrusted_before
            .is_none_or(|before| connection.opened > before);
        trusted && !connection.sender.is_closed() && connection.opened.elapsed() < max_age
    }
}
