//! Chooses the executor group of a request and passes it to the owner.

use std::sync::Arc;

use magnolia_protocol::{PeerReply, PeerRequest, QuickForward, QuickOutcome};
use magnolia_types::{QuickSpec, RequestId, ResultCode, UnitId};

use super::group::run_in_group;
use crate::context::DaemonContext;

/// Runs a request and returns what came of it.
pub async fn run_request(
    context: &DaemonContext,
    request: RequestId,
    spec: QuickSpec,
) -> QuickOutcome {
    let units = context
        .with_document(|document| document.units())
        .unwrap_or_default();
    let groups: Vec<UnitId> = units
        .into_iter()
        .filter(|unit| unit.group().is_some())
        .collect();
    if groups.is_empty() {
        return refusal(ResultCode::NoBackend, "the inventory has no executors");
    }
    let chosen = &groups[rand::random_range(0..groups.len())];
    let name: Arc<str> = chosen.group().unwrap_or_default().into();
    let forward = QuickForward {
        request,
        group: name,
        spec,
    };
    let Some(claim) = context.claims.get(chosen) else {
        return refusal(ResultCode::NoOwner, "no daemon owns the executor group yet");
    };
    if claim.daemon == context.identity.daemon {
        return run_in_group(context, &forward).await;
    }
    let limit = forward.spec.deadline_ms.into();
    match context
        .call_peer(claim.address, PeerRequest::Quick(forward), limit)
        .await
    {
        Ok(reply) => match reply.body {
            PeerReply::Quick(outcome) => outcome,
            PeerReply::Refused { code, message } => refusal(code, &message),
            _ => refusal(ResultCode::OutcomeUnknown, "the owner sent another reply"),
        },
        Err(error) if error.is_not_sent() => {
            refusal(ResultCode::OwnerUnreachable, &error.to_string())
        }
        Err(error) => refusal(ResultCode::OutcomeUnknown, &error.to_string()),
    }
}

fn refusal(code: ResultCode, text: &str) -> QuickOutcome {
    QuickOutcome {
        code,
        text: text.into(),
        free_slots: 0,
    }
}
