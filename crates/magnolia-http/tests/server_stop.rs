//! Tests of the server's shutdown.

use std::io::{Read, Write};
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use magnolia_http::{HttpHandler, HttpRequest, HttpResponse, json_response, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;

struct PathEcho;

impl HttpHandler for PathEcho {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        Box::pin(async move { json_response(200, &request.uri().path()) })
    }
}

/// Guards against a shutdown that closes a connection whose request is already on its way: the
/// server must answer the request with a `Connection: close` header. The runtime has one thread, so
/// the server sees the connection, the request and the shutdown all at once.
#[tokio::test]
async fn request_on_its_way_at_the_stop_is_answered() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (stop, stopped) = oneshot::channel::<()>();
    let stopped = async {
        stopped.await.ok();
    };
    let limit = Duration::from_secs(10);
    let server = tokio::spawn(serve(listener, Arc::new(PathEcho), stopped, limit));
    let mut stream = std::net::TcpStream::connect(address).expect("a connection");
    let request = b"GET /last HTTP/1.1\r\nhost: test\r\n\r\n";
    stream.write_all(request).expect("a request");
    stop.send(()).expect("a server");
    assert!(server.await.expect("a server"));
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    assert!(answer.contains("/last"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}
