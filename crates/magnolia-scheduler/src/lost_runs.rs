//! Runs of lost executors. Their tasks start again only after ownership has been confirmed.
//!
//! An owner counts runs as lost when the lease that it granted has expired, or when a later life of
//! the executor has answered. A later owner may have renewed that lease and stored the ends of
//! the runs before, for example while this owner was paused. If the claim is still the newest one
//! after the loss, no later owner has had a part in these runs.

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executors::ExecutorIndex;
use crate::{RunNumber, TaskRef};

/// A lost run whose task still counts as placed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostRun {
    executor_index: ExecutorIndex,
    task: TaskRef,
    run: RunNumber,
    lost_at: Millis,
}

impl CellScheduler {
    /// Loses the runs of an executor that were certainly on its earlier life, because a report of that
    /// life listed them. The start of any other run may have been carried out by the new life.
    pub(crate) fn lose_listed_runs(&mut self, executor_index: ExecutorIndex, now: Millis) {
        let executor = self.executors.get(executor_index);
        let listed = executor.runs.iter().filter(|(_, active)| active.listed);
        let runs: Vec<_> = listed.map(|(key, _)| *key).collect();
        for (task, run) in runs {
            self.lose_run(executor_index, task, run, now);
        }
    }

    /// Releases the resources of a run that is lost, unless a later life of its executor may still
    /// begin it. Its task waits for [`confirm_ownership`](Self::confirm_ownership).
    pub(crate) fn lose_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        if self.keep_bound_run(executor_index, task, run, now) {
            return;
        }
        self.remove_run(executor_index, task, run, now);
        self.lost_runs.push(LostRun {
            executor_index,
            task,
            run,
            lost_at: now,
        });
    }

    /// Tells whether something waits for a confirmation of ownership.
    pub fn awaits_confirmation(&self) -> bool {
        let mut executors = self.executors.iter();
        let waits = executors.any(|(_, executor)| {
            executor.given_up_at.is_some() || executor.unconfirmed_life.is_some()
        });
        waits || self.unconfirmed_loss().is_some() || self.has_unexplained_fence()
    }

    /// Returns the time of the latest loss of runs whose tasks wait for a confirmation.
    pub fn unconfirmed_loss(&self) -> Option<Millis> {
        self.lost_runs.iter().map(|lost| lost.lost_at).max()
    }

    /// Records that ownership was confirmed by a call to the store that was sent at `sent_at`. The
    /// tasks of runs that were lost before may start again, and so may those that wait for executors
    /// given up before. Executors that knew a higher epoch before obey another cell. Lives of
    /// executors that were known before get tasks.
    pub fn confirm_ownership(&mut self, sent_at: Millis, now: Millis) {
        self.set_foreign_aside(sent_at);
        self.settle_given_up(sent_at);
        for (_, executor) in self.executors.iter_mut() {
            executor.unconfirmed_life.take_if(|at| *at < sent_at);
        }
        let confirmed = |lost: &mut LostRun| lost.lost_at < sent_at;
        let returned: Vec<LostRun> = self.lost_runs.extract_if(.., confirmed).collect();
        for lost in returned {
            self.return_task(lost.executor_index, lost.task, lost.run, now);
        }
    }

    /// Settles the executors that were given up before `sent_at`. A later owner may have renewed the
    /// lease of one that this owner can't reach.
    fn settle_given_up(&mut self, sent_at: Millis) {
        let mut settled = Vec::new();
        for (executor_index, executor) in self.executors.iter_mut() {
            if executor.given_up_at.is_none_or(|at| at >= sent_at) {
                continue;
            }
            executor.given_up_at = None;
            // The runs whose ends were not acknowledged before the lease expired start again.
            executor.may_have_unlisted_ends = false;
            if !executor.settled {
                executor.settled = true;
                executor.last_answer_at = None;
                log::warn!(executor:% = executor.entry.id, reason = executor.settles_because;
                    "executor did not answer this owner; leases of earlier owners have expired there");
            }
            settled.push(executor_index);
        }
        settled
            .into_iter()
            .for_each(|executor_index| self.retire_executor(executor_index));
    }

    /// Returns the task of a run that was counted as lost and is reported again, so that the run
    /// can be taken over.
    pub(crate) fn revoke_loss(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let reported = |lost: &mut LostRun| {
            (lost.executor_index, lost.task, lost.run) == (executor_index, task, run)
        };
        if self.lost_runs.extract_if(.., reported).count() > 0 {
            self.return_task(executor_index, task, run, now);
        }
    }
}
