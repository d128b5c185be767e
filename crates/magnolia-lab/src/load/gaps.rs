//! Intervals without placements.

use crate::history::{History, HistoryEvent};

/// Interval without placements between an owner of a partition and its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementGap {
    /// Time of the last start by the old owner.
    pub last_us: u64,
    /// Time of the first start by a later owner.
    pub first_us: u64,
}

impl PlacementGap {
    /// Returns the length of the interval in seconds.
    pub fn seconds(&self) -> f64 {
        let micros = self.first_us.saturating_sub(self.last_us);
        f64::from(u32::try_from(micros / 1000).unwrap_or(u32::MAX)) / 1000.0
    }
}

/// Measures from the last start with an epoch that was in use before `event_us`, the time of the
/// stop or failure of an owner, to the first with a higher epoch; `None` when no later owner
/// started anything.
pub fn placement_gap(history: &History, event_us: u64) -> Option<PlacementGap> {
    let starts = history.iter().filter_map(|(at_us, event)| match event {
        HistoryEvent::AttemptStarted { epoch, .. } => Some((at_us, *epoch)),
        _ => None,
    });
    let starts: Vec<_> = starts.collect();
    let before = starts.iter().filter(|(at_us, _)| *at_us <= event_us);
    let newest = before.map(|(_, epoch)| *epoch).max()?;
    let old = starts.iter().filter(|(_, epoch)| *epoch <= newest);
    let last_us = old.map(|(at_us, _)| *at_us).max()?;
    let new = starts.iter().filter(|(_, epoch)| *epoch > newest);
    let first_us = new.map(|(at_us, _)| *at_us).min()?;
    Some(PlacementGap { last_us, first_us })
}
