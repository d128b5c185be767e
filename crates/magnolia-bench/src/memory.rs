//! Memory of the engine per worker and per waiting task.

use magnolia_policy::new_engine;
use magnolia_types::{JobKind, Millis, ResourceVector};

use crate::cluster::BenchCluster;
use crate::workload::{ORDER_BOOKS, WORKER_CAPACITY, document, spec, worker};
use crate::{BenchError, BenchReport, BenchScope};

/// Fleets of the slope per worker. The first point takes up what was free before, so that only the
/// growth between the points counts.
const FLEETS: [usize; 5] = [40_000, 80_000, 160_000, 240_000, 320_000];
/// Waiting tasks of the slope per task.
const QUEUES: [u32; 5] = [200_000, 400_000, 800_000, 1_200_000, 1_600_000];
/// Tasks of each job.
const TASKS_PER_JOB: [u32; 2] = [1, 10];
/// Bytes of a page of memory as `/proc/self/statm` counts.
const PAGE_BYTES: f64 = 4096.0;

/// Measures the slopes of resident memory while one engine grows.
///
/// # Errors
///
/// Fails when memory cannot be read or generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("memory");
    let cut = if scope.small { 100 } else { 1 };
    // Finished clusters stay alive, so that a later one does not reuse their memory.
    let mut alive = Vec::new();
    for policy in ["scored", "first_fit"] {
        let rules = document(&format!("placement = \"{policy}\""))?;
        let mut cluster = BenchCluster::new(new_engine(&rules), Vec::new());
        let mut points = Vec::new();
        let mut known = 0;
        for fleet in FLEETS.map(|fleet| fleet / cut) {
            for index in known..fleet {
                cluster
                    .engine
                    .upsert_worker(worker(index, WORKER_CAPACITY)?);
            }
            known = fleet;
            points.push((fleet as f64, resident_bytes()?));
        }
        alive.push(cluster);
        report.add("idle workers", policy, "bytes each (slope)", slope(&points));
        for tasks in TASKS_PER_JOB {
            let mut cluster = BenchCluster::new(new_engine(&rules), Vec::new());
            let points = grow_queue(&mut cluster, tasks, cut as u32)?;
            alive.push(cluster);
            let scenario = format!("waiting tasks, {tasks} a job");
            report.add(&scenario, policy, "bytes each (slope)", slope(&points));
        }
    }
    Ok(report)
}

fn grow_queue(
    cluster: &mut BenchCluster,
    tasks: u32,
    cut: u32,
) -> Result<Vec<(f64, f64)>, BenchError> {
    let size = ResourceVector::new(1_000, 4_096, 0);
    let run = Some(Millis::from_secs(60));
    let spec = spec(ORDER_BOOKS[0], "batch", JobKind::Batch, tasks, size, run)?;
    let mut points = Vec::new();
    let mut known = 0;
    for queue in QUEUES.map(|queue| queue / cut) {
        for _ in known / tasks..queue / tasks {
            cluster.submit(&spec, Millis::new(0))?;
        }
        known = queue;
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

fn resident_bytes() -> Result<f64, BenchError> {
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
