//! One job and the rules by which its tasks move.

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
        /// The task ran to its end.
        Succeeded,
        /// The task failed.
        Failed,
        /// The system stopped it before its end.
        Interrupted,
        /// The start was refused or provably had no effect.
        NotStarted,
        /// Nobody knows: the worker was lost or restarted, and the lease has ended.
        Lost,
    }
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum TaskState {
    /// Waits for a start.
    Waiting,
    /// Runs or may run.
    Running(RunningAttempt),
    /// Ended well.
    Done,
    /// Failed for good, or its job ended before.
    Failed,
    /// May have run and is not run again.
    Unknown,
}

/// The attempt under which a task runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where it runs.
    pub worker: WorkerId,
}

/// One task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskEntry {
    /// Where it stands.
    pub state: TaskState,
    /// How often it failed.
    pub failures: u32,
    /// Epoch and number of the newest attempt.
    pub latest: (Epoch, u32),
}

/// Number of tasks by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskTally {
    /// Waiting tasks.
    pub waiting: u32,
    /// Running tasks.
    pub running: u32,
    /// Tasks that ended well.
    pub done: u32,
    /// Tasks that failed or were withdrawn.
    pub failed: u32,
    /// Tasks with an unknown end.
    pub unknown: u32,
}

/// What follows from a change of a job.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobEffects {
    /// Tasks that wait again and may be placed.
    pub requeue: Vec<TaskIndex>,
    /// Attempts to stop.
    pub stops: Vec<RunningAttempt>,
    /// Whether the job became final.
    pub finished: bool,
}

/// One job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEntry {
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// Wall-clock time of the acceptance.
    pub submitted: Millis,
    /// Epoch under which it was accepted.
    pub epoch: Epoch,
    /// Its tasks; empty once the job is final.
    pub tasks: Vec<TaskEntry>,
    /// Number of tasks by state.
    pub tally: TaskTally,
    /// Why the job gets no further attempt, when it was cancelled or given up.
    pub ending: Option<JobOutcome>,
    /// Final result.
    pub outcome: Option<JobOutcome>,
    /// Wall-clock time of the final result.
    pub finished: Option<Millis>,
}

/// Reads epoch and number from an attempt id, `<job>-<task>-<epoch>-<number>`.
pub(super) fn attempt_order(attempt: &AttemptId) -> Option<(Epoch, u32)> {
    let (rest, number) = attempt.as_str().rsplit_once('-')?;
    let (_, epoch) = rest.rsplit_once('-')?;
    Some((epoch.parse().ok()?, number.parse().ok()?))
}

impl JobEntry {
    /// Creates a job whose tasks all wait.
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
            finished: None,
        }
    }

    /// Returns the state that callers see.
    pub fn state(&self) -> JobState {
        match &self.outcome {
            Some(outcome) => outcome.state,
            None if self.tally.waiting == self.spec.tasks => JobState::Waiting,
            None => JobState::Running,
        }
    }

    /// Returns the tasks that may be placed now.
    ///
    /// The tasks of a gang start together, so none is ready while an earlier attempt of any of
    /// them may still run.
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

    /// Records that an attempt was started; `false` when the task does not wait or the attempt
    /// is not newer than those before, as in a replay over a snapshot that has it already.
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

    /// Records the end of an attempt; `None` when it is not the task's current attempt.
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
        let gives_up = entry.failures >= self.spec.max_attempts.max(1)
            && self.spec.kind != JobKind::Service
            && result == AttemptResult::Failed;
        let next = next_state(&self.spec, result, gives_up, self.ending.is_some());
        entry.state = next;
        self.tally.running -= 1;
        match self.tasks[task as usize].state {
            TaskState::Waiting => self.tally.waiting += 1,
            TaskState::Done => self.tally.done += 1,
            TaskState::Unknown => self.tally.unknown += 1,
            _ => self.tally.failed += 1,
        }
        let mut effects = JobEffects::default();
        if gives_up {
            let outcome = given_up(task, self.spec.max_attempts);
            effects = self.end_job(outcome, at);
        } else if self.is_gang() && result != AttemptResult::Succeeded {
            effects.stops = self.running().map(|(_, running)| running.clone()).collect();
        }
        self.finish_if_over(at, &mut effects);
        if !effects.finished {
            effects.requeue = self.requeued(task);
        }
        Some(effects)
    }

    /// Ends the job: waiting tasks are withdrawn, running ones are to be stopped.
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
        self.finish_if_over(at, &mut effects);
        effects
    }

    /// Tells whether the tasks of the job start together.
    pub fn is_gang(&self) -> bool {
        self.spec.kind == JobKind::Gang
    }

    fn requeued(&self, task: TaskIndex) -> Vec<TaskIndex> {
        if self.is_gang() {
            return self.ready();
        }
        let waits = self.tasks[task as usize].state == TaskState::Waiting;
        if waits { vec![task] } else { Vec::new() }
    }

    fn finish_if_over(&mut self, at: Millis, effects: &mut JobEffects) {
        let tally = self.tally;
        if self.outcome.is_some() || tally.running > 0 || tally.waiting > 0 {
            return;
        }
        let outcome = self.ending.clone().unwrap_or_else(|| natural_end(tally));
        self.outcome = Some(outcome);
        self.finished = Some(at);
        self.tasks = Vec::new();
        effects.finished = true;
    }
}

/// Decides where a task goes when its attempt has ended.
fn next_state(spec: &JobSpec, result: AttemptResult, gives_up: bool, ending: bool) -> TaskState {
    let again = if ending {
        TaskState::Failed
    } else {
        TaskState::Waiting
    };
    match result {
        AttemptResult::Succeeded if spec.kind == JobKind::Service => again,
        AttemptResult::Succeeded => TaskState::Done,
        AttemptResult::NotStarted => again,
        _ if gives_up => TaskState::Failed,
        // The work ran in part or may have run, so a second run could repeat it.
        AttemptResult::Failed if !spec.repeatable => TaskState::Failed,
        AttemptResult::Interrupted | AttemptResult::Lost if !spec.repeatable => TaskState::Unknown,
        _ => again,
    }
}

fn given_up(task: TaskIndex, attempts: u32) -> JobOutcome {
    JobOutcome {
        state: JobState::Failed,
        code: ResultCode::WorkFailed,
        reason: format!("task {task} failed {attempts} times").into(),
    }
}

fn natural_end(tally: TaskTally) -> JobOutcome {
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
