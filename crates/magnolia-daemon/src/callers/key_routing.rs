//! Chooses the partition of a job or key among those of this daemon's region.

use magnolia_config::ConfigDocument;
use magnolia_types::{
    CustomerName, DataCentreName, IdempotencyKey, ResourceVector, ResultCode, rendezvous_order,
};
use rand::seq::SliceRandom;

use super::request::{Refusal, refuse};
use crate::context::DaemonContext;

/// Returns the partition that keeps the record of a key. Keys of different customers are
/// different keys.
///
/// # Errors
///
/// Fails with the refusal to send when the region has no partition.
pub fn partition_of_key(
    context: &DaemonContext,
    customer: &CustomerName,
    key: &IdempotencyKey,
) -> Result<String, Refusal> {
    let partitions = region_partitions(context)?;
    // NUL occurs in neither name, so no two pairs give the same text.
    let joined = format!("{customer}\u{0}{key}");
    let order = rendezvous_order(&joined, &partitions);
    Ok(order[0].clone())
}

/// Returns the partitions that could hold a task of this size, in random order.
///
/// # Errors
///
/// Fails with the refusal to send when no worker of the region could ever hold one.
pub fn partitions_for_size(
    context: &DaemonContext,
    size: &ResourceVector,
) -> Result<Vec<String>, Refusal> {
    let mut partitions = region_partitions(context)?;
    let config = context.config();
    if let Some(document) = &config.document {
        partitions.retain(|partition| could_hold(document, partition, size));
    }
    if partitions.is_empty() {
        let message = format!(
            "size: no worker of the region could ever hold a task of {size}; {}",
            describe_largest(context)
        );
        return Err(refuse(ResultCode::NeverFits, &message));
    }
    partitions.shuffle(&mut rand::rng());
    Ok(partitions)
}

fn could_hold(document: &ConfigDocument, partition: &str, size: &ResourceVector) -> bool {
    document
        .workers_of(partition)
        .any(|(_, _, capacity)| size.fits_in(&capacity))
}

fn describe_largest(context: &DaemonContext) -> String {
    let largest = context.with_document(|document| {
        let racks = document.racks.iter();
        let racks = racks.filter(|rack| !rack.workers.is_empty());
        racks
            .map(|rack| rack.capacity)
            .max_by_key(|capacity| (capacity.cpu_millis, capacity.memory_mib))
    });
    match largest.flatten() {
        Some(capacity) => format!("the largest worker has {capacity}"),
        None => "the inventory has no workers".into(),
    }
}

fn region_partitions(context: &DaemonContext) -> Result<Vec<String>, Refusal> {
    let own = &context.identity.data_centre;
    let partitions = context
        .with_document(|document| partitions_of_region(document, own))
        .unwrap_or_default();
    if partitions.is_empty() {
        return Err(refuse(
            ResultCode::NoBackend,
            "the inventory has no workers in the region of this daemon",
        ));
    }
    Ok(partitions)
}

/// Returns the partitions of the region that `centre` belongs to. A data centre that is not in the
/// inventory belongs to no region, so its daemons use every partition.
fn partitions_of_region(document: &ConfigDocument, centre: &DataCentreName) -> Vec<String> {
    let Some(own) = document.data_centre(centre) else {
        return document.partitions();
    };
    let in_region = |name: &DataCentreName| {
        document
            .data_centre(name)
            .is_some_and(|centre| centre.region == own.region)
    };
    let racks = document.racks.iter();
    let racks = racks.filter(|rack| in_region(&rack.data_centre));
    let mut partitions: Vec<String> = racks.map(|rack| rack.partition.to_string()).collect();
    partitions.sort();
    partitions.dedup();
    partitions
}
