//! Tests of runs on lost executors: their tasks start again only after ownership is confirmed.

mod common;
mod harness;

use common::test_case;
use harness::{SchedulerHarness, entry, id, running};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{
    EndKind, ExecutorLife, ExecutorReport, FenceToken, JobKey, JobStatus, RenewalKind, RunningTask,
    StartAnswer, StartOrder,
};
use magnolia_types::{Epoch, Millis};

/// Starts one long task on one of two executors; returns its order and the number of its executor.
fn start_task(harness: &mut SchedulerHarness) -> (StartOrder, usize) {
    harness.submit(1, job(vec![step(1, 1000, 9000, vec![])]));
    harness.store_batch();
    let order = harness.start_tasks().remove(0);
    let executor = usize::from(order.executor == id(1));
    (order, executor)
}

/// Lets the lease of an executor expire that does not answer, while the other one does.
fn expire_lease(harness: &mut SchedulerHarness, lost: usize) {
    for _ in 0..40 {
        harness.advance_unconfirmed(200);
        harness.report(1 - lost, vec![], vec![]);
        if harness.scheduler.unconfirmed_loss().is_some() {
            return;
        }
    }
    panic!("the run is never counted as lost");
}

/// Checks that the lost task of `order` starts again only after ownership was confirmed.
fn check_confirmation(harness: &mut SchedulerHarness, order: &StartOrder) {
    assert_eq!(harness.scheduler.unconfirmed_loss(), Some(harness.now));
    // A call that was sent before the loss proves nothing.
    harness
        .scheduler
        .confirm_ownership(harness.now, harness.now);
    assert!(
        harness.start_tasks().is_empty(),
        "a later owner may have stored the end of the run"
    );
    harness.confirm_ownership();
    assert_eq!(harness.scheduler.unconfirmed_loss(), None);
    let again = harness.start_tasks();
    assert_eq!(again.len(), 1);
    assert_eq!(again[0].task, order.task);
    assert!(again[0].run > order.run);
}

test_case!(
    /// Guards against an owner that was paused and moves a task whose lease a later owner renewed.
    a_task_moves_after_its_lease_only_if_ownership_is_confirmed,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, lost) = start_task(&mut harness);
        expire_lease(&mut harness, lost);
        check_confirmation(&mut harness, &order);
    }
);

test_case!(
    /// Guards against a second run of a task whose executor can't be reached: until the lease has
    /// expired, the run goes on.
    a_task_of_an_unreachable_executor_moves_only_after_its_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, lost) = start_task(&mut harness);
        let lease_end = order.lease_until;
        while harness.now < lease_end {
            harness.scheduler.apply_unreachable(&id(lost));
            harness.advance(200);
            harness.report(1 - lost, vec![], vec![]);
            if harness.now <= lease_end {
                assert!(harness.start_tasks().is_empty(), "at {}", harness.now);
            }
        }
        expire_lease(&mut harness, lost);
        check_confirmation(&mut harness, &order);
    }
);

/// Lets an executor answer a renewal in its second life.
fn report_second_life(harness: &mut SchedulerHarness, number: usize, running: Vec<RunningTask>) {
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

/// Lists an executor in its second life.
fn list_second_life(harness: &mut SchedulerHarness, number: usize) {
    let mut restarted = entry(number, "r1-0");
    restarted.life = ExecutorLife::new(2);
    harness.scheduler.upsert_executor(restarted, harness.now);
}

test_case!(
    /// Guards against the same when the executor has restarted.
    a_task_of_a_restarted_executor_moves_only_if_ownership_is_confirmed,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, lost) = start_task(&mut harness);
        harness.report(lost, vec![running(&order)], vec![]);
        report_second_life(&mut harness, lost, vec![]);
        check_confirmation(&mut harness, &order);
    }
);

test_case!(
    /// Guards against a second run of a task whose start reached an executor just after it had
    /// restarted, before the owner knew: the run goes on in the new life.
    a_run_on_the_new_life_of_an_executor_is_kept,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, restarted) = start_task(&mut harness);
        list_second_life(&mut harness, restarted);
        harness.advance(100);
        harness.report(1 - restarted, vec![], vec![]);
        assert!(harness.start_tasks().is_empty(), "the new life may run it");
        report_second_life(&mut harness, restarted, vec![running(&order)]);
        harness.advance(100);
        report_second_life(&mut harness, restarted, vec![running(&order)]);
        assert!(harness.start_tasks().is_empty(), "the new life runs it");
    }
);

test_case!(
    /// Guards against a task that stays away because it counts as running on the new life.
    a_run_that_the_new_life_does_not_list_is_lost,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, restarted) = start_task(&mut harness);
        list_second_life(&mut harness, restarted);
        harness.advance_unconfirmed(100);
        harness.report(1 - restarted, vec![], vec![]);
        report_second_life(&mut harness, restarted, vec![]);
        check_confirmation(&mut harness, &order);
    }
);

test_case!(
    /// Guards against a second run beside one that the new life begins by a start without an answer. The
    /// start is repeated there, if the run may begin again, with a token by which it rejects the first
    /// one, and not elsewhere: a further life would not know the token.
    an_unanswered_start_is_repeated_at_the_new_life,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let mut copied = step(1, 1000, 9000, vec![]);
        copied.copies_allowed = true;
        harness.submit(1, job(vec![copied]));
        harness.store_batch();
        let order = harness.take_starts().remove(0);
        let restarted = usize::from(order.executor == id(1));
        list_second_life(&mut harness, restarted);
        harness.scheduler.apply_start(&order, StartAnswer::Unknown, harness.now);
        // The answer to a call that was sent before the new life was known.
        report_second_life(&mut harness, restarted, vec![]);
        harness.advance(100);
        assert!(harness.start_tasks().is_empty(), "the new life may have a lease of the earlier one");
        let plan = harness.scheduler.plan_renewal(&id(restarted), RenewalKind::Full, harness.now);
        assert!(plan.expect("in use").token > order.token);
        report_second_life(&mut harness, restarted, vec![]);
        harness.advance(100);
        harness.report(1 - restarted, vec![], vec![]);
        let again = harness.start_tasks();
        assert_eq!(again.len(), 1);
        assert_eq!((&again[0].executor, again[0].run), (&order.executor, order.run));
        assert!(again[0].token > order.token);
    }
);

test_case!(
    /// Guards against a lease that counts as expired too early because it was computed by the clock
    /// of the earlier life: the new life may hold the longest lease.
    a_run_on_the_new_life_has_the_longest_lease,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (_, restarted) = start_task(&mut harness);
        list_second_life(&mut harness, restarted);
        let end = harness.now.saturating_add(Millis::new(6000));
        while harness.now < end {
            harness.advance(200);
            harness.report(1 - restarted, vec![], vec![]);
            assert!(harness.start_tasks().is_empty(), "at {}", harness.now);
        }
        harness.advance(400);
        harness.report(1 - restarted, vec![], vec![]);
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a second run beside one that was counted as lost and is reported again.
    a_lost_run_that_is_reported_again_is_taken_over,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let (order, lost) = start_task(&mut harness);
        expire_lease(&mut harness, lost);
        harness.report(lost, vec![running(&order)], vec![]);
        assert_eq!(harness.scheduler.take_actions(), vec![], "nothing is stopped");
        harness.advance(200);
        assert!(harness.start_tasks().is_empty(), "the task still runs");
        let end = harness.run_end(order.task, order.run, EndKind::Done);
        harness.report(lost, vec![], vec![end]);
        harness.store_batch();
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

test_case!(
    /// Guards against a task that runs twice: a later owner has started it, and the executor on which
    /// this owner starts it as well has restarted since it rejected this owner.
    nothing_starts_on_a_restarted_executor_before_a_confirmation,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut restarted = entry(0, "r1-0");
        restarted.life = ExecutorLife::new(2);
        harness.scheduler.upsert_executor(restarted, harness.now);
        // The answer is to a call that was sent after the restart became known.
        harness.advance_unconfirmed(1);
        harness.report_life(0, ExecutorLife::new(2));
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        assert!(harness.scheduler.awaits_confirmation());
        harness.confirm_ownership();
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a rejection that is forgotten because of an older call whose answer came late.
    a_rejection_outlasts_the_answer_to_an_earlier_call,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let sent_at = harness.now;
        harness.advance_unconfirmed(500);
        let token = FenceToken::new_in(Epoch::new(1), 0);
        harness.scheduler.apply_fence(&id(0), token, harness.now);
        harness.advance_unconfirmed(500);
        harness.report_sent_at(0, sent_at);
        assert!(harness.scheduler.has_unexplained_fence());
        harness.report_sent_at(0, harness.now);
        assert!(!harness.scheduler.has_unexplained_fence());
    }
);

test_case!(
    /// Guards against a start on an executor whose only recent answer was read long after it was sent:
    /// it may have restarted and forgotten a later owner.
    nothing_starts_after_an_answer_that_was_read_late,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let sent_at = harness.now;
        harness.advance(3000);
        harness.report_sent_at(0, sent_at);
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        harness.report(0, vec![], vec![]);
        harness.store_batch();
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a lease on old evidence: the time of a decision was read before a pause, and an
    /// answer of the executor was applied after it.
    a_start_grants_a_lease_from_the_time_of_its_decision,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let decided_at = harness.now;
        harness.advance(30_000);
        harness.report(0, vec![], vec![]);
        harness.now = decided_at;
        let starts = harness.start_tasks();
        let longest = decided_at.saturating_add(Millis::new(3600));
        assert!(starts.iter().all(|order| order.lease_until <= longest), "{starts:?}");
        assert_eq!(starts.len(), 1);
    }
);
