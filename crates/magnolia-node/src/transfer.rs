//! Time that the data of a call to the store needs on its way.

use std::time::Duration;

use crate::ports::StreamRecord;

/// Rate of the slowest link of the platform, 10 Mbit/s, in bytes per millisecond.
const SLOWEST_LINK: u64 = 1250;
/// Rate at which the data of a call moves at least, in bytes per millisecond: a tenth of the slowest
/// link, because several calls share it.
const SLOWEST_RATE: u64 = SLOWEST_LINK / 10;
/// Longest page of a read as it is transferred, in bytes: 1 MB of records, in base64.
const MAX_PAGE_BYTES: usize = 1_500_000;

/// Returns the time in which so many bytes are transferred at the slowest rate.
pub fn transfer_time(bytes: usize) -> Duration {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    Duration::from_millis(bytes / SLOWEST_RATE)
}

/// Returns the time in which the slowest link carries so many bytes.
pub(crate) fn link_time(bytes: usize) -> Duration {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    Duration::from_millis(bytes / SLOWEST_LINK)
}

/// Returns the time in which the longest page of a read is transferred at the slowest rate.
pub fn page_transfer_time() -> Duration {
    transfer_time(MAX_PAGE_BYTES)
}

/// Returns the size of records in an append, in bytes.
pub(crate) fn append_bytes(records: &[StreamRecord]) -> usize {
    let sizes = records
        .iter()
        .map(|record| record.key.len() + record.value.len());
    sizes.sum()
}
