//! The `magnoliad` daemon.

mod callers;
mod clock;
mod config_feed;
mod context;
mod daemon;
mod drain;
mod identity;
mod inner;
mod membership;
mod metrics;
mod ownership;
pub mod partition;
mod peers;
mod probing;
mod quick;
mod settings;

#[cfg(test)]
mod membership_tests;

pub use context::{DaemonContext, LifecyclePhase};
pub use daemon::{ExitStatus, run_daemon, run_main};
pub use inner::InnerHandler;
pub use membership::MemberEntry;
pub use metrics::names::{METRICS, MetricDescription, MetricKind};
pub use settings::{DaemonSettings, SettingsError};
