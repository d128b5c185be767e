//! Preemption: stops runs of lower priority to free capacity for urgent tasks.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::{Millis, ResourceVector};

use crate::cell::CellScheduler;
use crate::executor_state::RunPhase;
use crate::executors::ExecutorIndex;
use crate::placement::Candidate;
use crate::planning::{StepCandidates, is_suitable};
use crate::{QueueRules, RunNumber, StepRef, StepSpec, TaskRef};

/// Shortest time between two preemptions on an executor; in between, it counts as capacity for one
/// task.
const PREEMPTION_PAUSE: Millis = Millis::new(150);

impl CellScheduler {
    /// Tells whether executors that need only a ticket or an eligibility request are expected to
    /// have capacity for `wanted` tasks, so that no run has to be stopped.
    pub(crate) fn expects_enough_capacity(
        &self,
        candidates: &StepCandidates,
        rules: &QueueRules,
        wanted: u32,
    ) -> bool {
        let fitting = |candidates: &[Candidate]| {
            candidates
                .iter()
                .map(|candidate| candidate.fitting_tasks.min(wanted))
                .fold(0, u32::saturating_add)
        };
        let expected =
            f64::from(fitting(&candidates.unknown)) * self.expected_eligible_share(rules);
        f64::from(fitting(&candidates.expired)) + expected >= f64::from(wanted)
    }

    /// Stops runs of lower priority on executors that are known to be eligible for the step.
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
        let eligible: Vec<ExecutorIndex> = state.eligibility.tickets.keys().copied().collect();
        let mut missing = wanted;
        let mut victims = Vec::new();
        for executor_index in eligible {
            if missing == 0 {
                break;
            }
            let executor = self.executors.get(executor_index);
            if !executor.accepts_work(now) || !is_suitable(executor, spec, rules) {
                continue;
            }
            let pending = self.preempted.get(&executor_index);
            if pending.is_some_and(|at| now.saturating_sub(*at) < PREEMPTION_PAUSE) {
                missing = missing.saturating_sub(1);
                continue;
            }
            let freed = executor.free().saturating_add(&executor.being_freed(now));
            let freeing = self.fitting_tasks(executor, spec, rules, step, freed);
            if freeing > 0 {
                missing = missing.saturating_sub(freeing);
                continue;
            }
            let Some((task, run, freed)) = self.victim(executor_index, rules, false) else {
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
            log::info!(task:% = task, run:% = run, step:% = step; "preempting a run for an urgent step");
            self.preempted.insert(executor_index, now);
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Returns the run of lower priority on an executor whose stop loses the least work, with the
    /// resources that it frees.
    pub(crate) fn victim(
        &self,
        executor_index: ExecutorIndex,
        rules: &QueueRules,
        beyond_share: bool,
    ) -> Option<(TaskRef, RunNumber, ResourceVector)> {
        let executor = self.executors.get(executor_index);
        let less_urgent = executor.runs.iter().filter_map(|((task, run), active)| {
            let job = self.jobs.get(&task.step.job)?;
            let spec = self.step_spec(task.step)?;
            let protected = spec.lasting || spec.gang || spec.filler;
            let yields = job.rules.priority > rules.priority || (job.beyond_share && !beyond_share);
            let preemptible = yields && !protected;
            if !preemptible || active.phase != RunPhase::Running {
                return None;
            }
            // A task with checkpoints loses only the work since the last one.
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
