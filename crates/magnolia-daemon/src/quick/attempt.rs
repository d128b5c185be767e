//! One attempt to run a request at the owner of a group.

use std::time::{Duration, Instant};

use magnolia_protocol::{PeerReply, PeerRequest, QuickForward, QuickOutcome};
use magnolia_state::ClaimRecord;
use magnolia_types::{Millis, ResultCode};

use super::group_runner::run_in_group;
use super::outcome::outcome;
use crate::context::DaemonContext;

/// Time beyond the deadline in which the owner's own refusal may still arrive, so that it is not
/// reported as an unknown outcome.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Runs a request at the owner under `claim`, here or at a peer.
pub async fn attempt(
    context: &DaemonContext,
    claim: &ClaimRecord,
    forward: QuickForward,
    is_first: bool,
) -> QuickOutcome {
    let started = Instant::now();
    let _permit = context.entry.start(&claim.unit, is_first);
    let (outcome, heard) = if claim.daemon == context.identity.daemon {
        (run_in_group(context, &forward).await, true)
    } else {
        context.members.note_interest(&claim.daemon);
        forward_to_owner(context, claim, forward).await
    };
    if heard {
        let took = (outcome.code == ResultCode::Ok).then(|| started.elapsed());
        let now = context.clock.now();
        context
            .entry
            .record(&claim.unit, outcome.free_slots, took, now);
    }
    if outcome.code == ResultCode::Draining && claim.daemon != context.identity.daemon {
        context
            .members
            .with_tracker(|tracker| tracker.record_draining(&claim.daemon, true));
    }
    outcome
}

/// Calls the owner; also tells whether it replied.
async fn forward_to_owner(
    context: &DaemonContext,
    claim: &ClaimRecord,
    forward: QuickForward,
) -> (QuickOutcome, bool) {
    let limit = Duration::from(forward.spec.deadline_ms) + REPLY_MARGIN;
    let request = PeerRequest::Quick(forward);
    match context.call_peer(claim.address, request, limit).await {
        Ok(reply) => match reply.body {
            PeerReply::Quick(outcome) => (outcome, true),
            PeerReply::Refused { code, message } => (outcome(code, &message), false),
            _ => {
                let text = "the owner sent another reply";
                (outcome(ResultCode::OutcomeUnknown, text), false)
            }
        },
        Err(error) => {
            let code = if error.is_not_sent() {
                ResultCode::OwnerUnreachable
            } else {
                ResultCode::OutcomeUnknown
            };
            (outcome(code, &error.to_string()), false)
        }
    }
}

/// Returns the time left until `deadline`.
pub fn time_left(context: &DaemonContext, deadline: Millis) -> Millis {
    deadline.saturating_sub(context.clock.now())
}
