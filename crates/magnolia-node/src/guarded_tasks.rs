//! Background tasks that survive their own panics.

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::time::sleep;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a future; returns whether it panicked. The panic itself is reported by the hook of the
/// process.
pub(crate) async fn has_panicked(future: impl Future<Output = ()>) -> bool {
    AssertUnwindSafe(future).catch_unwind().await.is_err()
}

/// Spawns a task that is started again when it panics, so that one unexpected error does not leave
/// the daemon without it.
pub(crate) fn spawn_restarting<F>(name: &'static str, start: impl Fn() -> F + Send + 'static)
where
    F: Future<Output = ()> + Send + 'static,
{
    tokio::spawn(async move {
        while has_panicked(start()).await {
            log::error!(task = name; "a task of the daemon panicked; it is started again");
            sleep(RESTART_DELAY).await;
        }
    });
}
