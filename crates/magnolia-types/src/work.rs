//! Descriptions of work: quick requests, jobs and their tasks.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    AttemptId, CustomerName, IdempotencyKey, JobId, Millis, ResourceVector, ResultCode, text_id,
    value_types,
};

text_id!(
    /// Name of a class of work in the configuration, such as `quick`, `service`, `batch` or
    /// `urgent`.
    WorkClass
);

/// Urgency of a class; a higher rank is more urgent.
pub type UrgencyRank = u8;

/// Index of a task within its job.
pub type TaskIndex = u32;

value_types! {
    /// Kind of a job, which decides how its tasks are started and restarted.
    #[serde(rename_all = "lowercase")]
    pub enum JobKind {
        /// Runs until cancelled and is restarted when it ends.
        Service,
        /// Independent tasks, each of which runs to completion.
        Batch,
        /// Tasks that start together or not at all.
        Gang,
    }

    /// State of a job, as reported to callers.
    #[serde(rename_all = "lowercase")]
    pub enum JobState {
        /// All tasks are waiting.
        Waiting,
        /// At least one task is running or has ended, and the job is not final.
        Running,
        /// All tasks completed successfully.
        Done,
        /// The job was given up, or tasks failed that are not retried.
        Failed,
        /// The job was cancelled.
        Cancelled,
        /// A task that is not repeatable may have run; its outcome was lost.
        Unknown,
    }
}

impl JobState {
    /// Returns whether the state is final.
    pub fn is_final(self) -> bool {
        !matches!(self, Self::Waiting | Self::Running)
    }
}

/// A job as submitted by the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Customer whose share and quota are charged.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// Service, batch or gang.
    pub kind: JobKind,
    /// Number of tasks, at least one.
    pub tasks: u32,
    /// Declared resources of each task.
    pub size: ResourceVector,
    /// Declared run time of each task; `None` when it is not known.
    #[serde(default)]
    pub run_ms: Option<Millis>,
    /// Whether a task may be run again after a failure or a lost worker.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Repeated submissions with the same key create only one job.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
    /// Number of failed attempts of one task after which a batch or gang job is given up.
    #[serde(default = "default_max_attempts")]
    pub max_attempts: u32,
}

fn default_repeatable() -> bool {
    true
}

fn default_max_attempts() -> u32 {
    3
}

/// A quick request as submitted by the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuickSpec {
    /// Customer whose share and quota are charged.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// Time within which the answer is due, counted from the receipt of the request.
    pub deadline_ms: Millis,
    /// Content for the executor, opaque to the scheduler.
    pub body: Arc<str>,
    /// Whether the request may be sent again when it may already have run.
    #[serde(default = "default_repeatable")]
    pub repeatable: bool,
    /// Required when the request is not repeatable.
    #[serde(default)]
    pub idempotency_key: Option<IdempotencyKey>,
}

/// Identifies a task of a job.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskRef {
    /// The job.
    pub job: JobId,
    /// Index of the task within the job.
    pub task: TaskIndex,
}

impl TaskRef {
    /// Refers to task `task` of `job`.
    pub fn new(job: JobId, task: TaskIndex) -> Self {
        Self { job, task }
    }

    /// Creates the id of attempt `number` of this task by the owner at `epoch`.
    ///
    /// # Errors
    ///
    /// Fails when the id would be too long.
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
    /// Result code.
    pub code: ResultCode,
    /// Reason, in one sentence.
    pub reason: Arc<str>,
}
