//! The takeover rules under generated interleavings.
//!
//! Steps deliver, drop, duplicate and delay messages, pause and end the first owner, restart
//! workers and let a second owner claim the partition. After every step, each task must have at
//! most one running attempt. The same steps must find a violation when one part of the rules is
//! left out.

mod takeover_model;

use quickcheck::{QuickCheck, quickcheck};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};

use takeover_model::{TakeoverModel, Variant};

/// Number of steps in a generated run.
const RUN_STEPS: usize = 150;
/// Number of seeds that are tried per variant.
const SEEDS: u64 = 20_000;

fn generated_steps(seed: u64) -> Vec<(u8, u8, u8)> {
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
    (0..SEEDS).find(|seed| !holds(variant, &generated_steps(*seed)))
}

/// Guards against an interleaving in which a task runs twice at the same time under the complete
/// rules.
#[test]
fn no_task_runs_in_two_places() {
    assert_eq!(first_violation(Variant::Complete), None);
}

quickcheck! {
    /// Guards against the same failure, with runs that quickcheck generates and can shrink.
    fn no_task_runs_in_two_places_in_shrinkable_runs(steps: Vec<(u8, u8, u8)>) -> bool {
        holds(Variant::Complete, &steps)
    }
}

/// Checks that the model finds a violation when one part of the rules is left out.
macro_rules! broken_variant {
    ($name:ident, $variant:expr) => {
        #[test]
        fn $name() {
            let seed = first_violation($variant);
            assert!(seed.is_some(), "no violation found for {:?}", $variant);
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

/// Guards against generated runs that never reach a takeover, so that quickcheck would pass without
/// testing it.
#[test]
fn quickcheck_runs_reach_violations_of_broken_rules() {
    fn property(seed: u64) -> bool {
        holds(Variant::NoFence, &generated_steps(seed))
    }
    let result = QuickCheck::new()
        .tests(20_000)
        .quicktest(property as fn(u64) -> bool);
    assert!(result.is_err());
}
