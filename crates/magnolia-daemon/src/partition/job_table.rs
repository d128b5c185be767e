//! Jobs of one partition and their tasks.

use std::collections::BTreeMap;

use magnolia_protocol::{JobView, TaskCounts};
use magnolia_types::{AttemptId, JobId, JobOutcome, JobSpec, JobState, ResultCode, TaskIndex};

/// Where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    /// Not started.
    Waiting,
    /// Started under this attempt.
    Running(AttemptId),
    /// Ended well.
    Done,
    /// Given up.
    Failed,
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job as submitted.
    pub spec: JobSpec,
    /// State of each task.
    pub tasks: Vec<TaskState>,
}

/// Jobs by id.
#[derive(Default)]
pub struct JobTable {
    /// The jobs.
    pub jobs: BTreeMap<JobId, JobEntry>,
}

impl JobTable {
    /// Adds a job with all tasks waiting.
    pub fn insert(&mut self, job: JobId, spec: JobSpec) {
        let tasks = vec![TaskState::Waiting; spec.tasks as usize];
        self.jobs.insert(job, JobEntry { spec, tasks });
    }

    /// Sets the state of a task.
    pub fn set_task(&mut self, job: &JobId, task: TaskIndex, state: TaskState) {
        if let Some(slot) = self
            .jobs
            .get_mut(job)
            .and_then(|entry| entry.tasks.get_mut(task as usize))
        {
            *slot = state;
        }
    }

    /// Describes a job as callers see it.
    pub fn view(&self, job: &JobId) -> Option<JobView> {
        let entry = self.jobs.get(job)?;
        let mut tasks = TaskCounts::default();
        for task in &entry.tasks {
            match task {
                TaskState::Waiting => tasks.waiting += 1,
                TaskState::Running(_) => tasks.running += 1,
                TaskState::Done => tasks.done += 1,
                TaskState::Failed => tasks.failed += 1,
            }
        }
        let state = job_state(&tasks);
        Some(JobView {
            job: job.clone(),
            customer: entry.spec.customer.clone(),
            class: entry.spec.class.clone(),
            kind: entry.spec.kind,
            outcome: state.is_final().then(|| outcome(state)),
            state,
            tasks,
        })
    }
}

fn job_state(tasks: &TaskCounts) -> JobState {
    match (tasks.waiting, tasks.running, tasks.done, tasks.failed) {
        (0, 0, _, 0) => JobState::Done,
        (0, 0, _, _) => JobState::Failed,
        (_, 0, 0, 0) => JobState::Waiting,
        _ => JobState::Running,
    }
}

fn outcome(state: JobState) -> JobOutcome {
    let (code, reason) = match state {
        JobState::Done => (ResultCode::Ok, "all tasks ended well"),
        _ => (ResultCode::WorkFailed, "a task failed"),
    };
    JobOutcome {
        state,
        code,
        reason: reason.into(),
    }
}
