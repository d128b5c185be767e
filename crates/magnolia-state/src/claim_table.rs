//! Ownership of units by claims in log order.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnolia_types::{DaemonId, Epoch, Incarnation, UnitId, wire_types};

wire_types! {
    /// Who owns a unit, as a record of stream `claims`.
    pub struct ClaimRecord {
        /// The unit.
        pub unit: UnitId,
        /// Epoch of the ownership.
        pub epoch: Epoch,
        /// The owner.
        pub daemon: DaemonId,
        /// The run of the owner's process.
        pub incarnation: Incarnation,
        /// Address of the owner for other daemons.
        pub address: SocketAddr,
    }

    /// A record of stream `claims`.
    #[serde(rename_all = "snake_case")]
    pub enum ClaimChange {
        /// Takes a unit over; valid when its epoch is the known one plus 1.
        Claim(ClaimRecord),
        /// Repeats an ownership that was read back as the winner, so that retention keeps it.
        Restate(ClaimRecord),
    }
}

/// What a reader makes of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The record changed the owner.
    Accepted,
    /// The record repeats what is known.
    Repeated,
    /// Another claim came first, or the epoch does not follow.
    Rejected,
}

/// The current claims; every reader of the same records holds the same table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimTable {
    claims: BTreeMap<UnitId, ClaimRecord>,
    /// Whether records before the first one read are lost to retention.
    trimmed: bool,
}

impl ClaimTable {
    /// Creates an empty table for a reader that starts at the first record of the stream.
    pub fn new() -> Self {
        Self::default()
    }

    /// Tells the table that its reader starts after the first record of the stream.
    #[must_use]
    pub fn with_trimmed(mut self, trimmed: bool) -> Self {
        self.trimmed = trimmed;
        self
    }

    /// Tells the table that records before the next one were lost to retention.
    pub fn mark_trimmed(&mut self) {
        self.trimmed = true;
    }

    /// Applies the next record in offset order.
    pub fn apply(&mut self, change: &ClaimChange) -> ClaimVerdict {
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

    /// Returns the epoch that a new claim of `unit` needs.
    pub fn next_epoch(&self, unit: &UnitId) -> Epoch {
        let known = self
            .claims
            .get(unit)
            .map_or(Epoch::new(0), |claim| claim.epoch);
        known.saturating_add(Epoch::new(1))
    }

    fn apply_claim(&mut self, claim: &ClaimRecord) -> ClaimVerdict {
        let known = self.claims.get(&claim.unit);
        if known == Some(claim) {
            return ClaimVerdict::Repeated;
        }
        let follows = claim.epoch == self.next_epoch(&claim.unit);
        if follows || self.may_follow_trimmed(claim) {
            self.claims.insert(claim.unit.clone(), claim.clone());
            return ClaimVerdict::Accepted;
        }
        ClaimVerdict::Rejected
    }

    /// Tells whether the predecessor of a claim may be among the records lost to retention.
    ///
    /// Claimants only write epochs up to the current one plus 1, so of two claims on a trimmed
    /// stream the one with the higher epoch is the newer.
    fn may_follow_trimmed(&self, claim: &ClaimRecord) -> bool {
        let known = self.claims.get(&claim.unit);
        self.trimmed && known.is_none_or(|known| known.epoch < claim.epoch)
    }

    /// A restatement is written only by a holder that read itself back as the winner, so it also
    /// replaces a claim of the same epoch that was accepted provisionally on a trimmed stream.
    fn apply_restatement(&mut self, claim: &ClaimRecord) -> ClaimVerdict {
        match self.claims.get(&claim.unit) {
            Some(known) if known == claim => ClaimVerdict::Repeated,
            Some(known) if known.epoch > claim.epoch => ClaimVerdict::Rejected,
            _ => {
                self.claims.insert(claim.unit.clone(), claim.clone());
                ClaimVerdict::Accepted
            }
        }
    }
}
