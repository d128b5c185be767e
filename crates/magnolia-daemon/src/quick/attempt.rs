//! Sends one attempt of a quick request to the owner of an executor group.

use std::time::{Duration, Instant};

use magnolia_protocol::{PeerReply, PeerRequest, QuickForward, QuickOutcome};
use magnolia_state::ClaimRecord;
use magnolia_types::{Millis, ResultCode};

use super::group_runner::run_in_group;
use super::outcome::outcome;
use crate::context::DaemonContext;

/// Time to wait for a reply after the deadline, so that an owner's refusal at the deadline still
/// arrives and is not reported as an unknown outcome.
const REPLY_MARGIN: Duration = Duration::from_millis(50);

/// Runs a request at the owner that `claim` names: the local daemon or a peer. `is_first` tells
/// whether this is the first attempt of the request.
pub async fn attempt(
    context: &DaemonContext,
    claim: &ClaimRecord,
    forward: QuickForward,
    is_first: bool,
) -> QuickOutcome {
    let started = Instant::now();
    let now = context.clock.now();
    context.entry.record_sent(&claim.unit, is_first, now);
    let (outcome, replied) = if claim.daemon == context.identity.daemon {
        (run_in_group(context, &forward).await, true)
    } else {
        context.members.request_probes(&claim.daemon);
        forward_to_owner(context, claim, forward).await
    };
    if replied {
        let round_trip = (outcome.code == ResultCode::Ok).then(|| started.elapsed());
        let now = context.clock.now();
        context
            .entry
            .record_reply(&claim.unit, outcome.free_slots, round_trip, now);
    }
    if outcome.code == ResultCode::Draining && claim.daemon != context.identity.daemon {
        context
            .members
            .with_tracker(|tracker| tracker.record_draining(&claim.daemon, true));
    }
    outcome
}

/// Sends the request to the owner. Returns the outcome and whether the owner replied with one.
async fn forward_to_owner(
    context: &DaemonContext,
    claim: &ClaimRecord,
    forward: QuickForward,
) -> (QuickOutcome, bool) {
    let timeout = Duration::from(forward.spec.deadline_ms) + REPLY_MARGIN;
    let request = PeerRequest::Quick(forward);
    match context.call_peer(claim.address, request, timeout).await {
        Ok(reply) => match reply.body {
            PeerReply::Quick(outcome) => (outcome, true),
            PeerReply::Refused { code, message } => (outcome(code, &message), false),
            _ => {
                let text = "the owner sent another reply";
                (outcome(ResultCode::OutcomeUnknown, text), false)
            }
        },
        Err(error) => {
            let code = if error.is_without_effect() {
                ResultCode::OwnerUnreachable
            } else {
                ResultCode::OutcomeUnknown
            };
            (outcome(code, &error.to_string()), false)
        }
    }
}

/// Returns the time left until `deadline`, or zero after it.
pub fn time_left(context: &DaemonContext, deadline: Millis) -> Millis {
    deadline.saturating_sub(context.clock.now())
}
