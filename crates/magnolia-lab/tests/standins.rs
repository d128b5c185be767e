//! Faults of the stand-ins and of the proxy, tested without daemons.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, Request};
use http_body_util::Full;
use magnolia_backing::{
    ExecuteAnswer, ExecuteCall, ExecutorClient, HttpExecutorClient, HttpLogService, LogService,
};
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use magnolia_lab::cell::CellLayout;
use magnolia_lab::history::HistoryWriter;
use magnolia_lab::proxy::{ProxyFaults, TcpProxy};
use magnolia_lab::standin::{StandinOptions, run_executors, run_log};
use magnolia_types::{LogOffset, Millis, RequestId};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a call that must get no answer.
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const PORT: usize = 9000;
const PROXY_PORT: usize = 9001;

async fn put(client: &HttpClient, address: SocketAddr, faults: &Value) {
    let request = Request::builder()
        .method(Method::PUT)
        .uri("/faults")
        .body(Full::from(faults.to_string()))
        .expect("a request");
    let answer = client
        .call(address, request, TIMEOUT)
        .await
        .expect("an answer");
    assert!(answer.status.is_success(), "{faults}");
}

/// Starts a stand-in for the log, waits until it answers and returns its address.
async fn start_log(client: &HttpClient) -> SocketAddr {
    let address = CellLayout::new().address(PORT);
    tokio::spawn(async move { run_log(address, &StandinOptions::default()).await.ok() });
    while client.get(address, "/faults", TIMEOUT).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    address
}

async fn read_all(log: &HttpLogService) -> (u64, Vec<String>) {
    let page = log
        .read("s", LogOffset::new(0), Millis::new(0), 100)
        .await
        .expect("a page");
    let records = page.records.iter();
    let records = records.map(|record| String::from_utf8_lossy(&record.data).into_owned());
    (page.first.get(), records.collect())
}

/// Guards against log faults with a wrong effect, which would make the tests of log outages and
/// lost answers meaningless.
#[tokio::test]
async fn log_faults_lose_answers_refuse_and_trim() {
    let client = HttpClient::new(PoolSettings::new());
    let address = start_log(&client).await;
    let log = HttpLogService::new(client.clone(), address);
    assert_eq!(log.append("s", "a".into()).await, Ok(LogOffset::new(0)));
    put(&client, address, &json!({"lose_answers_percent": 100})).await;
    let lost = log.append("s", "b".into()).await.expect_err("no answer");
    assert!(!lost.is_without_effect(), "{lost}");
    put(&client, address, &json!({"outage": "refuse"})).await;
    let refused = log.append("s", "c".into()).await.expect_err("a refusal");
    assert!(refused.is_without_effect(), "{refused}");
    put(&client, address, &json!({})).await;
    assert_eq!(read_all(&log).await, (0, vec!["a".into(), "b".into()]));
    put(&client, address, &json!({"foreign_percent": 100})).await;
    assert_eq!(
        log.append("s", "long record".into()).await,
        Ok(LogOffset::new(3))
    );
    assert_eq!(read_all(&log).await.1[2], "long ");
    put(&client, address, &json!({"retention_ms": 0})).await;
    assert_eq!(read_all(&log).await, (4, Vec::new()));
    put(&client, address, &json!({})).await;
    assert_eq!(log.append("s", "d".into()).await, Ok(LogOffset::new(4)));
}

/// Guards against an executor stand-in whose limits or faults do not work.
#[tokio::test]
async fn executor_counts_its_slots() {
    let layout = CellLayout::new();
    let document = layout.document(0, 0).expect("a document");
    let address = document.executor_blocks[0].executors[0].address;
    tokio::spawn(async move {
        run_executors(&document, &StandinOptions::default())
            .await
            .ok()
    });
    let client = HttpClient::new(PoolSettings::new());
    while client.get(address, "/faults", TIMEOUT).await.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    put(&client, address, &json!({"hang": true})).await;
    let executor = HttpExecutorClient::new(client.clone());
    let call = |remaining| ExecuteCall {
        request: RequestId::new("r").expect("a name"),
        body: "x".into(),
        remaining,
    };
    // A caller that gives up does not free the slot: the executor still runs the request.
    for _ in 0..8 {
        let short = call(Millis::new(50));
        assert!(executor.execute(address, &short).await.is_err());
    }
    let ninth = executor.execute(address, &call(Millis::from_secs(5))).await;
    assert!(matches!(ninth, Ok(ExecuteAnswer::NotRun(_))), "{ninth:?}");
    put(&client, address, &json!({"ignore_limits": true})).await;
    let ninth = executor.execute(address, &call(Millis::from_secs(5))).await;
    assert_eq!(ninth, Ok(ExecuteAnswer::Answered("answer to x".into())));
}

/// Guards against proxy faults with a wrong effect, on which the end-to-end tests rely.
#[tokio::test]
async fn proxy_refuses_drops_answers_and_silences_old_connections() {
    let client = HttpClient::new(PoolSettings::new());
    let target = start_log(&client).await;
    let listen = CellLayout::new().address(PROXY_PORT);
    let proxy = TcpProxy::start("p", listen, target, HistoryWriter::new())
        .await
        .expect("a proxy");
    let log = HttpLogService::new(client.clone(), listen);
    let get = || client.get(listen, "/faults", TIMEOUT);
    assert!(get().await.is_ok());
    proxy.set_faults(ProxyFaults::new_drop_answers());
    assert!(log.append("s", "a".into()).await.is_err());
    proxy.set_faults(ProxyFaults::default());
    assert_eq!(read_all(&log).await, (0, vec!["a".into()]));
    proxy.set_faults(ProxyFaults::new_refuse());
    // The listener is closed as soon as the proxy notices the fault.
    while get().await.map(drop) != Err(HttpError::Refused) {}
    proxy.set_faults(ProxyFaults::default());
    while get().await.is_err() {}
    // A proxy without a reachable target refuses connections, as the target itself would.
    let closed = CellLayout::new().address(PORT);
    let address = CellLayout::new().address(PROXY_PORT);
    let untargeted = TcpProxy::start("q", address, closed, HistoryWriter::new()).await;
    let _orphan = untargeted.expect("a proxy");
    while client.get(address, "/faults", TIMEOUT).await.map(drop) != Err(HttpError::Refused) {}
    let other = HttpClient::new(PoolSettings::new());
    proxy.black_hole_open_connections();
    let held = client.get(listen, "/faults", SHORT_TIMEOUT).await;
    assert!(matches!(held, Err(HttpError::Lost(_))), "{held:?}");
    assert!(other.get(listen, "/faults", TIMEOUT).await.is_ok());
}
