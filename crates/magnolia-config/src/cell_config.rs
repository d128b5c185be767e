//! The accepted configuration and the versions of its sections.

use std::collections::BTreeMap;

use magnolia_types::ConfigVersion;
use serde::{Deserialize, Serialize};

use crate::{ConfigDocument, KeySet};

/// The configuration of a cell after the publications accepted so far.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellConfig {
    /// Number of accepted publications.
    pub version: ConfigVersion,
    /// Version that last changed or removed each section, by the section's full name.
    pub section_versions: BTreeMap<String, ConfigVersion>,
    /// Partitions that keep idempotency keys, by region.
    #[serde(default)]
    pub key_sets: BTreeMap<String, KeySet>,
    /// Inventory and rules; `None` before the first publication.
    pub document: Option<ConfigDocument>,
}

impl CellConfig {
    /// Creates the configuration before the first publication, version 0.
    pub fn new() -> Self {
        Self {
            version: ConfigVersion::new(0),
            section_versions: BTreeMap::new(),
            key_sets: BTreeMap::new(),
            document: None,
        }
    }
}

impl Default for CellConfig {
    fn default() -> Self {
        Self::new()
    }
}
