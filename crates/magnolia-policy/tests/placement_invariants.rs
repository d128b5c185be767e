//! Invariants of both engines under generated interleavings.

mod common;

use common::{Harness, document, spec, worker};
use magnolia_policy::{TaskEnd, WorkerCondition, new_engine};
use magnolia_types::{AttemptId, JobKind, ResourceVector};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const WORKERS: usize = 6;

/// One step of a generated history; `run_history` names the generated numbers.
#[derive(Clone, Debug)]
enum Step {
    Submit(u8, u8, u8, u8, bool),
    Decide(u16, bool),
    End(u8, u8),
    Withdraw(u8),
    Condition(u8, u8),
    Usage(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut byte = || u8::arbitrary(g);
        match byte() % 12 {
            0..=3 => Self::Submit(byte(), byte(), byte(), byte(), byte() % 2 == 0),
            4..=7 => Self::Decide(u16::from(byte()) * 20, byte() % 8 != 0),
            8..=9 => Self::End(byte(), byte()),
            10 => Self::Withdraw(byte()),
            _ if byte() % 2 == 0 => Self::Condition(byte(), byte()),
            _ => Self::Usage(byte(), byte()),
        }
    }
}

fn nth_attempt(harness: &Harness, number: u8) -> Option<AttemptId> {
    let count = harness.running.len();
    let mut attempts = harness.running.keys();
    attempts.nth(usize::from(number) % count.max(1)).cloned()
}

fn run_history(rules: &str, steps: &[Step]) -> bool {
    let engine = new_engine(&document(rules));
    let mut harness = Harness::new(engine);
    for index in 0..WORKERS {
        let accelerators = if index.is_multiple_of(3) { 2 } else { 0 };
        harness.upsert(worker(
            index,
            ResourceVector::new(8000, 16_384, accelerators),
        ));
    }
    let mut jobs = Vec::new();
    for step in steps {
        match *step {
            Step::Submit(class, kind, tasks, size, repeatable) => {
                let class = ["batch", "service", "urgent"][usize::from(class) % 3];
                let kind = [JobKind::Batch, JobKind::Service, JobKind::Gang][usize::from(kind) % 3];
                let size = u64::from(size);
                let accelerators = u32::from(size % 5 == 0);
                let resources = ResourceVector::new(size * 32, (255 - size) * 64, accelerators);
                let mut spec = spec(class, kind, u32::from(tasks % 6) + 1, resources);
                spec.repeatable = repeatable;
                jobs.push(harness.submit(&jobs.len().to_string(), spec));
            }
            Step::Decide(millis, accept) => {
                harness.now = harness.now.saturating_add(u64::from(millis).into_millis());
                if accept {
                    harness.report_refused();
                }
                let decisions = harness.engine.decide(harness.now, 7);
                decisions
                    .into_iter()
                    .for_each(|decision| harness.apply(decision, accept));
            }
            Step::End(number, end) => {
                let ends = [TaskEnd::Succeeded, TaskEnd::Failed, TaskEnd::Interrupted];
                if let Some(attempt) = nth_attempt(&harness, number) {
                    harness.end(&attempt, ends[usize::from(end) % 3]);
                }
            }
            Step::Withdraw(number) => {
                if let Some(job) = jobs.get(usize::from(number) % jobs.len().max(1)).cloned() {
                    harness.withdraw(&[job]);
                }
            }
            Step::Condition(index, condition) => {
                let index = usize::from(index) % WORKERS;
                let accelerators = if index.is_multiple_of(3) { 2 } else { 0 };
                let mut view = worker(index, ResourceVector::new(8000, 16_384, accelerators));
                view.condition = [
                    WorkerCondition::Usable,
                    WorkerCondition::Unavailable,
                    WorkerCondition::Leaving,
                ][usize::from(condition) % 3];
                harness.upsert(view);
            }
            Step::Usage(number, share) => {
                if let Some(attempt) = nth_attempt(&harness, number) {
                    let share = u64::from(share) * 32;
                    let usage = ResourceVector::new(share, share, 0);
                    harness.engine.observe_usage(&attempt, usage);
                }
            }
        }
    }
    true
}

trait IntoMillis {
    fn into_millis(self) -> magnolia_types::Millis;
}

impl IntoMillis for u64 {
    fn into_millis(self) -> magnolia_types::Millis {
        magnolia_types::Millis::new(self)
    }
}

macro_rules! history_case {
    ($(#[$meta:meta])* $name:ident, $rules:literal) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            fn property(steps: Vec<Step>) -> bool {
                run_history($rules, &steps)
            }
            QuickCheck::new()
                .rng(Gen::from_size_and_seed(300, 1))
                .tests(300)
                .quickcheck(property as fn(Vec<Step>) -> bool);
        }
    };
}

history_case!(
    /// Guards against overcommitted workers, split gangs, double starts and starts after a cancel.
    scored_keeps_its_invariants,
    "placement = \"scored\"\nheadroom_percent = 5"
);
history_case!(
    /// Guards against the same faults with the shortest jobs first and without headroom.
    waiting_time_rules_keep_the_invariants,
    "packing_weight = 0\nheadroom_percent = 0"
);
history_case!(
    /// Guards against the same faults in the baseline, so that comparisons are fair.
    first_fit_keeps_its_invariants,
    "placement = \"first_fit\""
);
