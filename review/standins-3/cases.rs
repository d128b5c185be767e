//! The cases. Each returns whether the rule held.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::cell::{BATCH, Cell, FINISH, IDLE_MS, Queue, WATCH, step};
use crate::executor::ServingLoad;
use crate::record::Record;

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Checks LOST, from `finish_s` after the end of the traffic: for 3 s, a job has nothing running,
/// there is room for its task twice over on executors that may run it, and under half of the
/// capacity is in use. Returns whether the rule holds for all of the jobs.
fn check_idle_jobs(cell: &Cell, queue: &str, jobs: &[String], cpu: u64, on: &[usize]) -> bool {
    let record = &cell.record;
    record.note("end of the traffic");
    thread::sleep(FINISH);
    let started = record.now();
    let mut idle_since: Vec<Option<u64>> = vec![Some(started); jobs.len()];
    let mut held = true;
    let mut reported = vec![false; jobs.len()];
    while record.now() < started + IDLE_MS + 1500 {
        let (room, used) = (cell.room_for(cpu, on), cell.used_share());
        let excused = room < 2 || used >= 0.5;
        for (number, id) in jobs.iter().enumerate() {
            let ended = cell.state(queue, id) == "completed";
            if excused || ended || !cell.runs_of(id).is_empty() {
                idle_since[number] = None;
                continue;
            }
            let since = *idle_since[number].get_or_insert(record.now());
            if record.now() - since > IDLE_MS && !reported[number] {
                reported[number] = true;
                held = false;
                record.say(format!(
                    "LOST: {id} is {:?}, has had nothing running for {} ms; there is room for {room} \
                     of its tasks, {:.0}% of the capacity is in use",
                    cell.state(queue, id),
                    record.now() - since,
                    used * 100.0
                ));
            }
        }
        pause(100);
    }
    for id in jobs {
        record.say(format!("at the end, {id} is {}", cell.state(queue, id)));
    }
    held
}

/// Jobs with large tasks wait for room; later jobs with small tasks, for which there is room, wait
/// behind them.
pub fn small_behind_large(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 16;
    let mut cell = Cell::start(record, &[BATCH, WATCH], &["a"; EXECUTORS], 16_000, &[]);
    let spread = [
        ("long_running", true.into()),
        ("anti_affinity", 1u64.into()),
    ];
    let phases = vec![step(EXECUTORS as u64, 4000, 1000, spread)];
    let (watch, accepted) = cell.submit("watch", "serve cpu=4000", phases);
    assert!(accepted, "the long-running job is accepted");
    cell.wait_runs(&watch, EXECUTORS);
    if trouble {
        let mut count = 0;
        for _ in 0..56 {
            let phases = vec![step(1, 14_000, 3800, [])];
            let (_, accepted) = cell.submit("batch", "work_ms=3800 cpu=14000", phases);
            count += usize::from(accepted);
            pause(267);
        }
        record.say(format!("{count} jobs with a large task were accepted"));
    }
    pause(6000);
    let mut jobs = Vec::new();
    for _ in 0..4 {
        let phases = vec![step(1, 1000, 3800, [])];
        let (id, accepted) = cell.submit("batch", "work_ms=1000 cpu=1000", phases);
        if accepted {
            jobs.push(id);
        }
        pause(200);
    }
    record.say(format!(
        "{} jobs with a small task were accepted",
        jobs.len()
    ));
    let all: Vec<usize> = (0..EXECUTORS).collect();
    check_idle_jobs(&cell, "batch", &jobs, 1000, &all)
}

/// A job of tasks that fill waits while others fill all executors, and goes on waiting when these
/// have ended.
pub fn filler_after_fillers(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    let mut cell = Cell::start(record, &[BATCH], &["a"; EXECUTORS], 16_000, &[]);
    if trouble {
        for _ in 0..3 {
            let phases = vec![step(8, 5500, 3800, [("fills", true.into())])];
            let (id, accepted) = cell.submit("batch", "work_ms=5000 fill cpu=5500", phases);
            assert!(accepted, "a job that fills is accepted");
            cell.wait_runs(&id, 8);
        }
    }
    pause(500);
    let phases = vec![step(8, 5500, 3800, [("fills", true.into())])];
    let (id, accepted) = cell.submit("batch", "work_ms=3800 fill cpu=5500", phases);
    record.say(format!("the last job that fills: accepted {accepted}"));
    let all: Vec<usize> = (0..EXECUTORS).collect();
    check_idle_jobs(&cell, "batch", &[id], 5500, &all)
}

/// A step of many tasks waits although a part of them finds room on executors that the policy of
/// its queue allows.
pub fn wide_step(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    let batch = Queue {
        advice: true,
        ..BATCH
    };
    let eligible = [3, 4, 5];
    let mut cell = Cell::start(
        record,
        &[batch, WATCH],
        &["a"; EXECUTORS],
        16_000,
        &eligible,
    );
    let phases = vec![step(1, 12_000, 1000, [("long_running", true.into())])];
    let (watch, accepted) = cell.submit("watch", "serve cpu=12000", phases);
    assert!(accepted, "the long-running job is accepted");
    cell.wait_runs(&watch, 1);
    pause(1000);
    let count = if trouble { 64 } else { 13 };
    let phases = vec![step(count, 5500, 3800, [])];
    let (id, accepted) = cell.submit("batch", "work_ms=2000 cpu=5500", phases);
    record.say(format!("the job of {count} tasks: accepted {accepted}"));
    let free = eligible
        .into_iter()
        .filter(|number| cell.executors[*number].used_cpu() == 0);
    let free: Vec<usize> = free.collect();
    check_idle_jobs(&cell, "batch", &[id], 5500, &free)
}

/// A task is as large as an executor.
pub fn whole_executor(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    let mut cell = Cell::start(record, &[BATCH], &["a"; EXECUTORS], 16_000, &[]);
    let cpu = if trouble { 16_000 } else { 15_000 };
    let phases = vec![step(1, cpu, 3800, [])];
    let (id, accepted) = cell.submit("batch", &format!("work_ms=3800 cpu={cpu}"), phases);
    record.say(format!("the job with a task of {cpu}: accepted {accepted}"));
    let all: Vec<usize> = (0..EXECUTORS).collect();
    check_idle_jobs(&cell, "batch", &[id], cpu, &all)
}

/// While the store is down, an executor crashes and starts again as one of another kind; tasks wait
/// that need the kind that it had.
pub fn other_kind(record: &Record, trouble: bool) -> bool {
    let kinds = ["a", "a", "b", "b", "b", "b", "b", "b"];
    let mut cell = Cell::start(record, &[BATCH], &kinds, 16_000, &[]);
    for _ in 0..6 {
        let phases = vec![step(60, 4000, 400, [("required_label", "a".into())])];
        let (_, accepted) = cell.submit("batch", "needs=a work_ms=400 cpu=4000", phases);
        assert!(accepted, "the job is accepted");
    }
    let (executor, store) = (Arc::clone(&cell.executors[0]), Arc::clone(&cell.store));
    let noted = record.clone();
    let disruption = thread::spawn(move || {
        for _ in 0..if trouble { 3 } else { 0 } {
            pause(4000);
            noted.note("the store is down");
            store.set_down(true);
            pause(500);
            executor.crash();
            pause(2000);
            executor.restart("b");
            pause(2000);
            store.set_down(false);
            noted.note("the store is back");
            // The executor becomes one of the first kind again while nothing else is wrong.
            pause(4000);
            executor.crash();
            pause(2000);
            executor.restart("a");
        }
        pause(if trouble { 4000 } else { 20_000 });
    });
    let mut held = true;
    while !disruption.is_finished() {
        for executor in cell
            .executors
            .iter()
            .filter(|executor| executor.kind() != "a")
        {
            let runs = executor.running();
            let wrong = runs.iter().find(|(_, run)| run.spec.contains("needs=a"));
            if let Some((task, _)) = wrong.filter(|_| held) {
                held = false;
                record.say(format!(
                    "ROUTE: {task} needs the label \"a\" and runs on {}, which has the label {:?}",
                    executor.id,
                    executor.kind()
                ));
            }
        }
        pause(10);
    }
    held
}

/// Executors leave every second order unanswered for a while and carry it out later; some of them
/// crash and start again before all these orders have been carried out.
pub fn late_copies(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    let mut cell = Cell::start(record, &[BATCH], &["a"; EXECUTORS], 16_000, &[]);
    let started = record.now();
    let mut begun = false;
    let mut crashed = 0;
    let mut down: Option<usize> = None;
    let mut due = 0;
    while record.now() < started + 26_000 {
        let now = record.now() - started;
        if now < 20_000 {
            let phases = vec![step(8, 4000, 400, [])];
            cell.submit("batch", "work_ms=400 cpu=4000", phases);
        }
        if trouble && !begun && now > 1000 {
            begun = true;
            record.note("every second order is left unanswered");
            cell.executors
                .iter()
                .for_each(|executor| executor.set_late(true));
        }
        if trouble && now > 6500 {
            cell.executors
                .iter()
                .for_each(|executor| executor.set_late(false));
        }
        // One executor after the other is down for 1.6 s.
        if trouble && down.is_none() && crashed < 4 && now > 7000 + crashed * 2000 {
            let number = crashed as usize;
            cell.executors[number].crash();
            down = Some(number);
            due = record.now() + 1600;
            crashed += 1;
        }
        if let Some(number) = down.filter(|_| record.now() >= due) {
            cell.executors[number].restart("a");
            down = None;
        }
        pause(100);
    }
    let again = cell
        .executors
        .iter()
        .flat_map(|executor| executor.started_again());
    let again: Vec<String> = again.collect();
    for start in &again {
        record.say(format!(
            "TWICE: started after an end `done` that was taken note of: {start}"
        ));
    }
    again.is_empty()
}

/// One job of fifteen takes 32 times as long as it says.
pub fn long_job(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    const STATED_MS: u64 = 3800;
    let mut cell = Cell::start(record, &[BATCH], &["a"; EXECUTORS], 16_000, &[]);
    let mut jobs = Vec::new();
    for number in 0..15 {
        let is_long = trouble && number == 7;
        let work = STATED_MS * if is_long { 32 } else { 1 };
        let phases = vec![step(13, 5500, STATED_MS, [])];
        let (id, accepted) = cell.submit("batch", &format!("work_ms={work} cpu=5500"), phases);
        if is_long {
            record.say(format!("{id} takes {work} ms a task"));
        }
        if accepted {
            jobs.push(id);
        }
        pause(4000);
    }
    record.say(format!("{} jobs were accepted", jobs.len()));
    let all: Vec<usize> = (0..EXECUTORS).collect();
    check_idle_jobs(&cell, "batch", &jobs, 5500, &all)
}

/// An executor loses power for good while tasks that last are started.
pub fn power_loss(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    let mut cell = Cell::start(record, &[BATCH, WATCH], &["a"; EXECUTORS], 16_000, &[]);
    for _ in 0..30 {
        let phases = vec![step(24, 4000, 300, [])];
        cell.submit("batch", "work_ms=300 cpu=4000", phases);
        pause(100);
    }
    if trouble {
        cell.executors[0].lose_power();
    }
    let lost_at = record.now();
    pause(300);
    let phases = vec![step(48, 500, 1000, [("long_running", true.into())])];
    let (id, accepted) = cell.submit("watch", "serve cpu=500", phases);
    assert!(accepted, "the long-running job is accepted");
    // No disruption is near from `contact_ms` on, and the rule asks for 4 s of calm before.
    pause(7000);
    let mut since: Option<u64> = None;
    let mut held = true;
    while record.now() < lost_at + 30_000 {
        let running = cell
            .runs_of(&id)
            .iter()
            .filter(|(number, ..)| *number > 0 || !trouble)
            .count();
        if running == 48 {
            if let Some(began) = since.filter(|_| !held) {
                record.say(format!(
                    "the tasks are back after {} ms more",
                    record.now() - began
                ));
            }
            since = None;
        } else {
            let began = *since.get_or_insert(record.now());
            if record.now() - began > IDLE_MS && held {
                held = false;
                record.say(format!(
                    "LOST: {} of 48 tasks that last have had nothing running for {} ms, {} ms after the \
                     loss of an executor; {:.0}% of the capacity is in use",
                    48 - running,
                    record.now() - began,
                    record.now() - lost_at,
                    cell.used_share() * 100.0
                ));
            }
        }
        pause(100);
    }
    held
}

/// An executor refuses a part of its requests for a while, one of which paces a task that fills.
pub fn refused_pace(record: &Record, trouble: bool) -> bool {
    const EXECUTORS: usize = 8;
    const TARGET_MS: u64 = 100;
    let mut cell = Cell::start(record, &[BATCH, WATCH], &["a"; EXECUTORS], 16_000, &[]);
    let quiet = ServingLoad {
        alone_ms: 15,
        filled_ms: 10,
    };
    let busy = ServingLoad {
        alone_ms: 40,
        filled_ms: 120,
    };
    let set_load = |cell: &Cell, load: ServingLoad| {
        for executor in &cell.executors {
            *executor.load.lock().expect("no panic") = load;
        }
    };
    set_load(&cell, quiet);
    let serving = [
        ("long_running", true.into()),
        ("anti_affinity", 1u64.into()),
        ("target_ms", TARGET_MS.into()),
        ("image", "desk".into()),
    ];
    let phases = vec![step(EXECUTORS as u64, 4000, 1000, serving)];
    let (watch, accepted) = cell.submit("watch", "serve cpu=4000", phases);
    assert!(accepted, "the long-running job is accepted");
    cell.wait_runs(&watch, EXECUTORS);
    let filling = [
        ("fills", true.into()),
        ("anti_affinity", 1u64.into()),
        ("image", "sort".into()),
    ];
    let phases = vec![step(EXECUTORS as u64, 4000, 60_000, filling)];
    let (fill, accepted) = cell.submit("batch", "work_ms=90000 fill cpu=4000", phases);
    assert!(accepted, "the job that fills is accepted");
    cell.wait_runs(&fill, EXECUTORS);
    pause(2000);
    let grey = &cell.executors[0];
    if trouble {
        record.say(format!(
            "{} refuses two of five requests for 6.5 s",
            grey.id
        ));
        grey.set_grey(true);
    }
    pause(2000);
    record.note("more callers: the tail of the tasks that serve rises");
    set_load(&cell, busy);
    pause(4500);
    grey.set_grey(false);
    record.note("no executor refuses requests any more");
    // No disruption is near from `contact_ms` on.
    pause(3000);
    record.note("calm from here on");
    let calm_from = record.now();
    let mut since: Vec<Option<u64>> = vec![None; EXECUTORS];
    let mut held = true;
    while record.now() < calm_from + 15_000 {
        for (number, executor) in cell.executors.iter().enumerate() {
            let (tail, alone) = executor.tail_ms();
            let runs = executor.running();
            let serves = runs.values().any(|run| run.serves());
            let works = runs.values().any(|run| run.fills() && run.pace > 0);
            if !(serves && works && tail > TARGET_MS && alone < TARGET_MS) {
                since[number] = None;
                continue;
            }
            let began = *since[number].get_or_insert(record.now());
            if record.now() - began > 4000 && held {
                held = false;
                record.say(format!(
                    "HARM: on {}, the tail is {tail} ms (target {TARGET_MS}, {alone} alone) for {} ms \
                     on end, and the task that fills works on",
                    executor.id,
                    record.now() - began
                ));
            }
        }
        pause(100);
    }
    held
}
