//! Configuration while the log loses answers, is away, or has been trimmed.

mod common;

use std::time::{Duration, Instant};

use common::{LIMIT, cell};
use magnolia_config::{ConfigPublication, ConfigSection, SectionChange};
use magnolia_lab::cell::RunningCell;
use magnolia_types::ConfigVersion;
use serde_json::{Value, json};

/// Retention of the log in the test of a trimmed stream; the shortest that a daemon takes.
const RETENTION_MS: u64 = 10_000;

/// Makes a publication of the rules that differs for each `mark`.
fn publication(cell: &RunningCell, base: u64, mark: u32) -> ConfigPublication {
    let mut rules = cell.document.rules.clone();
    rules.max_tasks = 1000 + mark;
    ConfigPublication {
        base: ConfigVersion::new(base),
        author: "test".into(),
        changes: vec![SectionChange {
            name: "rules".into(),
            section: Some(ConfigSection::Rules(rules)),
        }],
    }
}

async fn show_config(cell: &RunningCell, daemon: usize) -> Value {
    let address = cell.daemons[daemon].callers;
    match cell.client.get(address, "/v1/config", LIMIT).await {
        Ok(answer) => answer.json().expect("JSON"),
        Err(_) => Value::Null,
    }
}

/// Waits until a daemon shows a version.
async fn wait_for_version(cell: &RunningCell, daemon: usize, version: u64) -> Value {
    let deadline = Instant::now() + LIMIT;
    loop {
        let config = show_config(cell, daemon).await;
        if config["version"] == json!(version) {
            return config;
        }
        assert!(Instant::now() < deadline, "daemon {daemon}: {config}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a publication whose accepted record is reported as failed or made twice because
/// the answer to its append was lost, and against readers that stop at a foreign record.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_and_foreign_records_do_not_change_a_result() {
    let cell = cell("config_lost_answers", 3)
        .start()
        .await
        .expect("a cell");
    let faults = json!({"lose_answers_percent": 60, "foreign_percent": 50});
    cell.set_faults(cell.log, &faults).await.expect("faults");
    let foreign = json!({"data": "this is not base64"});
    let path = "/v1/streams/config/records";
    let stored = cell.client.post_json(cell.log, path, &foreign, LIMIT).await;
    // The answer may be lost; the record is stored all the same.
    drop(stored);
    for round in 0..6_u32 {
        let base = 1 + u64::from(round);
        let daemon = round as usize % 3;
        let published = cell.publish(daemon, &publication(&cell, base, round)).await;
        assert_eq!(published.expect("accepted"), base + 1, "round {round}");
    }
    for daemon in 0..3 {
        let config = wait_for_version(&cell, daemon, 7).await;
        assert_eq!(config["document"]["rules"]["max_tasks"], json!(1005));
    }
}

/// Guards against a daemon that stays without configuration while the log is away although a peer
/// has it, and against new configuration that is accepted without the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_from_a_peer_while_the_log_is_away() {
    let mut cell = cell("config_from_peer", 2).start().await.expect("a cell");
    cell.kill_daemon(1).await.expect("a kill");
    let outage = json!({"outage": "refuse"});
    cell.set_faults(cell.log, &outage).await.expect("a fault");
    cell.start_daemon(1).expect("a daemon");
    cell.announce_instances().await.expect("instances");
    let config = wait_for_version(&cell, 1, 1).await;
    assert_eq!(config["source"], json!("peer"), "{config}");
    assert_eq!(config["confirmed_ms_ago"], Value::Null, "{config}");
    let refused = cell.publish(1, &publication(&cell, 1, 1)).await;
    let message = format!("{:?}", refused.expect_err("no log, no publication"));
    assert!(message.contains("LogUnavailable"), "{message}");
    cell.set_faults(cell.log, &json!({}))
        .await
        .expect("no fault");
    let published = cell.publish(1, &publication(&cell, 1, 2)).await;
    assert_eq!(published.expect("accepted"), 2);
    wait_for_version(&cell, 0, 2).await;
}

/// Guards against a configuration that is lost when its publications leave the log.
#[tokio::test(flavor = "multi_thread")]
async fn a_reader_of_a_trimmed_stream_starts_from_a_snapshot() {
    let builder = cell("config_trimmed", 2);
    let mut cell = builder.start_unpublished().await.expect("stand-ins");
    let retention = json!({"retention_ms": RETENTION_MS});
    cell.set_faults(cell.log, &retention)
        .await
        .expect("a fault");
    for daemon in &mut cell.daemons {
        daemon
            .args
            .push(format!("--log-retention-ms={RETENTION_MS}"));
    }
    cell.start_daemon(0).expect("a daemon");
    cell.announce_instances().await.expect("instances");
    let document = cell.document.clone();
    cell.publish_first(&document).await.expect("a publication");
    let published = cell.publish(0, &publication(&cell, 1, 7)).await;
    assert_eq!(published.expect("accepted"), 2);
    wait_until_trimmed(&cell, 2).await;
    // The only peer is gone, so the log alone can bring the configuration.
    cell.kill_daemon(0).await.expect("a kill");
    cell.start_daemon(1).expect("a daemon");
    let config = wait_for_version(&cell, 1, 2).await;
    assert_eq!(config["source"], json!("log"), "{config}");
    assert_eq!(config["document"]["rules"]["max_tasks"], json!(1007));
    let published = cell.publish(1, &publication(&cell, 2, 8)).await;
    assert_eq!(published.expect("accepted"), 3);
}

/// Waits until the log has trimmed the first `count` records of stream `config`.
async fn wait_until_trimmed(cell: &RunningCell, count: u64) {
    let deadline = Instant::now() + LIMIT;
    loop {
        let path = "/v1/streams/config/records?from=0&max=1";
        let page = cell.client.get(cell.log, path, LIMIT).await;
        let page: Value = page.expect("a page").json().expect("JSON");
        if page["first"].as_u64() >= Some(count) {
            return;
        }
        assert!(Instant::now() < deadline, "{page}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
