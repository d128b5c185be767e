//! A planned stop under load over real connections.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use magnolia_daemon::ExitStatus;
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use support::{ExecutorMode, FakeLog, LIMIT, TestCell, send_request, wait_for};

/// Callers, each with its own connections.
const CALLERS: usize = 16;

/// What the callers saw.
#[derive(Default)]
struct Seen {
    answered: AtomicUsize,
    refused: AtomicUsize,
    cut_off: AtomicUsize,
    stopping: AtomicBool,
}

/// Calls the first daemon as a caller behind a balancer does: when its readiness fails or nobody
/// listens there, the caller moves on to the second.
async fn call_until_stopped(first: SocketAddr, second: SocketAddr, seen: Arc<Seen>) {
    let client = HttpClient::new(PoolSettings::new());
    let mut target = first;
    while !seen.stopping.load(Ordering::SeqCst) {
        if target == first {
            let ready = client.get(first, "/readyz", Duration::from_secs(5)).await;
            if !ready.is_ok_and(|answer| answer.status.is_success()) {
                target = second;
            }
        }
        match send_request(&client, target, "x", 5000).await {
            Ok(answer) if answer.status.is_success() => &seen.answered,
            Ok(_) => &seen.refused,
            Err(HttpError::Refused | HttpError::NotConnected(_)) => continue,
            Err(_) => &seen.cut_off,
        }
        .fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against requests that a planned stop cuts off or refuses although another daemon serves.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_nothing_off() {
    let mut cell = TestCell::start(2, &[2, 2]).await;
    for executor in cell.groups.iter().flatten() {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(30)));
    }
    let seen = Arc::new(Seen::default());
    let (first, second) = (cell.daemons[0].callers, cell.daemons[1].callers);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_stopped(first, second, Arc::clone(&seen))))
        .collect();
    let progress = async || {
        let before = seen.answered.load(Ordering::SeqCst);
        wait_for("progress", async || {
            seen.answered.load(Ordering::SeqCst) > before + 4 * CALLERS
        })
        .await;
    };
    progress().await;
    let status = cell.stop(0).await.expect("an exit status");
    assert_eq!(status, ExitStatus::Success);
    progress().await;
    seen.stopping.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("a caller");
    }
    assert_eq!(seen.cut_off.load(Ordering::SeqCst), 0);
    assert_eq!(cell.owner(0).await, Some(1));
    assert_eq!(cell.owner(1).await, Some(1));
}

/// Guards against requests that are refused before a balancer can notice the failed readiness, and
/// against groups that stay without an owner until the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_taken_during_the_grace_time() {
    // Longer than the test, so that the daemon is in its grace time to the end.
    let mut cell = TestCell::start_on(FakeLog::default(), 2, &[1, 1], 600_000).await;
    let _stopping = cell.stop(0);
    let address = cell.daemons[0].callers;
    wait_for("a failed readiness", async || {
        let answer = cell.client.get(address, "/readyz", LIMIT).await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    wait_for("owners elsewhere", async || {
        cell.owner(0).await == Some(1) && cell.owner(1).await == Some(1)
    })
    .await;
    cell.until_answered(0, "x").await;
    for _ in 0..20 {
        let answer = cell.request(0, "x", 5000).await.expect("an answer");
        assert!(answer.status.is_success(), "{:?}", answer.body);
    }
}

/// Shows that the callers notice a daemon that ends without draining.
#[tokio::test(flavor = "multi_thread")]
async fn sudden_end_cuts_requests_off() {
    let mut cell = TestCell::start(2, &[2]).await;
    for executor in cell.groups.iter().flatten() {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(100)));
    }
    let seen = Arc::new(Seen::default());
    let (first, second) = (cell.daemons[0].callers, cell.daemons[1].callers);
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_stopped(first, second, Arc::clone(&seen))))
        .collect();
    wait_for("busy executors", async || {
        cell.groups[0].iter().all(|executor| executor.busy() > 0)
    })
    .await;
    cell.kill(0);
    wait_for("calls that were cut off", async || {
        seen.cut_off.load(Ordering::SeqCst) > 0
    })
    .await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
}
