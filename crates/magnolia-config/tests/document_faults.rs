//! Tests that each error in a document is reported with its line, its section and what is allowed.

use magnolia_config::{CheckErrors, ConfigDocument};

/// A valid document; each test case changes one part of it.
const VALID: &str = r#"[cell]
name = "test"

[rules]
lease_ms = 30000
start_window_ms = 12000
packing_weight = 50

[[data_centre]]
name = "dc1"
region = "north"

[[data_centre]]
name = "dc2"
region = "south"

[[rack]]
name = "r1"
data_centre = "dc1"
capacity = { cpu_millis = 32000, memory_mib = 131072 }
workers = [
  { name = "w1", address = "127.0.0.1:7001" },
  { name = "w2", address = "127.0.0.1:7002" },
]

[[executor_block]]
name = "g1"
data_centre = "dc1"
slots = 8
connections = 64
executors = [{ name = "e1", address = "127.0.0.1:7101" }]

[[customer]]
name = "board"
weight = 4
max_queued = 100

[[class]]
name = "quick"
rank = 7
floor_percent = 60

[[class]]
name = "batch"
rank = 1
floor_percent = 40
"#;

fn errors_of(text: &str) -> CheckErrors {
    ConfigDocument::from_toml(text).expect_err("the document has an error")
}

/// Replaces `old` by `new` and expects exactly one error with this line, this section and a message
/// that contains `message`.
fn expect_error(old: &str, new: &str, line: u32, section: &str, message: &str) {
    assert_eq!(VALID.matches(old).count(), 1, "{old}");
    let errors = errors_of(&VALID.replace(old, new)).errors;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].line, Some(line), "{}", errors[0]);
    assert_eq!(errors[0].section, section, "{}", errors[0]);
    let text = errors[0].to_string();
    assert!(text.contains(message), "{text}");
}

macro_rules! error_cases {
    ($($name:ident: $old:expr => $new:expr, $line:expr, $section:expr, $message:expr;)*) => {
        $(
            #[test]
            fn $name() {
                expect_error($old, $new, $line, $section, $message);
            }
        )*
    };
}

// Each case guards against an error that is accepted, or reported with another line or section.
error_cases! {
    syntax: "weight = 4" => "weight = = 4", 35, "document", "";
    unknown_section: "[rules]" => "[rule]", 4, "rule", "allowed: cell, rules";
    unknown_field: "slots = 8" => "slots = 8\nslot = 8", 30, "executor_block/g1", "expected one of";
    missing_field: "rank = 7" => "", 38, "class/quick", "missing field `rank`";
    wrong_type: "rank = 7" => "rank = \"high\"", 40, "class/quick", "rank";
    bad_name: "\"board\"" => "\"the board\"", 34, "customer/the board", "ASCII letters";
    bad_address: "127.0.0.1:7002" => "127.0.0.1", 23, "rack/r1", "workers[1]";
    port_zero: "127.0.0.1:7002" => "127.0.0.1:0", 23, "worker/w2", "port from 1";
    repeated_worker: "\"w2\"" => "\"w1\"", 23, "worker/w1", "used twice";
    repeated_address: "127.0.0.1:7101" => "127.0.0.1:7001", 31, "executor/e1", "worker/w1";
    repeated_section: "\"batch\"" => "\"quick\"", 43, "class/quick", "used twice";
    repeated_centre: "\"dc2\"" => "\"dc1\"", 13, "data_centre/dc1", "used twice";
    unknown_centre: "name = \"g1\"\ndata_centre = \"dc1\"" => "name = \"g1\"\ndata_centre = \"dc9\"",
        28, "executor_block/g1", "allowed: dc1, dc2";
    no_slots: "slots = 8" => "slots = 0", 29, "executor_block/g1", "allowed: 1 to";
    no_connections: "connections = 64" => "connections = 0", 30, "executor_block/g1", "allowed: 1 to";
    no_weight: "weight = 4" => "weight = 0", 35, "customer/board", "allowed: 1 to";
    no_queue: "max_queued = 100" => "max_queued = 0", 36, "customer/board", "allowed: 1 to";
    empty_quota: "weight = 4" => "quota = { cpu_millis = 0, memory_mib = 1 }", 35,
        "customer/board", "quota";
    no_cpu: "cpu_millis = 32000" => "cpu_millis = 0", 20, "rack/r1", "capacity.cpu_millis: 0";
    no_memory: "memory_mib = 131072" => "memory_mib = 0", 20, "rack/r1", "capacity.memory_mib: 0";
    floors_above_all: "floor_percent = 40" => "floor_percent = 41", 46, "class/batch", "101";
    floor_above_all: "floor_percent = 60" => "floor_percent = 160", 41, "class/quick", "0 to 100";
    packing_above_all: "packing_weight = 50" => "packing_weight = 101", 7, "rules", "0 to 100";
    short_lease: "lease_ms = 30000" => "lease_ms = 10", 5, "rules", "1000 to 600000";
    window_over_lease: "start_window_ms = 12000" => "start_window_ms = 30000", 6, "rules",
        "below the lease";
    window_under_renewal: "start_window_ms = 12000" => "start_window_ms = 10000", 6, "rules",
        "10001";
    long_deadline: "packing_weight = 50" => "max_deadline_ms = 60001", 7, "rules", "1 to 60000";
    no_tasks: "packing_weight = 50" => "max_tasks = 0", 7, "rules", "1 to 1000000";
    headroom_of_all: "packing_weight = 50" => "headroom_percent = 91", 7, "rules", "0 to 90";
    negative_number: "packing_weight = 50" => "packing_weight = -1", 7, "rules", "packing_weight";
    empty_cell_name: "name = \"test\"" => "name = \" \"", 2, "cell", "1 to 64 bytes";
    bad_partition: "capacity = {" => "partition = \"p 0\"\ncapacity = {", 20, "rack/r1", "p 0";
    one_table: "[[customer]]" => "[customer]", 33, "customer", "allowed: [[customer]]";
}

/// Ensures that the errors in the other cases come from the changed part.
#[test]
fn the_base_document_is_valid() {
    let document = ConfigDocument::from_toml(VALID).expect("a valid document");
    assert_eq!(document.check(), Ok(()));
}

/// Guards against a parser that stops at the first error.
#[test]
fn every_fault_is_reported_in_order_of_the_lines() {
    let text = VALID
        .replace("rank = 7", "rank = \"high\"\ncolour = 1")
        .replace("127.0.0.1:7001", "nowhere")
        .replace("slots = 8", "slots = 0")
        .replace("floor_percent = 40", "floor_percent = true");
    let errors = errors_of(&text).errors;
    let found: Vec<(Option<u32>, &str)> = errors
        .iter()
        .map(|error| (error.line, error.section.as_str()))
        .collect();
    let expected = [
        (Some(22), "rack/r1"),
        (Some(29), "executor_block/g1"),
        (Some(40), "class/quick"),
        (Some(41), "class/quick"),
        (Some(47), "class/batch"),
    ];
    assert_eq!(found, expected, "{errors:?}");
}

/// Guards against a partition that spans regions: a network partition between the regions would
/// separate its owner from a part of its workers.
#[test]
fn a_partition_stays_within_one_region() {
    let rack = "\n[[rack]]\nname = \"r2\"\ndata_centre = \"dc2\"\npartition = \"p0\"\n\
                capacity = { cpu_millis = 1, memory_mib = 1 }\n";
    let errors = errors_of(&format!("{VALID}{rack}")).errors;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].line, Some(51));
    assert!(errors[0].message.contains("racks of one region"));
    let split = rack.replace("\"p0\"", "\"p1\"");
    ConfigDocument::from_toml(&format!("{VALID}{split}")).expect("two partitions are allowed");
}

/// Guards against errors for correct references to a section that could not be parsed.
#[test]
fn a_faulty_section_does_not_spread_to_references() {
    let text = VALID.replace("region = \"north\"", "region = 7");
    let errors = errors_of(&text).errors;
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert_eq!(errors[0].section, "data_centre/dc1");
}

/// Guards against content that is lost when a document is serialized and parsed again.
#[test]
fn a_written_document_reads_the_same() {
    let mut document = ConfigDocument::from_toml(VALID).expect("a valid document");
    document.rules.key_set_confirmed = Some(u64::MAX);
    let again = ConfigDocument::from_toml(&document.to_toml()).expect("a valid document");
    assert_eq!(again, document);
}
