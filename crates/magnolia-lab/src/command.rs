//! Command line of `magnolia-lab`.

use std::ffi::OsString;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

use clap::{Arg, ArgMatches, Command};

use crate::capacity::run_capacity;
use crate::cell::CHILD_VARIABLE;
use crate::checker::check_all;
use crate::history::{History, HistoryWriter};
use crate::load::{LoadClient, LoadMix, LoadSettings, RunReport};
use crate::proxy::run_proxy;
use crate::scenario::{TortureSettings, run_demo, run_measure, run_torture};
use crate::standin::{self, StandinOptions};

/// Error of a failed command.
type CommandError = Box<dyn std::error::Error>;

/// Runs the command that the arguments name.
pub fn run_main(args: Vec<OsString>) -> ExitCode {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        // When the lab is killed, the processes of its cell must not outlive it.
        nix::sys::prctl::set_pdeathsig(nix::sys::signal::Signal::SIGKILL).ok();
    }
    // These commands parse the remaining arguments themselves.
    if args.get(1).is_some_and(|name| name == "daemon") {
        return magnolia_daemon::run_main(args.into_iter().skip(1)).into();
    }
    if args.get(1).is_some_and(|name| name == "bench") {
        return bench(&args[2..]);
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
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => fail(&*error),
    }
}

fn bench(args: &[OsString]) -> ExitCode {
    let args: Vec<String> = args
        .iter()
        .map(|arg| arg.to_string_lossy().into_owned())
        .collect();
    match magnolia_bench::run(&args) {
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
        .subcommand(Command::new("bench").about("Runs benchmarks with the arguments that follow"))
        .subcommand(Command::new("ctl").about("Runs magnoliactl with the arguments that follow"))
        .subcommand(standin_command("log", "Runs a stand-in of the log service").arg(listen_arg()))
        .subcommand(
            standin_command("instances", "Runs a stand-in of the instance list").arg(listen_arg()),
        )
        .subcommand(
            standin_command(
                "workers",
                "Runs stand-ins of the workers of a configuration file",
            )
            .arg(config_arg()),
        )
        .subcommand(
            standin_command(
                "executors",
                "Runs stand-ins of the executors of a configuration file",
            )
            .arg(config_arg()),
        )
        .subcommand(
            Command::new("proxy")
                .about("Runs a fault-injecting TCP proxy")
                .args([
                    listen_arg(),
                    address_arg("target", "Address to connect to"),
                    address_arg("control", "Address of PUT /faults and POST /black-hole"),
                    history_arg("Appends events to this file"),
                ]),
        )
        .subcommand(
            Command::new("load")
                .about("Sends work to daemons and reports the results")
                .arg(
                    address_arg("daemon", "Address of a daemon for callers; may repeat")
                        .action(clap::ArgAction::Append),
                )
                .args(load_args())
                .arg(
                    Arg::new("mix")
                        .long("mix")
                        .default_value("quick=76,once=10,batch=10,batch-once=1,gang=2,service=1")
                        .value_parser(|text: &str| text.parse::<LoadMix>())
                        .help("Weights of the kinds of work"),
                )
                .arg(history_arg("Folder of the histories").required(true)),
        )
        .subcommand(
            Command::new("demo")
                .about("Runs a cell for some 30 s, kills a daemon and reports what that cost"),
        )
        .subcommand(
            Command::new("torture")
                .about("Runs a cell under random faults and checks the histories")
                .args(load_args()),
        )
        .subcommand(
            Command::new("measure")
                .about("Measures what failures, stops and changes cost")
                .arg(number_arg::<u64>("runs", "5", "Runs of each measurement"))
                .arg(
                    Arg::new("only")
                        .long("only")
                        .value_parser(["kill", "stop", "configuration", "leaving"])
                        .help("Takes this measurement alone"),
                ),
        )
        .subcommand(
            Command::new("capacity")
                .about("Measures what a daemon costs and works out the target size from it")
                .arg(number_arg::<u64>(
                    "window",
                    "10",
                    "Seconds of one measurement",
                ))
                .arg(
                    Arg::new("series")
                        .long("series")
                        .help("Measures only this series"),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Checks the histories of a folder")
                .arg(Arg::new("folder").required(true)),
        )
}

fn standin_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).args([
        history_arg("Appends events to this file"),
        number_arg::<u64>("seed", "0", "Seed of the random choices"),
        Arg::new("faults")
            .long("faults")
            .help("Faults from the start, as the body of PUT /faults"),
    ])
}

fn load_args() -> [Arg; 3] {
    [
        number_arg::<u32>("rate", "50", "Operations a second"),
        number_arg::<u64>("duration", "20", "Seconds of the run"),
        number_arg::<u64>("seed", "1", "Seed of the choices"),
    ]
}

fn listen_arg() -> Arg {
    address_arg("listen", "Address to listen on")
}

fn address_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .required(true)
        .value_parser(|text: &str| text.parse::<SocketAddr>())
        .help(help)
}

fn number_arg<T>(name: &'static str, default: &'static str, help: &'static str) -> Arg
where
    T: std::str::FromStr + Clone + Send + Sync + 'static,
    T::Err: std::error::Error + Send + Sync + 'static,
{
    Arg::new(name)
        .long(name)
        .default_value(default)
        .value_parser(|text: &str| text.parse::<T>())
        .help(help)
}

fn history_arg(help: &'static str) -> Arg {
    Arg::new("history")
        .long("history")
        .value_parser(clap::value_parser!(PathBuf))
        .help(help)
}

fn config_arg() -> Arg {
    Arg::new("config")
        .long("config")
        .required(true)
        .help("TOML file with inventory and rules")
}

async fn dispatch(matches: &ArgMatches) -> Result<bool, CommandError> {
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(false);
    };
    match name {
        "log" => standin::run_log(value(matches, "listen"), &options(matches)?).await?,
        "instances" => standin::run_instances(value(matches, "listen"), &options(matches)?).await?,
        "workers" => {
            let document = standin::load_config(&value::<String>(matches, "config"))?;
            standin::run_workers(&document, &options(matches)?).await?;
        }
        "executors" => {
            let document = standin::load_config(&value::<String>(matches, "config"))?;
            standin::run_executors(&document, &options(matches)?).await?;
        }
        "proxy" => {
            let (listen, target) = (value(matches, "listen"), value(matches, "target"));
            run_proxy(listen, target, value(matches, "control"), history(matches)?).await?;
        }
        "load" => load(matches).await?,
        "demo" => return Ok(run_demo(&std::env::current_exe()?, &scenario_folder()).await?),
        "torture" => {
            let settings = TortureSettings {
                seed: value(matches, "seed"),
                duration: Duration::from_secs(value(matches, "duration")),
                rate: value(matches, "rate"),
            };
            return Ok(
                run_torture(&std::env::current_exe()?, &scenario_folder(), &settings).await?,
            );
        }
        "measure" => {
            let runs = value(matches, "runs");
            let only = matches.get_one::<String>("only").map(String::as_str);
            run_measure(&std::env::current_exe()?, &scenario_folder(), runs, only).await?;
        }
        "capacity" => {
            let window = Duration::from_secs(value(matches, "window"));
            let only = matches.get_one::<String>("series").map(String::as_str);
            run_capacity(&std::env::current_exe()?, &scenario_folder(), window, only).await?;
        }
        "check" => return check(Path::new(&value::<String>(matches, "folder"))),
        _ => return Ok(false),
    }
    Ok(true)
}

/// Returns the value of a flag that is required or has a default.
fn value<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    matches
        .get_one::<T>(name)
        .cloned()
        .expect("clap refuses a missing required flag")
}

/// Returns the folder in which this process keeps the files of a run.
fn scenario_folder() -> PathBuf {
    std::env::temp_dir().join(format!("magnolia-lab-{}", std::process::id()))
}

fn history(matches: &ArgMatches) -> std::io::Result<HistoryWriter> {
    match matches.get_one::<PathBuf>("history") {
        Some(path) => HistoryWriter::open(path),
        None => Ok(HistoryWriter::new()),
    }
}

fn options(matches: &ArgMatches) -> std::io::Result<StandinOptions> {
    Ok(StandinOptions {
        history: history(matches)?,
        seed: value(matches, "seed"),
        faults: matches.get_one::<String>("faults").cloned(),
    })
}

async fn load(matches: &ArgMatches) -> Result<(), CommandError> {
    let folder: PathBuf = value(matches, "history");
    std::fs::create_dir_all(&folder)?;
    let daemons = matches.get_many::<SocketAddr>("daemon").unwrap_or_default();
    let duration = Duration::from_secs(value(matches, "duration"));
    let settings = LoadSettings {
        daemons: daemons
            .map(|daemon| (daemon.to_string().into(), *daemon))
            .collect(),
        rate: value(matches, "rate"),
        mix: value(matches, "mix"),
        duration,
        max_job_wait: duration,
        seed: value(matches, "seed"),
        history: HistoryWriter::open(&folder.join("load.jsonl"))?,
    };
    LoadClient::new(settings).run().await;
    let report = RunReport::new(&History::read(&folder)?);
    Ok(write!(std::io::stdout(), "{report}")?)
}

fn check(folder: &Path) -> Result<bool, CommandError> {
    let history = History::read(folder)?;
    let violations = check_all(&history);
    let mut out = std::io::stdout();
    write!(out, "{}", RunReport::new(&history))?;
    for violation in &violations {
        writeln!(out, "{violation}")?;
    }
    writeln!(
        out,
        "{} events, {} violations",
        history.records.len(),
        violations.len()
    )?;
    Ok(violations.is_empty())
}
