//! Guarantees 3 and 4: answers are complete and belong to their requests, and work reported as not
//! run did not run. Also checks that accepted jobs are not lost.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{AttemptId, JobId, JobKind, JobState, Ran};

use super::Violation;
use super::submissions::SubmissionIndex;
use crate::history::{History, HistoryEvent, QuickResult};

/// Checks that every caller got the complete answer to its own request.
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
        let expected = sent.get(id).map(|body| format!("answer to {body}"));
        if expected.as_deref() != Some(answer) {
            violations.push(Violation {
                at_us,
                check: "whole answers",
                description: format!("call {id} got {answer:?}, expected {expected:?}"),
            });
        }
    }
    violations
}

/// Checks that work reported as not run did not run, before or after the report.
///
/// All calls of a request that is not repeatable are one piece of work: an early call may report
/// that it did not run, and a later call with the same key may run it. The request counts as
/// reported not run only when all its calls ended with that report.
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
    // The request must never run if all calls with its body ended as not run.
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
        description: format!("{body:?} was reported as not run and ran on {executor}"),
    })
    .collect()
}

/// A running job that no client knows must belong to a submission with an unknown outcome. If there
/// are more such jobs than such submissions, the excess are refused jobs that run.
fn check_jobs_not_run(history: &History) -> Vec<Violation> {
    let submissions = SubmissionIndex::new(history);
    let mut orphans: Vec<_> = submissions.orphans.iter().collect();
    orphans.sort_by_key(|(_, at_us)| **at_us);
    let excess = orphans
        .into_iter()
        .skip(submissions.keys_with_unknown_outcome());
    let violations = excess.map(|(job, at_us)| Violation {
        at_us: *at_us,
        check: "not run",
        description: format!(
            "job {job} runs, but no submission with unknown outcome is left for it"
        ),
    });
    violations.collect()
}

/// Checks that every accepted batch job or gang reached a final state, and that none failed.
///
/// Only a job that is not repeatable may fail, and only after a worker reported that one of its
/// tasks failed.
pub fn check_accepted_jobs(history: &History) -> Vec<Violation> {
    let submissions = SubmissionIndex::new(history);
    let records = submissions.keys.values();
    let records = records.filter(|record| record.kind != JobKind::Service);
    let accepted = records.flat_map(|record| &record.accepted);
    let mut open: HashMap<&JobId, u64> = accepted.copied().collect();
    let may_fail = jobs_that_may_fail(history, &submissions);
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
                description: format!("job {job} failed"),
            });
        }
    }
    violations.extend(open.into_iter().map(|(job, at_us)| Violation {
        at_us,
        check: "accepted jobs",
        description: format!("job {job} was accepted and has no final state"),
    }));
    violations
}

/// Returns the jobs that are not repeatable and have a failed task.
fn jobs_that_may_fail<'a>(
    history: &'a History,
    submissions: &SubmissionIndex<'a>,
) -> HashSet<&'a JobId> {
    let once = submissions
        .keys
        .values()
        .filter(|record| !record.repeatable);
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

/// Returns the bodies of the quick requests by the id of the call.
fn quick_bodies(history: &History) -> HashMap<&Arc<str>, &Arc<str>> {
    let sent = history.iter().filter_map(|(_, event)| match event {
        HistoryEvent::QuickSent { id, body, .. } => Some((id, body)),
        _ => None,
    });
    sent.collect()
}
