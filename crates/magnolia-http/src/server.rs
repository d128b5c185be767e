//! Server that finishes the requests in flight before it stops.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

/// Body of a response.
pub type HttpBody = Full<Bytes>;
/// A request as it arrives.
pub type HttpRequest = Request<Incoming>;
/// A whole response.
pub type HttpResponse = Response<HttpBody>;

/// Longest time for the head of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse>;
}

/// Serves connections until `shutdown` completes, then lets the requests in flight end.
///
/// Returns when all connections are closed or `drain_limit` has passed; tells whether all closed.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
    shutdown: impl Future<Output = ()>,
    drain_limit: Duration,
) -> bool {
    let graceful = GracefulShutdown::new();
    tokio::pin!(shutdown);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut shutdown => break,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        stream.set_nodelay(true).ok();
        let handler = Arc::clone(&handler);
        let service = service_fn(move |request| {
            let handler = Arc::clone(&handler);
            async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEADER_TIMEOUT)
            .serve_connection(TokioIo::new(stream), service);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // A caller that breaks its connection is not an event of the server.
            watched.await.ok();
        });
    }
    drop(listener);
    tokio::time::timeout(drain_limit, graceful.shutdown())
        .await
        .is_ok()
}
