//! Writer of a history file.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};

use nix::time::{ClockId, clock_gettime};

use super::{HistoryEvent, HistoryRecord};

/// Returns the monotonic time of the machine in microseconds.
pub fn monotonic_us() -> u64 {
    let now = clock_gettime(ClockId::CLOCK_MONOTONIC).expect("Linux has a monotonic clock");
    let seconds = u64::try_from(now.tv_sec()).unwrap_or_default();
    let micros = u64::try_from(now.tv_nsec()).unwrap_or_default() / 1000;
    seconds * 1_000_000 + micros
}

/// Appends events to one file; cheap to clone. Each event is written at once and unbuffered, so
/// that no event is lost when the process is killed.
#[derive(Clone, Default)]
pub struct HistoryWriter {
    file: Option<Arc<Mutex<File>>>,
}

impl HistoryWriter {
    /// Creates a writer that discards every event.
    pub fn new() -> Self {
        Self::default()
    }

    /// Creates a writer that appends to `path`.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be opened.
    pub fn open(path: &Path) -> std::io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            file: Some(Arc::new(Mutex::new(file))),
        })
    }

    /// Appends an event that happens now.
    pub fn write(&self, event: HistoryEvent) {
        self.write_at(monotonic_us(), event);
    }

    /// Appends an event that happened at `at_us`.
    ///
    /// # Panics
    ///
    /// Panics when the file cannot be written, because an incomplete history could pass the checks.
    pub fn write_at(&self, at_us: u64, event: HistoryEvent) {
        let Some(file) = &self.file else {
            return;
        };
        let record = HistoryRecord { at_us, event };
        let mut line = serde_json::to_vec(&record).expect("events have a JSON form");
        line.push(b'\n');
        let mut file = file.lock().unwrap_or_else(PoisonError::into_inner);
        file.write_all(&line).expect("the history can be written");
    }
}
