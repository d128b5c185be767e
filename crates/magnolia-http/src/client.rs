//! HTTP/1.1 client with a pool of connections for each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::WriteGuard;
use crate::pool::{PeerPool, PoolOffer, PooledConnection};
use crate::traffic::CountedStream;
use crate::{HttpError, PoolSettings};

/// A complete answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body of the answer.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Malformed`] if the body is not valid JSON for `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }
}

/// Minimum time between two sweeps that calls trigger; see [`HttpClient::sweep`].
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Interval at which a call that waits for a connection checks the pool again. Two connections that
/// are returned at the same moment wake only one of the waiting calls.
const LIMIT_RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// HTTP/1.1 client. Clones are cheap and share the pools.
#[derive(Clone)]
pub struct HttpClient {
    settings: PoolSettings,
    pools: Arc<Mutex<PoolMap>>,
}

/// The pools of all peers.
struct PoolMap {
    peers: HashMap<SocketAddr, PeerPool>,
    /// When the pools were last swept.
    swept: Instant,
}

/// When dropped, tells the pool that a connection was closed or could not be opened. The task that
/// drives the connection holds the guard until the socket is closed.
struct OpenGuard {
    pools: Arc<Mutex<PoolMap>>,
    peer: SocketAddr,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(pool) = pools.peers.get_mut(&self.peer) {
            pool.record_closed();
        }
    }
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// Maximum duration of the whole call.
    pub timeout: Duration,
    /// Time for which the peer may deliberately delay its answer, as in a long poll. It extends the
    /// progress deadline until the head of the answer arrives, and is part of `timeout`.
    pub silence: Duration,
    /// Longest time without a byte of the answer, after which the call fails; `timeout` alone counts
    /// by default. The first byte has to arrive within this time from the start of the call,
    /// extended by `silence`.
    pub stall: Option<Duration>,
}

impl CallLimits {
    /// Sets the longest time without a byte of the answer.
    #[must_use]
    pub fn with_stall(mut self, stall: Duration) -> Self {
        self.stall = Some(stall);
        self
    }

    /// Returns the time until which the next byte has to arrive.
    fn next_byte_by(&self, since: Instant, silence: Duration, deadline: Instant) -> Instant {
        let stalled_at = self.stall.map(|stall| since + stall + silence);
        stalled_at.map_or(deadline, |at| at.min(deadline))
    }
}

impl From<Duration> for CallLimits {
    fn from(timeout: Duration) -> Self {
        Self {
            timeout,
            silence: Duration::ZERO,
            stall: None,
        }
    }
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(settings: PoolSettings) -> Self {
        let pools = PoolMap {
            peers: HashMap::new(),
            swept: Instant::now(),
        };
        Self {
            settings,
            pools: Arc::new(Mutex::new(pools)),
        }
    }

    /// Sends a request and waits for the complete answer within `limits`.
    ///
    /// If a reused connection fails before any of the request was written, the request is sent on
    /// another connection.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection can be opened or no complete answer arrives in time. The
    /// error tells whether the request may have reached the peer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limits: impl Into<CallLimits>,
    ) -> Result<HttpAnswer, HttpError> {
        let limits = limits.into();
        let started = Instant::now();
        let deadline = started + limits.timeout;
        let host = header::HeaderValue::from_str(&peer.to_string())
            .map_err(|error| HttpError::NotConnected(error.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        loop {
            let head_by = limits.next_byte_by(started, limits.silence, deadline);
            let (mut connection, reused) = self.connection(peer, head_by).await?;
            let result = self
                .exchange(peer, &mut connection, request, started, limits)
                .await;
            match result {
                Ok(answer) => {
                    self.with_pool(peer, |pool| pool.put(connection, &self.settings));
                    return Ok(answer);
                }
                Err(ExchangeError::NotSent(recovered, _)) if reused => request = *recovered,
                Err(ExchangeError::NotSent(_, reason)) => {
                    return Err(HttpError::NotConnected(reason));
                }
                Err(ExchangeError::Failed(error)) => return Err(error),
            }
        }
    }

    /// Sets the maximum number of connections to a peer, both in use and idle; `None` restores the
    /// default.
    pub fn set_limit(&self, peer: SocketAddr, limit: Option<usize>) {
        self.with_pool(peer, |pool| pool.set_limit(limit));
    }

    /// Forgets a peer: closes its idle connections and removes its connection limit. Connections in
    /// use are closed when their calls end.
    pub fn forget(&self, peer: SocketAddr) {
        self.with_pool(peer, |pool| {
            pool.set_limit(None);
            pool.retire();
        });
        self.sweep(Instant::now());
    }

    /// Returns the number of connections to a peer that are in use, idle or being opened.
    pub fn open_connections(&self, peer: SocketAddr) -> usize {
        self.with_pool(peer, |pool| pool.open_count())
    }

    /// Returns the number of peers that have a pool.
    pub fn known_peers(&self) -> usize {
        self.sweep(Instant::now());
        self.lock().peers.len()
    }

    /// Discards every connection to `peer` that was opened at or before `opened`.
    pub fn discard_opened_until(&self, peer: SocketAddr, opened: Instant) {
        self.with_pool(peer, |pool| pool.discard_opened_until(opened));
    }

    /// Sends the request on a connection and reads the complete answer.
    ///
    /// If the head or a further part of the answer takes longer than the progress deadline, the
    /// connection and all older ones to the peer are not used again, while this call, which began at
    /// `started`, continues until its limits.
    async fn exchange(
        &self,
        peer: SocketAddr,
        connection: &mut PooledConnection,
        request: Request<Full<Bytes>>,
        started: Instant,
        limits: CallLimits,
    ) -> Result<HttpAnswer, ExchangeError> {
        let opened = connection.opened;
        let deadline = started + limits.timeout;
        let progress = self.settings.progress_deadline;
        let head = connection.sender.try_send_request(request);
        let head_by = limits.next_byte_by(started, limits.silence, deadline);
        let head = self.await_progress(peer, opened, head, progress + limits.silence, head_by);
        let (parts, body) = match head.await? {
            Ok(response) => response.into_parts(),
            Err(mut failure) => {
                let reason = failure.error().to_string();
                return Err(match failure.take_message() {
                    Some(request) => ExchangeError::NotSent(Box::new(request), reason),
                    None => ExchangeError::Failed(HttpError::Lost(reason)),
                });
            }
        };
        let mut body = Limited::new(body, self.settings.max_answer_bytes);
        let mut collected = BytesMut::new();
        loop {
            let part_by = limits.next_byte_by(Instant::now(), Duration::ZERO, deadline);
            let part = self.await_progress(peer, opened, body.frame(), progress, part_by);
            let Some(frame) = part.await? else {
                break;
            };
            let frame = frame.map_err(|error| self.body_error(&*error))?;
            if let Ok(data) = frame.into_data() {
                collected.extend_from_slice(&data);
            }
        }
        Ok(HttpAnswer {
            status: parts.status,
            headers: parts.headers,
            body: collected.freeze(),
        })
    }

    /// Waits for a step of an exchange until `deadline`. If the step takes longer than `progress`,
    /// discards the connections to the peer that were opened at or before `opened`.
    async fn await_progress<T>(
        &self,
        peer: SocketAddr,
        opened: Instant,
        step: impl Future<Output = T>,
        progress: Duration,
        deadline: Instant,
    ) -> Result<T, HttpError> {
        tokio::pin!(step);
        let progress_until = deadline.min(Instant::now() + progress);
        if let Ok(result) = timeout_at(progress_until.into(), &mut step).await {
            return Ok(result);
        }
        self.discard_opened_until(peer, opened);
        let result_in_time = timeout_at(deadline.into(), step).await;
        result_in_time.map_err(|_| HttpError::Lost("no whole answer in time".into()))
    }

    fn body_error(&self, error: &(dyn std::error::Error + Send + Sync + 'static)) -> HttpError {
        if error.is::<LengthLimitError>() {
            let limit = self.settings.max_answer_bytes;
            HttpError::TooLarge { limit }
        } else {
            HttpError::Lost(error.to_string())
        }
    }

    fn lock(&self) -> MutexGuard<'_, PoolMap> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_pool<T>(&self, peer: SocketAddr, action: impl FnOnce(&mut PeerPool) -> T) -> T {
        let now = Instant::now();
        if now.duration_since(self.lock().swept) > SWEEP_INTERVAL {
            self.sweep(now);
        }
        action(self.lock().peers.entry(peer).or_default())
    }

    /// Closes idle connections that are not usable any more and removes the pools of peers that
    /// have neither connections nor a limit.
    fn sweep(&self, now: Instant) {
        let mut pools = self.lock();
        pools.swept = now;
        pools.peers.retain(|_, pool| {
            pool.drop_unusable(&self.settings);
            !pool.is_forgettable()
        });
    }

    /// Returns a connection and whether it was reused from the pool.
    async fn connection(
        &self,
        peer: SocketAddr,
        deadline: Instant,
    ) -> Result<(PooledConnection, bool), HttpError> {
        loop {
            match self.with_pool(peer, |pool| pool.offer(&self.settings)) {
                PoolOffer::Reuse(mut connection) => {
                    let ready = timeout_at(deadline.into(), connection.sender.ready()).await;
                    if matches!(ready, Ok(Ok(()))) {
                        return Ok((connection, true));
                    }
                }
                PoolOffer::Open => {
                    let connection = self.open(peer, deadline).await?;
                    return Ok((connection, false));
                }
                PoolOffer::Wait(changed) => {
                    let next_check = deadline.min(Instant::now() + LIMIT_RECHECK_INTERVAL);
                    timeout_at(next_check.into(), changed.notified()).await.ok();
                    if Instant::now() >= deadline {
                        return Err(HttpError::NotConnected("connection limit".into()));
                    }
                }
            }
        }
    }

    /// Opens a connection that the pool has already counted.
    async fn open(
        &self,
        peer: SocketAddr,
        deadline: Instant,
    ) -> Result<PooledConnection, HttpError> {
        let guard = OpenGuard {
            pools: Arc::clone(&self.pools),
            peer,
        };
        let connect_deadline = deadline.min(Instant::now() + self.settings.connect_timeout);
        let opened = Instant::now();
        let (sender, connection) = timeout_at(
            connect_deadline.into(),
            connect(peer, self.settings.write_guard.clone()),
        )
        .await
        .map_err(|_| HttpError::NotConnected("connect timeout".into()))??;
        tokio::spawn(async move {
            // The call that uses the connection reports its failure.
            connection.await.ok();
            drop(guard);
        });
        let jitter = rand::random_range(0.8..=1.0);
        Ok(PooledConnection {
            sender,
            opened,
            expires: opened + self.settings.max_age.mul_f64(jitter),
        })
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn get(
        &self,
        peer: SocketAddr,
        path: &str,
        limits: impl Into<CallLimits>,
    ) -> Result<HttpAnswer, HttpError> {
        let request = build_request(Method::GET, path, Bytes::new())?;
        self.call(peer, request, limits).await
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn post_json<T: serde::Serialize + Sync>(
        &self,
        peer: SocketAddr,
        path: &str,
        body: &T,
        timeout: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let bytes =
            serde_json::to_vec(body).map_err(|error| HttpError::NotConnected(error.to_string()))?;
        let mut request = build_request(Method::POST, path, Bytes::from(bytes))?;
        let json = header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        self.call(peer, request, timeout).await
    }
}

/// Builds a request without a `Host` header, which [`HttpClient::call`] adds.
fn build_request(
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(body))
        .map_err(|error| HttpError::NotConnected(error.to_string()))
}

/// Why an exchange returned no answer.
enum ExchangeError {
    /// The request was not written; holds the request, to send it again, and the reason.
    NotSent(Box<Request<Full<Bytes>>>, String),
    /// The request may have been written in whole or in part.
    Failed(HttpError),
}

impl From<HttpError> for ExchangeError {
    fn from(error: HttpError) -> Self {
        Self::Failed(error)
    }
}

async fn connect(
    peer: SocketAddr,
    guard: Option<WriteGuard>,
) -> Result<
    (
        http1::SendRequest<Full<Bytes>>,
        http1::Connection<TokioIo<CountedStream>, Full<Bytes>>,
    ),
    HttpError,
> {
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => HttpError::Refused,
            _ => HttpError::NotConnected(error.to_string()),
        })?;
    stream.set_nodelay(true).ok();
    http1::handshake(TokioIo::new(CountedStream::new(stream).with_guard(guard)))
        .await
        .map_err(|error| HttpError::NotConnected(error.to_string()))
}
