//! Moves long-running tasks off executors that are about to leave.
//!
//! Everything that runs on an executor ends when it leaves, and its tasks would start elsewhere only
//! after its lease has expired. A stop while the executor still answers takes two round trips.

use std::collections::BTreeSet;

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executor_state::RunPhase;
use crate::executors::{ExecutorIndex, ExecutorStatus};
use crate::{RunNumber, StepRef, TaskRef};

impl CellScheduler {
    /// Stops one long-running task of each step on draining executors, if another executor has free
    /// capacity for it. The others follow in later calls, so that few tasks of a step are away at the
    /// same time.
    pub(crate) fn evacuate_draining(&mut self, now: Millis) {
        let mut steps = BTreeSet::new();
        let stops: Vec<_> = self
            .lasting_runs_on_draining(now)
            .into_iter()
            .filter(|(_, task, _)| steps.insert(task.step))
            .filter(|(_, task, _)| self.has_free_capacity(task.step, now))
            .collect();
        for (executor_index, task, run) in stops {
            let id = self.executor_id(executor_index);
            log::info!(executor:% = id, task:% = task, run:% = run;
                "moving a long-running task off an executor that leaves");
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Returns the long-running tasks on draining executors that answer. Members of gangs stay: they
    /// could move only together.
    fn lasting_runs_on_draining(&self, now: Millis) -> Vec<(ExecutorIndex, TaskRef, RunNumber)> {
        let mut found = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            if executor.entry.status != ExecutorStatus::Draining || !executor.is_responsive(now) {
                continue;
            }
            let running = executor.runs.iter().filter(|((task, _), active)| {
                let spec = self.step_spec(task.step);
                let movable = spec.is_some_and(|spec| spec.lasting && !spec.gang);
                movable && active.phase == RunPhase::Running
            });
            found.extend(running.map(|((task, run), _)| (executor_index, *task, *run)));
        }
        found
    }

    /// Tells whether an executor that may run the step has free capacity for a task of it.
    fn has_free_capacity(&self, step: StepRef, now: Millis) -> bool {
        let Some((spec, rules, state)) = self.step_needs(step) else {
            return false;
        };
        let candidates = self.candidates(spec, rules, state, step, now);
        let groups = [candidates.usable, candidates.unknown, candidates.expired];
        groups.iter().any(|group| !group.is_empty())
    }
}
