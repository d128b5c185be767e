//! State of a job.

use std::sync::Arc;

use magnolia_types::{Millis, value_types};

use crate::ordering::order_time;
use crate::record::{EndedRecord, JobRecord, LiveRecord, OccurrenceRecord, StepRecord};
use crate::step::{StepState, TaskPhase};
use crate::{JobSpec, QueueName, QueueRules};

value_types! {
    /// What callers are told of a job.
    pub enum JobStatus {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks ended well.
        Completed,
        /// A task failed too often.
        Failed,
        /// The caller cancelled it.
        Cancelled,
    }
}

/// One occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceState {
    pub(crate) steps: Vec<StepState>,
}

/// A job that is not forgotten.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub(crate) rules: Arc<QueueRules>,
    /// Absent once the job is over.
    pub(crate) spec: Option<Arc<JobSpec>>,
    pub(crate) accepted_unix_ms: u64,
    pub(crate) occurrences: Vec<OccurrenceState>,
    /// Whether a task has ever started, as far as this owner knows.
    pub(crate) started: bool,
    /// Whether an earlier owner accepted it.
    pub(crate) inherited: bool,
    /// Outcome that was decided.
    pub(crate) ending: Option<JobStatus>,
    /// Outcome that is stored, with the time of its decision.
    pub(crate) ended: Option<(JobStatus, u64)>,
    /// Whether a call to the store has carried the job.
    pub(crate) sent: bool,
    /// Whether the acceptance is stored.
    pub(crate) stored: bool,
    /// Position among the waiting, in Unix milliseconds.
    pub(crate) order: u64,
}

impl JobState {
    pub(crate) fn new(rules: Arc<QueueRules>, spec: Arc<JobSpec>, accepted_unix_ms: u64) -> Self {
        let objective = rules.objective(spec.critical_path());
        Self {
            order: accepted_unix_ms.saturating_add(objective.get()),
            rules,
            spec: Some(spec),
            accepted_unix_ms,
            occurrences: Vec::new(),
            started: false,
            inherited: false,
            ending: None,
            ended: None,
            sent: false,
            stored: false,
        }
    }

    pub(crate) fn new_ended(rules: Arc<QueueRules>, ended: &EndedRecord) -> Self {
        Self {
            order: 0,
            rules,
            spec: None,
            accepted_unix_ms: ended.ended_unix_ms,
            occurrences: Vec::new(),
            started: true,
            inherited: false,
            ending: Some(ended.status),
            ended: Some((ended.status, ended.ended_unix_ms)),
            sent: true,
            stored: true,
        }
    }

    /// Orders the job by its work against that of the usual job of its queue.
    pub(crate) fn order_by_work(&mut self, work_ratio: f64, work_share: f64) {
        let Some(spec) = &self.spec else { return };
        let objective = self.rules.objective(spec.critical_path());
        self.order = order_time(self.accepted_unix_ms, objective, work_ratio, work_share);
    }

    pub(crate) fn queue(&self) -> &QueueName {
        &self.rules.name
    }

    /// Returns how many occurrences the job has.
    pub(crate) fn total_occurrences(&self) -> usize {
        let recurrence = self.spec.as_ref().and_then(|spec| spec.recurrence.as_ref());
        recurrence.map_or(1, |times| times.count.max(1) as usize)
    }

    /// Returns the Unix time at which an occurrence is due.
    pub(crate) fn due_unix_ms(&self, occurrence: usize) -> u64 {
        let recurrence = self.spec.as_ref().and_then(|spec| spec.recurrence.as_ref());
        recurrence.map_or(self.accepted_unix_ms, |times| {
            let number = u64::try_from(occurrence).unwrap_or(u64::MAX);
            let offset = times.interval.get().saturating_mul(number);
            times.start_unix_ms.saturating_add(offset)
        })
    }

    /// Adds the next occurrence.
    pub(crate) fn open_occurrence(&mut self, now: Millis) {
        let Some(spec) = &self.spec else { return };
        let steps = spec.steps.iter().map(|step| {
            let mut state = StepState::new(step.tasks);
            state.open = step.after.is_empty();
            // An earlier owner may have started any of them without storing anything of it.
            state.inherited = self.inherited;
            state.ready_since = now;
            state
        });
        let steps = steps.collect();
        self.occurrences.push(OccurrenceState { steps });
    }

    /// Returns what callers are told.
    pub(crate) fn status(&self) -> JobStatus {
        match self.ended {
            Some((status, _)) => status,
            None if self.started => JobStatus::Running,
            None => JobStatus::Queued,
        }
    }

    /// Tells whether every task of every occurrence ended well, stored or not.
    pub(crate) fn all_tasks_done(&self) -> bool {
        let all =
            |occurrence: &OccurrenceState| occurrence.steps.iter().all(StepState::all_tasks_done);
        self.spec.is_some()
            && self.occurrences.len() == self.total_occurrences()
            && self.occurrences.iter().all(all)
    }

    /// Returns the record of the newest state.
    pub(crate) fn record(&self, now_unix_ms: u64) -> JobRecord {
        if let Some(status) = self.ending {
            return JobRecord::Ended(EndedRecord {
                queue: self.queue().clone(),
                status,
                ended_unix_ms: self.ended.map_or(now_unix_ms, |(_, at)| at),
            });
        }
        JobRecord::Live(LiveRecord {
            rules: Arc::clone(&self.rules),
            spec: self.spec.clone().unwrap_or_else(missing_spec),
            accepted_unix_ms: self.accepted_unix_ms,
            order_unix_ms: self.order,
            occurrences: self.occurrences.iter().map(occurrence_record).collect(),
        })
    }

    /// Restores progress from a record.
    pub(crate) fn restore(&mut self, record: &LiveRecord, now: Millis) {
        self.order = record.order_unix_ms;
        for stored in &record.occurrences {
            self.open_occurrence(now);
            let Some(occurrence) = self.occurrences.last_mut() else {
                return;
            };
            for (step, stored) in occurrence.steps.iter_mut().zip(&stored.steps) {
                restore_step(step, stored);
                self.started |= step.done > 0 || !stored.failed.is_empty();
            }
            open_steps(self.spec.as_deref(), occurrence, now);
        }
    }
}

/// A live job always has its description; a job without one has an outcome.
fn missing_spec() -> Arc<JobSpec> {
    log::error!("a live job without a description; its record is written without steps");
    Arc::new(JobSpec {
        payload: "".into(),
        steps: Vec::new(),
        recurrence: None,
    })
}

/// Opens the steps whose earlier steps have ended well, stored or not; returns those that it opened.
pub(crate) fn open_steps(
    spec: Option<&JobSpec>,
    occurrence: &mut OccurrenceState,
    now: Millis,
) -> Vec<u16> {
    let Some(spec) = spec else { return Vec::new() };
    let mut opened = Vec::new();
    for (number, step) in spec.steps.iter().enumerate() {
        let done = |after: &u16| occurrence.steps[usize::from(*after)].all_tasks_done();
        if !occurrence.steps[number].open && step.after.iter().all(done) {
            let state = &mut occurrence.steps[number];
            state.open = true;
            state.ready_since = now;
            opened.push(u16::try_from(number).unwrap_or(u16::MAX));
        }
    }
    opened
}

fn occurrence_record(occurrence: &OccurrenceState) -> OccurrenceRecord {
    let steps = occurrence.steps.iter().map(step_record).collect();
    OccurrenceRecord { steps }
}

fn step_record(step: &StepState) -> StepRecord {
    let mut record = StepRecord::default();
    for (index, task) in (0u32..).zip(&step.tasks) {
        if matches!(task.phase, TaskPhase::Done | TaskPhase::DoneUnstored) {
            record.set_done(index);
            continue;
        }
        let failed = task.failed.iter().map(|run| (index, *run));
        record.failed.extend(failed);
        if let Some(saved) = &task.saved {
            record.saved.push((index, Arc::clone(saved)));
        }
    }
    record
}

fn restore_step(step: &mut StepState, record: &StepRecord) {
    for (index, task) in (0u32..).zip(&mut step.tasks) {
        if record.is_done(index) {
            task.phase = TaskPhase::Done;
            step.done += 1;
            step.waiting -= 1;
        }
    }
    for (index, run) in &record.failed {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.failed.insert(*run);
        }
    }
    for (index, saved) in &record.saved {
        if let Some(task) = step.tasks.get_mut(*index as usize) {
            task.saved = Some(Arc::clone(saved));
        }
    }
}
