//! Runs that are stopped to make room for urgent work.

use magnolia_types::{Millis, ResourceVector};

use crate::cell::CellScheduler;
use crate::executor_state::RunPhase;
use crate::executors::ExecutorIndex;
use crate::placement::Candidate;
use crate::planning::{StepCandidates, suits};
use crate::{QueueRules, RunNumber, StepRef, StepSpec, TaskRef};

/// Time for which room that is being made is not asked for again.
const PREEMPTION_PAUSE: Millis = Millis::new(150);

impl CellScheduler {
    /// Tells whether executors with room are left to ask for, so that no run has to be stopped.
    pub(crate) fn may_find_room(
        &self,
        candidates: &StepCandidates,
        rules: &QueueRules,
        wanted: u32,
    ) -> bool {
        let room = |candidates: &[Candidate]| {
            candidates
                .iter()
                .map(|candidate| candidate.fitting_tasks.min(wanted))
                .sum::<u32>()
        };
        let expected = f64::from(room(&candidates.unknown)) * self.expected_eligible_share(rules);
        f64::from(room(&candidates.expired)) + expected >= f64::from(wanted)
    }

    /// Stops less urgent runs where the step is known to be eligible.
    pub(crate) fn preempt_runs(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        rules: &QueueRules,
        wanted: u32,
        now: Millis,
    ) {
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        let eligible: Vec<ExecutorIndex> = state.advice.tickets.keys().copied().collect();
        let mut missing = wanted;
        let mut victims = Vec::new();
        for executor_index in eligible {
            if missing == 0 {
                break;
            }
            let executor = self.executors.get(executor_index);
            if !executor.accepts_work(now) || !suits(executor, spec, rules) {
                continue;
            }
            let pending = self.preempted.get(&executor_index);
            if pending.is_some_and(|at| now.saturating_sub(*at) < PREEMPTION_PAUSE) {
                missing = missing.saturating_sub(1);
                continue;
            }
            let freed = executor.free().saturating_add(&executor.being_freed());
            let coming = self.fitting_tasks(executor, spec, rules, step, freed);
            if coming > 0 {
                missing = missing.saturating_sub(coming);
                continue;
            }
            let Some((task, run, freed)) = self.victim(executor_index, rules) else {
                continue;
            };
            let free = executor.free().saturating_add(&freed);
            let gained = self.fitting_tasks(executor, spec, rules, step, free);
            if gained > 0 {
                missing = missing.saturating_sub(gained);
                victims.push((executor_index, task, run));
            }
        }
        for (executor_index, task, run) in victims {
            log::info!(task:% = task, run:% = run, step:% = step; "run stopped for urgent work");
            self.preempted.insert(executor_index, now);
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Returns the run of an executor whose stop loses least, among less urgent ones.
    pub(crate) fn victim(
        &self,
        executor_index: ExecutorIndex,
        rules: &QueueRules,
    ) -> Option<(TaskRef, RunNumber, ResourceVector)> {
        let executor = self.executors.get(executor_index);
        let less_urgent = executor.runs.iter().filter_map(|((task, run), active)| {
            let job = self.jobs.get(&task.step.job)?;
            let spec = self.step_spec(task.step)?;
            let fixed = spec.lasting || spec.gang || spec.filler;
            let yields = job.rules.priority > rules.priority && !fixed;
            if !yields || active.phase != RunPhase::Running {
                return None;
            }
            // A saved run loses only what came after its checkpoint.
            let lost = if spec.checkpoints {
                0
            } else {
                u32::from(active.percent)
            };
            let key = (lost, u32::from(active.percent));
            Some((key, *task, *run, active.reserved))
        });
        less_urgent
            .min_by_key(|(key, ..)| *key)
            .map(|(_, task, run, freed)| (task, run, freed))
    }
}
