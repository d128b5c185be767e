//! Delays before the next attempt of a task that failed.

use std::collections::BTreeMap;

use magnolia_types::{Millis, TaskRef};

/// Delay after the first failure. Without it, a worker on which every task fails at once would use
/// up all attempts of a task before the worker has enough failures to be quarantined.
const FIRST_DELAY: Millis = Millis::new(200);
/// Maximum delay.
const MAX_DELAY: Millis = Millis::from_secs(10);
/// Maximum number of doublings of the delay, which bounds the shift; [`MAX_DELAY`] is reached
/// before it.
const MAX_DOUBLINGS: u32 = 8;

/// Times at which delayed tasks may be tried again.
#[derive(Debug, Default)]
pub struct RetryDelays {
    tasks: BTreeMap<TaskRef, Millis>,
}

impl RetryDelays {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Delays the next attempt of a task that has failed `failures` times; the delay doubles each
    /// time.
    pub fn delay(&mut self, task: TaskRef, failures: u32, now: Millis) {
        let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
        let delay = Millis::new(FIRST_DELAY.get() << doublings).min(MAX_DELAY);
        self.tasks.insert(task, now.saturating_add(delay));
    }

    /// Tells whether a task is still delayed.
    pub fn is_delayed(&self, task: &TaskRef) -> bool {
        self.tasks.contains_key(task)
    }

    /// Removes and returns the tasks whose delay is over.
    pub fn expire(&mut self, now: Millis) -> Vec<TaskRef> {
        let expired: Vec<TaskRef> = self
            .tasks
            .iter()
            .filter(|(_, at)| **at <= now)
            .map(|(task, _)| task.clone())
            .collect();
        expired.iter().for_each(|task| {
            self.tasks.remove(task);
        });
        expired
    }
}
