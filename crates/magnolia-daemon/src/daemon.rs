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
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use crate::callers::CallerHandler;
use crate::config_feed::follow_config;
use crate::context::DaemonContext;
use crate::drain::drain;
use crate::inner::InnerHandler;
use crate::membership::follow_instances;
use crate::ownership::{
    fetch_reported_claims, follow_claims, keep_claiming, keep_confirmed, watch_pauses,
};
use crate::probing::keep_probing;
use crate::settings::DaemonSettings;

/// Maximum time that a stop waits for requests of callers in flight; longer than the maximum
/// deadline of a quick request (60 s by default).
const DRAIN_TIMEOUT: Duration = Duration::from_secs(65);
/// Maximum time that a stop then waits for requests of other daemons in flight.
const INNER_DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Exit status of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// Stopped on request, or printed help.
    Success,
    /// Failed to start, or failed while running.
    Failure,
    /// A setting is missing or malformed.
    BadSettings,
    /// Requests were still in flight after the drain timeout.
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

/// Runs the daemon with the given arguments until a signal stops it.
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
            log::error!("cannot start the asynchronous runtime: {error}");
            return ExitStatus::Failure;
        }
    };
    let run = async { run_daemon(settings, stop_signal()?).await };
    match runtime.block_on(run) {
        Ok(status) => status,
        Err(error) => {
            log::error!("cannot start the daemon: {error}");
            ExitStatus::Failure
        }
    }
}

/// Starts logging to standard error, without colours, from this level on.
fn start_logging(level: log::LevelFilter) {
    let append = Stderr::default().with_layout(TextLayout::default().no_color());
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(append))
        .apply();
    log::set_max_level(level);
}

/// Runs the daemon until `stop` completes and it is drained.
///
/// # Errors
///
/// Fails when the daemon cannot listen on an address or the metrics socket cannot be opened.
pub async fn run_daemon(
    settings: DaemonSettings,
    stop: impl Future<Output = ()>,
) -> std::io::Result<ExitStatus> {
    let callers = TcpListener::bind(settings.listen).await?;
    let inner = TcpListener::bind(settings.inner_listen).await?;
    let context = Arc::new(DaemonContext::new(settings)?);
    log::info!("daemon {} started", context.identity.daemon);
    let mut tasks = start_tasks(&context);
    let (stop_inner, inner_stopped) = oneshot::channel::<()>();
    let inner_server = tokio::spawn(serve(
        inner,
        Arc::new(InnerHandler::new(Arc::clone(&context))),
        async move {
            inner_stopped.await.ok();
        },
        INNER_DRAIN_TIMEOUT,
    ));
    let stop = async {
        stop.await;
        drain(&context).await;
    };
    let handler = Arc::new(CallerHandler::new(Arc::clone(&context)));
    let callers_drained = serve(callers, handler, stop, DRAIN_TIMEOUT).await;
    // Stopped last: requests of callers in flight may still need other daemons, and other daemons
    // learn from the replies of this server that this daemon is draining.
    stop_inner.send(()).ok();
    let inner_drained = inner_server.await.unwrap_or(false);
    tasks.shutdown().await;
    log::info!("daemon {} stopped", context.identity.daemon);
    Ok(if callers_drained && inner_drained {
        ExitStatus::Success
    } else {
        ExitStatus::DrainIncomplete
    })
}

/// Spawns the background tasks.
fn start_tasks(context: &Arc<DaemonContext>) -> JoinSet<()> {
    let mut tasks = JoinSet::new();
    tasks.spawn(follow_instances(Arc::clone(context)));
    tasks.spawn(follow_config(Arc::clone(context)));
    tasks.spawn(watch_pauses(Arc::clone(context)));
    tasks.spawn(follow_claims(Arc::clone(context)));
    tasks.spawn(fetch_reported_claims(Arc::clone(context)));
    tasks.spawn(keep_confirmed(Arc::clone(context)));
    tasks.spawn(keep_probing(Arc::clone(context)));
    tasks.spawn(keep_claiming(Arc::clone(context)));
    tasks
}

/// Returns a future that completes on SIGTERM or SIGINT.
fn stop_signal() -> std::io::Result<impl Future<Output = ()>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}
