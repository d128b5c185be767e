//! Points 3 and 4, and that accepted jobs are not lost.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{AttemptId, JobId, JobKind, JobState, Ran};

use super::Violation;
use super::submissions::SubmissionBook;
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
/// that it did not run although a later call of the same key ran it. It counts as reported not run
/// only when every call of it ended so.
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

/// A job that runs without any client's knowledge belongs to a submission with unknown outcome;
/// more of them than such submissions are jobs that were refused.
fn check_jobs_not_run(history: &History) -> Vec<Violation> {
    let book = SubmissionBook::new(history);
    let mut orphans: Vec<_> = book.orphans.iter().collect();
    orphans.sort_by_key(|(_, at_us)| **at_us);
    let excess = orphans.into_iter().skip(book.open_keys());
    let violations = excess.map(|(job, at_us)| Violation {
        at_us: *at_us,
        check: "not run",
        seen: format!("job {job} runs, but every client knows another answer"),
    });
    violations.collect()
}

/// Checks that every accepted batch job or gang reached a final state, and that none failed.
///
/// A job that may not repeat fails when a worker reports that one of its tasks failed.
pub fn check_accepted_jobs(history: &History) -> Vec<Violation> {
    let book = SubmissionBook::new(history);
    let records = book.keys.values();
    let records = records.filter(|record| record.kind != JobKind::Service);
    let accepted = records.flat_map(|record| &record.accepted);
    let mut open: HashMap<&JobId, u64> = accepted.copied().collect();
    let may_fail = jobs_that_may_fail(history, &book);
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        let HistoryEvent::JobFinal { job, state } = event else {
            continue;
        };
        open.remove(job);
        if *state == JobState::Failed && !may_fail.contains(job) {
            violations.push(Violation {
                at_us,
                check: "accepted jobs",
                seen: format!("job {job} failed"),
            });
        }
    }
    violations.extend(open.into_iter().map(|(job, at_us)| Violation {
        at_us,
        check: "accepted jobs",
        seen: format!("job {job} was accepted and has no final state"),
    }));
    violations
}

/// Returns the jobs that may not repeat and of which a task failed.
fn jobs_that_may_fail<'a>(history: &'a History, book: &SubmissionBook<'a>) -> HashSet<&'a JobId> {
    let once = book.keys.values().filter(|record| !record.repeatable);
    let once = once.flat_map(|record| record.accepted.iter().map(|(job, _)| *job));
    let once: HashSet<&JobId> = once.collect();
    let mut jobs: HashMap<&AttemptId, &JobId> = HashMap::new();
    let mut failed = HashSet::new();
    for (_, event) in history.iter() {
        match event {
            HistoryEvent::AttemptStarted { attempt, task, .. } => {
                jobs.insert(attempt, &task.job);
            }
            HistoryEvent::AttemptEnded { attempt, end, .. } if &**end == "Failed" => {
                failed.extend(jobs.get(attempt).filter(|job| once.contains(*job)));
            }
            _ => {}
        }
    }
    failed
}

fn quick_bodies(history: &History) -> HashMap<&Arc<str>, &Arc<str>> {
    let sent = history.iter().filter_map(|(_, event)| match event {
        HistoryEvent::QuickSent { id, body, .. } => Some((id, body)),
        _ => None,
    });
    sent.collect()
}
