//! Routing: which executor, or which daemon that owns executors, gets a quick request.

use std::time::Duration;

/// A candidate for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendView {
    /// Index that identifies the candidate to the code that uses the chooser.
    pub index: usize,
    /// Free slots as last known.
    pub free_slots: u32,
    /// Whether the candidate is in the data centre where the choice is made.
    pub same_data_centre: bool,
    /// Smoothed round-trip time; `None` until it is measured.
    pub round_trip: Option<Duration>,
}

/// Chooses the candidate that gets a request.
pub trait RoutingChooser: Send + Sync {
    /// Returns the index of the chosen candidate, `None` when no candidate has a free slot.
    fn choose(&self, candidates: &[BackendView], random: &mut dyn rand::Rng) -> Option<usize>;
}
