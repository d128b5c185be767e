//! Tests of executors as witnesses of ownership.

mod common;
mod harness;

use common::test_case;
use harness::{START_UNIX_MS, SchedulerHarness, entry, id, task};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{ExecutorLife, ExecutorRecord};
use magnolia_types::Millis;

/// Time after which a new owner gives up an executor once earlier owners are excluded: evidence of
/// 2 s, a lease of 3.6 s on a clock that is 2% slow, and the delay of an order.
const TAKEOVER_WAIT_MS: u64 = 2000 + 3672 + 400;

/// Returns the records that the next batch would store.
fn next_records(harness: &mut SchedulerHarness) -> Vec<(usize, Option<ExecutorRecord>)> {
    let unix_ms = START_UNIX_MS + harness.now.get();
    let batch = harness.scheduler.begin_batch(harness.now, unix_ms);
    let number = |text: &str| text.trim_start_matches("i-").parse().expect("a number");
    let records = batch.executors.iter();
    let records = records.map(|(id, record)| (number(id.as_str()), record.clone()));
    let records = records.collect();
    harness.scheduler.finish_batch(batch);
    records
}

/// Returns a harness of a new owner after one that had executors 5 to 9 in use, and one job left.
fn harness_after_takeover() -> SchedulerHarness {
    let mut harness = SchedulerHarness::new_without_reports(2, 0);
    (5..10).for_each(|number| harness.load_executor(number, None));
    harness.load_job(1, job(vec![step(1, 1000, 5000, vec![])]));
    for number in 5..10 {
        harness
            .scheduler
            .upsert_executor(entry(number, "r1-0"), harness.now);
    }
    harness
}

/// Lets the executors answer every 200 ms for `ms`; returns whether the inherited task was started.
fn starts_within(harness: &mut SchedulerHarness, answering: &[usize], ms: u64) -> bool {
    (0..ms / 200).any(|_| {
        harness.advance(200);
        answering
            .iter()
            .for_each(|number| harness.report(*number, vec![], vec![]));
        harness.store_batch();
        harness
            .start_tasks()
            .iter()
            .any(|order| order.task == task(1, 0, 0))
    })
}

test_case!(
    /// Guards against an owner that goes on although most executors may obey a later one.
    half_of_the_witnesses_attest_nothing,
    || {
        let mut harness = SchedulerHarness::new(1, 4);
        let recorded_at = harness.now;
        assert_eq!(harness.scheduler.attested_since(), Some(recorded_at));
        harness.advance(1000);
        harness.report(0, vec![], vec![]);
        harness.report(1, vec![], vec![]);
        assert_eq!(harness.scheduler.attested_since(), Some(recorded_at));
        harness.report(2, vec![], vec![]);
        assert_eq!(harness.scheduler.attested_since(), Some(harness.now));
    }
);

test_case!(
    /// Guards against evidence from executors that the store does not list as witnesses.
    executors_without_a_stored_record_attest_nothing,
    || {
        let mut harness = SchedulerHarness::new_without_reports(1, 3);
        (0..3).for_each(|number| harness.report(number, vec![], vec![]));
        assert_eq!(harness.scheduler.attested_since(), None);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        assert_eq!(harness.scheduler.attested_since(), None, "not stored yet");
        harness.scheduler.finish_batch(batch);
        assert_eq!(harness.scheduler.attested_since(), Some(harness.now));
    }
);

test_case!(
    /// Guards against evidence from a restarted executor, which has forgotten a later epoch.
    a_restarted_executor_attests_nothing_before_it_is_recorded_again,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut restarted = entry(0, "r1-0");
        restarted.life = ExecutorLife::new(2);
        harness.scheduler.upsert_executor(restarted, harness.now);
        harness.report_life(0, ExecutorLife::new(2));
        assert_eq!(harness.scheduler.attested_since(), None);
        let records = next_records(&mut harness);
        let record = records[0].1.as_ref().expect("in use");
        assert_eq!(record.entry.life, ExecutorLife::new(2));
        assert_eq!(harness.scheduler.attested_since(), Some(harness.now));
    }
);

test_case!(
    /// Guards against a task that runs twice: its executor is cut off together with an earlier owner
    /// and most others, so that this owner may still renew leases.
    executors_are_not_given_up_while_most_may_obey_an_earlier_owner,
    || {
        let mut harness = harness_after_takeover();
        assert!(!starts_within(&mut harness, &[5, 6], 60_000));
        assert!(starts_within(&mut harness, &[5, 6], 3672 + 400 + 200), "after the longest outage");
    }
);

test_case!(
    /// Guards against a wait that begins before the earlier owners are excluded, and against tasks
    /// that wait for longer than a lease after that.
    executors_are_given_up_one_wait_after_half_have_answered,
    || {
        let mut harness = harness_after_takeover();
        assert!(!starts_within(&mut harness, &[5, 6], 5000));
        assert!(!starts_within(&mut harness, &[5, 6, 7], TAKEOVER_WAIT_MS));
        assert!(starts_within(&mut harness, &[5, 6, 7], 600));
    }
);

test_case!(
    /// Guards against a task that runs twice: a later owner has renewed the lease of an executor that
    /// this owner can't reach.
    executors_are_given_up_only_after_a_confirmation_that_was_sent_after_the_wait,
    || {
        let mut harness = harness_after_takeover();
        (6..9).for_each(|number| harness.report(number, vec![], vec![]));
        harness.advance_unconfirmed(TAKEOVER_WAIT_MS + 100);
        assert!(harness.scheduler.awaits_confirmation());
        (6..9).for_each(|number| harness.report(number, vec![], vec![]));
        harness.scheduler.confirm_ownership(harness.now, harness.now);
        assert!(harness.start_tasks().is_empty(), "the confirmation was sent too early");
        harness.confirm_ownership();
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a wait that begins before the last of half the witnesses has answered, because
    /// the task that applies another answer has read the time earlier.
    the_wait_begins_when_the_last_of_half_has_answered,
    || {
        let mut harness = harness_after_takeover();
        harness.report(5, vec![], vec![]);
        harness.advance(5000);
        harness.report(7, vec![], vec![]);
        let closed_at = harness.now;
        harness.now = Millis::new(closed_at.get() - 5000);
        harness.report(6, vec![], vec![]);
        harness.now = closed_at;
        assert!(!starts_within(&mut harness, &[5, 6, 7], TAKEOVER_WAIT_MS));
        assert!(starts_within(&mut harness, &[5, 6, 7], 600));
    }
);

test_case!(
    /// Guards against an owner that stops asking whether earlier owners have ended, and keeps dead
    /// witnesses for a minute, because no inherited task waits any more.
    earlier_owners_matter_until_they_are_excluded,
    || {
        let mut harness = SchedulerHarness::new_without_reports(2, 0);
        for number in 5..8 {
            harness.load_executor_with_lease(number, Some(vec![]), Some(Millis::new(100)));
        }
        harness.advance(1000);
        harness.confirm_ownership();
        assert!(harness.scheduler.awaits_earlier_owners());
        harness.scheduler.apply_earlier_owners_ended(harness.now);
        assert!(!harness.scheduler.awaits_earlier_owners());
    }
);

test_case!(
    /// Guards against tasks that wait for a minute although every earlier owner said that it ended.
    executors_are_given_up_one_lease_after_all_earlier_owners_ended,
    || {
        let mut harness = harness_after_takeover();
        harness.scheduler.apply_earlier_owners_ended(harness.now);
        assert!(!starts_within(&mut harness, &[5], 4000));
        assert!(starts_within(&mut harness, &[5], 600));
    }
);

test_case!(
    /// Guards against an owner that drops or adds witnesses while an earlier one may be attested by
    /// the old ones, so that the next owner would count others.
    the_list_of_witnesses_is_kept_until_earlier_owners_are_excluded,
    || {
        let mut harness = harness_after_takeover();
        harness.scheduler.upsert_executor(entry(0, "r1-0"), harness.now);
        harness.scheduler.remove_executor(&id(5));
        harness.report(0, vec![], vec![]);
        harness.report(5, vec![], vec![]);
        harness.report(6, vec![], vec![]);
        harness.advance(100);
        let records = next_records(&mut harness);
        let added = records.iter().find(|(number, _)| *number == 0).expect("added");
        assert!(!added.1.as_ref().expect("in use").witness);
        assert!(records.iter().all(|(_, record)| record.is_some()), "none is dropped: {records:?}");
        harness.report(7, vec![], vec![]);
        harness.advance(100);
        let records = next_records(&mut harness);
        let added = records.iter().find(|(number, _)| *number == 0).expect("listed");
        assert!(added.1.as_ref().expect("in use").witness);
        assert!(records.iter().any(|(number, record)| *number == 5 && record.is_none()));
    }
);

test_case!(
    /// Guards against records of an earlier version that a new owner takes for unreadable, so that it
    /// waits for no executor.
    records_without_the_field_list_witnesses,
    || {
        let record = ExecutorRecord {
            entry: entry(0, "r1-0"),
            confined_to: None,
            lease_left: None,
            witness: true,
            late_starts: Vec::new(),
            restart_lease_left: None,
        };
        let fields = (record.entry.clone(), None::<Vec<u8>>, None::<Millis>);
        let bytes = rmp_serde::to_vec(&fields).expect("encoded");
        assert_eq!(rmp_serde::from_slice::<ExecutorRecord>(&bytes).expect("decoded"), record);
    }
);
