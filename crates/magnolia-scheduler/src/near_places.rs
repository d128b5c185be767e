//! Steps whose data is on a rack: whether their tasks wait for a place there.

use std::collections::HashMap;
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::cell::CellScheduler;
use crate::executor_state::ExecutorState;
use crate::executors::{ExecutorIndex, ExecutorStatus};
use crate::planning::StepCandidates;
use crate::{QueueRules, StepRef, StepSpec, WaitDecision, WaitLoad, decide_locality_wait};

/// Processors that steps earlier in a planning pass wait for, by rack, in thousandths.
#[derive(Debug, Default)]
pub(crate) struct RackClaims {
    wanted: HashMap<Arc<str>, u64>,
}

impl CellScheduler {
    /// Returns the number of racks whose turnover is metered.
    pub fn metered_racks(&self) -> usize {
        self.turnovers.len()
    }

    /// Records that a run has left room on the racks that hold data of steps.
    pub(crate) fn record_turnover(
        &mut self,
        executor_index: ExecutorIndex,
        freed: &ResourceVector,
        now: Millis,
    ) {
        if self.turnovers.is_empty() {
            return;
        }
        for label in &self.executors.get(executor_index).entry.labels {
            if let Some(meter) = self.turnovers.get_mut(label) {
                meter.record(freed.cpu_millis.get(), now);
            }
        }
    }

    /// Leaves out the places away from the data of a step if its tasks wait for places near it; returns
    /// whether they do.
    ///
    /// Those that find no place wait together or start elsewhere together, as the last one decides.
    pub(crate) fn keep_near_places(
        &mut self,
        step: StepRef,
        spec: &StepSpec,
        rules: &QueueRules,
        candidates: &mut StepCandidates,
        claims: &mut RackClaims,
        now: Millis,
    ) -> bool {
        let Some(rack) = spec.data_rack.clone() else {
            return false;
        };
        // Callers may name any text as a rack; only those of executors are metered.
        let has_rack = |executor: &ExecutorState| executor.entry.labels.contains(&rack);
        let is_known = self
            .executors
            .iter()
            .any(|(_, executor)| has_rack(executor));
        if self.settings.far_permille <= 1000 || !is_known {
            return false;
        }
        self.turnovers.entry(Arc::clone(&rack)).or_default();
        let near_room: u32 = candidates
            .usable
            .iter()
            .filter(|candidate| candidate.near_data)
            .map(|candidate| candidate.fitting_tasks)
            .fold(0, u32::saturating_add);
        let Some(state) = self.step_state(step) else {
            return false;
        };
        let left = state.waiting.saturating_sub(near_room);
        let wanted = spec.need.cpu_millis.get().saturating_mul(u64::from(left));
        let ahead = claims.wanted.get(&rack).copied().unwrap_or(0);
        let since = state.locality_wait_since.unwrap_or(now);
        let load = WaitLoad {
            near_run: spec.estimate,
            far_permille: self.settings.far_permille,
            turnover_millis: self.turnover_near(&rack, now),
            wanted_millis: ahead.saturating_add(wanted),
            waited: now.saturating_sub(since),
            // Each step has its part of the objective.
            slack: rules
                .objective(spec.estimate)
                .saturating_sub(spec.estimate)
                .saturating_sub(now.saturating_sub(state.ready_since)),
        };
        // A step ends with its last task: the others gain nothing by waiting if that runs elsewhere.
        let decision = decide_locality_wait(&load);
        let waits = left > 0 && matches!(decision, WaitDecision::Wait(_));
        if waits {
            candidates.usable.retain(|candidate| candidate.near_data);
            candidates.unknown.retain(|candidate| candidate.near_data);
            candidates.expired.retain(|candidate| candidate.near_data);
            let claim = claims.wanted.entry(Arc::clone(&rack)).or_default();
            *claim = claim.saturating_add(wanted);
        }
        let Some(state) = self.step_state_mut(step) else {
            return false;
        };
        let began = waits && state.locality_wait_since.is_none();
        // A task that has given up does not begin to wait again.
        if waits {
            state.locality_wait_since.get_or_insert(now);
        }
        if began {
            log::info!(step:% = step, rack = &*rack, tasks = left, load:? = load, decision:? = decision;
                "tasks wait for a place near their data");
        }
        waits
    }

    /// Returns the processors that become free on the executors of a rack, in thousandths a second;
    /// none if no executor there can get further tasks.
    fn turnover_near(&self, rack: &Arc<str>, now: Millis) -> u64 {
        let able = |executor: &ExecutorState| {
            let ready = executor.listed && executor.entry.status == ExecutorStatus::Ready;
            ready && executor.entry.labels.contains(rack) && executor.accepts_work(now)
        };
        if !self.executors.iter().any(|(_, executor)| able(executor)) {
            return 0;
        }
        self.turnovers.get(rack).map_or(0, |meter| meter.rate(now))
    }
}
