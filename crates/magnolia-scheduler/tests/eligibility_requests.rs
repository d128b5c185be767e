//! Tests of the steps that are asked about at the eligibility service: a request may wait for more free
//! capacity, but not for capacity that never becomes free.

mod common;
mod harness;

use common::test_case;
use harness::{SchedulerHarness, id};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{CellAction, EligibilityAnswer, JobKey, JobSpec, RunningTask};
use magnolia_types::{ExecutorId, Millis};

const EXECUTORS: usize = 8;
const STEP_MS: u64 = 50;
/// Longest time that a task may wait beside executors with room for it; a limit of the platform.
const LONGEST_WAIT: Millis = Millis::new(3000);
/// Key of the job whose task fills an executor for good.
const FILLING_JOB: u64 = 1;
/// Key of the job that waits.
const WAITING_JOB: u64 = 2;

/// A cell in which a long-running task leaves one executor without room for a task of the waiting job.
struct FullExecutor {
    harness: SchedulerHarness,
    number: usize,
    running: RunningTask,
}

impl FullExecutor {
    fn new() -> Self {
        let mut harness = SchedulerHarness::new(1, EXECUTORS);
        harness.require_eligibility();
        let mut long = step(1, 6000, 1000, vec![]);
        long.lasting = true;
        harness.submit(FILLING_JOB, job(vec![long]));
        harness.store_batch();
        let start = harness.start_tasks_as_eligible(Millis::new(2000)).remove(0);
        let number = (0..EXECUTORS).find(|number| id(*number) == start.executor);
        Self {
            harness,
            number: number.expect("an executor of the cell"),
            running: RunningTask {
                percent: 100,
                ..harness::running(&start)
            },
        }
    }

    fn submit(&mut self, spec: JobSpec) {
        self.harness.submit(WAITING_JOB, spec);
        self.harness.store_batch();
    }

    /// Lets all executors report and returns the executors that requests for the job name. These are
    /// answered: no executor is eligible.
    fn requests_of(&mut self, key: u64) -> Vec<ExecutorId> {
        for number in 0..EXECUTORS {
            let mut runs = vec![self.running.clone()];
            runs.retain(|_| number == self.number);
            self.harness.report(number, runs, vec![]);
        }
        let (scheduler, now) = (&mut self.harness.scheduler, self.harness.now);
        scheduler.plan(now);
        let mut named = Vec::new();
        for action in scheduler.take_actions() {
            let CellAction::RequestEligibility(order) = action else {
                continue;
            };
            let answer = EligibilityAnswer {
                eligible: vec![],
                valid: Millis::new(2000),
            };
            scheduler.release_eligibility_daemon(order.daemon, true);
            scheduler.apply_eligibility(order.step, &order.executors, Some(&answer), now);
            if order.step.job == JobKey::new(key) {
                named.extend(order.executors);
            }
        }
        named
    }

    /// Returns how long the waiting job was not asked about; none if it was not within `LONGEST_WAIT`.
    fn time_to_request(&mut self) -> Option<Millis> {
        let since = self.harness.now;
        loop {
            let waited = self.harness.now.saturating_sub(since);
            if waited >= LONGEST_WAIT {
                return None;
            }
            if !self.requests_of(WAITING_JOB).is_empty() {
                return Some(waited);
            }
            self.harness.advance(STEP_MS);
        }
    }
}

/// Defines a test in which a job is asked about although one executor stays full.
macro_rules! asked_case {
    ($(#[$meta:meta])* $name:ident, $prepare:expr, $step:expr) => {
        test_case!(
            $(#[$meta])*
            $name,
            || {
                let mut cell = FullExecutor::new();
                let prepare: fn(&mut FullExecutor) = $prepare;
                prepare(&mut cell);
                cell.submit(job(vec![$step]));
                let waited = cell.time_to_request();
                assert!(waited.is_some(), "not asked about for {LONGEST_WAIT}");
            }
        );
    };
}

asked_case!(
    /// Guards against a step that is too wide for the room that is left, and is never asked about.
    a_wide_step_is_asked_about_beside_a_full_executor,
    |_| (),
    step(64, 3000, 3800, vec![])
);

asked_case!(
    /// Guards against the same for a gang that fits only if more executors are eligible than expected.
    a_gang_is_asked_about_beside_a_full_executor,
    |_| (),
    {
        let mut gang = step(12, 3000, 3800, vec![]);
        gang.gang = true;
        gang
    }
);

asked_case!(
    /// Guards against the same for a single task of a queue most of whose steps were eligible nowhere.
    a_task_of_a_queue_that_is_seldom_eligible_is_asked_about_beside_a_full_executor,
    |cell| {
        for key in 100..140 {
            cell.harness.submit(key, job(vec![step(1, 3000, 3800, vec![])]));
            cell.harness.store_batch();
            let asked = (0..40).any(|_| {
                cell.harness.advance(STEP_MS);
                !cell.requests_of(key).is_empty()
            });
            assert!(asked, "job {key} is not asked about");
        }
    },
    step(1, 3000, 3800, vec![])
);

test_case!(
    /// Guards against requests for a gang that can't start, whichever executors are eligible.
    a_gang_without_room_is_not_asked_about,
    || {
        let mut cell = FullExecutor::new();
        let mut gang = step(15, 3000, 3800, vec![]);
        gang.gang = true;
        cell.submit(job(vec![gang]));
        assert_eq!(cell.time_to_request(), None);
    }
);

test_case!(
    /// Guards against requests at every small change of what is free.
    a_request_for_few_tasks_waits,
    || {
        let mut cell = FullExecutor::new();
        cell.submit(job(vec![step(64, 3000, 3800, vec![])]));
        assert!(cell.time_to_request().is_some_and(|waited| waited > Millis::new(0)));
    }
);
