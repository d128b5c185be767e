//! Route of quick requests.

use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_protocol::{JobOperation, JobReply, QuickOutcome};
use magnolia_types::{QuickSpec, RequestId, ResultCode};
use serde_json::json;

use super::checks::{check_phase, check_quick};
use super::handler::CallerRequest;
use super::key_routing::partition_of_key;
use super::request::{Refusal, parse_json, refuse};
use crate::context::DaemonContext;
use crate::{partition, quick};

/// Answers `POST /v1/requests`: runs a quick request and returns its answer.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn run(
    context: &DaemonContext,
    request: &CallerRequest,
) -> Result<HttpResponse, Refusal> {
    let spec: QuickSpec = parse_json(&request.body)?;
    check_phase(context)?;
    let config = context.config();
    if let Some(document) = &config.document {
        check_quick(document, &spec)?;
    }
    let id = format!("{}-{:016x}", context.identity.daemon, rand::random::<u64>());
    let id = RequestId::new(&id)
        .map_err(|_| refuse(ResultCode::Internal, "the request id is too long"))?;
    let outcome = match spec.repeatable {
        true => quick::run_request(context, id.clone(), spec).await,
        false => run_once(context, id.clone(), spec).await?,
    };
    Ok(match outcome.code {
        ResultCode::Ok => json_response(200, &json!({"request": id, "answer": outcome.text})),
        code => error_response(code, &outcome.text),
    })
}

/// Runs a request that is not repeatable through the partition of its idempotency key, which
/// records the intent before it sends the request.
async fn run_once(
    context: &DaemonContext,
    request: RequestId,
    spec: QuickSpec,
) -> Result<QuickOutcome, Refusal> {
    let key = spec.idempotency_key.as_ref().ok_or_else(|| {
        refuse(
            ResultCode::KeyRequired,
            "idempotency_key: the key is missing",
        )
    })?;
    let partition = partition_of_key(context, &spec.customer, key, spec.repeatable)?;
    let operation = JobOperation::RunOnce { request, spec };
    match partition::run_operation(context, &partition, operation).await {
        JobReply::Once(outcome) => Ok(outcome),
        JobReply::Refused { code, message } => Err(refuse(code, &message)),
        _ => Err(refuse(
            ResultCode::OutcomeUnknown,
            "the owner of the key sent another reply",
        )),
    }
}
