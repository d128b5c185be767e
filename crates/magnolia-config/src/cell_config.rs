//! The accepted configuration with its versions.

use std::collections::BTreeMap;

use magnolia_types::ConfigVersion;
use serde::{Deserialize, Serialize};

use crate::{ConfigDocument, KeySet};

/// An accepted configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CellConfig {
    /// Count of accepted publications.
    pub version: ConfigVersion,
    /// Version that last changed or removed each section.
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
