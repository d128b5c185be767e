//! Flags that describe jobs and quick requests, and the request bodies built from them.

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use serde_json::{Map, Value, json};

use crate::endpoint::RetrySafety;

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).help(help)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    flag(name, help).value_parser(value_parser!(u64))
}

/// Adds the flags that jobs and quick requests share.
fn common_args(command: Command) -> Command {
    command
        .arg(flag("customer", "Who pays").required(true))
        .arg(flag("class", "Class of work, as the rules name it").required(true))
        .arg(
            flag("not-repeatable", "The work must not run twice; needs --key")
                .action(ArgAction::SetTrue)
                .requires("key"),
        )
        .arg(flag(
            "key",
            "Idempotency key: work with the same customer and key runs at most once",
        ))
}

/// Adds the flags of a job.
pub fn job_args(command: Command) -> Command {
    common_args(command)
        .arg(
            flag("kind", "Kind of the job")
                .value_parser(["service", "batch", "gang"])
                .default_value("batch"),
        )
        .arg(number("tasks", "Number of tasks").default_value("1"))
        .arg(number("cpu-millis", "Thousandths of a processor of each task").required(true))
        .arg(number("memory-mib", "Memory of each task in MiB").required(true))
        .arg(number("accelerators", "Accelerators of each task").default_value("0"))
        .arg(number("run-ms", "Declared run time of each task, if known"))
        .arg(
            number(
                "max-attempts",
                "Failed runs of a task after which the job fails",
            )
            .default_value("3"),
        )
        .arg(flag("wait", "Wait until the job ends").action(ArgAction::SetTrue))
}

/// Adds the flags of a quick request.
pub fn request_args(command: Command) -> Command {
    common_args(command)
        .arg(number("deadline-ms", "Longest time until the answer").default_value("5000"))
        .arg(
            Arg::new("body")
                .required(true)
                .help("What the executor gets; - reads standard input"),
        )
}

/// Builds the body of a job submission.
pub fn job_body(matches: &ArgMatches) -> Value {
    let mut body = common_body(matches);
    let number = |name: &str| matches.get_one::<u64>(name).copied();
    body.insert("kind".into(), json!(matches.get_one::<String>("kind")));
    body.insert("tasks".into(), json!(number("tasks")));
    body.insert("max_attempts".into(), json!(number("max-attempts")));
    if let Some(run) = number("run-ms") {
        body.insert("run_ms".into(), json!(run));
    }
    let size = json!({
        "cpu_millis": number("cpu-millis"),
        "memory_mib": number("memory-mib"),
        "accelerators": number("accelerators"),
    });
    body.insert("size".into(), size);
    Value::Object(body)
}

/// Builds the body of a quick request.
pub fn request_body(matches: &ArgMatches, text: &str) -> Value {
    let mut body = common_body(matches);
    let deadline = matches.get_one::<u64>("deadline-ms");
    body.insert("deadline_ms".into(), json!(deadline));
    body.insert("body".into(), json!(text));
    Value::Object(body)
}

/// Builds the fields that jobs and quick requests share.
fn common_body(matches: &ArgMatches) -> Map<String, Value> {
    let text = |name: &str| matches.get_one::<String>(name);
    let mut body = Map::new();
    body.insert("customer".into(), json!(text("customer")));
    body.insert("class".into(), json!(text("class")));
    let repeatable = !matches.get_flag("not-repeatable");
    body.insert("repeatable".into(), json!(repeatable));
    if let Some(key) = text("key") {
        body.insert("idempotency_key".into(), json!(key));
    }
    body
}

/// Returns whether a submission may be sent again: with an idempotency key, both submissions create
/// only one job.
pub fn job_retry_safety(matches: &ArgMatches) -> RetrySafety {
    match matches.contains_id("key") {
        true => RetrySafety::Safe,
        false => RetrySafety::Unsafe,
    }
}

/// Returns whether a request may be sent again: it is repeatable, or an idempotency key keeps
/// it from running twice.
pub fn request_retry_safety(matches: &ArgMatches) -> RetrySafety {
    match matches.contains_id("key") || !matches.get_flag("not-repeatable") {
        true => RetrySafety::Safe,
        false => RetrySafety::Unsafe,
    }
}
