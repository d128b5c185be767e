//! Appends to the journal and what follows from their results, and the drain before a handover.

use std::sync::Arc;

use bytes::Bytes;
use magnolia_protocol::Handover;
use magnolia_state::{AttemptResult, split_snapshot};
use magnolia_types::{AttemptId, LogOffset, Millis, ResultCode};
use serde_bytes::ByteBuf;
use tokio::sync::oneshot;

use super::committer::{AppendResult, CommitAction, CommitOutcome};
use super::events::{JournalWaiter, OwnerEvent};
use super::opening::read_page;
use super::owner::{DrainState, OwnerPhase, PartitionOwner};
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum time that a drain waits for messages and appends in flight.
const MAX_DRAIN_TIME: Millis = Millis::from_secs(5);

impl PartitionOwner {
    /// Starts the call of the log that is due, if any.
    pub(super) fn continue_journal(&mut self) {
        if matches!(self.phase, OwnerPhase::Opening) {
            return;
        }
        let now = self.now();
        if self.is_serving() && self.committer.is_snapshot_due(now) {
            self.take_snapshot(now);
        }
        let flush = matches!(self.phase, OwnerPhase::Draining(_));
        let Some(action) = self.committer.poll(now, flush) else {
            return;
        };
        let (context, events) = (Arc::clone(&self.context), self.events.clone());
        let stream = Arc::clone(&self.stream);
        let next = self.committer.next_offset();
        tokio::spawn(async move {
            let event = run_commit_action(&context, &stream, action, next).await;
            events.send(event).ok();
        });
    }

    fn take_snapshot(&mut self, now: Millis) {
        match self.table.to_snapshot() {
            Ok(bytes) => {
                self.snapshot_number += 1;
                let parts = split_snapshot(self.snapshot_number, &bytes);
                self.committer.begin_snapshot(parts, now);
            }
            Err(error) => log::error!(
                "{}: the snapshot cannot be encoded: {error}",
                self.claim.unit
            ),
        }
    }

    /// Continues the work of waiters whose entries were written or refused.
    pub(super) fn handle_commit_outcome(&mut self, outcome: CommitOutcome<JournalWaiter>) {
        match outcome {
            CommitOutcome::Nothing => {}
            CommitOutcome::Written(waiters) => {
                self.context.metrics.count(names::JOURNAL_APPENDS);
                waiters
                    .into_iter()
                    .for_each(|waiter| self.entry_written(waiter));
            }
            CommitOutcome::Refused(waiters) => {
                self.context.metrics.count(names::JOURNAL_APPEND_FAILED);
                for waiter in waiters {
                    self.refuse_waiter(
                        waiter,
                        ResultCode::LogUnavailable,
                        "the log does not answer",
                    );
                }
            }
            CommitOutcome::Superseded(epoch) => self.step_down(epoch),
        }
    }

    fn entry_written(&mut self, waiter: JournalWaiter) {
        match waiter {
            JournalWaiter::Submit { job, spec, at } => self.job_accepted(&job, &spec, at),
            JournalWaiter::Once(intent) => self.send_once(*intent),
            JournalWaiter::Start { worker, attempt } => self.intent_written(&worker, &attempt),
            JournalWaiter::Acknowledge { worker, attempt } => {
                self.unwritten_ends.remove(&attempt);
                self.acknowledge_now(&worker, &attempt);
            }
        }
    }

    /// Handles a waiter whose entry is not known to be in the journal.
    pub(super) fn refuse_waiter(&mut self, waiter: JournalWaiter, code: ResultCode, message: &str) {
        match waiter {
            JournalWaiter::Submit { job, spec, .. } => {
                self.job_not_accepted(&job, &spec, code, message);
            }
            JournalWaiter::Once(intent) => {
                // The request was not sent, whether or not the intent was written.
                let code = match code {
                    ResultCode::OutcomeUnknown => ResultCode::NotOwner,
                    code => code,
                };
                self.refuse_once(*intent, code, message);
            }
            JournalWaiter::Start { attempt, .. } => {
                self.end_attempt(&attempt, AttemptResult::NotStarted, false);
            }
            JournalWaiter::Acknowledge { .. } => {}
        }
    }

    /// Begins a drain: from now on, nothing new is accepted, placed or sent.
    pub(super) fn begin_drain(&mut self, reply: oneshot::Sender<Option<Handover>>) {
        if !self.is_serving() {
            reply.send(None).ok();
            return;
        }
        log::info!("{}: draining for a handover", self.claim.unit);
        self.phase = OwnerPhase::Draining(DrainState {
            reply: Some(reply),
            deadline: self.now().saturating_add(MAX_DRAIN_TIME),
            has_snapshot: false,
        });
        let starts = self.links.values().flat_map(|link| &link.starts);
        let unsent = starts.filter(|(_, start)| start.sends == 0);
        let unsent: Vec<AttemptId> = unsent.map(|(attempt, _)| attempt.clone()).collect();
        for attempt in unsent {
            self.end_attempt(&attempt, AttemptResult::NotStarted, false);
        }
    }

    /// Returns the state for the handover and stops, once nothing is in flight or at the deadline.
    pub(super) fn continue_drain(&mut self) {
        let now = self.now();
        let is_quiet = self.links.values().all(|link| !link.is_busy)
            && self.once_running.is_empty()
            && self.starts_awaiting_intent.is_empty();
        let is_written = self.committer.is_idle() || !self.committer.is_healthy();
        let OwnerPhase::Draining(drain) = &mut self.phase else {
            return;
        };
        let is_late = now >= drain.deadline;
        if !(is_late || (is_quiet && is_written)) {
            return;
        }
        if !drain.has_snapshot && self.committer.is_healthy() && !is_late {
            drain.has_snapshot = true;
            self.take_snapshot(now);
            self.continue_journal();
            return;
        }
        let reply = drain.reply.take();
        let handover = self.table.to_snapshot().ok().map(|bytes| Handover {
            unit: self.claim.unit.clone(),
            epoch: self.claim.epoch,
            next: self.committer.next_offset(),
            snapshot: ByteBuf::from(bytes),
        });
        self.phase = OwnerPhase::Stopped;
        if let Some(reply) = reply {
            // From here on, this owner sends nothing more.
            reply.send(handover).ok();
        }
    }
}

/// Makes a call of the log and returns its result as an event.
async fn run_commit_action(
    context: &DaemonContext,
    stream: &str,
    action: CommitAction,
    next: LogOffset,
) -> OwnerEvent {
    match action {
        CommitAction::Append(data) => match context.log.append(stream, data).await {
            Ok(offset) => OwnerEvent::Appended(AppendResult::Acknowledged(offset)),
            Err(error) if error.is_without_effect() => {
                OwnerEvent::Appended(AppendResult::NotWritten)
            }
            Err(_) => OwnerEvent::Appended(AppendResult::Unknown),
        },
        CommitAction::ReadGap(from, to) => {
            OwnerEvent::GapRead(read_gap(context, stream, from, to).await)
        }
        CommitAction::Probe => {
            let page = context.log.read(stream, next, Millis::new(0), 1).await;
            OwnerEvent::Probed(page.is_ok())
        }
    }
}

async fn read_gap(
    context: &DaemonContext,
    stream: &str,
    from: LogOffset,
    to: LogOffset,
) -> Option<Vec<Bytes>> {
    let mut found = Vec::new();
    let mut next = from;
    while next < to {
        let records = read_page(context, stream, next, to).await?;
        let Some((last, _)) = records.last() else {
            break;
        };
        next = last.saturating_add(LogOffset::new(1));
        found.extend(records.into_iter().map(|(_, data)| data));
    }
    Some(found)
}
