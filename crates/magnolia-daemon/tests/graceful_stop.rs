//! Planned stops of a daemon under load, over real connections.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use magnolia_daemon::ExitStatus;
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use support::{ExecutorMode, FakeLog, TIMEOUT, TestCell, send_request, wait_for};

/// Number of callers; each has its own connections.
const CALLERS: usize = 16;

/// Outcomes of the calls of all callers.
#[derive(Default)]
struct CallCounts {
    /// Calls that succeeded.
    answered: AtomicUsize,
    /// Calls with an error response.
    refused: AtomicUsize,
    /// Calls that were connected but got no complete response.
    interrupted: AtomicUsize,
    /// Tells the callers to stop.
    stopping: AtomicBool,
}

/// Calls daemons like a caller behind a load balancer: the first one until its readiness check
/// fails or it does not accept connections, then the second one.
async fn call_until_stopped(first: SocketAddr, second: SocketAddr, counts: Arc<CallCounts>) {
    let client = HttpClient::new(PoolSettings::new());
    let mut target = first;
    while !counts.stopping.load(Ordering::SeqCst) {
        if target == first {
            let ready = client.get(first, "/readyz", Duration::from_secs(5)).await;
            if !ready.is_ok_and(|answer| answer.status.is_success()) {
                target = second;
            }
        }
        match send_request(&client, target, "x", 5000).await {
            Ok(answer) if answer.status.is_success() => &counts.answered,
            Ok(_) => &counts.refused,
            Err(HttpError::Refused | HttpError::NotConnected(_)) => continue,
            Err(_) => &counts.interrupted,
        }
        .fetch_add(1, Ordering::SeqCst);
    }
}

/// Guards against requests that are interrupted by a planned stop of a daemon while another daemon
/// serves.
#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_interrupts_no_request() {
    let mut cell = TestCell::start(2, &[2, 2]).await;
    for executor in cell.groups.iter().flatten() {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(30)));
    }
    let counts = Arc::new(CallCounts::default());
    let (first, second) = (
        cell.daemons[0].caller_address,
        cell.daemons[1].caller_address,
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_stopped(first, second, Arc::clone(&counts))))
        .collect();
    let wait_for_progress = async || {
        let before = counts.answered.load(Ordering::SeqCst);
        wait_for("progress", async || {
            counts.answered.load(Ordering::SeqCst) > before + 4 * CALLERS
        })
        .await;
    };
    wait_for_progress().await;
    let status = cell.stop(0).await.expect("an exit status");
    assert_eq!(status, ExitStatus::Success);
    wait_for_progress().await;
    counts.stopping.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.expect("a caller");
    }
    assert_eq!(counts.interrupted.load(Ordering::SeqCst), 0);
    assert_eq!(cell.owner(0).await, Some(1));
    assert_eq!(cell.owner(1).await, Some(1));
}

/// Guards against requests that are refused before a load balancer can notice the failed readiness
/// check, and against groups that are not handed over until the process ends.
#[tokio::test(flavor = "multi_thread")]
async fn requests_are_accepted_during_the_grace_period() {
    // The grace period is longer than the test, so that the daemon stays in it to the end.
    let mut cell = TestCell::start_on(FakeLog::default(), 2, &[1, 1], 600_000).await;
    let _stopping = cell.stop(0);
    let address = cell.daemons[0].caller_address;
    wait_for("failed readiness check", async || {
        let answer = cell.client.get(address, "/readyz", TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    wait_for("new owners of both groups", async || {
        cell.owner(0).await == Some(1) && cell.owner(1).await == Some(1)
    })
    .await;
    cell.wait_until_answered(0, "x").await;
    for _ in 0..20 {
        let answer = cell.request(0, "x", 5000).await.expect("an answer");
        assert!(answer.status.is_success(), "{:?}", answer.body);
    }
}

/// Guards against a stopping daemon that knows no other one when its stop begins and then keeps its
/// groups until it ends.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_the_grace_period_takes_over() {
    let mut cell = TestCell::start_on(FakeLog::default(), 1, &[1, 1], 600_000).await;
    let _stopping = cell.stop(0);
    let address = cell.daemons[0].caller_address;
    wait_for("failed readiness check", async || {
        let answer = cell.client.get(address, "/readyz", TIMEOUT).await;
        answer.is_ok_and(|answer| answer.status == 503)
    })
    .await;
    // The stop looks for a successor and finds none.
    tokio::time::sleep(Duration::from_secs(1)).await;
    cell.start_daemon("d1");
    wait_for("new owners of both groups", async || {
        cell.owner(0).await == Some(1) && cell.owner(1).await == Some(1)
    })
    .await;
    cell.wait_until_answered(0, "x").await;
}

/// Shows that the callers of these tests detect a daemon that ends without draining.
#[tokio::test(flavor = "multi_thread")]
async fn sudden_end_interrupts_requests() {
    let mut cell = TestCell::start(2, &[2]).await;
    for executor in cell.groups.iter().flatten() {
        executor.set_mode(ExecutorMode::Answer(Duration::from_millis(100)));
    }
    let counts = Arc::new(CallCounts::default());
    let (first, second) = (
        cell.daemons[0].caller_address,
        cell.daemons[1].caller_address,
    );
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| tokio::spawn(call_until_stopped(first, second, Arc::clone(&counts))))
        .collect();
    wait_for("busy executors", async || {
        cell.groups[0].iter().all(|executor| executor.busy() > 0)
    })
    .await;
    cell.kill(0);
    wait_for("interrupted call", async || {
        counts.interrupted.load(Ordering::SeqCst) > 0
    })
    .await;
    callers.iter().for_each(tokio::task::JoinHandle::abort);
}
