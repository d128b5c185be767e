//! Lost answers, lost workers, outages of the log and changes of the inventory.

mod cell;

use std::time::Duration;

use cell::{JOURNAL, TestCell, batch, eventually, service, set_config, unit, worker_address};
use magnolia_protocol::{JobOperation, JobReply};
use magnolia_state::{JournalBatch, JournalEntry};
use magnolia_types::{JobId, JobSpec, JobState, ResourceVector, ResultCode};

fn submission(spec: JobSpec) -> JobOperation {
    let job = JobId::new_in(cell::PARTITION, rand::random()).expect("an id");
    JobOperation::Submit { job, spec }
}

/// Guards against a job that is refused, or accepted twice, because the log's answers were lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_appends_change_nothing() {
    let cell = TestCell::new(2);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    first.submit(batch(1, 1)).await;
    cell.log.lose_answers(3);
    let job = first.submit(batch(4, 1)).await;
    first.wait_state(&job, JobState::Done).await;
    second.claim(2).await;
    second.submit(batch(1, 1)).await;
    let list = JobOperation::List {
        customer: None,
        state: None,
        limit: 10,
    };
    let JobReply::Jobs(views) = second.run(list).await else {
        panic!("no list");
    };
    assert_eq!(views.len(), 3);
    assert!(
        second.counter("journal.repeated") >= 1,
        "copies were in the log"
    );
}

/// Guards against a task that is started twice, or given up, because the worker's answer was lost.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_starts_change_nothing() {
    let cell = TestCell::new(2);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let warm = daemon.submit(batch(1, 1)).await;
    daemon.wait_state(&warm, JobState::Done).await;
    cell.fleet.lose_answers(2);
    let job = daemon.submit(batch(12, 50)).await;
    daemon.wait_state(&job, JobState::Done).await;
    let runs = cell.fleet.runs();
    assert_eq!(runs.iter().filter(|run| run.task.job == job).count(), 12);
}

/// Guards against tasks that run in two places when a worker is unreachable and comes back.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_an_unreachable_worker_move_after_its_lease() {
    let cell = TestCell::new(2);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let job = daemon.submit(batch(4, 2500)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 4).await;
    let index = usize::from(cell.fleet.runs()[0].worker.as_str() != "w000");
    cell.fleet.set_reachable(worker_address(index), false);
    daemon.wait_state(&job, JobState::Done).await;
    cell.fleet.set_reachable(worker_address(index), true);
    cell.fleet.assert_single_runs();
    assert!(cell.fleet.runs().len() > 4, "tasks ran again elsewhere");
    assert!(daemon.counter("attempts.waited_out") > 0);
}

/// Guards against losing the tasks of a restarted worker, and against starts on it before the claim
/// is confirmed: the new process does not know the fence.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_worker_is_used_after_the_claim_is_confirmed() {
    let cell = TestCell::new(1);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let job = daemon.submit(batch(8, 1500)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 8).await;
    cell.log.set_unavailable(true);
    cell.fleet.restart(worker_address(0));
    eventually("the claim is not confirmed", || {
        daemon.counter("claims.not_confirmed") > 1
    })
    .await;
    assert_eq!(cell.fleet.runs().len(), 8, "no start on the new process");
    cell.log.set_unavailable(false);
    daemon.wait_state(&job, JobState::Done).await;
    assert_eq!(cell.fleet.runs().len(), 16);
    cell.fleet.assert_single_runs();
}

/// Guards against accepted work that stops, or new jobs that are accepted, while the log is
/// unavailable, and against a journal that lacks the entries of that time.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_work_goes_on_while_the_log_is_away() {
    let cell = TestCell::new(1);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    let job = first.submit(batch(32, 100)).await;
    cell.log.set_unavailable(true);
    eventually("the owner notices", || {
        first.counter("journal.append_failed") > 0
    })
    .await;
    let reply = first.run(submission(batch(1, 1))).await;
    assert!(
        matches!(
            reply,
            JobReply::Refused {
                code: ResultCode::LogUnavailable,
                ..
            }
        ),
        "{reply:?}"
    );
    first.wait_state(&job, JobState::Done).await;
    cell.log.set_unavailable(false);
    let later = accepted_later(&first).await;
    first.wait_state(&later, JobState::Done).await;
    eventually("the ends are journalled", || is_journalled(&cell, 33)).await;
    second.claim(2).await;
    second.submit(batch(1, 1)).await;
    second.wait_state(&job, JobState::Done).await;
    assert_eq!(
        cell.fleet
            .runs()
            .iter()
            .filter(|run| run.task.job == job)
            .count(),
        32
    );
}

async fn accepted_later(daemon: &cell::TestDaemon) -> JobId {
    loop {
        match daemon.run(submission(batch(1, 1))).await {
            JobReply::Job(view) => return view.job,
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

fn is_journalled(cell: &TestCell, ends: usize) -> bool {
    let records = cell.log.records(JOURNAL);
    let batches = records
        .iter()
        .filter_map(|data| JournalBatch::decode(data).ok());
    let entries = batches.flat_map(|batch| batch.entries);
    entries
        .filter(|entry| matches!(entry, JournalEntry::AttemptEnded { .. }))
        .count()
        >= ends
}

/// Guards against a new owner that needs records before the snapshot, which the log has dropped.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_starts_from_the_snapshot() {
    let cell = TestCell::new(1);
    let (first, second) = (cell.daemon("d1"), cell.daemon("d2"));
    first.claim(1).await;
    let old = first.submit(batch(2, 1)).await;
    first.wait_state(&old, JobState::Done).await;
    let is_part = |data: &bytes::Bytes| {
        JournalBatch::decode(data)
            .is_ok_and(|batch| matches!(batch.entries[..], [JournalEntry::SnapshotPart { .. }]))
    };
    eventually("a snapshot is taken", || {
        cell.log.records(JOURNAL).iter().any(is_part)
    })
    .await;
    let first_part = cell
        .log
        .records(JOURNAL)
        .iter()
        .position(is_part)
        .expect("a part");
    cell.log.trim(JOURNAL, first_part);
    let new = first.submit(batch(2, 1)).await;
    first.wait_state(&new, JobState::Done).await;
    second.claim(2).await;
    second.submit(batch(1, 1)).await;
    second.wait_state(&old, JobState::Done).await;
    second.wait_state(&new, JobState::Done).await;
}

/// Guards against services that stay on a leaving rack, and against new work on it.
#[tokio::test(flavor = "multi_thread")]
async fn services_move_away_from_a_rack_that_leaves() {
    let cell = TestCell::new(8);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let job = daemon.submit(service(3)).await;
    eventually("all tasks run", || cell.fleet.runs().len() == 3).await;
    let mut document = cell.document.clone();
    let used = cell.fleet.runs()[0].worker.clone();
    let rack = document.worker(&used).expect("a worker").0.name.clone();
    let leaving: Vec<_> = document
        .racks
        .iter_mut()
        .filter(|candidate| candidate.name == rack)
        .flat_map(|rack| {
            rack.leaving = true;
            rack.workers
                .iter()
                .map(|worker| worker.name.clone())
                .collect::<Vec<_>>()
        })
        .collect();
    set_config(&daemon.context, 2, document);
    eventually("all tasks run elsewhere", || {
        let runs = cell.fleet.runs();
        let open: Vec<_> = runs.iter().filter(|run| run.ended.is_none()).collect();
        open.len() == 3 && open.iter().all(|run| !leaving.contains(&run.worker))
    })
    .await;
    let reply = daemon
        .run(JobOperation::Cancel {
            jobs: vec![job.clone()],
        })
        .await;
    assert!(matches!(reply, JobReply::Jobs(_)));
    daemon.wait_state(&job, JobState::Cancelled).await;
    cell.fleet.assert_single_runs();
}

/// Guards against changes of the inventory that have an effect only after a restart of the owner.
#[tokio::test(flavor = "multi_thread")]
async fn workers_join_and_leave_while_the_owner_runs() {
    let cell = TestCell::new(1);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let job = daemon.submit(batch(12, 600_000)).await;
    eventually("the worker is full", || cell.fleet.runs().len() == 8).await;
    let wide = cell::document(2);
    let (_, worker, capacity) = wide.workers_of(cell::PARTITION).nth(1).expect("a worker");
    cell.fleet.add(worker.address, &worker.name, capacity);
    set_config(&daemon.context, 2, wide);
    eventually("the new worker is used", || cell.fleet.runs().len() == 12).await;
    let mut narrow = cell::document(2);
    narrow.racks[0].workers.remove(0);
    set_config(&daemon.context, 3, narrow);
    eventually("nothing runs on the removed worker", || {
        let runs = cell.fleet.runs();
        let open = runs.iter().filter(|run| run.ended.is_none());
        open.clone().count() == 8 && open.clone().all(|run| run.worker.as_str() == "w001")
    })
    .await;
    cell.fleet.assert_single_runs();
    daemon
        .run(JobOperation::Cancel {
            jobs: vec![job.clone()],
        })
        .await;
    daemon.wait_state(&job, JobState::Cancelled).await;
}

/// Guards against jobs that wait forever although no worker could run them, a key that makes two
/// jobs, and a refusal without a reason.
#[tokio::test(flavor = "multi_thread")]
async fn submissions_are_checked_and_explained() {
    let cell = TestCell::new(1);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let mut keyed = batch(1, 1);
    keyed.idempotency_key = Some("k1".parse().expect("a key"));
    let job = daemon.submit(keyed.clone()).await;
    assert_eq!(daemon.submit(keyed.clone()).await, job);
    let other = JobSpec { tasks: 2, ..keyed };
    let reply = daemon.run(submission(other)).await;
    assert!(matches!(
        reply,
        JobReply::Refused {
            code: ResultCode::KeyReused,
            ..
        }
    ));
    let huge = JobSpec {
        size: ResourceVector::new(9000, 500, 0),
        ..batch(1, 1)
    };
    let operation = submission(huge);
    let JobOperation::Submit { job: refused, .. } = &operation else {
        panic!("a submission");
    };
    let refused = refused.clone();
    let reply = daemon.run(operation).await;
    assert!(
        matches!(
            reply,
            JobReply::Refused {
                code: ResultCode::NeverFits,
                ..
            }
        ),
        "{reply:?}"
    );
    let JobReply::Explanation(lines) = daemon.run(JobOperation::Explain { job: refused }).await
    else {
        panic!("no explanation");
    };
    assert_eq!(lines.len(), 2);
    let once = JobSpec {
        repeatable: false,
        ..batch(1, 1)
    };
    let reply = daemon.run(submission(once)).await;
    assert!(matches!(
        reply,
        JobReply::Refused {
            code: ResultCode::KeyRequired,
            ..
        }
    ));
    assert!(daemon.context.partitions.get(&unit()).is_some());
}

/// Guards against starting a task that is not repeatable before its intent is in the log: after a
/// crash, the next owner would not know that it may have run.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_that_may_not_repeat_starts_after_its_intent_is_written() {
    let cell = TestCell::new(1);
    let daemon = cell.daemon("d1");
    daemon.claim(1).await;
    let blocker = daemon.submit(batch(8, 600_000)).await;
    eventually("the worker is full", || cell.fleet.runs().len() == 8).await;
    let mut once = batch(1, 10);
    once.repeatable = false;
    once.idempotency_key = Some("k1".parse().expect("a key"));
    let job = daemon.submit(once).await;
    let name = job.clone();
    let is_intended = move |data: &[u8]| {
        JournalBatch::decode(data).is_ok_and(|batch| {
            batch.entries.iter().any(|entry| {
                matches!(entry, JournalEntry::AttemptStarted { task, .. } if task.job == name)
            })
        })
    };
    let filter = is_intended.clone();
    cell.log.lose_answers_to(Some(Box::new(filter)));
    daemon
        .run(JobOperation::Cancel {
            jobs: vec![blocker],
        })
        .await;
    eventually("the intent is written several times", || {
        let records = cell.log.records(JOURNAL);
        records.iter().filter(|data| is_intended(data)).count() >= 3
    })
    .await;
    let runs = || {
        cell.fleet
            .runs()
            .into_iter()
            .filter(|run| run.task.job == job)
    };
    assert_eq!(runs().count(), 0, "no answer has confirmed the intent");
    cell.log.lose_answers_to(None);
    daemon.wait_state(&job, JobState::Done).await;
    assert_eq!(runs().count(), 1);
}
