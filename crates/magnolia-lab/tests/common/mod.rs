//! Common functions of the end-to-end tests.
//!
//! The stand-ins for workers and executors ignore their limits here, so that only the scheduler
//! prevents overcommitment.

#![allow(dead_code, reason = "each test binary uses some of the functions")]

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use magnolia_lab::cell::{CellBuilder, RunningCell};
use magnolia_lab::checker::check_all;
use magnolia_lab::history::{History, HistoryEvent, QuickResult};
use magnolia_lab::load::LoadMix;
use magnolia_lab::scenario::{ScenarioRun, lab_rules};
use magnolia_types::{JobId, JobKind, JobState, ResourceVector, ResultCode};
use serde_json::Value;

/// Faults that all back ends have from the start.
pub const IGNORE_LIMITS: &str = r#"{"ignore_limits": true}"#;
/// Unit of ownership of the only worker partition.
pub const PARTITION: &str = "partition:p0";
/// Requests and jobs per second of a load.
pub const RATE: u32 = 60;
/// Timeout of calls, and of conditions that must become true.
pub const TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the settings of a cell with short leases in three data centres.
pub fn cell(name: &str, daemons: usize) -> CellBuilder {
    let program = Path::new(env!("CARGO_BIN_EXE_magnolia-lab"));
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    CellBuilder::new(program, &folder)
        .with_daemons(daemons)
        .with_backends(8, 6)
        .with_data_centres(3)
        .with_rules(lab_rules())
        .with_backend_faults(IGNORE_LIMITS, IGNORE_LIMITS)
}

/// Starts a cell with a mixed load.
pub async fn start_mixed(builder: CellBuilder, seconds: u64, seed: u64) -> ScenarioRun {
    start_with(builder, LoadMix::new_mixed(), seconds, seed).await
}

/// Starts a cell with a load.
pub async fn start_with(
    builder: CellBuilder,
    mix: LoadMix,
    seconds: u64,
    seed: u64,
) -> ScenarioRun {
    let mut run = ScenarioRun::start(builder).await.expect("the cell starts");
    let load = run.load(RATE, mix, seconds, seed).expect("a history");
    run.start_load(load);
    run
}

/// Waits for the load, and fails on any violation or when no work was done.
pub async fn finish_clean(run: &mut ScenarioRun) -> History {
    let history = run.finish().await.expect("histories");
    assert_clean(run, &history);
    history
}

/// Fails on any violation or when no work was done.
pub fn assert_clean(run: &ScenarioRun, history: &History) {
    let violations = check_all(history);
    let lines: Vec<String> = violations
        .iter()
        .take(20)
        .map(ToString::to_string)
        .collect();
    let folder = run.cell.history_folder();
    assert!(
        violations.is_empty(),
        "{} violations in {}:\n{}",
        violations.len(),
        folder.display(),
        lines.join("\n")
    );
    assert!(
        count_answers(history, 0, u64::MAX) > 0,
        "no request was answered"
    );
    let once = count_results(history, 0, u64::MAX, |is_repeatable, result| {
        !is_repeatable && matches!(result, QuickResult::Answered(_))
    });
    assert!(once > 0, "no request that may not repeat was answered");
    assert!(count_done_jobs(history) > 0, "no job was done");
}

/// Counts the quick requests sent and answered between two times.
pub fn count_answers(history: &History, from_us: u64, until_us: u64) -> usize {
    let is_answer = |result: &QuickResult| matches!(result, QuickResult::Answered(_));
    count_results(history, from_us, until_us, |_, result| is_answer(result))
}

/// Counts the refusals with a code of requests sent between two times.
pub fn count_refusals(history: &History, from_us: u64, until_us: u64, wanted: ResultCode) -> usize {
    count_results(
        history,
        from_us,
        until_us,
        |_, result| matches!(result, QuickResult::Refused { code, .. } if *code == wanted),
    )
}

/// Counts the calls that were sent and ended between two times and that `is_wanted` selects. It
/// gets whether the request may repeat, and the result.
pub fn count_results(
    history: &History,
    from_us: u64,
    until_us: u64,
    is_wanted: impl Fn(bool, &QuickResult) -> bool,
) -> usize {
    let mut sent = std::collections::HashMap::new();
    let mut count = 0;
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::QuickSent { id, repeatable, .. } if at_us >= from_us => {
                sent.insert(id, *repeatable);
            }
            HistoryEvent::QuickDone { id, result } if at_us <= until_us => {
                let repeatable = sent.get(id).copied();
                count += usize::from(repeatable.is_some_and(|kind| is_wanted(kind, result)));
            }
            _ => {}
        }
    }
    count
}

/// Counts the jobs that are done.
pub fn count_done_jobs(history: &History) -> usize {
    let done = history.iter().filter(|(_, event)| {
        matches!(
            event,
            HistoryEvent::JobFinal {
                state: JobState::Done,
                ..
            }
        )
    });
    done.count()
}

/// Returns the times and workers of all starts.
pub fn starts(history: &History) -> Vec<(u64, String)> {
    let starts = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::AttemptStarted { worker, .. } => Some((at_us, worker.to_string())),
        _ => None,
    });
    starts.collect()
}

/// Submits a job through a daemon until it is accepted; returns its id. The idempotency key is
/// fixed, so a cell can have only one job from this function.
pub async fn submit(run: &ScenarioRun, daemon: usize, job: &Value) -> String {
    let deadline = std::time::Instant::now() + TIMEOUT;
    let address = run.cell.daemons[daemon].callers;
    let history = &run.cell.history;
    let mut job = job.clone();
    job["idempotency_key"] = "lab-job".into();
    for call in 0.. {
        let id: Arc<str> = format!("lab-job-{call}").into();
        history.write(HistoryEvent::JobSent {
            id: Arc::clone(&id),
            key: "lab-job".into(),
            kind: JobKind::Batch,
            tasks: 0,
            size: ResourceVector::default(),
            repeatable: true,
        });
        let answer = run
            .cell
            .client
            .post_json(address, "/v1/jobs", &job, TIMEOUT)
            .await;
        let body = answer.map(|answer| answer.json::<Value>().unwrap_or_default());
        if let Ok(Some(name)) = body.as_ref().map(|body| body["job"].as_str()) {
            let job = JobId::new(name).expect("a job id");
            history.write(HistoryEvent::JobAccepted { id, job });
            return name.to_owned();
        }
        assert!(std::time::Instant::now() < deadline, "{body:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the calls have no last number")
}

/// Waits through a daemon until a job is final; returns its description.
pub async fn wait_job(run: &ScenarioRun, daemon: usize, job: &str) -> Value {
    let deadline = std::time::Instant::now() + TIMEOUT;
    let address = run.cell.daemons[daemon].callers;
    let path = format!("/v1/jobs/{job}/wait?timeout_ms=2000");
    loop {
        let answer = run.cell.client.get(address, &path, TIMEOUT).await;
        let body = answer.map(|answer| answer.json::<Value>().unwrap_or_default());
        if let Ok(view) = &body {
            let state = &view["state"];
            if state.is_string() && state != "waiting" && state != "running" {
                let (job, state) = (JobId::new(job), serde_json::from_value(state.clone()));
                run.cell.history.write(HistoryEvent::JobFinal {
                    job: job.expect("a job id"),
                    state: state.expect("a state"),
                });
                return view.clone();
            }
        }
        assert!(std::time::Instant::now() < deadline, "{job}: {body:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until the owner of every partition answers through every daemon and no daemon reports a
/// problem in its status. Daemons know a claim before its owner answers and knows the free slots of
/// its executors; calls in between are refused as not run.
pub async fn wait_partitions(cell: &RunningCell) {
    let deadline = Instant::now() + TIMEOUT;
    for daemon in &cell.daemons {
        loop {
            let answer = cell.client.get(daemon.callers, "/v1/jobs?limit=1", TIMEOUT);
            let list: Value = answer.await.expect("an answer").json().expect("JSON");
            let answer = cell.client.get(daemon.callers, "/v1/status", TIMEOUT);
            let status: Value = answer.await.expect("an answer").json().expect("JSON");
            let none = serde_json::json!([]);
            if list["missing"] == none && status["reasons"] == none {
                break;
            }
            let name = &daemon.name;
            assert!(Instant::now() < deadline, "{name}: {list} {status}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}
