//! End-to-end test with real processes: caller, daemon, executor, worker.

use std::path::Path;
use std::time::Duration;

use magnolia_lab::cell::CellBuilder;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against failures anywhere between a caller and the back ends: every daemon of a cell
/// takes a quick request and a batch job, whichever daemon owns the units.
#[tokio::test(flavor = "multi_thread")]
async fn quick_request_and_batch_job_through_every_daemon() {
    let program = Path::new(env!("CARGO_BIN_EXE_magnolia-lab"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join("whole_path");
    let cell = CellBuilder::new(program, &folder)
        .with_daemons(3)
        .with_data_centres(3)
        .start()
        .await
        .expect("the cell starts");
    for daemon in &cell.daemons {
        let request = json!({
            "customer": "board", "class": "quick", "deadline_ms": 5000,
            "body": format!("check {}", daemon.name),
        });
        let body = post_until_ok(&cell.client, daemon.callers, "/v1/requests", &request).await;
        assert_eq!(body["answer"], format!("answer to check {}", daemon.name));
        let job = json!({
            "customer": "guild", "class": "batch", "kind": "batch", "tasks": 5, "run_ms": 100,
            "size": {"cpu_millis": 1000, "memory_mib": 512},
        });
        let body = post_until_ok(&cell.client, daemon.callers, "/v1/jobs", &job).await;
        let path = format!(
            "/v1/jobs/{}/wait?timeout_ms=10000",
            body["job"].as_str().expect("a job id")
        );
        let answer = cell
            .client
            .get(daemon.callers, &path, TIMEOUT)
            .await
            .expect("an answer");
        let view: Value = answer.json().expect("a job");
        assert_eq!(view["state"], "done", "{view}");
        assert_eq!(view["tasks"]["done"], 5, "{view}");
    }
}

/// Repeats a call until it succeeds; calls fail while units have no owner yet.
async fn post_until_ok(
    client: &magnolia_http::HttpClient,
    address: std::net::SocketAddr,
    path: &str,
    body: &Value,
) -> Value {
    let deadline = std::time::Instant::now() + TIMEOUT;
    loop {
        let answer = client
            .post_json(address, path, body, TIMEOUT)
            .await
            .expect("an answer");
        if answer.status.is_success() {
            return answer.json().expect("JSON");
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        assert!(std::time::Instant::now() < deadline, "{path}: {text}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
