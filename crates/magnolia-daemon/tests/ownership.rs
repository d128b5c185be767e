//! Claims of executor groups when the log has invalid records, loses answers or is unavailable.

mod support;

use std::sync::atomic::Ordering;

use serde_json::Value;
use support::{FakeLog, SHORT_GRACE_MS, TestCell, wait_for};

/// Returns the current claims as a daemon knows them: unit, epoch and daemon.
async fn claims(cell: &TestCell, index: usize) -> Vec<(String, u64, String)> {
    let state = cell.state(index).await.unwrap_or_default();
    let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
    let all = state["claims"].as_array().cloned().unwrap_or_default();
    let lines = all.iter().map(|claim| {
        let epoch = claim["epoch"].as_u64().unwrap_or_default();
        (text(&claim["unit"]), epoch, text(&claim["daemon"]))
    });
    lines.collect()
}

/// Guards against torn and foreign records at which daemons stop reading, or after which their
/// claims differ.
#[tokio::test(flavor = "multi_thread")]
async fn torn_and_foreign_records_are_skipped_alike() {
    let log = FakeLog::default();
    // Neither record can be decoded: a part of a message, and text of another program.
    log.append("claims", "gA==".into());
    log.append("claims", "aGVsbG8=".into());
    let cell = TestCell::start_on(log, 3, &[1, 1], SHORT_GRACE_MS).await;
    cell.log.append("claims", "gA==".into());
    for index in 0..3 {
        wait_for("equal claims", async || {
            claims(&cell, index).await.len() == 2
        })
        .await;
        assert_eq!(claims(&cell, index).await, claims(&cell, 0).await);
        wait_for("three skipped records", async || {
            let state = cell.state(index).await.unwrap_or_default();
            state["counters"]["claims.foreign_record"] == 3
        })
        .await;
    }
    cell.wait_until_answered(0, "x").await;
}

/// Guards against a claim that has effect twice, or not at all, when the answer to its append is
/// lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_to_claims_are_harmless() {
    let mut cell = TestCell::start(2, &[1]).await;
    let owner = cell.owner(0).await.expect("an owner");
    cell.log.loses_answers.store(true, Ordering::SeqCst);
    cell.kill(owner);
    cell.update_instance_list();
    let other = 1 - owner;
    wait_for("a new owner", async || cell.owner(0).await == Some(other)).await;
    let name = cell.daemons[other].name.clone();
    assert_eq!(
        claims(&cell, other).await,
        [("group:g0".to_owned(), 2, name)]
    );
    cell.wait_until_answered(other, "x").await;
}

/// Guards against a daemon that knows no owners because it started while the log was unavailable.
#[tokio::test(flavor = "multi_thread")]
async fn claims_come_from_peers_while_the_log_is_away() {
    let mut cell = TestCell::start(2, &[1, 1]).await;
    cell.log.is_unavailable.store(true, Ordering::SeqCst);
    cell.start_daemon("late");
    let known = claims(&cell, 0).await;
    wait_for("claims", async || claims(&cell, 2).await == known).await;
    cell.wait_until_answered(2, "x").await;
}

/// Guards against claims of all candidates when an owner ends: the others have to see that the
/// first candidate has claimed the group.
#[tokio::test(flavor = "multi_thread")]
async fn one_candidate_claims_after_a_kill() {
    let mut cell = TestCell::start(4, &[1]).await;
    let before = cell.log.len("claims");
    let owner = cell.owner(0).await.expect("an owner");
    cell.kill(owner);
    cell.update_instance_list();
    wait_for("a new owner", async || {
        cell.owner(0).await.is_some_and(|index| index != owner)
    })
    .await;
    let index = cell.owner(0).await.expect("an owner");
    cell.wait_until_answered(index, "x").await;
    let after = cell.log.len("claims");
    assert_eq!(after, before + 1, "killed d{owner}: {:?}", cell.claims());
}
