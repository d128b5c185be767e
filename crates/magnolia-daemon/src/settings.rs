//! Settings from flags and environment variables.

use std::ffi::OsString;
use std::net::SocketAddr;

use clap::{Arg, ArgMatches, Command};
use magnolia_types::{DaemonId, DataCentreName, Millis};

/// Retention that is assumed when the platform names none: one day.
const DEFAULT_LOG_RETENTION_MS: &str = "86400000";

/// Everything that a daemon learns from its surroundings at start.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Where it runs.
    pub data_centre: DataCentreName,
    /// Address for callers and operators.
    pub listen: SocketAddr,
    /// Address for other daemons.
    pub inner_listen: SocketAddr,
    /// Address that other daemons use, when it differs from `inner_listen`.
    pub inner_advertise: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// How long the log keeps records.
    pub log_retention: Millis,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Address of a statsd server; metrics go nowhere when absent.
    pub statsd: Option<SocketAddr>,
}

/// A setting that is missing or malformed, or a request for help.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] pub clap::Error);

impl DaemonSettings {
    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Fails when a setting is missing or malformed; the error names the flag and the value.
    pub fn from_args(args: impl IntoIterator<Item = OsString>) -> Result<Self, SettingsError> {
        let matches = Self::command().try_get_matches_from(args)?;
        let inner_listen = required(&matches, "inner-listen");
        Ok(Self {
            daemon: required(&matches, "daemon"),
            data_centre: required(&matches, "data-centre"),
            listen: required(&matches, "listen"),
            inner_listen,
            inner_advertise: optional(&matches, "inner-advertise").unwrap_or(inner_listen),
            log: required(&matches, "log"),
            log_retention: required(&matches, "log-retention-ms"),
            instances: required(&matches, "instances"),
            statsd: optional(&matches, "statsd"),
        })
    }

    /// Describes the flags and environment variables.
    pub fn command() -> Command {
        Command::new("magnoliad")
            .about("Scheduler daemon of a magnoliawing cell")
            .version(env!("CARGO_PKG_VERSION"))
            .arg(flag::<DaemonId>(
                "daemon",
                "MAGNOLIA_DAEMON",
                "Name of this daemon",
            ))
            .arg(flag::<DataCentreName>(
                "data-centre",
                "MAGNOLIA_DATA_CENTRE",
                "Data centre of this daemon",
            ))
            .arg(flag::<SocketAddr>(
                "listen",
                "MAGNOLIA_LISTEN",
                "Address for callers",
            ))
            .arg(flag::<SocketAddr>(
                "inner-listen",
                "MAGNOLIA_INNER_LISTEN",
                "Address for other daemons",
            ))
            .arg(
                flag::<SocketAddr>(
                    "inner-advertise",
                    "MAGNOLIA_INNER_ADVERTISE",
                    "Address that other daemons use; the default is that of --inner-listen",
                )
                .required(false),
            )
            .arg(flag::<SocketAddr>(
                "log",
                "MAGNOLIA_LOG",
                "Address of the log service",
            ))
            .arg(
                flag::<Millis>(
                    "log-retention-ms",
                    "MAGNOLIA_LOG_RETENTION_MS",
                    "How long the log keeps records",
                )
                .required(false)
                .default_value(DEFAULT_LOG_RETENTION_MS),
            )
            .arg(flag::<SocketAddr>(
                "instances",
                "MAGNOLIA_INSTANCES",
                "Address of the instance list",
            ))
            .arg(
                flag::<SocketAddr>("statsd", "MAGNOLIA_STATSD", "UDP address for metrics")
                    .required(false),
            )
    }
}

/// Describes a required flag that also reads an environment variable.
fn flag<T>(name: &'static str, variable: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .env(variable)
        .value_name(name.to_uppercase())
        .value_parser(|text: &str| text.parse::<T>())
        .required(true)
        .help(help)
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("clap refuses a missing required flag")
}

fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}
