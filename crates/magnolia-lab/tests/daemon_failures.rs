//! Daemons are killed, paused, stopped and replaced under load.

mod common;

use std::time::Duration;

use common::{PARTITION, cell, finish_clean, start_mixed};
use magnolia_lab::cell::ProxyPlan;
use magnolia_lab::history::monotonic_us;
use magnolia_lab::load::placement_gap;
use serde_json::json;

/// Duration of the load before a failure.
const BEFORE: Duration = Duration::from_secs(2);

/// Time until readers see a change of the instance list, in milliseconds.
const LAG_MS: u64 = 2000;

/// Guards against jobs that are lost, run twice or stall when the owner of their partition dies.
#[tokio::test(flavor = "multi_thread")]
async fn owner_killed_under_load() {
    let mut run = start_mixed(cell("owner_killed", 3).with_instance_lag_ms(LAG_MS), 7, 1).await;
    tokio::time::sleep(BEFORE).await;
    let owner = run.cell.owner(0, PARTITION).await.expect("an owner");
    let killed_us = monotonic_us();
    run.cell.kill_daemon(owner).await.expect("a kill");
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, killed_us);
    assert!(gap.is_some(), "no later owner placed work");
}

/// Guards against an owner that is resumed after it was replaced and continues with its old state.
#[tokio::test(flavor = "multi_thread")]
async fn owner_paused_and_woken_late() {
    let mut run = start_mixed(cell("owner_paused", 3), 10, 2).await;
    tokio::time::sleep(BEFORE).await;
    let owner = run.cell.owner(0, PARTITION).await.expect("an owner");
    let paused_us = monotonic_us();
    run.cell.pause_daemon(owner).expect("a pause");
    // Longer than the lease of 3 s plus the 1.5 s or so of failed probes after which another daemon
    // claims the partition, so that its tasks are placed elsewhere.
    tokio::time::sleep(Duration::from_secs(6)).await;
    run.cell.resume_daemon(owner).expect("a resume");
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, paused_us);
    assert!(gap.is_some(), "no later owner placed work");
}

/// Guards against a planned stop that interrupts requests or loses jobs.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_the_owner() {
    let builder = cell("planned_stop", 3);
    // Requests take so long that some are in flight at every moment of the stop.
    let faults = r#"{"ignore_limits": true, "service_ms": 100}"#;
    let builder = builder.with_backend_faults(common::IGNORE_LIMITS, faults);
    let mut run = start_mixed(builder, 7, 3).await;
    tokio::time::sleep(BEFORE).await;
    let owner = run.cell.owner(0, PARTITION).await.expect("an owner");
    let stopped_us = monotonic_us();
    let status = run.cell.stop_daemon(owner).await.expect("a stop");
    assert_eq!(status, Some(0));
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, stopped_us);
    assert!(gap.is_some(), "no later owner placed work");
}

/// Guards against state that only one instance has: all instances are replaced one after another.
#[tokio::test(flavor = "multi_thread")]
async fn all_daemons_replaced_one_after_another() {
    let mut run = start_mixed(cell("all_replaced", 7).with_instance_lag_ms(LAG_MS), 15, 4).await;
    for daemon in 0..run.cell.daemons.len() {
        let status = run.cell.stop_daemon(daemon).await.expect("a stop");
        assert_eq!(status, Some(0), "daemon {daemon}");
        run.cell.start_daemon(daemon).expect("a start");
        run.cell.announce_instances().await.expect("a list");
        run.cell.wait_ready().await.expect("a ready daemon");
    }
    finish_clean(&mut run).await;
}

/// Guards against a takeover that depends on another daemon that died at the same time.
#[tokio::test(flavor = "multi_thread")]
async fn two_daemons_killed_at_once() {
    let mut run = start_mixed(cell("two_killed", 5).with_instance_lag_ms(LAG_MS), 8, 5).await;
    tokio::time::sleep(BEFORE).await;
    let owner = run.cell.owner(0, PARTITION).await.expect("an owner");
    let killed_us = monotonic_us();
    run.cell.kill_daemon(owner).await.expect("a kill");
    let next = (owner + 1) % run.cell.daemons.len();
    run.cell.kill_daemon(next).await.expect("a kill");
    let history = finish_clean(&mut run).await;
    let gap = placement_gap(&history, killed_us);
    assert!(gap.is_some(), "no later owner placed work");
}

/// Guards against calls between daemons that hang on black-holed connections while new connections
/// work.
#[tokio::test(flavor = "multi_thread")]
async fn black_holed_connections_between_daemons() {
    let plan = ProxyPlan {
        inner: true,
        ..ProxyPlan::default()
    };
    let builder = cell("black_holed_inner", 3).with_proxies(plan);
    let mut run = start_mixed(builder, 8, 6).await;
    tokio::time::sleep(BEFORE).await;
    for daemon in 0..run.cell.daemons.len() {
        let name = format!("inner:d{daemon}");
        run.cell.proxy(&name).black_hole_open_connections();
    }
    let black_holed_us = monotonic_us();
    let history = finish_clean(&mut run).await;
    assert!(common::count_answers(&history, black_holed_us, u64::MAX) > 0);
}

/// Guards against a daemon that cannot start without the log although its peers have the state that
/// it needs.
#[tokio::test(flavor = "multi_thread")]
async fn daemon_started_while_the_log_is_away() {
    let mut run = start_mixed(cell("started_without_log", 3), 6, 7).await;
    run.cell.kill_daemon(2).await.expect("a kill");
    let log = run.cell.log;
    let outage = json!({"outage": "hang"});
    run.cell.set_faults(log, &outage).await.expect("a fault");
    run.cell.start_daemon(2).expect("a start");
    run.cell.announce_instances().await.expect("a list");
    let ready = run.cell.wait_ready().await;
    run.cell
        .set_faults(log, &json!({}))
        .await
        .expect("no fault");
    ready.expect("a ready daemon");
    finish_clean(&mut run).await;
}
