//! Command line of the benchmarks.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{
    BenchError, BenchReport, BenchScope, account_costs, decisions, executors, faults, floods,
    heavy_days, job_floods, memory, packing, waiting,
};

type BenchFunction = fn(&BenchScope) -> Result<BenchReport, BenchError>;

/// Every benchmark with its name, help text and function.
const BENCHMARKS: [(&str, &str, BenchFunction); 10] = [
    (
        "decisions",
        "Time of a placement decision and decisions a second",
        decisions::run,
    ),
    (
        "packing",
        "Use of the scarcest resource when the first job has to wait",
        packing::run,
    ),
    (
        "waiting",
        "Waiting time by class from load 0.3 to 1.2",
        waiting::run,
    ),
    (
        "floods",
        "What other classes keep during floods of ten times capacity",
        floods::run,
    ),
    (
        "job-floods",
        "What other classes of jobs keep during floods of ten times capacity",
        job_floods::run,
    ),
    (
        "faults",
        "Faulty workers, impossible jobs and waves of cancellations",
        faults::run,
    ),
    (
        "executors",
        "Choice of executors and division of their slots",
        executors::run,
    ),
    (
        "heavy-days",
        "What callers of a full cell get, beside simpler decisions and without its limits",
        heavy_days::run,
    ),
    (
        "accounts",
        "Time and memory by the number of client accounts",
        account_costs::run,
    ),
    (
        "memory",
        "Memory per worker and per waiting task",
        memory::run,
    ),
];

/// Runs the benchmark that the first argument names, or all of them.
///
/// # Errors
///
/// Fails when the arguments are not valid or a benchmark fails.
pub fn run(args: &[String]) -> Result<(), BenchError> {
    let matches = command()
        .try_get_matches_from(std::iter::once("bench").chain(args.iter().map(String::as_str)))?;
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    let scope = parse_scope(matches);
    for (benchmark_name, _, benchmark) in BENCHMARKS {
        if name != benchmark_name && name != "all" {
            continue;
        }
        let report = benchmark(&scope)?;
        if matches.get_flag("json") {
            println!("{}", report.to_json()?);
        } else {
            println!("{report}");
        }
    }
    Ok(())
}

/// Returns the definition of the command line.
pub fn command() -> Command {
    let all = ("all", "Every benchmark in turn");
    let benchmarks = BENCHMARKS.iter().map(|&(name, about, _)| (name, about));
    let subcommands = benchmarks.chain([all]).map(|(name, about)| {
        Command::new(name)
            .about(about)
            .arg(
                Arg::new("seeds")
                    .long("seeds")
                    .value_delimiter(',')
                    .value_parser(clap::value_parser!(u64))
                    .default_value("1,2,3,4,5")
                    .help("Seeds of the generated work, one run each"),
            )
            .arg(
                Arg::new("json")
                    .long("json")
                    .action(ArgAction::SetTrue)
                    .help("Prints the report as JSON"),
            )
            .arg(
                Arg::new("small")
                    .long("small")
                    .action(ArgAction::SetTrue)
                    .help("Cuts the work down to try the command; the figures mean nothing"),
            )
    });
    Command::new("bench")
        .about("Benchmarks of the decision logic, always policy against baseline")
        .subcommand_required(true)
        .subcommands(subcommands)
}

fn parse_scope(matches: &ArgMatches) -> BenchScope {
    let seeds = matches.get_many::<u64>("seeds");
    BenchScope {
        seeds: seeds.unwrap_or_default().copied().collect(),
        small: matches.get_flag("small"),
    }
}
