//! State of a step and its tasks.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::Millis;

use crate::executors::ExecutorIndex;
use crate::{ExecutorLife, RunNumber};

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum TaskPhase {
    /// Wants to start.
    Waiting,
    /// Holds room of an executor.
    Placed(ExecutorIndex, RunNumber),
    /// Ended well; not stored yet.
    DoneUnstored,
    /// Ended well; stored.
    Done,
}

/// One task.
#[derive(Clone, Debug)]
pub(crate) struct TaskState {
    pub(crate) phase: TaskPhase,
    /// Starts in this epoch.
    pub(crate) runs: u64,
    /// Runs that failed, by number.
    pub(crate) failed: BTreeSet<u64>,
    pub(crate) saved: Option<Arc<str>>,
    pub(crate) not_before: Millis,
    /// Executor of the last failed or lost run.
    pub(crate) avoid: Option<ExecutorIndex>,
}

impl TaskState {
    fn new() -> Self {
        Self {
            phase: TaskPhase::Waiting,
            runs: 0,
            failed: BTreeSet::new(),
            saved: None,
            not_before: Millis::new(0),
            avoid: None,
        }
    }
}

/// Proof that an executor may run a step.
#[derive(Clone, Debug)]
pub(crate) struct Ticket {
    pub(crate) text: Arc<str>,
    pub(crate) life: ExecutorLife,
    pub(crate) valid_until: Millis,
}

/// What is known of the executors that may run a step; eligibility does not change, tickets end.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepAdvice {
    pub(crate) tickets: BTreeMap<ExecutorIndex, Ticket>,
    pub(crate) ineligible: BTreeSet<ExecutorIndex>,
    pub(crate) in_flight: bool,
    pub(crate) not_before: Millis,
}

/// One step of one occurrence.
#[derive(Clone, Debug)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<TaskState>,
    pub(crate) waiting: u32,
    /// Tasks done and stored.
    pub(crate) done: u32,
    /// Whether all earlier steps are done and stored.
    pub(crate) open: bool,
    /// Whether an earlier owner may have started tasks of it that this one has not seen.
    pub(crate) inherited: bool,
    pub(crate) advice: StepAdvice,
    /// Starts of the whole gang in this epoch.
    pub(crate) gang_runs: u64,
    /// When a task of the step last became able to start.
    pub(crate) ready_since: Millis,
    /// Mean work of the tasks that ended well: time by the speed of the executor.
    pub(crate) mean_work: f64,
    /// Tasks in the mean.
    pub(crate) measured: u32,
}

impl StepState {
    pub(crate) fn new(tasks: u32) -> Self {
        Self {
            tasks: (0..tasks).map(|_| TaskState::new()).collect(),
            waiting: tasks,
            done: 0,
            open: false,
            inherited: false,
            advice: StepAdvice::default(),
            gang_runs: 0,
            ready_since: Millis::new(0),
            mean_work: 0.0,
            measured: 0,
        }
    }

    /// Tells whether all tasks ended well, stored or not.
    pub(crate) fn all_tasks_done(&self) -> bool {
        self.tasks
            .iter()
            .all(|task| matches!(task.phase, TaskPhase::Done | TaskPhase::DoneUnstored))
    }
}
