//! Server that finishes the requests in flight before it stops.

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
/// A request as it arrives.
pub type HttpRequest = Request<Incoming>;
/// A whole response.
pub type HttpResponse = Response<HttpBody>;

/// Longest time for the head of a request to arrive.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after the shutdown in which requests that are already on their way are still answered, each
/// with an announcement that its connection closes. Closing at once would cut them off unread.
const LINGER: Duration = Duration::from_millis(500);
/// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse>;
}

/// Serves connections until a short time after `shutdown` completes, then lets the requests in
/// flight end.
///
/// Returns when all connections are closed or `drain_limit` has passed; tells whether all closed.
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
        tokio::time::sleep(LINGER).await;
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
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    drop(listener);
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
        // A caller that breaks its connection is not an event of the server.
        watched.await.ok();
    });
}
