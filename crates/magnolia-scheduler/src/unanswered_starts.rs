//! Starts that got no answer.
//!
//! An executor may carry out such a start up to [`late_order_limit`] after it was sent, and so may a
//! later life of it: calls name the executor, not its life. A stop that the present life confirms
//! does not bind the next one. Only a ticket is valid for one life. Without one, the run keeps its
//! task, so that there is no second run beside which the late one could be carried out. A later life
//! that has answered a call with its own [`FenceToken`] rejects starts that were meant for an earlier
//! one, but the life after it has forgotten the token again. So the task stays at the executor until
//! the start can't be carried out any more.
//!
//! Of two copies of a start, one may be carried out after the run of the other one has ended. Long-running
//! tasks and those of which copies may run may begin again, so that their start is repeated at the same
//! executor. So is that of a run that is estimated to last for half of the time or more in which the
//! first copy may arrive; if it ends earlier, its end is withheld: it is neither acted upon nor
//! acknowledged, and neither are later ends of the executor. Other starts are not sent again.
//!
//! What may be given up is a property of each run. When the lease of a silent executor has expired,
//! its runs are over, and so is a start with a ticket: the life for which the ticket is valid rejects
//! a start whose lease is over.
//!
//! [`late_order_limit`]: crate::SchedulerSettings::late_order_limit

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::{ExecutorId, Millis};

use crate::cell::CellScheduler;
use crate::executor_state::{ActiveRun, ExecutorState, RunPhase, stretch_lease};
use crate::executors::{ExecutorIndex, ExecutorStatus};
use crate::lifecycle::STOP_RESEND_INTERVAL;
use crate::reports::TICKET_MARGIN;
use crate::{
    CellAction, EndKind, ExecutorReport, FenceToken, RunEnd, RunNumber, StartOrder, StepRef,
    StopOrder, TaskRef,
};

/// Pause before a start is repeated after the executor rejected it.
const REPEAT_PAUSE: Millis = Millis::new(400);
/// Most starts in the record of an executor, which have to fit beside the list of its tasks.
const MAX_STORED_STARTS: usize = 2000;

/// An unanswered start whose task may have started elsewhere, because the lease of its executor had
/// expired. If the executor answers again, its lease is renewed only after it has confirmed a stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GivenUpStart {
    /// Time until which the executor may carry it out.
    until: Millis,
    /// When a stop order was last sent.
    stop_sent: Option<Millis>,
}

/// A start without an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnansweredStart {
    /// When it became clear that there is no answer.
    lost_at: Millis,
    /// Time until which the executor may carry it out.
    arrives_until: Millis,
    /// Whether a later life may carry it out as well: it has no ticket.
    outlives: bool,
    /// Whether it may be sent again while it may still be carried out.
    repeatable: bool,
    /// Whether the end of its run is withheld while another copy may be carried out.
    withholds_end: bool,
    /// Time until which a run that a later life began by it may be active, if no life has answered
    /// since.
    active_until: Millis,
    /// Time before which it is not repeated.
    repeat_at: Millis,
}

impl UnansweredStart {
    /// Tells whether the start may still be carried out.
    pub(crate) fn may_arrive(&self, now: Millis) -> bool {
        now < self.arrives_until
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
    /// granted to the executor has expired: on a later life, as the present one rejects a start whose
    /// lease is over.
    pub(crate) fn outlasts_lease(&self, now: Millis) -> bool {
        self.unanswered
            .is_some_and(|start| now < start.active_until)
    }

    /// Tells whether its end can't be acknowledged yet, because its start was sent more than once.
    fn withholds_end(&self, now: Millis) -> bool {
        let withholds = self.unanswered.is_some_and(|start| start.withholds_end);
        withholds && self.starts_sent > 1 && self.is_bound(now)
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
            && self.given_up_starts.is_empty()
            && self.unconfirmed_life.is_none()
            && self.open_to_earlier_calls.is_none()
            && self.lease.clock_at(now).is_some()
            && self.is_responsive(now)
    }
}

impl CellScheduler {
    /// Tells whether the starts of a step may be repeated at the price of withheld ends: its tasks run so
    /// long that they lose less by that than by waiting until the first copy can't arrive any more.
    fn withholds_ends_of(&self, step: StepRef) -> bool {
        let long_run = Millis::new(self.settings.late_order_limit.get() / 2);
        self.step_spec(step).is_some_and(|spec| {
            let may_begin_again = spec.lasting || spec.copies_allowed;
            !may_begin_again && !spec.gang && spec.estimate >= long_run
        })
    }

    /// Cuts the list of ends in a report off before the first one that can't be acknowledged yet: a
    /// second copy of the start of its run may still be carried out by a later life.
    pub(crate) fn withhold_ends(
        &mut self,
        executor_index: ExecutorIndex,
        report: &mut ExecutorReport,
        now: Millis,
    ) {
        let executor = self.executors.get(executor_index);
        let is_withheld = |end: &&RunEnd| {
            let counts = matches!(end.kind, EndKind::Done | EndKind::Failed);
            let is_new = end.number > executor.seen_through;
            let own = executor.runs.get(&(end.task, end.run));
            let repeated = own.is_some_and(|active| active.withholds_end(now));
            let inherited = executor.inherited_starts.get(&end.task);
            let may_arrive = inherited.is_some_and(|until| now < *until);
            counts && is_new && (repeated || (may_arrive && self.withholds_ends_of(end.task.step)))
        };
        let withheld = report.ends.iter().filter(is_withheld);
        let first = withheld.map(|end| end.number).min();
        if let Some(first) = first {
            report.ends.retain(|end| end.number < first);
            report.ends_complete = false;
        }
        self.executors.get_mut(executor_index).withholds_ends = first.is_some();
    }

    /// Tells whether ends that an executor lists are withheld.
    pub fn withholds_ends(&self, id: &ExecutorId) -> bool {
        let executor_index = self.executors.index_of(id);
        executor_index.is_some_and(|index| self.executors.get(index).withholds_ends)
    }

    /// Records that a start got no answer.
    pub(crate) fn record_lost_start(
        &mut self,
        executor_index: ExecutorIndex,
        order: &StartOrder,
        now: Millis,
    ) {
        let arrives_until = now.saturating_add(self.settings.late_order_limit);
        let longest_lease = stretch_lease(self.settings.max_lease);
        let withholds_end = self.withholds_ends_of(order.task.step);
        let spec = self.step_spec(order.task.step);
        let may_begin_again = spec.is_some_and(|spec| spec.lasting || spec.copies_allowed);
        let repeatable = may_begin_again || withholds_end;
        let tickets = self.step_state(order.task.step);
        let ticket = tickets.and_then(|state| state.eligibility.tickets.get(&executor_index));
        // The life for which a ticket is valid may be a later one than this owner knows.
        let ticket_end = ticket.map(|ticket| ticket.valid_until.saturating_add(TICKET_MARGIN));
        let executor = self.executors.get_mut(executor_index);
        let Some(active) = executor.runs.get_mut(&(order.task, order.run)) else {
            return;
        };
        let outlives = order.ticket.is_none();
        log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
            repeatable = repeatable, binds = outlives; "start got no answer");
        active.unanswered = Some(UnansweredStart {
            lost_at: now,
            arrives_until,
            outlives,
            repeatable,
            withholds_end,
            active_until: ticket_end
                .filter(|_| !outlives)
                .unwrap_or(arrives_until)
                .saturating_add(longest_lease),
            repeat_at: now,
        });
        if outlives {
            self.mark_executor_dirty(executor_index);
        }
    }

    /// Gives up the runs of an executor whose lease has expired, apart from those that a later life
    /// may have begun. Returns whether none is left.
    pub(crate) fn lose_lapsed_runs(&mut self, executor_index: ExecutorIndex, now: Millis) -> bool {
        let executor = self.executors.get_mut(executor_index);
        let lapsed = executor.runs.iter();
        let lapsed: Vec<(TaskRef, RunNumber)> = lapsed
            .filter(|(_, active)| !active.outlasts_lease(now))
            .map(|(key, _)| *key)
            .collect();
        for key in &lapsed {
            let start = executor.runs.get(key).and_then(|active| active.unanswered);
            if let Some(start) = start.filter(|start| start.may_arrive(now)) {
                let given_up = GivenUpStart {
                    until: start.arrives_until,
                    stop_sent: None,
                };
                executor.given_up_starts.insert(*key, given_up);
            }
        }
        let left = executor.runs.len().saturating_sub(lapsed.len());
        if !lapsed.is_empty() {
            log::info!(executor:% = executor.entry.id, lost = lapsed.len(), left = left;
                "lease of an unresponsive executor expired; its runs are lost");
        }
        for (task, run) in lapsed {
            self.lose_run(executor_index, task, run, now);
        }
        left == 0
    }

    /// Orders stops of the starts that were given up, at executors that answer again.
    pub(crate) fn withdraw_given_up_starts(&mut self, now: Millis) {
        let epoch = self.epoch;
        for (_, executor) in self.executors.iter_mut() {
            executor
                .given_up_starts
                .retain(|_, start| now < start.until);
            if !executor.is_responsive(now) {
                continue;
            }
            let (id, life) = (executor.entry.id.clone(), executor.entry.life);
            let token = executor.token(epoch);
            for ((task, run), start) in &mut executor.given_up_starts {
                let recent = |sent: Millis| now.saturating_sub(sent) < STOP_RESEND_INTERVAL;
                if start.stop_sent.is_some_and(recent) {
                    continue;
                }
                start.stop_sent = Some(now);
                self.actions.push(CellAction::Stop(StopOrder {
                    executor: id.clone(),
                    life,
                    token,
                    task: *task,
                    run: *run,
                }));
            }
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

    /// Withdraws starts that got no answer by a stop, unless a later life may carry them out. The start
    /// of a member of a gang is withdrawn in any case, because the others wait for it; before that, it
    /// is repeated once if it may be.
    pub(crate) fn stop_unanswered_starts(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            for ((task, run), active) in &executor.runs {
                let Some(start) = active.unanswered.filter(|_| !active.in_flight) else {
                    continue;
                };
                let is_gang = || self.step_spec(task.step).is_some_and(|spec| spec.gang);
                let is_last = active.starts_sent > 1 || !start.repeatable;
                let given_up = !active.is_bound(now) || (is_last && is_gang());
                if active.phase == RunPhase::Starting && given_up {
                    stops.push((executor_index, *task, *run));
                }
            }
        }
        for (executor_index, task, run) in stops {
            self.order_stop(executor_index, task, run, now);
            self.stop_gang(task.step, run, now);
        }
    }

    /// Repeats the starts of bound runs, where they may be, that a report, received after the start got
    /// no answer, does not list.
    pub(crate) fn repeat_starts(&mut self, now: Millis) {
        let mut repeats = Vec::new();
        for (executor_index, executor) in self.executors.iter() {
            if !executor.accepts_repeats(now) {
                continue;
            }
            for ((task, run), active) in &executor.runs {
                let missing = active.unanswered.is_some_and(|start| {
                    let reported = executor.last_answer_at.is_some_and(|at| at > start.lost_at);
                    start.repeatable && reported && now >= start.repeat_at
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
