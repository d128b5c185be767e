//! Generates rules, workers and jobs.

use std::sync::Arc;

use magnolia_config::ConfigDocument;
use magnolia_policy::{WorkerCondition, WorkerView};
use magnolia_types::{
    CustomerName, JobKind, JobSpec, Millis, RackName, ResourceVector, WorkClass, WorkerId,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::BenchError;

/// Number of workers per rack.
const WORKERS_PER_RACK: usize = 8;
/// Customers that share the fleet; the report of the packing benchmark calls a customer a "book".
pub const CUSTOMERS: [&str; 4] = ["north", "south", "east", "west"];
/// Capacity of a worker at the site Hradecky: 64 processors and 256 GiB of memory.
pub const WORKER_CAPACITY: ResourceVector = ResourceVector::new(64_000, 262_144, 0);

/// Returns a random number generator. Each kind of generated work has its own stream, so that its
/// numbers do not depend on the others.
pub fn generator(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Draws from an exponential distribution with this mean.
pub fn exponential(random: &mut ChaCha8Rng, mean: f64) -> f64 {
    let uniform: f64 = random.random();
    -(1.0 - uniform).ln() * mean
}

/// Builds a configuration with these lines in its rules section, three classes and the four
/// customers.
///
/// # Errors
///
/// Fails when `rules` is not valid TOML of the rules section.
pub fn document(rules: &str) -> Result<ConfigDocument, BenchError> {
    let customers = CUSTOMERS.map(|name| format!("[[customer]]\nname = \"{name}\"\n"));
    let text = format!(
        "[cell]\nname = \"bench\"\n[rules]\n{rules}\n{}\
         [[class]]\nname = \"batch\"\nrank = 1\nfloor_percent = 20\npreemptible = true\n\
         [[class]]\nname = \"service\"\nrank = 5\nfloor_percent = 20\n\
         [[class]]\nname = \"urgent\"\nrank = 7\nfloor_percent = 20\n",
        customers.concat()
    );
    Ok(ConfigDocument::from_toml(&text)?)
}

/// Creates `count` workers in racks of eight.
///
/// # Errors
///
/// Fails when a name is not valid.
pub fn workers(count: usize, capacity: ResourceVector) -> Result<Vec<WorkerView>, BenchError> {
    (0..count).map(|index| worker(index, capacity)).collect()
}

/// Creates the worker with this index; consecutive workers share a rack.
///
/// # Errors
///
/// Fails when a name is not valid.
pub fn worker(index: usize, capacity: ResourceVector) -> Result<WorkerView, BenchError> {
    Ok(WorkerView {
        worker: WorkerId::new(&format!("w{index:05}"))?,
        rack: RackName::new(&format!("r{}", index / WORKERS_PER_RACK))?,
        capacity,
        condition: WorkerCondition::Usable,
    })
}

/// Creates a repeatable job that is given up after three failed attempts of one task.
///
/// # Errors
///
/// Fails when a name is not valid.
pub fn spec(
    customer: &str,
    class: &str,
    kind: JobKind,
    tasks: u32,
    size: ResourceVector,
    run: Option<Millis>,
) -> Result<Arc<JobSpec>, BenchError> {
    Ok(Arc::new(JobSpec {
        customer: CustomerName::new(customer)?,
        class: WorkClass::new(class)?,
        kind,
        tasks,
        size,
        run_ms: run,
        repeatable: true,
        idempotency_key: None,
        max_attempts: 3,
    }))
}

/// Draws the size of a task of the customer with this index.
///
/// The customers differ in the shape of their tasks: much CPU, much memory, balanced and small,
/// balanced and large.
pub fn draw_task_size(customer: usize, random: &mut ChaCha8Rng) -> ResourceVector {
    let (cores, gib_per_core) = match customer % 4 {
        0 => (random.random_range(2..=16), random.random_range(1.0..3.0)),
        1 => (random.random_range(1..=8), random.random_range(5.0..12.0)),
        2 => (random.random_range(1..=4), random.random_range(3.0..5.0)),
        _ => (random.random_range(8..=24), random.random_range(3.0..5.0)),
    };
    let memory = f64::from(cores) * gib_per_core * 1024.0;
    ResourceVector::new(cores as u64 * 1000, memory as u64, 0)
}
