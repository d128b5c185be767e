//! The scored engine with faults, cancellations, adopted attempts and requests for explanations.

mod common;

use std::sync::Arc;

use common::{Harness, document, spec};
use magnolia_policy::{AttemptRecord, TaskEnd, new_engine};
use magnolia_types::{AttemptId, JobId, JobKind, Millis, ResourceVector, TaskRef, WorkerId};

const CORE: ResourceVector = ResourceVector::new(1000, 1024, 0);

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1000, count * 1024, 0)
}

fn harness(rules: &str, workers: usize, capacity: ResourceVector) -> Harness {
    Harness::new(new_engine(&document(rules))).with_workers(workers, capacity)
}

/// Guards against giving up good jobs because of a faulty worker, and against quarantining good
/// workers because of a faulty job.
#[test]
fn faulty_workers_and_faulty_jobs_are_told_apart() {
    let mut harness = harness("headroom_percent = 0", 8, cores(4));
    for index in 0..12 {
        let size = ResourceVector::new(1000 + index * 10, 1024, 0);
        harness.submit(
            &format!("good{index}"),
            spec("batch", JobKind::Batch, 20, size),
        );
    }
    let bad = harness.submit("bad", spec("batch", JobKind::Batch, 1, CORE));
    let faulty = WorkerId::new("w003").unwrap();
    let mut quarantined = false;
    for _ in 0..600 {
        harness.step(500);
        let failed = harness.running.values().filter(|record| {
            record.worker == faulty || (record.task.job == bad && record.started < harness.now)
        });
        let failed: Vec<_> = failed.map(|record| record.attempt.clone()).collect();
        failed
            .iter()
            .for_each(|attempt| harness.end(attempt, TaskEnd::Failed));
        harness.end_due();
        let listed = harness.engine.quarantined_workers();
        quarantined |= listed.contains(&faulty);
        assert!(listed.iter().all(|worker| *worker == faulty));
    }
    assert!(quarantined);
    assert_eq!(harness.given_up, vec![bad]);
}

/// Guards against a quarantine that never ends.
#[test]
fn a_probe_ends_the_quarantine() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    for index in 0..3 {
        let size = ResourceVector::new(1000 + index * 10, 1024, 0);
        harness.submit(
            &format!("job{index}"),
            spec("batch", JobKind::Batch, 1, size),
        );
    }
    harness.step(10);
    let attempts: Vec<_> = harness.running.keys().cloned().collect();
    attempts
        .iter()
        .for_each(|attempt| harness.end(attempt, TaskEnd::Failed));
    assert_eq!(harness.engine.quarantined_workers().len(), 1);
    assert_eq!(harness.step(1000), 0);
    assert_eq!(harness.step(30_000), 1);
    assert_eq!(harness.step(1000), 0);
    harness.step(10_000);
    harness.end_due();
    assert!(harness.engine.quarantined_workers().is_empty());
    assert!(harness.step(1000) > 0);
}

/// Guards against queueing jobs that can never run, and against refusing jobs that can.
#[test]
fn impossible_jobs_are_refused_with_the_reason() {
    let harness = harness("headroom_percent = 10", 4, cores(8));
    let refusal = |spec| harness.engine.never_fits(&spec);
    assert!(refusal(spec("batch", JobKind::Batch, 1, cores(9))).is_some());
    assert!(
        refusal(spec(
            "batch",
            JobKind::Batch,
            1,
            ResourceVector::new(1, 1, 1)
        ))
        .is_some()
    );
    assert!(refusal(spec("batch", JobKind::Gang, 5, cores(8))).is_some());
    assert!(refusal(spec("batch", JobKind::Gang, 4, cores(8))).is_none());
    assert!(refusal(spec("batch", JobKind::Batch, 500, cores(8))).is_none());
}

/// Guards against cancelled jobs that leave tasks or counts behind.
#[test]
fn ten_thousand_cancellations_leave_nothing() {
    let mut harness = harness("headroom_percent = 0", 1, CORE);
    let jobs: Vec<JobId> = (0..10_000)
        .map(|index| harness.submit(&index.to_string(), spec("batch", JobKind::Batch, 1, CORE)))
        .collect();
    harness.step(1);
    assert_eq!(harness.engine.waiting_tasks(), 9_999);
    harness.withdraw(&jobs);
    assert_eq!(harness.engine.waiting_tasks(), 0);
    let running: Vec<_> = harness.running.keys().cloned().collect();
    running
        .iter()
        .for_each(|attempt| harness.end(attempt, TaskEnd::Interrupted));
    assert_eq!(harness.step(1000), 0);
}

/// Guards against starting a task again that already runs, as found at a takeover.
#[test]
fn adopted_attempts_are_not_started_again() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    let spec = spec("batch", JobKind::Batch, 2, CORE);
    let job = harness.submit("adopted", spec.clone());
    harness.engine.attempt_started(AttemptRecord {
        attempt: AttemptId::new("from-before").unwrap(),
        task: TaskRef::new(job.clone(), 0),
        worker: WorkerId::new("w000").unwrap(),
        size: cores(3),
        spec: Arc::new(spec),
        started: Millis::new(0),
    });
    assert_eq!(harness.engine.waiting_tasks(), 1);
    harness.step(1);
    let tasks: Vec<u32> = harness
        .running
        .values()
        .map(|record| record.task.task)
        .collect();
    assert_eq!(tasks, vec![1]);
    harness.submit("more", common::spec("batch", JobKind::Batch, 1, CORE));
    assert_eq!(
        harness.step(1),
        0,
        "the adopted attempt holds three of four cores"
    );
}

/// Guards against explanations that do not name the reason why a job waits.
#[test]
fn explanations_name_the_reason() {
    let mut harness = harness("headroom_percent = 0", 2, cores(4));
    let mut long = spec("batch", JobKind::Batch, 2, cores(3));
    long.run_ms = Some(Millis::from_secs(100));
    harness.submit("running", long);
    harness.step(1);
    let expectations = [
        (
            "large",
            spec("batch", JobKind::Batch, 1, cores(5)),
            "can never run",
        ),
        (
            "gang",
            spec("batch", JobKind::Gang, 2, cores(4)),
            "room on 2 workers is reserved",
        ),
        (
            "waiting",
            spec("batch", JobKind::Batch, 1, cores(2)),
            "no usable worker has",
        ),
    ];
    for (name, spec, reason) in expectations {
        let job = harness.submit(name, spec);
        harness.step(1);
        let lines = harness.engine.explain(&job, harness.now);
        assert!(
            lines.iter().any(|line| line.contains(reason)),
            "{name}: {lines:?}"
        );
    }
}

/// Guards against a worker that stays quarantined for ever because no batch work can probe it.
#[test]
fn quarantine_ends_without_work_to_probe_with() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    let jobs: Vec<JobId> = (0..3)
        .map(|index| {
            let size = ResourceVector::new(1000 + index * 10, 1024, 0);
            harness.submit(
                &format!("job{index}"),
                spec("batch", JobKind::Batch, 1, size),
            )
        })
        .collect();
    harness.step(10);
    let attempts: Vec<_> = harness.running.keys().cloned().collect();
    for attempt in &attempts {
        harness.end(attempt, TaskEnd::Failed);
    }
    harness.withdraw(&jobs);
    harness.submit("service", spec("service", JobKind::Service, 1, CORE));
    assert_eq!(harness.step(60_000), 0);
    harness.step(600_000);
    assert_eq!(harness.running_of("service"), 1);
    assert!(harness.engine.quarantined_workers().is_empty());
}
