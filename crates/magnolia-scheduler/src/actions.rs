//! Actions that the scheduler decides on and the owner of the cell carries out.

use std::sync::Arc;

use magnolia_types::{ExecutorId, Millis};

use crate::{ExecutorLife, FenceToken, RunNumber, StepRef, TaskRef};

/// Order to start a task.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOrder {
    /// The executor.
    pub executor: ExecutorId,
    /// Life of the executor that the order is meant for.
    pub life: ExecutorLife,
    /// Token of that life.
    pub token: FenceToken,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// Payload of the job.
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    pub checkpoint: Option<Arc<str>>,
    /// Eligibility ticket, if the queue needs one.
    pub ticket: Option<Arc<str>>,
    /// End of the lease, on the executor's clock.
    pub lease_until: Millis,
}

/// Order to stop a run.
#[derive(Clone, Debug, PartialEq)]
pub struct StopOrder {
    /// The executor.
    pub executor: ExecutorId,
    /// Life of the executor that the order is meant for.
    pub life: ExecutorLife,
    /// Token of that life.
    pub token: FenceToken,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
}

/// Order to set the CPU share of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct PaceOrder {
    /// The executor.
    pub executor: ExecutorId,
    /// Life of the executor that the order is meant for.
    pub life: ExecutorLife,
    /// Token of that life.
    pub token: FenceToken,
    /// The task.
    pub task: TaskRef,
    /// Number of the run.
    pub run: RunNumber,
    /// CPU share, in percent.
    pub percent: u8,
}

/// Order to one daemon to send an eligibility request, which asks which executors may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct EligibilityOrder {
    /// Number of the daemon, as passed to `set_eligibility_daemons`.
    pub daemon: usize,
    /// The step.
    pub step: StepRef,
    /// The executors to ask about.
    pub executors: Vec<ExecutorId>,
    /// Expected duration of the request, by the rules of the queue.
    pub expected_duration: Millis,
}

/// An action for the owner of the cell to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum CellAction {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Set the CPU share of a run.
    Pace(PaceOrder),
    /// Send an eligibility request.
    RequestEligibility(EligibilityOrder),
}
