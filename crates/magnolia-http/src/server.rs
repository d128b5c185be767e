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
use tokio::net::{TcpListener, TcpStream};

use crate::traffic::CountedStream;

/// Body of a response.
pub type HttpBody = Full<Bytes>;
/// A request whose body has not been read yet.
pub type HttpRequest = Request<Incoming>;
/// A response with its complete body.
pub type HttpResponse = Response<HttpBody>;

/// Maximum time for the head of a request to arrive. It includes the wait for the request, so that
/// a connection that stays idle for this long is closed.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
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

/// Accepts and serves connections until a short time after `shutdown` completes, then waits for the
/// requests in flight.
///
/// Returns when all connections are closed or when `drain_limit`, which starts with that wait, has
/// passed. The result tells whether all connections were closed.
pub async fn serve(
    listener: TcpListener,
    handler: Arc<dyn HttpHandler>,
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
            Ok((stream, _)) => start_connection(stream, &handler, &closing, &graceful),
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
    stream: TcpStream,
    handler: &Arc<dyn HttpHandler>,
    closing: &Arc<AtomicBool>,
    graceful: &GracefulShutdown,
) {
    stream.set_nodelay(true).ok();
    let (handler, closing) = (Arc::clone(handler), Arc::clone(closing));
    let service = service_fn(move |request| {
        let (handler, closing) = (Arc::clone(&handler), Arc::clone(&closing));
        async move {
            let mut response = handler.handle(request).await;
            if closing.load(Ordering::SeqCst) {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, std::convert::Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .serve_connection(TokioIo::new(CountedStream::new(stream)), service);
    let watched = graceful.watch(connection);
    tokio::spawn(async move {
        // A connection that breaks needs no action of the server.
        watched.await.ok();
    });
}
