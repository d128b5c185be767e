//! Commands that report the status and the state of a daemon.

use std::time::Duration;

use serde_json::Value;

use crate::ExitStatus;
use crate::endpoint::{CallFailure, EndpointClient};
use crate::output::CommandOutput;

/// Reports whether the daemon serves; the exit status is a success only then.
pub async fn status(
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let status = client.get("/v1/status", Duration::ZERO).await?;
    let text = status["answer"].as_str().unwrap_or_default();
    output.result(&status, text);
    Ok(match status["serving"] == Value::Bool(true) {
        true => ExitStatus::Success,
        false => ExitStatus::Refused,
    })
}

/// Prints the state of the daemon as JSON.
pub async fn state(
    client: &EndpointClient,
    output: CommandOutput,
) -> Result<ExitStatus, CallFailure> {
    let state = client.get("/v1/state", Duration::ZERO).await?;
    output.result(&state, &format!("{state:#}"));
    Ok(ExitStatus::Success)
}
