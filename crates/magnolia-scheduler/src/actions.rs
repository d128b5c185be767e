//! What the scheduler wants done.

use std::sync::Arc;

use magnolia_types::{ExecutorId, Millis};

use crate::{ExecutorLife, RunNumber, StepRef, TaskRef};

/// Orders a start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// Where.
    pub executor: ExecutorId,
    /// Life of the executor that is meant.
    pub life: ExecutorLife,
    /// What.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Proof of eligibility.
    pub ticket: Option<Arc<str>>,
    /// End of the lease on the executor's clock.
    pub lease_until: Millis,
}

/// Orders a stop.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// Where.
    pub executor: ExecutorId,
    /// Life of the executor that is meant.
    pub life: ExecutorLife,
    /// What.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
}

/// Orders a share of the processors for a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    /// Where.
    pub executor: ExecutorId,
    /// Life of the executor that is meant.
    pub life: ExecutorLife,
    /// What.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Share in percent.
    pub percent: u8,
}

/// Asks which executors may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceOrder {
    /// Number of the daemon that asks, as registered with the queue of calls.
    pub daemon: usize,
    /// The step.
    pub step: StepRef,
    /// The executors named.
    pub executors: Vec<ExecutorId>,
    /// Time that the call takes by the queue's rules.
    pub expected: Millis,
}

/// Something that the scheduler wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Change the share of a run.
    Pace(PaceOrder),
    /// Ask for eligibility.
    Advise(AdviceOrder),
}
