//! The takeover rule under generated interleavings.
//!
//! Steps deliver, drop, repeat and delay messages, pause and end the first owner, restart workers
//! and let a second owner claim. After every step each task runs in at most one place. The rules
//! without one of their parts have to be found out by the same steps.

mod takeover_model;

use quickcheck::{QuickCheck, quickcheck};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use takeover_model::{TakeoverModel, Variant};

/// Steps of one generated run.
const RUN_STEPS: usize = 150;
/// Seeds tried per variant.
const SEEDS: u64 = 20_000;

fn generated(seed: u64) -> Vec<(u8, u8, u8)> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut bytes = vec![0; RUN_STEPS * 3];
    random.fill_bytes(&mut bytes);
    bytes
        .chunks(3)
        .map(|step| (step[0], step[1], step[2]))
        .collect()
}

fn holds(variant: Variant, steps: &[(u8, u8, u8)]) -> bool {
    let mut model = TakeoverModel::new(variant);
    steps.iter().all(|step| model.step(*step))
}

fn first_violation(variant: Variant) -> Option<u64> {
    (0..SEEDS).find(|seed| !holds(variant, &generated(*seed)))
}

/// Guards against any interleaving that runs a task in two places under the complete rules.
#[test]
fn no_task_runs_in_two_places() {
    assert_eq!(first_violation(Variant::Complete), None);
}

quickcheck! {
    /// Guards against the same, with runs that quickcheck generates and shrinks.
    fn no_task_runs_in_two_places_in_shrinkable_runs(steps: Vec<(u8, u8, u8)>) -> bool {
        holds(Variant::Complete, &steps)
    }
}

/// Guards against a check that cannot fail: each part of the rules is needed.
macro_rules! broken_variant {
    ($name:ident, $variant:expr) => {
        #[test]
        fn $name() {
            let seed = first_violation($variant);
            assert!(seed.is_some(), "{:?} went unnoticed", $variant);
        }
    };
}

broken_variant!(a_missing_fence_is_found, Variant::NoFence);
broken_variant!(a_lease_from_arrival_is_found, Variant::LeaseFromArrival);
broken_variant!(
    a_missing_wait_after_proof_is_found,
    Variant::NoWaitAfterProof
);
broken_variant!(fencing_only_the_target_is_found, Variant::TargetOnly);

/// Guards against steps so tame that quickcheck's own generator never reaches a takeover.
#[test]
fn quickcheck_runs_reach_violations_of_broken_rules() {
    fn property(seed: u64) -> bool {
        holds(Variant::NoFence, &generated(seed))
    }
    let result = QuickCheck::new()
        .tests(20_000)
        .quicktest(property as fn(u64) -> bool);
    assert!(result.is_err());
}
