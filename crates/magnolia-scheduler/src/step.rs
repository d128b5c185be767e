//! State of a step and its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::Millis;

use crate::executors::ExecutorIndex;
use crate::task_table::TaskTable;
use crate::{ExecutorLife, RunNumber};

/// Phase of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// Not started, or to be started again.
    Waiting,
    /// Has a run on an executor, which may not have confirmed it yet.
    Placed(ExecutorIndex, RunNumber),
    /// Succeeded; not stored yet.
    DoneUnstored,
    /// Succeeded; stored.
    Done,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) phase: TaskPhase,
    /// Number of starts in this epoch.
    pub(crate) runs: u64,
    /// Run numbers of the failed runs.
    pub(crate) failed: BTreeSet<u64>,
    /// Newest checkpoint.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Time before which the task is not started again.
    pub(crate) not_before: Millis,
    /// Executor on which the last run failed or hung.
    pub(crate) avoid: Option<ExecutorIndex>,
}

impl TaskState {
    pub(crate) const fn new(phase: TaskPhase) -> Self {
        Self {
            phase,
            runs: 0,
            failed: BTreeSet::new(),
            checkpoint: None,
            not_before: Millis::new(0),
            avoid: None,
        }
    }
}

/// Proof of eligibility: allows one executor to run tasks of a step.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) text: Arc<str>,
    /// Life of the executor when the ticket arrived; a later one can't use it.
    pub(crate) life: ExecutorLife,
    /// End of its validity on the owner's clock, less a margin for the start order to arrive.
    pub(crate) valid_until: Millis,
}

/// Answers to the eligibility requests of a step. Eligibility does not change, but tickets expire.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepEligibility {
    /// Newest ticket of each eligible executor.
    pub(crate) tickets: BTreeMap<ExecutorIndex, Ticket>,
    /// Executors that may not run the step.
    pub(crate) ineligible: BTreeSet<ExecutorIndex>,
    /// Whether a request is in flight.
    pub(crate) in_flight: bool,
    /// Time before which no further request is sent.
    pub(crate) not_before: Millis,
    /// Since when a request waits for more free capacity, if it does.
    pub(crate) deferred_since: Option<Millis>,
}

/// State of one step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: TaskTable,
    /// Number of waiting tasks.
    pub(crate) waiting: u32,
    /// Number of tasks whose success is stored.
    pub(crate) done: u32,
    /// Number of tasks that have succeeded, stored or not.
    pub(crate) succeeded: u32,
    /// Whether all steps that it depends on have succeeded, stored or not.
    pub(crate) open: bool,
    /// Whether an earlier owner may have started tasks of it.
    pub(crate) inherited: bool,
    pub(crate) eligibility: StepEligibility,
    /// Number of starts of the whole gang in this epoch.
    pub(crate) gang_runs: u64,
    /// When a task of the step last became able to start.
    pub(crate) ready_since: Millis,
    /// Since when tasks wait for a place near their data, if any do.
    pub(crate) locality_wait_since: Option<Millis>,
    /// Mean of the logarithm of the work of the measured runs, which is the run time multiplied by the
    /// speed of the executor.
    pub(crate) mean_log_work: f64,
    /// Number of runs in the mean.
    pub(crate) measured: u32,
}

impl StepState {
    pub(crate) fn new(tasks: u32) -> Self {
        Self {
            tasks: TaskTable::new(tasks),
            waiting: tasks,
            done: 0,
            succeeded: 0,
            open: false,
            inherited: false,
            eligibility: StepEligibility::default(),
            gang_runs: 0,
            ready_since: Millis::new(0),
            locality_wait_since: None,
            mean_log_work: 0.0,
            measured: 0,
        }
    }

    /// Tells whether all tasks have succeeded, stored or not.
    pub(crate) fn all_tasks_done(&self) -> bool {
        self.is_count(self.succeeded)
    }

    /// Tells whether the success of all tasks is stored.
    pub(crate) fn is_finished(&self) -> bool {
        self.is_count(self.done)
    }

    fn is_count(&self, tasks: u32) -> bool {
        usize::try_from(tasks).is_ok_and(|tasks| tasks == self.tasks.len())
    }
}
