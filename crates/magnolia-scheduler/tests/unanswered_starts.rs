//! Tests of starts without an answer, which a later life of their executor may still carry out.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{CAPACITY, START_UNIX_MS, SchedulerHarness, TICKET_TIME, entry, id, running};
use magnolia_bench::load_simulation::{job, queue, step};
use magnolia_scheduler::{
    EndKind, ExecutorLife, ExecutorReport, FenceToken, JobStatus, RenewalKind, RunEnd, RunningTask,
    StartAnswer, StartOrder, StepSpec, StopOrder, TaskRef,
};
use magnolia_types::{Epoch, Millis};

/// Longest time after which an unanswered start may be carried out.
const LATE_LIMIT_MS: u64 = 12_000;
/// Longest lease, on a clock that is 2% slow.
const LONGEST_LEASE_MS: u64 = 6_123;

/// Plans the start of one long task and loses its answer; returns the start and the number of its
/// executor.
fn lose_start(harness: &mut SchedulerHarness) -> (StartOrder, usize) {
    lose_start_of(harness, step(1, 1000, 9000, vec![]))
}

/// As [`lose_start`], for a task that takes less time than the start may take to arrive.
fn lose_short_start(harness: &mut SchedulerHarness) -> (StartOrder, usize) {
    lose_start_of(harness, step(1, 1000, 900, vec![]))
}

/// As [`lose_start`], for a task of which copies may run, so that its start may be repeated.
fn lose_repeatable_start(harness: &mut SchedulerHarness) -> (StartOrder, usize) {
    let mut copied = step(1, 1000, 9000, vec![]);
    copied.copies_allowed = true;
    lose_start_of(harness, copied)
}

fn lose_start_of(harness: &mut SchedulerHarness, step: StepSpec) -> (StartOrder, usize) {
    harness.submit(1, job(vec![step]));
    harness.store_batch();
    let order = harness.take_starts().remove(0);
    harness.advance(400);
    harness
        .scheduler
        .apply_start(&order, StartAnswer::Unknown, harness.now);
    let executor = usize::from(order.executor == id(1));
    (order, executor)
}

/// Lets an executor answer in a later life, by a call that was sent now.
fn report_life(harness: &mut SchedulerHarness, number: usize, running: Vec<RunningTask>) {
    let report = ExecutorReport {
        life: ExecutorLife::new(2),
        clock: Millis::new(1),
        running,
        ends: vec![],
        ends_complete: true,
    };
    harness
        .scheduler
        .apply_report(&id(number), report, harness.now, harness.now);
}

/// Checks that a task starts nowhere for `ms` milliseconds while only the other executor answers, and
/// starts there afterwards.
fn check_wait(harness: &mut SchedulerHarness, silent: usize, ms: u64) {
    let end = harness.now.saturating_add(Millis::new(ms));
    while harness.now.saturating_add(Millis::new(200)) < end {
        harness.advance(200);
        harness.report(1 - silent, vec![], vec![]);
        assert!(harness.start_tasks().is_empty(), "at {}", harness.now);
    }
    harness.advance(600);
    harness.report(1 - silent, vec![], vec![]);
    let starts = harness.start_tasks();
    assert_eq!(starts.len(), 1, "at {}", harness.now);
    assert_eq!(starts[0].executor, id(1 - silent));
}

test_case!(
    /// Guards against a second run of a task whose start is carried out by the next life of its
    /// executor, which knows nothing of a stop: the same start is repeated at the same executor, if the
    /// run may begin again.
    an_unanswered_start_is_repeated_in_place_of_a_second_run,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_repeatable_start(&mut harness);
        for _ in 0..20 {
            harness.advance(200);
            (0..2).for_each(|number| harness.report(number, vec![], vec![]));
            let starts = harness.start_tasks();
            assert!(harness.stops().is_empty(), "a stop binds this life only");
            let repeats = |again: &StartOrder| {
                (&again.executor, again.task, again.run) == (&order.executor, order.task, order.run)
            };
            assert!(starts.iter().all(repeats), "{starts:?}");
            if let Some(again) = starts.first() {
                assert!(again.lease_until > order.lease_until);
                harness.report(executor, vec![running(&order)], vec![]);
                return;
            }
        }
        panic!("the start is never repeated");
    }
);

test_case!(
    /// Guards against a second start after the run is done, by the first of two copies of its start.
    an_unanswered_start_is_not_sent_again_while_it_may_arrive,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_short_start(&mut harness);
        let lost_at = harness.now;
        let mut again = Vec::new();
        while harness.now.saturating_sub(lost_at) < Millis::new(LATE_LIMIT_MS + 1500) {
            harness.advance(200);
            let stops: Vec<StopOrder> = harness.stops();
            stops.iter().for_each(|stop| harness.scheduler.apply_stop(stop, true));
            // A later life is no reason to send it again either.
            if harness.now.saturating_sub(lost_at) < Millis::new(LATE_LIMIT_MS / 2) {
                (0..2).for_each(|number| harness.report(number, vec![], vec![]));
            } else {
                harness.report(1 - executor, vec![], vec![]);
                report_life(&mut harness, executor, vec![]);
            }
            again = harness.start_tasks();
            if !again.is_empty() {
                break;
            }
        }
        let waited = harness.now.saturating_sub(lost_at);
        assert_eq!(again.len(), 1, "the task is back after {waited}");
        assert!(waited >= Millis::new(LATE_LIMIT_MS), "{waited}");
        assert!(again[0].run > order.run, "{again:?}");
    }
);

test_case!(
    /// Guards against the same where the start of a long run was repeated.
    the_end_of_a_repeated_run_is_withheld_while_the_first_start_may_arrive,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_start(&mut harness);
        let lost_at = harness.now;
        harness.advance(200);
        harness.report(executor, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 1, "the start is repeated");
        let end = harness.run_end(order.task, order.run, EndKind::Done);
        let state = |harness: &mut SchedulerHarness| {
            harness.report(executor, vec![], vec![end.clone()]);
            harness.store_batch();
            let now = harness.now;
            let plan = harness.scheduler.plan_renewal(&id(executor), RenewalKind::Full, now);
            let status = harness.scheduler.status(order.task.step.job);
            (plan.expect("in use").ends_stored, status)
        };
        while harness.now.saturating_sub(lost_at) < Millis::new(LATE_LIMIT_MS) {
            assert_eq!(state(&mut harness), (0, Some(JobStatus::Running)), "at {}", harness.now);
            assert!(harness.scheduler.withholds_ends(&id(executor)));
            assert!(harness.start_tasks().is_empty());
            harness.advance(200);
        }
        assert_eq!(state(&mut harness), (end.number, Some(JobStatus::Completed)));
        assert!(!harness.scheduler.withholds_ends(&id(executor)));
    }
);

test_case!(
    /// Guards against a successor that starts, or a limit on attempts that counts, by a withheld end.
    nothing_follows_from_a_withheld_end,
    || {
        for kind in [EndKind::Done, EndKind::Failed] {
            let mut harness = SchedulerHarness::new(1, 2);
            let first = step(1, 1000, 9000, vec![]);
            harness.submit(1, job(vec![first, step(1, 1000, 900, vec![0])]));
            harness.store_batch();
            let order = harness.take_starts().remove(0);
            harness.scheduler.apply_start(&order, StartAnswer::Unknown, harness.now);
            let executor = usize::from(order.executor == id(1));
            harness.advance(200);
            harness.report(executor, vec![], vec![]);
            assert_eq!(harness.start_tasks().len(), 1, "the start is repeated");
            let end = harness.run_end(order.task, order.run, kind);
            for _ in 0..50 {
                harness.advance(200);
                harness.report(executor, vec![], vec![end.clone()]);
                harness.report(1 - executor, vec![], vec![]);
                harness.store_batch();
                assert!(harness.start_tasks().is_empty(), "{kind:?} at {}", harness.now);
            }
        }
    }
);

test_case!(
    /// Guards against a next owner that acknowledges the end of a run whose start may have been repeated.
    the_next_owner_withholds_the_end_of_a_long_run,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_start(&mut harness);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let mut records = batch.executors.iter().filter_map(|(_, record)| record.as_ref());
        let record = records.find(|record| record.entry.id == order.executor);
        let mut next = SchedulerHarness::new_without_reports(2, 0);
        next.scheduler.load_executor(record.expect("a record").clone(), next.now);
        (0..2).for_each(|number| next.scheduler.upsert_executor(entry(number, "r1-0"), next.now));
        next.load_job(1, job(vec![step(1, 1000, 9000, vec![])]));
        let end = next.run_end(order.task, order.run, EndKind::Done);
        next.report(executor, vec![], vec![end.clone()]);
        assert!(next.scheduler.withholds_ends(&id(executor)));
        next.advance(LATE_LIMIT_MS);
        next.report(executor, vec![], vec![end]);
        next.store_batch();
        let status = next.scheduler.status(order.task.step.job);
        assert_eq!(status, Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against a task that counts as lost although its start has been carried out late.
    a_run_that_begins_late_is_the_run_of_its_task,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_short_start(&mut harness);
        harness.advance(2500);
        harness.report(1 - executor, vec![], vec![]);
        harness.report(executor, vec![running(&order)], vec![]);
        let end = RunEnd {
            number: 1,
            task: order.task,
            run: order.run,
            kind: EndKind::Done,
            checkpoint: None,
        };
        harness.advance(200);
        harness.report(executor, vec![], vec![end]);
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        let status = harness.scheduler.status(order.task.step.job);
        assert_eq!(status, Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against an urgent task that waits for the room of a stopped run that can't leave it yet.
    urgent_tasks_do_not_wait_for_runs_that_may_arrive_late,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, CAPACITY / 2, 60_000, vec![])]));
        harness.store_batch();
        let running_batch = harness.start_tasks().remove(0);
        harness.submit(2, job(vec![step(1, CAPACITY / 4, 60_000, vec![])]));
        harness.store_batch();
        let lost = harness.take_starts().remove(0);
        harness.scheduler.apply_start(&lost, StartAnswer::Unknown, harness.now);
        harness.scheduler.cancel(lost.task.step.job, harness.now);
        harness.advance(100);
        harness.report(0, vec![running(&running_batch)], vec![]);
        harness.rules = Arc::new(queue("urgent", 0, 5, 100));
        harness.scheduler.set_eligibility_daemons(&(0..2).collect());
        harness.submit(3, job(vec![step(1, CAPACITY / 2, 500, vec![])]));
        harness.store_batch();
        assert!(harness.plan_as_eligible().is_empty(), "there is no room yet");
        harness.advance(500);
        let stopped: Vec<TaskRef> = harness.stops().iter().map(|stop| stop.task).collect();
        assert!(stopped.contains(&running_batch.task), "{stopped:?}");
    }
);

test_case!(
    /// Guards against a second run beside one that a later life begins by the first of two starts:
    /// the run was listed, but the executor crashed while its first start could still arrive.
    a_repeated_run_stays_with_its_executor_after_a_crash,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_repeatable_start(&mut harness);
        harness.advance(200);
        harness.report(executor, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 1, "the start is repeated");
        harness.advance(200);
        harness.report(executor, vec![running(&order)], vec![]);
        // The answer to a call that was sent before shows the next life.
        report_life(&mut harness, executor, vec![]);
        harness.confirm_ownership();
        assert!(harness.start_tasks().is_empty(), "the first start may still arrive");
        harness.advance(200);
        report_life(&mut harness, executor, vec![running(&order)]);
        harness.advance(200);
        harness.report(1 - executor, vec![], vec![]);
        assert!(harness.start_tasks().is_empty(), "the next life runs it");
    }
);

test_case!(
    /// Guards against a second run of a task that a later life, of which nothing was heard, began at
    /// the last moment: it holds the longest lease.
    an_unanswered_start_of_a_silent_executor_binds_its_task,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (_, executor) = lose_start(&mut harness);
        check_wait(&mut harness, executor, LATE_LIMIT_MS + LONGEST_LEASE_MS);
    }
);

test_case!(
    /// Guards against tasks that stay away although their ticket is valid for one life of the
    /// executor only: once it has confirmed a stop, they start elsewhere.
    a_start_with_a_ticket_is_withdrawn_by_a_stop,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.require_eligibility();
        harness.submit(1, job(vec![step(1, 1000, 9000, vec![])]));
        harness.store_batch();
        let order = harness.plan_as_eligible().remove(0);
        assert!(order.ticket.is_some());
        harness.scheduler.apply_start(&order, StartAnswer::Unknown, harness.now);
        let mut moved = Vec::new();
        for _ in 0..10 {
            harness.advance(200);
            let stops: Vec<StopOrder> = harness.stops();
            stops.iter().for_each(|stop| harness.scheduler.apply_stop(stop, true));
            harness.advance(10);
            (0..2).for_each(|number| harness.report(number, vec![], vec![]));
            moved.append(&mut harness.start_tasks());
            if !moved.is_empty() {
                break;
            }
        }
        assert_eq!(moved.len(), 1, "{moved:?}");
        assert!(moved[0].run > order.run);
    }
);

test_case!(
    /// Guards against a second run under the next owner: the task of an unanswered start is stored.
    the_next_owner_waits_for_an_unanswered_start,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, _) = lose_start(&mut harness);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let mut records = batch.executors.iter().filter_map(|(_, record)| record.as_ref());
        let record = records.find(|record| record.entry.id == order.executor);
        let record = record.expect("a record of the executor").clone();
        let tasks: Vec<TaskRef> = record.late_starts.iter().map(|(task, _)| *task).collect();
        assert_eq!(tasks, [order.task]);
        let mut next = SchedulerHarness::new_without_reports(2, 0);
        next.scheduler.load_executor(record, next.now);
        (0..2).for_each(|number| next.scheduler.upsert_executor(entry(number, "r1-0"), next.now));
        next.load_job(1, job(vec![step(2, 1000, 9000, vec![])]));
        next.report_from_all(2);
        next.advance(1);
        let started: Vec<TaskRef> = next.start_tasks().iter().map(|start| start.task).collect();
        assert_eq!(started.len(), 1, "{started:?}");
        assert!(!started.contains(&order.task));
        next.advance(LATE_LIMIT_MS);
        next.report_from_all(2);
        next.advance(1);
        let started: Vec<TaskRef> = next.start_tasks().iter().map(|start| start.task).collect();
        assert!(started.contains(&order.task), "{started:?}");
    }
);

test_case!(
    /// Guards against an owner that gives an executor up because a call that was meant for an earlier
    /// life of it is rejected by the present one.
    a_rejected_call_for_an_earlier_life_shows_no_later_owner,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let before = FenceToken::new_in(Epoch::new(1), 0);
        report_life(&mut harness, 0, vec![]);
        harness.scheduler.apply_fence(&id(0), before, harness.now);
        assert!(!harness.scheduler.has_unexplained_fence());
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now);
        let plan = plan.expect("listed");
        assert!(plan.token > before && plan.token < FenceToken::new_in(Epoch::new(2), 0));
        harness.scheduler.apply_fence(&id(0), plan.token, harness.now);
        assert!(harness.scheduler.has_unexplained_fence());
    }
);

test_case!(
    /// Guards against a second run of a task on a new life whose lease an unanswered renewal for the
    /// earlier life extends late: until the new life has answered a call with its own token, it may
    /// hold the longest lease from the last moment at which the renewal can arrive.
    a_late_renewal_for_an_earlier_life_counts_for_the_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.start_tasks().remove(0);
        let executor = usize::from(order.executor == id(1));
        let renewal = harness.scheduler.plan_renewal(&id(executor), RenewalKind::Full, harness.now);
        assert!(renewal.expect("in use").lease_until.is_some());
        let mut restarted = entry(executor, "r1-0");
        restarted.life = ExecutorLife::new(2);
        harness.scheduler.upsert_executor(restarted, harness.now);
        check_wait(&mut harness, executor, LATE_LIMIT_MS + LONGEST_LEASE_MS);
    }
);

test_case!(
    /// Guards against a task that is kept away for long after its run has failed: the executor rejects
    /// the run from then on, and only a later life could begin it.
    a_failed_run_by_a_repeated_start_restarts_after_the_last_arrival,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, executor) = lose_repeatable_start(&mut harness);
        let lost_at = harness.now;
        harness.advance(200);
        harness.report(executor, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 1, "the start is repeated");
        let end = RunEnd {
            number: 1,
            task: order.task,
            run: order.run,
            kind: EndKind::Failed,
            checkpoint: None,
        };
        harness.report(executor, vec![], vec![end]);
        harness.store_batch();
        let mut restarted_at = None;
        while restarted_at.is_none() {
            harness.advance(200);
            let stops: Vec<StopOrder> = harness.stops();
            stops.iter().for_each(|stop| harness.scheduler.apply_stop(stop, true));
            harness.store_batch();
            (0..2).for_each(|number| harness.report(number, vec![], vec![]));
            let starts = harness.start_tasks();
            assert!(starts.iter().all(|start| start.run > order.run), "{starts:?}");
            restarted_at = (!starts.is_empty()).then_some(harness.now);
            assert!(harness.now.saturating_sub(lost_at) < Millis::new(LATE_LIMIT_MS + 1500));
        }
        let waited = harness.now.saturating_sub(lost_at);
        assert!(waited >= Millis::new(LATE_LIMIT_MS), "{waited}");
    }
);

/// Plans a gang, of which copies may run if `copies_allowed`, and loses the answer to the start of its
/// first member; returns the starts.
fn lose_start_of_member(harness: &mut SchedulerHarness, copies_allowed: bool) -> Vec<StartOrder> {
    let mut gang = step(6, 2000, 60_000, vec![]);
    gang.gang = true;
    gang.copies_allowed = copies_allowed;
    harness.submit(1, job(vec![gang]));
    harness.store_batch();
    let orders = harness.take_starts();
    for (order, answer) in orders
        .iter()
        .zip(std::iter::once(StartAnswer::Unknown).chain(std::iter::repeat(StartAnswer::Started)))
    {
        harness.scheduler.apply_start(order, answer, harness.now);
    }
    orders
}

/// Lets the executors report all members of a gang but the first.
fn report_other_members(harness: &mut SchedulerHarness, orders: &[StartOrder]) {
    for number in 0..2 {
        let here = orders[1..]
            .iter()
            .filter(|order| order.executor == id(number));
        let here = here.map(running).collect();
        harness.report(number, here, vec![]);
    }
}

/// Checks that all members of a gang are stopped.
fn check_stopped(harness: &mut SchedulerHarness, orders: &[StartOrder]) {
    let stopped: Vec<TaskRef> = harness.stops().iter().map(|stop| stop.task).collect();
    let is_stopped = |order: &StartOrder| stopped.contains(&order.task);
    assert!(orders.iter().all(is_stopped), "{stopped:?}");
}

test_case!(
    /// Guards against members of a gang that wait for one whose start gets no answer, until their
    /// executors give them up: the start is repeated once, if it may be, and then the others are stopped.
    members_of_a_gang_are_stopped_after_a_repeat_without_an_answer,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let orders = lose_start_of_member(&mut harness, true);
        harness.advance(200);
        report_other_members(&mut harness, &orders);
        let again = harness.take_starts();
        assert_eq!(again.len(), 1, "{again:?}");
        assert_eq!((again[0].task, again[0].run), (orders[0].task, orders[0].run));
        harness.scheduler.apply_start(&again[0], StartAnswer::Unknown, harness.now);
        harness.advance(10);
        check_stopped(&mut harness, &orders);
    }
);

test_case!(
    /// Guards against the same for a gang of which no start may be repeated.
    members_of_a_gang_are_stopped_without_a_repeat,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let orders = lose_start_of_member(&mut harness, false);
        harness.advance(200);
        check_stopped(&mut harness, &orders);
        report_other_members(&mut harness, &orders);
        assert!(harness.take_starts().is_empty(), "the first start may still arrive");
    }
);

/// Starts a long task that its executor lists, and then a second one, with a ticket if `ticketed`,
/// whose start on the same executor gets no answer; returns both starts.
fn lose_second_start(harness: &mut SchedulerHarness, ticketed: bool) -> (StartOrder, StartOrder) {
    let long = || job(vec![step(1, 1000, 60_000, vec![])]);
    if ticketed {
        harness.require_eligibility();
    }
    harness.submit(1, long());
    harness.store_batch();
    let plan = |harness: &mut SchedulerHarness| {
        let mut starts = if ticketed {
            harness.plan_as_eligible()
        } else {
            harness.take_starts()
        };
        starts.remove(0)
    };
    let first = plan(harness);
    harness
        .scheduler
        .apply_start(&first, StartAnswer::Started, harness.now);
    let executor = usize::from(first.executor == id(1));
    harness.advance(100);
    harness.report(executor, vec![running(&first)], vec![]);
    harness.submit(2, long());
    harness.store_batch();
    // The fullest executor is chosen.
    let second = plan(harness);
    assert_eq!(first.executor, second.executor);
    harness
        .scheduler
        .apply_start(&second, StartAnswer::Unknown, harness.now);
    (first, second)
}

test_case!(
    /// Guards against tasks that stay away for long after a silent crash of their executor, because a
    /// start of another task got no answer when it fell silent.
    an_unanswered_start_holds_back_no_other_run_of_its_executor,
    || {
        for ticketed in [true, false] {
            let mut harness = SchedulerHarness::new(1, 2);
            let (first, second) = lose_second_start(&mut harness, ticketed);
            let executor = usize::from(first.executor == id(1));
            let silent_since = harness.now;
            let mut restarted = Vec::new();
            while harness.now.saturating_sub(silent_since) < Millis::new(4500) {
                harness.advance(100);
                harness.report(1 - executor, vec![], vec![]);
                let starts = if ticketed {
                    harness.start_tasks_as_eligible(Millis::new(60_000))
                } else {
                    harness.start_tasks()
                };
                restarted.extend(starts.iter().map(|start| start.task));
            }
            assert!(restarted.contains(&first.task), "{ticketed}: {restarted:?}");
            if !ticketed {
                assert!(!restarted.contains(&second.task), "a later life may begin it");
            }
        }
    }
);

test_case!(
    /// Guards against a second run of a task whose start is carried out late, by the life that it was
    /// meant for: the lease had expired, the task has moved, and the executor answers again. It gets
    /// no lease, which a late start would need, before it has confirmed a stop.
    an_executor_that_answers_again_gets_a_lease_after_late_starts_are_withdrawn,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (first, second) = lose_second_start(&mut harness, true);
        let executor = usize::from(first.executor == id(1));
        // The ticket is valid for 2 s, and may be for a later life, which holds the longest lease.
        for _ in 0..90 {
            harness.advance_unconfirmed(100);
            harness.report(1 - executor, vec![], vec![]);
        }
        harness.confirm_ownership();
        harness.stops();
        let renewal = |harness: &mut SchedulerHarness| {
            let now = harness.now;
            let plan = harness.scheduler.plan_renewal(&id(executor), RenewalKind::Full, now);
            plan.expect("listed").lease_until
        };
        harness.report(executor, vec![], vec![]);
        harness.advance(100);
        assert_eq!(renewal(&mut harness), None, "the start may still be carried out");
        let stops = harness.stops();
        let stopped: Vec<TaskRef> = stops.iter().map(|stop| stop.task).collect();
        assert_eq!(stopped, [second.task]);
        harness.scheduler.apply_stop(&stops[0], true);
        assert!(renewal(&mut harness).is_some());
    }
);

test_case!(
    /// Guards against a second run of a task whose start was answered by a life that the owner does not
    /// know: its lease was computed with the clock of the earlier life, so that the new one holds the
    /// longest. The executor is cut off before any report.
    a_start_answered_by_an_unknown_life_has_the_longest_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.advance(5000);
        (0..2).for_each(|number| harness.report(number, vec![], vec![]));
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.take_starts().remove(0);
        let executor = usize::from(order.executor == id(1));
        let sent_at = harness.now;
        harness.advance(5);
        let (clock, now) = (Millis::new(300), harness.now);
        harness.scheduler.apply_start(&order, StartAnswer::Started, now);
        harness.scheduler.check_clock(&order, clock, sent_at, now);
        check_wait(&mut harness, executor, LONGEST_LEASE_MS);
    }
);

test_case!(
    /// Guards against an owner that takes an executor for restarted because its clock is slow.
    a_slow_clock_is_no_restart,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.take_starts().remove(0);
        harness.advance(1000);
        // The last reading was that of the harness, 1 s ago; 2% of a second is missing.
        let clock = harness.now.saturating_sub(Millis::new(20));
        harness.scheduler.check_clock(&order, clock, harness.now, harness.now);
        harness.scheduler.apply_start(&order, StartAnswer::Started, harness.now);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now);
        assert_eq!(plan.expect("in use").token, order.token);
    }
);

test_case!(
    /// Guards against an owner that takes an executor for restarted, and does not use it for a while,
    /// because a report has overtaken the answer to an earlier start.
    an_answer_that_was_overtaken_shows_no_restart,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        harness.store_batch();
        let order = harness.take_starts().remove(0);
        let sent_at = harness.now;
        harness.advance(300);
        harness.report(0, vec![running(&order)], vec![]);
        harness.advance(10);
        let (clock, now) = (sent_at.saturating_add(Millis::new(5)), harness.now);
        harness.scheduler.apply_start(&order, StartAnswer::Started, now);
        harness.scheduler.check_clock(&order, clock, sent_at, now);
        let plan = harness.scheduler.plan_renewal(&id(0), RenewalKind::Full, harness.now);
        assert_eq!(plan.expect("in use").token, order.token);
    }
);

test_case!(
    /// Guards against a second run of a task whose unanswered start had a ticket of a life that the
    /// owner does not know: that life may have begun the run as long as the ticket was valid.
    an_unanswered_start_with_a_ticket_may_be_on_an_unknown_life,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (_, second) = lose_second_start(&mut harness, true);
        let executor = usize::from(second.executor == id(1));
        let lost_at = harness.now;
        let mut waited = None;
        while waited.is_none() {
            harness.advance(100);
            harness.report(1 - executor, vec![], vec![]);
            let starts = harness.start_tasks_as_eligible(TICKET_TIME);
            let is_started = starts.iter().any(|start| start.task == second.task);
            waited = is_started.then(|| harness.now.saturating_sub(lost_at).get());
        }
        let waited = waited.expect("started");
        let expected = TICKET_TIME.get() + LONGEST_LEASE_MS;
        assert!((expected - 100..expected + 400).contains(&waited), "{waited}");
    }
);
