//! The platform's append-only log.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use magnolia_types::{LogOffset, Millis};

use crate::BackingError;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Position in the stream.
    pub offset: LogOffset,
    /// Content, opaque to the log.
    pub data: Bytes,
}

/// Records of a stream from one read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset that the log still keeps.
    pub first: LogOffset,
    /// Offset that the next append gets.
    pub next: LogOffset,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// Appends to and reads from streams; offsets of a stream start at 0 and have no gaps.
pub trait LogService: Send + Sync {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails when the log is away; an error after sending does not say whether it took effect.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, BackingError>>;

    /// Reads up to `max` records from `from`, waiting up to `wait` for the first one.
    ///
    /// An offset older than the retention reads from the oldest record kept.
    ///
    /// # Errors
    ///
    /// Fails when the log is away.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        wait: Millis,
        max: usize,
    ) -> BoxFuture<'a, Result<LogPage, BackingError>>;
}
