//! Client interface of the platform's append-only log.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use magnolia_types::{LogOffset, Millis};

use crate::BackingError;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset of the record in the stream.
    pub offset: LogOffset,
    /// Content of the record, opaque to the log.
    pub data: Bytes,
}

/// Result of one read of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest record that the log keeps.
    pub first: LogOffset,
    /// Offset that the next appended record gets.
    pub next: LogOffset,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// Client of the log, which consists of streams of records. The offsets of a stream start at 0 and
/// have no gaps.
pub trait LogService: Send + Sync {
    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is unavailable. Unless
    /// [`is_without_effect`](BackingError::is_without_effect) is true for the error, the record may
    /// have been appended.
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, BackingError>>;

    /// Reads up to `max` records from offset `from` on. Waits up to `wait` if there is none yet.
    ///
    /// If the log no longer keeps the record at `from`, reads from the oldest record that it keeps.
    ///
    /// # Errors
    ///
    /// Returns an error if the log is unavailable.
    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        wait: Millis,
        max: usize,
    ) -> BoxFuture<'a, Result<LogPage, BackingError>>;
}
