//! Runs quick requests on the executors of a group that this daemon owns.

use std::sync::Arc;

use magnolia_backing::{BackingError, ExecuteAnswer, ExecuteCall, ExecutorClient};
use magnolia_policy::{AdmissionEntry, AdmissionTicket};
use magnolia_protocol::{QuickForward, QuickOutcome};
use magnolia_state::RequestState;
use magnolia_types::{ExecutorId, Millis, Ran, ResultCode, UnitId};
use tokio::sync::oneshot;

use super::executor_slots::SlotEnd;
use super::group::ExecutorGroup;
use super::group_state::SlotGrant;
use super::outcome::outcome;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Reason of a refusal while the claim is not confirmed.
const NOT_CONFIRMED: &str = "the ownership of the group is not confirmed";

/// Runs a request on an executor of a group that this daemon owns.
pub async fn run_in_group(context: &DaemonContext, forward: &QuickForward) -> QuickOutcome {
    let unit = UnitId::new_group(&forward.group).ok();
    let Some(group) = unit.and_then(|unit| context.groups.get(&unit)) else {
        return outcome(ResultCode::NotOwner, "this daemon does not own the group");
    };
    let arrived = context.clock.now();
    let group_request = GroupRequest {
        context,
        group: &group,
        forward,
        entry: AdmissionEntry {
            ticket: 0,
            customer: forward.spec.customer.clone(),
            class: forward.spec.class.clone(),
            arrived,
            deadline: arrived.saturating_add(forward.spec.deadline_ms),
        },
    };
    let mut result = group_request.run().await;
    result.free_slots = group.state().free(context.clock.now());
    result
}

/// One request at the owner of a group.
struct GroupRequest<'a> {
    context: &'a DaemonContext,
    group: &'a Arc<ExecutorGroup>,
    forward: &'a QuickForward,
    entry: AdmissionEntry,
}

impl GroupRequest<'_> {
    /// Runs attempts until one is answered, or until no further one is allowed or possible.
    async fn run(&self) -> QuickOutcome {
        let mut state = RequestState::new(self.forward.spec.repeatable);
        let mut last = outcome(ResultCode::NoBackend, "no executor took the request");
        while state.queue().is_ok() {
            let lease = match self.wait_for_slot().await {
                Ok(lease) => lease,
                // Not returned if an earlier attempt may have run: the refusal would hide that.
                Err(refusal) if state.give_up() == Ran::No => return refusal,
                Err(_) => return last,
            };
            if let Err(refusal) = self.check_may_send().await {
                lease.release_unused();
                return if state.give_up() == Ran::No {
                    refusal
                } else {
                    last
                };
            }
            if state.send().is_err() {
                lease.release_unused();
                break;
            }
            let executor = lease.executor.clone();
            last = self.execute(lease).await;
            let recorded = match last.code.ran() {
                Ran::Yes => state.attempt_answered(),
                Ran::No => state.attempt_refused(),
                Ran::Unknown => state.attempt_lost(),
            };
            if recorded.is_err() || last.code.ran() == Ran::Yes || !self.may_retry(&executor) {
                break;
            }
        }
        // An earlier attempt may have run, which the last refusal would hide.
        if state.give_up() == Ran::Unknown && last.code.ran() == Ran::No {
            return outcome(ResultCode::OutcomeUnknown, &last.text);
        }
        last
    }

    /// Takes a retry from the budget of an executor; `false` after the deadline or without budget.
    fn may_retry(&self, executor: &ExecutorId) -> bool {
        let in_time = self.context.clock.now() < self.entry.deadline;
        let granted = in_time && self.group.state().retry_budget(executor).try_retry();
        if in_time {
            let name = if granted {
                names::QUICK_EXECUTOR_RETRIES
            } else {
                names::QUICK_EXECUTOR_RETRIES_DENIED
            };
            self.context.metrics.count(name);
        }
        granted
    }

    /// Confirms the claim if needed; fails if this daemon may not send to the executors now.
    async fn check_may_send(&self) -> Result<(), QuickOutcome> {
        let left = self.entry.deadline.saturating_sub(self.context.clock.now());
        let confirmed = self
            .context
            .ensure_recently_confirmed(&self.group.claim.unit);
        let confirmed = tokio::time::timeout(left.into(), confirmed).await;
        if confirmed.is_err() || !self.group.may_send() {
            self.context.metrics.count(names::QUICK_NOT_FRESH);
            return Err(outcome(ResultCode::NotOwner, NOT_CONFIRMED));
        }
        if self.context.clock.now() >= self.entry.deadline {
            let text = "the deadline passed before the request was sent";
            return Err(outcome(ResultCode::DeadlineExceeded, text));
        }
        Ok(())
    }

    /// Puts the request into the queue of the group.
    fn queue(&self) -> Result<QueueTicket, QuickOutcome> {
        let now = self.context.clock.now();
        let mut state = self.group.state();
        if state.closed {
            let text = "the owner of the group is stopping";
            return Err(outcome(ResultCode::Draining, text));
        }
        let (ticket, granted) = state
            .offer(now, self.entry.clone())
            .map_err(|(code, reason)| outcome(code, &reason))?;
        state.grant_slots(now);
        Ok(QueueTicket {
            group: Arc::clone(self.group),
            ticket,
            granted: Some(granted),
        })
    }

    /// Waits in the queue for a slot. Dropping the future withdraws the request.
    async fn wait_for_slot(&self) -> Result<SlotLease, QuickOutcome> {
        let queue_ticket = self.queue()?;
        match queue_ticket.wait().await {
            Some(Ok(executor)) => Ok(SlotLease {
                group: Arc::clone(self.group),
                executor,
                end: Some(SlotEnd::Lost),
            }),
            Some(Err((code, reason))) => Err(outcome(code, &reason)),
            None => Err(outcome(ResultCode::NotOwner, "the group was stopped")),
        }
    }

    /// Sends the request in a task of its own, which continues when the caller disconnects, so that
    /// the slot counts as held until the executor has answered.
    async fn execute(&self, lease: SlotLease) -> QuickOutcome {
        let started = self.context.clock.now();
        let address = {
            let mut state = self.group.state();
            state.retry_budget(&lease.executor).record_request();
            state.executor(&lease.executor).map(|slots| slots.address)
        };
        let Some(address) = address else {
            lease.release_unused();
            return outcome(ResultCode::NoBackend, "the executor was removed");
        };
        let call = ExecuteCall {
            request: self.forward.request.clone(),
            body: Arc::clone(&self.forward.spec.body),
            remaining: self.entry.deadline.saturating_sub(started),
        };
        let executors = Arc::clone(&self.context.executors);
        let entry = self.entry.clone();
        let exchange = tokio::spawn(async move {
            // Checked again: the process may have been paused since the check before this task.
            if !lease.group.may_send() {
                lease.release_unused();
                return outcome(ResultCode::NotOwner, NOT_CONFIRMED);
            }
            let result = execute(&*executors, address, &call).await;
            lease.finish(result.0, &entry, started);
            result.1
        });
        exchange
            .await
            .unwrap_or_else(|_| outcome(ResultCode::OutcomeUnknown, "the exchange failed"))
    }
}

/// Calls an executor; returns how the request ended for its slot, and the outcome for the caller.
async fn execute(
    executors: &dyn ExecutorClient,
    address: std::net::SocketAddr,
    call: &ExecuteCall,
) -> (SlotEnd, QuickOutcome) {
    match executors.execute(address, call).await {
        Ok(ExecuteAnswer::Answered(text)) => (SlotEnd::Answered, outcome(ResultCode::Ok, &text)),
        Ok(ExecuteAnswer::Failed(text)) => {
            (SlotEnd::Failed, outcome(ResultCode::WorkFailed, &text))
        }
        Ok(ExecuteAnswer::NotRun(text)) => {
            (SlotEnd::Refused, outcome(ResultCode::NoBackend, &text))
        }
        Err(error) if error.is_without_effect() => (
            end_without_effect(&error),
            outcome(ResultCode::NoBackend, &error.to_string()),
        ),
        Err(error) => (
            SlotEnd::Lost,
            outcome(ResultCode::OutcomeUnknown, &error.to_string()),
        ),
    }
}

/// Returns how a request that had no effect at the executor ended for its slot.
fn end_without_effect(error: &BackingError) -> SlotEnd {
    match error {
        BackingError::Transport(_) => SlotEnd::NotSent,
        BackingError::Refused { .. } => SlotEnd::Refused,
    }
}

/// A request in the queue of a group; withdrawn when dropped before it gets a slot.
struct QueueTicket {
    group: Arc<ExecutorGroup>,
    ticket: AdmissionTicket,
    granted: Option<oneshot::Receiver<SlotGrant>>,
}

impl QueueTicket {
    /// Waits for a slot or a refusal; returns `None` if the group was dropped.
    async fn wait(mut self) -> Option<SlotGrant> {
        let granted = self.granted.as_mut()?;
        let grant = granted.await.ok();
        self.granted = None;
        grant
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let Some(mut granted) = self.granted.take() else {
            return;
        };
        // The caller disconnected: leaves the queue, or releases a slot that was just granted.
        let mut state = self.group.state();
        state.withdraw(self.ticket);
        if let Ok(Ok(executor)) = granted.try_recv() {
            if let Some(slots) = state.executor(&executor) {
                slots.release_unused();
            }
            state.grant_slots(self.group.clock.now());
        }
    }
}

/// A slot of an executor. Its request counts as lost if the lease is dropped before `finish` or
/// `release_unused`.
struct SlotLease {
    group: Arc<ExecutorGroup>,
    executor: ExecutorId,
    /// How the request ended; `None` if nothing was sent.
    end: Option<SlotEnd>,
}

impl SlotLease {
    /// Releases the slot without a request having been sent.
    fn release_unused(mut self) {
        self.end = None;
    }

    /// Releases the slot after its request ended, and records how long the request held it.
    fn finish(mut self, end: SlotEnd, entry: &AdmissionEntry, started: Millis) {
        let now = self.group.clock.now();
        let elapsed = now.saturating_sub(started);
        self.group.state().record_service_time(now, entry, elapsed);
        self.end = Some(end);
    }
}

impl Drop for SlotLease {
    fn drop(&mut self) {
        let now = self.group.clock.now();
        let mut state = self.group.state();
        if let Some(slots) = state.executor(&self.executor) {
            match self.end {
                Some(end) => slots.finish(end, now),
                None => slots.release_unused(),
            }
        }
        state.grant_slots(now);
    }
}
