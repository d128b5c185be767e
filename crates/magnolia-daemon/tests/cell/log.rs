//! An in-memory log that refuses calls, loses answers or drops old records on demand.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use magnolia_backing::{BackingError, LogPage, LogRecord, LogService};
use magnolia_http::HttpError;
use magnolia_types::{LogOffset, Millis};

use super::gate::PauseGate;

/// Selects records by their content.
type RecordFilter = Box<dyn Fn(&[u8]) -> bool + Send>;

#[derive(Default)]
struct LogState {
    streams: HashMap<String, Vec<Bytes>>,
    /// Offset of the first record of each stream that is not dropped.
    first: HashMap<String, usize>,
    is_unavailable: bool,
    /// Number of further answers to lose.
    lost_answers: u32,
    /// Selects the records whose appends get no answer.
    unanswered_records: Option<RecordFilter>,
    appends: u64,
}

/// The log that all daemons of a test share.
#[derive(Default)]
pub struct FakeLog {
    state: Mutex<LogState>,
}

impl FakeLog {
    /// Sets whether every call fails without effect.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.with(|state| state.is_unavailable = is_unavailable);
    }

    /// Loses the answers to the next `count` appends, which take effect.
    pub fn lose_answers(&self, count: u32) {
        self.with(|state| state.lost_answers = count);
    }

    /// Loses the answers to appends of the selected records, which take effect; `None` ends that.
    pub fn lose_answers_to(&self, filter: Option<RecordFilter>) {
        self.with(|state| state.unanswered_records = filter);
    }

    /// Drops the records of a stream before `first`, as the retention does.
    pub fn trim(&self, stream: &str, first: usize) {
        self.with(|state| state.first.insert(stream.to_owned(), first));
    }

    /// Returns all records that were appended to a stream, with the dropped ones.
    pub fn records(&self, stream: &str) -> Vec<Bytes> {
        self.with(|state| state.streams.get(stream).cloned().unwrap_or_default())
    }

    /// Returns the number of appends so far.
    pub fn appends(&self) -> u64 {
        self.with(|state| state.appends)
    }

    fn with<T>(&self, run: impl FnOnce(&mut LogState) -> T) -> T {
        run(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn append_now(&self, stream: &str, data: Bytes) -> Result<LogOffset, BackingError> {
        self.with(|state| {
            if state.is_unavailable {
                return Err(BackingError::new_refused(503, b"away"));
            }
            state.appends += 1;
            let is_chosen = state
                .unanswered_records
                .as_ref()
                .is_some_and(|filter| filter(&data));
            let records = state.streams.entry(stream.to_owned()).or_default();
            records.push(data);
            let offset = LogOffset::new(records.len() as u64 - 1);
            if state.lost_answers > 0 {
                state.lost_answers -= 1;
                return Err(HttpError::Lost("the answer was dropped".into()).into());
            }
            if is_chosen {
                return Err(HttpError::Lost("the answer was dropped".into()).into());
            }
            Ok(offset)
        })
    }

    fn read_now(&self, stream: &str, from: LogOffset, max: usize) -> Result<LogPage, BackingError> {
        self.with(|state| {
            if state.is_unavailable {
                return Err(BackingError::new_refused(503, b"away"));
            }
            let first = state.first.get(stream).copied().unwrap_or(0);
            let records = state
                .streams
                .get(stream)
                .map(Vec::as_slice)
                .unwrap_or_default();
            let from = usize::try_from(from.get()).unwrap_or(usize::MAX).max(first);
            let found = (0..).zip(records).skip(from).take(max);
            Ok(LogPage {
                first: LogOffset::new(first as u64),
                next: LogOffset::new(records.len() as u64),
                records: found
                    .map(|(offset, data)| LogRecord {
                        offset: LogOffset::new(offset),
                        data: data.clone(),
                    })
                    .collect(),
            })
        })
    }
}

/// The log as one daemon reaches it, behind gates.
pub struct GatedLog {
    /// The log.
    pub log: Arc<FakeLog>,
    /// Pauses all calls of the daemon.
    pub gate: PauseGate,
    /// Pauses only the daemon's calls of the log.
    pub log_gate: PauseGate,
    /// Duration of an append.
    pub delay: Duration,
}

impl LogService for GatedLog {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        data: Bytes,
    ) -> BoxFuture<'a, Result<LogOffset, BackingError>> {
        Box::pin(async move {
            self.gate.pass().await;
            self.log_gate.pass().await;
            tokio::time::sleep(self.delay).await;
            let result = self.log.append_now(stream, data);
            self.gate.pass().await;
            self.log_gate.pass().await;
            result
        })
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: LogOffset,
        _wait: Millis,
        max: usize,
    ) -> BoxFuture<'a, Result<LogPage, BackingError>> {
        Box::pin(async move {
            self.gate.pass().await;
            self.log_gate.pass().await;
            let result = self.log.read_now(stream, from, max);
            self.gate.pass().await;
            self.log_gate.pass().await;
            result
        })
    }
}
