//! Property tests with input that is out of range or damaged. None of it may panic: the panic of one
//! task of the owner would end ownership, and a stored record would end that of every next owner.

mod harness;

use std::sync::Arc;

use harness::{CAPACITY, START_UNIX_MS, SchedulerHarness, id, running, task};
use magnolia_bench::load_simulation::{job, step};
use magnolia_bench::property_test;
use magnolia_scheduler::{
    EndKind, ExecutorLife, ExecutorReport, JobKey, JobRecord, JobSpec, LiveRecord,
    OccurrenceRecord, RecurrenceSpec, RunEnd, RunNumber, RunningTask, StepRecord, StepSpec,
    TaskRef,
};
use magnolia_types::{Millis, ResourceVector};
use quickcheck::{Arbitrary, Gen};

/// Number of inputs of each property.
const INPUTS: u64 = 3000;

/// A number that is often at the bounds of its range.
fn number(random: &mut Gen) -> u64 {
    let edges = [
        0,
        1,
        2,
        8000,
        u64::from(u32::MAX),
        i64::MAX as u64,
        u64::MAX,
    ];
    *random.choose(&edges).expect("not empty")
}

/// A job as a caller could send it.
#[derive(Clone, Debug)]
struct AnyJob(JobSpec);

impl Arbitrary for AnyJob {
    fn arbitrary(random: &mut Gen) -> Self {
        let steps = (0..1 + usize::arbitrary(random) % 4).map(|_| StepSpec {
            need: ResourceVector::new(number(random), number(random), u32::arbitrary(random) % 3),
            estimate: Millis::new(number(random)),
            tasks: u32::arbitrary(random) % 20,
            after: Vec::<u16>::arbitrary(random)
                .into_iter()
                .take(3)
                .map(|n| n % 5)
                .collect(),
            gang: bool::arbitrary(random),
            lasting: bool::arbitrary(random),
            filler: bool::arbitrary(random),
            spread_limit: Option::arbitrary(random),
            may_miss: u32::arbitrary(random),
            ..step(1, CAPACITY, 100, vec![])
        });
        let mut spec = job(steps.collect());
        if bool::arbitrary(random) {
            spec.recurrence = Some(RecurrenceSpec {
                count: number(random) as u32,
                start_unix_ms: number(random),
                interval: Millis::new(number(random)),
            });
        }
        Self(spec)
    }
}

/// Lets a scheduler with stored jobs work for some time.
fn work(harness: &mut SchedulerHarness) {
    for _ in 0..3 {
        harness.advance(400);
        harness.report(0, vec![], vec![]);
        let _started = harness.start_tasks();
        harness.store_batch();
    }
    harness.scheduler.summary(harness.now);
}

/// Guards against jobs whose sizes overflow the sums that admission and planning work with.
#[test]
fn jobs_of_any_size_are_refused_or_planned() {
    fn property(first: AnyJob, second: AnyJob) -> bool {
        let mut harness = SchedulerHarness::new(1, 2);
        for (key, spec) in [(1, first.0), (2, second.0)] {
            if spec.check().is_err() {
                continue;
            }
            let (rules, spec) = (Arc::clone(&harness.rules), Arc::new(spec));
            let (now, unix_ms) = (harness.now, START_UNIX_MS + harness.now.get());
            harness
                .scheduler
                .submit(JobKey::new(key), &rules, &spec, now, unix_ms);
        }
        harness.store_batch();
        work(&mut harness);
        true
    }
    property_test(INPUTS).quickcheck(property as fn(AnyJob, AnyJob) -> bool);
}

/// Guards against sizes at the end of their range that once overflowed in planning, in eligibility
/// requests or in the detection of hung runs.
#[test]
fn steps_at_the_end_of_every_range_are_planned() {
    let needs = [
        (0, 0),
        (0, u64::MAX),
        (u64::MAX, 0),
        (u64::MAX, u64::MAX),
        (1, 1),
    ];
    for ((cpu, memory), (filler, lasting), advice) in needs
        .into_iter()
        .flat_map(|need| {
            [
                (need, (true, false)),
                (need, (false, true)),
                (need, (false, false)),
            ]
        })
        .flat_map(|(need, kind)| [(need, kind, false), (need, kind, true)])
    {
        let mut harness = SchedulerHarness::new_without_reports(1, 2);
        if advice {
            harness.require_eligibility();
        }
        let extreme = StepSpec {
            need: ResourceVector::new(cpu, memory, 0),
            estimate: Millis::new(u64::MAX),
            filler,
            lasting,
            ..step(9, CAPACITY, 100, vec![])
        };
        // Admission would refuse such an estimate; an earlier owner may have accepted it.
        harness.load_job(1, job(vec![extreme]));
        harness.report_from_all(2);
        let mut started = harness.start_tasks_as_eligible(Millis::new(3000));
        harness.advance(100);
        started.append(&mut harness.start_tasks_as_eligible(Millis::new(0)));
        // No run makes progress, and all tickets expire.
        for _ in 0..4 {
            for number in 0..2 {
                let here = started.iter().filter(|order| order.executor == id(number));
                let here = here.map(|order| RunningTask {
                    percent: 0,
                    ..running(order)
                });
                harness.report(number, here.collect(), vec![]);
            }
            harness.advance(700);
            let _more = harness.start_tasks_as_eligible(Millis::new(0));
        }
    }
}

/// Guards against a damaged record of a job that no owner survives.
#[test]
fn damaged_job_records_are_skipped_or_loaded() {
    fn property(spec: AnyJob, progress: Vec<(u32, u64)>, changes: Vec<(u16, u8)>) -> bool {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut steps = vec![StepRecord::default(); 2];
        steps[0].failed = progress;
        steps[1].set_done(0);
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&harness.rules),
            spec: Arc::new(spec.0),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: vec![OccurrenceRecord { steps }],
            account: None,
            beyond_share: false,
        });
        let mut bytes = record.encode().expect("encoded");
        for (position, byte) in changes {
            let position = usize::from(position) % bytes.len();
            bytes[position] = byte;
        }
        if let Ok(record) = JobRecord::decode(&bytes) {
            let rules = Arc::clone(&harness.rules);
            let (key, now) = (JobKey::new(1), harness.now);
            harness.scheduler.load(key, &record, &rules, now);
            work(&mut harness);
        }
        true
    }
    property_test(INPUTS)
        .quickcheck(property as fn(AnyJob, Vec<(u32, u64)>, Vec<(u16, u8)>) -> bool);
}

/// A report as an executor could send it: task, run, kind of end.
#[derive(Clone, Debug)]
struct AnyRun(TaskRef, RunNumber, EndKind);

impl Arbitrary for AnyRun {
    fn arbitrary(random: &mut Gen) -> Self {
        let mut named = task(
            number(random) % 3,
            number(random) as u32,
            number(random) as u32,
        );
        named.step.step = number(random) as u16;
        let kinds = [
            EndKind::Done,
            EndKind::Failed,
            EndKind::Lapsed,
            EndKind::Alone,
        ];
        let kind = *random.choose(&kinds).expect("not empty");
        Self(named, RunNumber::new(number(random)), kind)
    }
}

/// Guards against an executor that reports runs of tasks, occurrences or jobs that do not exist.
#[test]
fn reports_of_any_runs_are_applied() {
    fn property(running: Vec<AnyRun>, ended: Vec<AnyRun>) -> bool {
        let mut harness = SchedulerHarness::new_with_any_memory(1, 1);
        let mut recurring = job(vec![
            step(2, 1000, 100, vec![]),
            step(1, 1000, 100, vec![0]),
        ]);
        recurring.recurrence = Some(RecurrenceSpec {
            count: u32::MAX,
            start_unix_ms: START_UNIX_MS,
            interval: Millis::new(1000),
        });
        harness.submit(1, recurring);
        harness.submit(2, job(vec![step(2, 1000, 100, vec![])]));
        harness.store_batch();
        let _started = harness.start_tasks();
        let ends = (1..)
            .zip(ended)
            .map(|(number, AnyRun(task, run, kind))| RunEnd {
                number,
                task,
                run,
                kind,
                checkpoint: Some("saved".into()),
            });
        let running = running.into_iter().map(|AnyRun(task, run, _)| RunningTask {
            task,
            run,
            checkpoint: None,
            percent: 255,
            meter: Some(u64::MAX),
        });
        let report = ExecutorReport {
            life: ExecutorLife::new(1),
            clock: Millis::new(u64::MAX),
            running: running.collect(),
            ends: ends.collect(),
            ends_complete: true,
        };
        let now = harness.now;
        harness.scheduler.apply_report(&id(0), report, now, now);
        work(&mut harness);
        true
    }
    property_test(INPUTS).quickcheck(property as fn(Vec<AnyRun>, Vec<AnyRun>) -> bool);
}
