//! Tests of the rules for records that the store refuses, one rule each.

mod common;
mod harness;

use common::test_case;
use harness::{START_UNIX_MS, SchedulerHarness, id, running};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{
    EndKind, JobKey, JobRecord, JobStatus, RefusedRecords, RenewalKind, StoreBatch, SubmissionState,
};

fn begin_batch(harness: &mut SchedulerHarness) -> StoreBatch {
    let unix_ms = START_UNIX_MS + harness.now.get();
    harness.scheduler.begin_batch(harness.now, unix_ms)
}

/// Completes a batch of which the records of these jobs were refused.
fn refuse_jobs(harness: &mut SchedulerHarness, mut batch: StoreBatch, keys: &[u64]) {
    let refused = RefusedRecords {
        jobs: keys.iter().map(|key| JobKey::new(*key)).collect(),
        ..RefusedRecords::default()
    };
    harness
        .scheduler
        .refuse_records(&mut batch, &refused, harness.now);
    harness.scheduler.finish_batch(batch);
}

/// Returns the number up to which ends of an executor are acknowledged.
fn acknowledged(harness: &mut SchedulerHarness, number: usize) -> u64 {
    let plan = harness
        .scheduler
        .plan_executor_renewal(&id(number), RenewalKind::Full, harness.now);
    plan.expect("an executor in use").1.ends_stored
}

test_case!(
    /// Guards against a refused job that runs after all: its key is deleted before its caller is
    /// told, also when the job is submitted again in between.
    a_job_is_refused_once_its_key_is_deleted,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let key = JobKey::new(1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.submit(2, job(vec![step(1, 1000, 100, vec![])]));
        let batch = begin_batch(&mut harness);
        refuse_jobs(&mut harness, batch, &[1]);
        let starts = harness.start_tasks();
        assert!(starts.iter().all(|order| order.task.step.job == JobKey::new(2)));
        assert_eq!(harness.scheduler.submission_state(key), SubmissionState::Pending);
        assert!(!harness.scheduler.withdraw(key), "the store may hold a record");
        let deletion = begin_batch(&mut harness);
        assert_eq!(deletion.records, vec![(key, None)]);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.scheduler.finish_batch(deletion);
        assert_eq!(harness.scheduler.submission_state(key), SubmissionState::Pending);
        assert!(harness.start_tasks().is_empty(), "the second submission is not stored");
        let batch = begin_batch(&mut harness);
        refuse_jobs(&mut harness, batch, &[1]);
        harness.store_batch();
        assert_eq!(harness.scheduler.submission_state(key), SubmissionState::Refused);
        assert!(harness.scheduler.withdraw(key));
    }
);

test_case!(
    /// Guards against ends that are acknowledged before the outcome of their job is stored, also by
    /// a batch that was begun before the refusal was known.
    an_accepted_job_fails_and_its_ends_wait_for_that,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(2, 1000, 100, vec![])]));
        harness.store_batch();
        let starts = harness.start_tasks();
        let end = harness.run_end(starts[0].task, starts[0].run, EndKind::Done);
        harness.report(0, vec![running(&starts[1])], vec![end]);
        let first = begin_batch(&mut harness);
        assert_eq!(first.records.len(), 1);
        let end = harness.run_end(starts[1].task, starts[1].run, EndKind::Failed);
        harness.report(0, vec![], vec![end]);
        harness.submit(2, job(vec![step(1, 1000, 100, vec![])]));
        let second = begin_batch(&mut harness);
        refuse_jobs(&mut harness, first, &[1]);
        assert_eq!(acknowledged(&mut harness, 0), 0);
        refuse_jobs(&mut harness, second, &[1]);
        assert_eq!(acknowledged(&mut harness, 0), 0);
        let outcome = begin_batch(&mut harness);
        let failed = |record: &Option<JobRecord>| {
            matches!(record, Some(JobRecord::Ended(end)) if end.status == JobStatus::Failed)
        };
        assert!(outcome.records.iter().any(|(key, record)| *key == JobKey::new(1) && failed(record)));
        harness.scheduler.finish_batch(outcome);
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Failed));
        assert_eq!(acknowledged(&mut harness, 0), 2);
    }
);

test_case!(
    /// Guards against a job without an outcome whose ends hold up its executor for ever.
    a_job_whose_outcome_is_refused_is_deleted,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        harness.store_batch();
        let starts = harness.start_tasks();
        let end = harness.run_end(starts[0].task, starts[0].run, EndKind::Done);
        harness.report(0, vec![], vec![end]);
        let batch = begin_batch(&mut harness);
        refuse_jobs(&mut harness, batch, &[1]);
        assert_eq!(acknowledged(&mut harness, 0), 0);
        let deletion = begin_batch(&mut harness);
        assert_eq!(deletion.records, vec![(JobKey::new(1), None)]);
        harness.scheduler.finish_batch(deletion);
        assert_eq!(acknowledged(&mut harness, 0), 1);
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
        assert!(!harness.scheduler.has_unbatched());
    }
);

test_case!(
    /// Guards against tasks on an executor that no next owner would wait for.
    nothing_starts_on_an_executor_whose_record_is_refused,
    || {
        let mut harness = SchedulerHarness::new_without_reports(1, 2);
        (0..2).for_each(|number| harness.report(number, vec![], vec![]));
        let mut batch = begin_batch(&mut harness);
        assert_eq!(batch.executors.len(), 2);
        let refused = RefusedRecords {
            executors: [id(0)].into(),
            ..RefusedRecords::default()
        };
        harness.scheduler.refuse_records(&mut batch, &refused, harness.now);
        harness.scheduler.finish_batch(batch);
        harness.submit(1, job(vec![step(16, 1000, 100, vec![])]));
        harness.store_batch();
        for _ in 0..3 {
            (0..2).for_each(|number| harness.report(number, vec![], vec![]));
            harness.store_batch();
            assert!(harness.start_tasks().iter().all(|order| order.executor == id(1)));
        }
        assert!(!harness.scheduler.has_unbatched());
    }
);

test_case!(
    /// Guards against jobs that wait for ever because their record was left for a later batch.
    a_deferred_job_is_part_of_the_next_batch,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        let mut batch = begin_batch(&mut harness);
        let deferred = RefusedRecords {
            deferred: [JobKey::new(1)].into(),
            ..RefusedRecords::default()
        };
        harness.scheduler.refuse_records(&mut batch, &deferred, harness.now);
        harness.scheduler.finish_batch(batch);
        let state = harness.scheduler.submission_state(JobKey::new(1));
        assert_eq!(state, SubmissionState::Pending);
        assert!(harness.start_tasks().is_empty());
        harness.store_batch();
        assert_eq!(harness.start_tasks().len(), 1);
    }
);
