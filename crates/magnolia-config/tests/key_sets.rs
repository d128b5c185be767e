//! Tests of changes of the partitions that keep idempotency keys.

use magnolia_config::{
    CellConfig, ConfigDocument, ConfigRecord, ConfigReplay, KEY_RETENTION, KeySet,
};
use magnolia_types::{CustomerName, DataCentreName, IdempotencyKey, LogOffset};

/// Creates a document with one rack for each partition, all in one region.
fn document(partitions: &[&str]) -> ConfigDocument {
    let mut text = "[cell]\nname = \"test\"\n[[data_centre]]\nname = \"dc\"\n".to_owned();
    for partition in partitions {
        text.push_str(&format!(
            "[[rack]]\nname = \"r-{partition}\"\ndata_centre = \"dc\"\npartition = \"{partition}\"\n\
             capacity = {{ cpu_millis = 1, memory_mib = 1 }}\n"
        ));
    }
    ConfigDocument::from_toml(&text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Publishes one document after another at the given Unix times in milliseconds.
fn publish(steps: &[(u64, &[&str])]) -> CellConfig {
    let mut replay = ConfigReplay::new();
    for (id, (at, partitions)) in (0_u64..).zip(steps) {
        let record = ConfigRecord::Publication {
            id: id.into(),
            written_unix_ms: *at,
            publication: replay
                .config()
                .publication_to(&document(partitions), "test"),
        };
        let outcomes = replay.apply(LogOffset::new(id), record);
        assert!(
            outcomes.iter().all(|(_, outcome)| outcome.is_ok()),
            "{outcomes:?}"
        );
    }
    replay.config().clone()
}

fn key_set(config: &CellConfig, data_centre: &str) -> KeySet {
    let data_centre = DataCentreName::new(data_centre).expect("a name");
    config.key_set_of(&data_centre).expect("a set").1.clone()
}

fn parse_hash(set: &KeySet) -> Option<u64> {
    u64::from_str_radix(&set.hash, 16).ok()
}

/// Guards against a new cell that refuses work that is not repeatable.
#[test]
fn the_first_set_is_settled() {
    let set = key_set(&publish(&[(1000, &["p0", "p1"])]), "dc");
    assert!(!set.is_unsettled(None, 1001));
}

/// Guards against a second run of a request whose key has moved to a partition that has no record
/// of the first one.
#[test]
fn a_changed_set_is_unsettled_until_keys_are_forgotten() {
    let set = key_set(&publish(&[(1000, &["p0"]), (2000, &["p0", "p1"])]), "dc");
    assert!(set.is_unsettled(None, 2000));
    assert!(set.is_unsettled(None, 2000 + KEY_RETENTION.get() - 1));
    assert!(!set.is_unsettled(None, 2000 + KEY_RETENTION.get()));
    // The set must also count as unsettled for a daemon whose clock is behind.
    assert!(set.is_unsettled(None, 0));
}

/// Guards against a confirmation of one key set that also applies to another one.
#[test]
fn a_confirmation_settles_only_its_own_set() {
    let first = key_set(&publish(&[(1000, &["p0"]), (2000, &["p0", "p1"])]), "dc");
    assert!(!first.is_unsettled(parse_hash(&first), 2000));
    let second = key_set(&publish(&[(1000, &["p0"]), (2000, &["p0", "p2"])]), "dc");
    assert!(second.is_unsettled(parse_hash(&first), 2000));
}

/// Guards against a set that counts as settled after it changed and changed back: keys used in the
/// meantime may be in another partition.
#[test]
fn a_set_that_comes_back_is_a_change() {
    let steps: [(u64, &[&str]); 3] = [(1, &["p0"]), (2, &["p0", "p1"]), (3, &["p0"])];
    assert!(key_set(&publish(&steps), "dc").is_unsettled(None, 4));
}

/// Guards against a change of the key sets when only other sections change.
#[test]
fn other_changes_leave_the_set_alone() {
    let mut config = publish(&[(1000, &["p0"])]);
    let before = config.key_sets.clone();
    let mut wanted = document(&["p0"]);
    wanted.rules.packing_weight = 7;
    let publication = config.publication_to(&wanted, "test");
    config = config.apply(&publication).expect("accepted");
    assert_eq!(config.key_sets, before);
}

/// Guards against an owner that accepts a key of another partition from an entry daemon with an
/// older configuration, and against a key that no partition keeps.
#[test]
fn each_key_is_kept_by_one_partition() {
    let names = ["p0", "p1", "p2", "p3"];
    let document = document(&names);
    let customer = CustomerName::new("board").expect("a name");
    let mut kept = [0; 4];
    for number in 0..200 {
        let key = IdempotencyKey::new(&format!("key-{number}")).expect("a key");
        let keepers: Vec<usize> = (0..4)
            .filter(|index| document.keeps_key(names[*index], &customer, &key))
            .collect();
        assert_eq!(keepers.len(), 1, "{key}: {keepers:?}");
        kept[keepers[0]] += 1;
    }
    assert!(kept.iter().all(|count| *count > 0), "{kept:?}");
}

/// Guards against a daemon in an unknown data centre that maps keys to other partitions than the
/// other daemons do.
#[test]
fn an_unknown_data_centre_uses_the_only_region_or_none() {
    let config = publish(&[(1000, &["p0"])]);
    assert_eq!(key_set(&config, "elsewhere"), key_set(&config, "dc"));
    let mut two = config.clone();
    let document = two.document.as_mut().expect("a document");
    let mut data_centre = document.data_centres[0].clone();
    data_centre.name = DataCentreName::new("dc2").expect("a name");
    data_centre.region = "south".into();
    document.data_centres.push(data_centre);
    let unknown = DataCentreName::new("elsewhere").expect("a name");
    assert!(two.key_set_of(&unknown).is_none());
}
