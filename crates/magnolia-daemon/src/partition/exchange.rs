//! Exchanges with workers: at most one at a time with each worker, all workers in parallel.
//!
//! An exchange is one message to a worker, a fence or a batch of commands, with its answer. A batch
//! of commands is sent only after the worker has accepted the fence of this owner.

use std::sync::Arc;

use magnolia_backing::{
    AttemptEnd, AttemptReport, AttemptState, CommandAnswer, CommandBatch, FenceRequest,
    RefusedStart, StartRefusal,
};
use magnolia_policy::WorkerView;
use magnolia_state::{AttemptResult, IncarnationCheck};
use magnolia_types::{AttemptId, Millis, WorkerId};

use super::events::{ExchangeResult, OwnerEvent};
use super::owner::{OwnerPhase, PartitionOwner};
use super::worker_link::{AttemptOrder, WorkerLink};
use crate::metrics::names;

impl PartitionOwner {
    /// Starts an exchange with each worker for which one is due.
    pub(super) fn start_due_exchanges(&mut self) {
        let now = self.now();
        if matches!(self.phase, OwnerPhase::Draining(_)) {
            return;
        }
        self.end_unsent_stops();
        let mut unconfirmed = false;
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            let reading = self.leases.newest_reading(&worker);
            let Some(link) = self.links.get(&worker) else {
                continue;
            };
            let incarnation = reading.map(|reading| reading.incarnation);
            let may_start = incarnation.is_some() && link.confirmed_incarnation == incarnation;
            unconfirmed |= incarnation.is_some() && !may_start;
            if !link.is_due(now, may_start) {
                continue;
            }
            if self.tracker.is_fenced(&worker) {
                self.send_commands(&worker, may_start, now);
            } else if !self.early_reports.contains_key(&worker) {
                self.send_fence(&worker, now);
            }
        }
        if unconfirmed {
            self.ask_for_confirmation(now);
        }
    }

    fn send_fence(&mut self, worker: &WorkerId, now: Millis) {
        let request = FenceRequest {
            partition: Arc::clone(&self.partition),
            epoch: self.claim.epoch,
        };
        let lease = self.lease;
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        link.record_sent(now, lease);
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let (worker, address) = (worker.clone(), link.address);
        tokio::spawn(async move {
            let answer = context.workers.fence(address, &request).await;
            let result = ExchangeResult {
                worker,
                is_fence: true,
                starts: Vec::new(),
                acknowledged: Vec::new(),
                answer,
            };
            events.send(OwnerEvent::Exchanged(Box::new(result))).ok();
        });
    }

    fn send_commands(&mut self, worker: &WorkerId, may_start: bool, now: Millis) {
        let Some(reading) = self.leases.newest_reading(worker) else {
            return;
        };
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let mut starts = Vec::new();
        if may_start {
            for start in link.starts.values_mut() {
                start.sends += 1;
                starts.push(start.command.clone());
            }
        }
        let batch = CommandBatch {
            partition: Arc::clone(&self.partition),
            epoch: self.claim.epoch,
            incarnation: reading.incarnation,
            reading_ms: reading.value,
            lease_ms: self.lease,
            start_window_ms: self.start_window,
            renew: true,
            full_report: link.needs_full_report(now),
            starts,
            stops: link.stop_commands(),
            checkpoints: link.checkpoint_commands(),
            throttles: link.throttle_commands(),
            acknowledged: link.acknowledged.iter().cloned().collect(),
        };
        link.record_sent(now, self.lease);
        self.leases.record_command(worker, &reading, self.lease);
        self.context.metrics.count(names::WORKERS_EXCHANGES);
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let (worker, address) = (worker.clone(), link.address);
        tokio::spawn(async move {
            let answer = context.workers.command(address, &batch).await;
            let starts = batch.starts.into_iter().map(|start| start.attempt);
            let result = ExchangeResult {
                worker,
                is_fence: false,
                starts: starts.collect(),
                acknowledged: batch.acknowledged,
                answer,
            };
            events.send(OwnerEvent::Exchanged(Box::new(result))).ok();
        });
    }

    /// Handles the result of an exchange. After a failed one, the worker gets no new tasks until it
    /// answers again.
    pub(super) fn handle_exchange(&mut self, result: ExchangeResult) {
        let now = self.now();
        let ExchangeResult { answer, .. } = &result;
        let answer = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.context.metrics.count(names::WORKERS_NO_ANSWER);
                if let Some(link) = self.links.get_mut(&result.worker) {
                    link.record_failure(now);
                }
                if error.is_without_effect() {
                    self.end_undelivered_starts(&result.worker, &result.starts);
                }
                self.update_view(&result.worker);
                return;
            }
        };
        if let Some(epoch) = answer.superseded_by {
            if epoch > self.claim.epoch {
                self.step_down(epoch);
            } else if let Some(link) = self.links.get_mut(&result.worker) {
                link.record_failure(now);
            }
            return;
        }
        if answer.report.worker != result.worker {
            // Another worker listens at the address in the inventory.
            self.context.metrics.count(names::WORKERS_WRONG_NAME);
            if let Some(link) = self.links.get_mut(&result.worker) {
                link.record_failure(now);
            }
            return;
        }
        self.record_answer(&result, answer, now);
        if result.is_fence {
            self.handle_fence_report(&result.worker, &answer.report, now);
        } else {
            self.handle_report(&result, answer, now);
        }
        self.update_view(&result.worker);
    }

    /// Records refused starts, the clock reading and the condition of the worker; a new incarnation
    /// ends the attempts of the old one.
    fn record_answer(&mut self, result: &ExchangeResult, answer: &CommandAnswer, now: Millis) {
        let worker = &result.worker;
        for refused in &answer.refused {
            self.handle_refused_start(worker, refused);
        }
        let report = &answer.report;
        let check = self
            .leases
            .record_reply(worker, report.incarnation, report.clock_ms, now);
        if let Some(link) = self.links.get_mut(worker) {
            link.record_answer(now);
            link.reported_capacity = Some(report.capacity);
            link.reports_leaving = report.leaving;
            for attempt in &result.acknowledged {
                link.acknowledged.remove(attempt);
            }
            if matches!(
                check,
                IncarnationCheck::First | IncarnationCheck::Restarted(_)
            ) {
                link.incarnation_learned_at = now;
                link.confirmed_incarnation = None;
            }
        }
        if let IncarnationCheck::Restarted(lost) = check {
            log::info!("{}: worker {worker} has restarted", self.claim.unit);
            self.context.metrics.count(names::WORKERS_RESTARTS);
            self.end_lost_attempts(worker, lost);
        }
    }

    /// Ends the attempt of a refused start. It has not run, unless the start was also sent before
    /// and an earlier process of the worker may have received it.
    fn handle_refused_start(&mut self, worker: &WorkerId, refused: &RefusedStart) {
        let link = self.links.get(worker);
        let sends = link.and_then(|link| Some(link.starts.get(&refused.attempt)?.sends));
        let result = match (refused.reason, sends) {
            (StartRefusal::OtherIncarnation, Some(2..)) => AttemptResult::Lost,
            (_, Some(_)) => AttemptResult::NotStarted,
            (_, None) => return,
        };
        self.context.metrics.count(names::STARTS_REFUSED);
        self.end_attempt(&refused.attempt, result, false);
    }

    /// Ends the attempts whose starts certainly did not reach their worker.
    fn end_undelivered_starts(&mut self, worker: &WorkerId, starts: &[AttemptId]) {
        for attempt in starts {
            let link = self.links.get(worker);
            let sends = link.and_then(|link| Some(link.starts.get(attempt)?.sends));
            if sends == Some(1) {
                self.end_attempt(attempt, AttemptResult::NotStarted, false);
            }
        }
    }

    fn handle_report(&mut self, result: &ExchangeResult, answer: &CommandAnswer, now: Millis) {
        for report in &answer.report.attempts {
            self.handle_attempt_report(&result.worker, report, now);
        }
        if answer.report.full {
            self.end_missing_attempts(result, answer, now);
        }
    }

    fn handle_attempt_report(&mut self, worker: &WorkerId, report: &AttemptReport, now: Millis) {
        let is_ours = self
            .attempts
            .get(&report.attempt)
            .is_some_and(|known| known.worker == *worker);
        match report.state {
            AttemptState::Ended(end) if is_ours => {
                self.end_attempt(&report.attempt, attempt_result(end), true);
            }
            AttemptState::Ended(_) => self.acknowledge_now(worker, &report.attempt),
            AttemptState::Running | AttemptState::Throttled if is_ours => {
                self.engine.observe_usage(&report.attempt, report.usage);
                if let Some(link) = self.links.get_mut(worker) {
                    link.record_started(&report.attempt, report.ran_ms, now);
                }
            }
            AttemptState::Running | AttemptState::Throttled => {
                // The owner has given the attempt up, for example after its lease had expired.
                if let Some(link) = self.links.get_mut(worker) {
                    link.set_order(&report.attempt, AttemptOrder::Stop);
                    link.record_running(&report.attempt, now);
                }
            }
        }
    }

    /// Ends attempts as lost that should be on the worker but are missing from its full report. A
    /// worker forgets an ended attempt only after its acknowledgement, so its process must have
    /// been replaced, or it violates the protocol.
    fn end_missing_attempts(
        &mut self,
        result: &ExchangeResult,
        answer: &CommandAnswer,
        now: Millis,
    ) {
        let Some(link) = self.links.get_mut(&result.worker) else {
            return;
        };
        link.record_full_report(now);
        let reported = |id: &AttemptId| answer.report.attempts.iter().any(|it| it.attempt == *id);
        let unsent = &self.starts_awaiting_intent;
        let expected = self.leases.attempts_on(&result.worker);
        let missing: Vec<AttemptId> = expected
            .filter(|id| !link.starts.contains_key(*id) && !unsent.contains_key(*id))
            .filter(|id| !reported(id))
            .cloned()
            .collect();
        for attempt in missing {
            self.context.metrics.count(names::ATTEMPTS_MISSING);
            self.end_attempt(&attempt, AttemptResult::Lost, false);
        }
    }

    /// Allows a worker to forget an ended attempt, unless its end is still being appended to the
    /// journal.
    pub(super) fn acknowledge_now(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        if self.unwritten_ends.contains(attempt) {
            return;
        }
        if let Some(link) = self.links.get_mut(worker) {
            link.forget(attempt);
            link.acknowledged.insert(attempt.clone());
        }
    }

    /// Ends attempts that can no longer run on a worker and whose result is not known.
    pub(super) fn end_lost_attempts(&mut self, worker: &WorkerId, lost: Vec<AttemptId>) {
        for attempt in lost {
            let link = self.links.get(worker);
            let sends = link.and_then(|link| Some(link.starts.get(&attempt)?.sends));
            let result = match sends {
                Some(0) => AttemptResult::NotStarted,
                None if self.starts_awaiting_intent.contains_key(&attempt) => {
                    AttemptResult::NotStarted
                }
                _ => AttemptResult::Lost,
            };
            self.end_attempt(&attempt, result, false);
        }
    }

    /// Ends attempts that were stopped before their start was sent.
    fn end_unsent_stops(&mut self) {
        let unsent: Vec<AttemptId> = self
            .links
            .values()
            .flat_map(WorkerLink::unsent_stops)
            .collect();
        for attempt in unsent {
            self.end_attempt(&attempt, AttemptResult::NotStarted, false);
        }
    }

    /// Updates the capacity and the condition of a worker in the placement engine.
    pub(super) fn update_view(&mut self, worker: &WorkerId) {
        let fenced = self.tracker.is_fenced(worker) && !self.early_reports.contains_key(worker);
        let reading = self.leases.newest_reading(worker);
        let Some(link) = self.links.get_mut(worker) else {
            return;
        };
        let view = WorkerView {
            worker: worker.clone(),
            rack: link.rack.clone(),
            capacity: link.usable_capacity(),
            condition: link.condition(fenced, reading.map(|reading| reading.incarnation)),
        };
        if link.view.as_ref() != Some(&view) {
            link.view = Some(view.clone());
            self.engine.upsert_worker(view);
            self.placement_due = true;
        }
    }
}

/// Converts the end that a worker reports.
pub(super) fn attempt_result(end: AttemptEnd) -> AttemptResult {
    match end {
        AttemptEnd::Succeeded => AttemptResult::Succeeded,
        AttemptEnd::Failed => AttemptResult::Failed,
        AttemptEnd::Stopped | AttemptEnd::LeaseExpired | AttemptEnd::Checkpointed => {
            AttemptResult::Interrupted
        }
    }
}
