//! Measurements of the owner of a partition; run with `--ignored --nocapture`.

mod cell;

use std::time::{Duration, Instant};

use cell::{TestCell, batch, eventually, unit};
use magnolia_daemon::partition::hand_over;
use magnolia_types::{Epoch, JobState, Millis};

/// Number of workers of a partition at its full size.
const WORKERS: usize = 250;
/// Duration of the measured load.
const LOAD_TIME: Duration = Duration::from_secs(5);

/// Guards against one append per placement: the log takes a few hundred appends a second.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of several seconds"]
async fn appends_at_full_placement_load() {
    let cell = TestCell::new(WORKERS);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let warm = daemon.submit(batch(1, 1)).await;
    daemon.wait_state(&warm, JobState::Done).await;
    for _ in 0..20 {
        daemon.submit(batch(2000, 400)).await;
    }
    let (appends, calls, starts) = (
        cell.log.appends(),
        cell.fleet.calls(),
        cell.fleet.runs().len(),
    );
    let began = Instant::now();
    tokio::time::sleep(LOAD_TIME).await;
    let seconds = began.elapsed().as_secs_f64();
    let appends = cell.log.appends() - appends;
    let starts = cell.fleet.runs().len() - starts;
    let calls = cell.fleet.calls() - calls;
    let dump = daemon.context.partitions.dump();
    println!("{WORKERS} workers, tasks of 400 ms");
    println!("starts a second: {:.0}", starts as f64 / seconds);
    println!("appends a second: {:.1}", appends as f64 / seconds);
    println!("worker messages a second: {:.0}", calls as f64 / seconds);
    println!("journal: {}", dump[unit().as_str()]["journal"]);
    assert!(appends as f64 / seconds < 100.0);
}

/// Measures the time without placements after the owner was killed, until the next owner places.
/// The next owner claims at once, so that the detection of the failure is not included.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of several seconds"]
async fn time_without_placements_after_a_kill() {
    for round in 0..5 {
        let cell = TestCell::new(WORKERS);
        let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
        first.claim(1).await;
        // Ten times the capacity of the workers, so that tasks always wait and ends always free
        // capacity.
        first.submit(batch(20_000, 400 + 10 * round)).await;
        eventually("tasks run", || cell.fleet.runs().len() >= 2000).await;
        first.gate.set_open(false);
        let killed = cell.fleet.now();
        second.claim(2).await;
        report_gap(&cell, killed).await;
    }
}

/// Measures the time without placements from the start of a planned handover.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of several seconds"]
async fn time_without_placements_in_a_handover() {
    for round in 0..5 {
        let cell = TestCell::new(WORKERS);
        let first = cell.daemon("d1");
        let (second, successor) = cell.reachable_daemon("d2").await;
        first.claim(1).await;
        first.submit(batch(20_000, 400 + 10 * round)).await;
        eventually("tasks run", || cell.fleet.runs().len() >= 2000).await;
        let began = cell.fleet.now();
        assert!(hand_over(&first.context, &unit(), &successor).await);
        second.claim(2).await;
        report_gap(&cell, began).await;
    }
}

/// Prints the time without placements from `began`, and from the last start by the first owner,
/// until the first start by the next owner.
async fn report_gap(cell: &TestCell, began: Millis) {
    let starts = |epoch: u64| {
        let runs = cell.fleet.runs().into_iter();
        let runs = runs.filter(move |run| run.epoch == Epoch::new(epoch));
        runs.map(|run| run.started)
    };
    eventually("the next owner places", || starts(2).next().is_some()).await;
    let next = starts(2).min().unwrap_or_default();
    let last = starts(1).max().unwrap_or_default();
    let (since_begin, since_last) = (next.saturating_sub(began), next.saturating_sub(last));
    println!("{since_begin} after the kill or handover, {since_last} after the last start");
    cell.fleet.assert_single_runs();
}
