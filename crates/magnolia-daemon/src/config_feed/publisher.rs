//! Publishes configuration changes: appends them to the log and reports their outcome.

use std::time::Duration;

use bytes::Bytes;
use magnolia_config::{ApplyError, ConfigPublication, ConfigRecord, PublicationOutcome};
use magnolia_protocol::encode;
use magnolia_types::{ConfigVersion, ResultCode};
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::CONFIG_STREAM;
use super::reader::unix_ms;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum wait for the version on which a publication is based.
const BASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for appending a publication, retries included.
const APPEND_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum wait for the outcome after the append.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Code and message of a refusal or of an unknown result.
type PublishError = (ResultCode, String);

/// Outcome of appending a publication, retries included.
enum AppendOutcome {
    /// The log has acknowledged the record.
    Written,
    /// The log does not have the record.
    NotWritten(String),
    /// An answer was lost; the log may have the record.
    Unknown(String),
}

/// Appends a publication and returns the configuration version that it creates.
///
/// # Errors
///
/// Fails with the code and the reason when the publication is not accepted, or when its result is
/// not known in time.
pub async fn publish(
    context: &DaemonContext,
    publication: ConfigPublication,
) -> Result<ConfigVersion, PublishError> {
    if context.config_feed.status().waiting_for_snapshot {
        let message = "the log has lost configuration records and this daemon waits for a \
                       snapshot; publish through another daemon";
        return Err((ResultCode::LogUnavailable, message.into()));
    }
    wait_for_base(context, publication.base).await;
    context.config().apply(&publication).map_err(refusal)?;
    let id = rand::random();
    let record = ConfigRecord::Publication {
        id,
        written_unix_ms: unix_ms(),
        publication,
    };
    let data = encode(&record).map_err(|error| (ResultCode::Internal, error.to_string()))?;
    let mut receiver = context.config_feed.register_publisher(id);
    let result = tokio::select! {
        biased;
        Ok(outcome) = &mut receiver => result_of(outcome),
        appended = append(context, Bytes::from(data)) => match appended {
            AppendOutcome::NotWritten(reason) => Err((ResultCode::LogUnavailable, reason)),
            AppendOutcome::Written => match timeout(OUTCOME_TIMEOUT, receiver).await {
                Ok(Ok(outcome)) => result_of(outcome),
                _ => Err(unknown("the log has the publication, but it was not read back in time")),
            },
            AppendOutcome::Unknown(reason) => match timeout(OUTCOME_TIMEOUT, receiver).await {
                Ok(Ok(outcome)) => result_of(outcome),
                _ => Err(unknown(&reason)),
            },
        },
    };
    context.config_feed.remove_publisher(id);
    result
}

/// Appends a record until the log acknowledges it. All copies carry the same publication id, so
/// only the first one takes effect.
async fn append(context: &DaemonContext, data: Bytes) -> AppendOutcome {
    let deadline = Instant::now() + APPEND_TIMEOUT;
    let mut may_be_written = false;
    loop {
        let append = context.log.append(CONFIG_STREAM, data.clone());
        let reason = match timeout_at(deadline, append).await {
            Ok(Ok(_)) => return AppendOutcome::Written,
            Ok(Err(error)) => {
                may_be_written |= !error.is_without_effect();
                error.to_string()
            }
            Err(_) => {
                may_be_written = true;
                "the log did not answer in time".to_owned()
            }
        };
        context.metrics.count(names::CONFIG_APPEND_FAILED);
        if Instant::now() + RETRY_DELAY >= deadline {
            return match may_be_written {
                true => AppendOutcome::Unknown(reason),
                false => AppendOutcome::NotWritten(reason),
            };
        }
        sleep(RETRY_DELAY).await;
    }
}

/// Waits until this daemon has the version on which a publication is based.
async fn wait_for_base(context: &DaemonContext, base: ConfigVersion) {
    let mut watcher = context.config.subscribe();
    let reached = watcher.wait_for(|config| config.version >= base);
    // If the version is still unknown, the following check refuses the publication.
    timeout(BASE_TIMEOUT, reached).await.ok();
}

fn result_of(outcome: PublicationOutcome) -> Result<ConfigVersion, PublishError> {
    outcome.map_err(refusal)
}

/// Returns the error for a publication whose outcome is not known in time.
fn unknown(reason: &str) -> PublishError {
    let message = format!(
        "the result is unknown ({reason}); compare the configuration in force before publishing again"
    );
    (ResultCode::OutcomeUnknown, message)
}

/// Returns the error for a publication that is refused.
fn refusal(error: ApplyError) -> PublishError {
    let code = match error {
        ApplyError::Conflict { .. } | ApplyError::FutureBase { .. } => ResultCode::ConfigConflict,
        _ => ResultCode::ConfigInvalid,
    };
    (code, error.to_string())
}
