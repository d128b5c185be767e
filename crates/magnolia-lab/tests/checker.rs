//! Each check passes a valid history and finds the violation in an invalid one.
//!
//! Guards against checks that cannot fail: every end-to-end test would pass with them.

use magnolia_lab::checker::{
    Violation, check_accepted_jobs, check_at_most_once, check_capacity, check_configuration,
    check_graceful_stop, check_leaving, check_not_run, check_single_place, check_whole_answers,
};
use magnolia_lab::history::{History, HistoryRecord};
use serde_json::{Value, json};

/// Creates a history from pairs of a time and the JSON of an event.
fn history(events: &[(u64, Value)]) -> History {
    let records = events.iter().map(|(at_us, event)| {
        let mut event = event.clone();
        event["at_us"] = (*at_us).into();
        serde_json::from_value::<HistoryRecord>(event).expect("an event")
    });
    History::new(records.collect())
}

/// Defines tests of a check: it finds nothing in the good history and one violation in the bad one.
macro_rules! check_cases {
    ($($(#[$meta:meta])* $name:ident: $check:path, good $good:expr, bad $bad:expr;)*) => {
        $(
            $(#[$meta])*
            #[test]
            fn $name() {
                assert_eq!($check(&history(&$good)), Vec::<Violation>::new());
                let found = $check(&history(&$bad));
                assert_eq!(found.len(), 1, "{found:?}");
            }
        )*
    };
}

fn worker_up() -> Value {
    json!({
        "event": "worker_up", "worker": "w0", "incarnation": 1,
        "capacity": {"cpu_millis": 2000, "memory_mib": 100, "accelerators": 1},
    })
}

fn start_on(worker: &str, attempt: &str, task: u32, cpu_millis: u64) -> Value {
    json!({
        "event": "attempt_started", "worker": worker, "attempt": attempt, "epoch": 1,
        "task": {"job": "p0.1", "task": task},
        "size": {"cpu_millis": cpu_millis, "memory_mib": 10, "accelerators": 0},
    })
}

fn start_of(job: &str) -> Value {
    let mut start = start_on("w0", &format!("{job}-0"), 0, 1);
    start["task"]["job"] = job.into();
    start
}

fn end_on(worker: &str, attempt: &str) -> Value {
    json!({"event": "attempt_ended", "worker": worker, "attempt": attempt, "end": "Succeeded"})
}

fn throttled(worker: &str, attempt: &str, percent: u8) -> Value {
    json!({
        "event": "attempt_throttled", "worker": worker, "attempt": attempt, "percent": percent,
    })
}

fn failed_on(worker: &str, attempt: &str) -> Value {
    json!({"event": "attempt_ended", "worker": worker, "attempt": attempt, "end": "Failed"})
}

fn job_failed(job: &str) -> Value {
    json!({"event": "job_final", "job": job, "state": "failed"})
}

fn executor_up(slots: u32) -> Value {
    json!({"event": "executor_up", "executor": "e0", "slots": slots, "connections": 1})
}

fn run(run: u64, body: &str) -> Value {
    json!({"event": "request_started", "executor": "e0", "run": run, "body": body})
}

fn run_ended(run: u64) -> Value {
    json!({"event": "request_ended", "executor": "e0", "run": run})
}

fn connections(open: u32) -> Value {
    json!({"event": "connections", "executor": "e0", "open": open})
}

fn sent(id: &str, body: &str, repeatable: bool) -> Value {
    json!({
        "event": "quick_sent", "id": id, "daemon": "d0", "body": body, "repeatable": repeatable,
    })
}

fn answered(id: &str, text: &str) -> Value {
    json!({"event": "quick_done", "id": id, "result": {"answered": text}})
}

fn refused(id: &str, ran: &str) -> Value {
    json!({"event": "quick_done", "id": id, "result": {"refused": {"code": 205, "ran": ran}}})
}

fn lost(id: &str, sent: bool) -> Value {
    json!({"event": "quick_done", "id": id, "result": {"lost": {"sent": sent}}})
}

fn job_sent(id: &str, key: &str, repeatable: bool) -> Value {
    json!({
        "event": "job_sent", "id": id, "key": key, "kind": "batch", "tasks": 2,
        "size": {"cpu_millis": 1, "memory_mib": 10, "accelerators": 0}, "repeatable": repeatable,
    })
}

fn job_accepted(id: &str, job: &str) -> Value {
    json!({"event": "job_accepted", "id": id, "job": job})
}

fn job_not_accepted(id: &str, ran: &str) -> Value {
    json!({"event": "job_not_accepted", "id": id, "ran": ran, "code": null})
}

fn job_done(job: &str) -> Value {
    json!({"event": "job_final", "job": job, "state": "done"})
}

fn leaving(endpoint: &str, leaving: bool) -> Value {
    json!({"event": "leaving", "endpoint": endpoint, "leaving": leaving})
}

fn daemon(event: &str) -> Value {
    json!({"event": event, "daemon": "d0", "status": 0})
}

fn accepted(version: u64) -> Value {
    json!({"event": "config_accepted", "version": version})
}

fn seen(asked_us: u64, version: u64) -> Value {
    json!({"event": "config_seen", "daemon": "d0", "asked_us": asked_us, "version": version})
}

check_cases! {
    /// Guards against a worker that holds more than it has.
    overcommitted_worker_is_found: check_capacity,
    good [
        (0, worker_up()), (1, start_on("w0", "a", 0, 1500)), (2, end_on("w0", "a")),
        (2, start_on("w0", "b", 1, 1500)),
    ],
    bad [
        (0, worker_up()), (1, start_on("w0", "a", 0, 1500)), (2, start_on("w0", "b", 1, 1500)),
    ];

    /// Guards against a throttled attempt that takes back processors that others hold.
    restored_attempt_without_room_is_found: check_capacity,
    good [
        (0, worker_up()), (1, start_on("w0", "a", 0, 1500)), (2, throttled("w0", "a", 25)),
        (3, start_on("w0", "b", 1, 1500)), (4, end_on("w0", "b")), (5, throttled("w0", "a", 100)),
    ],
    bad [
        (0, worker_up()), (1, start_on("w0", "a", 0, 1500)), (2, throttled("w0", "a", 25)),
        (3, start_on("w0", "b", 1, 1500)), (4, throttled("w0", "a", 100)),
    ];

    /// Guards against an executor that runs more requests than it has slots.
    overcommitted_slots_are_found: check_capacity,
    good [(0, executor_up(1)), (1, run(0, "a")), (2, run_ended(0)), (3, run(1, "b"))],
    bad [(0, executor_up(1)), (1, run(0, "a")), (2, run(1, "b")), (3, run_ended(0))];

    /// Guards against more connections to an executor than it allows.
    overcommitted_connections_are_found: check_capacity,
    good [(0, executor_up(1)), (1, connections(1)), (2, connections(0)), (3, connections(1))],
    bad [(0, executor_up(1)), (1, connections(1)), (2, connections(2))];

    /// Guards against a task that is placed again while its old attempt still runs.
    task_in_two_places_is_found: check_single_place,
    good [(1, start_on("w0", "a", 0, 1)), (2, end_on("w0", "a")), (2, start_on("w1", "b", 0, 1))],
    bad [(1, start_on("w0", "a", 0, 1)), (2, start_on("w1", "b", 0, 1)), (3, end_on("w0", "a"))];

    /// Guards against an answer that belongs to another request.
    swapped_answer_is_found: check_whole_answers,
    good [(1, sent("1", "x", true)), (2, answered("1", "answer to x"))],
    bad [(1, sent("1", "x", true)), (2, answered("1", "answer to y"))];

    /// Guards against a truncated answer.
    truncated_answer_is_found: check_whole_answers,
    good [(1, sent("1", "xyz", true)), (2, answered("1", "answer to xyz"))],
    bad [(1, sent("1", "xyz", true)), (2, answered("1", "answer to xy"))];

    /// Guards against a request that ran although its refusal says that it did not.
    refused_request_that_ran_is_found: check_not_run,
    good [
        (1, sent("1", "x", true)), (2, refused("1", "no")),
        (3, sent("2", "y", true)), (4, run(0, "y")), (5, refused("2", "unknown")),
    ],
    bad [(1, sent("1", "x", true)), (2, run(0, "x")), (3, refused("1", "no"))];

    /// Guards against a refused request that runs later, when a delayed message arrives.
    refused_request_that_runs_later_is_found: check_not_run,
    good [(1, sent("1", "x", true)), (2, refused("1", "no")), (9, run(0, "y"))],
    bad [(1, sent("1", "x", true)), (2, refused("1", "no")), (9, run(0, "x"))];

    /// Guards against a refused job whose tasks start. The tasks of a job whose submission has an
    /// unknown outcome may start.
    refused_job_that_runs_is_found: check_not_run,
    good [
        (1, job_sent("1", "k", true)), (2, job_not_accepted("1", "no")),
        (3, job_sent("2", "k", true)), (4, job_accepted("2", "p0.1")),
        (5, start_on("w0", "a", 0, 8)), (6, job_sent("3", "l", true)),
        (7, job_not_accepted("3", "unknown")), (8, start_of("p0.2")),
    ],
    bad [
        (1, job_sent("1", "k", true)), (2, job_not_accepted("1", "no")),
        (3, start_on("w0", "a", 0, 7)),
    ];

    /// Guards against a second run of a request that is not repeatable.
    repeated_request_is_found: check_at_most_once,
    good [
        (1, sent("1", "x", false)), (2, run(0, "x")), (3, run(1, "y")), (4, sent("2", "y", true)),
        (5, run(2, "y")),
    ],
    bad [(1, sent("1", "x", false)), (2, run(0, "x")), (3, run_ended(0)), (4, run(1, "x"))];

    /// Guards against a second run of a task that is not repeatable.
    repeated_task_is_found: check_at_most_once,
    good [
        (1, job_sent("1", "k", false)), (2, start_on("w0", "a", 0, 7)),
        (3, start_on("w0", "b", 1, 7)), (4, job_accepted("1", "p0.1")),
    ],
    bad [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")),
        (3, start_on("w0", "a", 0, 7)), (4, end_on("w0", "a")), (5, start_on("w1", "b", 0, 7)),
    ];

    /// Guards against a key that is accepted as two jobs.
    two_jobs_of_one_key_are_found: check_at_most_once,
    good [
        (1, job_sent("1", "k", true)), (2, job_accepted("1", "p0.1")),
        (3, job_sent("2", "k", true)), (4, job_accepted("2", "p0.1")),
    ],
    bad [
        (1, job_sent("1", "k", true)), (2, job_accepted("1", "p0.1")),
        (3, job_sent("2", "k", true)), (4, job_accepted("2", "p0.2")),
    ];

    /// Guards against new work on a leaving endpoint.
    work_on_leaving_endpoint_is_found: check_leaving,
    good [
        (0, leaving("w0", true)), (3_900_000, start_on("w0", "a", 0, 1)),
        (5_000_000, start_on("w1", "b", 1, 1)), (6_000_000, leaving("w0", false)),
        (7_000_000, start_on("w0", "c", 2, 1)),
    ],
    bad [(0, leaving("e0", true)), (4_100_000, run(0, "x"))];

    /// Guards against a planned stop that interrupts a request; a kill may do so.
    request_cut_off_by_stop_is_found: check_graceful_stop,
    good [
        (1, sent("1", "x", true)), (2, daemon("daemon_stopping")), (3, answered("1", "y")),
        (4, sent("2", "x", true)), (5, refused("2", "no")), (6, daemon("daemon_stopped")),
        (7, sent("3", "x", true)), (8, daemon("daemon_killed")), (9, lost("3", true)),
    ],
    bad [
        (1, sent("1", "x", true)), (2, daemon("daemon_stopping")), (3, lost("1", true)),
        (4, daemon("daemon_stopped")),
    ];

    /// Guards against a daemon that exits with requests still in flight, which its status reports.
    incomplete_drain_is_found: check_graceful_stop,
    good [(2, daemon("daemon_stopping")), (4, daemon("daemon_stopped"))],
    bad [
        (2, daemon("daemon_stopping")),
        (4, json!({"event": "daemon_stopped", "daemon": "d0", "status": 3})),
    ];

    /// Guards against a daemon that stays on an old configuration.
    late_configuration_is_found: check_configuration,
    good [(0, accepted(2)), (3_000_001, seen(3_000_000, 1)), (4_100_001, seen(4_100_000, 2))],
    bad [(0, accepted(2)), (4_100_001, seen(4_100_000, 1))];

    /// Guards against a daemon that goes back to an older configuration.
    reverted_configuration_is_found: check_configuration,
    good [(1, seen(1, 1)), (2, seen(2, 2)), (3, daemon("daemon_started")), (4, seen(4, 0))],
    bad [(1, seen(1, 2)), (2, seen(2, 1))];

    /// Guards against a job that is not repeatable and fails although its only task succeeded.
    failed_job_of_succeeded_tasks_is_found: check_accepted_jobs,
    good [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")), (3, start_of("p0.1")),
        (4, json!({
            "event": "attempt_ended", "worker": "w0", "attempt": "p0.1-0", "end": "Failed",
        })),
        (5, json!({"event": "job_final", "job": "p0.1", "state": "failed"})),
    ],
    bad [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")), (3, start_of("p0.1")),
        (4, end_on("w0", "p0.1-0")),
        (5, json!({"event": "job_final", "job": "p0.1", "state": "failed"})),
    ];

    /// Guards against an accepted job that never reaches a final state.
    job_without_final_state_is_found: check_accepted_jobs,
    good [
        (1, job_sent("1", "k", true)), (2, job_accepted("1", "p0.1")), (3, job_done("p0.1")),
    ],
    bad [(1, job_sent("1", "k", true)), (2, job_accepted("1", "p0.1"))];

    /// Guards against a job that fails although its tasks may run again elsewhere.
    failed_job_is_found: check_accepted_jobs,
    good [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")),
        (3, start_on("w0", "a", 0, 7)), (4, failed_on("w0", "a")), (5, job_failed("p0.1")),
    ],
    bad [
        (1, job_sent("1", "k", true)), (2, job_accepted("1", "p0.1")),
        (3, start_on("w0", "a", 0, 7)), (4, failed_on("w0", "a")), (5, job_failed("p0.1")),
    ];

    /// Guards against a job that is not repeatable and fails although no task of it failed.
    failed_job_without_cause_is_found: check_accepted_jobs,
    good [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")), (3, job_done("p0.1")),
    ],
    bad [
        (1, job_sent("1", "k", false)), (2, job_accepted("1", "p0.1")),
        (3, start_on("w0", "a", 0, 7)), (4, end_on("w0", "a")), (5, job_failed("p0.1")),
    ];

    /// Guards against a second job of a key: the answer to the first acceptance was lost, the job
    /// runs, and a later submission with the key is accepted as another job.
    second_job_of_a_lost_answer_is_found: check_not_run,
    good [
        (1, job_sent("1", "k", true)), (2, job_not_accepted("1", "unknown")),
        (3, job_sent("2", "k", true)), (4, job_accepted("2", "p0.1")), (5, start_of("p0.1")),
    ],
    bad [
        (1, job_sent("1", "k", true)), (2, job_not_accepted("1", "unknown")),
        (3, job_sent("2", "k", true)), (4, job_accepted("2", "p0.2")), (5, start_of("p0.1")),
    ];
}

/// Guards against a reader that accepts an incomplete history.
#[test]
fn truncated_line_is_an_error() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("torn_line");
    std::fs::create_dir_all(&folder).expect("a folder");
    let line = "{\"at_us\":1,\"event\":\"daemon_started\",\"daemon\":\"d0\"}\n{\"at_us\":2,\"ev";
    std::fs::write(folder.join("lab.jsonl"), line).expect("a file");
    assert!(History::read(&folder).is_err());
}
