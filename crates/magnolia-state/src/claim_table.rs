//! Ownership of units (worker partitions and executor groups), decided by the order of the claims
//! in the log.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnolia_types::{DaemonId, Epoch, Incarnation, UnitId, wire_types};

wire_types! {
    /// The ownership of a unit by one run of a daemon.
    pub struct ClaimRecord {
        /// The unit.
        pub unit: UnitId,
        /// Epoch of the ownership.
        pub epoch: Epoch,
        /// The owner.
        pub daemon: DaemonId,
        /// Incarnation of the owner's process.
        pub incarnation: Incarnation,
        /// Address at which other daemons reach the owner.
        pub address: SocketAddr,
    }

    /// A record of stream `claims`.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimChange {
        /// Claims a unit; valid if its epoch is the current epoch plus 1.
        Claim(ClaimRecord),
        /// Repeats the current claim, so that it is not lost when the log drops old records.
        /// Written only by an owner that has read its own claim back as the valid one.
        Restate(ClaimRecord),
    }
}

/// Effect of a record on the claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The record changed the owner.
    Accepted,
    /// The record repeats the current claim.
    Repeated,
    /// The record has no effect: another claim came first, or its epoch is not the next one.
    Rejected,
}

/// The current claim of each unit. Readers of the same records end with the same table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    claims: BTreeMap<UnitId, ClaimRecord>,
    /// Whether the log dropped records that this table has not read.
    trimmed: bool,
}

impl ClaimTable {
    /// Creates an empty table for a reader that starts at the first record of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets whether the log has dropped records before the first one that is read.
    #[must_use]
    pub fn with_trimmed(mut self, trimmed: bool) -> Self {
        self.trimmed = trimmed;
        self
    }

    /// Marks the stream as trimmed: the log has dropped records before the next one that is read.
    pub fn mark_trimmed(&mut self) {
        self.trimmed = true;
    }

    /// Applies the next record; records have to be applied in offset order.
    pub fn apply(&mut self, change: &ClaimChange) -> ClaimOutcome {
        match change {
            ClaimChange::Claim(claim) => self.apply_claim(claim),
            ClaimChange::Restate(claim) => self.apply_restatement(claim),
        }
    }

    /// Returns the current claim of a unit.
    pub fn get(&self, unit: &UnitId) -> Option<&ClaimRecord> {
        self.claims.get(unit)
    }

    /// Returns all current claims in unit order.
    pub fn iter(&self) -> impl Iterator<Item = &ClaimRecord> {
        self.claims.values()
    }

    /// Returns the epoch that the next claim of `unit` has to carry.
    pub fn next_epoch(&self, unit: &UnitId) -> Epoch {
        let current = self
            .claims
            .get(unit)
            .map_or(Epoch::new(0), |claim| claim.epoch);
        current.saturating_add(Epoch::new(1))
    }

    fn apply_claim(&mut self, claim: &ClaimRecord) -> ClaimOutcome {
        let current = self.claims.get(&claim.unit);
        if current == Some(claim) {
            return ClaimOutcome::Repeated;
        }
        let is_next = claim.epoch == self.next_epoch(&claim.unit);
        if is_next || self.may_follow_trimmed(claim) {
            self.claims.insert(claim.unit.clone(), claim.clone());
            return ClaimOutcome::Accepted;
        }
        ClaimOutcome::Rejected
    }

    /// Returns whether the predecessor of a claim may be among the records that the log dropped.
    ///
    /// Daemons claim with at most the current epoch plus 1, so of two claims on a trimmed stream
    /// the one with the higher epoch is newer.
    fn may_follow_trimmed(&self, claim: &ClaimRecord) -> bool {
        let current = self.claims.get(&claim.unit);
        self.trimmed && current.is_none_or(|current| current.epoch < claim.epoch)
    }

    /// Applies a restatement.
    ///
    /// It is written only by an owner that has read its own claim back as the valid one, so it also
    /// replaces a claim of the same epoch that this table accepted from a trimmed stream without
    /// knowing its predecessor.
    fn apply_restatement(&mut self, claim: &ClaimRecord) -> ClaimOutcome {
        match self.claims.get(&claim.unit) {
            Some(current) if current == claim => ClaimOutcome::Repeated,
            Some(current) if current.epoch > claim.epoch => ClaimOutcome::Rejected,
            _ => {
                self.claims.insert(claim.unit.clone(), claim.clone());
                ClaimOutcome::Accepted
            }
        }
    }
}
