//! Scenarios of the second review, against processes of the project's program.
//!
//! `standins SCENARIO PROGRAM RECORD` exits with 1 if the rule was broken, 0 if it held and 2 if the
//! scenario could not run. `TROUBLE=0` in the environment leaves the disruption out.

mod cell;
mod executor;
mod net;
mod record;
mod scenarios;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

use cell::Cell;
use record::Record;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, scenario, program, path] = &arguments[..] else {
        eprintln!("usage: standins SCENARIO PROGRAM RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(Path::new(path)));
    record.line(&format!("scenario {scenario}, with the disruption: {trouble}"));
    let link_mbps = (scenario == "takeover").then_some(10);
    let cell = Cell::start(Path::new(program), Arc::clone(&record), link_mbps);
    // The cell ends its processes when it is dropped here.
    let outcome = cell.and_then(|mut cell| scenarios::play(scenario, &mut cell, trouble));
    match outcome {
        Ok(None) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Some(broken)) => {
            record.line(&format!("RULE BROKEN: {broken}"));
            println!("rule broken: {broken}");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("could not run: {reason}"));
            println!("could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
