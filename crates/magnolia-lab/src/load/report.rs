//! Report on a run for people, from the merged histories.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use hdrhistogram::Histogram;
use magnolia_types::{JobId, JobKind, JobState, Ran};

use crate::history::{History, HistoryEvent, QuickResult};

/// Largest time that a histogram records, in microseconds.
const MAX_WAIT_US: u64 = 600_000_000;
/// Significant digits of the values of a histogram.
const DIGITS: u8 = 3;

/// Counts and waiting times of one class of work.
#[derive(Clone)]
pub struct ClassReport {
    /// Number of calls or submissions.
    pub sent: u64,
    /// Answers, or jobs that are done or were cancelled.
    pub done: u64,
    /// Refusals of work that did not run.
    pub refused: u64,
    /// Work whose outcome the answer reports as unknown.
    pub unknown: u64,
    /// Calls without an answer.
    pub lost: u64,
    /// Calls that were not sent, because the daemon did not accept the connection; the client moved
    /// on to a random daemon.
    pub moved: u64,
    /// Work that ran and failed.
    pub failed: u64,
    /// Times in microseconds until the answer, or until the first task of a job started.
    pub waits: Histogram<u64>,
    /// Refusals by code.
    pub codes: BTreeMap<String, u64>,
}

impl ClassReport {
    fn new() -> Self {
        Self {
            sent: 0,
            done: 0,
            refused: 0,
            unknown: 0,
            lost: 0,
            moved: 0,
            failed: 0,
            waits: Histogram::new_with_max(MAX_WAIT_US, DIGITS)
                .expect("the bounds of the histogram are valid"),
            codes: BTreeMap::new(),
        }
    }

    fn record_wait(&mut self, micros: u64) {
        self.waits.saturating_record(micros);
    }

    fn record_refusal(&mut self, ran: Ran, code: String) {
        match ran {
            Ran::No => self.refused += 1,
            Ran::Unknown => self.unknown += 1,
            Ran::Yes => self.failed += 1,
        }
        *self.codes.entry(code).or_default() += 1;
    }
}

/// Counts and waiting times by class.
pub struct RunReport {
    /// Reports on the classes, by name.
    pub classes: BTreeMap<&'static str, ClassReport>,
    /// Number of started attempts.
    pub starts: u64,
    /// Starts that workers refused, by reason.
    pub refused_starts: BTreeMap<String, u64>,
    /// Requests that executors refused, by reason.
    pub refused_requests: BTreeMap<String, u64>,
}

impl RunReport {
    /// Creates the report on a history.
    pub fn new(history: &History) -> Self {
        let mut report = Self {
            classes: BTreeMap::new(),
            starts: 0,
            refused_starts: BTreeMap::new(),
            refused_requests: BTreeMap::new(),
        };
        report.add_requests(history);
        report.add_jobs(history);
        report.add_backends(history);
        report
    }

    fn class(&mut self, name: &'static str) -> &mut ClassReport {
        self.classes.entry(name).or_insert_with(ClassReport::new)
    }

    fn add_requests(&mut self, history: &History) {
        let mut sent: HashMap<&Arc<str>, (u64, &'static str)> = HashMap::new();
        for (at_us, event) in history.iter() {
            match event {
                HistoryEvent::QuickSent { id, repeatable, .. } => {
                    let name = if *repeatable { "quick" } else { "once" };
                    sent.insert(id, (at_us, name));
                    self.class(name).sent += 1;
                }
                HistoryEvent::QuickDone { id, result } => {
                    let Some((sent_us, name)) = sent.remove(id) else {
                        continue;
                    };
                    let class = self.class(name);
                    match result {
                        QuickResult::Answered(_) => {
                            class.done += 1;
                            class.record_wait(at_us - sent_us);
                        }
                        QuickResult::Refused { code, ran } => {
                            class.record_refusal(*ran, code.to_string())
                        }
                        QuickResult::Lost { sent: true } => class.lost += 1,
                        QuickResult::Lost { .. } => class.moved += 1,
                    }
                }
                _ => {}
            }
        }
    }

    fn add_jobs(&mut self, history: &History) {
        let mut calls: HashMap<&Arc<str>, (&'static str, &Arc<str>)> = HashMap::new();
        let mut first_sent: HashMap<&Arc<str>, u64> = HashMap::new();
        let mut jobs: HashMap<&JobId, (&'static str, u64)> = HashMap::new();
        let mut first_started: HashMap<&JobId, u64> = HashMap::new();
        for (at_us, event) in history.iter() {
            match event {
                HistoryEvent::JobSent { id, key, kind, .. } => {
                    let name = kind_name(*kind);
                    calls.insert(id, (name, key));
                    first_sent.entry(key).or_insert(at_us);
                    self.class(name).sent += 1;
                }
                HistoryEvent::JobAccepted { id, job } => {
                    if let Some((name, key)) = calls.get(id) {
                        jobs.insert(job, (name, first_sent[key]));
                    }
                }
                HistoryEvent::JobNotAccepted { id, ran, code } => {
                    let name = calls.get(id).map_or("batch", |(name, _)| name);
                    let class = self.class(name);
                    match code {
                        Some(code) => class.record_refusal(*ran, code.to_string()),
                        None if *ran == Ran::No => class.moved += 1,
                        None => class.lost += 1,
                    }
                }
                HistoryEvent::JobFinal { job, state } => {
                    let class = self.class(jobs.get(job).map_or("batch", |(name, _)| name));
                    match state {
                        JobState::Done | JobState::Cancelled => class.done += 1,
                        JobState::Unknown => class.unknown += 1,
                        _ => class.failed += 1,
                    }
                }
                HistoryEvent::AttemptStarted { task, .. } => {
                    first_started.entry(&task.job).or_insert(at_us);
                }
                _ => {}
            }
        }
        for (job, (name, sent_us)) in jobs {
            if let Some(started_us) = first_started.get(job) {
                self.class(name)
                    .record_wait(started_us.saturating_sub(sent_us));
            }
        }
    }

    fn add_backends(&mut self, history: &History) {
        for (_, event) in history.iter() {
            match event {
                HistoryEvent::AttemptStarted { .. } => self.starts += 1,
                HistoryEvent::StartRefused { reason, .. } => {
                    *self.refused_starts.entry(reason.to_string()).or_default() += 1;
                }
                HistoryEvent::RequestRefused { reason, .. } => {
                    *self.refused_requests.entry(reason.to_string()).or_default() += 1;
                }
                _ => {}
            }
        }
    }
}

fn kind_name(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Service => "service",
        JobKind::Batch => "batch",
        JobKind::Gang => "gang",
    }
}

impl fmt::Display for RunReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let heads = [
            "class", "sent", "done", "refused", "unknown", "lost", "moved", "failed",
        ];
        write!(f, "{:8}", heads[0])?;
        heads[1..]
            .iter()
            .try_for_each(|head| write!(f, "{head:>9}"))?;
        writeln!(f, "{:>12}{:>12}{:>12}", "wait p50 ms", "p99 ms", "max ms")?;
        for (name, class) in &self.classes {
            let counts = [
                class.sent,
                class.done,
                class.refused,
                class.unknown,
                class.lost,
                class.moved,
                class.failed,
            ];
            write!(f, "{name:8}")?;
            counts
                .iter()
                .try_for_each(|count| write!(f, "{count:>9}"))?;
            let waits = &class.waits;
            let times = [
                waits.value_at_quantile(0.5),
                waits.value_at_quantile(0.99),
                waits.max(),
            ];
            let times = times.map(|micros| format!("{}.{}", micros / 1000, micros % 1000 / 100));
            times.iter().try_for_each(|time| write!(f, "{time:>12}"))?;
            writeln!(f)?;
            for (code, count) in &class.codes {
                writeln!(f, "    {count} x {code}")?;
            }
        }
        writeln!(f, "attempts started: {}", self.starts)?;
        for (reason, count) in &self.refused_starts {
            writeln!(f, "    {count} starts refused by workers: {reason}")?;
        }
        for (reason, count) in &self.refused_requests {
            writeln!(f, "    {count} requests refused by executors: {reason}")?;
        }
        Ok(())
    }
}
