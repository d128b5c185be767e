//! Runs every benchmark with reduced work through the command line.

use magnolia_bench::{BenchError, run};

fn args(text: &str) -> Vec<String> {
    text.split_whitespace().map(str::to_owned).collect()
}

macro_rules! command_case {
    ($($name:ident),*) => {
        $(
            /// Guards against a benchmark that fails on its own generated work.
            #[test]
            fn $name() {
                let line = format!("{} --small --seeds 1,2 --json", stringify!($name).replace('_', "-"));
                run(&args(&line)).unwrap();
            }
        )*
    };
}

command_case!(
    decisions, packing, waiting, floods, job_floods, faults, executors, heavy_days, memory
);

/// Guards against wrong arguments that are taken for a run without results.
#[test]
fn wrong_arguments_are_refused() {
    for line in ["", "packing --seeds x", "unknown", "packing --rounds 3"] {
        assert!(
            matches!(run(&args(line)), Err(BenchError::Usage(_))),
            "{line}"
        );
    }
}
