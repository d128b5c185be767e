//! A short scenario that shows how the scheduler reacts when a daemon is killed.

use std::path::Path;
use std::time::Duration;

use magnolia_types::{Ran, ResultCode};

use super::run::report_violations;
use super::{ScenarioError, ScenarioRun, lab_rules};
use crate::cell::CellBuilder;
use crate::history::{History, HistoryEvent, QuickResult, monotonic_us};
use crate::load::{LoadMix, RunReport, placement_gap};

/// Number of daemons.
const DAEMONS: usize = 7;
/// Number of workers.
const WORKERS: usize = 16;
/// Number of executors.
const EXECUTORS: usize = 12;
/// Number of data centres.
const DATA_CENTRES: usize = 3;
/// Requests and jobs per second.
const RATE: u32 = 100;
/// Duration of the load in seconds.
const SECONDS: u64 = 20;
/// Time from the start of the load until the owner of the partition is killed.
const KILL_AFTER: Duration = Duration::from_secs(8);
/// Seed of the load.
const SEED: u64 = 1;
/// Unit of ownership whose owner is killed.
const UNIT: &str = "partition:p0";

/// Runs the demo and returns whether every check passed.
///
/// # Errors
///
/// Fails when the cell does not start or a call to it fails.
pub async fn run_demo(program: &Path, folder: &Path) -> Result<bool, ScenarioError> {
    println!(
        "{DAEMONS} daemons, {WORKERS} workers and {EXECUTORS} executors in {DATA_CENTRES} data \
         centres; {RATE} requests and jobs per second for {SECONDS} s, seed {SEED}"
    );
    let builder = CellBuilder::new(program, folder)
        .with_daemons(DAEMONS)
        .with_backends(WORKERS, EXECUTORS)
        .with_data_centres(DATA_CENTRES)
        .with_rules(lab_rules());
    let mut run = ScenarioRun::start(builder).await?;
    let load = run.load(RATE, LoadMix::new_mixed(), SECONDS, SEED)?;
    run.start_load(load);
    tokio::time::sleep(KILL_AFTER).await;
    let owner = run.cell.owner(0, UNIT).await?;
    let killed_us = monotonic_us();
    println!(
        "killing {}, the owner of {UNIT}",
        run.cell.daemons[owner].name
    );
    run.cell.kill_daemon(owner).await?;
    let history = run.finish().await?;
    println!("\n{}", RunReport::new(&history));
    print_effects(&history, killed_us);
    Ok(report_violations(&history, &run.cell.history_folder()))
}

/// Prints the effects of the kill on requests and placements.
fn print_effects(history: &History, killed_us: u64) {
    let mut lost = 0;
    let mut refused = 0;
    for (_, event) in history.iter().filter(|(at_us, _)| *at_us >= killed_us) {
        let HistoryEvent::QuickDone { result, .. } = event else {
            continue;
        };
        match result {
            QuickResult::Lost { sent: true } => lost += 1,
            QuickResult::Refused { code, ran } if *code != ResultCode::InProgress => match ran {
                Ran::Unknown => lost += 1,
                _ => refused += 1,
            },
            _ => {}
        }
    }
    println!("after the kill: {lost} quick requests with unknown outcome, {refused} refused");
    match placement_gap(history, killed_us) {
        Some(gap) => println!("no placements for {:.1} s", gap.seconds()),
        None => println!("no new owner placed work"),
    }
}
