//! Records of members and of ownership, and who is next.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{DaemonId, Epoch, Incarnation, LogOffset, stable_hash, wire_types};

use crate::ports::StreamRecord;

wire_types! {
    /// A daemon as it registered.
    pub struct MemberRecord {
        /// Name.
        pub name: DaemonId,
        /// Where other daemons reach it.
        pub address: SocketAddr,
        /// Run of the process.
        pub incarnation: Incarnation,
        /// Preference as owner.
        pub weight: u64,
    }

    /// A claim of ownership; the last one in the stream holds.
    pub struct OwnerClaim {
        /// Epoch that the claimant opens.
        pub epoch: Epoch,
        /// The claimant.
        pub member: MemberRecord,
        /// Claims replaced lately, whose leases may not have run out.
        pub earlier: Vec<EarlierClaim>,
    }

    /// A claim that was replaced.
    pub struct EarlierClaim {
        /// Its epoch.
        pub epoch: Epoch,
        /// Its claimant.
        pub member: MemberRecord,
        /// When it was replaced, in Unix milliseconds.
        pub replaced_unix_ms: u64,
    }
}

/// Time for which a replaced claim is remembered: twice the time after which an executor that can't
/// be asked is given up, since times of day differ.
const EARLIER_KEPT_MS: u64 = 20_000;

impl OwnerClaim {
    /// Creates the claim that follows `last`.
    pub fn new(member: MemberRecord, last: Option<&OwnerClaim>, now_unix_ms: u64) -> Self {
        let recent = |earlier: &&EarlierClaim| {
            now_unix_ms.saturating_sub(earlier.replaced_unix_ms) < EARLIER_KEPT_MS
        };
        let earlier = last.iter().flat_map(|last| last.earlier.iter());
        let mut earlier: Vec<EarlierClaim> = earlier.filter(recent).cloned().collect();
        earlier.extend(last.map(|last| EarlierClaim {
            epoch: last.epoch,
            member: last.member.clone(),
            replaced_unix_ms: now_unix_ms,
        }));
        let epoch = last.map_or(0, |last| last.epoch.get()) + 1;
        Self {
            epoch: Epoch::new(epoch),
            member,
            earlier,
        }
    }
}

/// Key of claims.
const OWNER_KEY: &str = "owner";
/// Prefix of the keys of members.
const MEMBER_PREFIX: &str = "member/";

/// What the cell's stream says up to an offset.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellView {
    pub(crate) members: BTreeMap<DaemonId, MemberRecord>,
    pub(crate) owner: Option<OwnerClaim>,
    /// Offset after the last record seen.
    pub(crate) next: LogOffset,
    /// Whether the stream has been read at all.
    pub(crate) loaded: bool,
}

impl CellView {
    /// Applies a record.
    pub(crate) fn apply(&mut self, record: &StreamRecord) {
        if &*record.key == OWNER_KEY {
            match rmp_serde::from_slice::<OwnerClaim>(&record.value) {
                Ok(claim) => self.owner = Some(claim),
                Err(error) => log::error!(error:% = error; "unreadable claim of ownership"),
            }
            return;
        }
        let Some(name) = record.key.strip_prefix(MEMBER_PREFIX) else {
            log::warn!(key = &*record.key; "unknown record in the stream of the cell");
            return;
        };
        let Ok(name) = DaemonId::new(name) else {
            log::warn!(key = &*record.key; "member with an invalid name");
            return;
        };
        if record.value.is_empty() {
            self.members.remove(&name);
            return;
        }
        match rmp_serde::from_slice(&record.value) {
            Ok(member) => {
                self.members.insert(name, member);
            }
            Err(error) => log::error!(error:% = error; "unreadable member record"),
        }
    }

    /// Returns the epoch of the last claim.
    pub(crate) fn owner_epoch(&self) -> Option<Epoch> {
        self.owner.as_ref().map(|claim| claim.epoch)
    }

    /// Returns the members in the order in which they should own the cell: large instances first.
    pub(crate) fn candidates(&self) -> Vec<&MemberRecord> {
        let epoch = self.owner.as_ref().map_or(0, |claim| claim.epoch.get());
        let mut members: Vec<&MemberRecord> = self.members.values().collect();
        members.sort_by_key(|member| {
            let seed = format!("{epoch}/{}", member.name);
            (
                std::cmp::Reverse(member.weight),
                stable_hash(seed.as_bytes()),
            )
        });
        members
    }
}

/// Makes the record of a member.
pub(crate) fn member_record(
    member: &MemberRecord,
) -> Result<StreamRecord, rmp_serde::encode::Error> {
    let key: Arc<str> = format!("{MEMBER_PREFIX}{}", member.name).into();
    let value = rmp_serde::to_vec(member)?;
    Ok(StreamRecord { key, value })
}

/// Makes the record of a claim.
pub(crate) fn claim_record(claim: &OwnerClaim) -> Result<StreamRecord, rmp_serde::encode::Error> {
    let value = rmp_serde::to_vec(claim)?;
    Ok(StreamRecord {
        key: OWNER_KEY.into(),
        value,
    })
}
