//! Takeovers: owners that are killed, pause or hand over while tasks run.

mod cell;

use std::sync::Arc;
use std::time::Duration;

use cell::{LEASE_MS, TestCell, batch, eventually, unit, worker_address};
use magnolia_daemon::MemberEntry;
use magnolia_daemon::partition::{hand_over, stop_owner};
use magnolia_protocol::{JobOperation, JobReply, PeerRequest};
use magnolia_types::{Epoch, JobState, Millis, ResultCode};

/// Timeout of a call to another daemon.
const PING_TIMEOUT: Duration = Duration::from_millis(500);

/// Guards against tasks that are lost, run twice or wait forever after their owner was killed.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_go_on_after_a_killed_owner() {
    let cell = TestCell::new(4);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    let job = first.submit(batch(64, 300)).await;
    eventually("tasks run", || cell.fleet.runs().len() >= 32).await;
    first.gate.set_open(false);
    let killed = cell.fleet.now();
    second.claim(2).await;
    let view = second.wait_state(&job, JobState::Done).await;
    assert_eq!(view.tasks.done, 64);
    cell.fleet.assert_single_runs();
    let runs = cell.fleet.runs();
    let next = runs
        .iter()
        .filter(|run| run.epoch == Epoch::new(2))
        .map(|run| run.started)
        .min();
    let gap = next.expect("a start").saturating_sub(killed);
    println!("time from the kill to the first start of the next owner: {gap}");
    assert!(second.counter("attempts.adopted") > 0);
}

/// Guards against a paused owner that goes on placing tasks after the pause.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_wakes_late_changes_nothing() {
    let cell = TestCell::new(2);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    let job = first.submit(batch(80, 200)).await;
    eventually("tasks run", || cell.fleet.runs().len() >= 8).await;
    first.gate.set_open(false);
    second.claim(2).await;
    eventually("the next owner places", || {
        cell.fleet
            .runs()
            .iter()
            .any(|run| run.epoch == Epoch::new(2))
    })
    .await;
    let woken = cell.fleet.now();
    first.gate.set_open(true);
    eventually("the first owner stops", || {
        first.context.partitions.get(&unit()).is_none()
    })
    .await;
    second.wait_state(&job, JobState::Done).await;
    cell.fleet.assert_single_runs();
    let late = cell
        .fleet
        .runs()
        .into_iter()
        .filter(|run| run.epoch == Epoch::new(1));
    assert!(
        late.clone().all(|run| run.started <= woken),
        "a start of the old owner"
    );
}

/// Guards against placing tasks of an earlier owner while an unreachable worker may still run them,
/// and against waiting forever once the end of the earlier owner is proved.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreachable_worker_is_waited_out_after_proof() {
    let cell = TestCell::new(2);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let job = daemon.submit(batch(16, 600_000)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 16).await;
    cell.fleet.set_reachable(worker_address(0), false);
    // The stop of an owner in the same process proves its end.
    stop_owner(&daemon.context, &unit(), Epoch::new(2));
    eventually("the owner stops", || {
        daemon.context.partitions.get(&unit()).is_none()
    })
    .await;
    daemon.claim(2).await;
    let new = daemon.submit(batch(1, 1)).await;
    eventually("the lease ends", || {
        let runs = cell.fleet.runs();
        runs.iter().filter(|run| run.ended.is_some()).count() >= 8
    })
    .await;
    cell.fleet.assert_single_runs();
    let view = daemon.view(&job).await.expect("the job");
    assert_eq!(view.tasks.running + view.tasks.waiting, 16);
    // The new task needs capacity on the reachable worker, which is full until the job is
    // cancelled.
    daemon
        .run(JobOperation::Cancel {
            jobs: vec![job.clone()],
        })
        .await;
    daemon.wait_state(&new, JobState::Done).await;
    daemon.wait_state(&job, JobState::Cancelled).await;
}

/// Guards against a planned handover that waits for fences, loses tasks or runs them twice: one
/// worker does not answer, and the waiting tasks have to start on the other one before any lease
/// expires.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_handover_needs_no_fencing_wait() {
    let cell = TestCell::new(2);
    let first = cell.daemon("d1");
    let (second, successor) = cell.reachable_daemon("d2").await;
    first.claim(1).await;
    let job = first.submit(batch(40, 400)).await;
    eventually("tasks run", || cell.fleet.runs().len() >= 16).await;
    cell.fleet.set_reachable(worker_address(0), false);
    let began = cell.fleet.now();
    let mut absent = successor.clone();
    absent.address = worker_address(0);
    assert!(!hand_over(&first.context, &unit(), &absent).await);
    // The owner has stopped by now, and its state is kept for the next candidate.
    assert!(hand_over(&first.context, &unit(), &successor).await);
    assert!(first.context.partitions.get(&unit()).is_none());
    second.claim(2).await;
    eventually("the next owner places", || {
        cell.fleet
            .runs()
            .iter()
            .any(|run| run.epoch == Epoch::new(2))
    })
    .await;
    assert_eq!(second.counter("partition.handovers_taken"), 1);
    let runs = cell.fleet.runs();
    let next = runs
        .iter()
        .filter(|run| run.epoch == Epoch::new(2))
        .map(|run| run.started)
        .min();
    let gap = next.expect("a start").saturating_sub(began);
    println!("time from the start of the handover to the first start of the next owner: {gap}");
    second.wait_state(&job, JobState::Done).await;
    cell.fleet.assert_single_runs();
}

/// Guards against a handover that counts as proof of the end of owners before the previous one: the
/// first owner still renews the leases of a worker that nobody has fenced, so the tasks on it must
/// not start elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_handover_proves_nothing_about_earlier_owners() {
    let cell = TestCell::new(3);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    let (third, successor) = cell.reachable_daemon("d3").await;
    first.claim(1).await;
    let job = first.submit(batch(10, 600_000)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 10).await;
    let runs = cell.fleet.runs();
    let tasks_on = |index: usize| {
        let name = format!("w{index:03}");
        runs.iter()
            .filter(|run| run.worker.as_str() == name)
            .count()
    };
    let held = (0..3)
        .max_by_key(|index| tasks_on(*index))
        .expect("a worker");
    // Ten tasks on three workers with eight processors each: two have capacity for the tasks of
    // the third.
    first.log_gate.set_open(false);
    first.make_unreachable((0..3).filter(|index| *index != held).map(worker_address));
    second.make_unreachable([worker_address(held)]);
    third.make_unreachable([worker_address(held)]);
    second.claim(2).await;
    eventually("the second owner serves", || {
        second
            .context
            .partitions
            .dump()
            .to_string()
            .contains("serving")
    })
    .await;
    assert!(hand_over(&second.context, &unit(), &successor).await);
    third.claim(3).await;
    third.submit(batch(1, 1)).await;
    tokio::time::sleep(Duration::from_millis(3 * LEASE_MS)).await;
    assert!(third.view(&job).await.is_some());
    cell.fleet.assert_single_runs();
}

/// Guards against a refused connection that counts as the end of an earlier owner, which may run
/// behind a firewall and renew the leases of workers that only it reaches.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_an_owner_behind_a_firewall_start_nowhere_else() {
    let cell = TestCell::new(3);
    // Nothing listens at the address of the first owner, so that connections to it are refused.
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    let identity = &first.context.identity;
    first.claim(1).await;
    first.submit(batch(10, 600_000)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 10).await;
    let runs = cell.fleet.runs();
    let tasks_on = |index: &usize| {
        let name = format!("w{index:03}");
        let on_worker = runs.iter().filter(|run| run.worker.as_str() == name);
        on_worker.count()
    };
    let held = (0..3).max_by_key(tasks_on).expect("a worker");
    first.log_gate.set_open(false);
    first.make_unreachable((0..3).filter(|index| *index != held).map(worker_address));
    second.make_unreachable([worker_address(held)]);
    second.list_daemon(&MemberEntry {
        daemon: identity.daemon.clone(),
        address: identity.address,
        data_centre: identity.data_centre.clone(),
    });
    let members = &second.context.members;
    members.record_run(&identity.daemon, identity.incarnation);
    second.claim(2).await;
    second.submit(batch(1, 1)).await;
    let ping = second
        .context
        .call_peer(identity.address, PeerRequest::Ping, PING_TIMEOUT)
        .await;
    assert!(ping.is_err_and(|error| error.is_refused()));
    tokio::time::sleep(Duration::from_millis(3 * LEASE_MS)).await;
    cell.fleet.assert_single_runs();
}

/// Guards against an owner that takes the expiry of a lease in its own table for the end of the
/// task: a later owner, unknown to it, has fenced the worker and renews the lease.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_without_the_log_moves_no_task_after_a_lease() {
    let cell = TestCell::new(2);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    first.submit(batch(8, 600_000)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 8).await;
    let runs = cell.fleet.runs();
    let lost = usize::from(runs[0].worker.as_str() != "w000");
    let name = runs[0].worker.clone();
    let held = runs.iter().filter(|run| run.worker == name).count();
    // The first owner reaches one worker only, the second one the other.
    first.log_gate.set_open(false);
    first.make_unreachable([worker_address(lost)]);
    second.make_unreachable([worker_address(1 - lost)]);
    second.claim(2).await;
    tokio::time::sleep(Duration::from_millis(3 * LEASE_MS)).await;
    assert_eq!(second.counter("attempts.adopted"), held as u64);
    cell.fleet.assert_single_runs();
    // With the log back, the first owner learns that it was superseded.
    first.log_gate.set_open(true);
    eventually("the first owner stops", || {
        first.context.partitions.get(&unit()).is_none()
    })
    .await;
    cell.fleet.assert_single_runs();
}

/// Guards against a superseded owner that starts tasks on a restarted worker, which has lost the
/// fence, because a peer that has not read the later claim either confirms its own one.
#[tokio::test(flavor = "multi_thread")]
async fn a_peer_without_the_log_lets_no_task_start_on_a_restarted_worker() {
    let cell = TestCell::new(2);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    let (peer, member) = cell.reachable_daemon("d3").await;
    first.list_daemon(&member);
    first.claim(1).await;
    let job = first.submit(batch(8, 600_000)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 8).await;
    let claims = first
        .context
        .claims
        .with_table(|table| table.iter().cloned().collect::<Vec<_>>());
    peer.context.claims.merge(&claims);
    let restarted = usize::from(cell.fleet.runs()[0].worker.as_str() != "w000");
    // The first owner loses the log and the workers, and keeps the peer.
    first.log_gate.set_open(false);
    first.make_unreachable((0..2).map(worker_address));
    second.claim(2).await;
    eventually("the second owner has fenced the workers", || {
        second.counter("attempts.adopted") == 8
    })
    .await;
    // The worker comes back on the side of the first owner.
    second.make_unreachable([worker_address(restarted)]);
    cell.fleet.restart(worker_address(restarted));
    first.make_reachable(worker_address(restarted));
    eventually("the first owner knows of the restart", || {
        first.counter("workers.restarts") == 1
    })
    .await;
    eventually("the second owner starts the lost tasks again", || {
        let runs = cell.fleet.runs().into_iter();
        let later = runs.filter(|run| run.epoch == Epoch::new(2));
        later.count() > 0
    })
    .await;
    tokio::time::sleep(Duration::from_millis(2 * LEASE_MS)).await;
    assert!(second.view(&job).await.is_some());
    cell.fleet.assert_single_runs();
}

/// Guards against a request that is sent after a takeover, or a key that can be used again, when
/// the journal has an intent without an outcome.
#[tokio::test(flavor = "multi_thread")]
async fn an_intent_without_an_outcome_is_unknown_after_a_takeover() {
    let cell = TestCell::new(1);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    first.submit(batch(1, 1)).await;
    let spec = magnolia_types::QuickSpec {
        customer: "guild".parse().expect("a name"),
        class: "batch".parse().expect("a name"),
        deadline_ms: Millis::from_secs(5),
        body: "once".into(),
        repeatable: false,
        idempotency_key: Some("k1".parse().expect("a key")),
    };
    let operation = |request: &str| JobOperation::RunOnce {
        request: request.parse().expect("an id"),
        spec: spec.clone(),
    };
    // The intent is written, and the owner is paused before it gets the answer.
    cell.log.lose_answers(u32::MAX);
    let before = cell.log.records(cell::JOURNAL).len();
    let context = Arc::clone(&first.context);
    let intent = operation("r1");
    let asked = tokio::spawn(async move {
        magnolia_daemon::partition::run_local(&context, cell::PARTITION, intent).await
    });
    eventually("the intent is written", || {
        cell.log.records(cell::JOURNAL).len() > before
    })
    .await;
    first.gate.set_open(false);
    cell.log.lose_answers(0);
    second.claim(2).await;
    second.submit(batch(1, 1)).await;
    let repeated = second.run(operation("r2")).await;
    let JobReply::Once(outcome) = repeated else {
        panic!("another reply: {repeated:?}");
    };
    assert_eq!(outcome.code, ResultCode::OutcomeUnknown);
    first.gate.set_open(true);
    let first_reply = asked.await.expect("a reply");
    assert!(
        matches!(
            first_reply,
            JobReply::Refused {
                code: ResultCode::NotOwner,
                ..
            }
        ),
        "{first_reply:?}"
    );
    let mut other = spec.clone();
    other.body = "twice".into();
    let reused = JobOperation::RunOnce {
        request: "r3".parse().expect("an id"),
        spec: other,
    };
    let reused = second.run(reused).await;
    assert!(matches!(
        reused,
        JobReply::Refused {
            code: ResultCode::KeyReused,
            ..
        }
    ));
}

/// Guards against a second run of a task that is not repeatable when its worker is lost.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_may_not_repeat_is_unknown_after_its_worker_is_lost() {
    let cell = TestCell::new(2);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let mut spec = batch(1, 600_000);
    spec.repeatable = false;
    spec.idempotency_key = Some("k1".parse().expect("a key"));
    let job = daemon.submit(spec.clone()).await;
    eventually("the task runs", || cell.fleet.runs().len() == 1).await;
    let worker = cell.fleet.runs()[0].worker.clone();
    let index = usize::from(worker.as_str() != "w000");
    cell.fleet.set_reachable(worker_address(index), false);
    daemon.wait_state(&job, JobState::Unknown).await;
    assert_eq!(
        daemon.submit(spec).await,
        job,
        "the key gives the first job"
    );
    cell.fleet.set_reachable(worker_address(index), true);
    tokio::time::sleep(Duration::from_millis(LEASE_MS)).await;
    assert_eq!(cell.fleet.runs().len(), 1);
}

/// Guards against a second run of tasks that the earlier owner started while the log was
/// unavailable: according to the journal they wait, and the worker that runs them does not answer.
#[tokio::test(flavor = "multi_thread")]
async fn old_tasks_wait_for_a_worker_that_may_run_them_unrecorded() {
    let cell = TestCell::new(2);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    first.submit(batch(16, 300)).await;
    eventually("the workers are full", || cell.fleet.runs().len() == 16).await;
    let job = first.submit(batch(4, 600_000)).await;
    cell.log.set_unavailable(true);
    let runs_of_job = || {
        let runs = cell.fleet.runs().into_iter();
        runs.filter(|run| run.task.job == job).collect::<Vec<_>>()
    };
    eventually("the job runs unrecorded", || runs_of_job().len() == 4).await;
    let index = usize::from(runs_of_job()[0].worker.as_str() != "w000");
    cell.fleet.set_reachable(worker_address(index), false);
    first.gate.set_open(false);
    cell.log.set_unavailable(false);
    second.claim(2).await;
    // A task accepted after the takeover is placed at once on the worker that answers.
    let new = second.submit(batch(1, 10)).await;
    second.wait_state(&new, JobState::Done).await;
    let explanation = second.run(JobOperation::Explain { job: job.clone() }).await;
    let JobReply::Explanation(lines) = explanation else {
        panic!("no explanation");
    };
    let waits = lines.iter().any(|line| line.contains("earlier owner"));
    assert!(waits, "{lines:?}");
    cell.fleet.set_reachable(worker_address(index), true);
    eventually("all tasks run again", || {
        runs_of_job()
            .iter()
            .filter(|run| run.ended.is_none())
            .count()
            == 4
    })
    .await;
    cell.fleet.assert_single_runs();
}
