//! Opens the journal of a partition: appends an `Opened` record and replays the records up to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnolia_protocol::Handover;
use magnolia_state::{ClaimRecord, JobTable, JournalBatch, JournalEntry, JournalReplay};
use magnolia_types::{Epoch, LogOffset, Millis};

use super::events::OpenedJournal;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Delay before a failed call of the log is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of records in one read.
const READ_RECORDS: usize = 256;
/// Number of records before `Opened` that are searched for a record of the previous owner, which
/// gives the offset of the newest snapshot.
const TAIL_RECORDS: u64 = 64;

/// Returns the name of the journal stream of a partition.
pub fn journal_stream(partition: &str) -> String {
    format!("partition-{partition}")
}

/// Opens the journal for the holder of `claim` and returns the state of the partition.
///
/// With a `handover`, the state comes from it, and only the records after it are read. Retries
/// until the log answers.
///
/// # Errors
///
/// Fails with the epoch of a later owner that has opened the journal.
pub async fn open_journal(
    context: &Arc<DaemonContext>,
    claim: &ClaimRecord,
    handover: Option<Handover>,
) -> Result<OpenedJournal, Epoch> {
    let stream = journal_stream(claim.unit.partition().unwrap_or_default());
    let offset = append_opened(context, claim, &stream).await;
    let handed_over = handover.and_then(|handover| {
        let table = JobTable::from_snapshot(&handover.snapshot).ok()?;
        Some((table, handover.next))
    });
    let is_handover = handed_over.is_some();
    let (table, from) = match handed_over {
        Some(state) => state,
        None => (
            JobTable::new(),
            find_snapshot(context, claim, &stream, offset).await,
        ),
    };
    let mut replay = JournalReplay::new(table);
    read_records(
        context,
        &stream,
        from,
        offset.saturating_add(LogOffset::new(1)),
        |at, data| {
            replay.read(at, data);
        },
    )
    .await;
    if replay.epoch() > claim.epoch {
        return Err(replay.epoch());
    }
    count_replayed(context, &replay);
    Ok(OpenedJournal {
        snapshot_offset: replay.snapshot_offset(),
        records_since_snapshot: replay.records_since_snapshot(),
        table: replay.into_table(),
        offset,
        handed_over: is_handover,
    })
}

/// Adds the numbers of replayed records to the metrics.
fn count_replayed(context: &DaemonContext, replay: &JournalReplay) {
    let counts = replay.counts();
    context
        .metrics
        .add(names::JOURNAL_REPLAYED, counts.accepted);
    context.metrics.add(names::JOURNAL_FOREIGN, counts.foreign);
    context.metrics.add(names::JOURNAL_TORN, counts.torn);
    context.metrics.add(names::JOURNAL_STALE, counts.stale);
    context
        .metrics
        .add(names::JOURNAL_REPEATED, counts.repeated);
}

async fn append_opened(context: &DaemonContext, claim: &ClaimRecord, stream: &str) -> LogOffset {
    let batch = JournalBatch {
        epoch: claim.epoch,
        incarnation: claim.incarnation,
        sequence: 1,
        base: LogOffset::new(0),
        entries: vec![JournalEntry::Opened {
            daemon: claim.daemon.clone(),
            incarnation: claim.incarnation,
        }],
    };
    let data = Bytes::from(batch.encode().unwrap_or_default());
    loop {
        match context.log.append(stream, data.clone()).await {
            Ok(offset) => return offset,
            Err(_) => {
                context.metrics.count(names::JOURNAL_APPEND_FAILED);
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the offset of the snapshot from which the replay starts; 0 means the first record in
/// the log.
///
/// Records of the epoch right before this one cannot be stale, because no `Opened` record of
/// another owner lies between the two epochs. The offset in such a record is therefore trusted.
async fn find_snapshot(
    context: &DaemonContext,
    claim: &ClaimRecord,
    stream: &str,
    opened: LogOffset,
) -> LogOffset {
    let from = opened.saturating_sub(LogOffset::new(TAIL_RECORDS));
    let mut newest = LogOffset::new(0);
    read_records(context, stream, from, opened, |_, data| {
        if let Ok(batch) = JournalBatch::decode(data)
            && batch.epoch.saturating_add(Epoch::new(1)) == claim.epoch
        {
            newest = newest.max(batch.base);
        }
    })
    .await;
    newest
}

/// Reads the records from `from` up to `end`, exclusively; retries while the log is unavailable.
async fn read_records(
    context: &DaemonContext,
    stream: &str,
    from: LogOffset,
    end: LogOffset,
    mut take: impl FnMut(LogOffset, &[u8]),
) {
    let mut next = from;
    while next < end {
        match read_page(context, stream, next, end).await {
            Some(records) => {
                let Some((last, _)) = records.last() else {
                    return;
                };
                next = last.saturating_add(LogOffset::new(1));
                records
                    .iter()
                    .for_each(|(offset, data)| take(*offset, data));
            }
            None => tokio::time::sleep(RETRY_DELAY).await,
        }
    }
}

/// Reads one page of records from `from` on, before `end`; `None` when the log is unavailable.
pub async fn read_page(
    context: &DaemonContext,
    stream: &str,
    from: LogOffset,
    end: LogOffset,
) -> Option<Vec<(LogOffset, Bytes)>> {
    let page = context
        .log
        .read(stream, from, Millis::new(0), READ_RECORDS)
        .await;
    match page {
        Ok(page) => {
            let records = page.records.into_iter();
            let records = records.filter(|record| record.offset < end);
            Some(records.map(|record| (record.offset, record.data)).collect())
        }
        Err(_) => {
            context.metrics.count(names::JOURNAL_READ_FAILED);
            None
        }
    }
}
