//! Start and stop of the daemon.

use std::ffi::OsString;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use logforth::append::Stderr;
use logforth::layout::TextLayout;
use magnolia_http::serve;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};

use crate::callers::CallerHandler;
use crate::config_feed::follow_config;
use crate::context::{DaemonContext, LifecyclePhase};
use crate::inner::InnerHandler;
use crate::membership::follow_instances;
use crate::ownership::{follow_claims, follow_hints, keep_claiming, keep_fresh, watch_pauses};
use crate::probing::keep_probing;
use crate::settings::DaemonSettings;

/// Longest time that a stop waits for requests in flight.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// How the daemon ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Stopped as asked, or printed help.
    Success,
    /// Could not start or failed.
    Failure,
    /// A setting is missing or malformed.
    BadSettings,
    /// Requests were still in flight at the end of the drain time.
    DrainIncomplete,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        Self::from(match status {
            ExitStatus::Success => 0,
            ExitStatus::Failure => 1,
            ExitStatus::BadSettings => 2,
            ExitStatus::DrainIncomplete => 3,
        })
    }
}

/// Runs the daemon with the given arguments until it is told to stop.
pub fn run_main(args: impl IntoIterator<Item = OsString>) -> ExitStatus {
    let settings = match DaemonSettings::from_args(args) {
        Ok(settings) => settings,
        Err(error) => {
            error.0.print().ok();
            return if error.0.use_stderr() {
                ExitStatus::BadSettings
            } else {
                ExitStatus::Success
            };
        }
    };
    start_logging(settings.log_level);
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("the runtime did not start: {error}");
            return ExitStatus::Failure;
        }
    };
    match runtime.block_on(run(settings)) {
        Ok(status) => status,
        Err(error) => {
            log::error!("the daemon could not start: {error}");
            ExitStatus::Failure
        }
    }
}

/// Writes log lines of at least this level to standard error, without colours.
fn start_logging(level: log::LevelFilter) {
    let append = Stderr::default().with_layout(TextLayout::default().no_color());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(level);
}

async fn run(settings: DaemonSettings) -> std::io::Result<ExitStatus> {
    let callers = TcpListener::bind(settings.listen).await?;
    let inner = TcpListener::bind(settings.inner_listen).await?;
    let context = Arc::new(DaemonContext::new(settings)?);
    log::info!("daemon {} started", context.identity.daemon);
    tokio::spawn(follow_instances(Arc::clone(&context)));
    tokio::spawn(follow_config(Arc::clone(&context)));
    tokio::spawn(watch_pauses(Arc::clone(&context)));
    tokio::spawn(follow_claims(Arc::clone(&context)));
    tokio::spawn(follow_hints(Arc::clone(&context)));
    tokio::spawn(keep_fresh(Arc::clone(&context)));
    tokio::spawn(keep_probing(Arc::clone(&context)));
    tokio::spawn(keep_claiming(Arc::clone(&context)));
    let inner_handler = Arc::new(InnerHandler::new(Arc::clone(&context)));
    tokio::spawn(serve(
        inner,
        inner_handler,
        std::future::pending(),
        DRAIN_LIMIT,
    ));
    let stop = stop_signal(Arc::clone(&context))?;
    let drained = serve(
        callers,
        Arc::new(CallerHandler::new(Arc::clone(&context))),
        stop,
        DRAIN_LIMIT,
    )
    .await;
    log::info!("daemon {} stopped", context.identity.daemon);
    Ok(if drained {
        ExitStatus::Success
    } else {
        ExitStatus::DrainIncomplete
    })
}

/// Completes when the process is told to stop; the daemon is draining from then on.
fn stop_signal(context: Arc<DaemonContext>) -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        log::info!("draining");
        context.phase.send_replace(LifecyclePhase::Draining);
    })
}
