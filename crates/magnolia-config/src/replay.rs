//! The configuration as the records of the log make it.

use std::collections::VecDeque;

use magnolia_types::LogOffset;

use crate::record::{ConfigRecord, ConfigSnapshot, PublicationId, PublicationVerdict};
use crate::{CellConfig, ConfigPublication};

/// Ids of publications that are remembered. A repeat follows within seconds, and the target is
/// 5,300 publications a day, so this is far more than can lie between the two.
const RECENT_IDS: usize = 1024;

/// Offset in a snapshot that restores a configuration from a daemon's memory.
const RESTORED: LogOffset = LogOffset::new(u64::MAX);

/// A publication that waits for a snapshot.
struct HeldPublication {
    offset: LogOffset,
    id: PublicationId,
    written_unix_ms: u64,
    publication: ConfigPublication,
}

/// Applies records in log order. Readers of the same records reach the same configuration,
/// whether they start at the beginning or at a snapshot.
pub struct ConfigReplay {
    config: CellConfig,
    recent: VecDeque<PublicationId>,
    next: LogOffset,
    /// Publications after a gap; `None` while there is no gap.
    held: Option<(LogOffset, Vec<HeldPublication>)>,
}

impl ConfigReplay {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self {
            config: CellConfig::new(),
            recent: VecDeque::new(),
            next: LogOffset::new(0),
            held: None,
        }
    }

    /// Returns the configuration after the records so far.
    pub fn config(&self) -> &CellConfig {
        &self.config
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Tells whether records were trimmed unread and no snapshot has replaced them yet.
    pub fn is_waiting_for_snapshot(&self) -> bool {
        self.held.is_some()
    }

    /// Records the oldest offset that the log keeps, before the records of a page.
    pub fn note_first_offset(&mut self, first: LogOffset) {
        if first > self.next {
            self.held = Some((first, Vec::new()));
            self.next = first;
        }
    }

    /// Steps over a torn or foreign record.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next = offset.saturating_add(LogOffset::new(1));
    }

    /// Applies the record at `offset`; returns the publications that are decided by it.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: ConfigRecord,
    ) -> Vec<(PublicationId, PublicationVerdict)> {
        self.skip(offset);
        match record {
            ConfigRecord::Publication {
                id,
                written_unix_ms,
                publication,
            } => match &mut self.held {
                Some((_, held)) => {
                    held.push(HeldPublication {
                        offset,
                        id,
                        written_unix_ms,
                        publication,
                    });
                    Vec::new()
                }
                None => self
                    .decide(id, written_unix_ms, &publication)
                    .into_iter()
                    .collect(),
            },
            ConfigRecord::Snapshot { snapshot, .. } => self.take_snapshot(*snapshot),
        }
    }

    /// Makes a snapshot of the state.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            config: self.config.clone(),
            next: self.next,
            recent: self.recent.iter().copied().collect(),
        }
    }

    /// Makes a snapshot that restores a configuration that the log has lost.
    pub fn restoring_snapshot(&self, config: CellConfig) -> ConfigSnapshot {
        ConfigSnapshot {
            config,
            next: RESTORED,
            ..self.snapshot()
        }
    }

    fn decide(
        &mut self,
        id: PublicationId,
        written_unix_ms: u64,
        publication: &ConfigPublication,
    ) -> Option<(PublicationId, PublicationVerdict)> {
        if self.recent.contains(&id) {
            return None;
        }
        self.recent.push_back(id);
        if self.recent.len() > RECENT_IDS {
            self.recent.pop_front();
        }
        let verdict = self.config.apply(publication).map(|config| {
            self.config = config;
            self.config.note_key_sets(written_unix_ms);
            self.config.version
        });
        Some((id, verdict))
    }

    fn take_snapshot(
        &mut self,
        snapshot: ConfigSnapshot,
    ) -> Vec<(PublicationId, PublicationVerdict)> {
        let fills_gap = match &self.held {
            Some((first, _)) => snapshot.next >= *first,
            // Without a gap a higher version means that the log lost records and was restored.
            None => snapshot.config.version > self.config.version,
        };
        if !fills_gap {
            return Vec::new();
        }
        let held = self.held.take().map(|(_, held)| held).unwrap_or_default();
        self.config = snapshot.config;
        self.recent = snapshot.recent.into();
        // Nobody knows which records a restored configuration includes. All are applied again:
        // one that it includes conflicts with itself, because its sections changed after its base.
        let is_restored = snapshot.next == RESTORED;
        held.into_iter()
            .filter(|held| is_restored || held.offset >= snapshot.next)
            .filter_map(|held| self.decide(held.id, held.written_unix_ms, &held.publication))
            .collect()
    }
}

impl Default for ConfigReplay {
    fn default() -> Self {
        Self::new()
    }
}
