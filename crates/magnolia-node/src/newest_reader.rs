//! Reads the newest records of all keys of a stream, page by page.

use std::sync::Arc;

use magnolia_types::LogOffset;

use crate::ports::{StoreError, StreamName, StreamRecord};
use crate::routed_store::RoutedStore;

/// A read of all keys, which goes on after the last page that was read.
pub(crate) struct NewestReader {
    stream: StreamName,
    records: Vec<StreamRecord>,
    /// End of the stream as of the first page.
    end: Option<LogOffset>,
    pages: u64,
}

impl NewestReader {
    pub(crate) fn new(stream: StreamName) -> Self {
        Self {
            stream,
            records: Vec::new(),
            end: None,
            pages: 0,
        }
    }

    /// Returns the number of pages read.
    pub(crate) fn pages(&self) -> u64 {
        self.pages
    }

    /// Reads the remaining pages. After an error, another call goes on with the page that failed.
    ///
    /// # Errors
    ///
    /// Fails if a page can't be read.
    pub(crate) async fn read(&mut self, store: &RoutedStore) -> Result<(), StoreError> {
        loop {
            let after = self.records.last().map(|record| Arc::clone(&record.key));
            let mut page = store.read_newest(self.stream, after.as_deref()).await?;
            self.pages += 1;
            self.end.get_or_insert(page.end);
            let is_last = !page.more || page.records.is_empty();
            self.records.append(&mut page.records);
            if is_last {
                return Ok(());
            }
        }
    }

    /// Returns the records, with the end of the stream as of the first page.
    pub(crate) fn finish(self) -> (Vec<StreamRecord>, LogOffset) {
        (self.records, self.end.unwrap_or_default())
    }
}
