//! HTTP/1.1 server that completes the requests in flight before it stops.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

use crate::client_guard::{ClientGuard, ConnectionLimits, ConnectionPhase};
use crate::client_stream::ClientStream;
use crate::traffic::CountedStream;

/// Body of a response.
pub type HttpBody = Full<Bytes>;
/// A request whose body has not been read yet.
pub type HttpRequest = Request<Incoming>;
/// A response with its complete body.
pub type HttpResponse = Response<HttpBody>;

/// Part of a read buffer beyond the longest head: what has arrived of the body. The server needs a
/// buffer of this size at least.
const BODY_BUFFER_BYTES: usize = 8 << 10;
/// Time after the start of the shutdown in which requests that are already on their way are still
/// answered, with a `Connection: close` header. If connections were closed at once, these requests
/// would be lost unread.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Delay after a failed accept, which prevents a busy loop while the process has no free file
/// descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handles the requests that a server receives.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request and returns the response.
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse>;
}

/// Limits of a listener.
#[derive(Clone)]
pub struct ServerSettings {
    /// Bounds on all clients together.
    pub guard: Arc<ClientGuard>,
    /// Returns the limits of a new connection.
    pub limits: Arc<dyn Fn() -> ConnectionLimits + Send + Sync>,
}

impl ServerSettings {
    /// Creates settings with the default limits of a connection.
    pub fn new(guard: Arc<ClientGuard>) -> Self {
        Self {
            guard,
            limits: Arc::new(ConnectionLimits::default),
        }
    }

    /// Sets where the limits of a new connection come from.
    #[must_use]
    pub fn with_limits(
        mut self,
        limits: impl Fn() -> ConnectionLimits + Send + Sync + 'static,
    ) -> Self {
        self.limits = Arc::new(limits);
        self
    }
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self::new(ClientGuard::new(
            ClientGuard::DEFAULT_MEMORY_BYTES,
            ClientGuard::DEFAULT_CONNECTIONS,
        ))
    }
}

/// Serves with default limits; see [`serve_with`].
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    shutdown: impl Future<Output = ()>,
    drain_limit: Duration,
) -> bool {
    let settings = ServerSettings::default();
    serve_with(listener, handler, settings, shutdown, drain_limit).await
}

/// Accepts and serves connections until a short time after `shutdown` completes, then waits for the
/// requests in flight.
///
/// Returns when all connections are closed or when `drain_limit`, which starts with that wait, has
/// passed. The result tells whether all connections were closed.
pub async fn serve_with(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    settings: ServerSettings,
    shutdown: impl Future<Output = ()>,
    drain_limit: Duration,
) -> bool {
    let graceful = GracefulShutdown::new();
    let closing = Arc::new(AtomicBool::new(false));
    let linger = async {
        shutdown.await;
        closing.store(true, Ordering::SeqCst);
        tokio::time::sleep(LINGER_TIME).await;
    };
    tokio::pin!(linger);
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = &mut linger => break,
        };
        match accepted {
            Ok((stream, _)) => {
                // A refused connection is closed by dropping it.
                if let Some(client) = settings.guard.admit().await {
                    stream.set_nodelay(true).ok();
                    let limits = (settings.limits)();
                    let stream = ClientStream::new(CountedStream::new(stream), client, limits);
                    start_connection(stream, limits, &handler, &closing, &graceful);
                }
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    drop(listener);
    // The first request on a connection that was just accepted may still be on its way.
    tokio::time::sleep(LINGER_TIME).await;
    tokio::time::timeout(drain_limit, graceful.shutdown())
        .await
        .is_ok()
}

fn start_connection(
    stream: ClientStream,
    limits: ConnectionLimits,
    handler: &Arc<dyn HttpHandler>,
    closing: &Arc<AtomicBool>,
    graceful: &GracefulShutdown,
) {
    let client = stream.client().clone();
    let state = Arc::clone(client.state());
    let (handler, closing) = (Arc::clone(handler), Arc::clone(closing));
    let service = service_fn(move |mut request: HttpRequest| {
        let (handler, closing) = (Arc::clone(&handler), Arc::clone(&closing));
        let client = client.clone();
        client.state().set_phase(ConnectionPhase::Serving);
        request.extensions_mut().insert(client.clone());
        request.extensions_mut().insert(limits);
        async move {
            let mut response = handler.handle(request).await;
            if closing.load(Ordering::SeqCst) {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            client.state().set_phase(ConnectionPhase::Idle);
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.saturating_add(BODY_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        tokio::select! {
            // A connection that breaks needs no action of the server.
            _ = watched => {}
            () = state.evicted() => {}
        }
    });
}
