//! Time that a placement decision takes, by the size of the fleet and of the queue.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use magnolia_config::ConfigDocument;
use magnolia_policy::{TaskEnd, new_engine};
use magnolia_types::{AttemptId, JobKind, Millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cluster::BenchCluster;
use crate::workload::{
    CUSTOMERS, WORKER_CAPACITY, document, draw_task_size, generator, spec, workers,
};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of workers and of waiting tasks of each scenario.
const SCENARIOS: [(usize, usize); 7] = [
    (50, 1_000),
    (50, 50_000),
    (250, 10_000),
    (500, 10_000),
    (5_000, 50_000),
    (12_000, 1_000),
    (12_000, 50_000),
];
/// Number of measured rounds of a run.
const ROUNDS: usize = 20_000;
/// Number of rounds of first fit on fleets of 5,000 workers or more, where a round takes
/// milliseconds.
const SLOW_ROUNDS: usize = 300;
/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 10;
/// Maximum number of starts per measured call.
const STARTS_PER_CALL: usize = 64;
/// Longest time that the histogram records, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

/// Compares the scored engine with first fit.
///
/// # Errors
///
/// Fails when generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("decisions");
    let scenarios = if scope.small {
        &SCENARIOS[..1]
    } else {
        &SCENARIOS[..]
    };
    for &(fleet, queue) in scenarios {
        for policy in ["scored", "first_fit"] {
            let rules = document(&format!("placement = \"{policy}\""))?;
            for &seed in &scope.seeds {
                let rounds = match (scope.small, policy, fleet) {
                    (true, ..) => 200,
                    (_, "first_fit", 5_000..) => SLOW_ROUNDS,
                    _ => ROUNDS,
                };
                let scenario = format!("{fleet} workers, {queue} waiting");
                let measured = measure(&rules, fleet, queue, rounds, seed)?;
                let micros = |nanos: u64| nanos as f64 / 1000.0;
                report.add(
                    &scenario,
                    policy,
                    "p50 us",
                    micros(measured.times.value_at_quantile(0.5)),
                );
                report.add(
                    &scenario,
                    policy,
                    "p99 us",
                    micros(measured.times.value_at_quantile(0.99)),
                );
                report.add(
                    &scenario,
                    policy,
                    "decisions/s on one core",
                    measured.rate(),
                );
            }
        }
    }
    Ok(report)
}

/// Measurements of a run.
struct DecisionTimes {
    /// Time of each `decide` call, in nanoseconds.
    times: Histogram<u64>,
    /// Number of started attempts.
    starts: usize,
    /// Total time spent in the engine.
    busy: Duration,
}

impl DecisionTimes {
    /// Returns the starts per second of time in the engine, including the calls that report ends
    /// and starts to it.
    fn rate(&self) -> f64 {
        self.starts as f64 / self.busy.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

/// Fills the fleet and the queue, then measures rounds that each end one attempt and decide again.
fn measure(
    rules: &ConfigDocument,
    fleet: usize,
    queue: usize,
    rounds: usize,
    seed: u64,
) -> Result<DecisionTimes, BenchError> {
    let mut random = generator(seed, 1);
    let mut cluster = BenchCluster::new(new_engine(rules), workers(fleet, WORKER_CAPACITY)?);
    let mut now = Millis::new(0);
    let mut running: Vec<AttemptId> = Vec::new();
    loop {
        refill(&mut cluster, queue, &mut random, now)?;
        let outcome = cluster.decide(now, 10_000)?;
        running.extend(outcome.started.iter().map(|record| record.attempt.clone()));
        if outcome.started.is_empty() {
            break;
        }
    }
    refill(&mut cluster, queue, &mut random, now)?;
    let times = Histogram::new_with_max(MAX_NANOS, 3);
    let mut measured = DecisionTimes {
        times: times.map_err(|error| BenchError::Work(error.to_string()))?,
        starts: 0,
        busy: Duration::ZERO,
    };
    for _ in 0..rounds {
        now = now.saturating_add(Millis::new(1));
        let ended = running.swap_remove(random.random_range(0..running.len()));
        let round_start = Instant::now();
        cluster.end(&ended, TaskEnd::Succeeded, now);
        let decide_start = Instant::now();
        let decisions = cluster.engine.decide(now, STARTS_PER_CALL);
        let decide_time = decide_start.elapsed();
        let outcome = cluster.carry_out(decisions, now)?;
        measured.busy += round_start.elapsed();
        measured.starts += outcome.started.len();
        measured
            .times
            .saturating_record(u64::try_from(decide_time.as_nanos()).unwrap_or(MAX_NANOS));
        running.extend(outcome.started.iter().map(|record| record.attempt.clone()));
        // Preempted attempts end at once, as if checkpoints took no time.
        for (attempt, _) in outcome.preempted {
            running.retain(|running_attempt| *running_attempt != attempt);
            cluster.end(&attempt, TaskEnd::Interrupted, now);
        }
        if cluster.engine.waiting_tasks() + TASKS_PER_JOB as usize <= queue {
            refill(&mut cluster, queue, &mut random, now)?;
        }
    }
    Ok(measured)
}

/// Queues jobs until `queue` tasks wait. One job in ten is urgent, one in twenty is a batch gang,
/// and the others are plain batch jobs.
fn refill(
    cluster: &mut BenchCluster,
    queue: usize,
    random: &mut ChaCha8Rng,
    now: Millis,
) -> Result<(), BenchError> {
    while cluster.engine.waiting_tasks() < queue {
        let customer = random.random_range(0..CUSTOMERS.len());
        let (class, kind) = match random.random_range(0..20) {
            0 | 1 => ("urgent", JobKind::Batch),
            2 => ("batch", JobKind::Gang),
            _ => ("batch", JobKind::Batch),
        };
        let run = Some(Millis::new(random.random_range(1_000..600_000)));
        let size = draw_task_size(customer, random);
        let spec = spec(CUSTOMERS[customer], class, kind, TASKS_PER_JOB, size, run)?;
        cluster.submit(&spec, now)?;
    }
    Ok(())
}
