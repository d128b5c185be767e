//! Time of a placement decision by size of the fleet and of the queue.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use magnolia_config::ConfigDocument;
use magnolia_policy::{TaskEnd, new_engine};
use magnolia_types::{AttemptId, JobKind, Millis};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cluster::BenchCluster;
use crate::workload::{
    ORDER_BOOKS, WORKER_CAPACITY, book_size, document, generator, spec, workers,
};
use crate::{BenchError, BenchReport, BenchScope};

/// Fleet and queue of each scenario.
const SCENARIOS: [(usize, usize); 7] = [
    (50, 1_000),
    (50, 50_000),
    (250, 10_000),
    (500, 10_000),
    (5_000, 50_000),
    (12_000, 1_000),
    (12_000, 50_000),
];
/// Measured rounds of each run.
const ROUNDS: usize = 20_000;
/// Rounds of the baseline on large fleets, where each takes milliseconds.
const SLOW_ROUNDS: usize = 300;
/// Tasks of each job.
const TASKS_PER_JOB: u32 = 10;
/// Starts of the measured calls.
const STARTS_PER_CALL: usize = 64;
/// Largest time that is told apart, in nanoseconds.
const MAX_NANOS: u64 = 60_000_000_000;

/// Measures the scored engine against first fit.
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
                let seen = measure(&rules, fleet, queue, rounds, seed)?;
                let micros = |nanos: u64| nanos as f64 / 1000.0;
                report.add(
                    &scenario,
                    policy,
                    "p50 us",
                    micros(seen.times.value_at_quantile(0.5)),
                );
                report.add(
                    &scenario,
                    policy,
                    "p99 us",
                    micros(seen.times.value_at_quantile(0.99)),
                );
                report.add(&scenario, policy, "decisions/s on one core", seen.rate());
            }
        }
    }
    Ok(report)
}

/// What a run measured.
struct DecisionTimes {
    times: Histogram<u64>,
    starts: usize,
    busy: Duration,
}

impl DecisionTimes {
    /// Starts by time spent in the engine, reports of ends and starts included.
    fn rate(&self) -> f64 {
        self.starts as f64 / self.busy.as_secs_f64().max(f64::MIN_POSITIVE)
    }
}

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
    let mut seen = DecisionTimes {
        times: times.map_err(|error| BenchError::Work(error.to_string()))?,
        starts: 0,
        busy: Duration::ZERO,
    };
    for _ in 0..rounds {
        now = now.saturating_add(Millis::new(1));
        let ended = running.swap_remove(random.random_range(0..running.len()));
        let began = Instant::now();
        cluster.end(&ended, TaskEnd::Succeeded, now);
        let asked = Instant::now();
        let decisions = cluster.engine.decide(now, STARTS_PER_CALL);
        let decided = asked.elapsed();
        let outcome = cluster.carry_out(decisions, now)?;
        seen.busy += began.elapsed();
        seen.starts += outcome.started.len();
        seen.times
            .saturating_record(u64::try_from(decided.as_nanos()).unwrap_or(MAX_NANOS));
        running.extend(outcome.started.iter().map(|record| record.attempt.clone()));
        // Preempted attempts end at once, as if their checkpoint took no time.
        for (attempt, _) in outcome.preempted {
            running.retain(|known| *known != attempt);
            cluster.end(&attempt, TaskEnd::Interrupted, now);
        }
        if cluster.engine.waiting_tasks() + TASKS_PER_JOB as usize <= queue {
            refill(&mut cluster, queue, &mut random, now)?;
        }
    }
    Ok(seen)
}

/// Queues jobs until `queue` tasks wait: nine of ten batch jobs, the others urgent.
fn refill(
    cluster: &mut BenchCluster,
    queue: usize,
    random: &mut ChaCha8Rng,
    now: Millis,
) -> Result<(), BenchError> {
    while cluster.engine.waiting_tasks() < queue {
        let book = random.random_range(0..ORDER_BOOKS.len());
        let class = if random.random_bool(0.9) {
            "batch"
        } else {
            "urgent"
        };
        let run = Some(Millis::new(random.random_range(1_000..600_000)));
        let size = book_size(book, random);
        let spec = spec(
            ORDER_BOOKS[book],
            class,
            JobKind::Batch,
            TASKS_PER_JOB,
            size,
            run,
        )?;
        cluster.submit(&spec, now)?;
    }
    Ok(())
}
