//! Routes of jobs: submit, list, get, wait, cancel and explain.

use futures_util::future::join_all;
use magnolia_http::{HttpResponse, error_response, json_response};
use magnolia_protocol::{JobOperation, JobReply, JobView};
use magnolia_types::{CustomerName, JobId, JobSpec, JobState, Millis, Ran, ResultCode};
use serde_json::json;

use super::checks::{check_job, check_phase};
use super::handler::CallerRequest;
use super::key_routing::{partition_of_key, partitions_for_size};
use super::request::{QueryParameters, Refusal, parse_json, refuse};
use crate::context::DaemonContext;
use crate::partition;

/// Default timeout of a wait for a job.
const DEFAULT_WAIT: Millis = Millis::from_secs(30);
/// Maximum timeout of one wait; callers repeat the call to wait longer.
const MAX_WAIT: Millis = Millis::from_secs(300);
/// Default number of jobs in a list.
const DEFAULT_LIMIT: u32 = 100;
/// Maximum number of jobs in a list.
const MAX_LIMIT: u32 = 1000;
/// Maximum number of partitions to which a job is submitted, one after another. The next one is
/// tried only if the one before certainly did not accept the job.
const MAX_SUBMIT_ATTEMPTS: usize = 3;

/// Answers `POST /v1/jobs`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn submit(
    context: &DaemonContext,
    request: &CallerRequest,
) -> Result<HttpResponse, Refusal> {
    let spec: JobSpec = parse_json(&request.body)?;
    check_phase(context)?;
    let config = context.config();
    if let Some(document) = &config.document {
        check_job(document, &spec)?;
    }
    let partitions = match &spec.idempotency_key {
        Some(key) => vec![partition_of_key(
            context,
            &spec.customer,
            key,
            spec.repeatable,
        )?],
        None => partitions_for_size(context, &spec.size)?,
    };
    let mut reply = None;
    for partition in partitions.iter().take(MAX_SUBMIT_ATTEMPTS) {
        let job = JobId::new_in(partition, rand::random())
            .map_err(|_| refuse(ResultCode::Internal, "the job id is too long"))?;
        let operation = JobOperation::Submit {
            job,
            spec: spec.clone(),
        };
        let last = partition::run_operation(context, partition, operation).await;
        let try_next = may_try_next_partition(&last);
        reply = Some(last);
        if !try_next {
            break;
        }
    }
    match reply {
        Some(reply) => respond(reply),
        None => Err(refuse(ResultCode::NoBackend, "there is no partition")),
    }
}

/// Tells whether the partition has no owner that could be reached, and the job was certainly not
/// accepted, so that it may be submitted to another partition.
fn may_try_next_partition(reply: &JobReply) -> bool {
    let no_owner_codes = [
        ResultCode::NoOwner,
        ResultCode::NotOwner,
        ResultCode::OwnerUnreachable,
    ];
    matches!(reply, JobReply::Refused { code, .. } if no_owner_codes.contains(code) && code.ran() == Ran::No)
}

/// Answers `GET /v1/jobs`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn list(
    context: &DaemonContext,
    request: &CallerRequest,
) -> Result<HttpResponse, Refusal> {
    let query = QueryParameters::new(request.query.as_deref(), &["customer", "state", "limit"])?;
    let customer = query.get("customer", "a name", |text| CustomerName::new(text).ok())?;
    let states = "waiting, running, done, failed, cancelled, unknown";
    let state = query.get("state", states, parse_state)?;
    let limit = query.get("limit", "1 to 1000", |text| {
        text.parse()
            .ok()
            .filter(|limit| (1..=MAX_LIMIT).contains(limit))
    })?;
    let limit = limit.unwrap_or(DEFAULT_LIMIT);
    let partitions = context
        .with_document(|document| document.partitions())
        .unwrap_or_default();
    let replies = join_all(partitions.iter().map(|partition| {
        let operation = JobOperation::List {
            customer: customer.clone(),
            state,
            limit,
        };
        partition::run_operation(context, partition, operation)
    }));
    let mut lists: Vec<std::vec::IntoIter<JobView>> = Vec::new();
    let mut missing = Vec::new();
    for (partition, reply) in partitions.iter().zip(replies.await) {
        match reply {
            JobReply::Jobs(views) => lists.push(views.into_iter()),
            JobReply::Refused { code, message } => missing.push(
                json!({"partition": partition, "code": code, "name": code.name(), "message": message}),
            ),
            _ => missing.push(json!({"partition": partition, "message": "another reply came"})),
        }
    }
    let jobs = interleave(lists, limit as usize);
    Ok(json_response(
        200,
        &json!({"jobs": jobs, "missing": missing}),
    ))
}

/// Takes one job from each list in turn, so that a partition with many jobs does not fill the list
/// alone.
fn interleave(mut lists: Vec<std::vec::IntoIter<JobView>>, limit: usize) -> Vec<JobView> {
    let mut jobs = Vec::new();
    while jobs.len() < limit {
        let before = jobs.len();
        jobs.extend(lists.iter_mut().filter_map(Iterator::next));
        if jobs.len() == before {
            break;
        }
    }
    jobs.truncate(limit);
    jobs
}

fn parse_state(text: &str) -> Option<JobState> {
    serde_json::from_value(serde_json::Value::from(text)).ok()
}

/// Answers `GET /v1/jobs/{id}`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn get(context: &DaemonContext, job: &str) -> Result<HttpResponse, Refusal> {
    let job = parse_job_id(context, job)?;
    run_on_job(context, &job, JobOperation::Get { job: job.clone() }).await
}

/// Answers `GET /v1/jobs/{id}/wait`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn wait(
    context: &DaemonContext,
    job: &str,
    request: &CallerRequest,
) -> Result<HttpResponse, Refusal> {
    let query = QueryParameters::new(request.query.as_deref(), &["timeout_ms"])?;
    let timeout = query.get("timeout_ms", "0 to 300000", |text| {
        text.parse().ok().filter(|timeout| *timeout <= MAX_WAIT)
    })?;
    let timeout_ms = timeout.unwrap_or(DEFAULT_WAIT);
    let job = parse_job_id(context, job)?;
    let operation = JobOperation::Wait {
        job: job.clone(),
        timeout_ms,
    };
    tokio::select! {
        answer = run_on_job(context, &job, operation) => answer,
        // A wait would delay a planned stop. The caller gets the current state of the job and may
        // wait again at another daemon.
        () = wait_until_closing(context) => {
            run_on_job(context, &job, JobOperation::Get { job: job.clone() }).await
        }
    }
}

/// Waits until this daemon refuses new work because it is stopping.
async fn wait_until_closing(context: &DaemonContext) {
    let mut closing = context.closing.subscribe();
    closing.wait_for(|is_closing| *is_closing).await.ok();
}

/// Answers `POST /v1/jobs/{id}/cancel`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn cancel(context: &DaemonContext, job: &str) -> Result<HttpResponse, Refusal> {
    let job = parse_job_id(context, job)?;
    let operation = JobOperation::Cancel {
        jobs: vec![job.clone()],
    };
    run_on_job(context, &job, operation).await
}

/// Answers `GET /v1/jobs/{id}/explain`.
///
/// # Errors
///
/// Fails with the refusal to send.
pub async fn explain(context: &DaemonContext, job: &str) -> Result<HttpResponse, Refusal> {
    let job = parse_job_id(context, job)?;
    run_on_job(context, &job, JobOperation::Explain { job: job.clone() }).await
}

/// Parses a job id. An id of a partition that is not in the inventory is refused as not found.
fn parse_job_id(context: &DaemonContext, text: &str) -> Result<JobId, Refusal> {
    let not_found = || refuse(ResultCode::NotFound, "no such job");
    let job = JobId::new(text).map_err(|_| not_found())?;
    let partition = job.partition().ok_or_else(not_found)?;
    let is_known = context.with_document(|document| {
        let mut racks = document.racks.iter();
        racks.any(|rack| &*rack.partition == partition)
    });
    match is_known {
        Some(true) => Ok(job),
        Some(false) => Err(not_found()),
        None => Err(refuse(
            ResultCode::NoConfiguration,
            "the daemon has no configuration yet",
        )),
    }
}

/// Runs an operation at the partition of a job and turns the reply into a response.
async fn run_on_job(
    context: &DaemonContext,
    job: &JobId,
    operation: JobOperation,
) -> Result<HttpResponse, Refusal> {
    let partition = job.partition().unwrap_or_default();
    respond(partition::run_operation(context, partition, operation).await)
}

fn respond(reply: JobReply) -> Result<HttpResponse, Refusal> {
    match reply {
        JobReply::Job(view) => Ok(json_response(200, &view)),
        JobReply::Jobs(views) => match views.first() {
            Some(view) => Ok(json_response(200, view)),
            None => Err(refuse(ResultCode::NotFound, "no such job")),
        },
        JobReply::Explanation(lines) => Ok(json_response(200, &json!({"explanation": lines}))),
        JobReply::Once(outcome) => Ok(error_response(outcome.code, &outcome.text)),
        JobReply::Refused { code, message } => Err(refuse(code, &message)),
    }
}
