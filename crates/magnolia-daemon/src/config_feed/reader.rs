//! Reads the log and keeps a snapshot within its retention.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use magnolia_backing::LogPage;
use magnolia_config::{ConfigRecord, ConfigReplay};
use magnolia_protocol::{decode, encode};
use magnolia_types::{Millis, rendezvous_order};

use super::{CONFIG_STREAM, ConfigSource, adopt};
use crate::context::DaemonContext;
use crate::metrics::names;

/// Longest wait of one read for a new record. With the call timeout of the log client (2 s) a read
/// that hangs is repeated within 3 s, so that a publication reaches every daemon within 4 s.
const MAX_POLL_WAIT: Millis = Millis::from_secs(1);
/// Most records of one read. After a failed read the number is halved, because a page of many
/// snapshots may be larger than the client takes.
const MAX_POLL_RECORDS: usize = 64;
/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time without a newer version in the log after which a daemon that has one restores it.
const RESTORE_AFTER: Millis = Millis::from_secs(10);
/// Longest time of one append of a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// Part of the retention by which each further candidate waits for the one before it.
const CANDIDATE_DELAY_DIVISOR: u64 = 40;
/// Most delays that a candidate waits; the last one still writes well within the retention.
const MAX_CANDIDATE_DELAYS: u64 = 8;

/// Reads stream `config` until the daemon ends.
pub(super) async fn read_log(context: &DaemonContext) {
    let mut reader = LogReader::new();
    let mut page_size = MAX_POLL_RECORDS;
    loop {
        let next = reader.replay.next();
        let read = context
            .log
            .read(CONFIG_STREAM, next, MAX_POLL_WAIT, page_size);
        match read.await {
            Ok(page) => {
                page_size = MAX_POLL_RECORDS;
                reader.apply_page(context, page);
                reader.append_snapshot_if_due(context).await;
            }
            Err(error) => {
                page_size = (page_size / 2).max(1);
                context.metrics.count(names::CONFIG_READ_FAILED);
                context
                    .config_feed
                    .record_read_failure(context.clock.now(), &error);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// State of the reader.
struct LogReader {
    replay: ConfigReplay,
    /// Unix time of the newest snapshot, or of the first record while there is none.
    last_snapshot_unix_ms: Option<u64>,
    has_snapshot: bool,
    /// Since when the log has been behind the configuration in force.
    log_behind_since: Option<Millis>,
}

impl LogReader {
    fn new() -> Self {
        Self {
            replay: ConfigReplay::new(),
            last_snapshot_unix_ms: None,
            has_snapshot: false,
            log_behind_since: None,
        }
    }

    fn apply_page(&mut self, context: &DaemonContext, page: LogPage) {
        if page.next < self.replay.next() {
            // The log is shorter than what was read from it: it has been emptied.
            context.metrics.count(names::CONFIG_LOG_SHORTENED);
            *self = Self::new();
        }
        self.replay.note_first(page.first);
        for record in page.records {
            match decode::<ConfigRecord>(&record.data) {
                Ok(decoded) => {
                    self.record_write_time(&decoded);
                    for (id, verdict) in self.replay.apply(record.offset, decoded) {
                        context.metrics.count(match &verdict {
                            Ok(_) => names::CONFIG_ACCEPTED,
                            Err(_) => names::CONFIG_REJECTED,
                        });
                        context.config_feed.deliver_verdict(id, verdict);
                    }
                }
                Err(_) => {
                    context.metrics.count(names::CONFIG_FOREIGN_RECORD);
                    self.replay.skip(record.offset);
                }
            }
        }
        let is_up_to_date = self.replay.next() >= page.next && !self.replay.is_waiting();
        let now = context.clock.now();
        context
            .config_feed
            .record_read(now, is_up_to_date, self.replay.is_waiting());
        adopt(context, self.replay.config(), ConfigSource::Log);
        let behind = self.replay.next() >= page.next
            && self.replay.config().version < context.config().version;
        self.log_behind_since = behind.then(|| self.log_behind_since.unwrap_or(now));
    }

    fn record_write_time(&mut self, record: &ConfigRecord) {
        let is_snapshot = matches!(record, ConfigRecord::Snapshot { .. });
        if is_snapshot || !self.has_snapshot {
            self.has_snapshot |= is_snapshot;
            let written = record.written_unix_ms();
            self.last_snapshot_unix_ms = match self.last_snapshot_unix_ms {
                Some(known) if !is_snapshot => Some(known),
                _ => Some(written),
            };
        }
    }

    /// Appends a snapshot when the newest is half the retention old, or when the log has lost
    /// what this daemon remembers.
    async fn append_snapshot_if_due(&mut self, context: &DaemonContext) {
        let now = context.clock.now();
        let is_log_behind = self
            .log_behind_since
            .is_some_and(|since| now.saturating_sub(since) >= RESTORE_AFTER);
        let snapshot = if is_log_behind {
            let config = context.config().as_ref().clone();
            self.replay.restoring_snapshot(config)
        } else if !self.replay.is_waiting() && self.is_snapshot_due(context) {
            self.replay.snapshot()
        } else {
            return;
        };
        let record = ConfigRecord::Snapshot {
            written_unix_ms: unix_ms(),
            snapshot: Box::new(snapshot),
        };
        let Ok(data) = encode(&record) else {
            context.metrics.count(names::CONFIG_SNAPSHOT_FAILED);
            return;
        };
        let append = context.log.append(CONFIG_STREAM, Bytes::from(data));
        match tokio::time::timeout(SNAPSHOT_TIMEOUT, append).await {
            Ok(Ok(_)) => {
                context.metrics.count(names::CONFIG_SNAPSHOT_APPENDED);
                // Its own record is read back next; until then no other is due.
                self.last_snapshot_unix_ms = Some(unix_ms());
                self.log_behind_since = None;
            }
            _ => context.metrics.count(names::CONFIG_SNAPSHOT_FAILED),
        }
    }

    fn is_snapshot_due(&self, context: &DaemonContext) -> bool {
        let Some(since) = self.last_snapshot_unix_ms else {
            return false;
        };
        let retention = context.settings.log_retention_ms.get();
        let delays = candidate_rank(context).min(MAX_CANDIDATE_DELAYS);
        let wait = retention / 2 + delays * (retention / CANDIDATE_DELAY_DIVISOR);
        unix_ms().saturating_sub(since) >= wait
    }
}

/// Returns the place of this daemon among those that may append a snapshot, so that one of them
/// does and the next only when it did not.
fn candidate_rank(context: &DaemonContext) -> u64 {
    let members = context.members.live_daemons();
    let names: Vec<&str> = members
        .iter()
        .map(|member| member.daemon.as_str())
        .collect();
    let order = rendezvous_order(CONFIG_STREAM, &names);
    let own = context.identity.daemon.as_str();
    let rank = order.iter().position(|name| **name == own);
    rank.map_or(0, |rank| rank as u64)
}

/// Returns Unix time in milliseconds. It only spaces snapshots; half a retention of error is
/// harmless.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
