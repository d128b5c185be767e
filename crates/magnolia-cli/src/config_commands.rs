//! Commands that check, compare, publish and show the configuration.

use std::collections::BTreeSet;
use std::time::Duration;

use clap::ArgMatches;
use magnolia_config::{CellConfig, ConfigDiff, ConfigDocument, ConfigPublication, SectionChange};
use magnolia_types::ConfigVersion;
use serde_json::{Value, json};

use crate::ExitStatus;
use crate::endpoint::{CallFailure, EndpointClient, RetrySafety};
use crate::output::CommandOutput;

/// Start of the first line that `config show --toml` writes.
const VERSION_LINE: &str = "# version ";
/// Maximum size of the changes in one publication, in bytes; daemons accept bodies of 256 KiB.
const MAX_CHANGE_BYTES: usize = 200 << 10;
/// Longest time that a publication takes at the daemon.
const PUBLISH_TIME: Duration = Duration::from_secs(10);

/// Runs the configuration command that `matches` names.
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
        let message = format!("version {} already is this configuration", config.version);
        output.result(&json!({"version": config.version, "changed": []}), &message);
        return Ok(ExitStatus::Success);
    }
    let requested_base = matches.get_one::<u64>("base").copied();
    let base = requested_base
        .map(ConfigVersion::new)
        .or_else(|| version_of_file(&text));
    let mut base = base.unwrap_or(config.version);
    let diff = ConfigDiff::new(config.document.as_ref(), Some(&document));
    output.print_message(diff.to_string().trim_end());
    if let Some(old) = &config.document {
        warn_of_changed_partitions(old, &document, output);
    }
    let changed: Vec<String> = diff.sections.into_keys().collect();
    for changes in split_changes(whole.changes) {
        let publication = ConfigPublication {
            base,
            author: author.into(),
            changes,
        };
        let body = json!(publication);
        let path = "/v1/config/publish";
        // A retry would conflict with the first call and so hide that the first was accepted.
        let answer = client
            .post(path, &body, RetrySafety::Unsafe, PUBLISH_TIME)
            .await?;
        base = read_version(&answer["version"])?;
    }
    let message = format!(
        "version {base} is in force, {} sections changed",
        changed.len()
    );
    output.result(&json!({"version": base, "changed": changed}), &message);
    Ok(ExitStatus::Success)
}

/// Warns the operator if the partitions of a region change: idempotency keys then move between
/// partitions, so that daemons refuse work that must not run twice for 24 hours or until
/// `key_set_confirmed` is published.
fn warn_of_changed_partitions(old: &ConfigDocument, new: &ConfigDocument, output: CommandOutput) {
    let regions: BTreeSet<&str> = old
        .data_centres
        .iter()
        .map(|data_centre| &*data_centre.region)
        .collect();
    for region in regions {
        let before = old.partitions_of_region(region);
        if !before.is_empty() && before != new.partitions_of_region(region) {
            output.print_message(&format!(
                "note: the partitions of region {region} change; work that may not repeat is \
                 refused there for 24 hours, or until key_set_confirmed is published"
            ));
        }
    }
}

/// Splits changes into parts that each fit into one body.
///
/// A section comes before the sections that refer to it; removals come last and in the opposite
/// order. Thus the configuration is valid after each part.
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

/// Returns the rank by which changes are ordered; sections refer only to sections of lower rank.
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
    for (region, set) in &config.key_sets {
        text.push_str(&format!("key set of region {region}: {}\n", set.hash));
    }
    for (section, version) in &config.section_versions {
        text.push_str(&format!("  {section} changed by version {version}\n"));
    }
    output.result(&answer, &text);
    Ok(ExitStatus::Success)
}

/// Reads the configuration in force from the daemon.
async fn fetch(client: &EndpointClient) -> Result<CellConfig, CallFailure> {
    parse_config(&client.get("/v1/config", Duration::ZERO).await?)
}

fn parse_config(answer: &Value) -> Result<CellConfig, CallFailure> {
    serde_json::from_value(answer.clone()).map_err(|error| unexpected_answer(&error))
}

fn read_version(value: &Value) -> Result<ConfigVersion, CallFailure> {
    serde_json::from_value(value.clone()).map_err(|error| unexpected_answer(&error))
}

fn unexpected_answer(error: &serde_json::Error) -> CallFailure {
    let message = format!("the daemon sent an unexpected answer: {error}");
    CallFailure::new(ExitStatus::Unknown, &message)
}

/// Returns the version that `config show --toml` wrote into the first line of a file.
fn version_of_file(text: &str) -> Option<ConfigVersion> {
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
