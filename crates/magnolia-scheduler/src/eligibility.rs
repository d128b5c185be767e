//! Eligibility requests: which steps need them and which executors they name.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

use crate::cell::{CellScheduler, ReadyKey};
use crate::eligibility_queue::QueuedEligibilityRequest;
use crate::executors::ExecutorIndex;
use crate::placement::{Candidate, choose_executors_to_ask};
use crate::planning::{
    PREEMPTING_PRIORITY, StepCandidates, is_suitable, new_candidate, placement_aim,
};
use crate::{QueueRules, StepRef};

/// Most executors in one eligibility request; a limit of the platform. A second one costs the base
/// time again, which equals the time of some 70 executors.
const MAX_EXECUTORS_PER_REQUEST: usize = 100;
/// Fewest tasks that a request has to be expected to place: one that places none is wasted.
const MIN_EXPECTED_TASKS: f64 = 0.7;
/// Longest time for which a request that is expected to place few tasks waits for more free capacity.
/// The platform asks that a job with free capacity begins within three seconds, of which the request
/// and the start take the rest.
const MAX_DEFERRAL: Millis = Millis::new(1000);
/// Shortest time between two eligibility requests of an urgent step or of a gang, whose members
/// need valid tickets at the same time.
const URGENT_ELIGIBILITY_INTERVAL: Millis = Millis::new(100);

impl CellScheduler {
    /// Queues an eligibility request for a step, in place of its waiting one, if enough tasks can
    /// be expected to start after it, or it was deferred for [`MAX_DEFERRAL`] because there were too
    /// few; otherwise removes the waiting one.
    ///
    /// Makes no change while a request is in flight or the last one is too recent. If no executor
    /// with free capacity is left to ask about, the request of an urgent step names those on which
    /// a preemption would make it fit.
    pub(crate) fn request_eligibility(
        &mut self,
        key: ReadyKey,
        rules: &QueueRules,
        wanted: u32,
        mut candidates: StepCandidates,
        gang: bool,
        now: Millis,
    ) {
        let step = key.step;
        let Some(cost) = rules.advice.clone() else {
            return;
        };
        let urgent = rules.priority == PREEMPTING_PRIORITY && !key.beyond_share;
        let eligibility_interval = self.settings.eligibility_interval;
        let share = self.expected_eligible_share(rules);
        if urgent && candidates.unknown.is_empty() && candidates.expired.is_empty() {
            candidates.unknown = self.preemption_candidates(step, rules, now);
        }
        let aim = match self.step_spec(step) {
            Some(spec) => placement_aim(spec, rules),
            None => return,
        };
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        if state.eligibility.in_flight || now < state.eligibility.not_before {
            return;
        }
        let of_usable: u32 = candidates
            .usable
            .iter()
            .map(|candidate| candidate.fitting_tasks)
            .fold(0, u32::saturating_add);
        let salt = step.job.get();
        // A share of 1: these executors are known to be eligible and only need a new ticket.
        let mut named = choose_executors_to_ask(
            &mut candidates.expired,
            wanted,
            1.0,
            MAX_EXECUTORS_PER_REQUEST,
            salt,
            aim,
        );
        let of_expired: u32 = candidates
            .expired
            .iter()
            .map(|candidate| candidate.fitting_tasks)
            .fold(0, u32::saturating_add);
        let known_capacity = of_expired.saturating_add(if gang { of_usable } else { 0 });
        let missing = wanted.saturating_sub(known_capacity);
        if missing > 0 {
            let limit = MAX_EXECUTORS_PER_REQUEST.saturating_sub(named.len());
            named.extend(choose_executors_to_ask(
                &mut candidates.unknown,
                missing,
                share,
                limit,
                salt,
                aim,
            ));
        }
        let of_unknown: u32 = candidates
            .unknown
            .iter()
            .map(|candidate| candidate.fitting_tasks.min(wanted))
            .fold(0, u32::saturating_add);
        // A gang that can't start even if all of them are eligible gains nothing by a request.
        let possible_tasks = known_capacity.saturating_add(of_unknown);
        if named.is_empty() || (gang && !urgent && possible_tasks < wanted) {
            self.withdraw_eligibility_request(step);
            return;
        }
        let expected_tasks = f64::from(known_capacity) + f64::from(of_unknown) * share;
        // If every executor that may be eligible has free capacity, waiting makes no later request
        // more useful, however few of the queue's steps were eligible before.
        let all_free = candidates.full == 0;
        let needed_tasks = if urgent || all_free {
            0.0
        } else if gang {
            f64::from(wanted)
        } else {
            (f64::from(wanted) * self.settings.eligibility_fit_share).max(MIN_EXPECTED_TASKS)
        };
        if expected_tasks < needed_tasks && self.defers_request(step, now) {
            self.eligibility_queue.remove(step);
            return;
        }
        if let Some(state) = self.step_state_mut(step) {
            let interval = if urgent || gang {
                URGENT_ELIGIBILITY_INTERVAL
            } else {
                eligibility_interval
            };
            state.eligibility.not_before = now.saturating_add(interval);
        }
        self.eligibility_queue.remove(step);
        let expected_duration = cost.request_time(named.len());
        let executors = named
            .iter()
            .map(|executor_index| self.executor_id(*executor_index))
            .collect();
        self.eligibility_queue.push(QueuedEligibilityRequest {
            beyond_share: key.beyond_share,
            priority: key.priority,
            order_unix_ms: key.order_unix_ms,
            step,
            executors,
            expected_duration,
        });
    }

    /// Removes the waiting request of a step that gains nothing by one now.
    pub(crate) fn withdraw_eligibility_request(&mut self, step: StepRef) {
        self.eligibility_queue.remove(step);
        if let Some(state) = self.step_state_mut(step) {
            state.eligibility.deferred_since = None;
        }
    }

    /// Tells whether a request that is expected to place few tasks still waits for more free capacity,
    /// which may never come.
    fn defers_request(&mut self, step: StepRef, now: Millis) -> bool {
        let Some(state) = self.step_state_mut(step) else {
            return false;
        };
        let since = *state.eligibility.deferred_since.get_or_insert(now);
        now.saturating_sub(since) < MAX_DEFERRAL
    }

    /// Returns the executors on which the step would fit after the preemption of one run, leaving
    /// out those whose eligibility is known.
    pub(crate) fn preemption_candidates(
        &self,
        step: StepRef,
        rules: &QueueRules,
        now: Millis,
    ) -> Vec<Candidate> {
        let Some(spec) = self.step_spec(step) else {
            return Vec::new();
        };
        let Some(state) = self.step_state(step) else {
            return Vec::new();
        };
        let is_known = |executor_index: &ExecutorIndex| {
            state.eligibility.ineligible.contains(executor_index)
                || state.eligibility.tickets.contains_key(executor_index)
        };
        self.executors
            .iter()
            .filter(|(executor_index, executor)| {
                executor.accepts_work(now)
                    && is_suitable(executor, spec, rules)
                    && !is_known(executor_index)
            })
            .filter_map(|(executor_index, executor)| {
                let (_, _, freed) = self.victim(executor_index, rules, false)?;
                let free = executor.free().saturating_add(&freed);
                let fitting = self.fitting_tasks(executor, spec, rules, step, free);
                (fitting > 0).then(|| new_candidate(executor_index, executor, spec, fitting, false))
            })
            .collect()
    }

    /// Returns the share of named executors that is expected to be eligible for steps of a queue.
    pub(crate) fn expected_eligible_share(&self, rules: &QueueRules) -> f64 {
        let known = self.eligible_share.get(&rules.name).copied();
        known.unwrap_or(Self::INITIAL_ELIGIBLE_SHARE)
    }
}
