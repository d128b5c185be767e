//! Explanation of a job's state for operators: its progress and what its waiting tasks wait for.

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executors::ExecutorIndex;
use crate::planning::is_suitable;
use crate::step::{StepState, TaskPhase};
use crate::{JobKey, StepRef, StepSpec};

impl CellScheduler {
    /// Returns lines that explain the state of a job; `None` if it is not known.
    pub fn explain(&self, key: JobKey, now: Millis, now_unix_ms: u64) -> Option<Vec<String>> {
        let job = self.jobs.get(&key)?;
        let queue = job.queue();
        if let Some((status, at)) = job.ended {
            let ago = Millis::new(now_unix_ms.saturating_sub(at));
            let line = format!("job {key} of queue {queue} ended {ago} ago: {status:?}");
            return Some(vec![line]);
        }
        let age = Millis::new(now_unix_ms.saturating_sub(job.accepted_unix_ms));
        let mut lines = vec![format!(
            "job {key} of queue {queue}, priority {}, accepted {age} ago: {:?}",
            job.rules.priority,
            job.status()
        )];
        if let Some(account) = &job.account {
            lines.push(self.account_line(&account.name));
        }
        if !job.stored {
            lines.push("its acceptance is not stored yet; nothing starts before that".into());
        }
        if let Some(ending) = job.ending {
            lines.push(format!(
                "it is decided as {ending:?}; the outcome is not stored yet"
            ));
        }
        let Some(spec) = &job.spec else {
            return Some(lines);
        };
        for (occurrence, state) in (0u32..).zip(&job.occurrences) {
            if state.is_finished() {
                lines.push(format!("occurrence {occurrence}: all tasks done"));
            }
            for ((step, state), spec) in (0u16..).zip(&state.steps).zip(&spec.steps) {
                let step = StepRef {
                    job: key,
                    occurrence,
                    step,
                };
                lines.push(step_line(step, state));
                if state.open && state.waiting > 0 && job.stored && job.ending.is_none() {
                    lines.push(self.waiting_line(step, state, spec, now));
                }
            }
        }
        Some(lines)
    }

    /// Returns a line that says what the waiting tasks of a step wait for.
    fn waiting_line(
        &self,
        step: StepRef,
        state: &StepState,
        spec: &StepSpec,
        now: Millis,
    ) -> String {
        let Some(job) = self.jobs.get(&step.job) else {
            return String::new();
        };
        let rules = self.rules_in_force(job);
        let suitable: Vec<ExecutorIndex> = self
            .executors
            .iter()
            .filter(|(_, executor)| {
                executor.accepts_work(now) && is_suitable(executor, spec, rules)
            })
            .map(|(executor_index, _)| executor_index)
            .collect();
        let fits = |executor_index: &&ExecutorIndex| {
            let executor = self.executors.get(**executor_index);
            self.fitting_tasks(executor, spec, rules, step, executor.free()) > 0
        };
        let with_capacity: Vec<&ExecutorIndex> = suitable.iter().filter(fits).collect();
        let eligible = with_capacity
            .iter()
            .filter(|executor_index| state.eligibility.tickets.contains_key(executor_index));
        let ahead = self
            .ready
            .iter()
            .filter(|key| key.priority == job.rules.priority)
            .position(|key| key.step == step);
        let mut parts = vec![
            format!("executors that suit: {}", suitable.len()),
            format!("with room: {}", with_capacity.len()),
        ];
        if rules.advice.is_some() {
            parts.push(format!("of these known as eligible: {}", eligible.count()));
            parts.push(format!(
                "known as not eligible: {}",
                state.eligibility.ineligible.len()
            ));
            parts.push(if state.eligibility.in_flight {
                "a call for eligibility is under way".into()
            } else {
                "no call for eligibility is under way".into()
            });
            if let Some(since) = state.eligibility.deferred_since {
                let waited = now.saturating_sub(since);
                parts.push(format!("the next call waits for more room, since {waited}"));
            }
        }
        if self.unplaceable.contains(step) {
            parts.push("no executor could run them even if nothing else ran there".into());
        }
        if let Some(ahead) = ahead {
            parts.push(format!("steps of the same priority ahead: {ahead}"));
        }
        if let Some(account) = self.account_at_cap(step, now) {
            parts.push(format!("client account {account} is at its limit"));
        }
        if let Some(since) = state.locality_wait_since {
            let waited = now.saturating_sub(since);
            parts.push(format!(
                "they wait for a place near their data, since {waited}"
            ));
        }
        if job.beyond_share {
            parts.push("the job is beyond the share of its client account".into());
        }
        if self.is_blocked(step) {
            parts.push("an executor that may run it has not answered this owner yet".into());
        }
        format!("  its tasks wait; {}", parts.join("; "))
    }
}

fn step_line(step: StepRef, state: &StepState) -> String {
    let count = |wanted: fn(&TaskPhase) -> bool| {
        let tasks = state.tasks.iter().map(|(_, task)| &task.phase);
        tasks.filter(|phase| wanted(phase)).count()
    };
    let done = count(|phase| matches!(phase, TaskPhase::Done | TaskPhase::DoneUnstored));
    let placed = count(|phase| matches!(phase, TaskPhase::Placed(..)));
    let waiting = count(|phase| matches!(phase, TaskPhase::Waiting));
    let failed: usize = state
        .tasks
        .touched()
        .map(|(_, task)| task.failed.len())
        .sum();
    let gate = if state.open {
        ""
    } else {
        "; an earlier step is not done"
    };
    format!(
        "step {step}: {} tasks: {done} done, {placed} running, {waiting} waiting; \
         {failed} failed runs{gate}",
        state.tasks.len()
    )
}
