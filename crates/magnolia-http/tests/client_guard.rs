//! Tests of the account of what clients hold: it stays within its bound, and everything is given back.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{BoxFuture, join_all};
use http_body_util::Full;
use magnolia_bench::property_test;
use magnolia_http::{
    BodyError, ClientGuard, ConnectionLimits, HttpHandler, HttpRequest, HttpResponse,
    ServerSettings, read_held_body, serve_with,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::time::timeout;

/// Memory of the guard, in bytes.
const MEMORY: u64 = 400_000;
/// Connections that the guard allows.
const CONNECTIONS: usize = 16;
/// Longest body, in bytes.
const BODY_LIMIT: usize = 64 << 10;
/// Time for anything that has to happen.
const TIMEOUT: Duration = Duration::from_secs(20);

/// Answers with the length of the body.
struct LengthEcho;

impl HttpHandler for LengthEcho {
    fn handle(self: Arc<Self>, request: HttpRequest) -> BoxFuture<'static, HttpResponse> {
        async move {
            let (parts, body) = request.into_parts();
            let (status, text) = match read_held_body(body, &parts.extensions, BODY_LIMIT).await {
                Ok(held) => (200, held.bytes().len().to_string()),
                Err(BodyError::TooLarge) => (413, String::new()),
                Err(BodyError::TooSlow) => (408, String::new()),
                Err(BodyError::NoMemory) => (503, String::new()),
                Err(BodyError::CutShort) => (400, String::new()),
            };
            let mut response = http::Response::new(Full::new(Bytes::from(text)));
            *response.status_mut() = http::StatusCode::from_u16(status).expect("valid");
            response
        }
        .boxed()
    }
}

async fn start(limits: ConnectionLimits) -> (SocketAddr, Arc<ClientGuard>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let guard = ClientGuard::new(MEMORY, CONNECTIONS);
    let settings = ServerSettings::new(Arc::clone(&guard)).with_limits(move || limits);
    let never = std::future::pending();
    tokio::spawn(serve_with(
        listener,
        Arc::new(LengthEcho),
        settings,
        never,
        TIMEOUT,
    ));
    (address, guard)
}

/// Sends bytes and stays connected.
async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may close the connection or read no further.
    timeout(Duration::from_millis(200), stream.write_all(bytes))
        .await
        .ok();
    stream
}

/// Sends a request and returns the first line of the answer.
async fn ask(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = send(address, bytes).await;
    let mut answer = vec![0; 1024];
    let read = timeout(TIMEOUT, stream.read(&mut answer)).await;
    let length = read.expect("an answer in time").unwrap_or(0);
    let text = String::from_utf8_lossy(&answer[..length]).into_owned();
    text.lines().next().unwrap_or_default().to_owned()
}

async fn check_ordinary(address: SocketAddr) {
    let request = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc";
    assert_eq!(ask(address, request).await, "HTTP/1.1 200 OK");
}

/// Waits until the guard holds nothing.
async fn check_given_back(guard: &ClientGuard) {
    let given_back = async {
        while guard.memory_used() > 0 || guard.open_connections() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, given_back)
        .await
        .expect("everything is given back");
}

/// Defines a test in which a crowd sends `$bytes` and stays connected.
macro_rules! crowd_test {
    ($(#[$meta:meta])* $name:ident, $bytes:expr) => {
        $(#[$meta])*
        #[tokio::test]
        async fn $name() {
            let (address, guard) = start(ConnectionLimits::default()).await;
            let bytes: Vec<u8> = $bytes;
            let crowd = join_all((0..40).map(|_| send(address, &bytes))).await;
            assert!(guard.memory_used() <= MEMORY);
            assert!(guard.open_connections() <= CONNECTIONS);
            check_ordinary(address).await;
            assert!(guard.counts().total() > 0, "nobody was refused");
            drop(crowd);
            check_given_back(&guard).await;
        }
    };
}

const CHUNKED: &str = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

crowd_test!(
    /// Guards against the extensions of a chunk that have no end.
    chunk_extensions_without_end_are_bounded,
    format!("{CHUNKED}1;{}", "x".repeat(300_000)).into_bytes()
);
crowd_test!(
    /// Guards against the size of a chunk that has no end.
    chunk_sizes_without_end_are_bounded,
    format!("{CHUNKED}{}", "0".repeat(300_000)).into_bytes()
);
crowd_test!(
    /// Guards against trailers that have no end.
    trailers_without_end_are_bounded,
    format!("{CHUNKED}0\r\n{}", "X-Trailer: y\r\n".repeat(20_000)).into_bytes()
);
crowd_test!(
    /// Guards against pipelined requests whose answers nobody reads.
    pipelined_requests_are_bounded,
    b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".repeat(20_000)
);
crowd_test!(
    /// Guards against announced lengths that are counted before a byte has come, and connections that
    /// hold their place with them.
    announced_lengths_cost_nothing,
    b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n".to_vec()
);

/// Guards against a head, a body or an idle connection that stands still for ever.
#[tokio::test]
async fn clients_that_stand_still_are_given_up() {
    let short = Duration::from_millis(100);
    let limits = ConnectionLimits {
        head_timeout: short,
        idle_timeout: short * 2,
        body_stall_timeout: short,
        ..ConnectionLimits::default()
    };
    let (address, guard) = start(limits).await;
    let head = send(address, b"GET / HT").await;
    let idle = send(address, b"").await;
    let body = ask(
        address,
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc",
    )
    .await;
    assert_eq!(body, "HTTP/1.1 408 Request Timeout");
    check_given_back(&guard).await;
    assert!(guard.counts().timeouts >= 2, "{:?}", guard.counts());
    drop((head, idle));
}

/// Guards against a body that trickles in, a byte at a time, and holds its memory for ever.
#[tokio::test]
async fn a_body_that_trickles_in_is_given_up() {
    let limits = ConnectionLimits {
        body_stall_timeout: Duration::from_millis(200),
        body_timeout: Duration::from_millis(400),
        ..ConnectionLimits::default()
    };
    let (address, guard) = start(limits).await;
    let head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n\r\n";
    let mut stream = send(address, head).await;
    let trickle = async {
        while stream.write_all(b"x").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, trickle)
        .await
        .expect("the connection is closed");
    check_given_back(&guard).await;
}

/// Guards against a refused request that is answered with success, and a legal one that is refused in
/// calm.
#[tokio::test]
async fn limits_are_exact() {
    let (address, _guard) = start(ConnectionLimits::default()).await;
    for (length, status) in [
        (BODY_LIMIT, "200 OK"),
        (BODY_LIMIT + 1, "413 Payload Too Large"),
    ] {
        let mut request =
            format!("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n").into_bytes();
        request.resize(request.len() + length, b'x');
        assert_eq!(ask(address, &request).await, format!("HTTP/1.1 {status}"));
    }
    for (length, status) in [
        (16_000, "200 OK"),
        (40_000, "431 Request Header Fields Too Large"),
    ] {
        let field = "x".repeat(length);
        let request = format!("GET / HTTP/1.1\r\nHost: a\r\nX: {field}\r\n\r\n");
        assert_eq!(
            ask(address, request.as_bytes()).await,
            format!("HTTP/1.1 {status}")
        );
    }
}

/// Pieces of requests; joined, they are nearly valid.
const PIECES: [&str; 12] = [
    "POST / HTTP/1.1\r\n",
    "GET / HTTP/1.1\r\n",
    "Host: a\r\n",
    "\r\n",
    "Content-Length: 5\r\n",
    "Transfer-Encoding: chunked\r\n",
    "5\r\nabcde\r\n",
    "0\r\n\r\n",
    "ffffffff\r\n",
    "Expect: 100-continue\r\n",
    "Content-Length: 99999999999999999999\r\n",
    "X: ",
];
/// Inputs of the short form that CI plays.
const INPUTS: u64 = 300;

/// Joins pieces, and noise where a number names none.
fn join_pieces(pieces: &[u8], noise: &[u8]) -> Vec<u8> {
    let piece = |number: &u8| {
        let known = PIECES.get(usize::from(*number) % (PIECES.len() + 1));
        known.map_or(noise, |piece| piece.as_bytes())
    };
    pieces.iter().flat_map(piece).copied().collect()
}

/// Guards against input that ends the server, or that it never gives back.
#[test]
fn any_bytes_leave_the_account_intact() {
    static SERVER: OnceLock<(Runtime, SocketAddr, Arc<ClientGuard>)> = OnceLock::new();
    fn property(pieces: Vec<u8>, noise: Vec<u8>) -> bool {
        let (runtime, address, guard) = SERVER.get_or_init(|| {
            let runtime = Runtime::new().expect("a runtime");
            let (address, guard) = runtime.block_on(start(ConnectionLimits::default()));
            (runtime, address, guard)
        });
        runtime.block_on(async {
            drop(send(*address, &join_pieces(&pieces, &noise)).await);
            check_ordinary(*address).await;
            check_given_back(guard).await;
        });
        true
    }
    let inputs = std::env::var("FUZZ_INPUTS").ok();
    let inputs = inputs.and_then(|text| text.parse().ok()).unwrap_or(INPUTS);
    property_test(inputs).quickcheck(property as fn(Vec<u8>, Vec<u8>) -> bool);
}
