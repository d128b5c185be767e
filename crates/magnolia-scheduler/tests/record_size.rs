//! Tests that the record of an accepted job can be stored as long as the job is live.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{SchedulerHarness, entry, running, task};
use magnolia_bench::load_simulation::{job, step};
use magnolia_bench::property_test;
use magnolia_scheduler::{
    EndKind, ExecutorStatus, JobKey, JobSpec, JobStatus, RecordError, RecurrenceSpec, RunEnd,
    RunNumber, RunningTask, StepRef, TaskRef, check_record_size,
};
use magnolia_types::{Epoch, Millis};

/// Longest record, in bytes.
const LIMIT: u64 = 262_144;
/// Number of job shapes that are tried.
const INPUTS: u64 = 300;

/// Returns the end of a run of a task in the first occurrence.
fn failed_end(number: u64, step: u16, index: u32, run: u64, checkpoint: &str) -> RunEnd {
    let step = StepRef {
        job: JobKey::new(1),
        occurrence: 0,
        step,
    };
    RunEnd {
        number,
        task: TaskRef { step, index },
        run: RunNumber::new_in(Epoch::new(u64::from(u32::MAX)), run),
        kind: EndKind::Failed,
        checkpoint: (!checkpoint.is_empty()).then(|| checkpoint.into()),
    }
}

/// Lets every task of a job fail once after another, with a checkpoint, and checks each record.
fn check_records(spec: &JobSpec, checkpoint: &str, rounds: u64) -> Option<JobStatus> {
    let mut harness = SchedulerHarness::new(1, 1);
    harness.submit(1, spec.clone());
    let mut number = 0;
    for round in 1..=rounds {
        let mut ends = Vec::new();
        for (step, shape) in (0u16..).zip(&spec.steps) {
            for index in 0..shape.tasks {
                number += 1;
                ends.push(failed_end(number, step, index, round, checkpoint));
            }
        }
        harness.report(0, vec![], ends);
        harness.store_batch_checked(LIMIT);
    }
    harness.scheduler.status(JobKey::new(1))
}

test_case!(
    /// Guards against a large job whose checkpoints make its record too long for the store while it
    /// runs, which stopped all writes of the cell.
    checkpoints_without_room_are_left_out,
    || {
        let spec = job(vec![step(10_000, 10, 100, vec![])]);
        check_record_size(&Arc::new(spec.clone()), &SchedulerHarness::new(1, 1).rules, None, LIMIT)
            .expect("accepted");
        let checkpoint = "c".repeat(100);
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, spec);
        harness.store_batch_checked(LIMIT);
        let ends = (0..10_000).map(|index| RunEnd {
            kind: EndKind::Stopped,
            ..failed_end(u64::from(index) + 1, 0, index, 1, &checkpoint)
        });
        harness.report(0, vec![], ends.collect());
        let starts = harness.start_tasks();
        harness.report(0, starts.iter().map(running).collect(), vec![]);
        let end = harness.run_end(starts[0].task, starts[0].run, EndKind::Done);
        let end = RunEnd { number: 20_000, ..end };
        harness.report(0, starts[1..].iter().map(running).collect(), vec![end]);
        harness.store_batch_checked(LIMIT);
        assert_eq!(harness.scheduler.status(JobKey::new(1)), Some(JobStatus::Running));
    }
);

test_case!(
    /// Guards against a job whose tasks fail so often that its record can't be stored: it ends as
    /// failed, and alone.
    a_job_with_too_many_failed_runs_ends_as_failed,
    || {
        let spec = job(vec![step(10_000, 10, 100, vec![])]);
        assert_eq!(check_records(&spec, "", 1), Some(JobStatus::Failed));
    }
);

test_case!(
    /// Guards against an executor with so many runs that the record of its tasks can't be stored.
    an_executor_with_very_many_runs_has_a_short_record,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let keys = [u64::MAX - 1, u64::MAX];
        for key in keys {
            harness.load_job(key, job(vec![step(10_000, 0, 9000, vec![])]));
        }
        let reported = keys.into_iter().flat_map(|key| (0..10_000).map(move |index| RunningTask {
            task: task(key, 0, index),
            run: RunNumber::new(1),
            checkpoint: None,
            percent: 10,
            meter: None,
        }));
        harness.report(0, reported.collect(), vec![]);
        let mut leaving = entry(0, "r1-0");
        leaving.status = ExecutorStatus::Draining;
        harness.scheduler.upsert_executor(leaving, harness.now);
        harness.advance(100);
        harness.store_batch_checked(LIMIT);
    }
);

test_case!(
    /// Guards against a job that is accepted although its record can't be stored, and says by how much
    /// it is too large.
    a_job_with_a_record_over_the_limit_is_refused,
    || {
        let rules = SchedulerHarness::new(1, 1).rules;
        let spec = Arc::new(job(vec![step(1, 1000, 100, vec![]); 9500]));
        let refused = check_record_size(&spec, &rules, None, LIMIT);
        let Err(RecordError::TooLarge { needed, limit }) = refused else {
            panic!("{refused:?}");
        };
        assert!(needed > limit && limit == LIMIT, "{needed} {limit}");
    }
);

test_case!(
    /// Guards against a recurring job whose occurrences make its record too long.
    a_job_with_too_many_occurrences_is_refused,
    || {
        let rules = SchedulerHarness::new(1, 1).rules;
        let mut spec = job(vec![step(100, 1000, 100, vec![]); 3]);
        spec.recurrence = Some(RecurrenceSpec {
            count: 1_000_000,
            start_unix_ms: 1,
            interval: Millis::new(1),
        });
        let refused = check_record_size(&Arc::new(spec), &rules, None, LIMIT);
        assert!(matches!(refused, Err(RecordError::TooLarge { .. })), "{refused:?}");
    }
);

test_case!(
    /// Guards against any shape of a job that is accepted and outgrows the store: accepted means that
    /// every record of it can be stored.
    every_record_of_an_accepted_job_can_be_stored,
    || {
        fn property(shapes: Vec<(u16, u8)>, payload: u16, text: u8, rounds: u8) -> bool {
            let steps = shapes.iter().map(|(tasks, dependencies)| {
                let mut step = step(u32::from(tasks % 300) + 1, 10, 100, vec![]);
                step.label = Some("l".repeat(usize::from(*dependencies)).into());
                step
            });
            let mut spec = job(steps.collect());
            spec.payload = "p".repeat(usize::from(payload % 4001)).into();
            let rules = SchedulerHarness::new(1, 1).rules;
            let sound = spec.check().is_ok();
            if !sound || check_record_size(&Arc::new(spec.clone()), &rules, None, LIMIT).is_err() {
                return true;
            }
            let checkpoint = "c".repeat(usize::from(text));
            check_records(&spec, &checkpoint, u64::from(rounds % 3));
            true
        }
        property_test(INPUTS)
            .quickcheck(property as fn(Vec<(u16, u8)>, u16, u8, u8) -> bool);
    }
);
