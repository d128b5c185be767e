//! Property tests whose inputs are the same on every run.

use quickcheck::{Gen, QuickCheck};

/// Environment variable with the seed of the inputs: a number, or `random` for new inputs.
const SEED_VARIABLE: &str = "PROPERTY_SEED";
/// Seed without that variable.
const DEFAULT_SEED: u64 = 1;
/// Size of the inputs, as quickcheck's default.
const INPUT_SIZE: usize = 100;

/// Creates a property test of `inputs` inputs. Its seed is printed, so that a failure can be played
/// again.
pub fn property_test(inputs: u64) -> QuickCheck {
    let seed = match std::env::var(SEED_VARIABLE) {
        Ok(text) if text == "random" => rand::random(),
        Ok(text) => text.parse().unwrap_or_else(|error| {
            eprintln!("{SEED_VARIABLE}={text}: {error}; the default seed is used");
            DEFAULT_SEED
        }),
        Err(_) => DEFAULT_SEED,
    };
    eprintln!("{SEED_VARIABLE}={seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(INPUT_SIZE, seed))
        .tests(inputs)
}
