//! Tests of the memory that jobs take at their owner. One of them measures the memory of the process,
//! to which the others add little.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{START_UNIX_MS, SchedulerHarness, running};
use magnolia_bench::load_simulation::{job, queue, step};
use magnolia_scheduler::{
    CellScheduler, EndKind, JobKey, JobRecord, JobSpec, JobStatus, RecurrenceSpec, RunEnd,
    SchedulerSettings, SubmitOutcome, job_memory_share,
};
use magnolia_types::{Epoch, Millis};

/// Memory of the smallest daemon of the platform, in bytes.
const SMALLEST_DAEMON: u64 = 160_000_000;
/// Tasks of a large step: as many as a job may have, with room for others.
const LARGE_STEP: u32 = 9000;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the state of this process");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kibibytes.expect("a size") * 1024
}

/// A job of which each occurrence has a quick task, and then many that no executor can run.
fn recurring_job(occurrences: u32) -> JobSpec {
    let mut large = step(LARGE_STEP, 100, 50, vec![0]);
    large.need.accelerators = 1;
    let mut spec = job(vec![step(1, 100, 50, vec![]), large]);
    spec.recurrence = Some(RecurrenceSpec {
        count: occurrences,
        start_unix_ms: START_UNIX_MS,
        interval: Millis::new(100),
    });
    spec
}

test_case!(
    /// Guards against an owner that exceeds its memory because of large recurring jobs, and so does each
    /// next one: tasks that were never started take no memory.
    recurring_jobs_of_many_tasks_fit_into_the_memory_of_an_owner,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let before = resident_bytes();
        (1..=4).for_each(|key| harness.submit(key, recurring_job(150)));
        harness.store_batch();
        for _ in 0..160 {
            harness.advance(100);
            let starts = harness.start_tasks();
            let ends = starts.iter();
            let ends: Vec<RunEnd> = ends
                .map(|start| harness.run_end(start.task, start.run, EndKind::Done))
                .collect();
            harness.report(0, vec![], ends);
            harness.store_batch();
        }
        let grown = resident_bytes().saturating_sub(before);
        let limit = job_memory_share(SMALLEST_DAEMON);
        assert!(grown < limit, "{grown} bytes, above {limit}");
        assert_eq!(
            harness.scheduler.status(JobKey::new(1)),
            Some(JobStatus::Running)
        );
    }
);

/// Returns a job whose step needs a label of 50 kB that no executor has.
fn labelled_job(number: u64) -> JobSpec {
    let mut labelled = step(1, 100, 50, vec![]);
    labelled.label = Some(format!("{number:050000}").into());
    job(vec![labelled])
}

test_case!(
    /// Guards against jobs whose labels take the memory of the owner, although none of them can start.
    the_names_in_a_job_count_as_its_memory,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let rules = Arc::clone(&harness.rules);
        let refused = (1..=3000).any(|key| {
            let spec = Arc::new(labelled_job(key));
            let unix_ms = START_UNIX_MS + harness.now.get();
            let scheduler = &mut harness.scheduler;
            let outcome = scheduler.submit(JobKey::new(key), &rules, &spec, harness.now, unix_ms);
            matches!(outcome, SubmitOutcome::Refused { .. })
        });
        assert!(refused, "150 MB of labels are accepted");
    }
);

test_case!(
    /// Guards against labels of jobs that an owner keeps after it has forgotten the jobs.
    the_names_of_forgotten_jobs_are_not_kept,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let before = resident_bytes();
        for key in 1..=3000 {
            harness.submit(key, labelled_job(key));
            harness.store_batch();
            harness.scheduler.cancel(JobKey::new(key), harness.now);
            harness.store_batch();
            harness.scheduler.forget_ended(START_UNIX_MS + 1_000_000_000);
            harness.store_batch();
        }
        let grown = resident_bytes().saturating_sub(before);
        assert!(grown < 50_000_000, "{grown} bytes");
    }
);

test_case!(
    /// Guards against a job that is accepted although no owner can hold it, and against jobs that fit one
    /// by one but not together. Once one of them has ended, the next is accepted.
    jobs_beyond_the_memory_of_an_owner_are_refused,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let submit = |harness: &mut SchedulerHarness, key: u64, occurrences: u32| {
            let spec = Arc::new(recurring_job(occurrences));
            let rules = Arc::clone(&harness.rules);
            let unix_ms = START_UNIX_MS + harness.now.get();
            let key = JobKey::new(key);
            harness
                .scheduler
                .submit(key, &rules, &spec, harness.now, unix_ms)
        };
        let alone = submit(&mut harness, 1, 10_000_000);
        assert!(matches!(alone, SubmitOutcome::TooLarge { .. }), "{alone:?}");
        let mut accepted = 0;
        let refused = loop {
            match submit(&mut harness, 10 + accepted, 15_000) {
                SubmitOutcome::Accepted => accepted += 1,
                other => break other,
            }
            assert!(accepted < 100, "never refused");
        };
        assert!(
            matches!(refused, SubmitOutcome::Refused { .. }),
            "{refused:?}"
        );
        assert!(accepted > 0);
        harness.store_batch();
        harness.scheduler.cancel(JobKey::new(10), harness.now);
        harness.store_batch();
        assert_eq!(submit(&mut harness, 99, 15_000), SubmitOutcome::Accepted);
    }
);

test_case!(
    /// Guards against occurrences that are over and stay in memory, and against their tasks running again
    /// under the next owner.
    finished_occurrences_are_stored_as_done,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut spec = job(vec![step(3, 100, 50, vec![]), step(9, 100, 50, vec![0])]);
        spec.recurrence = Some(RecurrenceSpec {
            count: 2,
            start_unix_ms: START_UNIX_MS + 1000,
            interval: Millis::new(3_600_000),
        });
        harness.submit(1, spec);
        harness.store_batch();
        let mut stored = None;
        for _ in 0..30 {
            harness.advance(100);
            let starts = harness.start_tasks();
            harness.report(0, starts.iter().map(running).collect(), vec![]);
            let ends = starts.iter();
            let ends: Vec<RunEnd> = ends
                .map(|start| harness.run_end(start.task, start.run, EndKind::Done))
                .collect();
            harness.report(0, vec![], ends);
            for _ in 0..2 {
                let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
                stored = batch.records.last().cloned().or(stored);
                harness.scheduler.finish_batch(batch);
            }
        }
        // A later change of the job stores it again, after its first occurrence was released.
        let Some((key, Some(record))) = stored else {
            panic!("no record");
        };
        let JobRecord::Live(live) = &record else {
            panic!("{record:?}");
        };
        let tasks = [3, 9];
        let steps = live.occurrences[0].steps.iter().zip(tasks);
        assert!(
            steps
                .into_iter()
                .all(|(step, tasks)| (0..tasks).all(|index| step.is_done(index)))
        );
        let mut next = SchedulerHarness::new_without_reports(2, 1);
        let rules = Arc::clone(&next.rules);
        next.scheduler.load(key, &record, &rules, next.now);
        next.report_from_all(1);
        next.advance(100);
        assert!(next.start_tasks().is_empty());
        let batch = next.scheduler.begin_batch(next.now, START_UNIX_MS);
        assert!(batch.records.is_empty());
    }
);

/// Returns the memory that counts for a job when it is submitted, in bytes.
fn counted_bytes(spec: JobSpec) -> u64 {
    let settings = SchedulerSettings::new(Millis::new(6000)).with_job_memory_bytes(0);
    let mut scheduler = CellScheduler::new(settings, Epoch::new(1));
    let rules = Arc::new(queue("batch", 2, 0, 0));
    match scheduler.submit(JobKey::new(1), &rules, &Arc::new(spec), Millis::new(0), 0) {
        SubmitOutcome::TooLarge { needed, .. } => needed,
        other => panic!("{other:?}"),
    }
}

/// Prints the memory that a job and its tasks take. Run by hand for docs/CAPACITY.md.
#[test]
#[ignore = "a measurement"]
fn measure_the_memory_of_jobs() {
    let mut harness = SchedulerHarness::new(1, 1);
    let mut key = 0;
    let mut measure = |what: &str, count: u64, spec: &dyn Fn() -> JobSpec| {
        let before = resident_bytes();
        for _ in 0..count {
            key += 1;
            let rules = Arc::clone(&harness.rules);
            let (now, spec) = (harness.now, Arc::new(spec()));
            let record = harness::live_record(&rules, &spec);
            harness
                .scheduler
                .load(JobKey::new(key), &record, &rules, now);
        }
        harness.advance(100);
        let grown = resident_bytes().saturating_sub(before);
        let counted = counted_bytes(spec());
        println!("{what}: {} bytes each, counted as {counted}", grown / count);
    };
    measure("job of 1 task", 20_000, &|| {
        job(vec![step(1, 100, 50, vec![])])
    });
    measure("job of 9,000 tasks", 20_000, &|| {
        job(vec![step(LARGE_STEP, 100, 50, vec![])])
    });
    measure("job of 20 steps", 5_000, &|| {
        job(vec![step(10, 100, 50, vec![]); 20])
    });
}
