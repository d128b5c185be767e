//! Tests for the splitting of large publications.

use magnolia_config::{CellConfig, ConfigDocument, ConfigPublication};
use serde_json::json;

use super::{MAX_CHANGE_BYTES, split_changes};

/// Maximum body size that a daemon accepts.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Creates a document with racks of eight workers, in partitions of at most 800 workers.
fn large_document(racks: usize) -> ConfigDocument {
    let mut text = "[cell]\nname = \"large\"\n[[data_centre]]\nname = \"dc\"\n".to_owned();
    for rack in 0..racks {
        let partition = rack / 100;
        text.push_str(&format!(
            "[[rack]]\nname = \"r{rack}\"\ndata_centre = \"dc\"\npartition = \"p{partition}\"\n\
             capacity = {{ cpu_millis = 1000, memory_mib = 1024 }}\nworkers = [\n"
        ));
        for worker in 0..8 {
            let (high, low) = (rack / 250, rack % 250);
            text.push_str(&format!(
                "{{ name = \"w{rack}-{worker}\", address = \"10.{high}.{low}.{worker}:7000\" }},\n"
            ));
        }
        text.push_str("]\n");
    }
    ConfigDocument::from_toml(&text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Publishes the changes part by part and returns the number of parts.
fn publish_in_parts(config: &mut CellConfig, wanted: &ConfigDocument) -> usize {
    let parts = split_changes(config.publication_to(wanted, "test").changes);
    let count = parts.len();
    for changes in parts {
        let publication = ConfigPublication {
            base: config.version,
            author: "test".into(),
            changes,
        };
        assert!(json!(publication).to_string().len() <= MAX_BODY_BYTES);
        *config = config.apply(&publication).expect("each part is valid");
    }
    count
}

/// Guards against a fleet that is too large to be published in one body, and against parts that are
/// refused because they refer to sections of a later part.
#[test]
fn a_large_fleet_is_published_and_taken_away_in_valid_parts() {
    let (large, small) = (large_document(1500), large_document(1));
    let mut config = CellConfig::new();
    let parts = publish_in_parts(&mut config, &large);
    assert!(
        parts > 1,
        "1500 racks are more than {MAX_CHANGE_BYTES} bytes"
    );
    let sections = |document: &ConfigDocument| document.sections();
    assert_eq!(
        config.document.as_ref().map(sections),
        Some(large.sections())
    );
    publish_in_parts(&mut config, &small);
    assert_eq!(
        config.document.as_ref().map(sections),
        Some(small.sections())
    );
}
