//! Faulty workers, faulty jobs, jobs that fit no worker, and mass cancellations.

use std::collections::HashSet;
use std::time::Instant;

use magnolia_policy::new_engine;
use magnolia_types::{JobId, JobKind, Millis, ResourceVector, WorkerId};
use rand::RngExt;

use crate::cluster::BenchCluster;
use crate::replay::{ReplayJob, ReplaySetup, replay};
use crate::waiting::mixed_jobs;
use crate::workload::{CUSTOMERS, WORKER_CAPACITY, document, generator, spec, workers};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of workers of the fleet.
const FLEET: usize = 50;
/// One worker in this many fails every task.
const FAULTY_ONE_IN: usize = 10;
/// Simulated time, in milliseconds.
const LENGTH_MS: u64 = 300_000;
/// Offered work as a share of the capacity that the service of [`mixed_jobs`] leaves.
const LOAD: f64 = 0.7;
/// Number of jobs whose tasks fail on every worker.
const FAULTY_JOBS: usize = 20;
/// Number of jobs that fit no worker.
const IMPOSSIBLE_JOBS: usize = 20;
/// Number of jobs that are cancelled at once.
const CANCELLED_JOBS: usize = 10_000;

/// Compares the scored engine with first fit.
///
/// # Errors
///
/// Fails when generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("faults");
    let policies = [("scored", ""), ("first_fit", "placement = \"first_fit\"")];
    let length = if scope.small { 5_000 } else { LENGTH_MS };
    for &seed in &scope.seeds {
        let jobs = faulty_jobs(seed, length)?;
        for (policy, rules) in policies {
            let rules = document(rules)?;
            let workers = workers(FLEET, WORKER_CAPACITY)?;
            let faulty: HashSet<WorkerId> = (workers.iter().step_by(FAULTY_ONE_IN))
                .map(|view| view.worker.clone())
                .collect();
            let faulty_count = faulty.len();
            let outcome = replay(&ReplaySetup {
                rules: &rules,
                workers,
                faulty,
                jobs: &jobs,
                end: Millis::new(length),
                phase: Millis::new(length),
                owner_gives_up: policy == "first_fit",
            })?;
            let scenario = "1 of 10 workers fails every task";
            let lost = outcome.lost * 100.0 / (outcome.lost + outcome.useful).max(1.0);
            report.add(scenario, policy, "processor time lost, %", lost);
            report.add(
                scenario,
                policy,
                "good jobs given up",
                outcome.given_up.1 as f64,
            );
            let faulty_given_up = outcome.given_up.0 - outcome.given_up.1;
            report.add(
                scenario,
                policy,
                "faulty jobs given up (of 20)",
                faulty_given_up as f64,
            );
            report.add(
                scenario,
                policy,
                "impossible jobs refused (of 20)",
                outcome.refused as f64,
            );
            let quarantined_percent =
                outcome.quarantine_ms.len() as f64 * 100.0 / faulty_count as f64;
            report.add(
                scenario,
                policy,
                "faulty workers quarantined, %",
                quarantined_percent,
            );
            report.add(
                scenario,
                policy,
                "good workers quarantined",
                outcome.wrongly_quarantined as f64,
            );
            if let Some(&last) = outcome.quarantine_ms.iter().max() {
                report.add(scenario, policy, "all found after s", last as f64 / 1000.0);
            }
            report.add(
                scenario,
                policy,
                "batch wait p99 ms",
                outcome.wait_ms("batch", 0.99),
            );
            let (cancel_ms, decide_ms) =
                cancel_jobs(&rules, if scope.small { 100 } else { CANCELLED_JOBS })?;
            let scenario = "10,000 jobs cancelled at once";
            report.add(scenario, policy, "ms for all", cancel_ms);
            report.add(scenario, policy, "ms of the next decision", decide_ms);
        }
    }
    Ok(report)
}

/// Returns mixed jobs, among them jobs whose tasks all fail and jobs that fit no worker.
fn faulty_jobs(seed: u64, length: u64) -> Result<Vec<ReplayJob>, BenchError> {
    let mut random = generator(seed, 4);
    let mut jobs = mixed_jobs(seed, LOAD, length)?;
    for number in 0..FAULTY_JOBS + IMPOSSIBLE_JOBS {
        let fails = number < FAULTY_JOBS;
        let cores = if fails { random.random_range(1..8) } else { 65 };
        let size = ResourceVector::new(cores * 1000, cores * 2048, 0);
        let run = Millis::from_secs(10);
        let customer = CUSTOMERS[number % CUSTOMERS.len()];
        jobs.push(ReplayJob {
            at: Millis::new(random.random_range(0..length / 2)),
            spec: spec(customer, "batch", JobKind::Batch, 4, size, Some(run))?,
            run,
            fails,
        });
    }
    jobs.sort_by_key(|job| job.at);
    Ok(jobs)
}

/// Cancels `count` jobs at once; returns the time that this takes and the time of the next decision
/// in milliseconds.
fn cancel_jobs(
    rules: &magnolia_config::ConfigDocument,
    count: usize,
) -> Result<(f64, f64), BenchError> {
    let mut cluster = BenchCluster::new(new_engine(rules), workers(FLEET, WORKER_CAPACITY)?);
    let size = ResourceVector::new(8_000, 32_768, 0);
    let run = Some(Millis::from_secs(60));
    let mut jobs: Vec<JobId> = Vec::with_capacity(count);
    for number in 0..count {
        let customer = CUSTOMERS[number % CUSTOMERS.len()];
        let spec = spec(customer, "batch", JobKind::Batch, 5, size, run)?;
        jobs.push(cluster.submit(&spec, Millis::new(0))?);
    }
    cluster.decide(Millis::new(1), 1000)?;
    let start = Instant::now();
    cluster.engine.withdraw(&jobs);
    let cancel_time = start.elapsed();
    let start = Instant::now();
    cluster.decide(Millis::new(2), 1000)?;
    let decide_time = start.elapsed();
    Ok((
        cancel_time.as_secs_f64() * 1000.0,
        decide_time.as_secs_f64() * 1000.0,
    ))
}
