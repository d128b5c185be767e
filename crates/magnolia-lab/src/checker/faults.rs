//! Intervals in which faults were in force.

use std::collections::HashMap;
use std::sync::Arc;

use crate::history::{History, HistoryEvent};

/// Time after a kill in which other daemons may still send to the killed one. They claim its
/// executor groups after their probes have failed for 3 s, and read the claim back from the log.
const KILL_WINDOW_US: u64 = 5_000_000;

/// Intervals in which a fault other than a planned stop was in force.
pub struct FaultWindows {
    windows: Vec<(u64, u64)>,
}

impl FaultWindows {
    /// Collects the intervals of injected faults, pauses, and takeovers after kills.
    pub fn new(history: &History) -> Self {
        let mut open: HashMap<Arc<str>, u64> = HashMap::new();
        let mut windows = Vec::new();
        for (at_us, event) in history.iter() {
            match event {
                HistoryEvent::FaultSet { party, .. }
                | HistoryEvent::DaemonPaused { daemon: party } => {
                    open.entry(Arc::clone(party)).or_insert(at_us);
                }
                HistoryEvent::FaultCleared { party }
                | HistoryEvent::DaemonResumed { daemon: party } => {
                    windows.extend(open.remove(party).map(|since| (since, at_us)));
                }
                HistoryEvent::DaemonKilled { .. } => {
                    windows.push((at_us, at_us.saturating_add(KILL_WINDOW_US)));
                }
                _ => {}
            }
        }
        windows.extend(open.into_values().map(|since| (since, u64::MAX)));
        Self { windows }
    }

    /// Returns whether a fault was in force at any time of an interval.
    pub fn overlap(&self, from_us: u64, until_us: u64) -> bool {
        self.windows
            .iter()
            .any(|(since, until)| *since <= until_us && from_us <= *until)
    }
}
