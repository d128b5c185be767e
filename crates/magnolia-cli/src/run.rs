//! Parses the arguments and runs the command that they name.

use std::ffi::OsString;

use clap::ArgMatches;
use clap_complete::Shell;

use crate::endpoint::{CallFailure, EndpointClient};
use crate::output::CommandOutput;
use crate::{ExitStatus, command, config_commands, job_commands, operator_commands};

/// Runs one command; the first argument is the name of the program.
pub fn run_main(args: impl IntoIterator<Item = OsString>) -> ExitStatus {
    let matches = match command().try_get_matches_from(args) {
        Ok(matches) => matches,
        Err(error) => {
            error.print().ok();
            return match error.use_stderr() {
                true => ExitStatus::Usage,
                false => ExitStatus::Success,
            };
        }
    };
    let output = CommandOutput::new(matches.get_flag("json"));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(&matches, output)),
        Err(error) => Err(CallFailure::new(ExitStatus::Usage, &error.to_string())),
    };
    result.unwrap_or_else(|failure| {
        output.failure(&failure);
        failure.status
    })
}

async fn dispatch(matches: &ArgMatches, output: CommandOutput) -> Result<ExitStatus, CallFailure> {
    let endpoints = matches.get_many("endpoint").into_iter().flatten();
    let client = EndpointClient::new(endpoints.copied().collect());
    match matches.subcommand() {
        Some(("config", matches)) => config_commands::run(matches, &client, output).await,
        Some(("submit", matches)) => job_commands::submit(matches, &client, output).await,
        Some(("request", matches)) => job_commands::request(matches, &client, output).await,
        Some(("list", matches)) => job_commands::list(matches, &client, output).await,
        Some(("get", matches)) => job_commands::get(matches, &client, output).await,
        Some(("wait", matches)) => job_commands::wait(matches, &client, output).await,
        Some(("cancel", matches)) => job_commands::cancel(matches, &client, output).await,
        Some(("explain", matches)) => job_commands::explain(matches, &client, output).await,
        Some(("status", _)) => operator_commands::status(&client, output).await,
        Some(("state", _)) => operator_commands::state(&client, output).await,
        Some(("completion", matches)) => Ok(complete(matches)),
        _ => Ok(ExitStatus::Usage),
    }
}

/// Writes the completion script for a shell.
fn complete(matches: &ArgMatches) -> ExitStatus {
    let Some(shell) = matches.get_one::<Shell>("shell") else {
        return ExitStatus::Usage;
    };
    let mut script = Vec::new();
    clap_complete::generate(*shell, &mut command(), "magnoliactl", &mut script);
    CommandOutput::new(false).result(&serde_json::Value::Null, &String::from_utf8_lossy(&script));
    ExitStatus::Success
}
