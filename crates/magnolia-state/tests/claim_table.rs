//! Claim tables of readers that start at different offsets of the same stream.

use magnolia_state::{ClaimChange, ClaimRecord, ClaimTable};
use magnolia_types::{DaemonId, Epoch, Incarnation, UnitId};
use quickcheck::quickcheck;

const UNITS: usize = 2;
const DAEMONS: usize = 4;

fn unit(index: usize) -> UnitId {
    UnitId::new_group(&format!("g{index}")).expect("a name")
}

fn record(unit: UnitId, epoch: Epoch, daemon: usize) -> ClaimRecord {
    ClaimRecord {
        unit,
        epoch,
        daemon: DaemonId::new(&format!("d{daemon}")).expect("a name"),
        incarnation: Incarnation::new(daemon as u64),
        address: ([127, 0, 0, 1], 1).into(),
    }
}

fn read(records: &[ClaimChange], from: usize) -> ClaimTable {
    let mut table = ClaimTable::new().with_trimmed(from > 0);
    for change in &records[from..] {
        table.apply(change);
    }
    table
}

fn claims(table: &ClaimTable) -> Vec<ClaimRecord> {
    table.iter().cloned().collect()
}

/// Builds a stream as written by daemons that lag behind it. Each record is a claim or a
/// restatement that follows from what its writer had read, so races and outdated records occur.
fn stream(steps: &[(u8, u8, u8, bool)]) -> Vec<ClaimChange> {
    let mut records = Vec::new();
    for &(daemon, unit_index, lag, restate) in steps {
        let unit = unit(usize::from(unit_index) % UNITS);
        let daemon = usize::from(daemon) % DAEMONS;
        let seen = records.len().saturating_sub(usize::from(lag % 6));
        let table = read(&records[..seen], 0);
        let claim = record(unit.clone(), table.next_epoch(&unit), daemon);
        let owned = table
            .get(&unit)
            .filter(|current| current.daemon == claim.daemon);
        records.push(match owned {
            Some(owned) if restate => ClaimChange::Restate(owned.clone()),
            _ => ClaimChange::Claim(claim),
        });
    }
    records
}

/// Appends a restatement of every current claim, as owners do within the retention time of the log.
fn restate_all(records: &mut Vec<ClaimChange>) {
    let current = claims(&read(records, 0));
    records.extend(current.into_iter().map(ClaimChange::Restate));
}

quickcheck! {
    /// Guards against two daemons that both consider themselves owner of a unit because one of them
    /// started reading at a trimmed stream.
    fn trimmed_reader_agrees_after_restatement(steps: Vec<(u8, u8, u8, bool)>, cut: usize) -> bool {
        let mut records = stream(&steps);
        let cut = cut % (records.len() + 1);
        restate_all(&mut records);
        claims(&read(&records, 0)) == claims(&read(&records, cut))
    }

    /// Guards against a reader of a trimmed stream rejecting a valid claim after outdated records.
    fn trimmed_reader_accepts_each_next_claim(steps: Vec<(u8, u8, u8, bool)>, cut: usize) -> bool {
        let mut records = stream(&steps);
        let cut = cut % (records.len() + 1);
        for index in 0..UNITS {
            let unit = unit(index);
            let epoch = read(&records, 0).next_epoch(&unit);
            records.push(ClaimChange::Claim(record(unit, epoch, 0)));
        }
        claims(&read(&records, 0)) == claims(&read(&records, cut))
    }

    /// Guards against a unit returning to an earlier owner.
    fn epochs_only_rise(steps: Vec<(u8, u8, u8, bool)>, cut: usize) -> bool {
        let records = stream(&steps);
        let cut = cut % (records.len() + 1);
        let mut table = ClaimTable::new().with_trimmed(cut > 0);
        let mut highest = [Epoch::new(0); UNITS];
        records[cut..].iter().all(|change| {
            table.apply(change);
            (0..UNITS).all(|index| {
                let epoch = table.get(&unit(index)).map_or(Epoch::new(0), |claim| claim.epoch);
                let is_monotonic = epoch >= highest[index];
                highest[index] = epoch;
                is_monotonic
            })
        })
    }

    /// Guards against records having a second effect when they are applied twice, as after
    /// overlapping reads.
    fn repeated_page_has_no_effect(steps: Vec<(u8, u8, u8, bool)>, from: usize) -> bool {
        let records = stream(&steps);
        let from = from % (records.len() + 1);
        let mut table = read(&records, 0);
        for change in &records[from..] {
            table.apply(change);
        }
        claims(&table) == claims(&read(&records, 0))
    }
}

/// Checks that the comparison can fail: a reader that does not know that its stream is trimmed
/// never accepts a claim whose predecessor the log has dropped.
#[test]
fn reader_unaware_of_trimming_disagrees() {
    let steps = [(0, 0, 0, false), (1, 0, 0, false)];
    let records = stream(&steps);
    let mut unaware = ClaimTable::new();
    unaware.apply(&records[1]);
    assert_ne!(claims(&unaware), claims(&read(&records, 0)));
    assert_eq!(claims(&read(&records, 1)), claims(&read(&records, 0)));
}
