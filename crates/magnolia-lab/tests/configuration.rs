//! Concurrent publications of the configuration.

mod common;

use std::time::Duration;

use common::{TIMEOUT, cell, finish_clean, start_mixed};
use futures_util::future::join_all;
use magnolia_config::{ConfigPublication, ConfigSection, SectionChange};
use magnolia_lab::scenario::ScenarioRun;
use magnolia_types::ConfigVersion;

const ROUNDS: u32 = 5;
const PUBLISHERS: u32 = 4;

/// Publishes the same section through several daemons at once; returns the accepted versions.
async fn race(run: &ScenarioRun, base: u64, round: u32) -> Vec<u64> {
    let publications = (0..PUBLISHERS).map(|publisher| {
        let mut rules = run.cell.document.rules.clone();
        rules.max_tasks = 1000 + round * PUBLISHERS + publisher;
        ConfigPublication {
            base: ConfigVersion::new(base),
            author: format!("publisher-{publisher}"),
            changes: vec![SectionChange {
                name: "rules".into(),
                section: Some(ConfigSection::Rules(rules)),
            }],
        }
    });
    let publications: Vec<ConfigPublication> = publications.collect();
    let calls = publications
        .iter()
        .enumerate()
        .map(|(daemon, publication)| run.cell.publish(daemon, publication));
    join_all(calls).await.into_iter().flatten().collect()
}

/// Waits until every daemon shows a version.
async fn wait_for_version(run: &ScenarioRun, version: u64) {
    let deadline = std::time::Instant::now() + TIMEOUT;
    for daemon in &run.cell.daemons {
        loop {
            let answer = run
                .cell
                .client
                .get(daemon.callers, "/v1/config", TIMEOUT)
                .await;
            let body: serde_json::Value = answer.expect("an answer").json().expect("JSON");
            if body["version"].as_u64() == Some(version) {
                break;
            }
            assert!(
                std::time::Instant::now() < deadline,
                "{}: {body}",
                daemon.name
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against two accepted publications with the same base version, daemons that disagree on
/// the accepted one, and versions that come late or go down.
#[tokio::test(flavor = "multi_thread")]
async fn racing_publishers() {
    let mut run = start_mixed(cell("racing_publishers", 7), 8, 31).await;
    for round in 0..ROUNDS {
        let state = run.cell.state(0).await.expect("a state");
        let base = state["config_version"].as_u64().expect("a version");
        let accepted = race(&run, base, round).await;
        assert_eq!(accepted, [base + 1], "round {round}");
        wait_for_version(&run, base + 1).await;
    }
    let mut documents = Vec::new();
    for daemon in &run.cell.daemons {
        let answer = run
            .cell
            .client
            .get(daemon.callers, "/v1/config", TIMEOUT)
            .await;
        let body: serde_json::Value = answer.expect("an answer").json().expect("JSON");
        // Other fields, such as ages, may differ between daemons.
        let content = ["version", "section_versions", "document"];
        documents.push(content.map(|field| body[field].clone()));
    }
    documents.dedup();
    assert_eq!(documents.len(), 1, "daemons disagree on the content");
    finish_clean(&mut run).await;
}
