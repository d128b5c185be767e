//! State of a job.

use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector, value_types};

use crate::job_memory::job_memory;
use crate::ordering::order_time;
use crate::record::{
    EndedAccount, EndedRecord, JobRecord, LiveRecord, OccurrenceRecord, StepRecord,
};
use crate::record_size::{CHECKPOINT_BYTES, FAILED_RUN_BYTES, progress_bytes};
use crate::step::{StepState, TaskPhase};
use crate::{AccountRules, JobSpec, QueueName, QueueRules, StepSpec};

value_types! {
    /// Status of a job as reported to callers.
    pub enum JobStatus {
        /// No task has started.
        Queued,
        /// A task has started.
        Running,
        /// All tasks succeeded.
        Completed,
        /// A task, or a gang as a whole, has failed `max_attempts` times.
        Failed,
        /// The caller cancelled the job.
        Cancelled,
    }
}

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct OccurrenceState {
    /// Its steps; none once the success of all of them is stored.
    pub(crate) steps: Vec<StepState>,
}

impl OccurrenceState {
    /// Tells whether the success of all steps is stored.
    pub(crate) fn is_finished(&self) -> bool {
        self.steps.is_empty()
    }

    /// Releases the steps if the success of all of them is stored; returns whether it is.
    pub(crate) fn release_finished(&mut self) -> bool {
        let finished = self.steps.iter().all(StepState::is_finished);
        if finished {
            self.steps = Vec::new();
        }
        finished
    }
}

/// State of a live job, or of an ended job that is kept.
#[derive(Clone, Debug)]
pub(crate) struct JobState {
    pub(crate) rules: Arc<QueueRules>,
    /// Absent once the end of the job is stored.
    pub(crate) spec: Option<Arc<JobSpec>>,
    pub(crate) accepted_unix_ms: u64,
    pub(crate) occurrences: Vec<OccurrenceState>,
    /// Whether this owner knows that a task has begun. A start that was ordered does not count: it may
    /// be rejected or get no answer.
    pub(crate) started: bool,
    /// Whether it was loaded after a change of owner.
    pub(crate) inherited: bool,
    /// Outcome, once it is decided.
    pub(crate) ending: Option<JobStatus>,
    /// Outcome and Unix milliseconds of the end, once they are stored.
    pub(crate) ended: Option<(JobStatus, u64)>,
    /// Whether a batch has contained the job.
    pub(crate) sent: bool,
    /// Whether the acceptance is stored.
    pub(crate) stored: bool,
    /// Whether the store refuses the record of its end.
    pub(crate) unstorable: bool,
    /// Unix milliseconds by which it is ordered among the jobs of its priority; see `order_time`.
    pub(crate) order_unix_ms: u64,
    /// Memory that it takes until its end is stored, in bytes.
    pub(crate) memory_bytes: u64,
    /// Rules of its client account when it was accepted.
    pub(crate) account: Option<Arc<AccountRules>>,
    /// Whether the account was ahead of its share when it was accepted: its steps come after those
    /// of all jobs within their share.
    pub(crate) beyond_share: bool,
    /// Resources of the runs that were being stopped when it ended.
    pub(crate) stopping: ResourceVector,
}

impl JobState {
    pub(crate) fn new(rules: Arc<QueueRules>, spec: Arc<JobSpec>, accepted_unix_ms: u64) -> Self {
        let objective = rules.objective(spec.critical_path());
        Self {
            order_unix_ms: accepted_unix_ms.saturating_add(objective.get()),
            memory_bytes: job_memory(&spec),
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
            unstorable: false,
            account: None,
            beyond_share: false,
            stopping: ResourceVector::default(),
        }
    }

    /// Sets the client account, and whether the account is ahead of its share.
    pub(crate) fn with_account(
        mut self,
        account: Option<Arc<AccountRules>>,
        beyond_share: bool,
    ) -> Self {
        self.account = account;
        self.beyond_share = beyond_share;
        self
    }

    pub(crate) fn new_ended(rules: Arc<QueueRules>, ended: &EndedRecord) -> Self {
        Self {
            order_unix_ms: 0,
            memory_bytes: 0,
            rules,
            spec: None,
            accepted_unix_ms: ended.ended_unix_ms,
            occurrences: Vec::new(),
            started: true,
            inherited: true,
            ending: Some(ended.status),
            ended: Some((ended.status, ended.ended_unix_ms)),
            sent: true,
            stored: true,
            unstorable: false,
            account: ended
                .account
                .as_ref()
                .map(|account| Arc::new(AccountRules::new(account.name.clone()))),
            beyond_share: ended
                .account
                .as_ref()
                .is_some_and(|account| account.counted_unix_ms.is_none()),
            stopping: ended
                .account
                .as_ref()
                .map(|account| account.stopping)
                .unwrap_or_default(),
        }
    }

    /// Sets the sort key from the ratio of the job's work to the mean of its queue.
    pub(crate) fn order_by_work(&mut self, work_ratio: f64, work_share: f64) {
        let Some(spec) = &self.spec else { return };
        let objective = self.rules.objective(spec.critical_path());
        self.order_unix_ms = order_time(self.accepted_unix_ms, objective, work_ratio, work_share);
    }

    pub(crate) fn queue(&self) -> &QueueName {
        &self.rules.name
    }

    /// Returns the total number of occurrences.
    pub(crate) fn total_occurrences(&self) -> usize {
        let recurrence = self.spec.as_ref().and_then(|spec| spec.recurrence.as_ref());
        recurrence.map_or(1, |times| times.count.max(1) as usize)
    }

    /// Returns the Unix milliseconds at which an occurrence is due.
    pub(crate) fn due_unix_ms(&self, occurrence: usize) -> u64 {
        let recurrence = self.spec.as_ref().and_then(|spec| spec.recurrence.as_ref());
        recurrence.map_or(self.accepted_unix_ms, |times| {
            let number = u64::try_from(occurrence).unwrap_or(u64::MAX);
            let offset = times.interval.get().saturating_mul(number);
            times.start_unix_ms.saturating_add(offset)
        })
    }

    /// Opens the next occurrence.
    pub(crate) fn open_occurrence(&mut self, now: Millis) {
        let Some(spec) = &self.spec else { return };
        let steps = spec.steps.iter().map(|step| {
            let mut state = StepState::new(step.tasks);
            state.open = step.after.is_empty();
            // Starts are not stored: an earlier owner may have started tasks of any step.
            state.inherited = self.inherited;
            state.ready_since = now;
            state
        });
        let steps = steps.collect();
        self.occurrences.push(OccurrenceState { steps });
    }

    /// Returns the status as reported to callers.
    pub(crate) fn status(&self) -> JobStatus {
        match self.ended {
            Some((status, _)) => status,
            None if self.started => JobStatus::Running,
            None => JobStatus::Queued,
        }
    }

    /// Tells whether all tasks of all occurrences have succeeded, stored or not.
    pub(crate) fn all_tasks_done(&self) -> bool {
        let all =
            |occurrence: &OccurrenceState| occurrence.steps.iter().all(StepState::all_tasks_done);
        self.spec.is_some()
            && self.occurrences.len() == self.total_occurrences()
            && self.occurrences.iter().all(all)
    }

    /// Tells whether the failed runs leave no room in a record of at most `limit` bytes.
    pub(crate) fn outgrows(&self, limit: u64) -> bool {
        self.failed_bytes() > progress_bytes(limit)
    }

    /// Returns the longest encoding of all failed runs.
    fn failed_bytes(&self) -> u64 {
        let steps = self
            .occurrences
            .iter()
            .flat_map(|occurrence| &occurrence.steps);
        let runs = steps
            .flat_map(|step| step.tasks.touched())
            .map(|(_, task)| task.failed.len());
        let runs = u64::try_from(runs.sum::<usize>()).unwrap_or(u64::MAX);
        runs.saturating_mul(FAILED_RUN_BYTES)
    }

    /// Returns the record of the present state, of at most `limit` bytes unless the job
    /// [`outgrows`](Self::outgrows) it. Checkpoints for which there is no room are left out.
    pub(crate) fn record(&self, limit: u64, now_unix_ms: u64) -> JobRecord {
        if let Some(status) = self.ending {
            return JobRecord::Ended(EndedRecord {
                queue: self.queue().clone(),
                status,
                ended_unix_ms: self.ended.map_or(now_unix_ms, |(_, at)| at),
                account: self.ended_account(),
            });
        }
        JobRecord::Live(LiveRecord {
            rules: Arc::clone(&self.rules),
            spec: self.spec.clone().unwrap_or_else(missing_spec),
            accepted_unix_ms: self.accepted_unix_ms,
            order_unix_ms: self.order_unix_ms,
            occurrences: self.occurrence_records(limit),
            account: self.account.clone(),
            beyond_share: self.beyond_share,
        })
    }

    /// Returns what remains of the job for its client account once it has ended.
    fn ended_account(&self) -> Option<EndedAccount> {
        let account = self.account.as_ref()?;
        Some(EndedAccount {
            name: account.name.clone(),
            counted_unix_ms: (!self.beyond_share).then_some(self.accepted_unix_ms),
            stopping: self.stopping,
        })
    }

    fn occurrence_records(&self, limit: u64) -> Vec<OccurrenceRecord> {
        let mut room = progress_bytes(limit).saturating_sub(self.failed_bytes());
        let mut record = |step: &StepState| step_record(step, &mut room);
        let occurrences = self.occurrences.iter().map(|occurrence| {
            let steps = if occurrence.is_finished() {
                let specs = self.spec.iter().flat_map(|spec| &spec.steps);
                specs.map(finished_step_record).collect()
            } else {
                occurrence.steps.iter().map(&mut record).collect()
            };
            OccurrenceRecord { steps }
        });
        occurrences.collect()
    }

    /// Restores progress from a record.
    pub(crate) fn restore(&mut self, record: &LiveRecord, now: Millis) {
        self.order_unix_ms = record.order_unix_ms;
        for stored in &record.occurrences {
            self.open_occurrence(now);
            let Some(occurrence) = self.occurrences.last_mut() else {
                return;
            };
            let specs = self.spec.iter().flat_map(|spec| &spec.steps);
            let steps = occurrence.steps.iter_mut().zip(&stored.steps);
            for ((step, stored), spec) in steps.zip(specs) {
                restore_step(step, stored, spec.lasting);
                self.started |= step.done > 0 || !stored.failed.is_empty();
            }
            if !occurrence.release_finished() {
                open_steps(self.spec.as_deref(), occurrence, now);
            }
        }
    }
}

/// Stands in for the missing specification of a live job, which only a bug can cause: jobs lose it
/// after their end is stored.
fn missing_spec() -> Arc<JobSpec> {
    log::error!("a live job has no specification; its record is written without steps");
    Arc::new(JobSpec {
        payload: "".into(),
        steps: Vec::new(),
        recurrence: None,
    })
}

/// Opens the steps whose dependencies have all succeeded, stored or not; returns the numbers of the
/// opened steps.
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

/// Returns the record of a step, with the checkpoints for which there is `room` in bytes.
fn step_record(step: &StepState, room: &mut u64) -> StepRecord {
    let mut record = StepRecord {
        done: step.tasks.finished_bits().to_vec(),
        ..StepRecord::default()
    };
    for (index, task) in step.tasks.touched() {
        if task.phase == TaskPhase::DoneUnstored {
            record.set_done(index);
            continue;
        }
        let failed = task.failed.iter().map(|run| (index, *run));
        record.failed.extend(failed);
        if let Some(checkpoint) = &task.checkpoint {
            let length = u64::try_from(checkpoint.len()).unwrap_or(u64::MAX);
            let Some(left) = room.checked_sub(length.saturating_add(CHECKPOINT_BYTES)) else {
                continue;
            };
            *room = left;
            record.saved.push((index, Arc::clone(checkpoint)));
        }
    }
    record
}

/// Returns the record of a step of which the success of all tasks is stored.
fn finished_step_record(spec: &StepSpec) -> StepRecord {
    let mut record = StepRecord::default();
    (0..spec.tasks).for_each(|index| record.set_done(index));
    record
}

/// Restores the tasks of a step. A long-running task is never done; earlier versions recorded it as
/// done after a run that ended by itself.
fn restore_step(step: &mut StepState, record: &StepRecord, lasting: bool) {
    let tasks = u32::try_from(step.tasks.len()).unwrap_or(u32::MAX);
    for index in (0..tasks).filter(|index| record.is_done(*index) && !lasting) {
        step.tasks.finish(index);
        step.done += 1;
        step.succeeded += 1;
        step.waiting -= 1;
    }
    for (index, run) in &record.failed {
        if let Some(task) = step.tasks.get_mut(*index) {
            task.failed.insert(*run);
        }
    }
    for (index, checkpoint) in &record.saved {
        if let Some(task) = step.tasks.get_mut(*index) {
            task.checkpoint = Some(Arc::clone(checkpoint));
        }
    }
}
