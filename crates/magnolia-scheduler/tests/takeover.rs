//! Tests of the rules for a change of owner, one rule each.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{CAPACITY, START_UNIX_MS, SchedulerHarness, entry, id, running, task};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{
    EndKind, ExecutorLife, JobKey, JobRecord, JobStatus, LiveRecord, OccurrenceRecord,
    RecurrenceSpec, RenewalKind, RunEnd, RunNumber, RunningTask, StepRecord, TaskRef,
};
use magnolia_types::Millis;

test_case!(
    /// Guards against a new owner that stops or restarts a run of a step because the success of its
    /// dependencies is not stored. Executors report both the run and the ends to the new owner.
    a_run_whose_reason_is_not_stored_is_taken_over,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 2);
        harness.load_executor(7, None);
        harness.load_job(1, job(vec![step(1, 1000, 100, vec![]), step(1, 1000, 5000, vec![0])]));
        harness.report_from_all(1);
        let mut next = task(1, 0, 0);
        next.step.step = 1;
        let listed = RunningTask {
            task: next,
            run: RunNumber::new(1),
            checkpoint: None,
            percent: 40,
            meter: None,
        };
        let end = RunEnd {
            number: 1,
            task: task(1, 0, 0),
            run: RunNumber::new(1),
            kind: EndKind::Done,
            checkpoint: None,
        };
        harness.report(0, vec![listed.clone()], vec![]);
        assert_eq!(harness.scheduler.take_actions(), vec![], "nothing is stopped");
        assert!(harness.start_tasks().is_empty(), "executor 7 has not answered");
        harness.report(7, vec![], vec![end]);
        harness.report(1, vec![], vec![]);
        assert!(harness.start_tasks().is_empty(), "one is done, the other runs");
        harness.store_batch();
        let done = RunEnd {
            number: 1,
            task: next,
            run: RunNumber::new(1),
            kind: EndKind::Done,
            checkpoint: None,
        };
        harness.report(0, vec![], vec![done]);
        harness.store_batch();
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against a new owner that starts a task while an executor that has not answered yet
    /// may run it.
    inherited_tasks_wait_for_executors_in_use,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        harness.load_executor(7, None);
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&harness.rules),
            spec: Arc::new(job(vec![step(2, 1000, 5000, vec![])])),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: Vec::new(),
            account: None,
            beyond_share: false,
        });
        let rules = Arc::clone(&harness.rules);
        harness.scheduler.load(JobKey::new(1), &record, &rules, harness.now);
        harness.report_from_all(1);
        harness.advance(200);
        assert!(harness.start_tasks().is_empty(), "executor 7 was not asked");
        let listed = RunningTask {
            task: task(1, 0, 0),
            run: RunNumber::new(1),
            checkpoint: None,
            percent: 40,
            meter: None,
        };
        harness.report(7, vec![listed], vec![]);
        harness.report(0, vec![], vec![]);
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 1, "one of the two tasks runs on executor 7");
        assert_eq!(starts[0].task, task(1, 0, 1));
        assert!(starts[0].run > RunNumber::new(1 << 20));
    }
);

test_case!(
    /// Guards against new jobs that wait after a change of owner: steps blocked by an executor that
    /// does not answer must not use up the planning pass.
    blocked_steps_do_not_hold_up_new_jobs,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        harness.load_executor(7, None);
        (1..=100).for_each(|key| harness.load_job(key, job(vec![step(1, 1000, 5000, vec![])])));
        harness.report_from_all(1);
        harness.submit(900, job(vec![step(2, 1000, 5000, vec![])]));
        harness.store_batch();
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 2, "{starts:?}");
        assert!(starts.iter().all(|order| order.task.step.job == JobKey::new(900)));
    }
);

test_case!(
    /// Guards against tasks that wait after a change of owner for an executor that can't run them,
    /// and against starting the one that it may run.
    only_tasks_left_on_an_unresponsive_executor_wait_for_it,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        harness.load_executor(7, Some(vec![task(1, 0, 0)]));
        harness.load_executor(8, Some(vec![]));
        // The list shows it in the life that the earlier owner knew.
        harness.scheduler.upsert_executor(entry(7, "r1-1"), harness.now);
        harness.report(8, vec![], vec![]);
        harness.load_job(1, job(vec![step(3, 1000, 5000, vec![])]));
        harness.report_from_all(1);
        harness.advance(200);
        let started: Vec<TaskRef> = harness.start_tasks().iter().map(|order| order.task).collect();
        assert_eq!(started, [task(1, 0, 1), task(1, 0, 2)]);
        harness.advance(8000);
        harness.report(0, vec![], vec![]);
        let started: Vec<TaskRef> = harness.start_tasks().iter().map(|order| order.task).collect();
        assert!(started.contains(&task(1, 0, 0)), "its lease has expired: {started:?}");
    }
);

test_case!(
    /// Guards against a new owner that blocks all inherited tasks because of one executor. The
    /// tasks on an executor that is draining or unresponsive are stored, and nothing starts there
    /// until the store holds that it is open again.
    what_runs_on_a_closed_executor_is_stored,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let run = harness.start_tasks()[0].run;
        harness.advance(2500);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("still in use");
        assert_eq!(record.confined_to, Some(vec![task(1, 0, 0)]));
        harness.scheduler.finish_batch(batch);
        let listed = RunningTask {
            task: task(1, 0, 0),
            run,
            checkpoint: None,
            percent: 40,
            meter: None,
        };
        harness.report(0, vec![listed], vec![]);
        harness.submit(2, job(vec![step(1, 1000, 60_000, vec![])]));
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert_eq!(harness.start_tasks().len(), 0, "the store still holds the list");
        let record = batch.executors[0].1.clone().expect("in use again");
        assert_eq!(record.confined_to, None);
        harness.scheduler.finish_batch(batch);
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against an occurrence that runs twice. Its end is reported to a new owner although
    /// the record of the job lacks the occurrence and it is not due yet by the clock of that owner.
    an_occurrence_that_ended_under_an_earlier_owner_does_not_run_again,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        let mut spec = job(vec![step(1, 1000, 100, vec![])]);
        spec.recurrence = Some(RecurrenceSpec {
            count: 3,
            start_unix_ms: START_UNIX_MS + 5000,
            interval: Millis::new(1000),
        });
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&harness.rules),
            spec: Arc::new(spec),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: Vec::new(),
            account: None,
            beyond_share: false,
        });
        let rules = Arc::clone(&harness.rules);
        harness.scheduler.load(JobKey::new(1), &record, &rules, harness.now);
        let ended = task(1, 0, 0);
        let end = harness.run_end(ended, RunNumber::new(1), EndKind::Done);
        harness.report(0, vec![], vec![end]);
        harness.store_batch();
        for _ in 0..40 {
            harness.advance(200);
            harness.report(0, vec![], vec![]);
            let starts = harness.start_tasks();
            assert!(starts.iter().all(|order| order.task != ended), "started again");
        }
    }
);

test_case!(
    /// Guards against several changes of owner in a row that each wait a whole lease for an
    /// executor that has left: its remaining lease is stored.
    a_next_owner_waits_for_the_rest_of_a_lease_only,
    || {
        let mut harness = SchedulerHarness::new_without_reports(3, 1);
        harness.load_executor_with_lease(7, Some(vec![task(1, 0, 0)]), Some(Millis::new(500)));
        harness.load_job(1, job(vec![step(1, 1000, 5000, vec![])]));
        harness.report_from_all(1);
        harness.advance(400);
        assert!(harness.start_tasks().is_empty(), "its lease may not have expired");
        harness.advance(200);
        assert_eq!(harness.start_tasks().len(), 1, "its lease has expired");
    }
);

test_case!(
    /// Guards against a new owner that relies on a stored lease end although the lease was renewed
    /// afterwards: the stored end is removed before the renewal.
    a_stored_lease_is_withdrawn_before_it_is_renewed,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        harness.advance(2500);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("in use");
        let left = record.lease_left.expect("silent");
        // The lease of 3.6 s was granted 2.5 s ago; a clock may be 2% slow.
        assert!((1100..1250).contains(&left.get()), "{left}");
        harness.scheduler.finish_batch(batch);
        harness.report(0, vec![running(&order)], vec![]);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now).expect("in use");
        assert_eq!(plan.lease_until, None, "the store still holds the end of its lease");
        harness.advance(10);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("in use");
        assert_eq!(record.lease_left, None);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now).expect("in use");
        assert_eq!(plan.lease_until, None, "not stored yet");
        harness.scheduler.finish_batch(batch);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now).expect("in use");
        assert!(plan.lease_until.is_some(), "renewed again");
    }
);

test_case!(
    /// Guards against a new owner that relies on an incomplete list of tasks. While a record with
    /// such a list may reach the store, nothing starts on the executor, even if it answers again.
    a_list_under_way_to_the_store_closes_an_executor,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        // Only one of the two tasks fits on the executor.
        harness.submit(1, job(vec![step(2, CAPACITY * 3 / 4, 60_000, vec![])]));
        harness.store_batch();
        let first = harness.start_tasks().remove(0);
        harness.advance(2500);
        let confining = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert!(confining.executors[0].1.is_some());
        let end = harness.run_end(first.task, first.run, EndKind::Done);
        harness.report(0, vec![], vec![end]);
        assert!(harness.start_tasks().is_empty(), "the list may reach the store");
        let reopening = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        harness.scheduler.finish_batch(confining);
        assert!(harness.start_tasks().is_empty(), "the store holds the list");
        harness.scheduler.finish_batch(reopening);
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a new owner that starts tasks on an executor that the store names as in use,
    /// but that has left the platform's list since, although its process still answers.
    an_executor_that_has_left_gets_no_tasks_from_the_next_owner,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        harness.load_executor(7, None);
        harness.report_from_all(1);
        harness.report(7, vec![], vec![]);
        harness.submit(1, job(vec![step(20, 1000, 100, vec![])]));
        harness.store_batch();
        let renewal = harness.scheduler.plan_executor_renewal(&id(7), RenewalKind::Full, harness.now);
        assert_eq!(renewal, None, "nothing runs there");
        let started = harness.start_tasks();
        assert!(!started.is_empty());
        assert!(started.iter().all(|order| order.executor == id(0)));
    }
);

test_case!(
    /// Guards against a new owner that starts a task again whose end an executor has not listed yet,
    /// because it lists a limited number of ends at a time.
    inherited_tasks_wait_for_all_ends_of_an_executor,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        harness.load_executor(7, None);
        harness.load_job(1, job(vec![step(2, 1000, 500, vec![])]));
        harness.report_from_all(1);
        let end = |number: u64| RunEnd {
            number,
            task: task(1, 0, u32::try_from(number - 1).expect("a small number")),
            run: RunNumber::new(1),
            kind: EndKind::Done,
            checkpoint: None,
        };
        harness.report_ends(7, vec![], vec![end(1)], false);
        for _ in 0..40 {
            harness.advance(200);
            harness.report(0, vec![], vec![]);
            harness.report_ends(7, vec![], vec![end(1)], false);
            assert!(harness.start_tasks().is_empty(), "at {}", harness.now);
        }
        harness.store_batch();
        harness.report(7, vec![], vec![end(2)]);
        harness.store_batch();
        assert!(harness.start_tasks().is_empty(), "both are done");
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against long-running tasks that stay away after a change of owner: the record of an
    /// earlier version says that they are done, and an executor lists a successful end.
    long_running_tasks_start_again_under_a_new_owner,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        let mut lasting = step(2, 1000, 500, vec![]);
        lasting.lasting = true;
        let mut done = StepRecord::default();
        done.set_done(0);
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&harness.rules),
            spec: Arc::new(job(vec![lasting])),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: vec![OccurrenceRecord { steps: vec![done] }],
            account: None,
            beyond_share: false,
        });
        let rules = Arc::clone(&harness.rules);
        harness.scheduler.load(JobKey::new(1), &record, &rules, harness.now);
        let end = RunEnd {
            number: 1,
            task: task(1, 0, 1),
            run: RunNumber::new(1),
            kind: EndKind::Done,
            checkpoint: None,
        };
        harness.report(0, vec![], vec![end]);
        harness.store_batch();
        harness.advance(200);
        harness.report(0, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 2);
    }
);

test_case!(
    /// Guards against members of a gang that resume from different checkpoints after a change of
    /// owner: all must carry the same one, and any member's is valid.
    a_gang_resumes_from_one_checkpoint_under_a_new_owner,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 1);
        let mut gang = step(3, 1000, 5000, vec![]);
        gang.gang = true;
        let saved = StepRecord {
            saved: vec![(0, "0002".into()), (2, "0007".into())],
            ..StepRecord::default()
        };
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&harness.rules),
            spec: Arc::new(job(vec![gang])),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: vec![OccurrenceRecord { steps: vec![saved] }],
            account: None,
            beyond_share: false,
        });
        let rules = Arc::clone(&harness.rules);
        harness.scheduler.load(JobKey::new(1), &record, &rules, harness.now);
        harness.report_from_all(1);
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 3);
        assert!(starts.iter().all(|order| order.checkpoint.as_deref() == Some("0007")));
        assert!(starts.iter().all(|order| order.run == starts[0].run));
    }
);

/// Time after the exclusion of earlier owners from which an executor in the life that they knew holds no
/// lease of theirs: 2 s for their evidence, 3.6 s of lease and 2% of it, 0.4 s for an order.
const PROVEN_WAIT_MS: u64 = 6072;
/// The same for an executor in a later life, which an order may have granted the longest lease, 6 s.
const UNPROVEN_WAIT_MS: u64 = 8520;

/// Loads a job of which one task may run on an executor that does not answer, and returns when it
/// starts, in milliseconds after the takeover.
fn time_until_started(prepare: impl Fn(&mut SchedulerHarness)) -> u64 {
    let mut harness = SchedulerHarness::new_without_reports(2, 1);
    harness.load_executor(7, Some(vec![task(1, 0, 0)]));
    harness.load_executor(8, Some(vec![]));
    harness.load_job(1, job(vec![step(1, 1000, 5000, vec![])]));
    prepare(&mut harness);
    harness.report(8, vec![], vec![]);
    let excluded_at = harness.now;
    harness.report_from_all(1);
    loop {
        harness.advance(10);
        harness.report(0, vec![], vec![]);
        if !harness.start_tasks().is_empty() {
            return harness.now.saturating_sub(excluded_at).get();
        }
    }
}

test_case!(
    /// Guards against a second run of a task on an executor that had just restarted when its earlier
    /// owner started the task there: the order, computed with the clock of the earlier life, granted
    /// the longest lease, and the next owner can't reach the executor.
    a_new_owner_waits_for_the_longest_lease_unless_the_life_is_proven,
    || {
        let list = |harness: &mut SchedulerHarness, life: u64| {
            let mut listed = entry(7, "r1-1");
            listed.life = ExecutorLife::new(life);
            harness.scheduler.upsert_executor(listed, harness.now);
        };
        let proven = time_until_started(|harness| list(harness, 1));
        assert!((PROVEN_WAIT_MS..PROVEN_WAIT_MS + 50).contains(&proven), "{proven}");
        let unproven = [
            time_until_started(|_| ()),
            time_until_started(|harness| list(harness, 2)),
            time_until_started(|harness| {
                list(harness, 1);
                harness.scheduler.record_deleted_entry(&id(7));
            }),
        ];
        let expected = UNPROVEN_WAIT_MS..UNPROVEN_WAIT_MS + 50;
        assert!(unproven.iter().all(|waited| expected.contains(waited)), "{unproven:?}");
    }
);

test_case!(
    /// Guards against the same where the earlier owner knew of the restart: the stored record says how
    /// long such leases may last.
    a_restart_is_stored_with_the_longest_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut restarted = entry(0, "r1-0");
        restarted.life = ExecutorLife::new(2);
        harness.scheduler.upsert_executor(restarted, harness.now);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("in use");
        let left = record.restart_lease_left.expect("a restart").get();
        assert!((6120..6200).contains(&left), "{left}");
        let mut next = SchedulerHarness::new_without_reports(2, 2);
        next.scheduler.load_executor(record, next.now);
        next.load_job(1, job(vec![step(1, 1000, 5000, vec![])]));
        next.scheduler.apply_earlier_owners_ended(next.now);
        let taken_at = next.now;
        while next.now.saturating_sub(taken_at) < Millis::new(left - 10) {
            next.report(1, vec![], vec![]);
            next.store_batch();
            assert!(next.start_tasks().is_empty(), "at {}", next.now);
            next.advance(10);
        }
    }
);

test_case!(
    /// Guards against a second run of a task that a new owner started on an executor which is cut off
    /// soon after: an earlier owner that did not know its life yet has granted it the longest lease.
    a_lease_of_an_earlier_owner_counts_on_an_executor_that_has_answered,
    || {
        let time_until_moved = |life: u64| {
            let mut harness = SchedulerHarness::new_without_reports(2, 0);
            harness.load_executor(0, None);
            let mut listed = entry(0, "r1-1");
            listed.life = ExecutorLife::new(life);
            harness.scheduler.upsert_executor(listed, harness.now);
            harness.advance(10);
            harness.report_life(0, ExecutorLife::new(life));
            harness.report_life(0, ExecutorLife::new(life));
            harness.confirm_ownership();
            harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
            harness.store_batch();
            assert_eq!(harness.start_tasks().len(), 1);
            harness.scheduler.upsert_executor(entry(1, "r1-0"), harness.now);
            let silent_since = harness.now;
            loop {
                harness.advance(10);
                harness.report(1, vec![], vec![]);
                harness.store_batch();
                if !harness.start_tasks().is_empty() {
                    return harness.now.saturating_sub(silent_since).get();
                }
            }
        };
        // 3.6 s and 6 s, on a clock that is 2% slow.
        let known = time_until_moved(1);
        assert!((3673..3720).contains(&known), "{known}");
        let unknown = time_until_moved(2);
        assert!((6122..6170).contains(&unknown), "{unknown}");
    }
);

test_case!(
    /// Guards against an executor that gets no lease while the store is slow: its record without the
    /// stored lease is in one batch only, so that the newest one is stored although batches overlap.
    a_stored_lease_is_withdrawn_once_while_batches_overlap,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        harness.advance(2500);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert!(batch.executors[0].1.as_ref().is_some_and(|record| record.lease_left.is_some()));
        harness.scheduler.finish_batch(batch);
        harness.report(0, vec![running(&order)], vec![]);
        harness.advance(100);
        let withdrawing = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert_eq!(withdrawing.executors.len(), 1);
        let mut later = Vec::new();
        for key in 2..6 {
            harness.report(0, vec![running(&order)], vec![]);
            harness.advance(100);
            harness.submit(key, job(vec![step(1, 1000, 60_000, vec![])]));
            let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
            assert!(batch.executors.is_empty(), "{batch:?}");
            later.push(batch);
        }
        harness.scheduler.finish_batch(withdrawing);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now);
        assert!(plan.expect("in use").lease_until.is_some(), "renewed again");
    }
);
