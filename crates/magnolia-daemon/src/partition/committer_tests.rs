//! Tests of the group commit: lost answers, gaps, outages, snapshots.

use bytes::Bytes;
use magnolia_state::{JournalBatch, JournalEntry, split_snapshot};
use magnolia_types::{DaemonId, Epoch, Incarnation, JobId, LogOffset, Millis};

use super::committer::{AppendResult, CommitAction, CommitOutcome, JournalCommitter};

const START: Millis = Millis::new(1000);

fn committer() -> JournalCommitter<u32> {
    let (epoch, incarnation) = (Epoch::new(2), Incarnation::new(7));
    JournalCommitter::new(
        epoch,
        incarnation,
        LogOffset::new(4),
        Millis::from_secs(100),
        START,
    )
}

fn entry() -> JournalEntry {
    JournalEntry::JobEnded {
        job: JobId::new_in("p0", 1).expect("an id"),
        outcome: magnolia_types::JobOutcome {
            state: magnolia_types::JobState::Cancelled,
            code: magnolia_types::ResultCode::Cancelled,
            reason: "cancelled".into(),
        },
        at: START,
    }
}

fn after(ms: u64) -> Millis {
    START.saturating_add(Millis::new(ms))
}

fn append_of(committer: &mut JournalCommitter<u32>, now: Millis) -> Bytes {
    match committer.poll(now, false) {
        Some(CommitAction::Append(data)) => data,
        other => panic!("no append: {other:?}"),
    }
}

fn acknowledged(offset: u64) -> AppendResult {
    AppendResult::Acknowledged(LogOffset::new(offset))
}

/// Guards against one append per entry, and against two appends in flight.
#[test]
fn entries_of_ten_milliseconds_share_an_append() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, true, START);
    committer.push_urgent(entry(), 2, true, after(9));
    assert_eq!(committer.poll(after(9), false), None);
    let data = append_of(&mut committer, after(10));
    assert_eq!(
        JournalBatch::decode(&data).expect("a batch").entries.len(),
        2
    );
    committer.push_urgent(entry(), 3, true, after(11));
    assert_eq!(
        committer.poll(after(100), false),
        None,
        "one append in flight"
    );
    assert_eq!(
        committer.appended(acknowledged(5), after(100)),
        CommitOutcome::Written(vec![1, 2])
    );
    append_of(&mut committer, after(100));
}

/// Guards against a repeated append that readers cannot recognise as a copy, and against refusing a
/// job as not run although its record may be in the log.
#[test]
fn an_append_without_an_answer_is_repeated_unchanged() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, true, START);
    let first = append_of(&mut committer, after(10));
    committer.push_urgent(entry(), 2, true, after(15));
    let outcome = committer.appended(AppendResult::Unknown, after(20));
    assert_eq!(
        outcome,
        CommitOutcome::Refused(vec![2]),
        "the second was never sent"
    );
    let second = append_of(&mut committer, after(220));
    assert_eq!(first, second);
    let outcome = committer.appended(AppendResult::NotWritten, after(230));
    assert_eq!(
        outcome,
        CommitOutcome::Refused(vec![]),
        "the first try may have taken effect"
    );
    assert_eq!(append_of(&mut committer, after(430)), first);
    committer.appended(acknowledged(6), after(440));
    let gap = CommitAction::ReadGap(LogOffset::new(5), LogOffset::new(6));
    assert_eq!(committer.poll(after(440), false), Some(gap));
    let outcome = committer.gap_read(Some(&[first]), after(450));
    assert_eq!(outcome, CommitOutcome::Written(vec![1]));
}

/// Guards against an owner that goes on although the gap has an `Opened` of a higher epoch.
#[test]
fn a_higher_epoch_in_the_gap_supersedes() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, true, START);
    append_of(&mut committer, after(10));
    assert_eq!(
        committer.appended(acknowledged(6), after(20)),
        CommitOutcome::Nothing
    );
    assert!(matches!(
        committer.poll(after(20), false),
        Some(CommitAction::ReadGap(..))
    ));
    assert_eq!(
        committer.gap_read(None, after(30)),
        CommitOutcome::Nothing,
        "read again"
    );
    assert!(matches!(
        committer.poll(after(230), false),
        Some(CommitAction::ReadGap(..))
    ));
    let opened = JournalBatch {
        epoch: Epoch::new(3),
        incarnation: Incarnation::new(8),
        sequence: 1,
        base: LogOffset::new(0),
        entries: vec![JournalEntry::Opened {
            daemon: DaemonId::new("d2").expect("a name"),
            incarnation: Incarnation::new(8),
        }],
    };
    let data = Bytes::from(opened.encode().expect("a record"));
    let outcome = committer.gap_read(Some(&[data]), after(240));
    assert_eq!(outcome, CommitOutcome::Superseded(Epoch::new(3)));
}

/// Guards against losing entries of running work in an outage of the log, and against new jobs that
/// get no reply during it.
#[test]
fn an_outage_refuses_new_jobs_and_keeps_the_rest() {
    let mut committer = committer();
    committer.push(entry(), Some(1), START);
    committer.push_urgent(entry(), 2, true, START);
    append_of(&mut committer, after(10));
    let outcome = committer.appended(AppendResult::NotWritten, after(20));
    assert_eq!(outcome, CommitOutcome::Refused(vec![2]));
    assert!(!committer.is_healthy());
    let data = append_of(&mut committer, after(400));
    assert_eq!(
        JournalBatch::decode(&data).expect("a batch").entries.len(),
        1
    );
    assert_eq!(
        committer.appended(acknowledged(5), after(410)),
        CommitOutcome::Written(vec![1])
    );
    assert!(committer.is_healthy());
}

/// Guards against a log that counts as unavailable forever because there is nothing to append.
#[test]
fn an_idle_committer_probes_the_log() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, true, START);
    append_of(&mut committer, after(10));
    committer.appended(AppendResult::NotWritten, after(20));
    assert_eq!(committer.poll(after(220), false), Some(CommitAction::Probe));
    committer.probed(false, after(230));
    assert_eq!(committer.poll(after(231), false), None);
    assert_eq!(committer.poll(after(800), false), Some(CommitAction::Probe));
    committer.probed(true, after(810));
    assert!(committer.is_healthy());
}

/// Guards against other records between the parts of a snapshot, and against records that give the
/// offset of an incomplete snapshot.
#[test]
fn parts_of_a_snapshot_are_appended_in_a_row() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, true, START);
    let bytes = vec![1; magnolia_state::SNAPSHOT_PART_BYTES + 1];
    committer.begin_snapshot(split_snapshot(1, &bytes), START);
    let mut bases = Vec::new();
    for offset in 5..8 {
        let data = append_of(&mut committer, after(10));
        let batch = JournalBatch::decode(&data).expect("a batch");
        let is_snapshot_part = matches!(batch.entries[0], JournalEntry::SnapshotPart { .. });
        assert_eq!(is_snapshot_part, offset < 7);
        bases.push(batch.base.get());
        committer.appended(acknowledged(offset), after(10));
    }
    assert_eq!(bases, [0, 0, 5]);
}

/// Guards against memory that grows with the length of an outage of the log.
#[test]
fn a_long_outage_is_bounded_by_a_snapshot() {
    let mut committer = committer();
    committer.push_urgent(entry(), 1, false, START);
    append_of(&mut committer, after(10));
    committer.appended(AppendResult::NotWritten, after(20));
    (0..50_000).for_each(|_| committer.push(entry(), None, after(30)));
    assert!(committer.pending() <= 20_001);
    append_of(&mut committer, after(400));
    committer.appended(acknowledged(5), after(410));
    assert!(committer.is_snapshot_due(after(420)));
}
