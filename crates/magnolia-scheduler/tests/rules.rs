//! Tests of the rules for starting and ending tasks, one rule each.

mod common;
mod harness;

use std::collections::BTreeSet;
use std::sync::Arc;

use common::test_case;
use harness::{CAPACITY, START_UNIX_MS, SchedulerHarness, entry, id, running, task};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{
    CellAction, EndKind, ExecutorStatus, JobKey, JobRecord, JobSpec, JobStatus, RecurrenceSpec,
    RenewalKind, RunEnd, RunningTask, ServiceName, StartAnswer, StartOrder, SubmitOutcome, TaskRef,
};
use magnolia_types::Millis;

test_case!(
    /// Guards against a task that starts before its job is stored or before the dependencies of its
    /// step have succeeded. A step must not wait until their success is stored either: that takes
    /// long while the store is slow or unavailable.
    a_step_starts_once_all_ends_before_it_are_listed,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(2, 1000, 100, vec![]), step(1, 1000, 100, vec![0])]));
        assert!(harness.start_tasks().is_empty(), "the job is not stored");
        harness.store_batch();
        let first = harness.start_tasks();
        assert_eq!(first.len(), 2);
        let end = harness.run_end(first[0].task, first[0].run, EndKind::Done);
        harness.report(0, vec![running(&first[1])], vec![end.clone()]);
        harness.store_batch();
        assert!(harness.start_tasks().is_empty(), "one task still runs");
        let failed = harness.run_end(first[1].task, first[1].run, EndKind::Failed);
        harness.report(0, vec![], vec![failed]);
        harness.store_batch();
        harness.advance(200);
        harness.report(0, vec![], vec![]);
        let again = harness.start_tasks();
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].task, first[1].task, "the failed task, not the next step");
        let end = harness.run_end(again[0].task, again[0].run, EndKind::Done);
        harness.report(0, vec![], vec![end]);
        let next = harness.start_tasks();
        assert_eq!(next.len(), 1, "without a call to the store");
        assert_eq!(next[0].task.step.step, 1);
    }
);

test_case!(
    /// Guards against acknowledging an end before it is stored: executors drop acknowledged ends,
    /// so that a crash of the owner in between would lose it.
    ends_are_acknowledged_after_they_are_stored,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let end = harness.run_end(order.task, order.run, EndKind::Done);
        harness.report(0, vec![], vec![end]);
        let acked = |harness: &mut SchedulerHarness| {
            let plan = harness.scheduler.plan_executor_renewal(&id(0), RenewalKind::Full, harness.now);
            plan.expect("in use").1.ends_stored
        };
        assert_eq!(acked(&mut harness), 0);
        harness.store_batch();
        assert_eq!(acked(&mut harness), 1);
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against an acknowledgement that a restarted executor takes for its own ends, which it
    /// would drop before any report has listed them.
    nothing_is_acknowledged_where_no_end_is_listed,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let end = harness.run_end(order.task, order.run, EndKind::Done);
        harness.report(0, vec![], vec![end]);
        harness.store_batch();
        harness.report(0, vec![], vec![]);
        let plan = harness.scheduler.plan_executor_renewal(&id(0), RenewalKind::Full, harness.now);
        assert_eq!(plan.expect("in use").1.ends_stored, 0);
    }
);

test_case!(
    /// Guards against an acknowledgement that a later life of the executor takes for its own ends.
    an_unanswered_acknowledgement_is_sent_again_after_a_report_only,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let end = harness.run_end(order.task, order.run, EndKind::Done);
        let acknowledged = |harness: &mut SchedulerHarness| {
            let now = harness.now;
            let plan = harness.scheduler.plan_executor_renewal(&id(0), RenewalKind::Full, now);
            plan.expect("in use").1.ends_stored
        };
        harness.report(0, vec![], vec![end.clone()]);
        harness.store_batch();
        assert_eq!(acknowledged(&mut harness), end.number);
        harness.scheduler.apply_unreachable(&id(0));
        assert_eq!(acknowledged(&mut harness), 0);
        let number = end.number;
        harness.report(0, vec![], vec![end]);
        assert_eq!(acknowledged(&mut harness), number);
    }
);

test_case!(
    /// Guards against a lease that never expires because unanswered renewals extend it.
    an_unresponsive_executor_loses_its_runs_at_the_end_of_its_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, job(vec![step(1, 1000, 9000, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let unresponsive = usize::from(order.executor == id(1));
        let other = 1 - unresponsive;
        let mut moved_after = None;
        for step in 1..=40u64 {
            harness.advance(200);
            harness.report(other, vec![], vec![]);
            // The lease renewal is sent, but gets no answer.
            harness.scheduler.plan_executor_renewal(&id(unresponsive), RenewalKind::Full, harness.now);
            let starts = harness.start_tasks();
            if !starts.is_empty() {
                assert_eq!(starts[0].executor, id(other));
                assert!(starts[0].run > order.run);
                moved_after = Some(step * 200);
                break;
            }
        }
        let moved_after = moved_after.expect("the task moves");
        assert!((3600..=6000).contains(&moved_after), "after {moved_after} ms");
    }
);

test_case!(
    /// Guards against restarting a task while its unanswered start order may still be executed.
    an_unanswered_start_moves_only_after_its_stop_is_confirmed,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        // Starts without a ticket are not withdrawn; see `unanswered_starts.rs`.
        harness.require_eligibility();
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let order = harness.plan_as_eligible().remove(0);
        harness
            .scheduler
            .apply_start(&order, StartAnswer::Unknown, harness.now);
        harness.advance(200);
        harness.report(0, vec![], vec![]);
        assert!(harness.start_tasks().is_empty(), "the run may still begin");
        harness.advance(500);
        harness.scheduler.plan(harness.now);
        let stops = harness.scheduler.take_actions();
        let Some(CellAction::Stop(stop)) = stops.into_iter().next_back() else {
            panic!("no stop was ordered for the start");
        };
        harness.scheduler.apply_stop(&stop, true);
        harness.advance(50);
        harness.report(0, vec![], vec![]);
        let again = harness.start_tasks();
        assert_eq!(again.len(), 1);
        assert!(again[0].run > order.run);
    }
);

test_case!(
    /// Guards against starting only some members of a gang.
    a_gang_starts_whole_or_not_at_all,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        // Three tasks fit on each executor beside the urgent reserve.
        let mut gang = step(7, 2000, 1000, vec![]);
        gang.gang = true;
        harness.submit(1, job(vec![gang.clone()]));
        harness.store_batch();
        assert!(harness.start_tasks().is_empty(), "7 tasks where 6 fit");
        gang.tasks = 6;
        harness.submit(2, job(vec![gang]));
        harness.store_batch();
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 6);
        assert!(starts.iter().all(|order| order.run == starts[0].run));
        let lost = &starts[0];
        let end = harness.run_end(lost.task, lost.run, EndKind::Broken);
        let number = usize::from(lost.executor == id(1));
        let rest: Vec<RunningTask> = starts[1..]
            .iter()
            .filter(|order| order.executor == lost.executor)
            .map(running)
            .collect();
        harness.advance(10);
        harness.report(number, rest, vec![end]);
        harness.store_batch();
        assert!(harness.start_tasks().is_empty(), "other members still run");
    }
);

test_case!(
    /// Guards against members of a gang that wait for one that could not be started, until their
    /// executors give them up.
    members_of_a_gang_are_stopped_when_one_is_not_started,
    || {
        for answer in [StartAnswer::NoRoom, StartAnswer::Unhealthy, StartAnswer::Unknown] {
            let mut harness = SchedulerHarness::new(1, 2);
            // Starts without a ticket are repeated first; see `unanswered_starts.rs`.
            harness.require_eligibility();
            let mut gang = step(6, 2000, 1000, vec![]);
            gang.gang = true;
            harness.submit(1, job(vec![gang]));
            harness.store_batch();
            let orders = harness.plan_as_eligible();
            let mut lost = None;
            for order in orders {
                let taken = if lost.is_none() { answer } else { StartAnswer::Started };
                harness.scheduler.apply_start(&order, taken, harness.now);
                lost.get_or_insert(order.task);
            }
            harness.advance(10);
            let stopped: BTreeSet<TaskRef> = harness
                .scheduler
                .take_actions()
                .into_iter()
                .filter_map(|action| match action {
                    CellAction::Stop(order) => Some(order.task),
                    _ => None,
                })
                .collect();
            let others = (0..6).map(|index| task(1, 0, index));
            let others = others.filter(|task| Some(*task) != lost);
            assert!(others.into_iter().all(|task| stopped.contains(&task)), "{answer:?}: {stopped:?}");
        }
    }
);

test_case!(
    /// Guards against exceeding a step's limit of tasks on one executor, and against starting a
    /// task on an executor without the label that it needs.
    limits_of_a_step_hold,
    || {
        let mut harness = SchedulerHarness::new(1, 3);
        let mut spread = step(6, 100, 1000, vec![]);
        spread.spread_limit = Some(1);
        harness.submit(1, job(vec![spread]));
        let mut labelled = step(1, 100, 1000, vec![]);
        labelled.label = Some("gpu".into());
        harness.submit(2, job(vec![labelled]));
        harness.store_batch();
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 3);
        let mut places: Vec<_> = starts.iter().map(|order| order.executor.clone()).collect();
        places.sort();
        places.dedup();
        assert_eq!(places.len(), 3);
    }
);

test_case!(
    /// Guards against retrying a task beyond the attempts of its queue, and against counting a
    /// failure twice when an executor reports it again, as it does to a new owner.
    attempts_are_counted_once_each,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        for attempt in 1..=4 {
            let order = harness.start_tasks().remove(0);
            let end = harness.run_end(order.task, order.run, EndKind::Failed);
            harness.report(0, vec![], vec![end.clone()]);
            harness.report(0, vec![], vec![end]);
            harness.store_batch();
            harness.advance(1500);
            harness.report(0, vec![], vec![]);
            let status = harness.scheduler.status(JobKey::new(1));
            let wanted = if attempt < 4 { JobStatus::Running } else { JobStatus::Failed };
            assert_eq!(status, Some(wanted), "after attempt {attempt}");
        }
        assert!(harness.start_tasks().is_empty());
    }
);

test_case!(
    /// Guards against a cancelled job that starts further tasks or keeps running.
    a_cancelled_job_stops,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(2, 5000, 100, vec![])]));
        harness.store_batch();
        assert_eq!(harness.start_tasks().len(), 1);
        assert_eq!(harness.scheduler.cancel(JobKey::new(1), harness.now), Some(false));
        let stops = harness.scheduler.take_actions();
        assert!(matches!(stops.as_slice(), [CellAction::Stop(_)]), "{stops:?}");
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        assert_eq!(harness.scheduler.cancel(JobKey::new(1), harness.now), Some(true));
        assert_eq!(harness.scheduler.cancel(JobKey::new(9), harness.now), None);
    }
);

test_case!(
    /// Guards against running a withdrawn submission, and against withdrawing one that a batch
    /// contains.
    only_submissions_that_were_never_sent_are_withdrawn,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        assert!(harness.scheduler.withdraw(JobKey::new(1)));
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        harness.submit(2, job(vec![step(1, 1000, 100, vec![])]));
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert!(!harness.scheduler.withdraw(JobKey::new(2)));
        harness.scheduler.finish_batch(batch);
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against an explanation that does not say what a job waits for.
    a_waiting_job_is_explained,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let explain = |harness: &SchedulerHarness, key: u64| {
            let unix_ms = START_UNIX_MS + harness.now.get();
            harness.scheduler.explain(JobKey::new(key), harness.now, unix_ms)
        };
        assert_eq!(explain(&harness, 9), None);
        // Only one task fits on the executor.
        let both = vec![step(2, CAPACITY * 3 / 4, 60_000, vec![]), step(1, 1000, 100, vec![0])];
        harness.submit(1, job(both));
        let unstored = explain(&harness, 1).expect("a known job").join("\n");
        assert!(unstored.contains("not stored yet"), "{unstored}");
        harness.store_batch();
        assert_eq!(harness.start_tasks().len(), 1);
        let lines = explain(&harness, 1).expect("a known job");
        assert!(lines[0].contains("Running"), "{lines:?}");
        assert!(lines[1].contains("2 tasks: 0 done, 1 running, 1 waiting"), "{lines:?}");
        assert!(lines[2].contains("executors that suit: 1; with room: 0"), "{lines:?}");
        assert!(lines[3].contains("an earlier step is not done"), "{lines:?}");
        harness.scheduler.cancel(JobKey::new(1), harness.now);
        harness.store_batch();
        let ended = explain(&harness, 1).expect("a known job");
        assert!(ended[0].contains("Cancelled"), "{ended:?}");
    }
);

test_case!(
    /// Guards against short tasks that are late because their executor hangs: a run without
    /// progress in its first report is moved to another executor, one with progress is not.
    a_run_that_does_not_begin_is_moved,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, job(vec![step(2, 6000, 800, vec![])]));
        harness.store_batch();
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 2, "one on each executor");
        let mut stops = Vec::new();
        for _ in 0..5 {
            harness.advance(100);
            stops.extend(harness.scheduler.take_actions());
        }
        assert!(stops.is_empty(), "nothing was reported yet: {stops:?}");
        for (order, percent) in starts.iter().zip([0, 60]) {
            let number = (0..2).find(|number| id(*number) == order.executor).expect("known");
            let mut reported = running(order);
            reported.percent = percent;
            harness.report(number, vec![reported], vec![]);
        }
        harness.advance(10);
        let actions = harness.scheduler.take_actions();
        let [CellAction::Stop(stop)] = actions.as_slice() else {
            panic!("one stop: {actions:?}");
        };
        assert_eq!((stop.task, stop.run), (starts[0].task, starts[0].run));
    }
);

test_case!(
    /// Guards against jobs that are refused because another service, with executors of its own, is
    /// full of lasting tasks and waiting work.
    work_of_another_service_refuses_no_job,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let mut other = (*harness.rules).clone();
        other.service = ServiceName::new("other").expect("valid name");
        let other = Arc::new(other);
        for number in 2..200 {
            let mut entry = entry(number, "r1-0");
            entry.service = other.service.clone();
            harness.scheduler.upsert_executor(entry, harness.now);
        }
        let mut lasting = step(100, CAPACITY, 100, vec![]);
        lasting.lasting = true;
        let jobs = [job(vec![lasting]), job(vec![step(40, CAPACITY, 9000, vec![])])];
        let unix_ms = START_UNIX_MS + harness.now.get();
        for (key, spec) in (10..).zip(jobs) {
            let (key, spec) = (JobKey::new(key), Arc::new(spec));
            let outcome = harness.scheduler.submit(key, &other, &spec, harness.now, unix_ms);
            assert_eq!(outcome, SubmitOutcome::Accepted);
        }
        // The second job waits for the work of the smaller one before it.
        harness.submit(1, job(vec![step(4, 1000, 100, vec![])]));
        harness.submit(2, job(vec![step(8, CAPACITY, 100, vec![])]));
    }
);

test_case!(
    /// Guards against a run that is started again because it has ended beyond the end of the list of
    /// ends, which an executor limits while nothing is acknowledged.
    a_run_missing_in_a_cut_list_of_ends_is_not_started_again,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(2, 1000, 500, vec![])]));
        harness.store_batch();
        let starts = harness.start_tasks();
        harness.advance(100);
        harness.report(0, starts.iter().map(running).collect(), vec![]);
        harness.advance(100);
        let ends: Vec<RunEnd> = starts
            .iter()
            .map(|order| harness.run_end(order.task, order.run, EndKind::Done))
            .collect();
        // Both have ended, but the list has room for the first end only.
        harness.report_ends(0, vec![], vec![ends[0].clone()], false);
        harness.advance(200);
        assert!(harness.start_tasks().is_empty(), "the second one has ended too");
        harness.store_batch();
        harness.report(0, vec![], vec![ends[1].clone()]);
        harness.store_batch();
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against runs of such an executor that are lost for good once it is gone.
    a_run_missing_in_a_cut_list_starts_again_after_the_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, job(vec![step(1, 1000, 500, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let lost = usize::from(order.executor == id(1));
        harness.advance(100);
        harness.report(lost, vec![running(&order)], vec![]);
        harness.advance(100);
        harness.report_ends(lost, vec![], vec![], false);
        let again = (0..40).find_map(|_| {
            harness.advance(200);
            harness.report(1 - lost, vec![], vec![]);
            harness.start_tasks().pop()
        });
        let again = again.expect("the task starts again");
        assert_eq!(again.executor, id(1 - lost));
        assert!(harness.now > order.lease_until, "at {}", harness.now);
    }
);

/// Returns a long-running job of `tasks` tasks.
fn lasting_job(tasks: u32) -> JobSpec {
    let mut lasting = step(tasks, 1000, 500, vec![]);
    lasting.lasting = true;
    job(vec![lasting])
}

test_case!(
    /// Guards against a long-running task that stays away after its program has ended with success,
    /// and against a job that counts as completed though nobody has cancelled it.
    a_long_running_task_that_ends_with_success_starts_again,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, lasting_job(2));
        harness.store_batch();
        for _ in 0..5 {
            harness.advance(200);
            harness.report(0, vec![], vec![]);
            let starts = harness.start_tasks();
            assert_eq!(starts.len(), 2);
            let ends = starts
                .iter()
                .map(|order| harness.run_end(order.task, order.run, EndKind::Done))
                .collect();
            harness.report(0, vec![], ends);
            harness.store_batch();
            assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Running));
        }
    }
);

/// Reports that an executor is draining.
fn drain(harness: &mut SchedulerHarness, number: usize) {
    let mut draining = entry(number, "r1-0");
    draining.status = ExecutorStatus::Draining;
    harness.scheduler.upsert_executor(draining, harness.now);
}

test_case!(
    /// Guards against long-running tasks that stay on an executor until it leaves, and are then away
    /// until its lease has expired, or longer if the owner changes meanwhile.
    long_running_tasks_move_off_a_draining_executor,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, lasting_job(1));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let leaving = usize::from(order.executor == id(1));
        harness.report(leaving, vec![running(&order)], vec![]);
        drain(&mut harness, leaving);
        harness.advance(100);
        let stops = harness.stops();
        assert_eq!(stops.len(), 1);
        assert_eq!((stops[0].task, stops[0].run), (order.task, order.run));
        let end = harness.run_end(order.task, order.run, EndKind::Stopped);
        harness.report(leaving, vec![], vec![end]);
        let again = harness.start_tasks();
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].executor, id(1 - leaving));
    }
);

test_case!(
    /// Guards against a long-running task that is stopped early although nothing else can run it.
    long_running_tasks_stay_while_there_is_no_other_executor,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, lasting_job(1));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        harness.report(0, vec![running(&order)], vec![]);
        drain(&mut harness, 0);
        harness.advance(100);
        assert_eq!(harness.stops(), vec![]);
    }
);

test_case!(
    /// Guards against an occurrence that runs twice or not at all when the wall clock jumps.
    each_occurrence_runs_once_while_the_wall_clock_jumps,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut spec = job(vec![step(1, 1000, 100, vec![])]);
        let start_unix_ms = START_UNIX_MS + harness.now.get();
        spec.recurrence = Some(RecurrenceSpec {
            count: 5,
            start_unix_ms,
            interval: Millis::new(1000),
        });
        harness.submit(1, spec);
        harness.store_batch();
        let mut occurrences = Vec::new();
        let jumps = [0, 2000, 2000, -4000, -4000, 0].into_iter().cycle();
        for jump in jumps.take(80) {
            harness.now = harness.now.saturating_add(Millis::new(100));
            let unix_ms = (START_UNIX_MS + harness.now.get()).saturating_add_signed(jump);
            harness.scheduler.tick(harness.now, unix_ms);
            let starts = harness.start_tasks();
            let ends = starts
                .iter()
                .map(|order| harness.run_end(order.task, order.run, EndKind::Done))
                .collect();
            harness.report(0, vec![], ends);
            harness.store_batch();
            occurrences.extend(starts.iter().map(|order| order.task.step.occurrence));
        }
        assert_eq!(occurrences, [0, 1, 2, 3, 4]);
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against members of a gang that wait for one whose executor knows a higher epoch.
    a_gang_stops_when_a_member_meets_a_higher_epoch,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let mut gang = step(2, CAPACITY / 2 + 1000, 5000, vec![]);
        gang.gang = true;
        harness.submit(1, job(vec![gang]));
        harness.store_batch();
        harness.scheduler.plan(harness.now);
        let starts: Vec<StartOrder> = harness
            .scheduler
            .take_actions()
            .into_iter()
            .filter_map(|action| match action {
                CellAction::Start(order) => Some(order),
                _ => None,
            })
            .collect();
        assert_eq!(starts.len(), 2);
        harness.scheduler.apply_start(&starts[0], StartAnswer::Started, harness.now);
        harness.scheduler.apply_start(&starts[1], StartAnswer::Fenced, harness.now);
        let stops = harness.stops();
        assert_eq!(stops.len(), 1);
        assert_eq!(stops[0].task, starts[0].task);
    }
);

test_case!(
    /// Guards against a job that starts without being stored, because the batch that deletes the
    /// record of an earlier job with its key is taken for its own.
    a_job_submitted_again_while_its_key_is_deleted_is_not_stored_yet,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let key = JobKey::new(1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.scheduler.cancel(key, harness.now);
        harness.store_batch();
        assert_eq!(harness.scheduler.status(key), Some(JobStatus::Cancelled));
        harness.scheduler.forget_ended(START_UNIX_MS + 1_000_000_000);
        let unix_ms = START_UNIX_MS + harness.now.get();
        let deletion = harness.scheduler.begin_batch(harness.now, unix_ms);
        assert_eq!(deletion.records, vec![(key, None)]);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.scheduler.finish_batch(deletion);
        assert_eq!(harness.scheduler.status(key), None);
        assert!(harness.start_tasks().is_empty());
        harness.store_batch();
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

/// Starts a task that saves its progress, lets it report a checkpoint and then end with a later one;
/// returns its task, after its end is reported.
fn stop_with_later_checkpoint(harness: &mut SchedulerHarness) -> TaskRef {
    harness.submit(1, job(vec![step(1, 1000, 5000, vec![])]));
    harness.store_batch();
    let starts = harness.start_tasks();
    let mut reported = running(&starts[0]);
    reported.checkpoint = Some("0002".into());
    harness.report(0, vec![reported], vec![]);
    harness.store_batch();
    let mut end = harness.run_end(starts[0].task, starts[0].run, EndKind::Broken);
    end.checkpoint = Some("0007".into());
    harness.report(0, vec![], vec![end]);
    starts[0].task
}

test_case!(
    /// Guards the last checkpoint of a run: it comes with the end, after those that were reported
    /// while it was running.
    a_task_resumes_from_the_checkpoint_of_the_end,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        stop_with_later_checkpoint(&mut harness);
        harness.store_batch();
        harness.advance(1000);
        harness.report(0, vec![], vec![]);
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 1);
        assert_eq!(starts[0].checkpoint.as_deref(), Some("0007"));
    }
);

test_case!(
    /// Guards against a checkpoint that nobody knows after a change of owner: the executor forgets it
    /// once the end is stored.
    a_checkpoint_is_stored_with_the_end,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let task = stop_with_later_checkpoint(&mut harness);
        let unix_ms = START_UNIX_MS + harness.now.get();
        let batch = harness.scheduler.begin_batch(harness.now, unix_ms);
        let stored = batch.records.iter().find(|(key, _)| *key == task.step.job);
        let Some((_, Some(JobRecord::Live(record)))) = stored else {
            panic!("no record of the job: {batch:?}");
        };
        let saved = &record.occurrences[0].steps[0].saved;
        assert_eq!(saved.len(), 1, "the checkpoint of the only task");
    }
);

test_case!(
    /// Guards against a count of waiting jobs that leaves out jobs whose starts were rejected: they have
    /// not begun.
    a_job_waits_until_an_executor_has_begun_a_task,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        // Its start is repeated at once if it gets no answer.
        let mut copied = step(1, 1000, 100, vec![]);
        copied.copies_allowed = true;
        harness.submit(1, job(vec![copied]));
        harness.store_batch();
        let queue = harness.rules.name.clone();
        for answer in [StartAnswer::Unhealthy, StartAnswer::NoRoom, StartAnswer::Unknown] {
            harness.advance(5000);
            harness.report(0, vec![], vec![]);
            let order = harness.take_starts().remove(0);
            harness.scheduler.apply_start(&order, answer, harness.now);
            assert_eq!(harness.scheduler.pending(&queue), 1, "{answer:?}");
            assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Queued));
        }
        harness.advance(200);
        harness.report(0, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 1);
        assert_eq!(harness.scheduler.pending(&queue), 0);
    }
);
