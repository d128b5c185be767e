//! The claims as this daemon knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use magnolia_backing::LogPage;
use magnolia_protocol::{SupersededClaim, decode};
use magnolia_state::{ClaimChange, ClaimOutcome, ClaimRecord, ClaimTable};
use magnolia_types::{DaemonId, Epoch, Incarnation, LogOffset, Millis, UnitId};
use tokio::sync::{Notify, watch};

/// Stream of claims.
pub const CLAIM_STREAM: &str = "claims";

/// The claims that this daemon knows, with a signal for each change of them.
pub struct KnownClaims {
    state: Mutex<ClaimState>,
    /// Counts the changes.
    changes: watch::Sender<u64>,
    /// Wakes the task that fetches claims from peers, when a peer has reported a newer claim.
    pub newer_claims_reported: Notify,
    /// Held during a confirmation, so that requests that need it share one.
    pub confirming: tokio::sync::Mutex<()>,
}

#[derive(Default)]
struct ClaimState {
    table: ClaimTable,
    /// Offset of the next record to apply.
    next: LogOffset,
    /// Whether all records were applied that the log had at the last read.
    caught_up: bool,
    /// Owner of each unit before the current one.
    previous_owners: BTreeMap<UnitId, (DaemonId, Incarnation)>,
    /// Highest epoch of a claim that supersedes one of this daemon, as reported by peers.
    superseded: BTreeMap<UnitId, Epoch>,
    /// Peers that have reported such epochs and were not asked for their claims yet.
    peers_with_newer_claims: Vec<SocketAddr>,
    /// When the last successful confirmation of this daemon's claims was asked for.
    confirmation_asked: Option<Millis>,
    /// Units that their owners have released, with the epoch of the owner.
    released: BTreeMap<UnitId, Epoch>,
    /// Whether the last read of the log succeeded.
    log_healthy: bool,
}

impl KnownClaims {
    /// Creates an empty set of claims.
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

    /// Tells whether the last page that was read reached the end of the stream.
    pub fn is_caught_up(&self) -> bool {
        self.state().caught_up
    }

    /// Tells whether the last read of the log succeeded.
    pub fn is_log_healthy(&self) -> bool {
        self.state().log_healthy
    }

    /// Records whether a read of the log succeeded.
    pub fn record_log_health(&self, healthy: bool) {
        self.state().log_healthy = healthy;
    }

    /// Applies a page of the stream; records that were applied before are skipped.
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

    /// Applies the claims of a peer that are newer than the known ones.
    pub fn merge(&self, claims: &[ClaimRecord]) {
        let mut state = self.state();
        let mut changed = false;
        for claim in claims {
            let known = state.table.get(&claim.unit).map(|known| known.epoch);
            if known.is_none_or(|known| known < claim.epoch) {
                // The peer has read the claim back as accepted, which is what a restatement states.
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

    /// Returns the units that a daemon owned right before their current claim, with the run of the
    /// daemon that owned them.
    pub fn units_lost_by(&self, daemon: &DaemonId) -> Vec<(Incarnation, SupersededClaim)> {
        let state = self.state();
        let lost = state
            .previous_owners
            .iter()
            .filter(|(_, owner)| owner.0 == *daemon);
        let superseded = lost.filter_map(|(unit, (_, run))| {
            let epoch = state.table.get(unit)?.epoch;
            let unit = unit.clone();
            Some((*run, SupersededClaim { unit, epoch }))
        });
        superseded.collect()
    }

    /// Tells whether `superseded`, as reported by a peer, has an epoch that is higher than that of
    /// the claim known here.
    pub fn contains_newer(&self, superseded: &[SupersededClaim]) -> bool {
        let state = self.state();
        superseded.iter().any(|named| {
            let known = state.table.get(&named.unit);
            known.is_none_or(|known| known.epoch < named.epoch)
        })
    }

    /// Records that a peer reports a claim of this daemon as superseded at `epoch`.
    pub fn record_superseded(&self, unit: &UnitId, epoch: Epoch, peer: SocketAddr) {
        let mut state = self.state();
        let known = state.table.get(unit).map(|claim| claim.epoch);
        if known.is_some_and(|known| known >= epoch) {
            return;
        }
        let highest = state.superseded.entry(unit.clone()).or_insert(epoch);
        *highest = epoch.max(*highest);
        state.peers_with_newer_claims.push(peer);
        drop(state);
        self.newer_claims_reported.notify_one();
        self.signal(true);
    }

    /// Removes and returns the peers to ask for their claims.
    pub fn take_peers_with_newer_claims(&self) -> Vec<SocketAddr> {
        std::mem::take(&mut self.state().peers_with_newer_claims)
    }

    /// Returns the highest epoch that peers have reported as superseding the claim of a unit.
    pub fn superseded_by(&self, unit: &UnitId) -> Option<Epoch> {
        self.state().superseded.get(unit).copied()
    }

    /// Tells whether `claim` is the current one as far as this daemon knows.
    pub fn is_current(&self, claim: &ClaimRecord) -> bool {
        let state = self.state();
        let reported = state.superseded.get(&claim.unit);
        state.table.get(&claim.unit) == Some(claim)
            && reported.is_none_or(|epoch| *epoch <= claim.epoch)
    }

    /// Records that the log or a peer, asked at `asked`, had no newer claims.
    pub fn record_confirmation(&self, asked: Millis) {
        let mut state = self.state();
        state.confirmation_asked = state.confirmation_asked.max(Some(asked));
    }

    /// Forgets that the claims were confirmed.
    pub fn forget_confirmation(&self) {
        self.state().confirmation_asked = None;
    }

    /// Returns when the last successful confirmation was asked for.
    pub fn last_confirmation(&self) -> Option<Millis> {
        self.state().confirmation_asked
    }

    /// Records that the owner of a unit at `epoch` has stopped permanently.
    pub fn record_release(&self, unit: &UnitId, epoch: Epoch) {
        self.state().released.insert(unit.clone(), epoch);
        self.signal(true);
    }

    /// Tells whether the owner under this claim has stopped permanently.
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
        if self.table.apply(change) != ClaimOutcome::Accepted {
            return false;
        }
        if let Some(before) = before.filter(|before| before.epoch < claim.epoch) {
            let owner = (before.daemon, before.incarnation);
            self.previous_owners.insert(claim.unit.clone(), owner);
        }
        true
    }
}
