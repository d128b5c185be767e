//! Which executor, or which owner of executors, gets a quick request.

use std::time::Duration;

/// A candidate for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackendView {
    /// Index by which the caller knows the candidate.
    pub index: usize,
    /// Free slots as last known.
    pub free_slots: u32,
    /// Whether the candidate is in the data centre of the chooser.
    pub same_data_centre: bool,
    /// Smoothed round-trip time, once measured.
    pub round_trip: Option<Duration>,
}

/// Chooses among candidates.
pub trait RoutingChooser: Send + Sync {
    /// Returns the index of the chosen candidate, `None` when there is none with room.
    fn choose(&self, candidates: &[BackendView], random: &mut dyn rand::Rng) -> Option<usize>;
}
