//! Tests of diffs between documents and of the publications made from them.

use magnolia_config::{CellConfig, ConfigDiff, ConfigDocument};

const OLD: &str = r#"
[cell]
name = "test"
[[data_centre]]
name = "dc"
[[rack]]
name = "r"
data_centre = "dc"
capacity = { cpu_millis = 1000, memory_mib = 1024 }
workers = [
  { name = "w1", address = "127.0.0.1:1" },
  { name = "w2", address = "127.0.0.1:2" },
]
[[customer]]
name = "a"
"#;

fn read(text: &str) -> ConfigDocument {
    ConfigDocument::from_toml(text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Guards against publications that contain unchanged sections, which would conflict with changes
/// of other operators without need, and against diffs that omit a field.
#[test]
fn only_changed_sections_are_listed() {
    let old = read(OLD);
    let text = OLD
        .replace("  { name = \"w1\", address = \"127.0.0.1:1\" },\n", "")
        .replace("127.0.0.1:2", "127.0.0.1:3")
        .replace("[[customer]]\nname = \"a\"", "[[customer]]\nname = \"b\"");
    let new = read(&text);
    let shown = ConfigDiff::new(Some(&old), Some(&new)).to_string();
    let expected = "- customer/a\n\
                    + customer/b\n\
                    ~ rack/r\n    \
                    workers/w1/address: \"127.0.0.1:1\" -> (none)\n    \
                    workers/w2/address: \"127.0.0.1:2\" -> \"127.0.0.1:3\"\n";
    assert_eq!(shown, expected);
    let publication = CellConfig {
        document: Some(old.clone()),
        ..CellConfig::new()
    }
    .publication_to(&new, "test");
    let names: Vec<&str> = publication
        .changes
        .iter()
        .map(|change| change.name.as_str())
        .collect();
    assert_eq!(names, ["customer/a", "customer/b", "rack/r"]);
    assert!(ConfigDiff::new(Some(&old), Some(&old)).is_empty());
}
