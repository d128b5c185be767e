//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::{Cell, Children};
use crate::executor::Executor;
use crate::record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

/// Runs a case by its name.
pub fn run(
    case: &str,
    edge: &Path,
    record: &Arc<Record>,
    children: &Children,
    trouble: bool,
) -> Verdict {
    let start = |executors, cpu| Cell::start(edge, record, children, executors, cpu);
    let cell = match case {
        "many-ends" => start(2, 32_000),
        "lasting-done" => start(2, 32_000),
        "long-record" => start(2, 32_000),
        "hopeless-jobs" => start(4, 32_000),
        "foreign-entry" => start(2, 32_000),
        _ => return Verdict::NotRun(format!("no case named {case}")),
    };
    let Some(cell) = cell else {
        return Verdict::NotRun("the daemons did not start".to_owned());
    };
    match case {
        "many-ends" => many_ends(&cell, trouble),
        "lasting-done" => lasting_done(&cell, trouble),
        "long-record" => long_record(&cell, trouble),
        "hopeless-jobs" => hopeless_jobs(&cell, trouble),
        _ => foreign_entry(&cell, trouble),
    }
}

fn seconds(count: f64) {
    thread::sleep(Duration::from_secs_f64(count));
}

/// Jobs with many short tasks run while the store is down.
fn many_ends(cell: &Cell, trouble: bool) -> Verdict {
    const JOBS: u64 = 40;
    let body = "{\"spec\":\"400\",\"phases\":[{\"count\":150,\"cpu\":250,\"mem_mb\":64,\"est_runtime_ms\":400}]}";
    let ids: Vec<String> = (1..=JOBS).map(|n| format!("5c0e7a21d94b{n:04x}")).collect();
    for id in &ids {
        if !cell.submit(id, body) {
            return Verdict::NotRun(format!("job {id} was not accepted"));
        }
    }
    if trouble {
        cell.store.set_down(true);
        seconds(4.2);
        cell.store.set_down(false);
    } else {
        seconds(4.2);
    }
    for _ in 0..40 {
        seconds(1.0);
        if ids.iter().all(|id| cell.state(id) == "completed") {
            break;
        }
    }
    seconds(3.0);
    let breaches = cell.record.breaches_of_twice();
    breaches.iter().for_each(|breach| cell.record.line(breach));
    match breaches.first() {
        Some(first) => Verdict::Broken(format!("{} times, the first: {first}", breaches.len())),
        None => Verdict::Held,
    }
}

/// A task that lasts ends `done`.
fn lasting_done(cell: &Cell, trouble: bool) -> Verdict {
    const ID: &str = "5c0e7a21d94b36f8";
    const TASKS: usize = 4;
    let body = "{\"spec\":\"watch\",\"phases\":[{\"count\":4,\"cpu\":500,\"mem_mb\":256,\
                \"est_runtime_ms\":500,\"long_running\":true}]}";
    if !cell.submit(ID, body) {
        return Verdict::NotRun("the job was not accepted".to_owned());
    }
    let running = || -> Vec<String> {
        let lists = cell.executors.iter().map(|executor| executor.running());
        lists.flatten().collect()
    };
    seconds(5.0);
    if running().len() != TASKS {
        return Verdict::NotRun(format!("{} tasks run", running().len()));
    }
    if trouble {
        let task = format!("{ID}.0.0.1");
        for executor in &cell.executors {
            executor.end_task(&task, "done");
        }
        cell.record
            .line(format!("{task} ends of its own accord, done"));
    }
    // 6 s after the last run of the task, and then 3 s with nothing running; twice as long to be
    // safe.
    let mut away = 0.0;
    for _ in 0..200 {
        seconds(0.1);
        if running().len() == TASKS {
            away = 0.0;
        } else {
            away += 0.1;
        }
    }
    let state = cell.state(ID);
    cell.record
        .line(format!("{:?} run; the job is shown as {state}", running()));
    if away > 9.0 {
        let missing = TASKS - running().len();
        return Verdict::Broken(format!(
            "LOST: {missing} tasks that last have not run for {away:.1} s; the job is shown as {state}"
        ));
    }
    Verdict::Held
}

/// A job of very many steps comes.
fn long_record(cell: &Cell, trouble: bool) -> Verdict {
    const LARGE: &str = "5c0e7a21d94b36f8";
    const STEPS: usize = 9500;
    const SMALL_JOBS: usize = 4;
    let ids: Vec<String> = (1..=10).map(|n| format!("5c0e7a21d94c{n:04x}")).collect();
    let small = "{\"spec\":\"4000\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\
                 \"est_runtime_ms\":4000}]}";
    let watch = "{\"spec\":\"watch\",\"phases\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\
                 \"est_runtime_ms\":500,\"long_running\":true}]}";
    for (index, id) in ids.iter().enumerate() {
        let body = if index < SMALL_JOBS { small } else { watch };
        if !cell.submit(id, body) {
            return Verdict::NotRun(format!("job {id} was not accepted"));
        }
    }
    seconds(1.0);
    if trouble {
        let steps = vec!["{\"count\":1,\"cpu\":500}"; STEPS].join(",");
        let large = format!("{{\"spec\":\"500\",\"phases\":[{steps}]}}");
        let accepted = cell.submit(LARGE, &large);
        cell.record
            .line(format!("the large job was accepted: {accepted}"));
    } else {
        seconds(20.0);
    }
    seconds(10.0);
    ids.iter().for_each(|id| drop(cell.state(id)));
    // Each cancellation is sent again until it has waited for `ack_ms`.
    let mut unanswered = 0;
    let cancels = &ids[SMALL_JOBS..];
    for id in cancels {
        let sent = cell.record.now_ms();
        let mut acked = false;
        while !acked && cell.record.now_ms() < sent + 4000 {
            let answer = cell.request(0, "DELETE", id, "");
            acked = answer.is_some_and(|(status, _)| status / 100 == 2 || status == 410);
        }
        unanswered += usize::from(!acked);
    }
    let done = ids[..SMALL_JOBS]
        .iter()
        .filter(|id| cell.state(id) == "completed")
        .count();
    cell.record.line(format!(
        "{done} of {SMALL_JOBS} jobs whose tasks have ended are completed"
    ));
    if unanswered * 10 > cancels.len() {
        return Verdict::Broken(format!(
            "Acks: {unanswered} of {} cancellations of accepted jobs have no 2xx or 410 after 4 s; \
             {done} of {SMALL_JOBS} jobs whose tasks have all ended are shown as completed",
            cancels.len()
        ));
    }
    Verdict::Held
}

/// Some jobs need a label that no executor has.
fn hopeless_jobs(cell: &Cell, trouble: bool) -> Verdict {
    const SPELLS: u64 = 9;
    const JOBS: u64 = 90;
    const HOPELESS: u64 = 6;
    let body = |label: &str| {
        format!(
            "{{\"spec\":\"200\",\"phases\":[{{\"count\":2,\"cpu\":500,\"mem_mb\":64,\
             \"est_runtime_ms\":200{label}}}]}}"
        )
    };
    let (plain, hopeless) = (body(""), body(",\"required_label\":\"c\""));
    let mut ids = Vec::new();
    for spell in 0..SPELLS {
        let started = cell.record.now_ms();
        for number in 0..JOBS {
            let id = format!("5c0e7a21{spell:04x}{number:04x}");
            let bad = trouble && number % (JOBS / HOPELESS) == 0;
            if !cell.submit(&id, if bad { &hopeless } else { &plain }) {
                return Verdict::NotRun(format!("job {id} was not accepted"));
            }
            if !bad {
                ids.push(id);
            }
            let due = started + (number + 1) * 3800 / JOBS;
            thread::sleep(Duration::from_millis(
                due.saturating_sub(cell.record.now_ms()),
            ));
        }
        seconds(0.5);
    }
    // `finish_s` after the end of the traffic, and then 3 s with nothing running.
    seconds(14.0);
    let waiting = |id: &&String| cell.state(id) == "queued";
    let before: Vec<String> = ids.iter().filter(waiting).cloned().collect();
    seconds(3.0);
    let after = before
        .iter()
        .filter(|id| cell.state(id) == "queued")
        .count();
    let starts = cell.record.runs().len();
    cell.record.line(format!(
        "{starts} starts; {after} of {} sound jobs wait",
        ids.len()
    ));
    if after > 0 {
        return Verdict::Broken(format!(
            "LOST: {after} of {} jobs that can be done have nothing running for 3 s, 14 s after the \
             end of the traffic, while the executors are idle",
            ids.len()
        ));
    }
    Verdict::Held
}

/// The list of executors gets an entry of another writer, which lacks fields.
fn foreign_entry(cell: &Cell, trouble: bool) -> Verdict {
    let ids: Vec<String> = (1..=10).map(|n| format!("5c0e7a21d94c{n:04x}")).collect();
    // Ten steps of 600 ms, one after the other.
    let steps = (0..10).map(|number| {
        let after = match number {
            0 => String::new(),
            later => format!(",\"after\":[{}]", later - 1),
        };
        format!("{{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":600{after}}}")
    });
    let steps = steps.collect::<Vec<_>>().join(",");
    let body = format!("{{\"spec\":\"600\",\"phases\":[{steps}]}}");
    for id in &ids {
        if !cell.submit(id, &body) {
            return Verdict::NotRun(format!("job {id} was not accepted"));
        }
    }
    let fence = 1000;
    let _foreign = trouble.then(|| Executor::start_foreign(fence, &cell.store, &cell.record));
    if trouble {
        cell.record.line(format!(
            "an entry without slots and cold_left_ms; fence {fence}"
        ));
    }
    // Each job works for 6 s; `finish_s` after that they are asked for, and 3 s later again. All have
    // steps whose turn has come until they are completed.
    seconds(6.0 + 14.0);
    let runs = || cell.record.runs().len();
    let idle = || {
        cell.executors
            .iter()
            .all(|executor| executor.running().is_empty())
    };
    let (before, was_idle) = (runs(), idle());
    let first: Vec<String> = ids.iter().map(|id| cell.state(id)).collect();
    seconds(3.0);
    let stalled = was_idle && idle() && runs() == before;
    let second: Vec<String> = ids.iter().map(|id| cell.state(id)).collect();
    let unfinished =
        |(before, after): &(&String, &String)| *before != "completed" && *after != "completed";
    let waiting = first.iter().zip(&second).filter(unfinished).count();
    cell.record
        .line(format!("{before} starts; nothing runs: {stalled}"));
    if waiting > 0 && stalled {
        return Verdict::Broken(format!(
            "LOST: {waiting} of {} accepted jobs are unfinished with nothing running; asked for, \
             they give {second:?}",
            ids.len()
        ));
    }
    Verdict::Held
}
