//! Descriptions of work: quick requests, jobs and their tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, CustomerName, IdempotencyKey, JobId, Millis, ResourceVector, ResultCode, text_id,
    value_types,
};

text_id!(
    /// A class of work as the rules name it, such as `quick`, `service`, `batch` or `urgent`.
    WorkClass
);

/// Rank of a class; a higher rank is more urgent.
pub type UrgencyRank = u8;

/// Index of a task within its job.
pub type TaskIndex = u32;

value_types! {
    /// The three kinds of jobs.
    #[serde(rename_all = "lowercase")]
    pub enum JobKind {
        /// Runs until cancelled and is restarted when it ends.
        Service,
        /// Independent tasks, each run to its end.
        Batch,
        /// Tasks that start together or not at all.
        Gang,
    }

    /// Where a job stands.
    #[serde(rename_all = "lowercase")]
    pub enum JobState {
        /// No task has started yet.
        Waiting,
        /// At least one task has started and not all have ended.
        Running,
        /// All tasks ended well.
        Done,
        /// The job was given up after failures.
        Failed,
        /// The job was cancelled.
        Cancelled,
        /// A task that may not repeat was lost with its outcome.
        Unknown,
    }
}

impl JobState {
    /// Tells whether the state is final.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// A job as its caller described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Who pays.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// Service, batch or gang.
    pub kind: JobKind,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared size of each task.
    pub size: ResourceVector,
    /// Declared run time of each task; `None` when it is not known.
    #[serde(default)]
    pub run_ms: Option<Millis>,
    /// Whether a task may be run again after a failure or a lost worker.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Makes repeated submissions of the same job one job.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// How often a task may fail before the job is given up.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

fn default_repeatable() -> bool {
    true
}

fn default_max_attempts() -> u32 {
    3
}

/// A quick request as its caller described it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuickSpec {
    /// Who pays.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// Longest time until the answer.
    pub deadline_ms: Millis,
    /// What the executor gets, opaque to the scheduler.
    pub body: Arc<str>,
    /// Whether the request may be sent a second time.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Required when the request is not repeatable.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Names a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// The task within the job.
    pub task: TaskIndex,
}

impl TaskRef {
    /// Names task `task` of `job`.
    pub fn new(job: JobId, task: TaskIndex) -> Self {
        Self { job, task }
    }

    /// Names attempt `number` of this task by the owner at `epoch`.
    ///
    /// # Errors
    ///
    /// Fails when the parts make an id that is too long.
    pub fn attempt(
        &self,
        epoch: crate::Epoch,
        number: u32,
    ) -> Result<AttemptId, crate::ParseIdError> {
        AttemptId::new(&format!("{}-{}-{epoch}-{number}", self.job, self.task))
    }
}

/// Final result of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobOutcome {
    /// Final state.
    pub state: JobState,
    /// Code that goes with it.
    pub code: ResultCode,
    /// Reason in one sentence.
    pub reason: Arc<str>,
}
