//! Replay of the configuration stream.

use std::collections::VecDeque;

use magnolia_types::LogOffset;

use crate::record::{ConfigRecord, ConfigSnapshot, PublicationId, PublicationOutcome};
use crate::{CellConfig, ConfigPublication};

/// Number of publication ids that are kept to detect repeated appends. A repeat follows within
/// seconds, and the target is 5,300 publications a day, so far fewer ids lie between the two.
const MAX_RECENT_IDS: usize = 1024;

/// Value of [`ConfigSnapshot::next`] in a snapshot that restores a configuration from a daemon's
/// memory.
const RESTORED_OFFSET: LogOffset = LogOffset::new(u64::MAX);

/// A publication after a gap in the log, which can be decided only after a snapshot.
struct PendingPublication {
    offset: LogOffset,
    id: PublicationId,
    written_unix_ms: u64,
    publication: ConfigPublication,
}

/// Applies the records of the log in order. All readers of the same records reach the same
/// configuration, whether they start at the first record or at a snapshot.
pub struct ConfigReplay {
    config: CellConfig,
    recent: VecDeque<PublicationId>,
    next: LogOffset,
    /// The first offset after a gap of trimmed records and the publications read since; `None`
    /// without a gap.
    pending: Option<(LogOffset, Vec<PendingPublication>)>,
}

impl ConfigReplay {
    /// Creates the state before the first record.
    pub fn new() -> Self {
        Self {
            config: CellConfig::new(),
            recent: VecDeque::new(),
            next: LogOffset::new(0),
            pending: None,
        }
    }

    /// Returns the configuration after the records applied so far.
    pub fn config(&self) -> &CellConfig {
        &self.config
    }

    /// Returns the offset of the next record to read.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Tells whether the log trimmed records before they were read and no snapshot has replaced
    /// them yet.
    pub fn is_waiting_for_snapshot(&self) -> bool {
        self.pending.is_some()
    }

    /// Skips the records before `first`, the oldest offset that the log keeps; to be called before
    /// the records of a page are applied. If records were trimmed before they were read, later
    /// publications are decided only after the next snapshot.
    pub fn skip_trimmed(&mut self, first: LogOffset) {
        if first > self.next {
            self.pending = Some((first, Vec::new()));
            self.next = first;
        }
    }

    /// Skips a record that is torn or is not a configuration record.
    pub fn skip(&mut self, offset: LogOffset) {
        self.next = offset.saturating_add(LogOffset::new(1));
    }

    /// Applies the record at `offset`. Returns the outcomes that follow from it: of the publication
    /// itself or, for a snapshot, of the publications that waited for it.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        record: ConfigRecord,
    ) -> Vec<(PublicationId, PublicationOutcome)> {
        self.skip(offset);
        match record {
            ConfigRecord::Publication {
                id,
                written_unix_ms,
                publication,
            } => match &mut self.pending {
                Some((_, pending)) => {
                    pending.push(PendingPublication {
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
            ConfigRecord::Snapshot { snapshot, .. } => self.install_snapshot(*snapshot),
        }
    }

    /// Creates a snapshot of the state.
    pub fn snapshot(&self) -> ConfigSnapshot {
        ConfigSnapshot {
            config: self.config.clone(),
            next: self.next,
            recent: self.recent.iter().copied().collect(),
        }
    }

    /// Creates a snapshot that restores a configuration which the log has lost.
    pub fn restoring_snapshot(&self, config: CellConfig) -> ConfigSnapshot {
        ConfigSnapshot {
            config,
            next: RESTORED_OFFSET,
            ..self.snapshot()
        }
    }

    /// Accepts or rejects a publication; returns `None` for a repeated append.
    fn decide(
        &mut self,
        id: PublicationId,
        written_unix_ms: u64,
        publication: &ConfigPublication,
    ) -> Option<(PublicationId, PublicationOutcome)> {
        if self.recent.contains(&id) {
            return None;
        }
        self.recent.push_back(id);
        if self.recent.len() > MAX_RECENT_IDS {
            self.recent.pop_front();
        }
        let outcome = self.config.apply(publication).map(|config| {
            self.config = config;
            self.config.update_key_sets(written_unix_ms);
            self.config.version
        });
        Some((id, outcome))
    }

    /// Takes over the configuration of a snapshot that includes records which this reader could not
    /// read, and decides the publications that waited for it. Ignores any other snapshot.
    fn install_snapshot(
        &mut self,
        snapshot: ConfigSnapshot,
    ) -> Vec<(PublicationId, PublicationOutcome)> {
        let is_needed = match &self.pending {
            Some((first, _)) => snapshot.next >= *first,
            // Without a gap, a snapshot with a higher version restores records that the log lost.
            None => snapshot.config.version > self.config.version,
        };
        if !is_needed {
            return Vec::new();
        }
        let pending = self
            .pending
            .take()
            .map(|(_, pending)| pending)
            .unwrap_or_default();
        self.config = snapshot.config;
        self.recent = snapshot.recent.into();
        // It is unknown which records a restored configuration includes, so all pending ones are
        // applied. One that is already included is rejected as a conflict, because its sections
        // changed after its base version.
        let is_restored = snapshot.next == RESTORED_OFFSET;
        pending
            .into_iter()
            .filter(|pending| is_restored || pending.offset >= snapshot.next)
            .filter_map(|pending| {
                self.decide(pending.id, pending.written_unix_ms, &pending.publication)
            })
            .collect()
    }
}

impl Default for ConfigReplay {
    fn default() -> Self {
        Self::new()
    }
}
