//! Callers: served here when this daemon owns the cell, otherwise through the owner.

use std::sync::Arc;
use std::time::Duration;

use magnolia_types::Millis;

use crate::callers::{CallerAnswer, CallerCall, CallerRequest, ServeOutcome};
use crate::inner::{InnerCall, InnerReply};
use crate::node::CellNode;

/// Time without an owner after which a request that was not passed on is refused: a change of
/// owner takes less, and the caller can try another daemon in time.
const OWNER_WAIT: Millis = Millis::new(1500);
/// When callers come back after there was no owner.
const OWNER_RETRY: Millis = Millis::new(1000);
/// Longest single try to pass a request to the owner.
const FORWARD_LIMIT: Duration = Duration::from_millis(2500);
/// Time kept for the way back of an answer.
const ANSWER_MARGIN: Millis = Millis::new(50);

impl CellNode {
    /// Serves a caller: here when this daemon owns the cell, otherwise through the owner.
    pub async fn serve_caller(self: &Arc<Self>, call: CallerCall) -> CallerAnswer {
        let started = self.clock.now();
        let deadline = started
            .saturating_add(call.time_left)
            .saturating_sub(ANSWER_MARGIN);
        let mut passed_on = false;
        loop {
            let now = self.clock.now();
            let waited = now.saturating_sub(started);
            if now >= deadline || (!passed_on && waited > OWNER_WAIT) {
                return give_up(&call.request, passed_on);
            }
            let left = deadline.saturating_sub(now);
            match self.try_owner(&call.request, left, &mut passed_on).await {
                Some(answer) => return answer,
                None => self.owner_changed(deadline).await,
            }
        }
    }

    /// Waits for another owner, or a moment.
    async fn owner_changed(&self, deadline: Millis) {
        let pause = Duration::from_millis(40);
        let left = deadline.saturating_sub(self.clock.now());
        let mut view = self.cell.subscribe();
        let _changed = tokio::time::timeout(pause.min(left.into()), view.changed()).await;
    }

    /// Passes a request to the owner once; `None` when it has to be passed on again.
    async fn try_owner(
        self: &Arc<Self>,
        request: &CallerRequest,
        left: Millis,
        passed_on: &mut bool,
    ) -> Option<CallerAnswer> {
        if let Some(session) = self.session() {
            let limit = left.into();
            let outcome = tokio::time::timeout(limit, session.serve(request, left)).await;
            return match outcome {
                Ok(ServeOutcome::Answered(answer)) => Some(answer),
                Ok(ServeOutcome::Elsewhere) => None,
                Ok(ServeOutcome::Unsettled) | Err(_) => {
                    *passed_on = true;
                    None
                }
            };
        }
        let claim = self.cell.borrow().owner.clone()?;
        if claim.member.incarnation == self.incarnation {
            return None;
        }
        let call = InnerCall::Caller(CallerCall {
            request: request.clone(),
            time_left: left,
        });
        let limit = FORWARD_LIMIT.min(left.into());
        let reply = self
            .peers
            .call(claim.member.address, &call, limit, FORWARD_LIMIT)
            .await;
        match reply {
            Ok(InnerReply::Caller(answer)) => Some(answer),
            Ok(InnerReply::NotOwner) => None,
            Ok(InnerReply::Unsettled) => {
                *passed_on = true;
                None
            }
            Ok(other) => {
                log::warn!(reply:? = other; "unexpected reply to a caller's request");
                None
            }
            Err(error) => {
                *passed_on |= !error.is_not_sent();
                self.owner_lost.notify_one();
                log::debug!(owner:% = claim.member.name, error:% = error; "request not passed on");
                None
            }
        }
    }
}

/// Returns the final answer when no owner can be asked in time.
fn give_up(request: &CallerRequest, passed_on: bool) -> CallerAnswer {
    match request {
        // A submission that may have reached an owner may have been stored by it.
        CallerRequest::Submit { .. } if passed_on => CallerAnswer::Undetermined,
        CallerRequest::Cancel { .. } if passed_on => CallerAnswer::Undetermined,
        _ => CallerAnswer::Unavailable {
            retry_after: OWNER_RETRY,
        },
    }
}
