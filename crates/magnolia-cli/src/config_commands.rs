//! Configuration.

use std::time::Duration;

use clap::ArgMatches;
use magnolia_config::{CellConfig, ConfigDiff, ConfigDocument, ConfigPublication, SectionChange};
use magnolia_types::ConfigVersion;
use serde_json::{Value, json};

use crate::ExitStatus;
use crate::endpoint::{CallFailure, CallRepeat, EndpointClient};
use crate::output::CommandOutput;

/// Start of the line that `config show --toml` writes first.
const VERSION_LINE: &str = "# version ";
/// Most bytes of changes in one publication; the daemons take bodies of 256 KiB.
const MAX_CHANGE_BYTES: usize = 200 << 10;
/// Longest time of a publication at the daemon.
const PUBLISH_WORK: Duration = Duration::from_secs(10);

/// Runs a command on the configuration.
pub async fn run(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    match matches.subcommand() {
        Some(("check", matches)) => check(matches, output),
        Some(("diff", matches)) => diff(matches, client, output).await,
        Some(("publish", matches)) => publish(matches, client, output).await,
        Some(("show", matches)) => show(matches, client, output).await,
        _ => Ok(ExitStatus::Usage),
    }
}

fn check(matches: &ArgMatches, output: CommandOutput) -> Result<ExitStatus, CallFailure> {
    let file = file_name(matches, "file");
    let document = read_document(file)?;
    let workers: usize = document.racks.iter().map(|rack| rack.workers.len()).sum();
    let executors = document.executor_blocks.iter();
    let executors: usize = executors.map(|block| block.executors.len()).sum();
    let text = format!(
        "{file} is valid: {} data centres, {workers} workers, {executors} executors, {} customers, \
         {} classes",
        document.data_centres.len(),
        document.customers.len(),
        document.classes.len()
    );
    output.result(&json!({"valid": true}), &text);
    Ok(ExitStatus::Success)
}

async fn diff(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let new = read_document(file_name(matches, "file"))?;
    let old = match matches.get_one::<String>("against") {
        Some(file) => Some(read_document(file)?),
        None => fetch(client).await?.document,
    };
    let diff = ConfigDiff::new(old.as_ref(), Some(&new));
    let text = match diff.is_empty() {
        true => "nothing differs".to_owned(),
        false => diff.to_string(),
    };
    output.result(&json!(diff.sections), &text);
    Ok(ExitStatus::Success)
}

async fn publish(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let file = file_name(matches, "file");
    let text = read_file(file)?;
    let document = parse_document(file, &text)?;
    let config = fetch(client).await?;
    let author = matches.get_one::<String>("author");
    let author = author.map_or("unknown", String::as_str);
    let whole = config.publication_to(&document, author);
    if whole.changes.is_empty() {
        let shown = format!("version {} already is this configuration", config.version);
        output.result(&json!({"version": config.version, "changed": []}), &shown);
        return Ok(ExitStatus::Success);
    }
    let given = matches.get_one::<u64>("base").copied();
    let base = given
        .map(ConfigVersion::new)
        .or_else(|| noted_version(&text));
    let mut base = base.unwrap_or(config.version);
    let diff = ConfigDiff::new(config.document.as_ref(), Some(&document));
    output.remark(diff.to_string().trim_end());
    let changed: Vec<String> = diff.sections.into_keys().collect();
    for changes in split_changes(whole.changes) {
        let publication = ConfigPublication {
            base,
            author: author.into(),
            changes,
        };
        let body = json!(publication);
        let path = "/v1/config/publish";
        // A repeat conflicts with the first, which would hide that the first was accepted.
        let answer = client
            .post(path, &body, CallRepeat::Unsafe, PUBLISH_WORK)
            .await?;
        base = read_version(&answer["version"])?;
    }
    let shown = format!(
        "version {base} is in force, {} sections changed",
        changed.len()
    );
    output.result(&json!({"version": base, "changed": changed}), &shown);
    Ok(ExitStatus::Success)
}

/// Splits changes that are too large for one body. Sections come before those that refer to them,
/// and removals last and in the opposite order, so that each part leaves a valid configuration.
fn split_changes(mut changes: Vec<SectionChange>) -> Vec<Vec<SectionChange>> {
    changes.sort_by_key(|change| {
        let rank = section_rank(&change.name);
        match change.section {
            Some(_) => (false, rank),
            None => (true, -rank),
        }
    });
    let mut parts: Vec<Vec<SectionChange>> = Vec::new();
    let mut bytes = usize::MAX;
    for change in changes {
        let size = json!(change).to_string().len();
        if bytes.saturating_add(size) > MAX_CHANGE_BYTES {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(change);
        }
    }
    parts
}

fn section_rank(name: &str) -> i8 {
    match name.split('/').next() {
        Some("cell" | "rules") => 0,
        Some("data_centre") => 1,
        Some("class" | "customer") => 2,
        _ => 3,
    }
}

async fn show(
    matches: &ArgMatches,
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let answer = client.get("/v1/config", Duration::ZERO).await?;
    let config = parse_config(&answer)?;
    let toml = config.document.as_ref().map(ConfigDocument::to_toml);
    let toml = toml.unwrap_or_default();
    if matches.get_flag("toml") {
        let version = config.version;
        output.result(&answer, &format!("{VERSION_LINE}{version}\n{toml}"));
        return Ok(ExitStatus::Success);
    }
    let age = |name: &str| match answer[name].as_u64() {
        Some(millis) => format!("{}.{:03} s", millis / 1000, millis % 1000),
        None => "unknown".into(),
    };
    let mut text = format!(
        "version {} from {}\nin force here for {}\nconfirmed by the log {} ago\n",
        config.version,
        answer["source"].as_str().unwrap_or("unknown"),
        age("in_force_ms"),
        age("confirmed_ms_ago"),
    );
    for (section, version) in &config.section_versions {
        text.push_str(&format!("  {section} changed by version {version}\n"));
    }
    output.result(&answer, &text);
    Ok(ExitStatus::Success)
}

async fn fetch(client: &EndpointClient) -> Result<CellConfig, CallFailure> {
    parse_config(&client.get("/v1/config", Duration::ZERO).await?)
}

fn parse_config(answer: &Value) -> Result<CellConfig, CallFailure> {
    serde_json::from_value(answer.clone()).map_err(|error| unexpected(&error))
}

fn read_version(value: &Value) -> Result<ConfigVersion, CallFailure> {
    serde_json::from_value(value.clone()).map_err(|error| unexpected(&error))
}

fn unexpected(error: &serde_json::Error) -> CallFailure {
    let message = format!("the daemon sent an unexpected answer: {error}");
    CallFailure::new(ExitStatus::Unknown, &message)
}

/// Returns the version that `config show --toml` wrote into the first line.
fn noted_version(text: &str) -> Option<ConfigVersion> {
    let line = text.lines().next()?;
    line.strip_prefix(VERSION_LINE)?.trim().parse().ok()
}

fn file_name<'a>(matches: &'a ArgMatches, name: &str) -> &'a str {
    matches.get_one::<String>(name).map_or("", String::as_str)
}

fn read_file(file: &str) -> Result<String, CallFailure> {
    std::fs::read_to_string(file)
        .map_err(|error| CallFailure::new(ExitStatus::Usage, &format!("{file}: {error}")))
}

fn read_document(file: &str) -> Result<ConfigDocument, CallFailure> {
    parse_document(file, &read_file(file)?)
}

fn parse_document(file: &str, text: &str) -> Result<ConfigDocument, CallFailure> {
    ConfigDocument::from_toml(text).map_err(|errors| {
        let lines: Vec<String> = errors
            .errors
            .iter()
            .map(|error| format!("{file}: {error}"))
            .collect();
        let mut failure = CallFailure::new(ExitStatus::Refused, &lines.join("\n"));
        failure.message = format!("the configuration is not valid\n{}", lines.join("\n"));
        failure.json = json!({"valid": false, "errors": errors.errors});
        failure
    })
}

#[cfg(test)]
#[path = "config_commands_tests.rs"]
mod tests;
