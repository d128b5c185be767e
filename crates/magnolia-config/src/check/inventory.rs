//! Checks of references between sections and of the regions and sizes of partitions.

use std::collections::BTreeMap;

use magnolia_types::DataCentreName;

use super::ErrorList;
use crate::ConfigDocument;

/// Maximum number of workers of a partition. The owner keeps state and leases for each of them; the
/// design target is 250.
const MAX_PARTITION_WORKERS: usize = 1000;

/// Checks that references exist and that partitions keep to one region and the maximum size.
pub(super) fn check_inventory(document: &ConfigDocument, errors: &mut ErrorList) {
    let racks = document.racks.iter();
    let racks = racks.map(|rack| (format!("rack/{}", rack.name), &rack.data_centre));
    let blocks = document.executor_blocks.iter();
    let blocks = blocks.map(|block| (format!("executor_block/{}", block.name), &block.data_centre));
    for (section, data_centre) in racks.chain(blocks) {
        if document.data_centre(data_centre).is_none() {
            let message = format!(
                "{data_centre} is not in the inventory; {}",
                list_data_centres(document)
            );
            errors.add(&section, Some("data_centre"), message);
        }
    }
    check_regions(document, errors);
    check_partition_sizes(document, errors);
}

fn list_data_centres(document: &ConfigDocument) -> String {
    let names = document
        .data_centres
        .iter()
        .map(|data_centre| &data_centre.name);
    let names: Vec<&str> = names.map(DataCentreName::as_str).collect();
    if names.is_empty() {
        return "the inventory has no [[data_centre]]".into();
    }
    format!("allowed: {}", names.join(", "))
}

/// Checks that each partition lies in one region: its owner could not reach all of its workers
/// while the regions are disconnected.
fn check_regions(document: &ConfigDocument, errors: &mut ErrorList) {
    let mut regions: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    for rack in &document.racks {
        let Some(data_centre) = document.data_centre(&rack.data_centre) else {
            continue;
        };
        let region: &str = &data_centre.region;
        let first = *regions
            .entry(&rack.partition)
            .or_insert((region, rack.name.as_str()));
        if first.0 != region {
            let message = format!(
                "partition {} has rack {} in region {} and this rack in region {region}; \
                 allowed: racks of one region",
                rack.partition, first.1, first.0
            );
            errors.add(&format!("rack/{}", rack.name), Some("partition"), message);
        }
    }
}

fn check_partition_sizes(document: &ConfigDocument, errors: &mut ErrorList) {
    let mut sizes: BTreeMap<&str, usize> = BTreeMap::new();
    for rack in &document.racks {
        let size = sizes.entry(&rack.partition).or_default();
        let before = *size;
        *size += rack.workers.len();
        if before <= MAX_PARTITION_WORKERS && *size > MAX_PARTITION_WORKERS {
            let message = format!(
                "partition {} gets {size} workers with this rack; allowed: up to \
                 {MAX_PARTITION_WORKERS}",
                rack.partition
            );
            errors.add(&format!("rack/{}", rack.name), Some("partition"), message);
        }
    }
}
