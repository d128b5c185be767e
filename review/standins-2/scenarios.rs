//! The scenarios; each returns how the rule was broken, if it was.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::cell::{Cell, job};
use crate::executor::Executor;

type Outcome = Result<Option<String>, String>;

pub fn play(scenario: &str, cell: &mut Cell, trouble: bool) -> Outcome {
    match scenario {
        "backlog" => backlog(cell, trouble),
        "pending" => pending(cell, trouble),
        "reborn" => reborn(cell, trouble),
        "takeover" => takeover(cell, trouble),
        "memory" => memory(cell, trouble),
        _ => Err(format!("no scenario {scenario}")),
    }
}

fn key(number: u64) -> String {
    format!("{number:016x}")
}

fn expect(condition: bool, what: &str) -> Result<(), String> {
    condition.then_some(()).ok_or_else(|| what.to_owned())
}

/// `count` executors, the first `labelled` of which have the label `b` in place of `a`.
fn executors(cell: &Cell, count: usize, labelled: usize) -> Vec<Arc<Executor>> {
    let start = |number: usize| {
        let kind = if number < labelled { "b" } else { "a" };
        let rack = format!("r1-{}", number / 8);
        cell.executor(&format!("i-{number:04}"), (32_000, 131_072, 0), &[kind, &rack])
    };
    (0..count).map(start).collect()
}

/// Jobs that wait for the executors of one kind, and then one job that any executor can run.
fn backlog(cell: &mut Cell, trouble: bool) -> Outcome {
    const EXECUTORS: usize = 16;
    const LABELLED: usize = 5;
    const BACKLOG: u64 = 60;
    /// 40 jobs a second.
    const INTERVAL: Duration = Duration::from_millis(25);
    let _executors = executors(cell, EXECUTORS, LABELLED);
    cell.wait_until_serving()?;
    if trouble {
        for number in 0..BACKLOG {
            let body = job(1, 30_000, 20_000, "b", "");
            let status = cell.submit(number as usize, &key(0x100 + number), &body);
            expect(status == 200, "a job of the backlog was not accepted")?;
            thread::sleep(INTERVAL);
        }
    }
    thread::sleep(Duration::from_millis(500));
    let late = key(0x500);
    expect(cell.submit(1, &late, &job(1, 30_000, 20_000, "", "")) == 200, "the job was not accepted")?;
    // The traffic ends here. Jobs are asked for 14 s later (`finish_s`).
    let deadline = Instant::now() + Duration::from_secs(14);
    while Instant::now() < deadline {
        thread::sleep(Duration::from_millis(1000));
        cell.state(2, &late);
    }
    // For 3 s, nothing of it runs.
    let deadline = Instant::now() + Duration::from_millis(3500);
    while Instant::now() < deadline && !cell.record.has_started(&late) {
        thread::sleep(Duration::from_millis(50));
    }
    let state = cell.state(2, &late);
    if cell.record.has_started(&late) {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: job {late} was accepted; 17.5 s after the end of the traffic it is shown as {state} and no \
         task of it has started, with {} of {EXECUTORS} executors idle all the while",
        EXECUTORS - LABELLED
    )))
}

/// Jobs whose starts one executor rejects, while the others are full.
fn pending(cell: &mut Cell, trouble: bool) -> Outcome {
    const EXECUTORS: usize = 8;
    const WAITING: u64 = 6;
    let executors = executors(cell, EXECUTORS, 0);
    cell.wait_until_serving()?;
    // All executors but one are full for the rest of the scenario.
    for number in 0..EXECUTORS as u64 - 1 {
        let status = cell.submit(number as usize, &key(0x100 + number), &job(1, 30_000, 60_000, "", ""));
        expect(status == 200, "a long job was not accepted")?;
    }
    thread::sleep(Duration::from_millis(1500));
    let long = (0..EXECUTORS as u64 - 1).map(|number| key(0x100 + number));
    let mut full: BTreeMap<String, usize> = BTreeMap::new();
    for job in long {
        for event in cell.record.events_of(&job) {
            *full.entry(event.executor).or_default() += 1;
        }
    }
    expect(full.len() == EXECUTORS - 1, "the long jobs do not fill all executors but one")?;
    let idle = executors.iter().find(|executor| !full.contains_key(&executor.id));
    let idle = idle.ok_or("no idle executor")?;
    if trouble {
        idle.set_refuses_starts(true);
    }
    let began = Instant::now();
    for number in 0..WAITING {
        let status = cell.submit(number as usize, &key(0x500 + number), &job(1, 2_000, 4_000, "", ""));
        expect(status == 200, "a job was not accepted")?;
    }
    // A job counts from `visible_ms` + 2 s after it was accepted.
    thread::sleep(Duration::from_millis(5_300));
    let mut broken = None;
    for daemon in 0..3 {
        let begun = (0..WAITING).filter(|number| cell.record.has_started(&key(0x500 + number))).count();
        let waiting = WAITING - begun as u64;
        let said = cell.pending_jobs(daemon).ok_or("no answer to the count of waiting jobs")?;
        if said * 2 < waiting {
            broken = Some(format!(
                "MIXED: pending_jobs = {said}, {waiting} jobs that were accepted more than 5 s before \
                 have not begun"
            ));
        }
    }
    // The disruption ends after 6.5 s at most.
    thread::sleep(Duration::from_millis(6_400).saturating_sub(began.elapsed()));
    idle.set_refuses_starts(false);
    Ok(broken)
}

/// A start that gets no answer and is carried out late, by the next life of its executor.
fn reborn(cell: &mut Cell, trouble: bool) -> Outcome {
    const EXECUTORS: usize = 8;
    let start = |number: usize| {
        let rack = format!("r1-{number}");
        cell.executor(&format!("i-{number:04}"), (32_000, 131_072, 0), &["a", &rack])
    };
    let executors: Vec<Arc<Executor>> = (0..EXECUTORS).map(start).collect();
    cell.wait_until_serving()?;
    // The clocks of the executors have run for a while.
    thread::sleep(Duration::from_secs(8));
    let job_key = key(0x500);
    // A short job on one executor, which the next job joins because the fullest executor is chosen.
    let status = cell.submit(0, &key(0x100), &job(1, 2_000, 1_000, "r1-3", ""));
    expect(status == 200, "the short job was not accepted")?;
    thread::sleep(Duration::from_millis(200));
    if trouble {
        for executor in &executors {
            executor.hold_back_start(&job_key, Duration::from_millis(3_000));
        }
    }
    expect(cell.submit(0, &job_key, &job(1, 4_000, 8_000, "", "")) == 200, "the job was not accepted")?;
    if trouble {
        // Only the first start of the job is held back.
        let held = wait_for(Duration::from_secs(3), || {
            executors.iter().find(|executor| executor.has_held_back())
        });
        let first = held.ok_or("no start was sent")?;
        executors.iter().for_each(|executor| executor.clear_held_back());
        let moved = wait_for(Duration::from_millis(2_600), || {
            cell.record.has_started(&job_key).then_some(())
        });
        moved.ok_or("the task was not started elsewhere in time")?;
        first.kill();
        thread::sleep(Duration::from_millis(200));
        first.restart();
    }
    thread::sleep(Duration::from_secs(12));
    Ok(two_runs_at_once(cell, &job_key))
}

/// The owner is killed while many jobs are stored, with links of 10 Mbit/s.
fn takeover(cell: &mut Cell, trouble: bool) -> Outcome {
    const EXECUTORS: usize = 8;
    const SCHEDULED: u64 = 300;
    /// Longest payload of a job, in bytes.
    const PAYLOAD: usize = 4000;
    let _executors = executors(cell, EXECUTORS, 0);
    cell.wait_until_serving()?;
    // Jobs that are due every hour, first in an hour.
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    let start = now.as_millis() + 3_600_000;
    let payload = format!("{:x<PAYLOAD$}", "ms=1000");
    for number in 0..SCHEDULED {
        let body = job(4, 2_000, 1_000, "", "").replace("ms=1000", &payload);
        let times = format!(",\"repeat_count\":24,\"start_at_ms\":{start},\"interval_ms\":3600000}}");
        let body = format!("{}{times}", body.strip_suffix('}').unwrap_or(&body));
        let status = cell.submit(number as usize, &key(0x1000 + number), &body);
        expect(status == 200, "a scheduled job was not accepted")?;
    }
    let plain = key(0x500);
    expect(cell.submit(0, &plain, &job(2, 2_000, 3_000, "", "")) == 200, "the job was not accepted")?;
    thread::sleep(Duration::from_millis(500));
    if trouble {
        cell.kill_owner()?;
    }
    // The traffic ends here. Jobs are asked for 14 s later (`finish_s`), also 30 s later.
    let began = Instant::now();
    // New jobs are sent from 15 s on (`recovery_s`).
    let (mut asked, mut answered, mut sent, mut accepted) = (0, 0, 0, 0);
    while began.elapsed() < Duration::from_secs(32) {
        thread::sleep(Duration::from_millis(500));
        for daemon in 0..3 {
            let counts = began.elapsed() > Duration::from_secs(14);
            let known = !cell.state(daemon, &plain).is_empty();
            asked += usize::from(counts);
            answered += usize::from(counts && known);
        }
        if began.elapsed() > Duration::from_secs(15) {
            sent += 1;
            let status = cell.submit(sent, &key(0x600 + sent as u64), &job(1, 100, 100, "", ""));
            accepted += usize::from(status == 200);
        }
    }
    if answered > 0 {
        return Ok(None);
    }
    Ok(Some(format!(
        "LOST: from 14 s to 32 s after the kill, no daemon has told the state of job {plain}, which was \
         accepted; asked {asked} times; of {sent} new jobs, {accepted} were accepted"
    )))
}

/// Recurring jobs of many tasks, on processes that are killed when they exceed their memory.
fn memory(cell: &mut Cell, trouble: bool) -> Outcome {
    const EXECUTORS: usize = 8;
    const JOBS: u64 = 4;
    let _executors = executors(cell, EXECUTORS, 0);
    cell.wait_until_serving()?;
    let plain = key(0x500);
    expect(cell.submit(0, &plain, &job(2, 2_000, 20_000, "", "")) == 200, "the job was not accepted")?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_err(|error| error.to_string())?;
    if trouble {
        for number in 0..JOBS {
            let body = format!(
                "{{\"spec\":\"ms=50\",\"phases\":[{{\"count\":1,\"cpu\":100,\"mem_mb\":64,\
                 \"est_runtime_ms\":50}},{{\"count\":9000,\"cpu\":100,\"mem_mb\":64,\"gpus\":1,\
                 \"est_runtime_ms\":50,\"after\":[0]}}],\"repeat_count\":150,\"start_at_ms\":{},\
                 \"interval_ms\":100}}",
                now.as_millis()
            );
            let status = cell.submit(number as usize, &key(0x1000 + number), &body);
            expect(status == 200, "a recurring job was not accepted")?;
        }
    }
    // The traffic ends here. Jobs are asked for 14 s later (`finish_s`), and new ones sent 12 s after
    // it (`recovery_s`); the time starts when the last occurrence is due.
    let last_due = Duration::from_secs(15);
    let began = Instant::now();
    let (mut asked, mut answered, mut sent, mut accepted) = (0, 0, 0, 0);
    let mut next_question = last_due + Duration::from_secs(14);
    while began.elapsed() < Duration::from_secs(70) {
        thread::sleep(Duration::from_millis(100));
        cell.check_memory()?;
        if began.elapsed() < next_question {
            continue;
        }
        next_question += Duration::from_secs(4);
        asked += 1;
        answered += usize::from((0..3).any(|daemon| !cell.state(daemon, &plain).is_empty()));
        sent += 1;
        let (new, body) = (key(0x600 + sent as u64), job(1, 100, 100, "", ""));
        accepted += usize::from((0..3).any(|daemon| cell.submit(daemon, &new, &body) == 200));
    }
    let kills = cell.memory_kills();
    cell.record.line(&format!("processes killed for their memory: {kills:?} times"));
    let answers = format!(
        "from 14 s after the end of the traffic on, the state of an accepted job was told {answered} times \
         of {asked}, and {accepted} of {sent} new jobs were accepted, by any of the daemons"
    );
    cell.record.line(&answers);
    let often = kills.iter().filter(|kills| **kills >= 3).count();
    Ok((often >= 2).then(|| {
        format!("Fault: the processes ended {kills:?} times for their memory; {answers}")
    }))
}

fn wait_for<T>(limit: Duration, mut check: impl FnMut() -> Option<T>) -> Option<T> {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(found) = check() {
            return Some(found);
        }
        if Instant::now() > deadline {
            return None;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

/// Tells whether two runs of one task of a job were active at the same time.
fn two_runs_at_once(cell: &Cell, job: &str) -> Option<String> {
    let mut active: BTreeMap<String, Vec<(String, u64)>> = BTreeMap::new();
    for event in cell.record.events_of(job) {
        let runs = active.entry(event.task.clone()).or_default();
        match event.end {
            Some(_) => runs.retain(|(at, run)| (at, run) != (&event.executor, &event.run)),
            None => runs.push((event.executor.clone(), event.run)),
        }
        if runs.len() > 1 {
            return Some(format!(
                "TWICE: task {} has two runs at {} ms: {runs:?}",
                event.task, event.at_ms
            ));
        }
    }
    None
}
