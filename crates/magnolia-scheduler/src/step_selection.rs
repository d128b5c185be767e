//! Selection of the steps that a planning pass considers.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_types::Millis;

use crate::cell::{CellScheduler, ReadyKey};
use crate::executors::ExecutorIndex;
use crate::job::JobState;
use crate::need_classes::NeedClass;
use crate::planning::{PREEMPTING_PRIORITY, is_startable, is_suitable};
use crate::takeover::TakeoverBlock;
use crate::{AccountName, JobKey, StepRef};

/// Most steps of one priority and class of needs that a planning pass considers. Steps behind them
/// wait for the same capacity.
const STEPS_PER_PASS: usize = 48;

/// Steps of an account that a planning pass looks at after they were found to wait for its limit, for
/// urgent and other steps each. Thousands of them may wait, and looking at all of them takes longer than
/// the interval between two passes.
const LIMITED_STEPS_PER_PASS: usize = 4;

/// Numbers of steps of an account that wait for its limit.
#[derive(Clone, Copy, Debug, Default)]
struct LimitedSteps {
    urgent: usize,
    other: usize,
}

impl LimitedSteps {
    /// Returns the number that counts steps like this one.
    fn of(&mut self, key: &ReadyKey) -> &mut usize {
        if key.priority == PREEMPTING_PRIORITY {
            &mut self.urgent
        } else {
            &mut self.other
        }
    }
}

/// Ready steps that no executor could run even if it were idle, as of the last planning pass: none
/// has their label, is large enough, is eligible, or accepts work at all.
#[derive(Debug, Default)]
pub(crate) struct UnplaceableSteps {
    steps: BTreeSet<StepRef>,
    /// Executors that accepted work when the steps were found.
    accepting: Vec<ExecutorIndex>,
}

impl UnplaceableSteps {
    /// Tells whether a step was found to be unplaceable.
    pub(crate) fn contains(&self, step: StepRef) -> bool {
        self.steps.contains(&step)
    }

    /// Forgets what was found about a step whose tasks or eligibility have changed.
    pub(crate) fn remove(&mut self, step: StepRef) {
        self.steps.remove(&step);
    }

    /// Forgets all steps after a change of executors or rules.
    pub(crate) fn clear(&mut self) {
        self.steps.clear();
    }

    /// Returns, for each step of an occurrence of a job, whether it can't proceed: it is unplaceable
    /// or depends on such a step. While no executor accepts work, nothing is known about steps.
    pub(crate) fn stuck_steps(&self, key: JobKey, occurrence: u32, job: &JobState) -> Vec<bool> {
        let steps = job.spec.as_ref().map_or(&[][..], |spec| &spec.steps);
        if self.steps.is_empty() || self.accepting.is_empty() {
            return vec![false; steps.len()];
        }
        let mut stuck: Vec<bool> = Vec::with_capacity(steps.len());
        for (number, spec) in (0u16..).zip(steps) {
            let step = StepRef {
                job: key,
                occurrence,
                step: number,
            };
            let unplaceable = self.steps.contains(&step);
            let waits_for = |after: &u16| stuck.get(usize::from(*after)).is_some_and(|s| *s);
            stuck.push(unplaceable || spec.after.iter().any(waits_for));
        }
        stuck
    }
}

impl CellScheduler {
    /// Returns the steps to plan, in order. Steps of which no task can start, whatever capacity
    /// becomes free, don't count against [`STEPS_PER_PASS`]: there may be any number of them, for any
    /// time, and the steps behind them must not wait for them.
    pub(crate) fn steps_to_plan(&mut self, block: &TakeoverBlock, now: Millis) -> Vec<ReadyKey> {
        let accepting: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.accepts_work(now))
            .map(|(executor_index, _)| executor_index)
            .collect();
        if accepting != self.unplaceable.accepting {
            self.unplaceable.clear();
            self.unplaceable.accepting = accepting;
        }
        let mut considered: BTreeMap<(u32, NeedClass), usize> = BTreeMap::new();
        let mut keys = Vec::new();
        let mut found = Vec::new();
        let mut limited: BTreeMap<AccountName, LimitedSteps> = BTreeMap::new();
        for key in &self.ready {
            let count = considered.entry((key.priority, key.class)).or_default();
            let blocked = block.all && self.is_inherited(key.step);
            if blocked || *count >= STEPS_PER_PASS || self.unplaceable.steps.contains(&key.step) {
                continue;
            }
            if self.is_skipped(key, &limited) {
                continue;
            }
            if !self.has_startable_task(key.step, now) {
                continue;
            }
            // The steps behind it must not wait for the limit of its account.
            if let Some(account) = self.account_at_cap(key.step, now) {
                let waiting = limited.entry(account).or_default();
                *waiting.of(key) += 1;
                continue;
            }
            if self.fits_idle_executors(key.step) {
                *count += 1;
                keys.push(*key);
            } else {
                found.push(key.step);
            }
        }
        self.unplaceable.steps.extend(found);
        let limited = limited.into_keys().collect();
        self.accounts.record_limited(&limited, now);
        keys
    }

    /// Tells whether enough steps of the account of a step wait for its limit in this pass.
    fn is_skipped(&self, key: &ReadyKey, limited: &BTreeMap<AccountName, LimitedSteps>) -> bool {
        let job = self.jobs.get(&key.step.job);
        let account = job.and_then(|job| job.account.as_ref());
        let known = account.and_then(|account| limited.get(&account.name).copied());
        known.is_some_and(|mut known| *known.of(key) >= LIMITED_STEPS_PER_PASS)
    }

    fn has_startable_task(&self, step: StepRef, now: Millis) -> bool {
        self.step_state(step).is_some_and(|state| {
            state.waiting > 0 && state.tasks.iter().any(|(_, task)| is_startable(task, now))
        })
    }

    /// Tells whether the executors that accept work could start a task of the step, or the whole gang,
    /// if nothing else ran there.
    fn fits_idle_executors(&self, step: StepRef) -> bool {
        let Some((spec, rules, state)) = self.step_needs(step) else {
            return false;
        };
        let wanted = if spec.gang { state.tasks.len() } else { 1 };
        let mut fitting = 0usize;
        for executor_index in &self.unplaceable.accepting {
            let executor = self.executors.get(*executor_index);
            let ineligible = state.eligibility.ineligible.contains(executor_index);
            if ineligible || !is_suitable(executor, spec, rules) {
                continue;
            }
            let here = self.fitting_when_idle(executor, spec, rules);
            fitting = fitting.saturating_add(usize::try_from(here).unwrap_or(usize::MAX));
            if fitting >= wanted {
                return true;
            }
        }
        false
    }
}
