//! Tests of the steps that a planning pass considers: those that can't start hold up no others.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{CAPACITY, SchedulerHarness, entry, id};
use magnolia_bench::load_simulation::{job, queue, step};
use magnolia_scheduler::{
    CellAction, EligibilityAnswer, EndKind, JobKey, JobSpec, RunEnd, ServiceName, StartOrder,
    StepSpec,
};
use magnolia_types::Millis;

/// Jobs that can't start, more than a planning pass considers.
const HOPELESS_JOBS: u64 = 200;
/// Key of the job that can start.
const SOUND_JOB: u64 = 900;
/// Number of executors in the tests of fillers.
const FILLED_EXECUTORS: usize = 2;

/// Returns a job of one step of one short task, changed by `change`.
fn changed_job(change: impl FnOnce(&mut StepSpec)) -> JobSpec {
    let mut step = step(1, 1000, 20, vec![]);
    change(&mut step);
    job(vec![step])
}

/// Submits jobs that can't start, stores them and plans after each.
fn submit_hopeless(harness: &mut SchedulerHarness, hopeless: &JobSpec) {
    for key in 1..=HOPELESS_JOBS {
        harness.submit(key, hopeless.clone());
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
    }
}

/// Checks that a job behind the hopeless ones starts.
fn check_sound_job_starts(harness: &mut SchedulerHarness) {
    harness.submit(SOUND_JOB, changed_job(|_| ()));
    harness.store_batch();
    let starts = harness.start_tasks();
    assert_eq!(starts.len(), 1, "{starts:?}");
    assert_eq!(starts[0].task.step.job, JobKey::new(SOUND_JOB));
}

/// Defines a test in which jobs whose step is changed by `$change` hold up no later job.
macro_rules! hopeless_case {
    ($(#[$meta:meta])* $name:ident, $change:expr) => {
        test_case!(
            $(#[$meta])*
            $name,
            || {
                let mut harness = SchedulerHarness::new(1, 2);
                submit_hopeless(&mut harness, &changed_job($change));
                check_sound_job_starts(&mut harness);
            }
        );
    };
}

hopeless_case!(
    /// Guards against jobs that need a label of no executor and keep all later ones from starting.
    steps_with_an_unknown_label_hold_up_no_others,
    |step: &mut StepSpec| step.label = Some("no-such-label".into())
);

hopeless_case!(
    /// Guards against the same for tasks larger than any executor.
    steps_too_large_for_any_executor_hold_up_no_others,
    |step: &mut StepSpec| step.need.cpu_millis = magnolia_types::CpuMillis::new(CAPACITY + 1)
);

hopeless_case!(
    /// Guards against the same for gangs larger than all executors together.
    gangs_too_large_for_all_executors_hold_up_no_others,
    |step: &mut StepSpec| {
        step.gang = true;
        step.tasks = 100;
    }
);

test_case!(
    /// Guards against a service without executors that holds up the queues of another service.
    steps_of_a_service_without_executors_hold_up_no_others,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let sound = Arc::clone(&harness.rules);
        let mut rules = queue("away", 2, 0, 0);
        rules.service = ServiceName::new("away").expect("valid name");
        harness.rules = Arc::new(rules);
        submit_hopeless(&mut harness, &changed_job(|_| ()));
        harness.rules = sound;
        check_sound_job_starts(&mut harness);
    }
);

test_case!(
    /// Guards against a step that stays out of the planning pass when an executor for it appears.
    steps_start_once_a_suitable_executor_is_listed,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.submit(1, changed_job(|step| step.label = Some("gpu".into())));
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        harness.scheduler.upsert_executor(entry(2, "gpu"), harness.now);
        harness.report_from_all(3);
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 1, "{starts:?}");
        assert_eq!(starts[0].executor, id(2));
    }
);

test_case!(
    /// Guards against hopeless work that counts as backlog, so that all later jobs are refused.
    hopeless_work_refuses_no_later_job,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        let wide = |label: Option<Arc<str>>| changed_job(|step| {
            step.tasks = 4;
            step.estimate = Millis::new(5000);
            step.label = label;
        });
        // The harness fails if a submission is refused.
        submit_hopeless(&mut harness, &wide(Some("no-such-label".into())));
        harness.submit(SOUND_JOB, wide(None));
    }
);

test_case!(
    /// Guards against a queue that asks for no eligibility any more once many of its steps were
    /// eligible nowhere, and against these steps holding up the others.
    steps_that_no_executor_may_run_hold_up_no_others,
    || {
        let mut harness = SchedulerHarness::new(1, 2);
        harness.require_eligibility();
        (1..=HOPELESS_JOBS).for_each(|key| harness.submit(key, changed_job(|_| ())));
        harness.store_batch();
        harness.submit(SOUND_JOB, changed_job(|_| ()));
        harness.store_batch();
        let mut asked = false;
        for _ in 0..10 {
            harness.scheduler.plan(harness.now);
            for action in harness.scheduler.take_actions() {
                let CellAction::RequestEligibility(order) = action else { continue };
                asked |= order.step.job == JobKey::new(SOUND_JOB);
                let answer = EligibilityAnswer { eligible: vec![], valid: Millis::new(2500) };
                harness.scheduler.release_eligibility_daemon(order.daemon, true);
                harness.scheduler.apply_eligibility(
                    order.step,
                    &order.executors,
                    Some(&answer),
                    harness.now,
                );
            }
            harness.advance(200);
            (0..2).for_each(|number| harness.report(number, vec![], vec![]));
        }
        assert!(asked, "the last job is never looked at");
    }
);

test_case!(
    /// Guards against a job that waits while executors are idle: more steps than a planning pass
    /// considers wait for busy executors of one kind, and it needs none of these.
    steps_that_wait_for_one_kind_of_executor_hold_up_no_others,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        let mut of_kind = entry(1, "r1-0");
        of_kind.labels = vec!["b".into(), "r1-0".into()];
        harness.scheduler.upsert_executor(of_kind, harness.now);
        harness.report_from_all(2);
        let waiting = changed_job(|step| {
            step.label = Some("b".into());
            step.need.cpu_millis = magnolia_types::CpuMillis::new(CAPACITY * 3 / 4);
        });
        let mut started = 0;
        for key in 1..=HOPELESS_JOBS {
            harness.submit(key, waiting.clone());
            harness.store_batch();
            started += harness.start_tasks().len();
        }
        assert_eq!(started, 1, "one task fits on the executor of the kind");
        // The job comes after all others, although it is smaller.
        harness.advance(30_000);
        (0..2).for_each(|number| harness.report(number, vec![], vec![]));
        harness.start_tasks();
        check_sound_job_starts(&mut harness);
    }
);

/// Returns a job of one filler task for each of [`FILLED_EXECUTORS`], which takes all its processors.
fn filler_job() -> JobSpec {
    changed_job(|step| {
        step.tasks = FILLED_EXECUTORS as u32;
        step.need.cpu_millis = magnolia_types::CpuMillis::new(CAPACITY);
        step.filler = true;
    })
}

/// Lets fillers take all processors; returns their starts.
fn fill_executors(harness: &mut SchedulerHarness) -> Vec<StartOrder> {
    harness.submit(1, filler_job());
    harness.store_batch();
    let fillers = harness.start_tasks();
    assert_eq!(fillers.len(), FILLED_EXECUTORS, "{fillers:?}");
    fillers
}

test_case!(
    /// Guards against a filler step that never starts because others once filled all processors.
    a_filler_step_starts_once_other_fillers_have_ended,
    || {
        let mut harness = SchedulerHarness::new(1, FILLED_EXECUTORS);
        let fillers = fill_executors(&mut harness);
        harness.submit(2, filler_job());
        harness.store_batch();
        assert!(harness.start_tasks().is_empty(), "no processors are left to fill");
        harness.advance(100);
        for number in 0..FILLED_EXECUTORS {
            let here = fillers.iter().filter(|start| start.executor == id(number));
            let here: Vec<&StartOrder> = here.collect();
            let ends = here.iter().zip(1..).map(|(start, number)| RunEnd {
                number,
                ..harness.run_end(start.task, start.run, EndKind::Done)
            });
            let ends = ends.collect();
            harness.report(number, vec![], ends);
        }
        assert_eq!(harness.start_tasks().len(), FILLED_EXECUTORS);
    }
);

test_case!(
    /// Guards against filler steps that wait and hold up steps that need other processors.
    filler_steps_that_wait_hold_up_no_others,
    || {
        let mut harness = SchedulerHarness::new(1, FILLED_EXECUTORS);
        let fillers = fill_executors(&mut harness);
        (2..=HOPELESS_JOBS).for_each(|key| harness.submit(key, filler_job()));
        harness.store_batch();
        assert!(harness.start_tasks().is_empty());
        // The job comes after all others, although it is smaller.
        harness.advance(30_000);
        for number in 0..FILLED_EXECUTORS {
            let here = fillers.iter().filter(|start| start.executor == id(number));
            let here = here.map(harness::running).collect();
            harness.report(number, here, vec![]);
        }
        check_sound_job_starts(&mut harness);
    }
);
