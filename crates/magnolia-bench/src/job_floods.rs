//! Placement of jobs while one or two classes offer ten times the capacity: what the other classes
//! still get.

use std::collections::HashSet;

use magnolia_types::{JobKind, Millis, ResourceVector};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::replay::{ReplayJob, ReplayOutcome, ReplaySetup, replay};
use crate::workload::{
    CUSTOMERS, WORKER_CAPACITY, document, exponential, generator, spec, workers,
};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of workers of the fleet.
const FLEET: usize = 50;
/// Length of each of the three phases: before, during and after the flood.
const PHASE_MS: u64 = 30_000;
/// Load of a flood as a multiple of capacity.
const FLOOD_LOAD: f64 = 10.0;
/// Number of tasks of each job.
const TASKS: u32 = 4;
/// Kinds of work as the replay names them, with their classes and usual loads as shares of
/// capacity; the rules guarantee each class 20%.
const KINDS: [(&str, &str, f64); 3] = [
    ("batch", "batch", 0.4),
    ("middle", "service", 0.15),
    ("urgent", "urgent", 0.15),
];
const PHASES: [&str; 3] = ["before", "during", "after"];

/// Compares the scored engine with first fit.
///
/// # Errors
///
/// Fails when generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("job-floods");
    let floods: [(&str, &[usize]); 3] = [
        ("flood of the least urgent", &[0]),
        ("flood of the most urgent", &[2]),
        ("flood of both", &[0, 2]),
    ];
    let phase = if scope.small { 300 } else { PHASE_MS };
    for (scenario, flooded) in floods {
        for &seed in &scope.seeds {
            let jobs = flood_jobs(seed, flooded, phase)?;
            for (policy, rules) in [("scored", ""), ("first_fit", "placement = \"first_fit\"")] {
                let rules = document(rules)?;
                let outcome = replay(&ReplaySetup {
                    rules: &rules,
                    workers: workers(FLEET, WORKER_CAPACITY)?,
                    faulty: HashSet::new(),
                    jobs: &jobs,
                    end: Millis::new(phase * 3),
                    phase: Millis::new(phase),
                    owner_gives_up: policy == "first_fit",
                })?;
                add_rows(&mut report, scenario, policy, &outcome);
            }
        }
    }
    Ok(report)
}

fn add_rows(report: &mut BenchReport, scenario: &str, policy: &str, outcome: &ReplayOutcome) {
    let capacity = WORKER_CAPACITY.cpu_millis.get() as f64 * FLEET as f64;
    for (kind, _, _) in KINDS {
        for (phase, name) in (0..).zip(PHASES) {
            let held = outcome.held.get(&(kind, phase)).copied().unwrap_or(0.0);
            let samples = outcome.samples.get(&phase).copied().unwrap_or(1.0);
            let held = held * 100.0 / (capacity * samples);
            report.add(
                scenario,
                policy,
                &format!("{kind} {name}: processors held %"),
                held,
            );
            let waits = outcome.phase_waits.get(&(kind, phase));
            for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                let wait = waits.map_or(0.0, |waits| waits.value_at_quantile(quantile) as f64);
                report.add(
                    scenario,
                    policy,
                    &format!("{kind} {name}: wait {label} ms"),
                    wait,
                );
            }
        }
    }
    let preempted: usize = outcome.preempted.iter().sum();
    report.add(scenario, policy, "attempts that gave way", preempted as f64);
}

/// Returns the jobs of all classes in the order of their arrival.
fn flood_jobs(seed: u64, flooded: &[usize], phase: u64) -> Result<Vec<ReplayJob>, BenchError> {
    let mut random = generator(seed, 7);
    let mut jobs = Vec::new();
    for (index, (_, class, usual)) in KINDS.into_iter().enumerate() {
        let mut at = 0.0;
        while at < (phase * 3) as f64 {
            let in_flood = at as u64 / phase == 1 && flooded.contains(&index);
            let load = if in_flood { FLOOD_LOAD } else { usual };
            let mut job = draw_job(class, &mut random)?;
            job.at = Millis::new(at as u64);
            let work = job.run.get() as f64 * f64::from(TASKS);
            let share = job.spec.size.cpu_millis.get() as f64
                / (WORKER_CAPACITY.cpu_millis.get() as f64 * FLEET as f64);
            at += exponential(&mut random, work * share / load);
            jobs.push(job);
        }
    }
    jobs.sort_by_key(|job| job.at);
    Ok(jobs)
}

/// Draws a job; `flood_jobs` sets its arrival time.
fn draw_job(class: &str, random: &mut ChaCha8Rng) -> Result<ReplayJob, BenchError> {
    let customer = random.random_range(0..CUSTOMERS.len());
    let cores = random.random_range(1..=8);
    let size = ResourceVector::new(cores * 1_000, cores * 4_096, 0);
    let run = match class {
        "batch" => random.random_range(2_000..10_000),
        _ => random.random_range(500..3_000),
    };
    let run = Millis::new(run);
    Ok(ReplayJob {
        at: Millis::new(0),
        spec: spec(
            CUSTOMERS[customer],
            class,
            JobKind::Batch,
            TASKS,
            size,
            Some(run),
        )?,
        run,
        fails: false,
    })
}
