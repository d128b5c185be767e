//! The claims as this daemon knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_backing::LogPage;
use magnolia_protocol::{SupersededClaim, decode};
use magnolia_state::{ClaimChange, ClaimRecord, ClaimTable, ClaimVerdict};
use magnolia_types::{DaemonId, Epoch, Incarnation, LogOffset, Millis, UnitId};
use tokio::sync::{Notify, watch};

/// Stream of claims.
pub const CLAIM_STREAM: &str = "claims";

/// Known claims, with a signal for each change.
pub struct KnownClaims {
    state: Mutex<ClaimState>,
    changes: watch::Sender<u64>,
    /// Wakes the task that fetches claims from peers that know newer ones.
    pub newer_claims_reported: Notify,
    /// Held while a confirmation is under way that other requests wait for.
    pub confirming: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct ClaimState {
    table: ClaimTable,
    /// Offset of the next record to apply.
    next: LogOffset,
    /// Whether all records known to the log at the last reading were applied.
    caught_up: bool,
    /// Last holder of each unit before the current one.
    replaced: BTreeMap<UnitId, (DaemonId, Incarnation)>,
    /// Highest epoch that a peer named as superseding a claim of this daemon.
    superseded: BTreeMap<UnitId, Epoch>,
    /// Peers that named such epochs and were not asked for their claims yet.
    informed: Vec<SocketAddr>,
    /// When this daemon last asked a question whose answer showed its claims to be current.
    confirmed: Option<Millis>,
    /// Units released by their owners with the epoch of the release.
    released: BTreeMap<UnitId, Epoch>,
    /// Whether the last reading of the log worked.
    log_healthy: bool,
}

impl KnownClaims {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self {
            state: Mutex::default(),
            changes: watch::Sender::new(0),
            newer_claims_reported: Notify::new(),
            confirming: tokio::sync::Mutex::const_new(()),
        }
    }

    /// Returns the current claim of a unit.
    pub fn get(&self, unit: &UnitId) -> Option<ClaimRecord> {
        self.with_table(|table| table.get(unit).cloned())
    }

    /// Runs `read` on the table.
    pub fn with_table<T>(&self, read: impl FnOnce(&ClaimTable) -> T) -> T {
        read(&self.state().table)
    }

    /// Returns a receiver that is marked at each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.state().next
    }

    /// Tells whether the stream was read to its end at least once.
    pub fn is_caught_up(&self) -> bool {
        self.state().caught_up
    }

    /// Tells whether the last reading of the log worked.
    pub fn is_log_healthy(&self) -> bool {
        self.state().log_healthy
    }

    /// Records whether a reading of the log worked.
    pub fn record_log_health(&self, healthy: bool) {
        self.state().log_healthy = healthy;
    }

    /// Applies a page of the stream; records applied before are passed over.
    ///
    /// Returns the number of torn or foreign records.
    pub fn apply_page(&self, page: &LogPage) -> u64 {
        let mut skipped = 0;
        let mut changed = false;
        let mut state = self.state();
        if page.first > state.next {
            state.table.mark_trimmed();
            state.next = page.first;
        }
        for record in &page.records {
            if record.offset < state.next {
                continue;
            }
            state.next = record.offset.saturating_add(LogOffset::new(1));
            match decode::<ClaimChange>(&record.data) {
                Ok(change) => changed |= state.apply(&change),
                Err(_) => skipped += 1,
            }
        }
        state.caught_up = state.next >= page.next;
        drop(state);
        self.signal(changed);
        skipped
    }

    /// Takes over claims of a peer that are newer than the known ones.
    pub fn merge(&self, claims: &[ClaimRecord]) {
        let mut state = self.state();
        let mut changed = false;
        for claim in claims {
            let known = state.table.get(&claim.unit).map(|known| known.epoch);
            if known.is_none_or(|known| known < claim.epoch) {
                // The peer read the claim back as the winner, as a restatement says.
                changed |= state.apply(&ClaimChange::Restate(claim.clone()));
            }
        }
        drop(state);
        self.signal(changed);
    }

    /// Returns the address in the newest claim of a daemon.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let state = self.state();
        let found = state.table.iter().find(|claim| claim.daemon == *daemon);
        found.map(|claim| claim.address)
    }

    /// Returns the units that runs of a daemon held before their current claim, with those runs.
    pub fn lost_by(&self, daemon: &DaemonId) -> Vec<(Incarnation, SupersededClaim)> {
        let state = self.state();
        let lost = state
            .replaced
            .iter()
            .filter(|(_, holder)| holder.0 == *daemon);
        let superseded = lost.filter_map(|(unit, (_, run))| {
            let epoch = state.table.get(unit)?.epoch;
            let unit = unit.clone();
            Some((*run, SupersededClaim { unit, epoch }))
        });
        superseded.collect()
    }

    /// Tells whether a peer names an epoch that this daemon has not read yet.
    pub fn names_newer(&self, superseded: &[SupersededClaim]) -> bool {
        let state = self.state();
        superseded.iter().any(|named| {
            let known = state.table.get(&named.unit);
            known.is_none_or(|known| known.epoch < named.epoch)
        })
    }

    /// Records that a peer knows a claim of this daemon to be replaced.
    pub fn record_superseded(&self, unit: &UnitId, epoch: Epoch, peer: SocketAddr) {
        let mut state = self.state();
        let known = state.table.get(unit).map(|claim| claim.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        let highest = state.superseded.entry(unit.clone()).or_insert(epoch);
        *highest = epoch.max(*highest);
        state.informed.push(peer);
        drop(state);
        self.newer_claims_reported.notify_one();
        self.signal(true);
    }

    /// Returns the peers to ask for their claims.
    pub fn take_informed(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.state().informed)
    }

    /// Returns the epoch by which a peer said that the claim of a unit is superseded.
    pub fn superseded_by(&self, unit: &UnitId) -> Option<Epoch> {
        self.state().superseded.get(unit).copied()
    }

    /// Tells whether `claim` is the current one as far as this daemon knows.
    pub fn is_current(&self, claim: &ClaimRecord) -> bool {
        let state = self.state();
        let named = state.superseded.get(&claim.unit);
        state.table.get(&claim.unit) == Some(claim)
            && named.is_none_or(|named| *named <= claim.epoch)
    }

    /// Records that the log or a peer, asked at `asked`, knows no newer claims.
    pub fn record_confirmation(&self, asked: Millis) {
        let mut state = self.state();
        state.confirmed = state.confirmed.max(Some(asked));
    }

    /// Forgets that the claims were confirmed.
    pub fn forget_confirmation(&self) {
        self.state().confirmed = None;
    }

    /// Returns when the question was asked that last showed the claims to be current.
    pub fn last_confirmation(&self) -> Option<Millis> {
        self.state().confirmed
    }

    /// Records that the owner of a unit at `epoch` has stopped for good.
    pub fn record_release(&self, unit: &UnitId, epoch: Epoch) {
        self.state().released.insert(unit.clone(), epoch);
        self.signal(true);
    }

    /// Tells whether the owner under this claim has stopped for good.
    pub fn is_released(&self, claim: &ClaimRecord) -> bool {
        let state = self.state();
        let released = state.released.get(&claim.unit);
        released.is_some_and(|epoch| *epoch >= claim.epoch)
    }

    fn signal(&self, changed: bool) {
        if changed {
            self.changes.send_modify(|count| *count += 1);
        }
    }

    fn state(&self) -> MutexGuard<'_, ClaimState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ClaimState {
    /// Applies one change; `true` when it changed the owner of a unit.
    fn apply(&mut self, change: &ClaimChange) -> bool {
        let (ClaimChange::Claim(claim) | ClaimChange::Restate(claim)) = change;
        let before = self.table.get(&claim.unit).cloned();
        if self.table.apply(change) != ClaimVerdict::Accepted {
            return false;
        }
        if let Some(before) = before.filter(|before| before.epoch < claim.epoch) {
            let holder = (before.daemon, before.incarnation);
            self.replaced.insert(claim.unit.clone(), holder);
        }
        true
    }
}
