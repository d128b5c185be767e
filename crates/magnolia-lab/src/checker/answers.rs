//! Points 3 and 4, and that accepted jobs are not lost.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{JobId, JobKind, JobState, Ran, ResourceVector};

use super::Violation;
use crate::history::{History, HistoryEvent, QuickResult};

/// Checks that each answer is the whole answer to the request of its caller.
pub fn check_whole_answers(history: &History) -> Vec<Violation> {
    let sent = quick_bodies(history);
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        let HistoryEvent::QuickDone {
            id,
            result: QuickResult::Answered(answer),
        } = event
        else {
            continue;
        };
        let wanted = sent.get(id).map(|body| format!("answer to {body}"));
        if wanted.as_deref() != Some(answer) {
            violations.push(Violation {
                at_us,
                check: "whole answers",
                seen: format!("call {id} got {answer:?}, wanted {wanted:?}"),
            });
        }
    }
    violations
}

/// Checks that work reported as not run did not run, before or after the report.
///
/// A request that may not repeat is one piece of work over all its calls: an early call may say
/// that it did not run although a later call of the same key ran it. For these the last report
/// counts, and only when no call of the key was still in flight.
pub fn check_not_run(history: &History) -> Vec<Violation> {
    let mut violations = check_requests_not_run(history);
    violations.extend(check_jobs_not_run(history));
    violations
}

fn check_requests_not_run(history: &History) -> Vec<Violation> {
    let sent = quick_bodies(history);
    let mut calls: HashMap<&Arc<str>, Vec<Option<bool>>> = HashMap::new();
    let mut done: HashMap<&Arc<str>, (u64, bool)> = HashMap::new();
    for (at_us, event) in history.iter() {
        if let HistoryEvent::QuickDone { id, result } = event {
            let is_not_run = match result {
                QuickResult::Refused { ran, .. } => *ran == Ran::No,
                QuickResult::Lost { sent } => !sent,
                QuickResult::Answered(_) => false,
            };
            done.insert(id, (at_us, is_not_run));
        }
    }
    for (id, body) in &sent {
        let is_not_run = done.get(id).map(|(_, is_not_run)| *is_not_run);
        calls.entry(body).or_default().push(is_not_run);
    }
    // Every call that carried the body must have ended as not run to prove that it never ran.
    let never_ran: HashSet<&Arc<str>> = calls
        .into_iter()
        .filter(|(_, calls)| calls.iter().all(|call| *call == Some(true)))
        .map(|(body, _)| body)
        .collect();
    let runs = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::RequestStarted { executor, body, .. } if never_ran.contains(body) => {
            Some((at_us, executor, body))
        }
        _ => None,
    });
    runs.map(|(at_us, executor, body)| Violation {
        at_us,
        check: "not run",
        seen: format!("{body:?} was reported as not run and ran on {executor}"),
    })
    .collect()
}

fn check_jobs_not_run(history: &History) -> Vec<Violation> {
    let mut sizes: HashMap<&Arc<str>, ResourceVector> = HashMap::new();
    // Whether every submission of the job, named by its size, was reported as not run.
    let mut refused: HashMap<ResourceVector, bool> = HashMap::new();
    let mut open: HashSet<&Arc<str>> = HashSet::new();
    let mut violations = Vec::new();
    for (_, event) in history.iter() {
        match event {
            HistoryEvent::JobSent { id, size, .. } => {
                sizes.insert(id, *size);
                open.insert(id);
            }
            HistoryEvent::JobNotAccepted { id, ran, .. } if *ran == Ran::No => {
                open.remove(id);
                if let Some(size) = sizes.get(id) {
                    refused.entry(*size).or_insert(true);
                }
            }
            HistoryEvent::JobNotAccepted { id, .. } | HistoryEvent::JobAccepted { id, .. } => {
                open.remove(id);
                if let Some(size) = sizes.get(id) {
                    refused.insert(*size, false);
                }
            }
            _ => {}
        }
    }
    for id in open {
        refused.insert(sizes[id], false);
    }
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::AttemptStarted {
                worker, task, size, ..
            } if refused.get(size) == Some(&true) => violations.push(Violation {
                at_us,
                check: "not run",
                seen: format!("job {} was refused and runs on {worker}", task.job),
            }),
            _ => {}
        }
    }
    violations
}

/// Checks that every accepted batch job or gang reached a final state, and none was forgotten.
pub fn check_accepted_jobs(history: &History) -> Vec<Violation> {
    let mut kinds: HashMap<&Arc<str>, JobKind> = HashMap::new();
    let mut accepted: HashMap<&JobId, u64> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::JobSent { id, kind, .. } => {
                kinds.insert(id, *kind);
            }
            HistoryEvent::JobAccepted { id, job }
                if kinds.get(id).is_some_and(|kind| *kind != JobKind::Service) =>
            {
                accepted.insert(job, at_us);
            }
            HistoryEvent::JobFinal { job, state } => {
                accepted.remove(job);
                if *state == JobState::Failed {
                    violations.push(Violation {
                        at_us,
                        check: "accepted jobs",
                        seen: format!("job {job} failed"),
                    });
                }
            }
            _ => {}
        }
    }
    violations.extend(accepted.into_iter().map(|(job, at_us)| Violation {
        at_us,
        check: "accepted jobs",
        seen: format!("job {job} was accepted and has no final state"),
    }));
    violations
}

fn quick_bodies(history: &History) -> HashMap<&Arc<str>, &Arc<str>> {
    let sent = history.iter().filter_map(|(_, event)| match event {
        HistoryEvent::QuickSent { id, body, .. } => Some((id, body)),
        _ => None,
    });
    sent.collect()
}
