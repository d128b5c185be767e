//! Jobs and quick requests.

use std::io::Read;
use std::time::{Duration, Instant};

use clap::ArgMatches;
use magnolia_types::{JobId, Millis, ResultCode};
use serde_json::{Value, json};

use crate::ExitStatus;
use crate::endpoint::{CallFailure, CallRepeat, EndpointClient};
use crate::output::{CommandOutput, table};
use crate::work_args::{job_body, job_repeat, request_body, request_repeat};

/// Longest wait of one call; longer waits repeat it.
const WAIT_STEP: Duration = Duration::from_secs(5);
/// Pause before a wait is repeated that found no owner.
const WAIT_PAUSE: Duration = Duration::from_millis(500);
/// Longest time of a quick request at the endpoint, besides its deadline.
const SUBMIT_WORK: Duration = Duration::from_secs(20);

/// Submits a job.
pub async fn submit(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let body = job_body(matches);
    let repeat = job_repeat(matches);
    let job = client.post("/v1/jobs", &body, repeat, SUBMIT_WORK).await?;
    let id = job["job"].as_str().unwrap_or_default();
    if !matches.get_flag("wait") {
        output.result(&job, id);
        return Ok(ExitStatus::Success);
    }
    output.remark(&format!("submitted {id}"));
    wait_for(client, output, id, None).await
}

/// Sends a quick request.
pub async fn request(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let given = matches.get_one::<String>("body").map_or("", String::as_str);
    let text = match given {
        "-" => read_standard_input()?,
        text => text.to_owned(),
    };
    let deadline = matches.get_one::<u64>("deadline-ms").copied();
    let work = Duration::from_millis(deadline.unwrap_or(0));
    let body = request_body(matches, &text);
    let repeat = request_repeat(matches);
    let answer = client.post("/v1/requests", &body, repeat, work).await?;
    output.result(&answer, answer["answer"].as_str().unwrap_or_default());
    Ok(ExitStatus::Success)
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
    output.result(&list, &show_jobs(jobs.unwrap_or_default()));
    let missing = list["missing"].as_array().map(Vec::as_slice);
    for partition in missing.unwrap_or_default() {
        output.remark(&format!(
            "partition {} is missing: {}",
            show(&partition["partition"]),
            show(&partition["message"])
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
    output.result(&job, &show_job(&job));
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
        .post(&path, &json!({}), CallRepeat::Safe, Duration::ZERO)
        .await?;
    output.result(&job, &show_job(&job));
    Ok(ExitStatus::Success)
}

/// Explains where a job stands.
pub async fn explain(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let path = format!("/v1/jobs/{}/explain", job_id(matches));
    let answer = client.get(&path, Duration::ZERO).await?;
    let lines = answer["explanation"].as_array().map(Vec::as_slice);
    let lines: Vec<String> = lines.unwrap_or_default().iter().map(show).collect();
    output.result(&answer, &lines.join("\n"));
    Ok(ExitStatus::Success)
}

async fn wait_for(
    client: &EndpointClient,
    output: CommandOutput,
    id: &str,
    timeout: Option<Duration>,
) -> Result<ExitStatus, CallFailure> {
    let started = Instant::now();
    let mut progress = String::new();
    loop {
        let left = timeout.map(|timeout| timeout.saturating_sub(started.elapsed()));
        let step = left.unwrap_or(WAIT_STEP).min(WAIT_STEP);
        let path = format!("/v1/jobs/{id}/wait?timeout_ms={}", step.as_millis());
        let is_last = left.is_some_and(|left| left <= WAIT_STEP);
        match client.get(&path, step).await {
            Ok(job) => {
                let state = job["state"].as_str().unwrap_or_default();
                let now = show_progress(&job);
                if now != progress {
                    output.remark(&now);
                    progress = now;
                }
                match state {
                    "waiting" | "running" if is_last => {
                        output.result(&job, &show_job(&job));
                        return Ok(ExitStatus::StillRunning);
                    }
                    "waiting" | "running" => {}
                    state => {
                        output.result(&job, &show_job(&job));
                        return Ok(match state {
                            "done" => ExitStatus::Success,
                            _ => ExitStatus::WorkFailed,
                        });
                    }
                }
            }
            // A wait has no effect, so it goes on while the partition changes its owner.
            Err(failure) if !is_last && is_passing(&failure) => {
                output.remark(&format!("still waiting: {}", failure.message));
                tokio::time::sleep(WAIT_PAUSE).await;
            }
            Err(failure) => return Err(failure),
        }
    }
}

fn is_passing(failure: &CallFailure) -> bool {
    let passing = [
        ResultCode::NoOwner,
        ResultCode::NotOwner,
        ResultCode::OwnerUnreachable,
        ResultCode::OutcomeUnknown,
    ];
    failure.code.is_some_and(|code| passing.contains(&code))
}

fn job_id(matches: &ArgMatches) -> &str {
    matches.get_one::<JobId>("job").map_or("", JobId::as_str)
}

fn show_progress(job: &Value) -> String {
    let count = |name: &str| job["tasks"][name].as_u64().unwrap_or(0);
    format!(
        "{} is {}: {} waiting, {} running, {} done, {} failed",
        show(&job["job"]),
        show(&job["state"]),
        count("waiting"),
        count("running"),
        count("done"),
        count("failed"),
    )
}

fn show_job(job: &Value) -> String {
    let mut text = show_jobs(std::slice::from_ref(job));
    if let Some(reason) = job["outcome"]["reason"].as_str() {
        text.push_str(reason);
        text.push('\n');
    }
    text
}

fn show_jobs(jobs: &[Value]) -> String {
    let headings = [
        "JOB", "CUSTOMER", "CLASS", "KIND", "STATE", "WAITING", "RUNNING", "DONE", "FAILED",
    ];
    let mut rows = vec![headings.map(str::to_owned).to_vec()];
    for job in jobs {
        let fields = ["job", "customer", "class", "kind", "state"];
        let fields = fields.iter().map(|name| show(&job[name]));
        let counts = ["waiting", "running", "done", "failed"];
        let counts = counts.iter().map(|name| show(&job["tasks"][name]));
        rows.push(fields.chain(counts).collect());
    }
    table(&rows)
}

/// Shows text without its quotes.
fn show(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}
