//! Pool of the connections to one peer.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::SendRequest;
use tokio::sync::Notify;

use crate::WriteGuard;

/// Limits and timeouts of the connections of a client.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Maximum age at which a connection is reused. Each connection gets a random maximum of 80 %
    /// to 100 % of this value.
    pub max_age: Duration,
    /// Maximum time for which an idle connection is kept.
    pub max_idle_time: Duration,
    /// Maximum time to open a connection.
    pub connect_timeout: Duration,
    /// Maximum time for the head of an answer, and for each further part of its body, to arrive.
    /// After this time, the connection and all older ones to the peer are not used again.
    pub progress_deadline: Duration,
    /// Default maximum number of connections to one peer, both in use and idle.
    pub max_connections: usize,
    /// Maximum size of the body of an answer in bytes.
    pub max_answer_bytes: usize,
    /// Check before each write to a connection; none by default.
    pub write_guard: Option<WriteGuard>,
}

impl PoolSettings {
    const MAX_AGE: Duration = Duration::from_secs(60);
    /// Shorter than the time after which servers close idle connections (10 s for daemons): if the
    /// server closes a connection while a request is being sent, the outcome is unknown.
    const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
    const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
    const PROGRESS_DEADLINE: Duration = Duration::from_secs(2);
    const MAX_CONNECTIONS: usize = 1024;
    const MAX_ANSWER_BYTES: usize = 16 << 20;

    /// Sets the check before each write to a connection.
    #[must_use]
    pub fn with_write_guard(mut self, guard: WriteGuard) -> Self {
        self.write_guard = Some(guard);
        self
    }

    /// Creates the default settings.
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

    /// Sets the maximum time to open a connection.
    #[must_use]
    pub fn with_connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum age at which a connection is reused.
    #[must_use]
    pub fn with_max_age(mut self, age: Duration) -> Self {
        self.max_age = age;
        self
    }

    /// Sets the maximum time for the head or a further part of an answer to arrive, after which the
    /// connection and all older ones to the peer are not used again.
    #[must_use]
    pub fn with_progress_deadline(mut self, deadline: Duration) -> Self {
        self.progress_deadline = deadline;
        self
    }

    /// Sets the default maximum number of connections to one peer.
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
    /// When the connection becomes too old to be reused.
    pub(crate) expires: Instant,
}

/// A connection that is not in use.
struct IdleConnection {
    connection: PooledConnection,
    /// When the last call on the connection ended.
    since: Instant,
}

/// How a call can get a connection.
pub(crate) enum PoolOffer {
    /// Reuse this connection.
    Reuse(PooledConnection),
    /// Open a new connection; the pool has already counted it.
    Open,
    /// Wait until a connection is returned or closed, then call [`PeerPool::offer`] again.
    Wait(Arc<Notify>),
}

/// The connections to one peer.
#[derive(Default)]
pub(crate) struct PeerPool {
    /// Idle connections, sorted by the time of opening.
    idle: Vec<IdleConnection>,
    /// Number of connections that are in use, idle or being opened.
    open: usize,
    /// Maximum number of connections to this peer, if it differs from the settings.
    limit: Option<usize>,
    /// Connections opened at or before this instant are not used again.
    discarded_until: Option<Instant>,
    /// Whether returned connections are closed instead of kept; reset when the next call asks for a
    /// connection.
    retired: bool,
    /// Notified when a connection is returned or closed.
    changed: Arc<Notify>,
}

impl PeerPool {
    /// Returns the newest usable connection, or permits a new one if the limit allows it.
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

    /// Takes back a connection after a call and keeps it for later calls.
    pub(crate) fn put(&mut self, connection: PooledConnection, settings: &PoolSettings) {
        let since = Instant::now();
        if !self.retired {
            // The newest connection is used first, so that all others are discarded if it makes no
            // progress.
            let place = self
                .idle
                .partition_point(|idle| idle.connection.opened <= connection.opened);
            self.idle
                .insert(place, IdleConnection { connection, since });
        }
        self.drop_unusable(settings);
        self.changed.notify_one();
    }

    /// Records that a connection was closed or could not be opened.
    pub(crate) fn record_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
        self.changed.notify_one();
    }

    /// Discards every connection opened at or before `opened`: closes the idle ones now and those
    /// in use when they are returned.
    ///
    /// A network device between the two hosts may have lost its state of all these connections.
    pub(crate) fn discard_opened_until(&mut self, opened: Instant) {
        let newest = self
            .discarded_until
            .map_or(opened, |before| before.max(opened));
        self.discarded_until = Some(newest);
        self.idle.retain(|idle| idle.connection.opened > newest);
    }

    /// Sets or removes the connection limit of this peer.
    pub(crate) fn set_limit(&mut self, limit: Option<usize>) {
        self.limit = limit;
    }

    /// Closes the idle connections now, and those in use when they are returned.
    pub(crate) fn retire(&mut self) {
        self.idle.clear();
        self.retired = true;
    }

    /// Returns the number of connections that are in use, idle or being opened.
    pub(crate) fn open_count(&self) -> usize {
        self.open
    }

    /// Drops the idle connections that are closed, too old, discarded or idle for too long.
    pub(crate) fn drop_unusable(&mut self, settings: &PoolSettings) {
        let now = Instant::now();
        let discarded_until = self.discarded_until;
        self.idle.retain(|idle| {
            let connection = &idle.connection;
            let not_discarded = discarded_until.is_none_or(|until| connection.opened > until);
            let recently_used = now.duration_since(idle.since) < settings.max_idle_time;
            not_discarded
                && recently_used
                && !connection.sender.is_closed()
                && now < connection.expires
        });
    }

    /// Tells whether the pool can be removed: it has neither connections nor a limit of its own.
    pub(crate) fn is_forgettable(&self) -> bool {
        self.open == 0 && self.idle.is_empty() && self.limit.is_none()
    }
}
