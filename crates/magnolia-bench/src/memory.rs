//! Memory of the engine per worker and per waiting task.

use magnolia_policy::new_engine;
use magnolia_types::{JobKind, Millis, ResourceVector};

use crate::cluster::BenchCluster;
use crate::workload::{ORDER_BOOKS, WORKER_CAPACITY, document, spec, workers};
use crate::{BenchError, BenchReport, BenchScope};

/// Fleets of the slope per worker.
const FLEETS: [usize; 5] = [10_000, 20_000, 40_000, 60_000, 80_000];
/// Waiting tasks of the slope per task.
const QUEUES: [u32; 5] = [100_000, 200_000, 400_000, 600_000, 800_000];
/// Tasks of each job.
const TASKS_PER_JOB: [u32; 2] = [1, 10];
/// Bytes of a page of memory as `/proc/self/statm` counts.
const PAGE_BYTES: f64 = 4096.0;

/// Measures the slopes of resident memory; sizes are large so that the allocator's rounding fades.
///
/// # Errors
///
/// Fails when memory cannot be read or generated work is not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("memory");
    let cut = if scope.small { 100 } else { 1 };
    for policy in ["scored", "first_fit"] {
        let rules = document(&format!("placement = \"{policy}\""))?;
        let mut points = Vec::new();
        // Earlier clusters stay alive, so that a later one cannot reuse their memory.
        let mut alive = Vec::new();
        for fleet in FLEETS {
            let before = resident_bytes()?;
            let views = workers(fleet / cut, WORKER_CAPACITY)?;
            let cluster = BenchCluster::new(new_engine(&rules), views);
            points.push((fleet as f64 / cut as f64, resident_bytes()? - before));
            alive.push(cluster);
        }
        report.add("idle workers", policy, "bytes each (slope)", slope(&points));
        for tasks in TASKS_PER_JOB {
            let mut points = Vec::new();
            for queue in QUEUES {
                let before = resident_bytes()?;
                let mut cluster = BenchCluster::new(new_engine(&rules), Vec::new());
                let size = ResourceVector::new(1_000, 4_096, 0);
                let run = Some(Millis::from_secs(60));
                let spec = spec(ORDER_BOOKS[0], "batch", JobKind::Batch, tasks, size, run)?;
                for _ in 0..queue / tasks / cut as u32 {
                    cluster.submit(&spec, Millis::new(0))?;
                }
                points.push((f64::from(queue) / cut as f64, resident_bytes()? - before));
                alive.push(cluster);
            }
            let scenario = format!("waiting tasks, {tasks} a job");
            report.add(&scenario, policy, "bytes each (slope)", slope(&points));
        }
    }
    Ok(report)
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
