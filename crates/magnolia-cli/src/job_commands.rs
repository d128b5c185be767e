//! Commands for jobs and quick requests.

use std::io::Read;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use magnolia_types::{JobId, Millis, ResultCode};
use serde_json::{Value, json};

use crate::ExitStatus;
use crate::endpoint::{CallFailure, EndpointClient, RetrySafety};
use crate::output::{CommandOutput, table};
use crate::work_args::{job_body, job_retry_safety, request_body, request_retry_safety};

/// Longest wait of one call; longer waits consist of several calls.
const MAX_WAIT_PER_CALL: Duration = Duration::from_secs(5);
/// Delay before a call is retried; normally its partition had no reachable owner.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest time that a submission takes at the endpoint.
const SUBMIT_TIME: Duration = Duration::from_secs(20);
/// Time for which a submission or request is retried that was not run because its partition has no
/// reachable owner. A new owner normally takes over within this time.
const OWNER_RETRY_TIME: Duration = Duration::from_secs(10);

/// Submits a job.
pub async fn submit(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let body = job_body(matches);
    let retry_safety = job_retry_safety(matches);
    let send = || client.post("/v1/jobs", &body, retry_safety, SUBMIT_TIME);
    let job = send_with_retries(output, OWNER_RETRY_TIME, send).await?;
    let id = job["job"].as_str().unwrap_or_default();
    if !matches.get_flag("wait") {
        output.result(&job, id);
        return Ok(ExitStatus::Success);
    }
    output.print_message(&format!("submitted {id}"));
    wait_for(client, output, id, None).await
}

/// Sends a quick request.
pub async fn request(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let body_arg = matches.get_one::<String>("body").map_or("", String::as_str);
    let text = match body_arg {
        "-" => read_standard_input()?,
        text => text.to_owned(),
    };
    let deadline = matches.get_one::<u64>("deadline-ms").copied();
    let work_time = Duration::from_millis(deadline.unwrap_or(0));
    let body = request_body(matches, &text);
    let retry_safety = request_retry_safety(matches);
    let send = || client.post("/v1/requests", &body, retry_safety, work_time);
    let answer = send_with_retries(output, work_time.min(OWNER_RETRY_TIME), send).await?;
    output.result(&answer, answer["answer"].as_str().unwrap_or_default());
    Ok(ExitStatus::Success)
}

/// Sends a submission or request, and retries it for `retry_time` while it is refused without
/// having run because its partition has no reachable owner.
async fn send_with_retries<F, S>(
    output: CommandOutput,
    retry_time: Duration,
    send: F,
) -> Result<Value, CallFailure>
where
    F: Fn() -> S,
    S: Future<Output = Result<Value, CallFailure>>,
{
    let started = Instant::now();
    let mut is_reported = false;
    loop {
        let failure = match send().await {
            Ok(answer) => return Ok(answer),
            Err(failure) => failure,
        };
        let transient = [
            ResultCode::NoOwner,
            ResultCode::NotOwner,
            ResultCode::OwnerUnreachable,
        ];
        let may_retry = failure.code.is_some_and(|code| transient.contains(&code));
        if !may_retry || started.elapsed() + RETRY_DELAY >= retry_time {
            return Err(failure);
        }
        if !is_reported {
            output.print_message(&format!("not run, trying again: {}", failure.message));
            is_reported = true;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

fn read_standard_input() -> Result<String, CallFailure> {
    let mut text = String::new();
    match std::io::stdin().read_to_string(&mut text) {
        Ok(_) => Ok(text),
        Err(error) => Err(CallFailure::new(
            ExitStatus::Usage,
            &format!("standard input: {error}"),
        )),
    }
}

/// Lists jobs.
pub async fn list(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let limit = matches.get_one::<u32>("limit").copied().unwrap_or(100);
    let mut path = format!("/v1/jobs?limit={limit}");
    for name in ["customer", "state"] {
        if let Some(value) = matches.get_one::<String>(name) {
            path.push_str(&format!("&{name}={value}"));
        }
    }
    let list = client.get(&path, Duration::ZERO).await?;
    let jobs = list["jobs"].as_array().map(Vec::as_slice);
    output.result(&list, &format_jobs(jobs.unwrap_or_default()));
    let missing = list["missing"].as_array().map(Vec::as_slice);
    for partition in missing.unwrap_or_default() {
        output.print_message(&format!(
            "partition {} is missing: {}",
            format_value(&partition["partition"]),
            format_value(&partition["message"])
        ));
    }
    Ok(ExitStatus::Success)
}

/// Shows a job.
pub async fn get(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let path = format!("/v1/jobs/{}", job_id(matches));
    let job = client.get(&path, Duration::ZERO).await?;
    output.result(&job, &format_job(&job));
    Ok(ExitStatus::Success)
}

/// Waits until a job ends.
pub async fn wait(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let timeout = matches.get_one::<Millis>("timeout-ms").copied();
    wait_for(client, output, job_id(matches), timeout.map(Duration::from)).await
}

/// Cancels a job.
pub async fn cancel(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let path = format!("/v1/jobs/{}/cancel", job_id(matches));
    // A second cancellation of the same job has no further effect.
    let job = client
        .post(&path, &json!({}), RetrySafety::Safe, Duration::ZERO)
        .await?;
    output.result(&job, &format_job(&job));
    Ok(ExitStatus::Success)
}

/// Explains the state of a job.
pub async fn explain(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let path = format!("/v1/jobs/{}/explain", job_id(matches));
    let answer = client.get(&path, Duration::ZERO).await?;
    let lines = answer["explanation"].as_array().map(Vec::as_slice);
    let lines: Vec<String> = lines.unwrap_or_default().iter().map(format_value).collect();
    output.result(&answer, &lines.join("\n"));
    Ok(ExitStatus::Success)
}

/// Waits until the job ends or `timeout` passes, and reports progress meanwhile.
async fn wait_for(
    client: &EndpointClient,
    output: CommandOutput,
    id: &str,
    timeout: Option<Duration>,
) -> Result<ExitStatus, CallFailure> {
    let started = Instant::now();
    let mut progress = String::new();
    loop {
        let remaining = timeout.map(|timeout| timeout.saturating_sub(started.elapsed()));
        let call_wait = remaining
            .unwrap_or(MAX_WAIT_PER_CALL)
            .min(MAX_WAIT_PER_CALL);
        let path = format!("/v1/jobs/{id}/wait?timeout_ms={}", call_wait.as_millis());
        let is_last = remaining.is_some_and(|remaining| remaining <= MAX_WAIT_PER_CALL);
        match client.get(&path, call_wait).await {
            Ok(job) => {
                let state = job["state"].as_str().unwrap_or_default();
                let now = format_progress(&job);
                if now != progress {
                    output.print_message(&now);
                    progress = now;
                }
                match state {
                    "waiting" | "running" if is_last => {
                        output.result(&job, &format_job(&job));
                        return Ok(ExitStatus::StillRunning);
                    }
                    "waiting" | "running" => {}
                    state => {
                        output.result(&job, &format_job(&job));
                        return Ok(match state {
                            "done" => ExitStatus::Success,
                            _ => ExitStatus::WorkFailed,
                        });
                    }
                }
            }
            // A wait changes nothing, so that it can be retried while the owner changes.
            Err(failure) if !is_last && is_transient(&failure) => {
                output.print_message(&format!("still waiting: {}", failure.message));
                tokio::time::sleep(RETRY_DELAY).await;
            }
            Err(failure) => return Err(failure),
        }
    }
}

/// Returns whether a wait that failed in this way may succeed when it is retried.
fn is_transient(failure: &CallFailure) -> bool {
    let transient = [
        ResultCode::NoOwner,
        ResultCode::NotOwner,
        ResultCode::OwnerUnreachable,
        ResultCode::OutcomeUnknown,
    ];
    failure.code.is_some_and(|code| transient.contains(&code))
}

fn job_id(matches: &ArgMatches) -> &str {
    matches.get_one::<JobId>("job").map_or("", JobId::as_str)
}

/// Formats the task counts of a job in one line.
fn format_progress(job: &Value) -> String {
    let count = |name: &str| job["tasks"][name].as_u64().unwrap_or(0);
    format!(
        "{} is {}: {} waiting, {} running, {} done, {} failed",
        format_value(&job["job"]),
        format_value(&job["state"]),
        count("waiting"),
        count("running"),
        count("done"),
        count("failed"),
    )
}

/// Formats a job as a table, followed by the reason of its outcome if there is one.
fn format_job(job: &Value) -> String {
    let mut text = format_jobs(std::slice::from_ref(job));
    if let Some(reason) = job["outcome"]["reason"].as_str() {
        text.push_str(reason);
        text.push('\n');
    }
    text
}

/// Formats jobs as a table.
fn format_jobs(jobs: &[Value]) -> String {
    let headings = [
        "JOB", "CUSTOMER", "CLASS", "KIND", "STATE", "WAITING", "RUNNING", "DONE", "FAILED",
    ];
    let mut rows = vec![headings.map(str::to_owned).to_vec()];
    for job in jobs {
        let fields = ["job", "customer", "class", "kind", "state"];
        let fields = fields.iter().map(|name| format_value(&job[name]));
        let counts = ["waiting", "running", "done", "failed"];
        let counts = counts.iter().map(|name| format_value(&job["tasks"][name]));
        rows.push(fields.chain(counts).collect());
    }
    table(&rows)
}

/// Formats a JSON value for people: a string without quotes, null as a dash.
fn format_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
