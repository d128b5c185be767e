//! Tests of the client's connections against servers that misbehave.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use support::{Step, start};

/// Time limit of a call that is expected to succeed.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time limit of a call that is expected to fail.
const SHORT: Duration = Duration::from_millis(100);

fn client() -> HttpClient {
    HttpClient::new(PoolSettings::new())
}

/// Waits until the client has noticed that all its connections to the peer are closed.
async fn until_closed(client: &HttpClient, peer: std::net::SocketAddr) {
    while client.open_connections(peer) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against calls that fail one after another on connections that stopped working together:
/// after the first failure, the other old connections are discarded and a new one is opened.
#[tokio::test]
async fn silent_connection_discards_older_ones() {
    let script = |connection, request| match (connection, request) {
        (0..4, 1..) => Step::Silent,
        (0..4, 0) => Step::Late(Duration::from_millis(50)),
        _ => Step::Answer,
    };
    let (peer, counts) = start(Arc::new(script)).await;
    let client = client();
    let first = join_all((0..4).map(|_| client.get(peer, "/warm", TIMEOUT))).await;
    assert!(first.iter().all(Result::is_ok));
    assert_eq!(counts.accepted(), 4);
    let lost = client.get(peer, "/lost", SHORT).await;
    assert!(matches!(lost, Err(HttpError::Lost(_))), "{lost:?}");
    let answer = client.get(peer, "/next", TIMEOUT).await.expect("an answer");
    assert_eq!(answer.body, "/next");
    assert_eq!(counts.accepted(), 5);
}

/// Guards against a long call on a dead network path that lets other calls fail on the same path:
/// older connections are discarded at the progress deadline, not at the end of the call.
#[tokio::test]
async fn missing_progress_discards_older_connections_before_the_deadline() {
    let script = |connection, request| match (connection, request) {
        (0..2, 1..) => Step::Silent,
        (0..2, 0) => Step::Late(Duration::from_millis(50)),
        _ => Step::Answer,
    };
    let (peer, counts) = start(Arc::new(script)).await;
    let mut settings = PoolSettings::new().with_progress_deadline(SHORT);
    // Keeps the idle connection from being closed because of its idle time.
    settings.max_idle_time = Duration::from_secs(600);
    let client = HttpClient::new(settings);
    join_all((0..2).map(|_| client.get(peer, "/warm", TIMEOUT))).await;
    let stuck = tokio::spawn({
        let client = client.clone();
        async move { client.get(peer, "/stuck", Duration::from_secs(3600)).await }
    });
    // The connection in use stays open, the idle one is closed.
    let dropped = async {
        while client.open_connections(peer) > 1 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let dropped = tokio::time::timeout(TIMEOUT, dropped).await;
    dropped.expect("the idle connection is dropped");
    let answer = client.get(peer, "/next", TIMEOUT).await.expect("an answer");
    assert_eq!(answer.body, "/next");
    assert_eq!(counts.accepted(), 3);
    assert!(!stuck.is_finished());
    stuck.abort();
}

/// Guards against calls that fail because the peer closed a connection while it was idle.
#[tokio::test]
async fn closed_idle_connection_is_replaced() {
    let (peer, counts) = start(Arc::new(|_, _| Step::AnswerAndClose)).await;
    let client = client();
    for _ in 0..3 {
        client.get(peer, "/a", TIMEOUT).await.expect("an answer");
        until_closed(&client, peer).await;
    }
    assert_eq!(counts.accepted(), 3);
}

/// Guards against a request that is reported as not sent although the peer read it before it closed
/// the connection.
#[tokio::test]
async fn request_read_by_the_peer_is_never_reported_as_not_sent() {
    let script = |_, request| {
        if request == 0 {
            Step::Answer
        } else {
            Step::Close
        }
    };
    let (peer, counts) = start(Arc::new(script)).await;
    let client = client();
    client.get(peer, "/a", TIMEOUT).await.expect("an answer");
    let error = client
        .get(peer, "/b", TIMEOUT)
        .await
        .expect_err("no answer");
    assert!(!error.is_not_sent(), "{error}");
    // The client must not repeat the request on another connection either.
    assert_eq!(counts.requests(), 2);
}

/// Guards against an answer that arrives after its call has ended and is delivered to another call.
#[tokio::test]
async fn late_answer_never_reaches_another_request() {
    let script = |connection, _| match connection {
        0 => Step::Late(Duration::from_millis(200)),
        _ => Step::Answer,
    };
    let (peer, _) = start(Arc::new(script)).await;
    let client = client();
    let lost = client.get(peer, "/late", SHORT).await;
    assert!(matches!(lost, Err(HttpError::Lost(_))), "{lost:?}");
    for index in 0..20 {
        let path = format!("/{index}");
        let answer = client.get(peer, &path, TIMEOUT).await.expect("an answer");
        assert_eq!(answer.body, path);
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// Guards against more connections to a peer, in use and idle, than the limit allows.
#[tokio::test]
async fn connections_stay_within_the_limit() {
    let script = |_, _| Step::Late(Duration::from_millis(5));
    let (peer, counts) = start(Arc::new(script)).await;
    let client = client();
    client.set_limit(peer, Some(3));
    let calls = (0..60).map(|_| client.get(peer, "/a", TIMEOUT));
    let answers = join_all(calls).await;
    assert!(answers.iter().all(Result::is_ok));
    assert!(counts.most_open.load(Ordering::SeqCst) <= 3);
}

/// Checks that the test above can fail: without the limit, the server counts more than 3 open
/// connections.
#[tokio::test]
async fn connections_without_a_limit_exceed_it() {
    let script = |_, _| Step::Late(Duration::from_millis(50));
    let (peer, counts) = start(Arc::new(script)).await;
    let client = client();
    join_all((0..60).map(|_| client.get(peer, "/a", TIMEOUT))).await;
    assert!(counts.most_open.load(Ordering::SeqCst) > 3);
}

/// Guards against a request that is reported as possibly sent although its call never got a
/// connection.
#[tokio::test]
async fn call_without_a_free_connection_is_not_sent() {
    let (peer, counts) = start(Arc::new(|_, _| Step::Silent)).await;
    let client = client();
    client.set_limit(peer, Some(1));
    let stuck = client.get(peer, "/stuck", TIMEOUT);
    let waiting = async {
        while counts.requests() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        client.get(peer, "/waiting", SHORT).await
    };
    let error = tokio::select! {
        _ = stuck => panic!("the server never answers"),
        result = waiting => result.expect_err("no connection"),
    };
    assert!(error.is_not_sent(), "{error}");
    assert_eq!(counts.requests(), 1);
}

/// Guards against connections that are reused without end and so never move to a new network path.
#[tokio::test]
async fn old_connections_are_not_used_again() {
    let (peer, counts) = start(Arc::new(|_, _| Step::Answer)).await;
    let age = Duration::from_millis(20);
    let client = HttpClient::new(PoolSettings::new().with_max_age(age));
    for _ in 0..3 {
        client.get(peer, "/a", TIMEOUT).await.expect("an answer");
        tokio::time::sleep(age).await;
    }
    assert_eq!(counts.accepted(), 3);
}

/// Guards against memory use that grows with every peer that was ever called.
#[tokio::test]
async fn gone_peer_is_forgotten() {
    let (peer, _) = start(Arc::new(|_, _| Step::Answer)).await;
    let client = client();
    client.set_limit(peer, Some(2));
    client.get(peer, "/a", TIMEOUT).await.expect("an answer");
    assert_eq!(client.known_peers(), 1);
    client.forget(peer);
    until_closed(&client, peer).await;
    assert_eq!(client.known_peers(), 0);
}

/// Guards against an incomplete answer that is returned as a complete one.
#[tokio::test]
async fn partial_answer_is_not_delivered() {
    let (peer, _) = start(Arc::new(|_, _| Step::Partial)).await;
    let error = client().get(peer, "/a", TIMEOUT).await.expect_err("a part");
    assert!(matches!(error, HttpError::Lost(_)), "{error}");
}
