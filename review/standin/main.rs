//! Stand-ins and cases of the review: `standin CASE RECORD EDGE`, with the path of the record to
//! write and of the program under test. Exits with 1 if the rule was broken, 0 if it held and 2 if
//! the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod cell;
mod executor;
mod http;
mod json;
mod record;
mod store;

use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cases::Verdict;
use crate::cell::{Children, end_children};
use crate::record::Record;

/// Time after which a case that has not ended is given up.
const CASE_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path, edge] = arguments.as_slice() else {
        eprintln!("standin CASE RECORD EDGE");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let (path, edge) = (PathBuf::from(path), PathBuf::from(edge));
    let record = Arc::new(Record::new());
    let children = Children::default();
    let (watched, watched_path) = (Arc::clone(&children), path.clone());
    let watched_record = Arc::clone(&record);
    thread::spawn(move || {
        thread::sleep(CASE_LIMIT);
        watched_record.line("the case took too long");
        std::fs::write(watched_path, watched_record.text()).ok();
        end_children(&watched);
        exit(2);
    });
    record.line(format!("case {case}, disruption: {trouble}"));
    let verdict = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
        cases::run(case, &edge, &record, &children, trouble)
    }));
    end_children(&children);
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken(reason)) => (1, format!("the rule was broken: {reason}")),
        Ok(Verdict::NotRun(reason)) => (2, format!("the case could not run: {reason}")),
        Err(_) => (2, "the case panicked".to_owned()),
    };
    record.line(&*text);
    if let Err(error) = std::fs::write(&path, record.text()) {
        eprintln!("{}: {error}", path.display());
        exit(2);
    }
    println!("{case}: {text}");
    exit(code);
}
