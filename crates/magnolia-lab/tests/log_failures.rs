//! The log is unavailable or slow, loses answers, or drops old records.

mod common;

use std::time::Duration;

use common::{cell, count_answers, count_refusals, count_results, finish_clean, start_mixed};
use magnolia_lab::history::{HistoryEvent, QuickResult, monotonic_us};
use magnolia_lab::load::{LoadMix, placement_gap};
use magnolia_lab::scenario::ScenarioRun;
use magnolia_types::ResultCode;
use serde_json::json;

/// Duration of the load before a failure.
const BEFORE: Duration = Duration::from_secs(2);
/// Duration of a failure, longer than the lease of workers.
const OUTAGE: Duration = Duration::from_secs(5);

/// Guards against a log outage that stops work that does not need the log, or during which work
/// that may run at most once still runs.
async fn log_outage(name: &str, outage: &str, seed: u64) {
    let mut run = start_mixed(cell(name, 3), 9, seed).await;
    tokio::time::sleep(BEFORE).await;
    let job = json!({
        "customer": "guild", "class": "batch", "kind": "batch", "tasks": 12, "run_ms": 4000,
        "size": {"cpu_millis": 900, "memory_mib": 9000},
    });
    let job = common::submit(&run, 0, &job).await;
    let log = run.cell.log;
    let fault = json!({"outage": outage});
    run.cell.set_faults(log, &fault).await.expect("a fault");
    let from_us = monotonic_us();
    tokio::time::sleep(OUTAGE).await;
    let until_us = monotonic_us();
    run.cell
        .set_faults(log, &json!({}))
        .await
        .expect("no fault");
    let view = common::wait_job(&run, 1, &job).await;
    assert_eq!(view["state"], "done", "{view}");
    let history = finish_clean(&mut run).await;
    assert!(
        count_answers(&history, from_us, until_us) > 0,
        "no quick request was answered"
    );
    let refused = count_refusals(&history, from_us, until_us, ResultCode::LogUnavailable);
    assert!(refused > 0, "no request was refused because of the log");
    let once = count_results(&history, from_us, until_us, |is_repeatable, result| {
        !is_repeatable && matches!(result, QuickResult::Answered(_))
    });
    assert_eq!(once, 0, "work that may not repeat ran without the log");
    // The log stores nothing during the outage, so no job can be recorded as accepted.
    let accepted = history.iter().filter(|(at_us, event)| {
        (from_us..until_us).contains(at_us) && matches!(event, HistoryEvent::JobAccepted { .. })
    });
    let stored = history.iter().filter(|(at_us, event)| {
        (from_us..until_us).contains(at_us) && matches!(event, HistoryEvent::LogAppended { .. })
    });
    assert_eq!(
        stored.count(),
        0,
        "the log stored records during its outage"
    );
    // One append may have been answered just before the outage. Its clients learn only after the
    // start of the outage that their jobs were accepted.
    assert!(accepted.count() <= 3, "jobs were accepted without the log");
}

/// Runs [`log_outage`] with a log that refuses calls at once.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_with_refusals() {
    log_outage("log_outage_refuse", "refuse", 11).await;
}

/// Runs [`log_outage`] with a log that does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn log_outage_with_silence() {
    log_outage("log_outage_hang", "hang", 12).await;
}

/// Guards against a slow log that slows quick requests or makes repeated appends take effect
/// twice.
#[tokio::test(flavor = "multi_thread")]
async fn slow_log() {
    let mut run = start_mixed(cell("slow_log", 3), 9, 13).await;
    tokio::time::sleep(BEFORE).await;
    let log = run.cell.log;
    let fault = json!({"append_delay_ms": 5000});
    run.cell.set_faults(log, &fault).await.expect("a fault");
    let from_us = monotonic_us();
    tokio::time::sleep(OUTAGE).await;
    let until_us = monotonic_us();
    run.cell
        .set_faults(log, &json!({}))
        .await
        .expect("no fault");
    let history = finish_clean(&mut run).await;
    assert!(
        count_answers(&history, from_us, until_us) > 0,
        "no quick request was answered"
    );
}

/// Guards against work that runs twice or is lost when answers to appends are lost, and against
/// readers that stop at truncated or foreign records.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_to_appends() {
    let mut run = start_mixed(cell("lost_appends", 3), 8, 14).await;
    let log = run.cell.log;
    let fault = json!({"lose_answers_percent": 50, "foreign_percent": 20});
    run.cell.set_faults(log, &fault).await.expect("a fault");
    tokio::time::sleep(OUTAGE).await;
    let owner = run
        .cell
        .owner(0, common::PARTITION)
        .await
        .expect("an owner");
    run.cell.kill_daemon(owner).await.expect("a kill");
    tokio::time::sleep(BEFORE).await;
    run.cell
        .set_faults(log, &json!({}))
        .await
        .expect("no fault");
    finish_clean(&mut run).await;
}

/// Guards against jobs that are lost when their owner dies during a log outage: nobody can claim
/// its partition until the log is back, and then its accepted jobs must continue.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_while_the_log_is_away() {
    let mut run = start_mixed(cell("killed_without_log", 3), 10, 15).await;
    tokio::time::sleep(BEFORE).await;
    let log = run.cell.log;
    let fault = json!({"outage": "hang"});
    run.cell.set_faults(log, &fault).await.expect("a fault");
    let owner = run
        .cell
        .owner(0, common::PARTITION)
        .await
        .expect("an owner");
    let killed_us = monotonic_us();
    run.cell.kill_daemon(owner).await.expect("a kill");
    tokio::time::sleep(OUTAGE).await;
    let until_us = monotonic_us();
    run.cell
        .set_faults(log, &json!({}))
        .await
        .expect("no fault");
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, killed_us).expect("a later owner");
    assert!(
        gap.first_us > until_us,
        "a partition was claimed without the log"
    );
}

/// Guards against jobs, claims and configuration that are lost when the log drops their records.
#[tokio::test(flavor = "multi_thread")]
async fn records_leave_the_log_under_load() {
    let retention_ms = 10_000;
    let builder = cell("retention", 3);
    let mut cell = builder.start_unpublished().await.expect("stand-ins");
    let fault = json!({"retention_ms": retention_ms});
    cell.set_faults(cell.log, &fault).await.expect("a fault");
    for daemon in 0..cell.daemons.len() {
        let flag = format!("--log-retention-ms={retention_ms}");
        cell.daemons[daemon].args.push(flag);
        cell.start_daemon(daemon).expect("a start");
    }
    cell.announce_instances().await.expect("a list");
    cell.publish_first(&cell.document).await.expect("accepted");
    cell.wait_ready().await.expect("ready daemons");
    let mut run = ScenarioRun::new(cell).await.expect("owners");
    let load = run.load(common::RATE, LoadMix::new_mixed(), 16, 16);
    run.start_load(load.expect("a history"));
    // The log has dropped everything written at the start by now.
    tokio::time::sleep(Duration::from_millis(retention_ms + 2000)).await;
    let owner = run
        .cell
        .owner(0, common::PARTITION)
        .await
        .expect("an owner");
    let killed_us = monotonic_us();
    run.cell.kill_daemon(owner).await.expect("a kill");
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, killed_us);
    assert!(gap.is_some(), "no later owner placed work");
}
