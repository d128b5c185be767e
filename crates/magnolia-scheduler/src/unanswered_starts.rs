//! Starts that got no answer.
//!
//! An executor may carry out such a start up to [`late_order_limit`] after it was sent, and so may a
//! later life of it: calls name the executor, not its life. A stop that the present life confirms
//! does not bind the next one. Only a ticket is valid for one life. Without one, the run keeps its
//! task, and the same start is sent to the same executor again, so that there is no second run beside
//! which the late one could be carried out. Once a later life has answered a call with its own
//! [`FenceToken`], it rejects starts that were meant for an earlier one.
//!
//! [`late_order_limit`]: crate::SchedulerSettings::late_order_limit

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

use crate::cell::CellScheduler;
use crate::executor_state::{ActiveRun, ExecutorState, RunPhase, stretch_lease};
use crate::executors::{ExecutorIndex, ExecutorStatus};
use crate::{FenceToken, RunNumber, StartOrder, TaskRef};

/// Pause before a start is repeated after the executor rejected it.
const REPEAT_PAUSE: Millis = Millis::new(400);
/// Most starts in the record of an executor, which have to fit beside the list of its tasks.
const MAX_STORED_STARTS: usize = 2000;

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredStart {
    /// When it became clear that there is no answer.
    lost_at: Millis,
    /// Time until which the executor may carry it out.
    arrives_until: Millis,
    /// Whether a later life may carry it out as well: it has no ticket.
    outlives: bool,
    /// Time before which it is not repeated.
    repeat_at: Millis,
}

impl UnansweredStart {
    /// Tells whether the start may still be carried out.
    pub(crate) fn may_arrive(&self, now: Millis) -> bool {
        now < self.arrives_until
    }

    /// Tells whether a run that a later life began by the start may be active, if no life has
    /// answered since.
    fn may_be_active(&self, max_lease: Millis, now: Millis) -> bool {
        let lease = if self.outlives {
            stretch_lease(max_lease)
        } else {
            Millis::new(0)
        };
        now < self.arrives_until.saturating_add(lease)
    }
}

impl ActiveRun {
    /// Tells whether a later life of the executor may still begin the run, so that its task must not
    /// start elsewhere.
    pub(crate) fn is_bound(&self, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|start| start.outlives && start.may_arrive(now))
    }

    /// Tells whether the run may be active by an unanswered start although every lease that was
    /// granted to the executor has expired.
    pub(crate) fn may_start_late(&self, max_lease: Millis, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|start| start.may_be_active(max_lease, now))
    }

    /// Tells whether a start that a later life may carry out got no answer.
    pub(crate) fn has_lasting_start(&self) -> bool {
        self.unanswered.is_some_and(|start| start.outlives)
    }

    /// Records that the executor ran it: its only start has been carried out. Returns whether that
    /// settles a start that a later life might have carried out.
    pub(crate) fn settle_single_start(&mut self) -> bool {
        let settles = self.starts_sent <= 1 && self.has_lasting_start();
        if self.starts_sent <= 1 {
            self.unanswered = None;
        }
        settles
    }
}

impl ExecutorState {
    /// Returns the token of its present life.
    pub(crate) fn token(&self, epoch: magnolia_types::Epoch) -> FenceToken {
        FenceToken::new_in(epoch, self.restarts)
    }

    /// Returns the latest time at which a call that was meant for its present life and may grant a
    /// lease can be carried out.
    pub(crate) fn last_arrival_of_calls(&self, late_limit: Millis, now: Millis) -> Millis {
        let starting = |run: &ActiveRun| run.in_flight;
        let open = self.open_renewal.is_some() || self.runs.values().any(starting);
        let lost = self.lost_renewal_at.into_iter();
        let starts = self.runs.values().filter_map(|run| run.unanswered);
        let lost = lost.chain(starts.map(|start| start.lost_at));
        let lost = lost.chain(open.then_some(now)).max();
        let last = lost.map(|at| at.saturating_add(late_limit));
        last.map_or(now, |at| at.max(now))
    }

    /// Returns the tasks that a later life may begin by an unanswered start, with the time left.
    pub(crate) fn late_starts(&self, now: Millis) -> Vec<(TaskRef, Millis)> {
        let bound = self.runs.iter().filter(|(_, run)| run.is_bound(now));
        let own = bound.filter_map(|((task, _), run)| Some((*task, run.unanswered?.arrives_until)));
        let inherited = self.inherited_starts.iter();
        let starts = own.chain(inherited.map(|(task, until)| (*task, *until)));
        let left = starts.map(|(task, until)| (task, until.saturating_sub(now)));
        let mut found: Vec<(TaskRef, Millis)> = left.take(MAX_STORED_STARTS + 1).collect();
        if found.len() > MAX_STORED_STARTS {
            log::warn!(executor:% = self.entry.id, limit = MAX_STORED_STARTS;
                "not all starts without an answer fit into the record of the executor");
            found.truncate(MAX_STORED_STARTS);
        }
        found
    }

    /// Tells whether a start can be sent to it again.
    fn accepts_repeats(&self, now: Millis) -> bool {
        self.listed
            && self.settled
            && self.entry.status == ExecutorStatus::Ready
            && !self.lease_recorded
            && self.unconfirmed_life.is_none()
            && self.open_to_earlier_calls.is_none()
            && self.lease.clock_at(now).is_some()
            && self.is_responsive(now)
    }
}

impl CellScheduler {
    /// Records that a start got no answer.
    pub(crate) fn record_lost_start(
        &mut self,
        executor_index: ExecutorIndex,
        order: &StartOrder,
        now: Millis,
    ) {
        let late_limit = self.settings.late_order_limit;
        let executor = self.executors.get_mut(executor_index);
        let Some(active) = executor.runs.get_mut(&(order.task, order.run)) else {
            return;
        };
        let outlives = order.ticket.is_none();
        active.unanswered = Some(UnansweredStart {
            lost_at: now,
            arrives_until: now.saturating_add(late_limit),
            outlives,
            repeat_at: now,
        });
        if outlives {
            self.mark_executor_dirty(executor_index);
        }
    }

    /// Keeps a run that would otherwise be released, if a later life of its executor may still begin
    /// it; returns whether it is kept.
    pub(crate) fn keep_bound_run(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) -> bool {
        let executor = self.executors.get_mut(executor_index);
        let Some(active) = executor.runs.get_mut(&(task, run)) else {
            return false;
        };
        if !active.is_bound(now) {
            return false;
        }
        active.confirmed_at = None;
        active.listed = false;
        if active.phase != RunPhase::Stopping {
            active.phase = RunPhase::Starting;
        }
        true
    }

    /// Withdraws starts that got no answer by a stop, unless they are repeated. The start of a member
    /// of a gang is repeated once, because the others wait for it.
    pub(crate) fn stop_unanswered_starts(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            for ((task, run), active) in &executor.runs {
                let unanswered = active.unanswered.is_some() && !active.in_flight;
                let is_gang = || self.step_spec(task.step).is_some_and(|spec| spec.gang);
                let given_up = !active.is_bound(now) || (active.starts_sent > 1 && is_gang());
                if active.phase == RunPhase::Starting && unanswered && given_up {
                    stops.push((executor_index, *task, *run));
                }
            }
        }
        for (executor_index, task, run) in stops {
            self.order_stop(executor_index, task, run, now);
            self.stop_gang(task.step, run, now);
        }
    }

    /// Repeats the starts of bound runs that a report, received after the start got no answer, does
    /// not list.
    pub(crate) fn repeat_starts(&mut self, now: Millis) {
        let mut repeats = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            if !executor.accepts_repeats(now) {
                continue;
            }
            for ((task, run), active) in &executor.runs {
                let missing = active.unanswered.is_some_and(|start| {
                    executor.last_answer_at.is_some_and(|at| at > start.lost_at)
                        && now >= start.repeat_at
                });
                let waits = active.phase == RunPhase::Starting && active.is_bound(now);
                if waits && missing && !active.in_flight && !active.closed {
                    repeats.push((executor_index, *task, *run));
                }
            }
        }
        for (executor_index, task, run) in repeats {
            log::info!(task:% = task, run:% = run, executor:% = self.executor_id(executor_index);
                "repeating a start that got no answer");
            self.order_start(executor_index, task, run, now);
        }
    }

    /// Postpones the next repeat of a start that the executor rejected.
    pub(crate) fn postpone_repeat(
        &mut self,
        executor_index: ExecutorIndex,
        task: TaskRef,
        run: RunNumber,
        now: Millis,
    ) {
        let executor = self.executors.get_mut(executor_index);
        let active = executor.runs.get_mut(&(task, run));
        if let Some(start) = active.and_then(|active| active.unanswered.as_mut()) {
            start.repeat_at = now.saturating_add(REPEAT_PAUSE);
        }
    }
}
