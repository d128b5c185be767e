//! Jobs and idempotency keys: retries, gangs, services, cancellation and retention.

use std::sync::Arc;

use magnolia_state::{
    AttemptResult, FoundAttempt, JobTable, JournalEntry, KeyLookup, KeyUse, RetentionLimits,
};
use magnolia_types::{
    AttemptId, Epoch, JobId, JobKind, JobOutcome, JobSpec, JobState, Millis, ResourceVector,
    ResultCode, TaskRef, WorkerId,
};
use quickcheck::{TestResult, quickcheck};

const EPOCH: Epoch = Epoch::new(1);
const NOW: Millis = Millis::new(1000);

fn spec(kind: JobKind, tasks: u32) -> JobSpec {
    JobSpec {
        customer: "guild".parse().expect("a name"),
        class: "batch".parse().expect("a name"),
        kind,
        tasks,
        size: ResourceVector::new(1000, 512, 0),
        run_ms: None,
        repeatable: true,
        idempotency_key: None,
        max_attempts: 2,
    }
}

fn job(number: u64) -> JobId {
    JobId::new_in("p0", number).expect("an id")
}

fn worker() -> WorkerId {
    "w1".parse().expect("a name")
}

fn table_with(spec: JobSpec) -> JobTable {
    let mut table = JobTable::new();
    assert!(table.accept(job(1), Arc::new(spec), NOW, EPOCH));
    table
}

fn start(table: &mut JobTable, task: u32) -> (TaskRef, AttemptId) {
    let task = TaskRef::new(job(1), task);
    let attempt = table.next_attempt(&task, EPOCH).expect("an attempt");
    assert!(table.start(&task, attempt.clone(), worker()));
    (task, attempt)
}

fn run(table: &mut JobTable, task: u32, result: AttemptResult) -> magnolia_state::JobEffects {
    let (task, attempt) = start(table, task);
    table.end(&task, &attempt, result, NOW).expect("an end")
}

fn state(table: &JobTable) -> JobState {
    table.get(&job(1)).expect("the job").state()
}

/// Guards against a batch task being retried more or less often than `max_attempts` allows, and
/// against interruptions by the system counting as failures.
#[test]
fn a_batch_task_is_retried_up_to_its_limit() {
    let mut table = table_with(spec(JobKind::Batch, 2));
    assert_eq!(run(&mut table, 0, AttemptResult::Interrupted).requeue, [0]);
    assert_eq!(run(&mut table, 0, AttemptResult::Lost).requeue, [0]);
    assert_eq!(run(&mut table, 0, AttemptResult::Failed).requeue, [0]);
    let (_, other) = start(&mut table, 1);
    let effects = run(&mut table, 0, AttemptResult::Failed);
    assert_eq!(
        effects.stops.len(),
        1,
        "the attempt of the other task has to be stopped"
    );
    assert_eq!(
        state(&table),
        JobState::Running,
        "a job is final only once no attempt is running"
    );
    let task = TaskRef::new(job(1), 1);
    let effects = table.end(&task, &other, AttemptResult::Interrupted, NOW);
    assert!(effects.expect("an end").became_final);
    assert_eq!(state(&table), JobState::Failed);
}

/// Guards against a failure being counted twice when a worker repeats its report.
#[test]
fn a_repeated_end_has_no_effect() {
    let mut table = table_with(spec(JobKind::Batch, 1));
    let (task, attempt) = start(&mut table, 0);
    assert!(
        table
            .end(&task, &attempt, AttemptResult::Failed, NOW)
            .is_some()
    );
    assert!(
        table
            .end(&task, &attempt, AttemptResult::Failed, NOW)
            .is_none()
    );
    start(&mut table, 0);
    assert!(
        table
            .end(&task, &attempt, AttemptResult::Failed, NOW)
            .is_none()
    );
    assert_eq!(state(&table), JobState::Running);
}

/// Guards against a service that exits by itself being treated as done.
#[test]
fn a_service_is_restarted_until_it_is_cancelled() {
    let mut table = table_with(spec(JobKind::Service, 1));
    for result in [
        AttemptResult::Succeeded,
        AttemptResult::Failed,
        AttemptResult::Failed,
    ] {
        assert_eq!(run(&mut table, 0, result).requeue, [0]);
    }
    let (task, attempt) = start(&mut table, 0);
    let outcome = JobOutcome {
        state: JobState::Cancelled,
        code: ResultCode::Cancelled,
        reason: "cancelled".into(),
    };
    let effects = table.end_job(&job(1), outcome, NOW).expect("the job");
    assert_eq!(effects.stops.len(), 1);
    let effects = table.end(&task, &attempt, AttemptResult::Interrupted, NOW);
    assert!(effects.expect("an end").became_final);
    assert_eq!(state(&table), JobState::Cancelled);
}

/// Guards against a gang running on after one of its tasks has ended, and against restarting its
/// tasks before all of them have ended.
#[test]
fn a_gang_stops_and_restarts_as_a_whole() {
    let mut table = table_with(spec(JobKind::Gang, 3));
    let attempts: Vec<_> = (0..3).map(|task| start(&mut table, task)).collect();
    let (task, attempt) = &attempts[0];
    let effects = table
        .end(task, attempt, AttemptResult::Failed, NOW)
        .expect("an end");
    assert_eq!((effects.requeue.len(), effects.stops.len()), (0, 2));
    let (task, attempt) = &attempts[1];
    let effects = table
        .end(task, attempt, AttemptResult::Interrupted, NOW)
        .expect("an end");
    assert_eq!(
        effects.requeue.len(),
        0,
        "one task of the gang may still be running"
    );
    let (task, attempt) = &attempts[2];
    let effects = table
        .end(task, attempt, AttemptResult::Interrupted, NOW)
        .expect("an end");
    assert_eq!(effects.requeue, [0, 1, 2]);
}

/// Guards against running work twice that is marked as not repeatable.
#[test]
fn a_lost_task_that_may_not_repeat_is_unknown() {
    let mut not_repeatable = spec(JobKind::Batch, 2);
    not_repeatable.repeatable = false;
    let mut table = table_with(not_repeatable);
    assert_eq!(run(&mut table, 0, AttemptResult::NotStarted).requeue, [0]);
    assert!(run(&mut table, 0, AttemptResult::Lost).requeue.is_empty());
    run(&mut table, 1, AttemptResult::Succeeded);
    assert_eq!(state(&table), JobState::Unknown);
}

/// Guards against starting a task again that is running although the journal lacks its start, and
/// against keeping an attempt that a newer one has replaced.
#[test]
fn the_newest_attempt_found_on_workers_is_adopted() {
    let mut table = table_with(spec(JobKind::Batch, 1));
    let (task, first) = start(&mut table, 0);
    assert_eq!(
        table.reconcile_attempt(&task, &first, &worker()),
        FoundAttempt::Current
    );
    let second = task.attempt(EPOCH, 2).expect("an id");
    assert_eq!(
        table.reconcile_attempt(&task, &second, &worker()),
        FoundAttempt::Current
    );
    assert_eq!(
        table.reconcile_attempt(&task, &first, &worker()),
        FoundAttempt::Obsolete
    );
    let next = table.next_attempt(&task, EPOCH).expect("an id");
    assert_eq!(next, task.attempt(EPOCH, 3).expect("an id"));
    let unknown = TaskRef::new(job(2), 0);
    let attempt = unknown.attempt(EPOCH, 1).expect("an id");
    assert_eq!(
        table.reconcile_attempt(&unknown, &attempt, &worker()),
        FoundAttempt::Obsolete
    );
}

/// Guards against a key being removed too early, kept forever, or accepted with different content.
#[test]
fn keys_give_the_first_result_for_a_day() {
    let mut keyed = spec(JobKind::Batch, 1);
    keyed.idempotency_key = Some("k1".parse().expect("a key"));
    let mut table = table_with(keyed.clone());
    run(&mut table, 0, AttemptResult::Succeeded);
    let day = RetentionLimits::default().key_age;
    table.forget(NOW.saturating_add(Millis::new(day.get() - 1)));
    assert_eq!(
        table.lookup_job(&keyed),
        KeyLookup::Same(KeyUse::Job(job(1)))
    );
    assert_eq!(
        state(&table),
        JobState::Done,
        "the result is kept as long as the key"
    );
    let mut other = keyed.clone();
    other.tasks = 2;
    assert_eq!(table.lookup_job(&other), KeyLookup::Reused);
    table.forget(NOW.saturating_add(day));
    assert_eq!(table.lookup_job(&keyed), KeyLookup::Unused);
    assert!(table.get(&job(1)).is_none());
}

/// Guards against final jobs accumulating in memory.
#[test]
fn final_jobs_are_forgotten_by_age_and_number() {
    let limits = RetentionLimits {
        final_jobs: 2,
        ..RetentionLimits::default()
    };
    let mut table = JobTable::new().with_retention(limits);
    for number in 1..=5 {
        let at = Millis::new(number);
        table.accept(job(number), Arc::new(spec(JobKind::Batch, 1)), at, EPOCH);
        let task = TaskRef::new(job(number), 0);
        let attempt = table.next_attempt(&task, EPOCH).expect("an id");
        table.start(&task, attempt.clone(), worker());
        table.end(&task, &attempt, AttemptResult::Succeeded, at);
    }
    table.forget(NOW);
    assert_eq!(table.iter().count(), 2);
    assert!(
        table.get(&job(5)).is_some(),
        "the newest final jobs are kept"
    );
    table.forget(NOW.saturating_add(limits.final_age));
    assert_eq!(table.iter().count(), 0);
}

quickcheck! {
    /// Guards against a replay that rebuilds a different state, and against entries being applied
    /// twice when a snapshot already contains their effect.
    fn replay_is_idempotent(steps: Vec<(u8, u8)>) -> TestResult {
        let mut table = table_with(spec(JobKind::Batch, 4));
        let mut entries = vec![JournalEntry::JobAccepted {
            job: job(1),
            spec: Arc::new(spec(JobKind::Batch, 4)),
            at: NOW,
        }];
        for (task, result) in steps {
            let task = TaskRef::new(job(1), u32::from(task % 4));
            let Some(attempt) = table.next_attempt(&task, EPOCH) else { break };
            let started = JournalEntry::AttemptStarted {
                task: task.clone(), attempt: attempt.clone(), worker: worker(),
            };
            table.apply(EPOCH, &started);
            entries.push(started);
            let result = [AttemptResult::Succeeded, AttemptResult::Failed,
                AttemptResult::Interrupted, AttemptResult::Lost][usize::from(result % 4)];
            let ended = JournalEntry::AttemptEnded { task, attempt, result, at: NOW };
            table.apply(EPOCH, &ended);
            entries.push(ended);
        }
        let mut rebuilt = JobTable::new();
        entries.iter().for_each(|entry| rebuilt.apply(EPOCH, entry));
        let is_same_after_replay = rebuilt == table;
        entries.iter().for_each(|entry| rebuilt.apply(EPOCH, entry));
        let bytes = table.to_snapshot().expect("a snapshot");
        let copy = JobTable::from_snapshot(&bytes).expect("a table");
        TestResult::from_bool(is_same_after_replay && rebuilt == table && copy == table)
    }
}
