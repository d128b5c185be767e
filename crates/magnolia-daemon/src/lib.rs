//! The `magnoliad` daemon.

mod callers;
mod clock;
mod config_feed;
mod context;
mod daemon;
mod identity;
mod inner;
mod membership;
mod metrics;
mod ownership;
mod partition;
mod peers;
mod probing;
mod quick;
mod settings;

pub use daemon::{ExitStatus, run_main};
pub use metrics::names::{METRICS, MetricDescription, MetricKind};
pub use settings::{DaemonSettings, SettingsError};
