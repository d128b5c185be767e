//! Strategies for choosing among executors, or among the daemons that own executors.

use rand::RngExt;

use crate::{BackendView, RoutingChooser};

/// Round-trip times of up to `lowest + lowest / NOISE_DIVISOR` count as equal to the lowest.
const NOISE_DIVISOR: u32 = 10;

/// Baseline: chooses uniformly at random among the candidates with free slots.
#[derive(Clone, Copy, Debug, Default)]
pub struct RandomChooser;

impl RandomChooser {
    /// Creates the chooser.
    pub const fn new() -> Self {
        Self
    }
}

impl RoutingChooser for RandomChooser {
    fn choose(&self, candidates: &[BackendView], random: &mut dyn rand::Rng) -> Option<usize> {
        draw(candidates, random, |backend| backend.free_slots > 0).map(|backend| backend.index)
    }
}

/// Picks one of the candidates that pass `filter` uniformly at random.
fn draw<'a>(
    candidates: &'a [BackendView],
    random: &mut dyn rand::Rng,
    filter: impl Fn(&BackendView) -> bool,
) -> Option<&'a BackendView> {
    let count = candidates.iter().filter(|backend| filter(backend)).count();
    if count == 0 {
        return None;
    }
    let drawn = random.random_range(0..count);
    candidates
        .iter()
        .filter(|backend| filter(backend))
        .nth(drawn)
}

/// Power of two choices: samples two candidates and takes the one with more free slots.
///
/// Candidates in other data centres are considered only when none in the same one has a free slot.
#[derive(Clone, Copy, Debug, Default)]
pub struct TwoChoiceChooser;

impl TwoChoiceChooser {
    /// Creates the chooser.
    pub const fn new() -> Self {
        Self
    }
}

impl RoutingChooser for TwoChoiceChooser {
    fn choose(&self, candidates: &[BackendView], random: &mut dyn rand::Rng) -> Option<usize> {
        let near = |backend: &BackendView| backend.free_slots > 0 && backend.same_data_centre;
        let any = |backend: &BackendView| backend.free_slots > 0;
        let first = draw(candidates, random, near).or_else(|| draw(candidates, random, any))?;
        let second = draw(candidates, random, |backend| {
            any(backend)
                && backend.same_data_centre == first.same_data_centre
                && backend.index != first.index
        });
        let best = second
            .filter(|second| second.free_slots > first.free_slots)
            .unwrap_or(first);
        Some(best.index)
    }
}

/// Chooses a candidate with the lowest smoothed round-trip time, unmeasured candidates first.
///
/// The idea of choosing by estimated round-trip time is taken from "Proxima: Towards Lightweight
/// and Flexible Anycast Service"; docs/POLICY.md has the comparison.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTripChooser;

impl RoundTripChooser {
    /// Creates the chooser.
    pub const fn new() -> Self {
        Self
    }
}

impl RoutingChooser for RoundTripChooser {
    fn choose(&self, candidates: &[BackendView], random: &mut dyn rand::Rng) -> Option<usize> {
        let available = candidates.iter().filter(|backend| backend.free_slots > 0);
        let least = available.map(|backend| backend.round_trip).min()?;
        let is_least = |backend: &BackendView| {
            backend.free_slots > 0
                && match (backend.round_trip, least) {
                    // A difference this small is measurement noise.
                    (Some(time), Some(least)) => time <= least + least / NOISE_DIVISOR,
                    (time, least) => time == least,
                }
        };
        draw(candidates, random, is_least).map(|backend| backend.index)
    }
}
