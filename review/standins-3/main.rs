//! Stand-ins for the cases of a review: `cases CASE FOLDER`. Exits with 0 if the rule held, 1 if it
//! was broken, and 2 if the case could not run.

mod advice;
mod cases;
mod cell;
mod executor;
mod json;
mod net;
mod record;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;

use record::Record;

/// Longest duration of a case; the issue allows 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let case: fn(&Record, bool) -> bool = match name.as_str() {
        "small-behind-large" => cases::small_behind_large,
        "filler-after-fillers" => cases::filler_after_fillers,
        "wide-step" => cases::wide_step,
        "whole-executor" => cases::whole_executor,
        "other-kind" => cases::other_kind,
        "late-copies" => cases::late_copies,
        "long-job" => cases::long_job,
        "power-loss" => cases::power_loss,
        "refused-pace" => cases::refused_pace,
        _ => {
            eprintln!("no such case: {name}");
            return ExitCode::from(2);
        }
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("can't write the record in {folder}");
        return ExitCode::from(2);
    };
    cell::limit_time(TIME_LIMIT);
    record.note(format!("case {name}, with the disruption: {trouble}"));
    match catch_unwind(AssertUnwindSafe(|| case(&record, trouble))) {
        Ok(true) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Err(_) => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
