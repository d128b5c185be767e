//! Ways to choose among executors or owners of executors.

use rand::RngExt;

use crate::{BackendView, RoutingChooser};

/// Baseline: any candidate with room, each with the same chance.
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

/// Draws one of the candidates that pass `filter`, each with the same chance.
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

/// Two random choices by free slots, candidates of the same data centre first.
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
        let near = |backend: &BackendView| backend.free_slots > 0 && backend.same_centre;
        let any = |backend: &BackendView| backend.free_slots > 0;
        let first = draw(candidates, random, near).or_else(|| draw(candidates, random, any))?;
        let second = draw(candidates, random, |backend| {
            any(backend) && backend.same_centre == first.same_centre && backend.index != first.index
        });
        let best = second
            .filter(|second| second.free_slots > first.free_slots)
            .unwrap_or(first);
        Some(best.index)
    }
}
