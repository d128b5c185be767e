//! Commands of `magnolia-lab`.

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Arg, ArgMatches, Command};

use crate::standin::{self, StandinError};

/// Runs the command that the arguments name.
pub fn run_main(args: Vec<OsString>) -> ExitCode {
    // These two take every further argument as it is and report their own usage.
    if args.get(1).is_some_and(|name| name == "daemon") {
        return magnolia_daemon::run_main(args.into_iter().skip(1)).into();
    }
    if args.get(1).is_some_and(|name| name == "ctl") {
        return magnolia_cli::run_main(args.into_iter().skip(1)).into();
    }
    let matches = command().get_matches_from(args);
    logforth::starter_log::stderr().apply();
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => return fail(&error),
    };
    match runtime.block_on(dispatch(&matches)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&error),
    }
}

fn fail(error: &dyn std::fmt::Display) -> ExitCode {
    eprintln!("magnolia-lab: {error}");
    ExitCode::FAILURE
}

fn command() -> Command {
    Command::new("magnolia-lab")
        .about("Stand-ins of the platform and tools to try the scheduler")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .subcommand(Command::new("daemon").about("Runs magnoliad with the arguments that follow"))
        .subcommand(Command::new("ctl").about("Runs magnoliactl with the arguments that follow"))
        .subcommand(
            Command::new("log")
                .about("Runs a stand-in of the log service")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("instances")
                .about("Runs a stand-in of the instance list")
                .arg(listen_arg()),
        )
        .subcommand(
            Command::new("workers")
                .about("Runs stand-ins of the workers of a configuration file")
                .arg(config_arg()),
        )
        .subcommand(
            Command::new("executors")
                .about("Runs stand-ins of the executors of a configuration file")
                .arg(config_arg()),
        )
}

fn listen_arg() -> Arg {
    Arg::new("listen")
        .long("listen")
        .required(true)
        .value_parser(|text: &str| text.parse::<SocketAddr>())
        .help("Address to listen on")
}

fn config_arg() -> Arg {
    Arg::new("config")
        .long("config")
        .required(true)
        .help("TOML file with inventory and rules")
}

async fn dispatch(matches: &ArgMatches) -> Result<(), StandinError> {
    match matches.subcommand() {
        Some(("log", matches)) => standin::run_log(listen(matches)).await,
        Some(("instances", matches)) => standin::run_instances(listen(matches)).await,
        Some(("workers", matches)) => standin::run_workers(&standin::load(path(matches))?).await,
        Some(("executors", matches)) => {
            standin::run_executors(&standin::load(path(matches))?).await
        }
        _ => Ok(()),
    }
}

fn listen(matches: &ArgMatches) -> SocketAddr {
    *matches
        .get_one("listen")
        .expect("clap refuses a missing required flag")
}

fn path(matches: &ArgMatches) -> &str {
    matches
        .get_one::<String>("config")
        .expect("clap refuses a missing required flag")
}
