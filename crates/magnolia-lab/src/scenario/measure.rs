//! Measures the effects of failures, planned stops and configuration changes over several runs.

use std::path::Path;
use std::time::Duration;

use hdrhistogram::Histogram;
use magnolia_config::{ConfigPublication, ConfigSection, SectionChange};
use magnolia_types::{ConfigVersion, Ran, ResultCode};
use serde_json::json;

use super::{ScenarioError, ScenarioRun, lab_rules};
use crate::cell::{CellBuilder, RunningCell};
use crate::history::{History, HistoryEvent, QuickResult, monotonic_us};
use crate::load::{LoadMix, busiest_executor, busiest_worker, placement_gap};

/// Number of daemons.
const DAEMONS: usize = 7;
/// Batch jobs and quick requests per second, together.
const RATE: u32 = 80;
/// Duration of the load in a run with a stop, in seconds.
const SECONDS: u64 = 14;
/// Time from the start of the load until the owner is stopped.
const STOP_AFTER: Duration = Duration::from_secs(3);
/// Publications per run.
const PUBLICATIONS: u64 = 20;
/// Interval between publications.
const PUBLICATION_INTERVAL: Duration = Duration::from_millis(200);
/// Largest latency that the histogram records, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Unit of ownership whose owner is stopped.
const UNIT: &str = "partition:p0";

/// Effects of one kill or planned stop of an owner.
struct StopEffects {
    /// Time without placements.
    seconds: f64,
    /// Quick requests with unknown outcome.
    lost: u64,
    /// Quick requests that were refused.
    refused: u64,
}

/// Takes each measurement in several runs and prints the results. `only` names a single measurement
/// to take.
///
/// # Errors
///
/// Fails when a cell does not start or a call to it fails.
pub async fn run_measure(
    program: &Path,
    folder: &Path,
    runs: u64,
    only: Option<&str>,
) -> Result<(), ScenarioError> {
    let is_wanted = |name: &str| only.is_none_or(|only| only == name);
    println!("{runs} runs with {DAEMONS} daemons, {RATE} requests and jobs per second");
    for is_planned in [false, true] {
        if !is_wanted(if is_planned { "stop" } else { "kill" }) {
            continue;
        }
        let name = if is_planned { "planned stop" } else { "kill" };
        let mut effects = Vec::new();
        for seed in 1..=runs {
            match measure_stop(program, folder, seed, is_planned).await? {
                Some(effect) => effects.push(effect),
                None => {
                    println!("{name} of the owner, seed {seed}: no new owner placed work")
                }
            }
        }
        print_effects(name, &effects);
    }
    if is_wanted("configuration") {
        print_configuration(program, folder, runs).await?;
    }
    if is_wanted("leaving") {
        print_leaving(program, folder, runs).await?;
    }
    Ok(())
}

async fn print_configuration(
    program: &Path,
    folder: &Path,
    runs: u64,
) -> Result<(), ScenarioError> {
    let mut latency = new_histogram();
    for _ in 0..runs {
        measure_configuration(program, folder, &mut latency).await?;
    }
    println!(
        "configuration, from publication until in force at each of {DAEMONS} daemons: p50 {} ms, \
         p99 {} ms, {} samples",
        latency.value_at_quantile(0.5) / 1000,
        latency.value_at_quantile(0.99) / 1000,
        latency.len()
    );
    Ok(())
}

async fn print_leaving(program: &Path, folder: &Path, runs: u64) -> Result<(), ScenarioError> {
    for endpoint in ["worker", "executor"] {
        let mut times = Vec::new();
        for seed in 1..=runs {
            times.push(measure_leaving(program, folder, seed, endpoint).await?);
        }
        println!(
            "leaving {endpoint}, time until its last new work: {:.2} s (median)",
            median(times)
        );
    }
    Ok(())
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are valid")
}

fn builder(program: &Path, folder: &Path, seed: u64) -> CellBuilder {
    CellBuilder::new(program, folder)
        .with_daemons(DAEMONS)
        .with_backends(8, 6)
        .with_data_centres(3)
        .with_rules(lab_rules())
        .with_seed(seed)
}

fn measured_mix() -> LoadMix {
    "quick=50,batch=50".parse().expect("the mix is valid")
}

/// Stops the owner under load and returns the effects; `None` when no new owner placed work.
async fn measure_stop(
    program: &Path,
    folder: &Path,
    seed: u64,
    is_planned: bool,
) -> Result<Option<StopEffects>, ScenarioError> {
    let mut run = ScenarioRun::start(builder(program, folder, seed)).await?;
    let load = run.load(RATE, measured_mix(), SECONDS, seed)?;
    run.start_load(load);
    tokio::time::sleep(STOP_AFTER).await;
    let owner = run.cell.owner(0, UNIT).await?;
    let stopped_us = monotonic_us();
    if is_planned {
        run.cell.stop_daemon(owner).await?;
    } else {
        run.cell.kill_daemon(owner).await?;
    }
    // Clients still choose the stopped daemon, so the history has refused connections to the end.
    let history = run.finish().await?;
    let gap = placement_gap(&history, stopped_us);
    Ok(gap.map(|gap| {
        let (lost, refused) = count_results(&history, stopped_us);
        StopEffects {
            seconds: gap.seconds(),
            lost,
            refused,
        }
    }))
}

/// Counts the quick requests that ended with unknown outcome since `since_us`, and those that were
/// refused. Refused connections and work that ran and failed do not count.
fn count_results(history: &History, since_us: u64) -> (u64, u64) {
    let results = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::QuickDone { result, .. } if at_us >= since_us => Some(result),
        _ => None,
    });
    let mut counts = (0, 0);
    for result in results {
        match result {
            QuickResult::Lost { sent: true } => counts.0 += 1,
            QuickResult::Refused {
                ran: Ran::Unknown, ..
            } => counts.0 += 1,
            QuickResult::Refused { code, .. } if *code != ResultCode::WorkFailed => counts.1 += 1,
            _ => {}
        }
    }
    counts
}

fn print_effects(name: &str, effects: &[StopEffects]) {
    if effects.is_empty() {
        return;
    }
    let median_of = |read: fn(&StopEffects) -> f64| median(effects.iter().map(read).collect());
    println!(
        "{name} of the owner: {:.2} s without placements, {} requests lost, {} refused (medians \
         of {} runs)",
        median_of(|effect| effect.seconds),
        median_of(|effect| u32::try_from(effect.lost).map_or(f64::MAX, f64::from)),
        median_of(|effect| u32::try_from(effect.refused).map_or(f64::MAX, f64::from)),
        effects.len()
    );
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}

async fn measure_configuration(
    program: &Path,
    folder: &Path,
    latency: &mut Histogram<u64>,
) -> Result<(), ScenarioError> {
    let mut run = ScenarioRun::start(builder(program, folder, 0)).await?;
    let mut sent = Vec::new();
    for round in 0..PUBLICATIONS {
        let publication = rules_change(&run.cell, round).await?;
        let through = usize::try_from(round).unwrap_or_default() % DAEMONS;
        let sent_us = monotonic_us();
        let version = run.cell.publish(through, &publication).await?;
        sent.push((sent_us, version));
        tokio::time::sleep(PUBLICATION_INTERVAL).await;
    }
    let history = run.finish().await?;
    for (sent_us, wanted) in sent {
        for daemon in &run.cell.daemons {
            let seen = history.iter().find_map(|(at_us, event)| match event {
                HistoryEvent::ConfigSeen {
                    daemon: name,
                    version,
                    ..
                } if *name == daemon.name && *version >= wanted => Some(at_us),
                _ => None,
            });
            if let Some(seen) = seen {
                latency.saturating_record(seen.saturating_sub(sent_us));
            }
        }
    }
    Ok(())
}

/// Returns a publication that changes a rule which does not affect the run.
async fn rules_change(cell: &RunningCell, round: u64) -> Result<ConfigPublication, ScenarioError> {
    let state = cell.state(0).await?;
    let version = state["config_version"].as_u64().unwrap_or_default();
    let mut rules = cell.document.rules.clone();
    rules.max_tasks = 50_000 + u32::try_from(round).unwrap_or_default();
    Ok(ConfigPublication {
        base: ConfigVersion::new(version),
        author: "lab".into(),
        changes: vec![SectionChange {
            name: "rules".into(),
            section: Some(ConfigSection::Rules(rules)),
        }],
    })
}

/// Makes a worker or executor leave and returns the time until its last new work, in seconds.
async fn measure_leaving(
    program: &Path,
    folder: &Path,
    seed: u64,
    endpoint: &str,
) -> Result<f64, ScenarioError> {
    let mut run = ScenarioRun::start(builder(program, folder, seed)).await?;
    let load = run.load(RATE, measured_mix(), 6, seed)?;
    run.start_load(load);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let history = run.cell.read_history()?;
    let (name, address) = if endpoint == "worker" {
        let index = busiest_worker(&history).unwrap_or_default();
        (format!("w{index:03}"), run.cell.worker(index))
    } else {
        let index = busiest_executor(&history).unwrap_or_default();
        (format!("e{index:03}"), run.cell.executor(index))
    };
    run.cell
        .set_faults(address, &json!({"leaving": true}))
        .await?;
    let history = run.finish().await?;
    let began = history.iter().find_map(|(at_us, event)| match event {
        HistoryEvent::Leaving { .. } => Some(at_us),
        _ => None,
    });
    let began = began.unwrap_or_default();
    let work = history.iter().filter(|(_, event)| match event {
        HistoryEvent::AttemptStarted { worker, .. } | HistoryEvent::StartRefused { worker, .. } => {
            worker.as_str() == name
        }
        HistoryEvent::RequestStarted { executor, .. }
        | HistoryEvent::RequestRefused { executor, .. } => executor.as_str() == name,
        _ => false,
    });
    let last = work.map(|(at_us, _)| at_us).max().unwrap_or(began);
    let millis = last.saturating_sub(began) / 1000;
    Ok(f64::from(u32::try_from(millis).unwrap_or(u32::MAX)) / 1000.0)
}
