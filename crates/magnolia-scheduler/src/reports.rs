//! Processing of executor reports, of answers to orders and of the platform's list of executors.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::BTreeSet;

use magnolia_types::{ExecutorId, Millis};

use crate::cell::CellScheduler;
use crate::executor_state::{
    ActiveRun, ExecutorState, FenceState, RenewalKind, RenewalPlan, RunPhase, stretch_lease,
};
use crate::executors::{ExecutorEntry, ExecutorIndex, ExecutorStatus, ExecutorUse};
use crate::step::{TaskPhase, Ticket};
use crate::{CellAction, PaceOrder};
use crate::{
    EligibilityAnswer, ExecutorLife, ExecutorReport, FenceToken, PaceDecision, RunNumber,
    RunningTask, StartAnswer, StartOrder, StepRef, StopOrder, TaskRef, decide_pace,
};

/// Weight of one answer in the moving mean of the share of eligible executors.
const ELIGIBLE_SHARE_WEIGHT: f64 = 0.1;
/// Most occurrences of a job that a report opens at once. An owner opens one in each pass over its
/// timed work, and the records of jobs are stored within a few passes.
const MAX_EARLY_OCCURRENCES: usize = 1000;
/// Shortest time between two changes of the CPU share of fillers: a reported tail latency covers
/// half a second.
const PACE_INTERVAL: Millis = Millis::new(400);
/// Difference between two readings of a clock that rounding to milliseconds can make.
const CLOCK_ROUNDING: Millis = Millis::new(2);
/// Pause after an executor refused a start for lack of capacity: its view of its reservations
/// differs from the owner's until the next report.
const NO_ROOM_PAUSE: Millis = Millis::new(300);
/// Time before the end of its validity from which a ticket is not used any more, because the order
/// still has to arrive.
pub(crate) const TICKET_MARGIN: Millis = Millis::new(60);

impl CellScheduler {
    /// Adds or updates an executor from the platform's list.
    pub fn upsert_executor(&mut self, entry: ExecutorEntry, now: Millis) {
        let Some(executor_index) = self.executors.index_of(&entry.id) else {
            log::info!(executor:% = entry.id, service:% = entry.service, address:% = entry.address;
                "executor listed");
            self.executors.add(entry);
            return;
        };
        let known = self.executors.get_mut(executor_index);
        if entry.life < known.entry.life {
            return;
        }
        if entry.status != known.entry.status {
            log::info!(executor:% = entry.id, draining = entry.status == ExecutorStatus::Draining;
                "executor status changed");
        }
        known.listed = true;
        known.has_entry = true;
        if entry.life > known.entry.life {
            self.replace_life(executor_index, entry.life, now);
        }
        let known = &mut self.executors.get_mut(executor_index).entry;
        let same_use = known.service == entry.service && known.labels == entry.labels;
        if !same_use || known.capacity != entry.capacity {
            self.unplaceable.clear();
        }
        *known = entry;
    }

    /// Records that the entry of an executor was deleted from the platform's list. It counts as listed
    /// for a while, as entries are deleted during outages of the store as well.
    pub fn record_deleted_entry(&mut self, id: &ExecutorId) {
        if let Some(executor_index) = self.executors.index_of(id) {
            self.executors.get_mut(executor_index).has_entry = false;
        }
    }

    /// Records that an executor is no longer in the platform's list.
    pub fn remove_executor(&mut self, id: &ExecutorId) {
        if let Some(executor_index) = self.executors.index_of(id) {
            log::info!(executor:% = id; "executor no longer listed");
            self.executors.get_mut(executor_index).listed = false;
        }
    }

    /// Returns the executors to which lease renewals have to be sent.
    pub fn executors_to_renew(&self) -> Vec<ExecutorEntry> {
        let wanted = self
            .executors
            .iter()
            .filter(|(_, executor)| executor.needs_renewal());
        wanted.map(|(_, executor)| executor.entry.clone()).collect()
    }

    /// Returns the contents of the next lease renewal of an executor, and counts its lease as
    /// granted; `None` if no renewal is needed.
    pub fn plan_renewal(
        &mut self,
        id: &ExecutorId,
        kind: RenewalKind,
        now: Millis,
    ) -> Option<RenewalPlan> {
        let executor_index = self.executors.index_of(id)?;
        let lease = self.settings.lease;
        let wait = kind.wait(self.settings.renewal_wait);
        let executor = self.executors.get_mut(executor_index);
        if !executor.needs_renewal() {
            return None;
        }
        // An unanswered renewal may have arrived. Therefore the lease of an unresponsive executor
        // is not renewed, so that it expires at a known time. A start that was given up must not find
        // a lease.
        let renews = kind != RenewalKind::Inquiry;
        let may_renew = !executor.lease_recorded && executor.given_up_starts.is_empty();
        let lease_until = if renews && executor.is_responsive(now) && may_renew {
            executor.lease.expiry_after(lease, now)
        } else {
            None
        };
        if executor.open_renewal.take().is_some() {
            executor.lost_renewal_at = Some(now);
        }
        if let Some(until) = lease_until {
            executor.lease.grant(until);
            executor.open_renewal = Some(now);
        }
        // An executor that is not settled, or may carry out calls for an earlier life, must answer at
        // once, because nothing starts there before.
        // One with ends that are not acknowledged answers at once in any case.
        let unstored = executor.seen_through > executor.stored_through;
        let closed = executor.open_to_earlier_calls.is_none();
        let wait = if executor.settled && closed && !unstored {
            wait
        } else {
            Millis::new(0)
        };
        // The executor may have restarted since its last answer, and would drop the ends of its new
        // life up to this number. Therefore it is sent once after each report that lists ends: if that
        // renewal gets no answer, only after the next report.
        let ends_stored = if executor.lists_ends {
            executor.stored_through
        } else {
            0
        };
        executor.lists_ends &= ends_stored == 0;
        Some(RenewalPlan {
            life: executor.entry.life,
            token: executor.token(self.epoch),
            ends_stored,
            lease_until,
            wait,
        })
    }

    /// Applies the answer to a lease renewal that was sent at `sent_at`.
    pub fn apply_report(
        &mut self,
        id: &ExecutorId,
        mut report: ExecutorReport,
        sent_at: Millis,
        now: Millis,
    ) {
        let Some(executor_index) = self.executors.index_of(id) else {
            return;
        };
        let known_life = self.executors.get(executor_index).entry.life;
        if report.life < known_life {
            return;
        }
        self.executors.get_mut(executor_index).open_renewal = None;
        if report.life > known_life {
            self.replace_life(executor_index, report.life, now);
        }
        self.exclude_earlier_calls(executor_index, sent_at, now);
        let (lease, max_lease) = (self.settings.lease, self.settings.max_lease);
        let executor = self.executors.get_mut(executor_index);
        // The answer to a call that was sent before says nothing of a later rejection.
        if executor.fence.yields_to(sent_at) {
            executor.fence = FenceState::Accepted;
        }
        executor.accepted_at = executor.accepted_at.max(Some(sent_at));
        executor.closed_to_earlier = true;
        self.last_closed_at = self.last_closed_at.max(now);
        executor.given_up_at = None;
        executor.lease.observe(report.clock, now);
        executor.last_answer_at = Some(now);
        let ready = executor.entry.status == ExecutorStatus::Ready;
        if executor.usage != ExecutorUse::Open && executor.listed && ready {
            executor.usage = ExecutorUse::Open;
            self.mark_executor_dirty(executor_index);
        }
        let executor = self.executors.get_mut(executor_index);
        if !executor.settled {
            executor.settled = true;
            // An earlier owner may have granted a lease just before this report, and the longest one if
            // it did not know this life yet.
            let is_known = executor
                .recorded_life
                .is_none_or(|life| life == report.life);
            let granted = if is_known { lease } else { max_lease };
            executor.lease.grant(report.clock.saturating_add(granted));
            executor
                .lease
                .expect_earlier_leases(executor.restart_leases_end);
        }
        self.withhold_ends(executor_index, &mut report, now);
        let listed: BTreeSet<(TaskRef, RunNumber)> = report
            .running
            .iter()
            .map(|reported| (reported.task, reported.run))
            .collect();
        for reported in report.running {
            self.open_occurrences_through(reported.task, now);
            self.apply_running(executor_index, reported, now);
        }
        let executor = self.executors.get_mut(executor_index);
        executor.lists_ends = !report.ends.is_empty();
        let seen = executor.seen_through;
        for end in report.ends {
            if end.number <= seen {
                continue;
            }
            let executor = self.executors.get_mut(executor_index);
            executor.seen_through = executor.seen_through.max(end.number);
            executor.unknown_runs.remove(&(end.task, end.run));
            self.open_occurrences_through(end.task, now);
            self.apply_end(
                executor_index,
                end.task,
                end.run,
                end.kind,
                end.checkpoint,
                now,
            );
        }
        let executor = self.executors.get_mut(executor_index);
        if executor.may_have_unlisted_ends == report.ends_complete {
            executor.may_have_unlisted_ends = !report.ends_complete;
            log::info!(executor:% = id, complete = report.ends_complete;
                "whether the executor lists all ended runs has changed");
        }
        if report.ends_complete {
            self.release_missing_runs(executor_index, &listed, sent_at, now);
        }
        self.pace_fillers(executor_index, now);
        self.check_exclusion(now);
    }

    /// Notes that the present life of an executor has answered a call with its own token, if the call
    /// was sent after the life became known: from now on it rejects calls for earlier lives.
    fn exclude_earlier_calls(
        &mut self,
        executor_index: ExecutorIndex,
        sent_at: Millis,
        now: Millis,
    ) {
        let lease_end = now.saturating_add(stretch_lease(self.settings.max_lease));
        let executor = self.executors.get_mut(executor_index);
        let known_before = |at: &mut Millis| *at < sent_at;
        if executor
            .open_to_earlier_calls
            .take_if(known_before)
            .is_some()
        {
            executor.lease.limit_expiry(lease_end);
            if executor.usage != ExecutorUse::Unused {
                self.mark_executor_dirty(executor_index);
            }
        }
    }

    /// Compares the clock in the answer to a start that was sent at `sent_at` with that of the life
    /// that the start was meant for. A lower reading shows that the executor has restarted since, and
    /// that the start granted the longest lease.
    pub fn check_clock(&mut self, order: &StartOrder, clock: Millis, sent_at: Millis, now: Millis) {
        let Some(executor_index) = self.executors.index_of(&order.executor) else {
            return;
        };
        let executor = self.executors.get_mut(executor_index);
        let lowest = executor.lease.lowest_clock_at(sent_at);
        let restarted = lowest.is_some_and(|lowest| clock.saturating_add(CLOCK_ROUNDING) < lowest);
        if !restarted || order.token != executor.token(self.epoch) {
            return;
        }
        log::info!(executor:% = order.executor, clock:% = clock;
            "executor has restarted: its clock is behind; its runs wait for a report");
        let life = executor.entry.life;
        executor.begin_life(life, &self.settings, now);
        executor.unconfirmed_life = Some(now);
        self.mark_executor_dirty(executor_index);
    }

    /// Opens the occurrences of a job up to that of a task that an earlier owner started. The
    /// occurrence may be missing in the record of the job, and not due yet by the clock of this
    /// daemon.
    fn open_occurrences_through(&mut self, task: TaskRef, now: Millis) {
        let key = task.step.job;
        let wanted = task.step.occurrence as usize;
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let known = wanted < job.occurrences.len() || wanted >= job.total_occurrences();
        if known || job.ending.is_some() {
            return;
        }
        if wanted.saturating_sub(job.occurrences.len()) > MAX_EARLY_OCCURRENCES {
            log::warn!(task:% = task, open = job.occurrences.len();
                "ignored the report of an occurrence that no owner can have started");
            return;
        }
        while job.occurrences.len() <= wanted {
            job.open_occurrence(now);
        }
        self.queue_open_steps(key);
    }

    fn apply_running(&mut self, executor_index: ExecutorIndex, reported: RunningTask, now: Millis) {
        let key = (reported.task, reported.run);
        self.mark_started(reported.task.step.job);
        let executor = self.executors.get_mut(executor_index);
        if let Some(active) = executor.runs.get_mut(&key) {
            if active.percent != reported.percent || active.confirmed_at.is_none() {
                active.progress_at = now;
            }
            active.percent = reported.percent;
            active.confirmed_at = Some(now);
            active.listed = true;
            active.may_be_of_earlier_life = false;
            active.meter = reported.meter;
            if active.phase == RunPhase::Starting {
                active.phase = RunPhase::Running;
            }
            if reported.checkpoint.is_some() {
                active.checkpoint = reported.checkpoint;
            }
            if active.settle_single_start() {
                self.mark_executor_dirty(executor_index);
            }
            return;
        }
        self.adopt_run(executor_index, reported, now);
    }

    /// Takes over a reported run that this owner does not know. The run is stopped if its task is
    /// not waiting or the outcome of its job is decided.
    fn adopt_run(&mut self, executor_index: ExecutorIndex, reported: RunningTask, now: Millis) {
        self.revoke_loss(executor_index, reported.task, reported.run, now);
        let executor = self.executors.get_mut(executor_index);
        let key = (reported.task, reported.run);
        executor.given_up_starts.remove(&key);
        let alive = self
            .jobs
            .get(&reported.task.step.job)
            .is_some_and(|job| job.ending.is_none());
        let phase = self.task_phase(reported.task);
        let spec = self.step_spec(reported.task.step);
        let known = spec.map(|spec| (spec.reserved(), filler_cpu(spec)));
        if let (true, Some(TaskPhase::Waiting), Some((reserved, filler))) = (alive, phase, known) {
            self.place_run(
                executor_index,
                reported.task,
                reported.run,
                reserved,
                filler,
                now,
            );
            let executor = self.executors.get_mut(executor_index);
            if let Some(active) = executor.runs.get_mut(&(reported.task, reported.run)) {
                active.phase = RunPhase::Running;
                active.confirmed_at = Some(now);
                active.listed = true;
                active.percent = reported.percent;
                active.checkpoint = reported.checkpoint;
                active.meter = reported.meter;
            }
            return;
        }
        if let Some((reserved, filler)) = known {
            let mut active = ActiveRun::new(reserved, now).with_filler_cpu(filler);
            active.confirmed_at = Some(now);
            active.listed = true;
            self.add_run(executor_index, reported.task, reported.run, active);
        } else {
            let executor = self.executors.get_mut(executor_index);
            executor.unknown_runs.insert((reported.task, reported.run));
        }
        let id = self.executor_id(executor_index);
        log::info!(executor:% = id, task:% = reported.task, run:% = reported.run;
            "stopping a run that no waiting task needs");
        self.order_stop(executor_index, reported.task, reported.run, now);
    }

    /// Releases the runs that a report with all ends does not list, if the executor confirmed them,
    /// or was sent a stop order that it has confirmed, before the renewal was sent at `sent_at`, or
    /// if they were meant for an earlier life and the present one rejects such calls. The report may
    /// be too old to list other runs.
    fn release_missing_runs(
        &mut self,
        executor_index: ExecutorIndex,
        listed: &BTreeSet<(TaskRef, RunNumber)>,
        sent_at: Millis,
        now: Millis,
    ) {
        let executor = self.executors.get_mut(executor_index);
        executor.unknown_runs.retain(|key| listed.contains(key));
        let confirmed = |active: &ActiveRun| active.confirmed_at.is_some_and(|at| at < sent_at);
        let stopped = |active: &ActiveRun| {
            let before = active.stop_sent.is_some_and(|at| at < sent_at);
            active.stop_acked && before
        };
        let closed = executor.open_to_earlier_calls.is_none();
        // A start on its way may still turn out to be one that a further life can carry out.
        let excluded =
            |active: &ActiveRun| closed && active.may_be_of_earlier_life && !active.in_flight;
        let gone: Vec<(TaskRef, RunNumber, bool)> = executor
            .runs
            .iter()
            .filter(|(key, active)| {
                !listed.contains(key) && (confirmed(active) || stopped(active) || excluded(active))
            })
            .map(|((task, run), active)| (*task, *run, active.may_be_of_earlier_life))
            .collect();
        for (task, run, may_be_of_earlier_life) in gone {
            if may_be_of_earlier_life {
                self.lose_run(executor_index, task, run, now);
            } else {
                self.release_run(executor_index, task, run, now);
            }
        }
    }

    /// Gives up the runs that ended with the earlier life of an executor that has restarted, and
    /// resets its state.
    ///
    /// Orders name the executor and not its life, and the owner learns of a restart after the fact.
    /// Therefore a start may have been carried out by either life, and the reports of the new one
    /// show by which.
    fn replace_life(&mut self, executor_index: ExecutorIndex, life: ExecutorLife, now: Millis) {
        self.lose_listed_runs(executor_index, now);
        let executor = self.executors.get_mut(executor_index);
        executor.begin_life(life, &self.settings, now);
        self.last_closed_at = self.last_closed_at.max(now);
        executor.unconfirmed_life = Some(now);
        let in_use = executor.usage != ExecutorUse::Unused;
        log::info!(executor:% = executor.entry.id, life:% = life, undecided = executor.runs.len();
            "executor restarted; its runs are lost, except those that the new life may run");
        if in_use {
            self.mark_executor_dirty(executor_index);
        }
    }

    /// Applies the answer to a start order.
    pub fn apply_start(&mut self, order: &StartOrder, answer: StartAnswer, now: Millis) {
        let Some(executor_index) = self.executors.index_of(&order.executor) else {
            return;
        };
        let key = (order.task, order.run);
        let executor = self.executors.get_mut(executor_index);
        let is_current = order.token == executor.token(self.epoch);
        let Some(active) = executor.runs.get_mut(&key) else {
            return;
        };
        active.in_flight = false;
        let is_unanswered = active.unanswered.is_some();
        match answer {
            StartAnswer::Started => {
                active.confirmed_at = Some(now);
                active.progress_at = now;
                if active.phase == RunPhase::Starting {
                    active.phase = RunPhase::Running;
                }
                self.mark_started(order.task.step.job);
            }
            // The order had no effect. The task waits until ownership is confirmed.
            StartAnswer::Fenced => {
                if is_current {
                    self.apply_fence(&order.executor, order.token, now);
                }
                self.lose_run(executor_index, order.task, order.run, now);
                self.stop_gang(order.task.step, order.run, now);
            }
            StartAnswer::Unknown => self.record_lost_start(executor_index, order, now),
            // An earlier copy of the order may have been executed; the next report shows whether.
            StartAnswer::Old if is_unanswered => {
                active.closed = is_current;
                active.confirmed_at = Some(now);
            }
            _ if active.is_bound(now) => {
                self.postpone_repeat(executor_index, order.task, order.run, now);
            }
            _ if is_unanswered => self.order_stop(executor_index, order.task, order.run, now),
            _ => self.reject_start(executor_index, order, answer, now),
        }
    }

    fn reject_start(
        &mut self,
        executor_index: ExecutorIndex,
        order: &StartOrder,
        answer: StartAnswer,
        now: Millis,
    ) {
        log::info!(task:% = order.task, run:% = order.run, executor:% = order.executor,
            answer:? = answer; "start rejected");
        let executor = self.executors.get_mut(executor_index);
        match answer {
            StartAnswer::NoRoom => executor.not_before = now.saturating_add(NO_ROOM_PAUSE),
            StartAnswer::Unhealthy => executor.health.set_aside(now),
            StartAnswer::NotSent => executor.last_answer_at = None,
            StartAnswer::OtherExecutor => executor.last_answer_at = None,
            _ => {}
        }
        if answer == StartAnswer::BadTicket
            && let Some(step) = self.step_state_mut(order.task.step)
        {
            step.eligibility.tickets.remove(&executor_index);
        }
        self.release_run(executor_index, order.task, order.run, now);
        self.stop_gang(order.task.step, order.run, now);
    }

    /// Stops the members of a gang's run after one of them could not be started. Otherwise they
    /// would wait for it and keep their resources until the executors give up.
    pub(crate) fn stop_gang(&mut self, step: StepRef, run: RunNumber, now: Millis) {
        if !self.step_spec(step).is_some_and(|spec| spec.gang) {
            return;
        }
        let Some(state) = self.step_state(step) else {
            return;
        };
        let members: Vec<(ExecutorIndex, u32)> = state
            .tasks
            .touched()
            .filter_map(|(index, task)| match task.phase {
                TaskPhase::Placed(executor_index, placed) if placed == run => {
                    Some((executor_index, index))
                }
                _ => None,
            })
            .filter(|(executor_index, index)| {
                let task = TaskRef {
                    step,
                    index: *index,
                };
                let active = self.executors.get(*executor_index).runs.get(&(task, run));
                active.is_some_and(|active| active.phase != RunPhase::Stopping)
            })
            .collect();
        if !members.is_empty() {
            log::info!(step:% = step, run:% = run, members = members.len();
                "stopping a gang because a member could not be started");
        }
        for (executor_index, index) in members {
            self.order_stop(executor_index, TaskRef { step, index }, run, now);
        }
    }

    /// Applies the answer to a stop order: after a confirmed stop, no copy of the start can take
    /// effect in this life of the executor.
    pub fn apply_stop(&mut self, order: &StopOrder, confirmed: bool) {
        let Some(executor_index) = self.executors.index_of(&order.executor) else {
            return;
        };
        let executor = self.executors.get_mut(executor_index);
        let is_current = order.token == executor.token(self.epoch);
        if confirmed && is_current {
            executor.given_up_starts.remove(&(order.task, order.run));
        }
        if let Some(active) = executor.runs.get_mut(&(order.task, order.run)) {
            active.stop_acked |= confirmed && is_current;
        }
    }

    /// Records that an executor rejected an order with `token` because it knows a higher one. Either
    /// a later owner has claimed the cell, or the executor obeys another cell; the next confirmation
    /// of ownership shows which. An order for an earlier life of the executor shows neither.
    pub fn apply_fence(&mut self, id: &ExecutorId, token: FenceToken, now: Millis) {
        let Some(executor_index) = self.executors.index_of(id) else {
            return;
        };
        let executor = self.executors.get_mut(executor_index);
        if token < executor.token(self.epoch) {
            return;
        }
        executor.last_answer_at = None;
        if executor.fence == FenceState::Accepted {
            log::warn!(executor:% = id, epoch:% = self.epoch; "executor knows a higher epoch");
            executor.fence = FenceState::Rejected(now);
        }
    }

    /// Tells whether an executor knows a higher epoch and ownership was not confirmed since.
    pub fn has_unexplained_fence(&self) -> bool {
        let unexplained =
            |executor: &ExecutorState| matches!(executor.fence, FenceState::Rejected(_));
        self.executors
            .iter()
            .any(|(_, executor)| unexplained(executor))
    }

    /// Sets the executors aside that rejected the epoch before `sent_at`, when a call was sent that
    /// found no later claim.
    pub(crate) fn set_foreign_aside(&mut self, sent_at: Millis) {
        for (_, executor) in self.executors.iter_mut() {
            if let FenceState::Rejected(at) = executor.fence
                && at < sent_at
            {
                log::error!(executor:% = executor.entry.id, address:% = executor.entry.address;
                    "executor knows a higher epoch than any claim of this cell; it is set aside");
                executor.fence = FenceState::Foreign;
            }
        }
    }

    /// Records that an executor can't be reached, or that another one answers at its address.
    pub fn apply_unreachable(&mut self, id: &ExecutorId) {
        if let Some(executor_index) = self.executors.index_of(id) {
            self.executors.get_mut(executor_index).last_answer_at = None;
        }
    }

    /// Applies the answer to an eligibility request; `None` after a failed request.
    pub fn apply_eligibility(
        &mut self,
        step: StepRef,
        named: &[ExecutorId],
        answer: Option<&EligibilityAnswer>,
        now: Millis,
    ) {
        let indexes: Vec<ExecutorIndex> = named
            .iter()
            .filter_map(|id| self.executors.index_of(id))
            .collect();
        let eligible: Vec<(ExecutorIndex, ExecutorLife, std::sync::Arc<str>)> = answer
            .iter()
            .flat_map(|answer| &answer.eligible)
            .filter_map(|(id, ticket)| {
                let executor_index = self.executors.index_of(id)?;
                Some((
                    executor_index,
                    self.executors.get(executor_index).entry.life,
                    ticket.clone(),
                ))
            })
            .collect();
        if answer.is_some()
            && let Some(job) = self.jobs.get(&step.job)
        {
            let initial = Self::INITIAL_ELIGIBLE_SHARE;
            let share = self
                .eligible_share
                .entry(job.rules.name.clone())
                .or_insert(initial);
            let seen = eligible.len() as f64 / indexes.len().max(1) as f64;
            *share += (seen - *share) * ELIGIBLE_SHARE_WEIGHT;
        }
        let valid = answer.map_or(Millis::new(0), |answer| answer.valid);
        self.unplaceable.remove(step);
        let Some(state) = self.step_state_mut(step) else {
            return;
        };
        state.eligibility.in_flight = false;
        if answer.is_none() {
            state.eligibility.not_before = now.saturating_add(FAILED_ELIGIBILITY_PAUSE);
            return;
        }
        state.eligibility.ineligible.extend(&indexes);
        for (executor_index, life, text) in eligible {
            state.eligibility.ineligible.remove(&executor_index);
            let ticket = Ticket {
                text,
                life,
                valid_until: now.saturating_add(valid).saturating_sub(TICKET_MARGIN),
            };
            state.eligibility.tickets.insert(executor_index, ticket);
        }
    }

    /// Orders the CPU share of the filler tasks of an executor, by the tail latencies of the tasks
    /// with a latency target there.
    fn pace_fillers(&mut self, executor_index: ExecutorIndex, now: Millis) {
        let executor = self.executors.get(executor_index);
        if executor.filler_cpu == 0 || now.saturating_sub(executor.paced_at) < PACE_INTERVAL {
            return;
        }
        let mut worst = 0;
        for ((task, _), active) in &executor.runs {
            let target = self
                .step_spec(task.step)
                .and_then(|spec| spec.latency_target);
            if let (Some(target), Some(tail)) = (target, active.meter) {
                let percent = tail.saturating_mul(100).checked_div(target.get());
                worst = worst.max(percent.unwrap_or(u64::MAX));
            }
        }
        let (id, life) = (executor.entry.id.clone(), executor.entry.life);
        let token = executor.token(self.epoch);
        let fillers = executor
            .runs
            .iter()
            .filter(|(_, active)| active.filler_cpu > 0 && active.phase == RunPhase::Running);
        let orders: Vec<(TaskRef, RunNumber, u8)> = fillers
            .filter_map(
                |((task, run), active)| match decide_pace(worst, active.pace) {
                    PaceDecision::Set(percent) => Some((*task, *run, percent)),
                    PaceDecision::Keep => None,
                },
            )
            .collect();
        if orders.is_empty() {
            return;
        }
        let executor = self.executors.get_mut(executor_index);
        executor.paced_at = now;
        for (task, run, percent) in orders {
            if let Some(active) = executor.runs.get_mut(&(task, run)) {
                active.pace = percent;
            }
            self.actions.push(CellAction::Pace(PaceOrder {
                executor: id.clone(),
                life,
                token,
                task,
                run,
                percent,
            }));
        }
    }
}

/// Pause before the next eligibility request of a step after a failed one.
const FAILED_ELIGIBILITY_PAUSE: Millis = Millis::new(100);

/// Returns the processors that a filler task of the step uses without reserving them, in
/// thousandths; 0 for other tasks.
pub(crate) fn filler_cpu(spec: &crate::StepSpec) -> u64 {
    if spec.filler {
        spec.need.cpu_millis.get()
    } else {
        0
    }
}

impl CellScheduler {
    /// Returns an executor's entry with the contents of the next lease renewal; see
    /// [`plan_renewal`](Self::plan_renewal).
    pub fn plan_executor_renewal(
        &mut self,
        id: &ExecutorId,
        kind: RenewalKind,
        now: Millis,
    ) -> Option<(ExecutorEntry, RenewalPlan)> {
        let plan = self.plan_renewal(id, kind, now)?;
        let executor_index = self.executors.index_of(id)?;
        Some((self.executors.get(executor_index).entry.clone(), plan))
    }

    /// Returns the address on which an executor listens.
    pub fn executor_address(&self, id: &ExecutorId) -> Option<std::net::SocketAddr> {
        let executor_index = self.executors.index_of(id)?;
        Some(self.executors.get(executor_index).entry.address)
    }

    /// Tells whether ends reported by an executor are not stored yet.
    pub fn has_unstored_ends(&self, id: &ExecutorId) -> bool {
        self.executors.index_of(id).is_some_and(|executor_index| {
            let executor = self.executors.get(executor_index);
            executor.seen_through > executor.stored_through
        })
    }
}
