//! Distribution of the configuration while the log loses answers, is unavailable or was trimmed.

mod common;

use std::time::{Duration, Instant};

use common::{TIMEOUT, cell, wait_partitions};
use magnolia_config::{CellConfig, ConfigPublication, ConfigSection, SectionChange};
use magnolia_lab::cell::{ProxyPlan, RunningCell};
use magnolia_lab::proxy::ProxyFaults;
use magnolia_types::{ConfigVersion, RackName, ResultCode};
use serde_json::{Value, json};

/// Retention of the log in the test of a trimmed stream, the shortest that a daemon accepts.
const RETENTION_MS: u64 = 10_000;

/// Returns a publication of the rules that differs for each `mark`.
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
    match cell.client.get(address, "/v1/config", TIMEOUT).await {
        Ok(answer) => answer.json().expect("JSON"),
        Err(_) => Value::Null,
    }
}

/// Waits until a daemon shows a version.
async fn wait_for_version(cell: &RunningCell, daemon: usize, version: u64) -> Value {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let config = show_config(cell, daemon).await;
        if config["version"] == json!(version) {
            return config;
        }
        assert!(Instant::now() < deadline, "daemon {daemon}: {config}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against an accepted publication that is reported as failed or recorded twice because the
/// answer to its append was lost, and against readers that stop at a foreign record.
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
    let stored = cell
        .client
        .post_json(cell.log, path, &foreign, TIMEOUT)
        .await;
    // The record is stored even if the answer is lost.
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

/// Guards against a daemon that gets no configuration during a log outage although a peer has it,
/// and against a new configuration that is accepted during the outage.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_starts_from_a_peer_during_a_log_outage() {
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

/// Guards against a daemon that keeps an old configuration because its connections to the log are
/// black-holed, although other daemons have a newer one, and against a daemon that goes back to an
/// older configuration when the connections work again.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_without_the_log_follows_its_peers() {
    let plan = ProxyPlan {
        log: true,
        ..ProxyPlan::default()
    };
    let builder = cell("config_cut_off", 3).with_proxies(plan);
    let cell = builder.start().await.expect("a cell");
    cell.proxy("log:d2").set_faults(ProxyFaults::new_silent());
    for round in 0..3_u32 {
        let base = 1 + u64::from(round);
        let published = cell.publish(0, &publication(&cell, base, round)).await;
        assert_eq!(published.expect("accepted"), base + 1);
        wait_for_version(&cell, 2, base + 1).await;
    }
    let config = show_config(&cell, 2).await;
    assert_eq!(config["source"], json!("peer"), "{config}");
    cell.proxy("log:d2").set_faults(ProxyFaults::default());
    let published = cell.publish(2, &publication(&cell, 4, 9)).await;
    assert_eq!(published.expect("accepted"), 5);
    for daemon in 0..3 {
        wait_for_version(&cell, daemon, 5).await;
    }
}

/// Guards against a configuration that is lost when the log drops its publications.
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
    // Without a peer, the configuration can only come from the log.
    cell.kill_daemon(0).await.expect("a kill");
    cell.start_daemon(1).expect("a daemon");
    let config = wait_for_version(&cell, 1, 2).await;
    assert_eq!(config["source"], json!("log"), "{config}");
    assert_eq!(config["document"]["rules"]["max_tasks"], json!(1007));
    let published = cell.publish(1, &publication(&cell, 2, 8)).await;
    assert_eq!(published.expect("accepted"), 3);
}

/// Sends requests that are not repeatable, each with its own key, until one is answered. While the
/// executors have no owner or no known slots, requests are refused as not run.
async fn send_until_answered(cell: &RunningCell) {
    let deadline = Instant::now() + TIMEOUT;
    let mut number = 0;
    loop {
        let code = send_key(cell, &format!("before-{number}")).await;
        if code == 0 {
            return;
        }
        assert!(Instant::now() < deadline, "refused with code {code}");
        number += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Sends a request that is not repeatable and returns the code of the answer, 0 for success.
async fn send_key(cell: &RunningCell, key: &str) -> u64 {
    let body = json!({
        "customer": "board", "class": "quick", "deadline_ms": 2000, "body": key,
        "repeatable": false, "idempotency_key": key,
    });
    let address = cell.daemons[0].callers;
    let answer = cell
        .client
        .post_json(address, "/v1/requests", &body, TIMEOUT);
    let answer: Value = answer.await.expect("an answer").json().expect("JSON");
    answer["code"].as_u64().unwrap_or(0)
}

/// Guards against work that is not repeatable but runs again because its key moved to a partition
/// that does not know the key.
#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_partitions_refuses_work_that_may_not_repeat() {
    let changed = u64::from(ResultCode::KeySetChanged.number());
    let cell = cell("config_key_set", 1).start().await.expect("a cell");
    cell.wait_owners(0).await.expect("owners");
    wait_partitions(&cell).await;
    send_until_answered(&cell).await;
    let old = CellConfig {
        version: ConfigVersion::new(1),
        document: Some(cell.document.clone()),
        ..CellConfig::new()
    };
    let mut wanted = cell.document.clone();
    let mut rack = wanted.racks[0].clone();
    rack.name = RackName::new("other").expect("a name");
    rack.partition = "p1".into();
    rack.workers.clear();
    wanted.racks.push(rack);
    let publication = old.publication_to(&wanted, "test");
    assert_eq!(cell.publish(0, &publication).await.expect("accepted"), 2);
    assert_eq!(send_key(&cell, "before-0").await, changed);
    let status = cell
        .client
        .get(cell.daemons[0].callers, "/v1/status", TIMEOUT);
    let status: Value = status.await.expect("an answer").json().expect("JSON");
    assert!(
        status["answer"].to_string().contains("key_set_confirmed"),
        "{status}"
    );
    let shown = show_config(&cell, 0).await;
    let hash = shown["key_sets"]["default"]["hash"]
        .as_str()
        .expect("a hash");
    let mut confirmed = wanted.clone();
    confirmed.rules.key_set_confirmed = u64::from_str_radix(hash, 16).ok();
    let base = CellConfig {
        version: ConfigVersion::new(2),
        document: Some(wanted),
        ..CellConfig::new()
    };
    let publication = base.publication_to(&confirmed, "test");
    assert_eq!(cell.publish(0, &publication).await.expect("accepted"), 3);
    assert_ne!(send_key(&cell, "after").await, changed);
}

/// Waits until the log has trimmed the first `count` records of the stream `config`.
async fn wait_until_trimmed(cell: &RunningCell, count: u64) {
    let deadline = Instant::now() + TIMEOUT;
    loop {
        let path = "/v1/streams/config/records?from=0&max=1";
        let page = cell.client.get(cell.log, path, TIMEOUT).await;
        let page: Value = page.expect("a page").json().expect("JSON");
        if page["first"].as_u64() >= Some(count) {
            return;
        }
        assert!(Instant::now() < deadline, "{page}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}
