//! The configuration: read from stream `config` in the order of the log, published to that stream,
//! and fetched from peers when the log does not deliver it in time.

mod feed_state;
mod peer_fetch;
mod publisher;
mod reader;

use std::sync::Arc;

pub use feed_state::{ConfigFeed, ConfigSource};
use magnolia_config::CellConfig;
pub use publisher::publish;
pub use reader::unix_ms;

use crate::context::{DaemonContext, LifecyclePhase};
use crate::metrics::names;

/// Stream of publications and snapshots of the configuration.
pub const CONFIG_STREAM: &str = "config";

/// Keeps the configuration up to date until the daemon ends.
pub async fn follow_config(context: Arc<DaemonContext>) {
    tokio::join!(
        reader::read_log(&context),
        peer_fetch::follow_peers(&context)
    );
}

/// Puts a configuration in force if it is newer than the current one.
fn adopt(context: &DaemonContext, config: &CellConfig, source: ConfigSource) {
    let adopted = context.config.send_if_modified(|current| {
        let newer = config.version > current.version;
        if newer {
            *current = Arc::new(config.clone());
        }
        newer
    });
    if !adopted {
        return;
    }
    context
        .config_feed
        .record_adoption(context.clock.now(), source);
    context
        .metrics
        .gauge(names::CONFIG_VERSION, config.version.get());
    log::info!(
        "configuration version {} is in force, learned from {source}",
        config.version
    );
    context.phase.send_if_modified(|phase| {
        let first = *phase == LifecyclePhase::Starting;
        if first {
            *phase = LifecyclePhase::Ready;
        }
        first
    });
}
