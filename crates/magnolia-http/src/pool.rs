//! Open connections to one peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::Notify;

use crate::WriteGuard;

/// Bounds of the connections that a client keeps.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Oldest connection that is used again; each connection draws its own age up to a fifth below.
    pub max_age: Duration,
    /// Longest time that a connection is kept without a request.
    pub max_idle_time: Duration,
    /// Longest time to open a connection.
    pub connect_timeout: Duration,
    /// Longest time without a byte of an answer until a connection is suspect.
    pub progress_deadline: Duration,
    /// Most connections to one peer, in use or idle.
    pub max_connections: usize,
    /// Largest answer in bytes.
    pub max_answer_bytes: usize,
    /// Last check before each write; none by default.
    pub write_guard: Option<WriteGuard>,
}

impl PoolSettings {
    const MAX_AGE: Duration = Duration::from_secs(60);
    /// Below the time after which servers close idle connections (10 s for daemons), because a
    /// request that crosses such a close has an unknown outcome.
    const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    const PROGRESS_DEADLINE: Duration = Duration::from_secs(2);
    const MAX_CONNECTIONS: usize = 1024;
    const MAX_ANSWER_BYTES: usize = 16 << 20;

    /// Sets the last check before each write.
    #[must_use]
    pub fn with_write_guard(mut self, guard: WriteGuard) -> Self {
        self.write_guard = Some(guard);
        self
    }

    /// Creates the default bounds.
    pub fn new() -> Self {
        Self {
            max_age: Self::MAX_AGE,
            max_idle_time: Self::MAX_IDLE_TIME,
            connect_timeout: Self::CONNECT_TIMEOUT,
            progress_deadline: Self::PROGRESS_DEADLINE,
            max_connections: Self::MAX_CONNECTIONS,
            max_answer_bytes: Self::MAX_ANSWER_BYTES,
            write_guard: None,
        }
    }

    /// Sets the longest time to open a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the oldest connection that is used again.
    #[must_use]
    pub fn with_max_age(mut self, age: Duration) -> Self {
        self.max_age = age;
        self
    }

    /// Sets the longest time without a byte until a connection is suspect.
    #[must_use]
    pub fn with_progress_deadline(mut self, deadline: Duration) -> Self {
        self.progress_deadline = deadline;
        self
    }

    /// Sets the most connections to one peer.
    #[must_use]
    pub fn with_max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
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
    /// When the connection is too old to be used again.
    pub(crate) expires: Instant,
}

/// An idle connection.
struct IdleConnection {
    connection: PooledConnection,
    since: Instant,
}

/// What a caller that wants a connection may do.
pub(crate) enum PoolOffer {
    /// Use this connection.
    Reuse(PooledConnection),
    /// Open a new connection, which the pool already counts.
    Open,
    /// Wait until a connection is returned or closed, then ask again.
    Wait(Arc<Notify>),
}

/// Connections to one peer.
#[derive(Default)]
pub(crate) struct PeerPool {
    idle: Vec<IdleConnection>,
    /// Connections that are open or being opened, idle ones included.
    open: usize,
    /// Bound for this peer, when it differs from the settings.
    limit: Option<usize>,
    /// Connections opened before this instant are not used again.
    distrusted_before: Option<Instant>,
    /// Whether returned connections are closed, until the next call.
    retired: bool,
    changed: Arc<Notify>,
}

impl PeerPool {
    /// Offers the newest usable connection, or room for a new one.
    pub(crate) fn offer(&mut self, settings: &PoolSettings) -> PoolOffer {
        self.retired = false;
        self.drop_unusable(settings);
        if let Some(idle) = self.idle.pop() {
            return PoolOffer::Reuse(idle.connection);
        }
        if self.open < self.limit.unwrap_or(settings.max_connections) {
            self.open += 1;
            return PoolOffer::Open;
        }
        PoolOffer::Wait(Arc::clone(&self.changed))
    }

    /// Keeps a connection for later calls.
    pub(crate) fn put(&mut self, connection: PooledConnection, settings: &PoolSettings) {
        let since = Instant::now();
        if !self.retired {
            // In order of opening: the newest is used first, so that its failure condemns all.
            let place = self
                .idle
                .partition_point(|idle| idle.connection.opened <= connection.opened);
            self.idle
                .insert(place, IdleConnection { connection, since });
        }
        self.drop_unusable(settings);
        self.changed.notify_one();
    }

    /// Records that a connection is closed or was not opened.
    pub(crate) fn closed(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.changed.notify_one();
    }

    /// Gives up every connection opened up to `opened`.
    ///
    /// Something between the two ends may have lost track of them all.
    pub(crate) fn distrust(&mut self, opened: Instant) {
        let newest = self
            .distrusted_before
            .map_or(opened, |before| before.max(opened));
        self.distrusted_before = Some(newest);
        self.idle.retain(|idle| idle.connection.opened > newest);
    }

    /// Sets or removes the bound of this peer.
    pub(crate) fn set_limit(&mut self, limit: Option<usize>) {
        self.limit = limit;
    }

    /// Closes the idle connections now and those in use when they are returned.
    pub(crate) fn retire(&mut self) {
        self.idle.clear();
        self.retired = true;
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.open
    }

    /// Drops the idle connections that are closed, old, distrusted or idle for too long.
    pub(crate) fn drop_unusable(&mut self, settings: &PoolSettings) {
        let now = Instant::now();
        let distrusted = self.distrusted_before;
        self.idle.retain(|idle| {
            let connection = &idle.connection;
            let trusted = distrusted.is_none_or(|before| connection.opened > before);
            let rested = now.duration_since(idle.since) < settings.max_idle_time;
            trusted && rested && !connection.sender.is_closed() && now < connection.expires
        });
    }

    /// Tells whether nothing is left to remember of the peer.
    pub(crate) fn is_forgettable(&self) -> bool {
        self.open == 0 && self.idle.is_empty() && self.limit.is_none()
    }
}
