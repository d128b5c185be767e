//! Memory that the placement engine needs per worker and per waiting task.

use magnolia_policy::new_engine;
use magnolia_types::{JobKind, Millis, ResourceVector};

use crate::cluster::BenchCluster;
use crate::workload::{CUSTOMERS, WORKER_CAPACITY, document, spec, worker};
use crate::{BenchError, BenchReport, BenchScope};

/// Numbers of workers between which memory is compared. The first one fills memory that the
/// allocator had free, so that only the growth from there on counts.
const FLEETS: [usize; 5] = [40_000, 80_000, 160_000, 240_000, 320_000];
/// Numbers of waiting tasks between which memory is compared.
const QUEUES: [u32; 5] = [200_000, 400_000, 800_000, 1_200_000, 1_600_000];
/// Number of tasks per job, by scenario.
const TASKS_PER_JOB: [u32; 2] = [1, 10];
/// Size of the memory pages that `/proc/self/statm` counts, in bytes.
const PAGE_BYTES: f64 = 4096.0;

/// Measures the growth of resident memory per worker and per waiting task.
///
/// # Errors
///
/// Fails when memory usage cannot be read or generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("memory");
    let divisor = if scope.small { 100 } else { 1 };
    // Measured clusters are not dropped, because a later one would reuse their memory.
    let mut measured_clusters = Vec::new();
    for policy in ["scored", "first_fit"] {
        let rules = document(&format!("placement = \"{policy}\""))?;
        let mut cluster = BenchCluster::new(new_engine(&rules), Vec::new());
        let mut points = Vec::new();
        let mut previous = 0;
        for fleet in FLEETS.map(|fleet| fleet / divisor) {
            for index in previous..fleet {
                cluster
                    .engine
                    .upsert_worker(worker(index, WORKER_CAPACITY)?);
            }
            previous = fleet;
            points.push((fleet as f64, resident_bytes()?));
        }
        measured_clusters.push(cluster);
        report.add("idle workers", policy, "bytes each (slope)", slope(&points));
        for tasks in TASKS_PER_JOB {
            let mut cluster = BenchCluster::new(new_engine(&rules), Vec::new());
            let points = grow_queue(&mut cluster, tasks, divisor as u32)?;
            measured_clusters.push(cluster);
            let scenario = format!("waiting tasks, {tasks} a job");
            report.add(&scenario, policy, "bytes each (slope)", slope(&points));
        }
    }
    Ok(report)
}

/// Queues jobs and returns pairs of the number of waiting tasks and the resident bytes.
fn grow_queue(
    cluster: &mut BenchCluster,
    tasks: u32,
    divisor: u32,
) -> Result<Vec<(f64, f64)>, BenchError> {
    let size = ResourceVector::new(1_000, 4_096, 0);
    let run = Some(Millis::from_secs(60));
    let spec = spec(CUSTOMERS[0], "batch", JobKind::Batch, tasks, size, run)?;
    let mut points = Vec::new();
    let mut previous = 0;
    for queue in QUEUES.map(|queue| queue / divisor) {
        for _ in previous / tasks..queue / tasks {
            cluster.submit(&spec, Millis::new(0))?;
        }
        previous = queue;
        points.push((f64::from(queue), resident_bytes()?));
    }
    Ok(points)
}

/// Returns the slope of the least-squares line.
fn slope(points: &[(f64, f64)]) -> f64 {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let products = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y));
    let squares = points.iter().map(|(x, _)| (x - mean_x).powi(2));
    products.sum::<f64>() / squares.sum::<f64>()
}

/// Returns the resident memory of this process.
pub(crate) fn resident_bytes() -> Result<f64, BenchError> {
    let text = std::fs::read_to_string("/proc/self/statm").map_err(BenchError::Memory)?;
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    let pages = pages.ok_or_else(|| {
        BenchError::Memory(std::io::Error::other("/proc/self/statm has another format"))
    })?;
    Ok(pages * PAGE_BYTES)
}
