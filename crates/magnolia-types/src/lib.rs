//! Identifiers, quantities, descriptions of work and result codes that all crates share.

mod derive;
mod ids;
mod quantities;
mod resources;
mod result_code;
mod work;

pub use ids::{
    AttemptId, ConfigVersion, CustomerName, DaemonId, DataCentreName, Epoch, ExecutorId,
    IdempotencyKey, Incarnation, JobId, LogOffset, MAX_NAME_BYTES, ParseIdError, RackName,
    RequestId, UnitId, WorkerId,
};
pub use quantities::{CpuMillis, MemoryMib, Millis, ParseQuantityError};
pub use resources::ResourceVector;
pub use result_code::{Ran, ResultCode};
pub use work::{
    JobKind, JobOutcome, JobSpec, JobState, QuickSpec, TaskIndex, TaskRef, UrgencyRank, WorkClass,
};

#[doc(hidden)]
pub use serde as __serde;

/// Hashes `bytes` with XXH3 (64 bits).
///
/// Its values must not change between versions: rendezvous hashing, the routing of idempotency
/// keys, and the checksums and content hashes in stored journal records depend on them.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(bytes)
}

/// Orders `candidates` for `key` by rendezvous hashing, the preferred one first.
pub fn rendezvous_order<'a, T: AsRef<str>>(key: &str, candidates: &'a [T]) -> Vec<&'a T> {
    let mut hashed: Vec<(u64, &T)> = candidates
        .iter()
        .map(|candidate| {
            let joined = format!("{key}\u{0}{}", candidate.as_ref());
            (stable_hash(joined.as_bytes()), candidate)
        })
        .collect();
    hashed.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.as_ref().cmp(b.1.as_ref())));
    hashed.into_iter().map(|(_, candidate)| candidate).collect()
}
