//! Runs the examples of docs/CALLERS.md as written.

mod common;

use std::time::{Duration, Instant};

use common::{TIMEOUT, cell, wait_partitions};
use http::{Method, Request};
use http_body_util::Full;
use magnolia_config::{CellConfig, ConfigDocument};
use magnolia_http::HttpAnswer;
use magnolia_lab::cell::RunningCell;
use magnolia_types::ResultCode;
use serde_json::Value;

const PAGE: &str = include_str!("../../../docs/CALLERS.md");
const BOARD: &str = include_str!("../../../examples/board.toml");
/// Address of the daemon in the examples.
const DOCUMENTED: &str = "http://127.0.0.1:7700";

/// A `curl` command of the page.
#[derive(Debug)]
struct DocumentedCall {
    method: Method,
    path: String,
    body: String,
}

/// Reads the commands of the page.
fn documented_calls() -> Vec<DocumentedCall> {
    let blocks = PAGE.split("```sh\n").skip(1);
    blocks
        .map(|block| {
            let command = block.split("```").next().expect("a block");
            let (_, rest) = command.split_once(DOCUMENTED).expect("the address");
            let path = rest.split([' ', '"', '\n']).next().expect("a path");
            let body = command.split('\'').nth(1).unwrap_or_default();
            let is_post = command.contains("-X POST") || !body.is_empty();
            DocumentedCall {
                method: if is_post { Method::POST } else { Method::GET },
                path: path.to_owned(),
                body: body.to_owned(),
            }
        })
        .collect()
}

/// Publishes the customers and classes of `examples/board.toml` with the back ends of the lab.
async fn publish_board(cell: &RunningCell) {
    let board = ConfigDocument::from_toml(BOARD).expect("a valid example");
    let mut wanted = cell.document.clone();
    wanted.customers = board.customers;
    wanted.classes = board.classes;
    let old = CellConfig {
        version: magnolia_types::ConfigVersion::new(1),
        document: Some(cell.document.clone()),
        ..CellConfig::new()
    };
    let publication = old.publication_to(&wanted, "test");
    cell.publish(0, &publication).await.expect("accepted");
}

/// Sends a call, and repeats it while it is refused because an executor group has no owner yet.
async fn send(cell: &RunningCell, method: &Method, path: &str, body: String) -> HttpAnswer {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .body(Full::from(body.clone()))
            .expect("a request");
        let address = cell.daemons[0].callers;
        let answer = cell.client.call(address, request, TIMEOUT).await;
        let answer = answer.unwrap_or_else(|error| panic!("{path}: {error}"));
        let code = answer.json::<Value>().unwrap_or_default()["code"].clone();
        if code != ResultCode::NoOwner.number() || Instant::now() > deadline {
            return answer;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against examples that do not work.
#[tokio::test(flavor = "multi_thread")]
async fn every_documented_call_succeeds() {
    let cell = cell("documented_calls", 1).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    publish_board(&cell).await;
    let calls = documented_calls();
    assert!(calls.len() >= 13, "{calls:?}");
    let mut job = String::new();
    let mut version = 2;
    for call in calls {
        let path = call.path.replace("$JOB", &job);
        // The page starts at version 1; the test has published once more.
        let body = call
            .body
            .replace("\"base\": 1", &format!("\"base\": {version}"));
        let answer = send(&cell, &call.method, &path, body).await;
        let text = String::from_utf8_lossy(&answer.body);
        assert!(answer.status.is_success(), "{call:?}: {text}");
        let value: Value = answer.json().expect("JSON");
        if path == "/v1/jobs" && call.method == Method::POST {
            job = value["job"].as_str().expect("a job id").to_owned();
        }
        if path == "/v1/config/publish" {
            version += 1;
            assert_eq!(value["version"], version, "{value}");
        }
        if path.contains("/wait") {
            assert_eq!(value["state"], "done", "{value}");
        }
    }
}
