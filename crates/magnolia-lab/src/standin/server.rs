//! HTTP server of the stand-ins: counts connections, and can drop or withhold responses.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::HeaderMap;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use magnolia_http::{HttpRequest, HttpResponse, read_body};
use tokio::net::{TcpListener, TcpStream};

use super::StandinError;
use crate::history::monotonic_us;

/// Largest request body in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;
/// Delay after a failed accept. Without it, a lack of file descriptors causes a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request with its whole body.
pub struct StandinRequest {
    /// Method.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query string.
    pub query: Option<String>,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// How the server reacts to a request.
pub enum StandinReply {
    /// It sends a response.
    Answer(Box<HttpResponse>),
    /// It closes the connection without a response.
    Drop,
    /// It never responds and leaves the connection open.
    Hold,
}

impl From<HttpResponse> for StandinReply {
    fn from(response: HttpResponse) -> Self {
        Self::Answer(Box::new(response))
    }
}

/// Request handler of the stand-in at one address.
pub trait StandinHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: StandinRequest) -> BoxFuture<'static, StandinReply>;

    /// Receives the number of open connections after each change. When one was opened, `false`
    /// closes it at once.
    fn set_open_connections(&self, _open: u32) -> bool {
        true
    }

    /// Returns whether connections opened at this time no longer get responses.
    fn is_silent(&self, _opened_us: u64) -> bool {
        false
    }
}

/// Serves one address until the process ends.
pub async fn serve_forever(
    address: SocketAddr,
    handler: Arc<dyn StandinHandler>,
) -> Result<(), StandinError> {
    let listener = TcpListener::bind(address).await?;
    let open = Arc::new(AtomicU32::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let (handler, open) = (Arc::clone(&handler), Arc::clone(&open));
        let count = open.fetch_add(1, Ordering::SeqCst) + 1;
        let is_allowed = handler.set_open_connections(count);
        tokio::spawn(async move {
            if is_allowed {
                serve_connection(stream, Arc::clone(&handler)).await;
            }
            let count = open.fetch_sub(1, Ordering::SeqCst) - 1;
            handler.set_open_connections(count);
        });
    }
}

async fn serve_connection(stream: TcpStream, handler: Arc<dyn StandinHandler>) {
    stream.set_nodelay(true).ok();
    let opened_us = monotonic_us();
    let service = service_fn(move |request| {
        let handler = Arc::clone(&handler);
        async move { respond(handler, request, opened_us).await }
    });
    // Errors are ignored: a client that breaks its connection is no event of the stand-in.
    http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await
        .ok();
}

async fn respond(
    handler: Arc<dyn StandinHandler>,
    request: HttpRequest,
    opened_us: u64,
) -> std::io::Result<HttpResponse> {
    let (parts, body) = request.into_parts();
    let body = read_body(body, MAX_BODY_BYTES)
        .await
        .map_err(|code| std::io::Error::other(code.name()))?;
    // Calls to `/faults` are always answered, so that the lab can clear the fault again.
    let is_silent = {
        let (handler, is_control) = (Arc::clone(&handler), parts.uri.path() == "/faults");
        move || !is_control && handler.is_silent(opened_us)
    };
    if is_silent() {
        return std::future::pending().await;
    }
    let request = StandinRequest {
        method: parts.method.to_string(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().map(str::to_owned),
        headers: parts.headers,
        body,
    };
    match handler.handle(request).await {
        // The connection may have become silent while the request was handled.
        StandinReply::Answer(_) if is_silent() => std::future::pending().await,
        StandinReply::Answer(response) => Ok(*response),
        StandinReply::Drop => Err(std::io::Error::other("a fault drops the response")),
        StandinReply::Hold => std::future::pending().await,
    }
}
