//! Reads the histories of a run and merges them.

use std::path::Path;

use super::{HistoryEvent, HistoryRecord};

/// Reasons for which a history cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum HistoryError {
    /// A file cannot be read.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A line is not an event.
    #[error("{file}:{line}: {reason}")]
    Line {
        /// Path of the file.
        file: String,
        /// Number of the line, from 1.
        line: usize,
        /// Error of the parser.
        reason: String,
    },
    /// The folder has no history.
    #[error("{0} has no history files")]
    Empty(String),
}

/// The merged events of all processes.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Events in order of time.
    pub records: Vec<HistoryRecord>,
}

impl History {
    /// Creates a history from events in any order.
    pub fn new(mut records: Vec<HistoryRecord>) -> Self {
        // Workers record times in milliseconds, so an end and the start that follows it can have
        // the same time; the end has to come first.
        records.sort_by_key(|record| (record.at_us, !is_end(&record.event)));
        Self { records }
    }

    /// Reads every `*.jsonl` file of a folder.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read, a line is not an event or there is no file.
    pub fn read(folder: &Path) -> Result<Self, HistoryError> {
        let mut records = Vec::new();
        for entry in std::fs::read_dir(folder)? {
            let path = entry?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == "jsonl")
            {
                read_file(&path, &mut records)?;
            }
        }
        if records.is_empty() {
            return Err(HistoryError::Empty(folder.display().to_string()));
        }
        Ok(Self::new(records))
    }

    /// Returns the time of the last event.
    pub fn end_us(&self) -> u64 {
        self.records.last().map_or(0, |record| record.at_us)
    }

    /// Iterates over the events with their times.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &HistoryEvent)> {
        self.records
            .iter()
            .map(|record| (record.at_us, &record.event))
    }
}

fn is_end(event: &HistoryEvent) -> bool {
    matches!(
        event,
        HistoryEvent::AttemptEnded { .. } | HistoryEvent::RequestEnded { .. }
    )
}

fn read_file(path: &Path, records: &mut Vec<HistoryRecord>) -> Result<(), HistoryError> {
    let text = std::fs::read_to_string(path)?;
    for (index, line) in text.lines().enumerate() {
        let record = serde_json::from_str(line).map_err(|error| HistoryError::Line {
            file: path.display().to_string(),
            line: index + 1,
            reason: error.to_string(),
        })?;
        records.push(record);
    }
    Ok(())
}
