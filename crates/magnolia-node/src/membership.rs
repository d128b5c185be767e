//! Registrations of daemons, claims of ownership, and the order in which daemons become owner.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{DaemonId, Epoch, Incarnation, LogOffset, stable_hash, wire_types};

use crate::ports::StreamRecord;

wire_types! {
    /// Registration of a daemon.
    pub struct MemberRecord {
        /// Name of the daemon.
        pub name: DaemonId,
        /// Address at which other daemons reach it.
        pub address: SocketAddr,
        /// Number that identifies this run of the process.
        pub incarnation: Incarnation,
        /// Processors that the daemon may use, in thousandths of one processor. Daemons with more
        /// are preferred as owner.
        pub weight: u64,
        /// Memory of the daemon, in bytes; none if it is not limited.
        #[serde(default)]
        pub memory_bytes: Option<u64>,
    }

    /// A claim of ownership. The last claim in the stream is the valid one.
    pub struct OwnerClaim {
        /// Epoch of the claim, one above that of the claim before.
        pub epoch: Epoch,
        /// The daemon that claims ownership.
        pub member: MemberRecord,
        /// Recently replaced claims, whose owners may have granted leases that have not expired.
        pub earlier: Vec<EarlierClaim>,
    }

    /// A claim that was replaced by a later one.
    pub struct EarlierClaim {
        /// Epoch of the claim.
        pub epoch: Epoch,
        /// The daemon that had claimed ownership.
        pub member: MemberRecord,
        /// Wall-clock time of the replacement, in Unix milliseconds.
        pub replaced_unix_ms: u64,
    }
}

/// Time for which a replaced claim is kept: its owner may send orders for up to a minute without the
/// store, and the wall clocks of daemons differ.
const EARLIER_CLAIM_RETENTION_MS: u64 = 120_000;

impl OwnerClaim {
    /// Creates the claim that replaces `last`.
    pub fn new(member: MemberRecord, last: Option<&OwnerClaim>, now_unix_ms: u64) -> Self {
        let recent = |earlier: &&EarlierClaim| {
            now_unix_ms.saturating_sub(earlier.replaced_unix_ms) < EARLIER_CLAIM_RETENTION_MS
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

/// Key of the records of claims.
const OWNER_KEY: &str = "owner";
/// Prefix of the keys of registrations.
const MEMBER_PREFIX: &str = "member/";

/// Content of the cell's stream up to an offset.
#[derive(Clone, Debug, Default)]
pub(crate) struct CellView {
    pub(crate) members: BTreeMap<DaemonId, MemberRecord>,
    pub(crate) owner: Option<OwnerClaim>,
    /// Offset after the last record that was applied.
    pub(crate) next: LogOffset,
    /// Whether the stream has been read once.
    pub(crate) loaded: bool,
}

impl CellView {
    /// Applies a record.
    pub(crate) fn apply(&mut self, record: &StreamRecord) {
        if &*record.key == OWNER_KEY {
            match rmp_serde::from_slice::<OwnerClaim>(&record.value) {
                Ok(claim) => self.owner = Some(claim),
                Err(error) => log::error!(error:% = error; "unreadable ownership claim"),
            }
            return;
        }
        let Some(name) = record.key.strip_prefix(MEMBER_PREFIX) else {
            log::warn!(key = &*record.key; "unknown key in the stream of the cell");
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

    /// Returns the members in the order in which they should claim ownership. Those with more
    /// processors come first; the order among equal ones differs from epoch to epoch.
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

/// Encodes the registration of a daemon.
pub(crate) fn member_record(
    member: &MemberRecord,
) -> Result<StreamRecord, rmp_serde::encode::Error> {
    let key: Arc<str> = format!("{MEMBER_PREFIX}{}", member.name).into();
    let value = rmp_serde::to_vec(member)?;
    Ok(StreamRecord { key, value })
}

/// Encodes a claim.
pub(crate) fn claim_record(claim: &OwnerClaim) -> Result<StreamRecord, rmp_serde::encode::Error> {
    let value = rmp_serde::to_vec(claim)?;
    Ok(StreamRecord {
        key: OWNER_KEY.into(),
        value,
    })
}
