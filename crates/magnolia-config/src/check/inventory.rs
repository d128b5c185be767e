//! References between sections and the extent of partitions.

use std::collections::BTreeMap;

use magnolia_types::DataCentreName;

use super::FaultList;
use crate::ConfigDocument;

/// Most workers of a partition. Its owner keeps state and leases for each; the design aims at 250.
const MAX_PARTITION_WORKERS: usize = 1000;

/// Checks references and partitions.
pub(super) fn check_inventory(document: &ConfigDocument, faults: &mut FaultList) {
    let racks = document.racks.iter();
    let racks = racks.map(|rack| (format!("rack/{}", rack.name), &rack.data_centre));
    let blocks = document.executor_blocks.iter();
    let blocks = blocks.map(|block| (format!("executor_block/{}", block.name), &block.data_centre));
    for (section, centre) in racks.chain(blocks) {
        if document.data_centre(centre).is_none() {
            let message = format!(
                "{centre} is not in the inventory; {}",
                known_centres(document)
            );
            faults.add(&section, Some("data_centre"), message);
        }
    }
    check_regions(document, faults);
    check_sizes(document, faults);
}

fn known_centres(document: &ConfigDocument) -> String {
    let names = document.data_centres.iter().map(|centre| &centre.name);
    let names: Vec<&str> = names.map(DataCentreName::as_str).collect();
    if names.is_empty() {
        return "the inventory has no [[data_centre]]".into();
    }
    format!("allowed: {}", names.join(", "))
}

/// A partition that spanned regions could not be served while the regions are cut off.
fn check_regions(document: &ConfigDocument, faults: &mut FaultList) {
    let mut regions: BTreeMap<&str, (&str, &str)> = BTreeMap::new();
    for rack in &document.racks {
        let Some(centre) = document.data_centre(&rack.data_centre) else {
            continue;
        };
        let region: &str = &centre.region;
        let first = *regions
            .entry(&rack.partition)
            .or_insert((region, rack.name.as_str()));
        if first.0 != region {
            let message = format!(
                "partition {} has rack {} in region {} and this rack in region {region}; \
                 allowed: racks of one region",
                rack.partition, first.1, first.0
            );
            faults.add(&format!("rack/{}", rack.name), Some("partition"), message);
        }
    }
}

fn check_sizes(document: &ConfigDocument, faults: &mut FaultList) {
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
            faults.add(&format!("rack/{}", rack.name), Some("partition"), message);
        }
    }
}
