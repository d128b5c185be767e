//! State of this daemon as an entry for quick requests: the load of each executor group, estimated
//! from the replies of its owner, and the number of requests in flight.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use magnolia_state::RetryBudget;
use magnolia_types::{Millis, UnitId};

/// Maximum number of quick requests in flight at one entry.
const MAX_IN_FLIGHT: usize = 8192;
/// Age above which a reply that reported no free slots counts as one free slot, so that the group
/// is tried again.
const NO_SLOTS_LIFETIME: Millis = Millis::new(100);
/// Time since the last request to a group after which its unanswered requests no longer count as
/// held slots. Without this limit, a group whose replies were lost would not be chosen again.
const UNANSWERED_LIFETIME: Millis = Millis::from_secs(1);
/// Minimum delay of a hedge.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(50);
/// Delay of a hedge as a multiple of the smoothed round-trip time.
const HEDGE_MULTIPLE: u32 = 5;
/// A new sample has the weight 1 / `SMOOTHING_DIVISOR` in the smoothed round-trip time.
const SMOOTHING_DIVISOR: u32 = 8;

/// What this entry knows of one group.
#[derive(Default)]
struct GroupEstimate {
    /// Number of free slots in the last reply of the owner, and when the reply was received.
    advertised: Option<(u32, Millis)>,
    /// Number of requests that this entry has sent since that reply.
    sent_since: u32,
    /// When the last request was sent.
    last_sent: Millis,
    /// Smoothed round-trip time of successful requests.
    smoothed_round_trip: Option<Duration>,
    /// Budget of retries and hedges after attempts at this group.
    budget: RetryBudget,
}

/// State of this daemon as an entry for quick requests.
pub struct EntryState {
    groups: Mutex<BTreeMap<UnitId, GroupEstimate>>,
    in_flight: AtomicUsize,
}

/// Counts a request as in flight at this entry until it is dropped.
pub struct EntryPermit<'a> {
    state: &'a EntryState,
}

impl Drop for EntryPermit<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

impl EntryState {
    /// Creates a state without groups.
    pub fn new() -> Self {
        Self {
            groups: Mutex::default(),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Admits a request, unless too many are in flight at this entry.
    pub fn admit(&self) -> Option<EntryPermit<'_>> {
        // Without admission, dropping the permit takes the request off the count again.
        let permit = EntryPermit { state: self };
        let before = self.in_flight.fetch_add(1, Ordering::SeqCst);
        (before < MAX_IN_FLIGHT).then_some(permit)
    }

    /// Records that an attempt is being sent to the owner of a group. `is_first` tells whether it
    /// is the first attempt of its request, which adds to the retry budget.
    pub fn record_sent(&self, unit: &UnitId, is_first: bool, now: Millis) {
        let mut groups = self.lock();
        let group = groups.entry(unit.clone()).or_default();
        group.sent_since = group.sent_since.saturating_add(1);
        group.last_sent = now;
        if is_first {
            group.budget.record_request();
        }
    }

    /// Records a reply of the owner of a group, with the round-trip time if the request succeeded.
    pub fn record_reply(
        &self,
        unit: &UnitId,
        free_slots: u32,
        round_trip: Option<Duration>,
        now: Millis,
    ) {
        let mut groups = self.lock();
        let group = groups.entry(unit.clone()).or_default();
        group.advertised = Some((free_slots, now));
        group.sent_since = 0;
        if let Some(round_trip) = round_trip {
            let smoothed =
                |time: Duration| (time * (SMOOTHING_DIVISOR - 1) + round_trip) / SMOOTHING_DIVISOR;
            group.smoothed_round_trip =
                Some(group.smoothed_round_trip.map_or(round_trip, smoothed));
        }
    }

    /// Takes one retry from the budget of a group; returns `false` if the budget is exhausted.
    pub fn try_retry(&self, unit: &UnitId) -> bool {
        self.lock()
            .entry(unit.clone())
            .or_default()
            .budget
            .try_retry()
    }

    /// Returns the estimated number of free slots of a group, based on `initial` until its owner
    /// has replied once.
    pub fn free_slots(&self, unit: &UnitId, initial: u32, now: Millis) -> u32 {
        let groups = self.lock();
        let Some(group) = groups.get(unit) else {
            return initial;
        };
        let advertised = group.advertised.map_or(initial, |(free, at)| {
            let is_outdated = now.saturating_sub(at) > NO_SLOTS_LIFETIME;
            if is_outdated { free.max(1) } else { free }
        });
        let has_expired = now.saturating_sub(group.last_sent) > UNANSWERED_LIFETIME;
        advertised.saturating_sub(if has_expired { 0 } else { group.sent_since })
    }

    /// Returns the smoothed round-trip time of successful requests to a group.
    pub fn round_trip(&self, unit: &UnitId) -> Option<Duration> {
        self.lock().get(unit)?.smoothed_round_trip
    }

    /// Returns the time after which an unanswered request to a group is hedged.
    pub fn hedge_delay(&self, unit: &UnitId) -> Duration {
        let time = self.round_trip(unit).unwrap_or_default();
        (time * HEDGE_MULTIPLE).max(MIN_HEDGE_DELAY)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UnitId, GroupEstimate>> {
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
