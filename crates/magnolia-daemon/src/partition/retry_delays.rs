//! Tasks that wait before their next attempt because the last one failed.

use std::collections::BTreeMap;

use magnolia_types::{Millis, TaskRef};

/// Delay after the first failure. Without it, a worker that fails everything at once uses up all
/// attempts of a task before enough failures are seen to quarantine it.
const FIRST_DELAY: Millis = Millis::new(200);
/// Longest delay.
const MAX_DELAY: Millis = Millis::from_secs(10);
/// Failures after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 8;

/// When tasks may be tried again.
#[derive(Debug, Default)]
pub struct RetryDelays {
    tasks: BTreeMap<TaskRef, Millis>,
}

impl RetryDelays {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Delays the next attempt of a task that has failed `failures` times.
    pub fn delay(&mut self, task: TaskRef, failures: u32, now: Millis) {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay = Millis::new(FIRST_DELAY.get() << doublings).min(MAX_DELAY);
        self.tasks.insert(task, now.saturating_add(delay));
    }

    /// Tells whether a task still waits.
    pub fn is_delayed(&self, task: &TaskRef) -> bool {
        self.tasks.contains_key(task)
    }

    /// Removes and returns the tasks that may be tried again.
    pub fn expire(&mut self, now: Millis) -> Vec<TaskRef> {
        let over: Vec<TaskRef> = self
            .tasks
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        over.iter().for_each(|task| {
            self.tasks.remove(task);
        });
        over
    }
}
