//! Which steps ask for eligibility, and which executors they name.

use magnolia_types::Millis;

use crate::advice_queue::AdviceRequest;
use crate::cell::{CellScheduler, ReadyKey};
use crate::executors::Slot;
use crate::placement::{RoomView, choose_named};
use crate::planning::{PREEMPTING_PRIORITY, StepOptions, room_view, suits};
use crate::{QueueRules, StepRef};

/// Most executors in one call for eligibility; the platform's bound. A second call costs the base
/// time again, which is that of some 70 executors.
const MOST_NAMED: usize = 100;
/// Fewest tasks that have to be expected to find room: a call that finds none is lost.
const MIN_EXPECTED_ROOM: f64 = 0.7;
/// Time that an urgent step leaves between two calls for eligibility, and a gang, whose members need
/// valid tickets at the same time.
const URGENT_ADVICE_INTERVAL: Millis = Millis::new(100);

impl CellScheduler {
    pub(crate) fn ask_eligibility(
        &mut self,
        key: ReadyKey,
        rules: &QueueRules,
        wanted: u32,
        mut options: StepOptions,
        gang: bool,
        now: Millis,
    ) {
        let step = key.step;
        let Some(cost) = rules.advice.clone() else {
            return;
        };
        let urgent = rules.priority == PREEMPTING_PRIORITY;
        let advice_interval = self.settings.advice_interval;
        let share = self.share(rules);
        if urgent && options.unknown.is_empty() && options.expired.is_empty() {
            options.unknown = self.preemptable_views(step, rules, now);
        }
        let Some(state) = self.step_state(step) else {
            return;
        };
        if state.advice.in_flight || now < state.advice.not_before {
            return;
        }
        let of_usable: u32 = options.usable.iter().map(|view| view.room).sum();
        // Known to be eligible: only their tickets have ended.
        let salt = step.job.get();
        let mut named = choose_named(&mut options.expired, wanted, 1.0, MOST_NAMED, salt);
        let of_expired: u32 = options.expired.iter().map(|view| view.room).sum();
        let held = of_expired + if gang { of_usable } else { 0 };
        let missing = wanted.saturating_sub(held);
        if missing > 0 {
            let limit = MOST_NAMED - named.len();
            named.extend(choose_named(
                &mut options.unknown,
                missing,
                share,
                limit,
                salt,
            ));
        }
        let of_unknown: u32 = options
            .unknown
            .iter()
            .map(|view| view.room.min(wanted))
            .sum();
        let expected = f64::from(held) + f64::from(of_unknown) * share;
        let needed = if gang {
            f64::from(wanted)
        } else if urgent {
            0.0
        } else {
            (f64::from(wanted) * self.settings.advice_room_share).max(MIN_EXPECTED_ROOM)
        };
        if named.is_empty() || expected < needed {
            self.advice.remove(step);
            return;
        }
        if let Some(state) = self.step_state(step) {
            let interval = if urgent || gang {
                URGENT_ADVICE_INTERVAL
            } else {
                advice_interval
            };
            state.advice.not_before = now.saturating_add(interval);
        }
        self.advice.remove(step);
        let expected = cost.call_time(named.len());
        let executors = named.iter().map(|slot| self.executor_id(*slot)).collect();
        self.advice.push(AdviceRequest {
            priority: key.priority,
            order: key.order,
            step,
            executors,
            expected,
        });
    }

    /// Returns executors where urgent work could make room.
    pub(crate) fn preemptable_views(
        &self,
        step: StepRef,
        rules: &QueueRules,
        now: Millis,
    ) -> Vec<RoomView> {
        let Some(spec) = self.step_spec(step) else {
            return Vec::new();
        };
        let Some(state) = self.step_at(step) else {
            return Vec::new();
        };
        let asked = |slot: &Slot| {
            state.advice.ineligible.contains(slot) || state.advice.tickets.contains_key(slot)
        };
        self.executors
            .iter()
            .filter(|(slot, executor)| {
                executor.takes_work(now) && suits(executor, spec, rules) && !asked(slot)
            })
            .filter_map(|(slot, executor)| {
                let (_, _, freed) = self.victim(slot, rules)?;
                let free = executor.free().saturating_add(&freed);
                let room = self.room(executor, spec, rules, step, free);
                (room > 0).then(|| room_view(slot, executor, spec, room, false))
            })
            .collect()
    }

    /// Returns the share of executors that is usually eligible for steps of a queue.
    pub(crate) fn share(&self, rules: &QueueRules) -> f64 {
        let known = self.eligible_share.get(&rules.name).copied();
        known.unwrap_or(Self::FIRST_ELIGIBLE_SHARE)
    }
}
