//! The journal: which records are accepted, and the state that is rebuilt from them.

use std::sync::Arc;

use magnolia_state::{
    JobTable, JournalBatch, JournalEntry, JournalReadOutcome, JournalReader, JournalReplay,
    SNAPSHOT_PART_BYTES, split_snapshot,
};
use magnolia_types::{
    DaemonId, Epoch, Incarnation, JobId, JobKind, JobSpec, LogOffset, Millis, ResourceVector,
};

fn spec(tasks: u32) -> Arc<JobSpec> {
    Arc::new(JobSpec {
        customer: "guild".parse().expect("a name"),
        class: "batch".parse().expect("a name"),
        kind: JobKind::Batch,
        tasks,
        size: ResourceVector::new(1000, 512, 0),
        run_ms: None,
        repeatable: true,
        idempotency_key: None,
        max_attempts: 3,
    })
}

fn accepted(number: u64) -> JournalEntry {
    JournalEntry::JobAccepted {
        job: JobId::new_in("p0", number).expect("an id"),
        spec: spec(1),
        at: Millis::new(number),
    }
}

fn opened() -> JournalEntry {
    JournalEntry::Opened {
        daemon: DaemonId::new("d1").expect("a name"),
        incarnation: Incarnation::new(10),
    }
}

fn batch(epoch: u64, sequence: u64, entries: Vec<JournalEntry>) -> Vec<u8> {
    let batch = JournalBatch {
        epoch: Epoch::new(epoch),
        incarnation: Incarnation::new(epoch * 10),
        sequence,
        base: LogOffset::new(0),
        entries,
    };
    batch.encode().expect("an encoded batch")
}

fn replayed_jobs(records: &[Vec<u8>]) -> usize {
    replay(records).table().iter().count()
}

fn replay(records: &[Vec<u8>]) -> JournalReplay {
    let mut replay = JournalReplay::new(JobTable::new());
    for (offset, record) in (0..).zip(records) {
        replay.read(LogOffset::new(offset), record);
    }
    replay
}

/// Guards against records of a superseded owner taking effect after the new owner's `Opened`.
#[test]
fn records_of_a_lower_epoch_are_void_after_opened() {
    let records = [
        batch(1, 1, vec![opened()]),
        batch(1, 2, vec![accepted(1)]),
        batch(2, 1, vec![opened()]),
        batch(1, 3, vec![accepted(2)]),
        batch(2, 2, vec![accepted(3)]),
    ];
    let replay = replay(&records);
    assert_eq!(replay.table().iter().count(), 2);
    assert_eq!(replay.counts().stale, 1);
    assert_eq!(replay.epoch(), Epoch::new(2));
}

/// Guards against applying an append twice that was retried after a lost answer, also when the
/// duplicate arrives after the following append.
#[test]
fn repeated_records_count_once() {
    let mut reader = JournalReader::new();
    let records = [
        batch(1, 1, vec![opened()]),
        batch(1, 2, vec![accepted(1)]),
        batch(1, 3, vec![accepted(2)]),
        batch(1, 2, vec![accepted(1)]),
        batch(1, 3, vec![accepted(2)]),
    ];
    let outcomes: Vec<_> = records.iter().map(|record| reader.read(record)).collect();
    assert_eq!(outcomes[3], JournalReadOutcome::Repeated);
    assert_eq!(outcomes[4], JournalReadOutcome::Repeated);
    assert_eq!(reader.counts().accepted, 3);
}

/// Guards against damaged or foreign records stopping a reader or being accepted.
#[test]
fn torn_and_foreign_records_are_skipped_and_counted() {
    let record = batch(1, 2, vec![accepted(1)]);
    for cut in 0..record.len() {
        let mut reader = JournalReader::new();
        let outcome = reader.read(&record[..cut]);
        let skipped = matches!(
            outcome,
            JournalReadOutcome::Torn | JournalReadOutcome::Foreign
        );
        assert!(skipped, "cut at {cut}: {outcome:?}");
    }
    for position in 0..record.len() {
        let mut damaged = record.clone();
        damaged[position] ^= 0x40;
        let mut reader = JournalReader::new();
        let outcome = reader.read(&damaged);
        assert!(
            !matches!(outcome, JournalReadOutcome::Accepted(_)),
            "{position}"
        );
    }
}

/// Guards against a restart that needs records the log has dropped, and against snapshot records
/// over 1 MiB.
#[test]
fn a_snapshot_and_the_tail_rebuild_the_state_of_a_trimmed_stream() {
    let mut records = vec![batch(1, 1, vec![opened()])];
    records.extend((1..9000).map(|number| batch(1, number + 1, vec![accepted(number)])));
    let before = replay(&records);
    let bytes = before.table().to_snapshot().expect("a snapshot");
    let parts = split_snapshot(1, &bytes);
    assert!(
        parts.len() > 1,
        "the snapshot has to be large enough to be split"
    );
    assert!(bytes.len() > SNAPSHOT_PART_BYTES);
    let first_part = records.len();
    records.extend((9001..).zip(parts).map(|(sequence, part)| {
        let record = batch(1, sequence, vec![part]);
        assert!(record.len().div_ceil(3) * 4 < 1 << 20);
        record
    }));
    records.push(batch(1, 9500, vec![accepted(9500)]));
    assert_eq!(replayed_jobs(&records[first_part..]), 9000);
    assert_eq!(
        replay(&records).table(),
        replay(&records[first_part..]).table()
    );
    assert_eq!(
        replayed_jobs(&records[first_part + 1..]),
        1,
        "an incomplete snapshot is ignored"
    );
}

/// Guards against the parts of an unfinished snapshot being completed after a new owner has opened.
#[test]
fn a_snapshot_cut_by_a_new_owner_is_void() {
    let bytes = vec![0; SNAPSHOT_PART_BYTES + 1];
    let parts = split_snapshot(1, &bytes);
    let records = [
        batch(1, 1, vec![opened()]),
        batch(1, 2, vec![accepted(1)]),
        batch(1, 3, vec![parts[0].clone()]),
        batch(2, 1, vec![opened()]),
        batch(1, 4, vec![parts[1].clone()]),
        batch(2, 2, vec![accepted(2)]),
    ];
    assert_eq!(replayed_jobs(&records), 2);
}

/// Guards against waiting for the leases of the last owner only. The owner before it may never have
/// been fenced, if the last one ended before its own takeover was complete.
#[test]
fn owners_count_until_a_takeover_is_complete() {
    let mut records = vec![
        batch(1, 1, vec![opened()]),
        batch(2, 1, vec![opened()]),
        batch(3, 1, vec![opened()]),
    ];
    assert_eq!(replay(&records).table().owners().len(), 3);
    records.push(batch(3, 2, vec![JournalEntry::TakeoverDone]));
    records.push(batch(4, 1, vec![opened()]));
    let epochs: Vec<u64> = replay(&records)
        .table()
        .owners()
        .iter()
        .map(|owner| owner.0.get())
        .collect();
    assert_eq!(epochs, [3, 4]);
}
