//! Waiting time by class at loads from 0.3 to 1.2 times the capacity.

use std::collections::HashSet;

use magnolia_types::{JobKind, Millis, ResourceVector};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::replay::{ReplayJob, ReplaySetup, replay};
use crate::workload::{
    CUSTOMERS, WORKER_CAPACITY, document, draw_task_size, exponential, generator, spec, workers,
};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of workers of the fleet.
const FLEET: usize = 50;
/// Offered work as a share of the capacity of the scarcest resource that the service leaves.
const LOADS: [f64; 7] = [0.3, 0.5, 0.7, 0.9, 1.0, 1.1, 1.2];
/// Simulated time, in milliseconds.
const LENGTH_MS: u64 = 300_000;
/// Number of tasks of the service that runs from the start; each takes 4 processors until the end.
const SERVICE_TASKS: u32 = 60;

/// Compares first fit with the scored engine at the default settings, at the lowest and the highest
/// packing weight, and without headroom.
///
/// # Errors
///
/// Fails when generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("waiting");
    let policies = [
        ("scored", ""),
        ("scored w=0", "packing_weight = 0"),
        ("scored w=100", "packing_weight = 100"),
        ("scored h=0", "headroom_percent = 0"),
        ("first_fit", "placement = \"first_fit\""),
    ];
    let loads = if scope.small { &LOADS[..1] } else { &LOADS[..] };
    let length = if scope.small { 5_000 } else { LENGTH_MS };
    for &load in loads {
        for &seed in &scope.seeds {
            let jobs = mixed_jobs(seed, load, length)?;
            for (policy, rules) in policies {
                let rules = document(rules)?;
                let outcome = replay(&ReplaySetup {
                    rules: &rules,
                    workers: workers(FLEET, WORKER_CAPACITY)?,
                    faulty: HashSet::new(),
                    jobs: &jobs,
                    end: Millis::new(length),
                    phase: Millis::new(length),
                    owner_gives_up: policy == "first_fit",
                })?;
                let scenario = format!("load {load}");
                for kind in ["urgent", "batch", "gang"] {
                    let p50 = outcome.wait_ms(kind, 0.5);
                    report.add(&scenario, policy, &format!("{kind} wait p50 ms"), p50);
                    let p99 = outcome.wait_ms(kind, 0.99);
                    report.add(&scenario, policy, &format!("{kind} wait p99 ms"), p99);
                }
                report.add(
                    &scenario,
                    policy,
                    "batch wait mean ms",
                    outcome.mean_wait_ms("batch"),
                );
                let capacity = WORKER_CAPACITY.cpu_millis.get() as f64 * FLEET as f64;
                let useful = outcome.useful * 100.0 / (capacity * length as f64);
                report.add(
                    &scenario,
                    policy,
                    "processor time of ended tasks, %",
                    useful,
                );
                let preempted: usize = outcome.preempted.iter().sum();
                report.add(
                    &scenario,
                    policy,
                    "attempts that gave way",
                    preempted as f64,
                );
            }
        }
    }
    Ok(report)
}

/// Returns a service that runs from the start, and jobs whose work in the scarcest resource is
/// `load` times the capacity that the service leaves.
///
/// # Errors
///
/// Fails when generated names are not valid.
pub fn mixed_jobs(seed: u64, load: f64, length: u64) -> Result<Vec<ReplayJob>, BenchError> {
    let mut random = generator(seed, 3);
    let mut jobs = vec![ReplayJob {
        at: Millis::new(0),
        spec: spec(
            CUSTOMERS[0],
            "service",
            JobKind::Service,
            SERVICE_TASKS,
            ResourceVector::new(4_000, 16_384, 0),
            None,
        )?,
        run: Millis::new(length * 2),
        fails: false,
    }];
    let service_cpu = f64::from(SERVICE_TASKS) * 4_000.0;
    let cpu = WORKER_CAPACITY.cpu_millis.get() as f64 * FLEET as f64 - service_cpu;
    // The service takes 4.096 MiB of memory per thousandth of a processor.
    let memory = WORKER_CAPACITY.memory_mib.get() as f64 * FLEET as f64 - service_cpu * 4.096;
    let (mut cpu_work, mut memory_work) = (0.0, 0.0);
    loop {
        // A job arrives when the earlier jobs' work, divided by the time so far, falls to `load`
        // times the capacity.
        let at = f64::max(cpu_work / cpu, memory_work / memory) / load;
        if at >= length as f64 {
            return Ok(jobs);
        }
        let mut job = draw_job(&mut random)?;
        job.at = Millis::new(at as u64);
        let work = f64::from(job.spec.tasks) * job.run.get() as f64;
        let work = exponential(&mut random, work);
        cpu_work += work * job.spec.size.cpu_millis.get() as f64;
        memory_work += work * job.spec.size.memory_mib.get() as f64;
        jobs.push(job);
    }
}

/// Draws a job; `mixed_jobs` sets its arrival time.
fn draw_job(random: &mut ChaCha8Rng) -> Result<ReplayJob, BenchError> {
    let customer = random.random_range(0..CUSTOMERS.len());
    let (class, kind, tasks, run) = match random.random_range(0..100) {
        0..40 => ("urgent", JobKind::Batch, 1..=4, 500..4_000),
        40..95 => ("batch", JobKind::Batch, 1..=8, 5_000..40_000),
        _ => ("batch", JobKind::Gang, 4..=24, 5_000..30_000),
    };
    let run = Millis::new(random.random_range(run));
    let tasks = random.random_range(tasks);
    let size = draw_task_size(customer, random);
    Ok(ReplayJob {
        at: Millis::new(0),
        spec: spec(CUSTOMERS[customer], class, kind, tasks, size, Some(run))?,
        run,
        fails: false,
    })
}
