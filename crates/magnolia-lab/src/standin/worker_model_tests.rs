//! Tests of the worker's rules that fencing and leases of the scheduler depend on.

use std::sync::Arc;

use magnolia_backing::{
    AttemptEnd, AttemptState, CommandAnswer, CommandBatch, FenceRequest, StartCommand,
    StartRefusal, StopCommand, ThrottleCommand,
};
use magnolia_types::{
    AttemptId, Epoch, Incarnation, JobId, Millis, ResourceVector, TaskRef, WorkerId,
};

use super::{CheckpointStore, WorkerFaults, WorkerModel};

const INCARNATION: Incarnation = Incarnation::new(7);
const LEASE_MS: u64 = 1000;

fn worker() -> WorkerModel {
    let name = WorkerId::new("w0").expect("a name");
    WorkerModel::new(name, INCARNATION, ResourceVector::new(1000, 1000, 0))
}

fn attempt(number: u32) -> AttemptId {
    AttemptId::new(&format!("a{number}")).expect("a name")
}

fn start(number: u32, run_ms: u64) -> StartCommand {
    StartCommand {
        attempt: attempt(number),
        task: TaskRef::new(JobId::new("p0.1").expect("a name"), 0),
        size: ResourceVector::new(600, 10, 0),
        run_ms: Some(Millis::new(run_ms)),
    }
}

fn batch(epoch: u64, reading_ms: u64) -> CommandBatch {
    CommandBatch {
        partition: Arc::from("p0"),
        epoch: Epoch::new(epoch),
        incarnation: INCARNATION,
        reading_ms: Millis::new(reading_ms),
        lease_ms: Millis::new(LEASE_MS),
        start_window_ms: Millis::new(400),
        renew: false,
        full_report: true,
        starts: Vec::new(),
        stops: Vec::new(),
        checkpoints: Vec::new(),
        throttles: Vec::new(),
        acknowledged: Vec::new(),
    }
}

fn started(model: &mut WorkerModel, now: u64, run_ms: u64) -> CommandAnswer {
    let mut batch = batch(1, now);
    batch.starts.push(start(1, run_ms));
    model.command(Millis::new(now), &batch)
}

/// Returns the state of the first attempt after an empty batch with an old clock reading.
fn state_at(model: &mut WorkerModel, now: u64) -> AttemptState {
    let answer = model.command(Millis::new(now), &batch(1, 0));
    answer.report.attempts[0].state
}

/// Guards against a worker that carries out commands of a superseded owner.
#[test]
fn lower_epoch_is_refused_without_effect() {
    let mut model = worker();
    let fence = FenceRequest {
        partition: Arc::from("p0"),
        epoch: Epoch::new(2),
    };
    model.fence(Millis::new(0), &fence);
    let answer = started(&mut model, 1, 100);
    assert_eq!(answer.superseded_by, Some(Epoch::new(2)));
    assert!(answer.report.attempts.is_empty());
}

/// Guards against a delayed start that takes effect after the owner has given up on it.
#[test]
fn start_with_an_old_reading_is_refused() {
    let mut model = worker();
    let mut batch = batch(1, 0);
    batch.starts.push(start(1, 100));
    let answer = model.command(Millis::new(401), &batch);
    assert_eq!(answer.refused[0].reason, StartRefusal::StaleReading);
}

/// Guards against a lease that begins when the batch arrives: the owner counts from the earlier
/// reading of the worker's clock that the batch has.
#[test]
fn lease_runs_from_the_cited_reading() {
    let mut model = worker();
    let mut batch = batch(1, 100);
    batch.starts.push(start(1, 60_000));
    model.command(Millis::new(400), &batch);
    assert_eq!(state_at(&mut model, 1099), AttemptState::Running);
    let expired = AttemptState::Ended(AttemptEnd::LeaseExpired);
    assert_eq!(state_at(&mut model, 1100), expired);
}

/// Guards against a start that runs twice when its answer was lost and it is sent again.
#[test]
fn repeated_start_has_no_further_effect() {
    let mut model = worker();
    started(&mut model, 0, 100);
    assert!(started(&mut model, 50, 100).refused.is_empty());
    let finished = AttemptState::Ended(AttemptEnd::Succeeded);
    assert_eq!(state_at(&mut model, 100), finished);
}

/// Guards against a throttle that is only reported: at half speed the work takes twice the time.
#[test]
fn throttled_task_runs_longer() {
    let mut model = worker();
    started(&mut model, 0, 200);
    let mut throttle = batch(1, 0);
    throttle.throttles.push(ThrottleCommand {
        attempt: attempt(1),
        percent: 50,
    });
    model.command(Millis::new(100), &throttle);
    assert_eq!(state_at(&mut model, 299), AttemptState::Throttled);
    let finished = AttemptState::Ended(AttemptEnd::Succeeded);
    assert_eq!(state_at(&mut model, 300), finished);
}

/// Guards against processors that throttling frees but no other attempt may use, and against an
/// attempt that takes them back while others hold them.
#[test]
fn throttled_task_gives_processors_back() {
    let mut model = worker();
    started(&mut model, 0, 1000);
    let mut second = batch(1, 0);
    second.starts.push(start(2, 100));
    assert_eq!(model.command(Millis::new(1), &second).refused.len(), 1);
    let mut throttle = batch(1, 0);
    throttle.throttles.push(ThrottleCommand {
        attempt: attempt(1),
        percent: 50,
    });
    throttle.starts.push(start(3, 100));
    assert!(model.command(Millis::new(2), &throttle).refused.is_empty());
    let mut restore = batch(1, 0);
    restore.throttles.push(ThrottleCommand {
        attempt: attempt(1),
        percent: 100,
    });
    model.command(Millis::new(3), &restore);
    assert_eq!(state_at(&mut model, 4), AttemptState::Throttled);
    model.command(Millis::new(200), &restore);
    assert_eq!(state_at(&mut model, 201), AttemptState::Running);
}

/// Guards against checkpointed progress that is lost when the task continues on another worker.
#[test]
fn checkpointed_task_goes_on_elsewhere() {
    let store = CheckpointStore::default();
    let mut first = worker().with_checkpoints(Arc::clone(&store));
    let mut second = worker().with_checkpoints(store);
    started(&mut first, 0, 200);
    let mut checkpoint = batch(1, 0);
    checkpoint.checkpoints.push(attempt(1));
    first.command(Millis::new(150), &checkpoint);
    started(&mut second, 150, 200);
    let finished = AttemptState::Ended(AttemptEnd::Succeeded);
    assert_eq!(state_at(&mut second, 200), finished);
}

/// Guards against a stop that ends a task before its grace period, or frees its resources early.
#[test]
fn stopped_task_holds_its_room_until_it_ends() {
    let mut model = worker();
    started(&mut model, 0, 200);
    let mut stop = batch(1, 0);
    stop.stops.push(StopCommand {
        attempt: attempt(1),
        grace_ms: Millis::new(10),
    });
    stop.starts.push(start(2, 100));
    let answer = model.command(Millis::new(50), &stop);
    assert_eq!(answer.refused[0].reason, StartRefusal::NoRoom);
    assert_eq!(state_at(&mut model, 59), AttemptState::Running);
    let stopped = AttemptState::Ended(AttemptEnd::Stopped);
    assert_eq!(state_at(&mut model, 60), stopped);
}

/// Guards against tasks that survive a restart, and against starts for the earlier incarnation.
#[test]
fn restarted_worker_has_no_tasks_and_refuses_old_starts() {
    let mut model = worker();
    started(&mut model, 0, 200);
    model.restart(Millis::new(10), Incarnation::new(8));
    let answer = started(&mut model, 20, 200);
    assert_eq!(answer.refused[0].reason, StartRefusal::OtherIncarnation);
    assert!(answer.report.attempts.is_empty());
}

/// Guards against faults without effect, on which the end-to-end tests rely.
#[test]
fn faults_change_run_time_and_outcome() {
    let mut slow = worker();
    slow.set_faults(WorkerFaults {
        run_time_percent: Some(300),
        ..WorkerFaults::default()
    });
    started(&mut slow, 0, 100);
    assert_eq!(state_at(&mut slow, 299), AttemptState::Running);
    let mut broken = worker();
    broken.set_faults(WorkerFaults {
        fail_tasks: true,
        ..WorkerFaults::default()
    });
    started(&mut broken, 0, 100);
    let failed = AttemptState::Ended(AttemptEnd::Failed);
    assert_eq!(state_at(&mut broken, 100), failed);
}
