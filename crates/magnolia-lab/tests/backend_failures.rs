//! Workers and executors fail, leave or become unreachable.

mod common;

use std::time::Duration;

use common::{cell, count_answers, finish_clean, start_mixed, starts};
use magnolia_lab::cell::ProxyPlan;
use magnolia_lab::history::{HistoryEvent, monotonic_us};
use magnolia_lab::load::{busiest_executor, busiest_worker};
use serde_json::{Value, json};

/// Duration of the load before a failure.
const BEFORE: Duration = Duration::from_secs(2);

/// Returns a job with tasks on every worker that run longer than a lease.
fn long_job() -> Value {
    json!({
        "customer": "guild", "class": "batch", "kind": "batch", "tasks": 32, "run_ms": 7000,
        "size": {"cpu_millis": 7000, "memory_mib": 9000},
    })
}

/// Guards against tasks that are placed again before their lease on an unreachable worker has
/// ended, or that are never placed again.
#[tokio::test(flavor = "multi_thread")]
async fn worker_unreachable_and_back() {
    let mut run = start_mixed(cell("worker_unreachable", 3), 12, 21).await;
    let job = common::submit(&run, 0, &long_job()).await;
    tokio::time::sleep(BEFORE).await;
    let worker = run.cell.worker(0);
    let fault = json!({"unreachable": true, "ignore_limits": true});
    run.cell.set_faults(worker, &fault).await.expect("a fault");
    tokio::time::sleep(Duration::from_secs(6)).await;
    let limits = json!({"ignore_limits": true});
    run.cell
        .set_faults(worker, &limits)
        .await
        .expect("no fault");
    let view = common::wait_job(&run, 1, &job).await;
    assert_eq!(view["state"], "done", "{view}");
    let history = finish_clean(&mut run).await;
    let expired = history.iter().filter(|(_, event)| {
        matches!(event, HistoryEvent::AttemptEnded { end, .. } if &**end == "LeaseExpired")
    });
    assert!(
        expired.count() > 0,
        "no task was on the worker when it became unreachable"
    );
}

/// Guards against a worker that makes every job fail: it fails tasks at once, so it always has free
/// resources and attracts more tasks.
#[tokio::test(flavor = "multi_thread")]
async fn worker_that_fails_everything() {
    let mut run = start_mixed(cell("worker_fails", 3), 12, 22).await;
    tokio::time::sleep(BEFORE).await;
    let history = run.cell.read_history().expect("histories");
    let index = busiest_worker(&history).expect("a worker with tasks");
    let worker = run.cell.worker(index);
    let fault = json!({"fail_tasks": true, "ignore_limits": true});
    run.cell.set_faults(worker, &fault).await.expect("a fault");
    let began_us = monotonic_us();
    let history = finish_clean(&mut run).await;
    let starts = starts(&history);
    let later: Vec<_> = starts
        .iter()
        .filter(|(at_us, _)| *at_us > began_us)
        .collect();
    let second_half = &later[later.len() / 2..];
    let name = format!("w{index:03}");
    let failed = history.iter().filter(
        |(_, event)| matches!(event, HistoryEvent::AttemptEnded { end, .. } if &**end == "Failed"),
    );
    assert!(failed.count() > 0, "no task was on the worker");
    let on_worker = second_half.iter().filter(|(_, worker)| *worker == name);
    // Without quarantine, one of eight workers would get at least an eighth of the starts.
    let share = second_half.len() / 8;
    assert!(
        on_worker.count() < share.max(1),
        "the worker was not quarantined"
    );
}

/// Guards against new work on a worker or executor that reports that it is leaving.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_worker_and_executor() {
    let mut run = start_mixed(cell("leaving", 3), 10, 23).await;
    tokio::time::sleep(BEFORE).await;
    let fault = json!({"leaving": true, "ignore_limits": true});
    let history = run.cell.read_history().expect("histories");
    let worker = busiest_worker(&history).expect("a worker with tasks");
    let executor = busiest_executor(&history).expect("an executor with requests");
    for backend in [run.cell.worker(worker), run.cell.executor(executor)] {
        run.cell.set_faults(backend, &fault).await.expect("a fault");
    }
    let left_us = monotonic_us();
    let history = finish_clean(&mut run).await;
    assert!(count_answers(&history, left_us, u64::MAX) > 0);
    assert!(starts(&history).iter().any(|(at_us, _)| *at_us > left_us));
}

/// Guards against requests that hang on black-holed connections to executors while new connections
/// work.
#[tokio::test(flavor = "multi_thread")]
async fn black_holed_connections_to_executors() {
    let plan = ProxyPlan {
        executors: true,
        ..ProxyPlan::default()
    };
    let builder = cell("black_holed_executors", 3).with_proxies(plan);
    let mut run = start_mixed(builder, 8, 24).await;
    tokio::time::sleep(BEFORE).await;
    for executor in 0..6 {
        let name = format!("executor:e{executor:03}");
        run.cell.proxy(&name).black_hole_open_connections();
    }
    let black_holed_us = monotonic_us();
    let history = finish_clean(&mut run).await;
    // Every request needs an executor, so answers show that new connections are used.
    assert!(count_answers(&history, black_holed_us, u64::MAX) > 0);
}

/// Guards against starts that run twice or are lost when workers drop answers, delay calls and
/// carry out batches twice.
#[tokio::test(flavor = "multi_thread")]
async fn workers_lose_delay_and_double_calls() {
    let faults = json!({
        "ignore_limits": true, "lose_answers_percent": 20, "double_percent": 20, "delay_ms": 20,
    });
    let builder = cell("workers_lose", 3);
    let builder = builder.with_backend_faults(&faults.to_string(), common::IGNORE_LIMITS);
    let mut run = start_mixed(builder, 8, 25).await;
    finish_clean(&mut run).await;
}
