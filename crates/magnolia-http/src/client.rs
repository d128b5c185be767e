//! Client with a pool of connections for each peer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::pool::{PeerPool, PooledConnection};
use crate::{HttpError, PoolSettings};

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// Fails when the body is not the JSON form of `T`.
    pub fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, HttpError> {
        serde_json::from_slice(&self.body).map_err(|error| HttpError::Malformed(error.to_string()))
    }
}

/// HTTP/1.1 client; cheap to clone, clones share the pools.
#[derive(Clone)]
pub struct HttpClient {
    settings: PoolSettings,
    peers: Arc<Mutex<HashMap<SocketAddr, PeerPool>>>,
}

impl HttpClient {
    /// Creates a client without connections.
    pub fn new(settings: PoolSettings) -> Self {
        Self {
            settings,
            peers: Arc::default(),
        }
    }

    /// Sends a request and waits for the whole answer, at most `limit`.
    ///
    /// # Errors
    ///
    /// Fails when no connection opens or no whole answer comes in time; the error tells whether
    /// the request can have reached the peer.
    pub async fn call(
        &self,
        peer: SocketAddr,
        mut request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let started = Instant::now();
        let host = header::HeaderValue::from_str(&peer.to_string())
            .map_err(|error| HttpError::NotConnected(error.to_string()))?;
        request.headers_mut().insert(header::HOST, host);
        let mut connection = self.connection(peer, limit).await?;
        let remaining = limit.saturating_sub(started.elapsed());
        let exchange = exchange(&mut connection, request, self.settings.max_answer_bytes);
        match timeout(remaining, exchange).await {
            Ok(Ok(answer)) => {
                self.keep(peer, connection);
                Ok(answer)
            }
            Ok(Err(error)) => Err(error),
            Err(_) => {
                self.distrust(peer, connection.opened);
                Err(HttpError::Lost(format!(
                    "timeout after {} ms",
                    limit.as_millis()
                )))
            }
        }
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
        limit: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        self.call(peer, build_request(Method::GET, path, Bytes::new())?, limit)
            .await
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
        limit: Duration,
    ) -> Result<HttpAnswer, HttpError> {
        let bytes =
            serde_json::to_vec(body).map_err(|error| HttpError::NotConnected(error.to_string()))?;
        let mut request = build_request(Method::POST, path, Bytes::from(bytes))?;
        let json = header::HeaderValue::from_static("application/json");
        request.headers_mut().insert(header::CONTENT_TYPE, json);
        self.call(peer, request, limit).await
    }

    /// Gives up every connection to `peer` opened up to `opened`.
    pub fn distrust(&self, peer: SocketAddr, opened: Instant) {
        self.with_pool(peer, |pool| pool.distrust(opened));
    }

    fn keep(&self, peer: SocketAddr, connection: PooledConnection) {
        self.with_pool(peer, |pool| pool.put(connection, &self.settings));
    }

    fn with_pool<T>(&self, peer: SocketAddr, action: impl FnOnce(&mut PeerPool) -> T) -> T {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        action(peers.entry(peer).or_default())
    }

    async fn connection(
        &self,
        peer: SocketAddr,
        limit: Duration,
    ) -> Result<PooledConnection, HttpError> {
        while let Some(mut connection) =
            self.with_pool(peer, |pool| pool.take(self.settings.max_age))
        {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let bound = self.settings.connect_timeout.min(limit);
        match timeout(bound, open(peer)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::NotConnected("connect timeout".into())),
        }
    }
}

/// Builds a request without a host.
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

async fn open(peer: SocketAddr) -> Result<PooledConnection, HttpError> {
    let opened = Instant::now();
    let stream = TcpStream::connect(peer)
        .await
        .map_err(|error| match error.kind() {
            std::io::ErrorKind::ConnectionRefused => HttpError::Refused,
            _ => HttpError::NotConnected(error.to_string()),
        })?;
    stream.set_nodelay(true).ok();
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| HttpError::NotConnected(error.to_string()))?;
    tokio::spawn(async move {
        // The caller learns of a broken connection through its own request.
        connection.await.ok();
    });
    Ok(PooledConnection { sender, opened })
}

async fn exchange(
    connection: &mut PooledConnection,
    request: Request<Full<Bytes>>,
    max_bytes: usize,
) -> Result<HttpAnswer, HttpError> {
    let response = connection
        .sender
        .send_request(request)
        .await
        .map_err(|error| send_error(&error))?;
    let (parts, body) = response.into_parts();
    let collected = Limited::new(body, max_bytes)
        .collect()
        .await
        .map_err(
            |error| match error.downcast_ref::<http_body_util::LengthLimitError>() {
                Some(_) => HttpError::TooLarge { limit: max_bytes },
                None => HttpError::Lost(error.to_string()),
            },
        )?;
    Ok(HttpAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.to_bytes(),
    })
}

/// Tells a request that never left this process from one that may have arrived.
fn send_error(error: &hyper::Error) -> HttpError {
    if error.is_canceled() {
        HttpError::NotConnected(error.to_string())
    } else {
        HttpError::Lost(error.to_string())
    }
}
