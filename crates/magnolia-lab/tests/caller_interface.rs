//! Interface for callers: invalid input is refused with the right code and without effect.

mod common;

use std::net::SocketAddr;

use bytes::Bytes;
use common::{TIMEOUT, cell, wait_partitions};
use http::{Method, Request};
use http_body_util::Full;
use magnolia_backing::{LogPage, ReadAnswer};
use magnolia_http::HttpAnswer;
use magnolia_lab::cell::RunningCell;
use magnolia_lab::history::HistoryEvent;
use magnolia_types::ResultCode;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Marks work of which no trace may exist after its refusal.
const MARKER: &str = "leave-nothing-behind";
/// Size of a body in bytes, one more than the limit.
const TOO_LARGE: usize = (256 << 10) + 1;

/// A call that is refused.
struct RefusalCase {
    name: &'static str,
    method: Method,
    path: &'static str,
    body: Vec<u8>,
    code: ResultCode,
    message: &'static str,
}

/// Returns a valid quick request with some fields replaced; null removes a field.
fn quick(changes: Value) -> Vec<u8> {
    let base = json!({
        "customer": "board", "class": "quick", "deadline_ms": 1000, "body": MARKER,
    });
    merged(base, changes)
}

/// Returns a valid job with some fields replaced; null removes a field.
fn job(changes: Value) -> Vec<u8> {
    let base = json!({
        "customer": "board", "class": "batch", "kind": "batch", "tasks": 1,
        "size": {"cpu_millis": 100, "memory_mib": 64}, "idempotency_key": MARKER,
    });
    merged(base, changes)
}

fn merged(mut base: Value, changes: Value) -> Vec<u8> {
    for (name, value) in changes.as_object().expect("an object") {
        base[name] = value.clone();
    }
    let fields = base.as_object_mut().expect("an object");
    fields.retain(|_, value| !value.is_null());
    base.to_string().into_bytes()
}

macro_rules! refusal_cases {
    ($($name:ident: $method:ident $path:literal, $body:expr => $code:ident, $message:literal;)*) => {
        fn refusal_cases() -> Vec<RefusalCase> {
            vec![$(RefusalCase {
                name: stringify!($name),
                method: Method::$method,
                path: $path,
                body: $body,
                code: ResultCode::$code,
                message: $message,
            },)*]
        }
    };
}

refusal_cases! {
    oversized: POST "/v1/requests", quick(json!({"body": "x".repeat(TOO_LARGE)})) => BodyTooLarge, "262144";
    empty_body: POST "/v1/requests", Vec::new() => BadRequest, "EOF";
    half_json: POST "/v1/jobs", job(json!({}))[..40].to_vec() => BadRequest, "EOF";
    not_utf8: POST "/v1/requests", b"{\"customer\": \"\xff\xfe\"}".to_vec() => BadRequest, "unicode";
    wrong_type: POST "/v1/requests", quick(json!({"deadline_ms": "soon"})) => BadRequest, "soon";
    unknown_field: POST "/v1/requests", quick(json!({"priority": 1})) => BadRequest, "priority";
    unknown_job_field: POST "/v1/jobs", job(json!({"gpu": 1})) => BadRequest, "gpu";
    unknown_size_field: POST "/v1/jobs",
        job(json!({"size": {"cpu_millis": 1, "memory_mib": 1, "disk": 1}})) => BadRequest, "disk";
    missing_field: POST "/v1/jobs", job(json!({"tasks": null})) => BadRequest, "tasks";
    negative_tasks: POST "/v1/jobs", job(json!({"tasks": -1})) => BadRequest, "-1";
    no_tasks: POST "/v1/jobs", job(json!({"tasks": 0})) => BadRequest, "allowed: 1 to";
    too_many_tasks: POST "/v1/jobs", job(json!({"tasks": 4_000_000})) => BadRequest, "allowed: 1 to";
    no_cpu: POST "/v1/jobs", job(json!({"size": {"cpu_millis": 0, "memory_mib": 1}}))
        => BadRequest, "size.cpu_millis";
    no_memory: POST "/v1/jobs", job(json!({"size": {"cpu_millis": 1, "memory_mib": 0}}))
        => BadRequest, "size.memory_mib";
    no_run_time: POST "/v1/jobs", job(json!({"run_ms": 0})) => BadRequest, "run_ms";
    no_attempts: POST "/v1/jobs", job(json!({"max_attempts": 0})) => BadRequest, "max_attempts";
    unknown_kind: POST "/v1/jobs", job(json!({"kind": "cron"})) => BadRequest, "cron";
    never_fits: POST "/v1/jobs", job(json!({
        "idempotency_key": null, "customer": "board",
        "size": {"cpu_millis": 10_000_000, "memory_mib": 1},
    })) => NeverFits, "largest worker";
    no_deadline: POST "/v1/requests", quick(json!({"deadline_ms": 0})) => BadDeadline, "allowed: 1";
    long_deadline: POST "/v1/requests", quick(json!({"deadline_ms": 86_400_000}))
        => BadDeadline, "allowed: 1";
    unknown_customer: POST "/v1/requests", quick(json!({"customer": "nobody"}))
        => UnknownCustomer, "nobody";
    unknown_job_customer: POST "/v1/jobs", job(json!({"customer": "nobody"}))
        => UnknownCustomer, "nobody";
    bad_customer: POST "/v1/requests", quick(json!({"customer": "a b"})) => BadRequest, "a b";
    unknown_class: POST "/v1/requests", quick(json!({"class": "fast"}))
        => UnknownClass, "allowed: batch";
    unknown_job_class: POST "/v1/jobs", job(json!({"class": "fast"}))
        => UnknownClass, "allowed: batch";
    no_key: POST "/v1/requests", quick(json!({"repeatable": false})) => KeyRequired, "idempotency_key";
    no_job_key: POST "/v1/jobs", job(json!({"repeatable": false, "idempotency_key": null}))
        => KeyRequired, "idempotency_key";
    long_key: POST "/v1/jobs", job(json!({"idempotency_key": "k".repeat(129)})) => BadRequest, "128";
    unknown_path: GET "/v1/job", Vec::new() => NotFound, "/v1/job";
    unknown_job: GET "/v1/jobs/p0.0123456789abcdef", Vec::new() => NotFound, "no such job";
    unknown_partition: GET "/v1/jobs/p7.0123456789abcdef", Vec::new() => NotFound, "no such job";
    malformed_job: POST "/v1/jobs/a%20b/cancel", Vec::new() => NotFound, "no such job";
    unknown_parameter: GET "/v1/jobs?owner=x", Vec::new() => BadRequest, "customer, state, limit";
    repeated_parameter: GET "/v1/jobs?limit=1&limit=2", Vec::new() => BadRequest, "twice";
    bad_state: GET "/v1/jobs?state=asleep", Vec::new() => BadRequest, "waiting, running";
    bad_limit: GET "/v1/jobs?limit=0", Vec::new() => BadRequest, "1 to 1000";
    bad_wait: GET "/v1/jobs/p0.0123456789abcdef/wait?timeout_ms=9999999", Vec::new()
        => BadRequest, "300000";
    bad_check: POST "/v1/config/check", b"{\"toml\": \"[cell]\"}".to_vec()
        => ConfigInvalid, "line 1: cell: missing field";
    empty_publication: POST "/v1/config/publish",
        br#"{"base": 1, "author": "test", "changes": []}"#.to_vec() => ConfigInvalid, "changes nothing";
    future_publication: POST "/v1/config/publish", br#"{"base": 99, "author": "test", "changes":
        [{"name": "customer/board", "section": null}]}"#.to_vec() => ConfigConflict, "99";
    wrong_method: GET "/v1/requests", Vec::new() => MethodNotAllowed, "POST";
    wrong_job_method: DELETE "/v1/jobs", Vec::new() => MethodNotAllowed, "GET, POST";
    wrong_status_method: POST "/v1/status", Vec::new() => MethodNotAllowed, "GET";
}

async fn send(cell: &RunningCell, method: &Method, path: &str, body: Vec<u8>) -> HttpAnswer {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    let address = cell.daemons[0].callers;
    let answer = cell.client.call(address, request, TIMEOUT).await;
    answer.unwrap_or_else(|error| panic!("{method} {path}: {error}"))
}

/// Returns a description of a wrong answer to a case.
fn describe_mismatch(case: &RefusalCase, answer: &HttpAnswer) -> Option<String> {
    let body: Value = answer.json().unwrap_or_default();
    let message = body["message"].as_str().unwrap_or_default();
    let is_right = answer.status.as_u16() == case.code.http_status()
        && body["code"] == json!(case.code.number())
        && body["name"] == json!(case.code.name())
        && body["ran"] == json!("no")
        && message.contains(case.message);
    let allow = answer.headers.get("allow").map(|value| value.as_bytes());
    let is_allow_right = match case.code {
        ResultCode::MethodNotAllowed => allow == Some(case.message.as_bytes()),
        _ => allow.is_none(),
    };
    let mismatch = format!("{}: status {}: {body}", case.name, answer.status);
    (!is_right || !is_allow_right).then_some(mismatch)
}

/// Sends the start of a request and ends the connection.
async fn send_incomplete(address: SocketAddr) {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let head = "POST /v1/requests HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\r\n";
    let body = quick(json!({}));
    stream.write_all(head.as_bytes()).await.expect("a write");
    stream.write_all(&body).await.expect("a write");
    stream.shutdown().await.expect("a shutdown");
    let mut answer = Vec::new();
    // The daemon may answer or close the connection, but must not accept the incomplete request.
    stream.read_to_end(&mut answer).await.ok();
    let answer = String::from_utf8_lossy(&answer);
    assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// Guards against invalid input that is accepted, is refused with a wrong code, or has effects on
/// an executor, a worker or the log.
#[tokio::test(flavor = "multi_thread")]
async fn invalid_input_is_refused_without_effect() {
    let cell = cell("bad_input", 1).start().await.expect("the cell starts");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    let mut mismatches = Vec::new();
    for case in refusal_cases() {
        let answer = send(&cell, &case.method, case.path, case.body.clone()).await;
        mismatches.extend(describe_mismatch(&case, &answer));
    }
    assert!(mismatches.is_empty(), "{}", mismatches.join("\n"));
    send_incomplete(cell.daemons[0].callers).await;
    let history = cell.read_history().expect("a history");
    let started = history.records.iter().find(|entry| {
        matches!(
            entry.event,
            HistoryEvent::RequestStarted { .. } | HistoryEvent::AttemptStarted { .. }
        )
    });
    assert!(started.is_none(), "{started:?}");
    let path = "/v1/streams/partition-p0/records?from=0&max=1000";
    let records = cell.client.get(cell.log, path, TIMEOUT).await;
    let page: ReadAnswer = records.expect("records").json().expect("a page");
    for record in LogPage::from(page).records {
        let text = String::from_utf8_lossy(&record.data).into_owned();
        assert!(!text.contains(MARKER), "{text}");
    }
    let version = &cell.state(0).await.expect("a state")["config_version"];
    assert_eq!(*version, json!(1), "a refused publication has no effect");
}

/// Guards against a status that reports a cell as healthy that cannot serve, or the reverse.
#[tokio::test(flavor = "multi_thread")]
async fn status_distinguishes_starting_healthy_and_without_log() {
    let mut cell = cell("status", 1)
        .start_unpublished()
        .await
        .expect("stand-ins");
    cell.start_daemon(0).expect("a daemon");
    cell.announce_instances().await.expect("instances");
    let status = wait_for_status(&cell, |_| true).await;
    assert_eq!(status["serving"], json!(false), "{status}");
    assert_eq!(status["phase"], json!("starting"), "{status}");
    let ready = send(&cell, &Method::GET, "/readyz", Vec::new()).await;
    assert_eq!(ready.status.as_u16(), 503);
    let early = send(&cell, &Method::POST, "/v1/requests", quick(json!({}))).await;
    let body: Value = early.json().expect("JSON");
    assert_eq!(body["code"], json!(ResultCode::NoConfiguration.number()));
    let document = cell.document.clone();
    cell.publish_first(&document).await.expect("a publication");
    let healthy =
        |status: &Value| status["reasons"] == json!([]) && status["serving"] == json!(true);
    let status = wait_for_status(&cell, healthy).await;
    let answer = status["answer"].as_str().expect("a sentence");
    assert!(answer.starts_with("It is not down"), "{status}");
    let outage = json!({"outage": "refuse"});
    cell.set_faults(cell.log, &outage).await.expect("a fault");
    let partly_down = |status: &Value| {
        let answer = status["answer"].as_str().unwrap_or_default();
        answer.starts_with("It is partly down") && answer.contains("the log has been unavailable")
    };
    let status = wait_for_status(&cell, partly_down).await;
    assert_eq!(
        status["serving"],
        json!(true),
        "quick requests are still served: {status}"
    );
}

/// Guards against jobs that all go to one of several partitions, and against a list of jobs that
/// leaves a partition out.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_spread_over_partitions_and_are_listed_together() {
    let builder = cell("two_partitions", 1).with_backends(16, 3);
    let mut cell = builder.start_unpublished().await.expect("stand-ins");
    cell.document.racks[1].partition = "p1".into();
    cell.start_daemon(0).expect("a daemon");
    cell.announce_instances().await.expect("instances");
    let document = cell.document.clone();
    cell.publish_first(&document).await.expect("a publication");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    let mut submitted = Vec::new();
    for number in 0..12 {
        let body = job(json!({"idempotency_key": format!("spread-{number}"), "run_ms": 20}));
        let answer = send(&cell, &Method::POST, "/v1/jobs", body).await;
        let view: Value = answer.json().expect("JSON");
        submitted.push(view["job"].as_str().expect("a job id").to_owned());
    }
    for partition in ["p0.", "p1."] {
        let found = submitted.iter().any(|job| job.starts_with(partition));
        assert!(found, "{partition}: {submitted:?}");
    }
    for id in &submitted {
        let path = format!("/v1/jobs/{id}/wait?timeout_ms=20000");
        let answer = send(&cell, &Method::GET, &path, Vec::new()).await;
        let view: Value = answer.json().expect("JSON");
        assert_eq!(view["state"], json!("done"), "{view}");
    }
    let answer = send(&cell, &Method::GET, "/v1/jobs?state=done", Vec::new()).await;
    let list: Value = answer.json().expect("JSON");
    let jobs = list["jobs"].as_array().expect("jobs").iter();
    let mut listed: Vec<&str> = jobs.filter_map(|job| job["job"].as_str()).collect();
    listed.sort_unstable();
    submitted.sort_unstable();
    assert_eq!(listed, submitted);
    let answer = send(&cell, &Method::GET, "/v1/jobs?limit=3", Vec::new()).await;
    let list: Value = answer.json().expect("JSON");
    assert_eq!(list["jobs"].as_array().map(Vec::len), Some(3), "{list}");
}

/// Guards against a planned stop that interrupts a wait for a job, and against a wait that delays a
/// planned stop.
#[tokio::test(flavor = "multi_thread")]
async fn a_wait_is_answered_at_a_planned_stop() {
    let mut cell = cell("wait_at_stop", 2).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    cell.wait_owners(1).await.expect("owners");
    wait_partitions(&cell).await;
    let service = job(json!({"kind": "service", "class": "service"}));
    let answer = send(&cell, &Method::POST, "/v1/jobs", service).await;
    let view: Value = answer.json().expect("JSON");
    let id = view["job"].as_str().expect("a job id");
    let path = format!("/v1/jobs/{id}/wait?timeout_ms=300000");
    let (client, address) = (cell.client.clone(), cell.daemons[1].callers);
    let limit = std::time::Duration::from_secs(310);
    let wait = tokio::spawn(async move { client.get(address, &path, limit).await });
    // The answer to a later call shows that the daemon had time to read the wait.
    let state = cell.state(1).await.expect("a state");
    assert_eq!(state["phase"], json!("ready"), "{state}");
    let code = cell.stop_daemon(1).await.expect("a stop");
    assert_eq!(code, Some(0), "the daemon drains completely");
    let answer = wait.await.expect("a task").expect("an answer");
    let view: Value = answer.json().expect("JSON");
    assert_eq!(answer.status.as_u16(), 200, "{view}");
    assert_eq!(view["job"], json!(id), "{view}");
}

async fn wait_for_status(cell: &RunningCell, wanted: impl Fn(&Value) -> bool) -> Value {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let answer = cell
            .client
            .get(cell.daemons[0].callers, "/v1/status", TIMEOUT);
        let status: Value = match answer.await {
            Ok(answer) => answer.json().expect("JSON"),
            Err(_) => Value::Null,
        };
        if !status.is_null() && wanted(&status) {
            return status;
        }
        assert!(std::time::Instant::now() < deadline, "{status}");
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }
}
