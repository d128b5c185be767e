//! Guarantee 1: allocations do not exceed the capacity of a worker or executor.

use std::collections::HashMap;

use magnolia_types::{AttemptId, ExecutorId, ResourceVector, WorkerId};

use super::Violation;
use crate::history::{History, HistoryEvent};

const CHECK: &str = "capacity";

#[derive(Default)]
struct WorkerLoad {
    capacity: ResourceVector,
    /// Reserved size and processor share in percent of each running attempt.
    running: HashMap<AttemptId, (ResourceVector, u8)>,
}

impl WorkerLoad {
    /// Sums the resources of the attempts; a throttled one holds only its share of processors.
    fn total(&self) -> ResourceVector {
        let held = self.running.values().map(|(size, percent)| {
            let cpu = size.cpu_millis.get() * u64::from(*percent) / 100;
            ResourceVector::new(cpu, size.memory_mib.get(), size.accelerators)
        });
        held.fold(ResourceVector::default(), |sum, held| {
            sum.saturating_add(&held)
        })
    }

    /// Describes the violation if the attempts exceed the capacity after a change of `attempt`.
    fn excess(&self, worker: &WorkerId, attempt: &AttemptId) -> Option<String> {
        let (total, capacity) = (self.total(), self.capacity);
        (!total.fits_in(&capacity))
            .then(|| format!("{worker} holds {total} of {capacity} with {attempt}"))
    }
}

#[derive(Default)]
struct ExecutorLoad {
    slots: u32,
    connections: u32,
    running: u32,
}

/// Checks the resources of workers, and the slots and connections of executors, at every event.
pub fn check_capacity(history: &History) -> Vec<Violation> {
    let mut workers: HashMap<WorkerId, WorkerLoad> = HashMap::new();
    let mut executors: HashMap<ExecutorId, ExecutorLoad> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        let description =
            apply_worker(&mut workers, event).or_else(|| apply_executor(&mut executors, event));
        violations.extend(description.map(|description| Violation {
            at_us,
            check: CHECK,
            description,
        }));
    }
    violations
}

/// Applies an event of a worker and describes the violation that it causes, if any.
fn apply_worker(
    workers: &mut HashMap<WorkerId, WorkerLoad>,
    event: &HistoryEvent,
) -> Option<String> {
    match event {
        HistoryEvent::WorkerUp {
            worker, capacity, ..
        } => {
            let load = workers.entry(worker.clone()).or_default();
            load.capacity = *capacity;
            load.running.clear();
        }
        HistoryEvent::AttemptStarted {
            worker,
            attempt,
            size,
            ..
        } => {
            let load = workers.entry(worker.clone()).or_default();
            load.running.insert(attempt.clone(), (*size, 100));
            return load.excess(worker, attempt);
        }
        HistoryEvent::AttemptThrottled {
            worker,
            attempt,
            percent,
        } => {
            let load = workers.entry(worker.clone()).or_default();
            if let Some(running) = load.running.get_mut(attempt) {
                running.1 = *percent;
            }
            return load.excess(worker, attempt);
        }
        HistoryEvent::AttemptEnded {
            worker, attempt, ..
        } => {
            workers
                .entry(worker.clone())
                .or_default()
                .running
                .remove(attempt);
        }
        _ => {}
    }
    None
}

/// Applies an event of an executor and describes the violation that it causes, if any.
fn apply_executor(
    executors: &mut HashMap<ExecutorId, ExecutorLoad>,
    event: &HistoryEvent,
) -> Option<String> {
    match event {
        HistoryEvent::ExecutorUp {
            executor,
            slots,
            connections,
        } => {
            let load = executors.entry(executor.clone()).or_default();
            (load.slots, load.connections) = (*slots, *connections);
        }
        HistoryEvent::RequestStarted { executor, .. } => {
            let load = executors.entry(executor.clone()).or_default();
            load.running += 1;
            if load.running > load.slots {
                let (running, slots) = (load.running, load.slots);
                return Some(format!(
                    "{executor} runs {running} requests in {slots} slots"
                ));
            }
        }
        HistoryEvent::RequestEnded { executor, .. } => {
            let load = executors.entry(executor.clone()).or_default();
            load.running = load.running.saturating_sub(1);
        }
        HistoryEvent::Connections { executor, open } => {
            let load = executors.entry(executor.clone()).or_default();
            if *open > load.connections {
                let allowed = load.connections;
                return Some(format!("{executor} has {open} connections of {allowed}"));
            }
        }
        _ => {}
    }
    None
}
