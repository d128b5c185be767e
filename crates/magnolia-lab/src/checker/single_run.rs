//! Points 2 and 5: a task runs in one place at a time, and work that may not repeat runs once.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{AttemptId, JobId, ResourceVector, TaskRef, WorkerId};

use super::Violation;
use crate::history::{History, HistoryEvent};

/// Checks that no two attempts of a task run at the same time.
pub fn check_single_place(history: &History) -> Vec<Violation> {
    let mut running: HashMap<TaskRef, HashSet<(WorkerId, AttemptId)>> = HashMap::new();
    let mut tasks: HashMap<(WorkerId, AttemptId), TaskRef> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::AttemptStarted {
                worker,
                attempt,
                task,
                ..
            } => {
                let place = (worker.clone(), attempt.clone());
                tasks.insert(place.clone(), task.clone());
                let places = running.entry(task.clone()).or_default();
                if let Some((other, earlier)) = places.iter().next() {
                    violations.push(Violation {
                        at_us,
                        check: "single place",
                        seen: format!("{attempt} starts on {worker}, {earlier} runs on {other}"),
                    });
                }
                places.insert(place);
            }
            HistoryEvent::AttemptEnded {
                worker, attempt, ..
            } => {
                let place = (worker.clone(), attempt.clone());
                let places = tasks.get(&place).and_then(|task| running.get_mut(task));
                places.map(|places| places.remove(&place));
            }
            _ => {}
        }
    }
    violations
}

/// Checks that requests and tasks that may not repeat started at most once.
pub fn check_at_most_once(history: &History) -> Vec<Violation> {
    let mut violations = check_requests_once(history);
    violations.extend(check_tasks_once(history));
    violations.extend(check_one_job(history));
    violations
}

fn check_requests_once(history: &History) -> Vec<Violation> {
    let once: HashSet<&Arc<str>> = history
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::QuickSent {
                body,
                repeatable: false,
                ..
            } => Some(body),
            _ => None,
        })
        .collect();
    let mut started: HashSet<&Arc<str>> = HashSet::new();
    let runs = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::RequestStarted { executor, body, .. } if once.contains(body) => {
            Some((at_us, executor, body))
        }
        _ => None,
    });
    runs.filter(|(_, _, body)| !started.insert(body))
        .map(|(at_us, executor, body)| Violation {
            at_us,
            check: "at most once",
            seen: format!("{executor} runs {body:?} again"),
        })
        .collect()
}

/// The size of a job is unique in a run, so two jobs with the same size are one key accepted
/// twice.
fn check_one_job(history: &History) -> Vec<Violation> {
    let sizes: HashSet<ResourceVector> = history
        .iter()
        .filter_map(|(_, event)| match event {
            HistoryEvent::JobSent { size, .. } => Some(*size),
            _ => None,
        })
        .collect();
    let mut jobs: HashMap<ResourceVector, &JobId> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        let HistoryEvent::AttemptStarted { task, size, .. } = event else {
            continue;
        };
        let first = *jobs.entry(*size).or_insert(&task.job);
        if sizes.contains(size) && *first != task.job {
            violations.push(Violation {
                at_us,
                check: "at most once",
                seen: format!("job {} is a second one of the key of {first}", task.job),
            });
        }
    }
    violations
}

fn check_tasks_once(history: &History) -> Vec<Violation> {
    let mut allowed: HashMap<_, u32> = HashMap::new();
    for (_, event) in history.iter() {
        if let HistoryEvent::JobSent {
            tasks,
            size,
            repeatable: false,
            ..
        } = event
        {
            allowed.insert(*size, *tasks);
        }
    }
    let mut violations = Vec::new();
    let mut started: HashSet<&TaskRef> = HashSet::new();
    for (at_us, event) in history.iter() {
        let HistoryEvent::AttemptStarted {
            worker, task, size, ..
        } = event
        else {
            continue;
        };
        let Some(left) = allowed.get_mut(size) else {
            continue;
        };
        if *left == 0 || !started.insert(task) {
            violations.push(Violation {
                at_us,
                check: "at most once",
                seen: format!(
                    "task {} of {} starts again on {worker}",
                    task.task, task.job
                ),
            });
        }
        *left = left.saturating_sub(1);
    }
    violations
}
