//! Finds the busiest back ends, so that a fault affects work in progress.

use std::collections::HashMap;

use crate::history::{History, HistoryEvent};

/// Returns the index of the worker with the most starts.
pub fn busiest_worker(history: &History) -> Option<usize> {
    busiest(history.iter().filter_map(|(_, event)| match event {
        HistoryEvent::AttemptStarted { worker, .. } => Some(worker.as_str()),
        _ => None,
    }))
}

/// Returns the index of the executor with the most requests.
pub fn busiest_executor(history: &History) -> Option<usize> {
    busiest(history.iter().filter_map(|(_, event)| match event {
        HistoryEvent::RequestStarted { executor, .. } => Some(executor.as_str()),
        _ => None,
    }))
}

/// Returns the index in the cell of the most frequent name; names are a letter and the index, such
/// as `w003`.
fn busiest<'a>(names: impl Iterator<Item = &'a str>) -> Option<usize> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    names.for_each(|name| *counts.entry(name).or_default() += 1);
    let (name, _) = counts.into_iter().max_by_key(|(_, count)| *count)?;
    name.get(1..)?.parse().ok()
}
