//! Detection of hung runs.
//!
//! On some executors, runs stop making progress or never begin. Executors report once a second, and
//! urgent tasks take no longer than that; a run without progress in its first report can therefore
//! count as hung already.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

use crate::TaskRef;
use crate::cell::CellScheduler;
use crate::executor_state::RunPhase;

/// Part of the estimated run time, in percent, after which a run must show progress. Progress is
/// reported in whole percent, and a slow executor, data on another rack and a rough estimate can
/// make a run several times as long.
const FIRST_PROGRESS_PERCENT: u64 = 16;
/// Estimated run time, as a multiple of the time without progress after which a run counts as hung,
/// from which runs are not watched: whole percents of a longer run take longer than that time.
const MAX_ESTIMATE_FACTOR: u64 = 50;
/// Shortest time after which a run must show progress; several round trips.
const MIN_FIRST_PROGRESS_LIMIT: Millis = Millis::new(400);

impl CellScheduler {
    /// Stops runs without progress, so that their tasks start on other executors.
    pub(crate) fn stop_hung_runs(&mut self, now: Millis) {
        let limit = self.settings.hang_limit;
        let mut hung = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            // A run that is not reported any more may have ended.
            if executor.may_have_unlisted_ends {
                continue;
            }
            for ((task, run), active) in &executor.runs {
                let watched = active.phase == RunPhase::Running && active.pace == 100;
                let Some(confirmed_at) = active.confirmed_at.filter(|_| watched) else {
                    continue;
                };
                let stalled = now.saturating_sub(active.progress_at) > limit;
                let never_began = active.percent == 0
                    && confirmed_at.saturating_sub(active.progress_at)
                        >= self.first_progress_limit(*task);
                if confirmed_at > active.progress_at && (stalled || never_began) {
                    hung.push((executor_index, *task, *run, active.percent));
                }
            }
        }
        for (executor_index, task, run, percent) in hung {
            let Some(spec) = self.step_spec(task.step) else {
                continue;
            };
            // A long-running task that works stays at 100%; filler tasks and members of gangs may
            // wait for others.
            let working = spec.lasting && percent >= 100;
            if working || spec.filler || spec.gang || spec.lasting {
                continue;
            }
            let too_long = spec.estimate.get() > limit.get().saturating_mul(MAX_ESTIMATE_FACTOR);
            if too_long {
                continue;
            }
            let id = self.executor_id(executor_index);
            log::info!(executor:% = id, task:% = task, run:% = run, percent = percent;
                "stopping a hung run; its task starts elsewhere");
            self.executors.get_mut(executor_index).health.set_aside(now);
            if let Some(entry) = self.task_state_mut(task) {
                entry.avoid = Some(executor_index);
            }
            self.order_stop(executor_index, task, run, now);
        }
    }

    /// Returns the time within which a run has to show its first progress. With the general limit,
    /// a hung task that takes about one reporting interval would be detected only after its
    /// objective.
    fn first_progress_limit(&self, task: TaskRef) -> Millis {
        let limit = self.settings.hang_limit;
        let Some(spec) = self.step_spec(task.step) else {
            return limit;
        };
        let resumed = self
            .task_state(task)
            .is_some_and(|task| task.checkpoint.is_some());
        if resumed {
            return limit;
        }
        let first_progress = spec.estimate.get().saturating_mul(FIRST_PROGRESS_PERCENT) / 100;
        Millis::new(first_progress).clamp(MIN_FIRST_PROGRESS_LIMIT, limit)
    }
}
