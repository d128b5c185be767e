//! The configuration, read from stream `config` in log order.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnolia_config::{ApplyError, CellConfig, ConfigPublication};
use magnolia_protocol::{decode, encode};
use magnolia_types::{LogOffset, Millis, ResultCode, wire_types};

use crate::context::{DaemonContext, LifecyclePhase};

/// Stream of publications.
pub const CONFIG_STREAM: &str = "config";
/// Longest wait of one read for a new record.
const POLL_WAIT: Millis = Millis::from_secs(10);
/// Most records of one read.
const POLL_RECORDS: usize = 64;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

wire_types! {
    /// A record of stream `config`.
    #[serde(rename_all = "snake_case")]
    pub enum ConfigRecord {
        /// A publication; readers decide whether it is accepted.
        Publication {
            /// Id of the append, so that a repeated append has no effect.
            id: u128,
            /// The publication.
            publication: ConfigPublication,
        },
    }
}

/// Reads stream `config` until the daemon ends.
pub async fn follow_config(context: Arc<DaemonContext>) {
    let mut next = LogOffset::new(0);
    loop {
        match context
            .log
            .read(CONFIG_STREAM, next, POLL_WAIT, POLL_RECORDS)
            .await
        {
            Ok(page) => {
                for record in page.records {
                    apply_record(&context, &record.data);
                    next = record.offset.saturating_add(LogOffset::new(1));
                }
            }
            Err(_) => {
                context.metrics.count("config.read_failed");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

fn apply_record(context: &DaemonContext, data: &[u8]) {
    let Ok(ConfigRecord::Publication { publication, .. }) = decode(data) else {
        context.metrics.count("config.foreign_record");
        return;
    };
    match context.config().apply(&publication) {
        Ok(config) => adopt(context, config),
        Err(_) => context.metrics.count("config.rejected"),
    }
}

fn adopt(context: &DaemonContext, config: CellConfig) {
    log::info!("configuration version {} is in force", config.version);
    context.config.send_replace(Arc::new(config));
    context.phase.send_if_modified(|phase| {
        let first = *phase == LifecyclePhase::Starting;
        if first {
            *phase = LifecyclePhase::Ready;
        }
        first
    });
}

/// Appends a publication and waits until this daemon has read it back.
///
/// # Errors
///
/// Fails with the code and the reason when the publication is not accepted.
pub async fn publish(
    context: &DaemonContext,
    publication: ConfigPublication,
) -> Result<Arc<CellConfig>, (ResultCode, String)> {
    let wanted = context.config().apply(&publication).map_err(refusal)?;
    let record = ConfigRecord::Publication {
        id: rand::random(),
        publication,
    };
    let data = encode(&record).map_err(|error| (ResultCode::Internal, error.to_string()))?;
    context
        .log
        .append(CONFIG_STREAM, Bytes::from(data))
        .await
        .map_err(|error| (ResultCode::LogUnavailable, error.to_string()))?;
    let mut watcher = context.config.subscribe();
    let reached = watcher.wait_for(|config| config.version >= wanted.version);
    match tokio::time::timeout(Duration::from_secs(4), reached).await {
        Ok(Ok(config)) => Ok(Arc::clone(&config)),
        _ => Err((
            ResultCode::OutcomeUnknown,
            "the publication was not read back in time".into(),
        )),
    }
}

fn refusal(error: ApplyError) -> (ResultCode, String) {
    let code = match error {
        ApplyError::Conflict { .. } | ApplyError::FutureBase { .. } => ResultCode::ConfigConflict,
        ApplyError::WrongName(_) | ApplyError::Invalid(_) => ResultCode::ConfigInvalid,
    };
    (code, error.to_string())
}
