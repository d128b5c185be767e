//! Guarantees 2 and 5: a task runs in one place at a time, and work that is not repeatable runs at
//! most once.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{AttemptId, JobId, TaskRef, WorkerId};

use super::Violation;
use super::submissions::SubmissionIndex;
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
                        description: format!(
                            "{attempt} starts on {worker}, {earlier} runs on {other}"
                        ),
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

/// Checks that requests and tasks that are not repeatable started at most once.
pub fn check_at_most_once(history: &History) -> Vec<Violation> {
    let mut violations = check_requests_once(history);
    violations.extend(check_tasks_once(history));
    violations.extend(check_one_job_per_key(history));
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
            description: format!("{executor} runs {body:?} again"),
        })
        .collect()
}

/// Checks that each idempotency key was accepted as one job, however often it was submitted.
fn check_one_job_per_key(history: &History) -> Vec<Violation> {
    let submissions = SubmissionIndex::new(history);
    let mut violations = Vec::new();
    for (key, record) in &submissions.keys {
        let Some((first, _)) = record.accepted.first() else {
            continue;
        };
        let second = record.accepted.iter().find(|(job, _)| job != first);
        violations.extend(second.map(|(job, at_us)| Violation {
            at_us: *at_us,
            check: "at most once",
            description: format!("key {key} was accepted as {first} and as {job}"),
        }));
    }
    violations
}

fn check_tasks_once(history: &History) -> Vec<Violation> {
    let submissions = SubmissionIndex::new(history);
    let once = submissions
        .keys
        .values()
        .filter(|record| !record.repeatable);
    let once: HashSet<&JobId> = once
        .flat_map(|record| record.accepted.iter().map(|(job, _)| *job))
        .collect();
    let mut started: HashSet<&TaskRef> = HashSet::new();
    let starts = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::AttemptStarted { worker, task, .. } if once.contains(&task.job) => {
            Some((at_us, worker, task))
        }
        _ => None,
    });
    starts
        .filter(|(_, _, task)| !started.insert(task))
        .map(|(at_us, worker, task)| Violation {
            at_us,
            check: "at most once",
            description: format!(
                "task {} of {} starts again on {worker}",
                task.task, task.job
            ),
        })
        .collect()
}
