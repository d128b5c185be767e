//! Serves callers: in this daemon if it owns the cell, by forwarding to the owner otherwise.

use std::sync::Arc;
use std::time::Duration;

use magnolia_types::Millis;

use crate::callers::{CallerAnswer, CallerRequest, ServeOutcome, TimedCallerRequest};
use crate::node::CellNode;
use crate::peer_messages::{PeerReply, PeerRequest};

/// Time after which a request that reached no owner is refused. A change of owner takes less time,
/// and the caller can still try another daemon.
const NO_OWNER_TIMEOUT: Millis = Millis::new(1500);
/// Time after which callers may retry if there was no owner.
const OWNER_RETRY_AFTER: Millis = Millis::new(1000);
/// Timeout of one try to forward a request to the owner.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(2500);
/// Time reserved before the caller's deadline for returning the answer.
const REPLY_MARGIN: Millis = Millis::new(50);

impl CellNode {
    /// Serves a caller's request, in this daemon or through the owner, until its time is over.
    pub async fn serve_caller(self: &Arc<Self>, timed: TimedCallerRequest) -> CallerAnswer {
        let started = self.clock.now();
        let deadline = started
            .saturating_add(timed.time_left)
            .saturating_sub(REPLY_MARGIN);
        let mut forwarded = false;
        loop {
            let now = self.clock.now();
            let waited = now.saturating_sub(started);
            if now >= deadline || (!forwarded && waited > NO_OWNER_TIMEOUT) {
                return answer_without_owner(&timed.request, forwarded);
            }
            let left = deadline.saturating_sub(now);
            match self.try_owner(&timed, left, &mut forwarded).await {
                Some(answer) => return answer,
                None => self.wait_for_owner_change(deadline).await,
            }
        }
    }

    /// Waits until this daemon reads a change in the cell's stream, at most for the pause between
    /// two tries.
    async fn wait_for_owner_change(&self, deadline: Millis) {
        let pause = Duration::from_millis(40);
        let left = deadline.saturating_sub(self.clock.now());
        let mut view = self.cell.subscribe();
        let _changed = tokio::time::timeout(pause.min(left.into()), view.changed()).await;
    }

    /// Asks the owner once; `None` if the request has to be tried again. Sets `forwarded` if an
    /// owner may have received the request.
    async fn try_owner(
        self: &Arc<Self>,
        timed: &TimedCallerRequest,
        left: Millis,
        forwarded: &mut bool,
    ) -> Option<CallerAnswer> {
        if let Some(session) = self.session() {
            let limit = left.into();
            let outcome = tokio::time::timeout(limit, session.serve(timed, left)).await;
            return match outcome {
                Ok(ServeOutcome::Answered(answer)) => Some(answer),
                Ok(ServeOutcome::NotOwner) => None,
                Ok(ServeOutcome::OwnershipLost) | Err(_) => {
                    *forwarded = true;
                    None
                }
            };
        }
        let claim = self.cell.borrow().owner.clone()?;
        if claim.member.incarnation == self.incarnation {
            return None;
        }
        let message = PeerRequest::Caller(TimedCallerRequest {
            time_left: left,
            ..timed.clone()
        });
        let limit = FORWARD_TIMEOUT.min(left.into());
        let reply = self
            .peers
            .call(claim.member.address, &message, limit, FORWARD_TIMEOUT)
            .await;
        match reply {
            Ok(PeerReply::Caller(answer)) => Some(answer),
            Ok(PeerReply::NotOwner) => None,
            Ok(PeerReply::Unsettled) => {
                *forwarded = true;
                None
            }
            Ok(other) => {
                log::warn!(reply:? = other; "unexpected reply to a forwarded request");
                None
            }
            Err(error) => {
                *forwarded |= !error.is_not_sent();
                self.ping_requested.notify_one();
                log::debug!(owner:% = claim.member.name, error:% = error;
                    "forwarding a request failed");
                None
            }
        }
    }
}

/// Returns the answer for a request that no owner answered in time.
fn answer_without_owner(request: &CallerRequest, forwarded: bool) -> CallerAnswer {
    match request {
        // An owner that received the request may have stored its effect.
        CallerRequest::Submit { .. } if forwarded => CallerAnswer::Undetermined,
        CallerRequest::Cancel { .. } if forwarded => CallerAnswer::Undetermined,
        _ => CallerAnswer::Unavailable {
            retry_after: OWNER_RETRY_AFTER,
        },
    }
}
