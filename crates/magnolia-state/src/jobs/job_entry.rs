//! One job, its tasks, and their state transitions.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, Epoch, JobKind, JobOutcome, JobSpec, JobState, Millis, ResultCode, TaskIndex,
    WorkerId, value_types,
};
use serde::{Deserialize, Serialize};

value_types! {
    /// How an attempt ended.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptResult {
        /// The task completed successfully.
        Succeeded,
        /// The task failed.
        Failed,
        /// The system stopped it before it completed.
        Interrupted,
        /// The worker refused the start, or the start provably had no effect.
        NotStarted,
        /// Unknown: the worker was restarted, its full report lacks the attempt, or the lease of
        /// the attempt has expired.
        Lost,
    }
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not running; may be placed.
    Waiting,
    /// An attempt is running or may be running.
    Running(RunningAttempt),
    /// Completed successfully.
    Done,
    /// Failed permanently, or withdrawn because its job was ended.
    Failed,
    /// May have run; not retried, because the task is not repeatable.
    Unknown,
}

/// The current attempt of a running task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Worker that the attempt was started on.
    pub worker: WorkerId,
}

/// One task of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskEntry {
    /// Current state.
    pub state: TaskState,
    /// Number of failed attempts; counted against `max_attempts` of the job.
    pub failures: u32,
    /// Epoch and number of the newest attempt, by which attempts of the task are ordered.
    pub latest: (Epoch, u32),
}

/// Number of tasks by state, as the owner of the partition stores it. The counts that callers
/// receive add the unknown tasks to the failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTally {
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Tasks that completed successfully.
    pub done: u32,
    /// Tasks that failed or were withdrawn.
    pub failed: u32,
    /// Tasks whose outcome is unknown.
    pub unknown: u32,
}

/// Actions that the owner of the partition has to take after a job has changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobEffects {
    /// Tasks that are waiting again and may be placed.
    pub requeue: Vec<TaskIndex>,
    /// Attempts to stop.
    pub stops: Vec<RunningAttempt>,
    /// Whether the job became final by this change.
    pub became_final: bool,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Wall-clock time at which it was accepted.
    pub submitted: Millis,
    /// Epoch under which it was accepted.
    pub epoch: Epoch,
    /// Its tasks; empty once the job is final.
    pub tasks: Vec<TaskEntry>,
    /// Number of tasks by state.
    pub tally: TaskTally,
    /// Set when the job was cancelled or given up: no further attempt is started, and this becomes
    /// the outcome once no attempt is running.
    pub ending: Option<JobOutcome>,
    /// Final result, once the job is final.
    pub outcome: Option<JobOutcome>,
    /// Wall-clock time at which the job became final.
    #[serde(rename = "finished")]
    pub final_at: Option<Millis>,
}

/// Parses epoch and number from an attempt id of the form `<job>-<task>-<epoch>-<number>`.
pub(super) fn attempt_order(attempt: &AttemptId) -> Option<(Epoch, u32)> {
    let (rest, number) = attempt.as_str().rsplit_once('-')?;
    let (_, epoch) = rest.rsplit_once('-')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

impl JobEntry {
    /// Creates a job whose tasks are all waiting.
    pub fn new(spec: Arc<JobSpec>, submitted: Millis, epoch: Epoch) -> Self {
        let task = TaskEntry {
            state: TaskState::Waiting,
            failures: 0,
            latest: (Epoch::new(0), 0),
        };
        Self {
            tasks: vec![task; spec.tasks as usize],
            tally: TaskTally {
                waiting: spec.tasks,
                ..TaskTally::default()
            },
            spec,
            submitted,
            epoch,
            ending: None,
            outcome: None,
            final_at: None,
        }
    }

    /// Returns the state that is reported to callers.
    pub fn state(&self) -> JobState {
        match &self.outcome {
            Some(outcome) => outcome.state,
            None if self.tally.waiting == self.spec.tasks => JobState::Waiting,
            None => JobState::Running,
        }
    }

    /// Returns the waiting tasks that may be placed now.
    ///
    /// The tasks of a gang start together, so none is ready while an earlier attempt of any task of
    /// the gang may still be running.
    pub fn ready(&self) -> Vec<TaskIndex> {
        if self.ending.is_some() || (self.is_gang() && self.tally.running > 0) {
            return Vec::new();
        }
        (0..)
            .zip(&self.tasks)
            .filter(|(_, task)| task.state == TaskState::Waiting)
            .map(|(index, _)| index)
            .collect()
    }

    /// Returns the running attempts.
    pub fn running(&self) -> impl Iterator<Item = (TaskIndex, &RunningAttempt)> {
        (0..)
            .zip(&self.tasks)
            .filter_map(|(index, task)| match &task.state {
                TaskState::Running(running) => Some((index, running)),
                _ => None,
            })
    }

    /// Records that an attempt was started.
    ///
    /// Returns `false` if the task is not waiting, or if the attempt is not newer than the newest
    /// known one, as when the journal is replayed over a snapshot that already contains it.
    pub fn start(&mut self, task: TaskIndex, running: RunningAttempt) -> bool {
        let Some(entry) = self.tasks.get_mut(task as usize) else {
            return false;
        };
        if entry.state != TaskState::Waiting || self.ending.is_some() {
            return false;
        }
        match attempt_order(&running.attempt) {
            Some(order) if order > entry.latest => entry.latest = order,
            _ => return false,
        }
        entry.state = TaskState::Running(running);
        self.tally.waiting -= 1;
        self.tally.running += 1;
        true
    }

    /// Records the end of an attempt; returns `None` if it is not the current attempt of the task.
    pub fn end(
        &mut self,
        task: TaskIndex,
        attempt: &AttemptId,
        result: AttemptResult,
        at: Millis,
    ) -> Option<JobEffects> {
        let entry = self.tasks.get_mut(task as usize)?;
        match &entry.state {
            TaskState::Running(running) if running.attempt == *attempt => {}
            _ => return None,
        }
        entry.failures += u32::from(result == AttemptResult::Failed);
        let attempts_exhausted = entry.failures >= self.spec.max_attempts.max(1)
            && self.spec.kind != JobKind::Service
            && result == AttemptResult::Failed;
        let next = next_state(
            &self.spec,
            result,
            attempts_exhausted,
            self.ending.is_some(),
        );
        entry.state = next;
        self.tally.running -= 1;
        match self.tasks[task as usize].state {
            TaskState::Waiting => self.tally.waiting += 1,
            TaskState::Done => self.tally.done += 1,
            TaskState::Unknown => self.tally.unknown += 1,
            _ => self.tally.failed += 1,
        }
        let mut effects = JobEffects::default();
        if attempts_exhausted {
            let outcome = too_many_failures(task, self.spec.max_attempts);
            effects = self.end_job(outcome, at);
        } else if self.is_gang() && result != AttemptResult::Succeeded {
            // The unfinished tasks of a gang are stopped together, to be restarted together.
            effects.stops = self.running().map(|(_, running)| running.clone()).collect();
        }
        self.make_final_if_idle(at, &mut effects);
        if !effects.became_final {
            effects.requeue = self.tasks_to_requeue(task);
        }
        Some(effects)
    }

    /// Ends the job with `outcome`: waiting tasks become failed, and the running attempts are
    /// returned to be stopped. Has no effect on a job that has already ended.
    pub fn end_job(&mut self, outcome: JobOutcome, at: Millis) -> JobEffects {
        let mut effects = JobEffects::default();
        if self.outcome.is_some() || self.ending.is_some() {
            return effects;
        }
        self.ending = Some(outcome);
        for task in &mut self.tasks {
            if task.state == TaskState::Waiting {
                task.state = TaskState::Failed;
            }
        }
        self.tally.failed += std::mem::take(&mut self.tally.waiting);
        effects.stops = self.running().map(|(_, running)| running.clone()).collect();
        self.make_final_if_idle(at, &mut effects);
        effects
    }

    /// Returns whether the tasks of the job have to start together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    fn tasks_to_requeue(&self, task: TaskIndex) -> Vec<TaskIndex> {
        if self.is_gang() {
            return self.ready();
        }
        let is_waiting = self.tasks[task as usize].state == TaskState::Waiting;
        if is_waiting { vec![task] } else { Vec::new() }
    }

    fn make_final_if_idle(&mut self, at: Millis, effects: &mut JobEffects) {
        let tally = self.tally;
        if self.outcome.is_some() || tally.running > 0 || tally.waiting > 0 {
            return;
        }
        let outcome = self
            .ending
            .clone()
            .unwrap_or_else(|| completed_outcome(tally));
        self.outcome = Some(outcome);
        self.final_at = Some(at);
        self.tasks = Vec::new();
        effects.became_final = true;
    }
}

/// Returns the state of a task after its attempt has ended.
fn next_state(
    spec: &JobSpec,
    result: AttemptResult,
    attempts_exhausted: bool,
    ending: bool,
) -> TaskState {
    let retry_state = if ending {
        TaskState::Failed
    } else {
        TaskState::Waiting
    };
    match result {
        AttemptResult::Succeeded if spec.kind == JobKind::Service => retry_state,
        AttemptResult::Succeeded => TaskState::Done,
        AttemptResult::NotStarted => retry_state,
        _ if attempts_exhausted => TaskState::Failed,
        // The attempt ran in part or may have run, so another attempt could repeat its effects.
        AttemptResult::Failed if !spec.repeatable => TaskState::Failed,
        AttemptResult::Interrupted | AttemptResult::Lost if !spec.repeatable => TaskState::Unknown,
        _ => retry_state,
    }
}

fn too_many_failures(task: TaskIndex, attempts: u32) -> JobOutcome {
    JobOutcome {
        state: JobState::Failed,
        code: ResultCode::WorkFailed,
        reason: format!("task {task} failed {attempts} times").into(),
    }
}

fn completed_outcome(tally: TaskTally) -> JobOutcome {
    let (state, code, reason) = if tally.unknown > 0 {
        let reason = format!("{} tasks may have run and are not run again", tally.unknown);
        (JobState::Unknown, ResultCode::OutcomeUnknown, reason)
    } else if tally.failed > 0 {
        let reason = format!("{} tasks failed", tally.failed);
        (JobState::Failed, ResultCode::WorkFailed, reason)
    } else {
        let reason = "all tasks ended well".to_owned();
        (JobState::Done, ResultCode::Ok, reason)
    };
    JobOutcome {
        state,
        code,
        reason: reason.into(),
    }
}
