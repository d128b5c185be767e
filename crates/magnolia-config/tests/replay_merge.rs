//! Tests that all readers of the same log reach the same configuration.

use magnolia_config::{
    ApplyError, CellConfig, ConfigDocument, ConfigPublication, ConfigRecord, ConfigReplay,
    SectionChange,
};
use magnolia_types::{ConfigVersion, LogOffset};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Size of the generator, which bounds the number of steps of a history.
const HISTORY_STEPS: usize = 40;
/// Number of histories that each property is checked on.
const HISTORIES: u64 = 150;

/// An action of an operator or a daemon in a generated history.
#[derive(Clone, Debug)]
enum LogStep {
    /// Publishes a change of one section, based on a version that is `lag` below the newest.
    Publish { section: u8, value: u8, lag: u8 },
    /// Appends an earlier record again, as after a lost answer.
    Repeat { which: u8 },
    /// Appends a snapshot of a reader that is `lag` records behind.
    Snapshot { lag: u8 },
    /// Appends a torn record.
    Tear,
}

impl Arbitrary for LogStep {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 8 {
            0..=3 => Self::Publish {
                section: u8::arbitrary(g) % 4,
                value: u8::arbitrary(g),
                lag: u8::arbitrary(g) % 4,
            },
            4 => Self::Repeat {
                which: u8::arbitrary(g),
            },
            5 | 6 => Self::Snapshot {
                lag: u8::arbitrary(g) % 6,
            },
            _ => Self::Tear,
        }
    }
}

/// Creates a publication. Some are invalid on their own: section 3 refers to the data centre that
/// section 2 adds.
fn publication(base: u64, section: u8, value: u8) -> ConfigPublication {
    let text = match section {
        0 => format!("[cell]\nname = \"c{value}\""),
        1 => format!(
            "[cell]\nname = \"x\"\n[[customer]]\nname = \"a\"\nweight = {}",
            value.max(1)
        ),
        2 => "[cell]\nname = \"x\"\n[[data_centre]]\nname = \"dc\"".to_owned(),
        _ => "[cell]\nname = \"x\"\n[[data_centre]]\nname = \"dc\"\n[[rack]]\nname = \"r\"\n\
              data_centre = \"dc\"\ncapacity = { cpu_millis = 1, memory_mib = 1 }"
            .to_owned(),
    };
    let document = ConfigDocument::from_toml(&text).expect("a valid document");
    let name = ["cell", "customer/a", "data_centre/dc", "rack/r"][usize::from(section % 4)];
    // An odd value removes the data centre.
    let removed = section == 2 && value % 2 == 1;
    let content = document.sections().remove(name).filter(|_| !removed);
    ConfigPublication {
        base: ConfigVersion::new(base),
        author: "test".into(),
        changes: vec![SectionChange {
            name: name.into(),
            section: content,
        }],
    }
}

/// Applies the records from index `from` on; `None` stands for a torn record.
fn read_from(records: &[Option<ConfigRecord>], from: usize) -> ConfigReplay {
    let mut replay = ConfigReplay::new();
    replay.skip_trimmed(LogOffset::new(from as u64));
    for (offset, record) in (0..).map(LogOffset::new).zip(records).skip(from) {
        match record {
            Some(record) => drop(replay.apply(offset, record.clone())),
            None => replay.skip(offset),
        }
    }
    replay
}

/// Performs the steps and returns the resulting records of the log.
fn write_log(steps: &[LogStep]) -> Vec<Option<ConfigRecord>> {
    let mut records: Vec<Option<ConfigRecord>> = Vec::new();
    for (id, step) in (0..).zip(steps) {
        let state = read_from(&records, 0);
        let record = match step {
            LogStep::Publish {
                section,
                value,
                lag,
            } => {
                let base = state.config().version.get().saturating_sub((*lag).into());
                Some(ConfigRecord::Publication {
                    id,
                    written_unix_ms: 0,
                    publication: publication(base, *section, *value),
                })
            }
            LogStep::Repeat { which } => {
                let index = usize::from(*which) % records.len().max(1);
                records.get(index).cloned().flatten()
            }
            LogStep::Snapshot { lag } => {
                let read = records.len().saturating_sub((*lag).into());
                let snapshot = read_from(&records[..read], 0).snapshot();
                Some(ConfigRecord::Snapshot {
                    written_unix_ms: 0,
                    snapshot: Box::new(snapshot),
                })
            }
            LogStep::Tear => None,
        };
        records.push(record);
    }
    records
}

/// Checks a property on generated histories. The seed is fixed, so that failures are reproducible.
fn check_histories(seed: u64, property: fn(Vec<LogStep>) -> bool) {
    let rng = Gen::from_size_and_seed(HISTORY_STEPS, seed);
    QuickCheck::new()
        .rng(rng)
        .tests(HISTORIES)
        .quickcheck(property);
}

/// Guards against readers whose configurations diverge after a trimmed log, a repeated append, an
/// outdated snapshot or a torn record.
#[test]
fn readers_agree_from_every_start() {
    check_histories(1, |steps| {
        let records = write_log(&steps);
        let whole = read_from(&records, 0);
        (0..=records.len()).all(|from| {
            let part = read_from(&records, from);
            part.is_waiting_for_snapshot() || part.config() == whole.config()
        })
    });
}

/// Guards against a reader that still waits after it has read a snapshot that includes all trimmed
/// records.
#[test]
fn a_fresh_snapshot_ends_the_wait() {
    check_histories(2, |steps| {
        let mut records = write_log(&steps);
        let from = records.len();
        let whole = read_from(&records, 0);
        let snapshot = Box::new(whole.snapshot());
        records.push(Some(ConfigRecord::Snapshot {
            written_unix_ms: 0,
            snapshot,
        }));
        let part = read_from(&records, from);
        !part.is_waiting_for_snapshot() && part.config() == whole.config()
    });
}

/// Guards against versions that decrease or skip a number while records are applied.
#[test]
fn versions_rise_one_by_one() {
    check_histories(3, |steps| {
        let records = write_log(&steps);
        let versions: Vec<u64> = (0..=records.len())
            .map(|length| read_from(&records[..length], 0).config().version.get())
            .collect();
        versions
            .windows(2)
            .all(|pair| pair[1] == pair[0] || pair[1] == pair[0] + 1)
    });
}

fn decided(
    replay: &mut ConfigReplay,
    offset: u64,
    id: u128,
    publication: ConfigPublication,
) -> Vec<(u128, Result<ConfigVersion, ApplyError>)> {
    let record = ConfigRecord::Publication {
        id,
        written_unix_ms: 0,
        publication,
    };
    replay.apply(LogOffset::new(offset), record)
}

/// Guards against two accepted publications that conflict, and against a rejection that does not
/// say which version changed the section.
#[test]
fn the_first_of_racing_publications_wins() {
    let mut replay = ConfigReplay::new();
    let first = decided(&mut replay, 0, 1, publication(0, 0, 1));
    let second = decided(&mut replay, 1, 2, publication(0, 0, 2));
    let other = decided(&mut replay, 2, 3, publication(0, 1, 2));
    assert_eq!(first, [(1, Ok(ConfigVersion::new(1)))]);
    let conflict = ApplyError::Conflict {
        section: "cell".into(),
        changed_by: ConfigVersion::new(1),
        base: ConfigVersion::new(0),
    };
    assert_eq!(second, [(2, Err(conflict))]);
    assert_eq!(
        other,
        [(3, Ok(ConfigVersion::new(2)))],
        "another section does not conflict"
    );
}

/// Guards against a rejected publication that is accepted when its append is repeated later.
#[test]
fn a_repeated_id_is_not_decided_again() {
    let mut replay = ConfigReplay::new();
    assert!(
        decided(&mut replay, 0, 1, publication(0, 3, 0))[0]
            .1
            .is_err()
    );
    assert!(
        decided(&mut replay, 1, 2, publication(0, 2, 0))[0]
            .1
            .is_ok()
    );
    assert_eq!(decided(&mut replay, 2, 1, publication(0, 3, 0)), []);
    assert!(!replay.config().section_versions.contains_key("rack/r"));
}

/// Guards against readers that return to an older version after the log has lost its records.
#[test]
fn a_restoring_snapshot_raises_the_version_of_an_emptied_log() {
    let mut old = ConfigReplay::new();
    decided(&mut old, 0, 1, publication(0, 0, 1));
    decided(&mut old, 1, 2, publication(1, 0, 2));
    let lost = old.config().clone();
    let mut replay = ConfigReplay::new();
    let snapshot = Box::new(replay.restoring_snapshot(lost.clone()));
    let record = ConfigRecord::Snapshot {
        written_unix_ms: 0,
        snapshot,
    };
    replay.apply(LogOffset::new(0), record);
    assert_eq!(replay.config(), &lost);
}

/// Guards against a reader that loses publications between a gap in the log and a snapshot from
/// another daemon's memory, while readers without the gap accept them.
#[test]
fn a_restored_snapshot_keeps_the_publications_before_it() {
    let mut follower = ConfigReplay::new();
    decided(&mut follower, 0, 1, publication(0, 0, 1));
    let fetched = follower.config().clone();
    let mut starter = ConfigReplay::new();
    starter.skip_trimmed(LogOffset::new(1));
    let records = [(1, 1, publication(0, 0, 1)), (2, 2, publication(1, 1, 3))];
    for (offset, id, publication) in records {
        decided(&mut follower, offset, id, publication.clone());
        assert_eq!(decided(&mut starter, offset, id, publication), []);
    }
    let snapshot = Box::new(starter.restoring_snapshot(fetched));
    let record = ConfigRecord::Snapshot {
        written_unix_ms: 0,
        snapshot,
    };
    follower.apply(LogOffset::new(3), record.clone());
    starter.apply(LogOffset::new(3), record);
    assert_eq!(follower.config().version, ConfigVersion::new(2));
    assert_eq!(starter.config(), follower.config());
}

/// Guards against accepted publications that change nothing, name a section twice or wrongly,
/// remove a required section or are based on a future version.
#[test]
fn malformed_publications_are_refused() {
    let config = CellConfig::new();
    let mut empty = publication(0, 0, 1);
    empty.changes.clear();
    assert_eq!(config.apply(&empty), Err(ApplyError::Empty));
    let mut twice = publication(0, 0, 1);
    twice.changes.push(twice.changes[0].clone());
    assert_eq!(
        config.apply(&twice),
        Err(ApplyError::Repeated("cell".into()))
    );
    let mut wrong = publication(0, 0, 1);
    wrong.changes[0].name = "rules".into();
    assert_eq!(
        config.apply(&wrong),
        Err(ApplyError::WrongName("rules".into()))
    );
    let mut removed = publication(0, 0, 1);
    removed.changes[0].section = None;
    assert_eq!(
        config.apply(&removed),
        Err(ApplyError::Required("cell".into()))
    );
    let future = publication(1, 0, 1);
    assert!(matches!(
        config.apply(&future),
        Err(ApplyError::FutureBase { .. })
    ));
}
