//! Checks that names and addresses are well formed and unique.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnolia_types::UnitId;

use super::ErrorList;
use crate::{ClassSection, RackSection};
use crate::{ConfigDocument, CustomerSection, DataCentreSection, ExecutorBlockSection};

/// Maximum length of a cell, partition or group name in bytes; leaves room for the prefixes in ids
/// of units and jobs.
const MAX_NAME_BYTES: usize = 64;

/// Checks that names and addresses are well formed and used only once.
pub(super) fn check_names(document: &ConfigDocument, errors: &mut ErrorList) {
    check_cell(document, errors);
    let mut seen = BTreeMap::new();
    for (name, label) in all_names(document) {
        let count = seen.entry(name.clone()).or_insert(0_usize);
        if *count > 0 {
            errors.add_at(
                &name,
                *count,
                None,
                format!("{label} is used twice; names are unique"),
            );
        }
        *count += 1;
    }
    check_addresses(document, errors);
    check_units(document, errors);
}

fn check_cell(document: &ConfigDocument, errors: &mut ErrorList) {
    let name = &document.cell.name;
    if name.trim().is_empty() || name.len() > MAX_NAME_BYTES {
        let message = format!("{name:?} is not allowed; allowed: 1 to {MAX_NAME_BYTES} bytes");
        errors.add("cell", Some("name"), message);
    }
}

/// Returns the full name and the label for messages of every worker, every executor and every
/// section that has a unique name, in the order of the document.
fn all_names(document: &ConfigDocument) -> Vec<(String, String)> {
    let named = |kind: &str, name: &str| (format!("{kind}/{name}"), format!("{kind} {name}"));
    let mut names = Vec::new();
    let data_centres = document.data_centres.iter();
    names.extend(
        data_centres.map(|section: &DataCentreSection| named("data_centre", section.name.as_str())),
    );
    for rack in &document.racks {
        names.push(named("rack", rack.name.as_str()));
        let workers = rack.workers.iter();
        names.extend(workers.map(|worker| named("worker", worker.name.as_str())));
    }
    for block in &document.executor_blocks {
        names.push(named("executor_block", &block.name));
        let executors = block.executors.iter();
        names.extend(executors.map(|executor| named("executor", executor.name.as_str())));
    }
    let customers = document.customers.iter();
    names.extend(
        customers.map(|customer: &CustomerSection| named("customer", customer.name.as_str())),
    );
    let classes = document.classes.iter();
    names.extend(classes.map(|class: &ClassSection| named("class", class.name.as_str())));
    names
}

fn check_addresses(document: &ConfigDocument, errors: &mut ErrorList) {
    let workers = document
        .racks
        .iter()
        .flat_map(|rack: &RackSection| &rack.workers);
    let workers = workers.map(|worker| (format!("worker/{}", worker.name), worker.address));
    let executors = document
        .executor_blocks
        .iter()
        .flat_map(|block: &ExecutorBlockSection| &block.executors);
    let executors =
        executors.map(|executor| (format!("executor/{}", executor.name), executor.address));
    let mut seen: BTreeMap<SocketAddr, String> = BTreeMap::new();
    for (name, address) in workers.chain(executors) {
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let message = format!(
                "{address} is not allowed; allowed: an IP address of one host and a port from 1"
            );
            errors.add(&name, Some("address"), message);
        }
        match seen.get(&address) {
            Some(first) if *first != name => {
                let message = format!("{address} is the address of {first}; addresses are unique");
                errors.add(&name, Some("address"), message);
            }
            Some(_) => {}
            None => {
                seen.insert(address, name);
            }
        }
    }
}

fn check_units(document: &ConfigDocument, errors: &mut ErrorList) {
    let mut check = |section: String, field: &str, name: &str, well_formed: bool| {
        if !well_formed || name.len() > MAX_NAME_BYTES {
            let message = format!(
                "{name:?} is not allowed; allowed: 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_', '.' or ':'"
            );
            errors.add(&section, Some(field), message);
        }
    };
    for rack in &document.racks {
        // With its prefix, an empty name would still give a valid unit id.
        let well_formed =
            !rack.partition.is_empty() && UnitId::new_partition(&rack.partition).is_ok();
        check(
            format!("rack/{}", rack.name),
            "partition",
            &rack.partition,
            well_formed,
        );
    }
    for block in &document.executor_blocks {
        let well_formed = !block.name.is_empty() && UnitId::new_group(&block.name).is_ok();
        check(
            format!("executor_block/{}", block.name),
            "name",
            &block.name,
            well_formed,
        );
    }
}
