//! Jobs.

use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_protocol::{JobOperation, JobReply};
use magnolia_types::{JobId, JobSpec, Millis, ResultCode};

use super::handler::CallerRequest;
use super::request::{parse_json, query_pairs};
use crate::context::DaemonContext;
use crate::partition;

/// Wait when the caller names none.
const DEFAULT_WAIT: Millis = Millis::from_secs(30);

/// Answers `POST /v1/jobs`.
pub async fn submit(context: &DaemonContext, request: &CallerRequest) -> HttpResponse {
    let spec: JobSpec = match parse_json(&request.body) {
        Ok(spec) => spec,
        Err(response) => return *response,
    };
    let partitions = context
        .with_document(|document| document.partitions())
        .unwrap_or_default();
    let Some(partition) = partitions.first() else {
        return error_response(ResultCode::NoConfiguration, "the inventory has no workers");
    };
    let Ok(job) = JobId::new_in(partition, rand::random()) else {
        return error_response(ResultCode::Internal, "the job id is too long");
    };
    let operation = JobOperation::Submit { job, spec };
    respond(partition::run_operation(context, partition, operation).await)
}

/// Answers `GET /v1/jobs/{id}`.
pub async fn get(context: &DaemonContext, job: &str) -> HttpResponse {
    run_on_job(context, job, |job| JobOperation::Get { job }).await
}

/// Answers `GET /v1/jobs/{id}/wait`.
pub async fn wait(context: &DaemonContext, job: &str, request: &CallerRequest) -> HttpResponse {
    let pairs = query_pairs(request.query.as_deref());
    let timeout_ms = match pairs.get("timeout_ms").map(|text| text.parse()) {
        Some(Ok(timeout)) => timeout,
        Some(Err(error)) => return error_response(ResultCode::BadRequest, &format!("{error}")),
        None => DEFAULT_WAIT,
    };
    run_on_job(context, job, |job| JobOperation::Wait { job, timeout_ms }).await
}

async fn run_on_job(
    context: &DaemonContext,
    job: &str,
    operation: impl FnOnce(JobId) -> JobOperation,
) -> HttpResponse {
    let Ok(job) = JobId::new(job) else {
        return error_response(ResultCode::BadRequest, "malformed job id");
    };
    let Some(partition) = job.partition().map(str::to_owned) else {
        return error_response(ResultCode::NotFound, "no such job");
    };
    respond(partition::run_operation(context, &partition, operation(job)).await)
}

fn respond(reply: JobReply) -> HttpResponse {
    match reply {
        JobReply::Job(view) => json_response(200, &view),
        JobReply::Jobs(views) => json_response(200, &views),
        JobReply::Explanation(lines) => json_response(200, &lines),
        JobReply::Once(outcome) => error_response(outcome.code, &outcome.text),
        JobReply::Refused { code, message } => error_response(code, &message),
    }
}
