//! Definition of the command line.

use std::net::SocketAddr;

use clap::builder::EnumValueParser;
use clap::{Arg, ArgAction, Command, value_parser};
use clap_complete::Shell;
use magnolia_types::{JobId, Millis};

use crate::work_args::{job_args, request_args};

/// Endpoint that is called when none is given.
const DEFAULT_ENDPOINT: &str = "127.0.0.1:7700";

/// End of the help text; the numbers are those of [`crate::ExitStatus`].
const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  refused, and nothing ran
  2  the command line or a file is not usable
  3  no endpoint could be reached, and nothing was sent
  4  the outcome is unknown: the call may have taken effect
  5  the work ran and failed, or the job did not end as done
  6  the wait ended before the job did";

/// Returns the definition of the command line with all subcommands.
pub fn command() -> Command {
    Command::new("magnoliactl")
        .about("Calls a magnoliawing cell: jobs, quick requests, configuration and status")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .arg(
            Arg::new("endpoint")
                .long("endpoint")
                .env("MAGNOLIA_ENDPOINTS")
                .value_name("IP:PORT")
                .value_delimiter(',')
                .action(ArgAction::Append)
                .value_parser(parse_endpoint)
                .default_value(DEFAULT_ENDPOINT)
                .global(true)
                .help("Daemon to call; repeated, the next is tried when one is out of reach"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .global(true)
                .help("Write results as JSON"),
        )
        .subcommand(config_command())
        .subcommand(job_args(
            Command::new("submit").about("Submits a job and prints its id"),
        ))
        .subcommand(request_args(
            Command::new("request").about("Sends a quick request and prints its answer"),
        ))
        .subcommand(list_command())
        .subcommand(job_command("get", "Shows a job"))
        .subcommand(
            job_command(
                "wait",
                "Waits until a job ends; progress goes to standard error",
            )
            .arg(
                Arg::new("timeout-ms")
                    .long("timeout-ms")
                    .value_parser(value_parser!(Millis))
                    .help("Longest wait; none when absent"),
            ),
        )
        .subcommand(job_command("cancel", "Cancels a job"))
        .subcommand(job_command(
            "explain",
            "Explains where a job stands and why",
        ))
        .subcommand(Command::new("status").about("Answers \"is it down?\""))
        .subcommand(Command::new("state").about("Dumps what the daemon knows, as JSON"))
        .subcommand(
            Command::new("completion")
                .about("Writes a completion script for a shell")
                .arg(
                    Arg::new("shell")
                        .required(true)
                        .value_parser(EnumValueParser::<Shell>::new()),
                ),
        )
}

fn config_command() -> Command {
    let file = |help: &'static str| {
        Arg::new("file")
            .required(true)
            .value_name("FILE")
            .help(help)
    };
    Command::new("config")
        .about("Checks, compares, publishes and shows the configuration")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(
            Command::new("check")
                .about("Checks a file without calling a daemon")
                .arg(file("TOML file with inventory and rules")),
        )
        .subcommand(
            Command::new("diff")
                .about("Shows what publishing a file would change")
                .arg(file("TOML file with inventory and rules"))
                .arg(
                    Arg::new("against")
                        .long("against")
                        .value_name("FILE")
                        .help("Compare with this file instead of the configuration in force"),
                ),
        )
        .subcommand(
            Command::new("publish")
                .about("Puts a file in force; only changed sections are sent")
                .arg(file("TOML file with inventory and rules"))
                .arg(
                    Arg::new("base")
                        .long("base")
                        .value_name("VERSION")
                        .value_parser(value_parser!(u64))
                        .help(
                            "Version that the file was made from; the default is the one that \
                             `config show --toml` wrote into its first line, else the newest",
                        ),
                )
                .arg(
                    Arg::new("author")
                        .long("author")
                        .env("USER")
                        .default_value("unknown")
                        .help("Who publishes"),
                ),
        )
        .subcommand(
            Command::new("show")
                .about("Shows the configuration in force with its version and age")
                .arg(
                    Arg::new("toml")
                        .long("toml")
                        .action(ArgAction::SetTrue)
                        .help("Write it as a file that can be edited and published"),
                ),
        )
}

fn list_command() -> Command {
    Command::new("list")
        .about("Lists jobs, newest first in each partition")
        .arg(
            Arg::new("customer")
                .long("customer")
                .help("Only of this customer"),
        )
        .arg(
            Arg::new("state")
                .long("state")
                .value_parser([
                    "waiting",
                    "running",
                    "done",
                    "failed",
                    "cancelled",
                    "unknown",
                ])
                .help("Only in this state"),
        )
        .arg(
            Arg::new("limit")
                .long("limit")
                .value_parser(value_parser!(u32).range(1..=1000))
                .default_value("100")
                .help("Most jobs to list"),
        )
}

/// Returns a subcommand that takes the id of a job.
fn job_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("job")
            .required(true)
            .value_name("JOB")
            .value_parser(value_parser!(JobId))
            .help("Id of the job"),
    )
}

fn parse_endpoint(text: &str) -> Result<SocketAddr, String> {
    let address = text
        .trim()
        .trim_start_matches("http://")
        .trim_end_matches('/');
    match address.parse::<SocketAddr>() {
        Ok(address) if address.port() > 0 => Ok(address),
        _ => Err("allowed: an IP address and a port, such as 127.0.0.1:7700".into()),
    }
}
