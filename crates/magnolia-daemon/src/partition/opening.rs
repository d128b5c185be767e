//! Opens the journal of a partition: `Opened`, then the replay up to it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnolia_protocol::Handover;
use magnolia_state::{ClaimRecord, JobTable, JournalBatch, JournalEntry, JournalReplay};
use magnolia_types::{Epoch, LogOffset, Millis};

use super::events::OpenedJournal;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Pause before a failed call of the log is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Most records of one read.
const READ_RECORDS: usize = 256;
/// Records before `Opened` in which a record of the last owner is looked for.
const TAIL_RECORDS: u64 = 64;

/// Names the stream of a partition.
pub fn stream_of(partition: &str) -> String {
    format!("partition-{partition}")
}

/// Opens the journal for the holder of `claim`.
///
/// # Errors
///
/// Fails with the epoch of a later owner.
pub async fn open_journal(
    context: &Arc<DaemonContext>,
    claim: &ClaimRecord,
    handover: Option<Handover>,
) -> Result<OpenedJournal, Epoch> {
    let stream = stream_of(claim.unit.partition().unwrap_or_default());
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
            find_base(context, claim, &stream, offset).await,
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
    log_replay(context, &replay);
    Ok(OpenedJournal {
        base: replay.snapshot_offset(),
        since_base: replay.records_since_snapshot(),
        table: replay.into_table(),
        offset,
        handed_over: is_handover,
    })
}

fn log_replay(context: &DaemonContext, replay: &JournalReplay) {
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
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Finds the snapshot from which the replay starts; 0 reads all that the log keeps.
///
/// Records of the epoch right before this one cannot be void, because no `Opened` lies between,
/// so the base that such a record names is trusted.
async fn find_base(
    context: &DaemonContext,
    claim: &ClaimRecord,
    stream: &str,
    opened: LogOffset,
) -> LogOffset {
    let from = opened.saturating_sub(LogOffset::new(TAIL_RECORDS));
    let mut base = LogOffset::new(0);
    read_records(context, stream, from, opened, |_, data| {
        if let Ok(batch) = JournalBatch::decode(data)
            && batch.epoch.saturating_add(Epoch::new(1)) == claim.epoch
        {
            base = base.max(batch.base);
        }
    })
    .await;
    base
}

/// Reads the records from `from` up to `end`, exclusively; waits while the log is away.
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
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Reads some records from `from` on, before `end`; `None` when the log is away.
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
