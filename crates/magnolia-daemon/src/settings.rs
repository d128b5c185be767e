//! Settings from command-line flags and environment variables.

use std::ffi::OsString;
use std::net::SocketAddr;

use clap::builder::PossibleValuesParser;
use clap::error::ErrorKind;
use clap::{Arg, ArgMatches, Command};
use log::LevelFilter;
use magnolia_types::{DaemonId, DataCentreName, Millis};

/// Default retention of the log in milliseconds: one day.
const DEFAULT_LOG_RETENTION_MS: &str = "86400000";
/// Minimum retention with which snapshots can be appended again in time.
const MIN_LOG_RETENTION: Millis = Millis::from_secs(10);
/// Default grace period of a stop in milliseconds, in which load balancers notice the failed
/// readiness check.
const DEFAULT_DRAIN_GRACE_MS: &str = "2000";
/// Log levels, from the fewest lines to the most.
const LOG_LEVELS: [&str; 6] = ["off", "error", "warn", "info", "debug", "trace"];
/// Description of a valid address in error messages.
const ALLOWED_ADDRESS: &str = "allowed: an IP address and a port from 1, such as 127.0.0.1:7700";

/// Settings of a daemon, fixed at its start.
#[derive(Clone, Debug)]
pub struct DaemonSettings {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Data centre of the daemon.
    pub data_centre: DataCentreName,
    /// Address on which the daemon listens for callers and operators.
    pub listen: SocketAddr,
    /// Address on which the daemon listens for other daemons.
    pub inner_listen: SocketAddr,
    /// Address at which other daemons reach this one; the default is `inner_listen`.
    pub inner_advertise: SocketAddr,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Retention of the log.
    pub log_retention_ms: Millis,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Address of a statsd server; without it, metrics are not sent.
    pub statsd: Option<SocketAddr>,
    /// Grace period of a stop: minimum time between the failure of the readiness check and the
    /// refusal of new work.
    pub drain_grace: Millis,
    /// Least urgent log level that is written.
    pub log_level: LevelFilter,
}

/// A setting that is missing or malformed, or a request for help.
#[derive(Debug, thiserror::Error)]
#[error(transparent)]
pub struct SettingsError(#[from] pub clap::Error);

impl DaemonSettings {
    /// Parses the settings from arguments and environment variables.
    ///
    /// # Errors
    ///
    /// Fails when a setting is missing or malformed; the error names the flag, the value and what
    /// is allowed.
    pub fn from_args(args: impl IntoIterator<Item = OsString>) -> Result<Self, SettingsError> {
        let mut command = Self::command();
        let matches = command.try_get_matches_from_mut(args)?;
        let inner_listen = required(&matches, "inner-listen");
        let settings = Self {
            daemon: required(&matches, "daemon"),
            data_centre: required(&matches, "data-centre"),
            listen: required(&matches, "listen"),
            inner_listen,
            inner_advertise: optional(&matches, "inner-advertise").unwrap_or(inner_listen),
            log: required(&matches, "log"),
            log_retention_ms: required(&matches, "log-retention-ms"),
            instances: required(&matches, "instances"),
            statsd: optional(&matches, "statsd"),
            drain_grace: required(&matches, "drain-grace-ms"),
            log_level: log_level(&matches),
        };
        match settings.check() {
            Ok(()) => Ok(settings),
            Err(message) => Err(command.error(ErrorKind::ValueValidation, message).into()),
        }
    }

    /// Returns the command-line definition: flags, environment variables and help texts.
    pub fn command() -> Command {
        Command::new("magnoliad")
            .about("Scheduler daemon of a magnoliawing cell")
            .version(env!("CARGO_PKG_VERSION"))
            .after_help(
                "Exit codes: 0 stopped as asked, 1 failed to start or failed, 2 a setting is \
                 missing or malformed, 3 requests were still in flight at the end of the drain \
                 time.",
            )
            .arg(flag::<DaemonId>(
                "daemon",
                "MAGNOLIA_DAEMON",
                "Name of this daemon, unique in the cell",
            ))
            .arg(flag::<DataCentreName>(
                "data-centre",
                "MAGNOLIA_DATA_CENTRE",
                "Data centre of this daemon",
            ))
            .arg(address(
                "listen",
                "MAGNOLIA_LISTEN",
                "Address for callers and operators",
            ))
            .arg(address(
                "inner-listen",
                "MAGNOLIA_INNER_LISTEN",
                "Address for other daemons",
            ))
            .arg(
                address(
                    "inner-advertise",
                    "MAGNOLIA_INNER_ADVERTISE",
                    "Address that other daemons use; the default is that of --inner-listen",
                )
                .required(false),
            )
            .arg(address("log", "MAGNOLIA_LOG", "Address of the log service"))
            .arg(
                flag::<Millis>(
                    "log-retention-ms",
                    "MAGNOLIA_LOG_RETENTION_MS",
                    "How long the log keeps a record, in milliseconds",
                )
                .default_value(DEFAULT_LOG_RETENTION_MS)
                .required(false),
            )
            .arg(address(
                "instances",
                "MAGNOLIA_INSTANCES",
                "Address of the instance list",
            ))
            .arg(address("statsd", "MAGNOLIA_STATSD", "UDP address for metrics").required(false))
            .arg(
                flag::<Millis>(
                    "drain-grace-ms",
                    "MAGNOLIA_DRAIN_GRACE_MS",
                    "How long requests are taken after the readiness fails at a stop, in \
                     milliseconds",
                )
                .default_value(DEFAULT_DRAIN_GRACE_MS)
                .required(false),
            )
            .arg(
                Arg::new("log-level")
                    .long("log-level")
                    .env("MAGNOLIA_LOG_LEVEL")
                    .value_name("LEVEL")
                    .value_parser(PossibleValuesParser::new(LOG_LEVELS))
                    .default_value("info")
                    .help("Least urgent level of log lines on standard error"),
            )
    }

    /// Checks constraints that the parsers of the flags do not cover.
    fn check(&self) -> Result<(), String> {
        if self.inner_advertise.ip().is_unspecified() {
            return Err(format!(
                "--inner-advertise: {} is not an address that other daemons can reach; allowed: \
                 the address of one host (give --inner-advertise when --inner-listen names all)",
                self.inner_advertise
            ));
        }
        if self.listen == self.inner_listen {
            return Err(format!(
                "--inner-listen: {} is also the address of --listen; allowed: another address",
                self.inner_listen
            ));
        }
        if self.log_retention_ms < MIN_LOG_RETENTION {
            return Err(format!(
                "--log-retention-ms: {} is not allowed; allowed: {} or more",
                self.log_retention_ms.get(),
                MIN_LOG_RETENTION.get()
            ));
        }
        Ok(())
    }
}

/// Defines a required flag that can also be set by an environment variable.
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

/// Defines a flag that takes an address.
fn address(name: &'static str, variable: &'static str, help: &'static str) -> Arg {
    flag::<SocketAddr>(name, variable, help)
        .value_name("IP:PORT")
        .value_parser(parse_address)
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    match text.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(address),
        _ => Err(ALLOWED_ADDRESS.into()),
    }
}

fn log_level(matches: &ArgMatches) -> LevelFilter {
    let name: String = required(matches, "log-level");
    name.parse().unwrap_or(LevelFilter::Info)
}

fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    optional(matches, name).expect("clap refuses a missing required flag")
}

fn optional<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> Option<T> {
    matches.get_one::<T>(name).cloned()
}
