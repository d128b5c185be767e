//! Reads the configuration from the log, and appends snapshots so that the log always has one
//! within its retention.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use magnolia_backing::LogPage;
use magnolia_config::{ConfigRecord, ConfigReplay};
use magnolia_protocol::{decode, encode};
use magnolia_types::{Millis, rendezvous_order};

use super::{CONFIG_STREAM, ConfigSource, adopt};
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum time for which one read waits for a new record. With the call timeout of the log client
/// (2 s), a read that hangs is retried within 3 s, so that a publication reaches every daemon
/// within 4 s.
const MAX_POLL_WAIT: Millis = Millis::from_secs(1);
/// Maximum number of records in one read. After each failed read, the next read asks for half as
/// many, because a page of many snapshots may be larger than the client accepts.
const MAX_POLL_RECORDS: usize = 64;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Time for which the log must lack the version in force before this daemon restores it.
const RESTORE_AFTER: Millis = Millis::from_secs(10);
/// Timeout of appending a snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(3);
/// Divisor of the retention that gives the time by which each candidate appends a snapshot later
/// than the one before it.
const CANDIDATE_DELAY_DIVISOR: u64 = 40;
/// Maximum number of these delays, so that the last candidate still appends well within the
/// retention.
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

/// State of the reader of the log.
struct LogReader {
    replay: ConfigReplay,
    /// Unix time in milliseconds of the newest snapshot, or of the first record if there is no
    /// snapshot.
    last_snapshot_unix_ms: Option<u64>,
    /// Whether a snapshot has been read.
    has_snapshot: bool,
    /// Since when the newest version in the log has been older than the one in force.
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

    /// Applies a page of records and puts the resulting configuration in force.
    fn apply_page(&mut self, context: &DaemonContext, page: LogPage) {
        if page.next < self.replay.next() {
            // The log ends before the offset up to which it was read, so it was emptied.
            context.metrics.count(names::CONFIG_LOG_SHORTENED);
            *self = Self::new();
        }
        self.replay.skip_trimmed(page.first);
        for record in page.records {
            match decode::<ConfigRecord>(&record.data) {
                Ok(decoded) => {
                    self.record_write_time(&decoded);
                    for (id, outcome) in self.replay.apply(record.offset, decoded) {
                        context.metrics.count(match &outcome {
                            Ok(_) => names::CONFIG_ACCEPTED,
                            Err(_) => names::CONFIG_REJECTED,
                        });
                        context.config_feed.deliver_outcome(id, outcome);
                    }
                }
                Err(_) => {
                    context.metrics.count(names::CONFIG_FOREIGN_RECORD);
                    self.replay.skip(record.offset);
                }
            }
        }
        let is_up_to_date =
            self.replay.next() >= page.next && !self.replay.is_waiting_for_snapshot();
        let now = context.clock.now();
        context
            .config_feed
            .record_read(now, is_up_to_date, self.replay.is_waiting_for_snapshot());
        adopt(context, self.replay.config(), ConfigSource::Log);
        let behind = self.replay.next() >= page.next
            && self.replay.config().version < context.config().version;
        self.log_behind_since = behind.then(|| self.log_behind_since.unwrap_or(now));
    }

    /// Updates `last_snapshot_unix_ms` for a record.
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

    /// Appends a snapshot if the newest one is half the retention old, or if the log has lost the
    /// configuration in force.
    async fn append_snapshot_if_due(&mut self, context: &DaemonContext) {
        let now = context.clock.now();
        let is_log_behind = self
            .log_behind_since
            .is_some_and(|since| now.saturating_sub(since) >= RESTORE_AFTER);
        let snapshot = if is_log_behind {
            let config = context.config().as_ref().clone();
            self.replay.restoring_snapshot(config)
        } else if !self.replay.is_waiting_for_snapshot() && self.is_snapshot_due(context) {
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
                // Prevents another append until this snapshot is read back.
                self.last_snapshot_unix_ms = Some(unix_ms());
                self.log_behind_since = None;
            }
            _ => context.metrics.count(names::CONFIG_SNAPSHOT_FAILED),
        }
    }

    /// Tells whether it is the turn of this daemon to append a snapshot.
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

/// Returns the rank of this daemon among the candidates for appending a snapshot. Each candidate
/// appends only if those before it have not done so in time.
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

/// Returns the Unix time in milliseconds. It spaces snapshots, where an error of half a retention
/// is harmless, and tells how long ago the partitions of a region changed.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
