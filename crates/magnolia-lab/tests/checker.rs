//! Each check catches a bad history written by hand and passes a good one.
//!
//! Guards against a checker that cannot fail: a broken promise that no check sees would make
//! every end-to-end test pass.

use magnolia_lab::checker::{
    Violation, check_accepted_jobs, check_at_most_once, check_capacity, check_configuration,
    check_graceful_stop, check_leaving, check_not_run, check_single_place, check_whole_answers,
};
use magnolia_lab::history::{History, HistoryRecord};
use serde_json::{Value, json};

/// Joins events given as pairs of a time and the JSON of the event.
fn history(events: &[(u64, Value)]) -> History {
    let records = events.iter().map(|(at_us, event)| {
        let mut event = event.clone();
        event["at_us"] = (*at_us).into();
        serde_json::from_value::<HistoryRecord>(event).expect("an event")
    });
    History::new(records.collect())
}

/// Names a test of one check: the good history passes, the bad one is caught once.
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

fn end_on(worker: &str, attempt: &str) -> Value {
    json!({"event": "attempt_ended", "worker": worker, "attempt": attempt, "end": "Succeeded"})
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

fn job_sent(id: &str, tasks: u32, cpu_millis: u64, repeatable: bool) -> Value {
    json!({
        "event": "job_sent", "id": id, "kind": "batch", "tasks": tasks, "repeatable": repeatable,
        "size": {"cpu_millis": cpu_millis, "memory_mib": 10, "accelerators": 0},
    })
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

    /// Guards against an answer to another request.
    swapped_answer_is_found: check_whole_answers,
    good [(1, sent("1", "x", true)), (2, answered("1", "answer to x"))],
    bad [(1, sent("1", "x", true)), (2, answered("1", "answer to y"))];

    /// Guards against an answer that was cut short on the way.
    truncated_answer_is_found: check_whole_answers,
    good [(1, sent("1", "xyz", true)), (2, answered("1", "answer to xyz"))],
    bad [(1, sent("1", "xyz", true)), (2, answered("1", "answer to xy"))];

    /// Guards against a refusal as not run of a request that ran.
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

    /// Guards against a refused job whose tasks start.
    refused_job_that_runs_is_found: check_not_run,
    good [
        (1, job_sent("1", 1, 7, true)),
        (2, json!({"event": "job_not_accepted", "id": "1", "ran": "no", "code": 300})),
        (3, start_on("w0", "a", 0, 8)),
        (4, job_sent("2", 1, 9, true)),
        (5, json!({"event": "job_not_accepted", "id": "2", "ran": "no", "code": null})),
        (6, job_sent("3", 1, 9, true)), (7, start_on("w0", "b", 1, 9)),
        (8, json!({"event": "job_accepted", "id": "3", "job": "p0.1"})),
        (9, json!({"event": "job_final", "job": "p0.1", "state": "done"})),
    ],
    bad [
        (1, job_sent("1", 1, 7, true)),
        (2, json!({"event": "job_not_accepted", "id": "1", "ran": "no", "code": 300})),
        (3, start_on("w0", "a", 0, 7)),
    ];

    /// Guards against a second run of a request that may not repeat.
    repeated_request_is_found: check_at_most_once,
    good [
        (1, sent("1", "x", false)), (2, run(0, "x")), (3, run(1, "y")), (4, sent("2", "y", true)),
        (5, run(2, "y")),
    ],
    bad [(1, sent("1", "x", false)), (2, run(0, "x")), (3, run_ended(0)), (4, run(1, "x"))];

    /// Guards against a second run of a task that may not repeat.
    repeated_task_is_found: check_at_most_once,
    good [
        (1, job_sent("1", 2, 7, false)), (2, start_on("w0", "a", 0, 7)),
        (3, start_on("w0", "b", 1, 7)),
    ],
    bad [
        (1, job_sent("1", 2, 7, false)), (2, start_on("w0", "a", 0, 7)), (3, end_on("w0", "a")),
        (4, start_on("w1", "b", 0, 7)),
    ];

    /// Guards against new work on a leaving endpoint.
    work_on_leaving_endpoint_is_found: check_leaving,
    good [
        (0, leaving("w0", true)), (3_900_000, start_on("w0", "a", 0, 1)),
        (5_000_000, start_on("w1", "b", 1, 1)), (6_000_000, leaving("w0", false)),
        (7_000_000, start_on("w0", "c", 2, 1)),
    ],
    bad [(0, leaving("e0", true)), (4_100_000, run(0, "x"))];

    /// Guards against a planned stop that cuts a request off; a kill may do so.
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

    /// Guards against a stop that ends with requests still in flight.
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

    /// Guards against accepted jobs that are forgotten.
    forgotten_job_is_found: check_accepted_jobs,
    good [
        (1, job_sent("1", 1, 7, true)),
        (2, json!({"event": "job_accepted", "id": "1", "job": "p0.1"})),
        (3, json!({"event": "job_final", "job": "p0.1", "state": "done"})),
    ],
    bad [
        (1, job_sent("1", 1, 7, true)),
        (2, json!({"event": "job_accepted", "id": "1", "job": "p0.1"})),
    ];
}

/// Guards against a key that is accepted as two jobs after a lost answer.
#[test]
fn two_jobs_of_one_key_are_found() {
    let mut second = start_on("w1", "b", 0, 7);
    second["task"]["job"] = "p0.2".into();
    let events = [
        (1, job_sent("1", 1, 7, true)),
        (2, start_on("w0", "a", 0, 7)),
        (3, job_sent("2", 1, 7, true)),
        (4, second),
    ];
    let found = check_at_most_once(&history(&events));
    assert_eq!(found.len(), 1, "{found:?}");
}

/// Guards against a reader that takes an incomplete history for a good one.
#[test]
fn torn_line_is_an_error() {
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("torn_line");
    std::fs::create_dir_all(&folder).expect("a folder");
    let line = "{\"at_us\":1,\"event\":\"daemon_started\",\"daemon\":\"d0\"}\n{\"at_us\":2,\"ev";
    std::fs::write(folder.join("lab.jsonl"), line).expect("a file");
    assert!(History::read(&folder).is_err());
}
