//! Utilization of the fleet at the time when the first job has to wait.

use magnolia_config::ConfigDocument;
use magnolia_policy::{TaskEnd, new_engine};
use magnolia_types::{JobKind, Millis, ResourceVector};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::cluster::BenchCluster;
use crate::workload::{
    CUSTOMERS, WORKER_CAPACITY, document, draw_task_size, generator, spec, workers,
};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of workers of the fleet.
const FLEET: usize = 50;
/// Number of tasks that complete before the measured ones, so that the engine can learn sizes.
const WARM_UP_TASKS: usize = 400;
/// Largest factor between the declared and the true size, in either direction.
const MAX_ERROR: f64 = 3.0;

/// How the declared sizes differ from the true ones.
#[derive(Clone, Copy)]
enum SizeError {
    /// Not at all.
    None,
    /// By a factor for each customer, which varies by up to 5% between tasks.
    ByCustomer,
    /// By a separate factor for each job.
    ByJob,
}

/// A task with its true and its declared size.
struct StreamTask {
    customer: usize,
    size: ResourceVector,
    declared: ResourceVector,
}

/// Compares the scored engine with first fit and with an upper bound for every placement.
///
/// Tasks are placed in order, so that no placement can hold more of the stream than its longest
/// prefix whose sum is at most the total of all workers in every resource.
///
/// # Errors
///
/// Fails when generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("packing");
    let policies = [
        ("scored", "headroom_percent = 0"),
        ("scored w=100", "headroom_percent = 0\npacking_weight = 100"),
        ("scored w=0", "headroom_percent = 0\npacking_weight = 0"),
        ("scored h=5%", "headroom_percent = 5"),
        ("first_fit", "placement = \"first_fit\""),
    ];
    let errors = [
        ("true sizes", SizeError::None),
        ("off by book, up to 3 times", SizeError::ByCustomer),
        ("off by job, up to 3 times", SizeError::ByJob),
    ];
    for (scenario, error) in errors {
        for &seed in &scope.seeds {
            let stream = stream(seed, error);
            report.add(
                scenario,
                "bound",
                "true use, % of scarcest",
                bound(&stream[WARM_UP_TASKS..]),
            );
            for (policy, rules) in policies {
                let filled = fill(&document(rules)?, &stream)?;
                report.add(
                    scenario,
                    policy,
                    "true use, % of scarcest",
                    filled.used_percent,
                );
                report.add(
                    scenario,
                    policy,
                    "workers used beyond capacity",
                    filled.overcommitted,
                );
            }
        }
    }
    Ok(report)
}

/// Returns the tasks of a run in the order of their submission.
fn stream(seed: u64, error: SizeError) -> Vec<StreamTask> {
    let mut random = generator(seed, 2);
    let factor = |random: &mut ChaCha8Rng| MAX_ERROR.powf(random.random_range(-1.0..1.0));
    let by_customer = CUSTOMERS.map(|_| factor(&mut random));
    let tasks = (0..WARM_UP_TASKS + FLEET * 64).map(|_| {
        let customer = random.random_range(0..CUSTOMERS.len());
        let size = draw_task_size(customer, &mut random);
        let factor = match error {
            SizeError::None => 1.0,
            SizeError::ByCustomer => by_customer[customer] * random.random_range(0.95..1.05),
            SizeError::ByJob => factor(&mut random),
        };
        let declared = scaled(&size, factor);
        StreamTask {
            customer,
            size,
            declared,
        }
    });
    tasks.collect()
}

/// Multiplies a size by a factor, up to the capacity of a worker.
fn scaled(size: &ResourceVector, factor: f64) -> ResourceVector {
    let scale = |amount: u64, max: u64| ((amount as f64 * factor) as u64).clamp(1, max);
    ResourceVector::new(
        scale(size.cpu_millis.get(), WORKER_CAPACITY.cpu_millis.get()),
        scale(size.memory_mib.get(), WORKER_CAPACITY.memory_mib.get()),
        0,
    )
}

/// Returns the used share of the scarcest resource of the fleet, in percent.
fn share_percent(used: &ResourceVector) -> f64 {
    let share = |used: u64, each: u64| used as f64 * 100.0 / (each * FLEET as u64) as f64;
    share(used.cpu_millis.get(), WORKER_CAPACITY.cpu_millis.get()).max(share(
        used.memory_mib.get(),
        WORKER_CAPACITY.memory_mib.get(),
    ))
}

/// Returns the utilization that no placement can exceed, in percent.
fn bound(stream: &[StreamTask]) -> f64 {
    let mut used = ResourceVector::default();
    for task in stream {
        let next = used.saturating_add(&task.size);
        if share_percent(&next) > 100.0 {
            break;
        }
        used = next;
    }
    share_percent(&used)
}

/// Result of filling the fleet.
struct FilledFleet {
    /// True use of the scarcest resource, in percent.
    used_percent: f64,
    /// Number of workers whose tasks together use more than the capacity.
    overcommitted: f64,
}

/// Runs the warm-up tasks, then places tasks until the first one has to wait.
fn fill(rules: &ConfigDocument, stream: &[StreamTask]) -> Result<FilledFleet, BenchError> {
    let mut cluster = BenchCluster::new(new_engine(rules), workers(FLEET, WORKER_CAPACITY)?);
    let mut now = Millis::new(0);
    for task in &stream[..WARM_UP_TASKS] {
        now = now.saturating_add(Millis::new(1000));
        submit(&mut cluster, task, now)?;
        for record in cluster.decide(now, 1)?.started {
            cluster.engine.observe_usage(&record.attempt, task.size);
            cluster.end(&record.attempt, TaskEnd::Succeeded, now);
        }
    }
    let mut used = ResourceVector::default();
    let mut by_worker = std::collections::HashMap::new();
    for task in &stream[WARM_UP_TASKS..] {
        submit(&mut cluster, task, now)?;
        let started = cluster.decide(now, 1)?.started;
        let Some(record) = started.first() else {
            break;
        };
        used = used.saturating_add(&task.size);
        let on_worker: &mut ResourceVector = by_worker.entry(record.worker.clone()).or_default();
        *on_worker = on_worker.saturating_add(&task.size);
    }
    let overcommitted_workers = by_worker
        .values()
        .filter(|used| !used.fits_in(&WORKER_CAPACITY));
    Ok(FilledFleet {
        used_percent: share_percent(&used),
        overcommitted: overcommitted_workers.count() as f64,
    })
}

fn submit(cluster: &mut BenchCluster, task: &StreamTask, now: Millis) -> Result<(), BenchError> {
    let run = Some(Millis::from_secs(60));
    let spec = spec(
        CUSTOMERS[task.customer],
        "batch",
        JobKind::Batch,
        1,
        task.declared,
        run,
    )?;
    cluster.submit(&spec, now)?;
    Ok(())
}
