//! What an entry knows of the executor groups of the cell.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_state::RetryBudget;
use magnolia_types::{Millis, UnitId};

/// Most requests in flight at one entry.
const MAX_IN_FLIGHT: usize = 8192;
/// Age of an advertised number of free slots after which a group without any is tried again.
const FULL_LIFETIME: Millis = Millis::new(100);
/// Time after which requests without a reply no longer count against a group; without this limit,
/// a group whose replies were lost once would not be chosen again.
const SENT_LIFETIME: Millis = Millis::from_secs(1);
/// Shortest time until a hedge is sent.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Smoothed times of a request after which a hedge is sent.
const HEDGE_FACTOR: u32 = 5;
/// Weight of a new time in the smoothed one, as a divisor.
const SMOOTHING: u32 = 8;

/// One group as an entry knows it.
#[derive(Default)]
struct GroupEntry {
    /// Free slots as the owner last said, and when.
    advertised: Option<(u32, Millis)>,
    /// Requests that this entry has sent since then.
    sent_since: u32,
    /// When the last of them was sent.
    last_sent: Millis,
    /// Smoothed time of a request.
    time: Option<Duration>,
    budget: RetryBudget,
}

/// What an entry knows of all groups.
pub struct EntryView {
    groups: Mutex<BTreeMap<UnitId, GroupEntry>>,
    in_flight: AtomicUsize,
}

/// A request in flight at this entry.
pub struct EntryPermit<'a> {
    view: &'a EntryView,
}

impl Drop for EntryPermit<'_> {
    fn drop(&mut self) {
        self.view.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EntryView {
    /// Creates a view without groups.
    pub fn new() -> Self {
        Self {
            groups: Mutex::default(),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Admits a request to this entry, unless too many are in flight.
    pub fn admit(&self) -> Option<EntryPermit<'_>> {
        let permit = EntryPermit { view: self };
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        (before < MAX_IN_FLIGHT).then_some(permit)
    }

    /// Records that a request goes to the owner of a group.
    pub fn record_sent(&self, unit: &UnitId, is_first: bool, now: Millis) {
        let mut groups = self.lock();
        let entry = groups.entry(unit.clone()).or_default();
        entry.sent_since = entry.sent_since.saturating_add(1);
        entry.last_sent = now;
        if is_first {
            entry.budget.record_request();
        }
    }

    /// Records what the owner of a group said.
    pub fn record(&self, unit: &UnitId, free_slots: u32, took: Option<Duration>, now: Millis) {
        let mut groups = self.lock();
        let entry = groups.entry(unit.clone()).or_default();
        entry.advertised = Some((free_slots, now));
        entry.sent_since = 0;
        if let Some(took) = took {
            let smoothed = |time: Duration| (time * (SMOOTHING - 1) + took) / SMOOTHING;
            entry.time = Some(entry.time.map_or(took, smoothed));
        }
    }

    /// Takes one retry after a failure of the owner of a group.
    pub fn try_retry(&self, unit: &UnitId) -> bool {
        self.lock()
            .entry(unit.clone())
            .or_default()
            .budget
            .try_retry()
    }

    /// Returns the estimated free slots of a group; `initial` before its owner has said anything.
    pub fn free_slots(&self, unit: &UnitId, initial: u32, now: Millis) -> u32 {
        let groups = self.lock();
        let Some(entry) = groups.get(unit) else {
            return initial;
        };
        let advertised = entry.advertised.map_or(initial, |(free, at)| {
            let outdated = now.saturating_sub(at) > FULL_LIFETIME;
            if outdated { free.max(1) } else { free }
        });
        let unanswered = now.saturating_sub(entry.last_sent) > SENT_LIFETIME;
        advertised.saturating_sub(if unanswered { 0 } else { entry.sent_since })
    }

    /// Returns the smoothed time of a request to a group.
    pub fn round_trip(&self, unit: &UnitId) -> Option<Duration> {
        self.lock().get(unit)?.time
    }

    /// Returns the time after which a request without an answer is hedged.
    pub fn hedge_delay(&self, unit: &UnitId) -> Duration {
        let time = self.round_trip(unit).unwrap_or_default();
        (time * HEDGE_FACTOR).max(MIN_HEDGE_DELAY)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UnitId, GroupEntry>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
