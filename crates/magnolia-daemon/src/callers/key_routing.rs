//! Chooses the partition of a job or an idempotency key among those of this daemon's region.

use magnolia_config::ConfigDocument;
use magnolia_types::{CustomerName, DataCentreName, IdempotencyKey, ResourceVector, ResultCode};
use rand::seq::SliceRandom;

use super::request::{Refusal, refuse};
use crate::config_feed::unix_ms;
use crate::context::DaemonContext;

/// Returns the partition that stores the record of an idempotency key. Equal keys of different
/// customers are different keys.
///
/// # Errors
///
/// Fails with the refusal to send when the region has no partition, or when work that is not
/// repeatable may already have run under this key in an earlier set of partitions.
pub fn partition_of_key(
    context: &DaemonContext,
    customer: &CustomerName,
    key: &IdempotencyKey,
    is_repeatable: bool,
) -> Result<String, Refusal> {
    let config = context.config();
    let data_centre = &context.identity.data_centre;
    let Some((region, set)) = config.key_set_of(data_centre) else {
        let message = format!(
            "no partition keeps keys for data centre {data_centre} of this daemon; the inventory \
             has no workers in its region, or does not name the data centre"
        );
        return Err(refuse(ResultCode::NoBackend, &message));
    };
    let confirmed = config.document.as_ref();
    let confirmed = confirmed.and_then(|document| document.rules.key_set_confirmed);
    if !is_repeatable && set.is_unsettled(confirmed, unix_ms()) {
        let message = format!(
            "the partitions of region {region} have changed, and a key may have been used in \
             another one; settled after 24 hours, or when the rules have key_set_confirmed = {:?}",
            set.hash
        );
        return Err(refuse(ResultCode::KeySetChanged, &message));
    }
    let document = config.document.as_ref();
    let partition = document.and_then(|document| document.partition_of_key(&region, customer, key));
    partition.ok_or_else(|| refuse(ResultCode::NoBackend, "the region has no partition"))
}

/// Returns the partitions with a worker that is large enough for a task of this size, in random
/// order.
///
/// # Errors
///
/// Fails with the refusal to send when no worker of the region is large enough.
pub fn partitions_for_size(
    context: &DaemonContext,
    size: &ResourceVector,
) -> Result<Vec<String>, Refusal> {
    let mut partitions = region_partitions(context)?;
    let config = context.config();
    if let Some(document) = &config.document {
        partitions.retain(|partition| can_hold(document, partition, size));
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

/// Tells whether a task of this size fits into an empty worker of the partition.
fn can_hold(document: &ConfigDocument, partition: &str, size: &ResourceVector) -> bool {
    document
        .workers_of(partition)
        .any(|(_, _, capacity)| size.fits_in(&capacity))
}

/// Describes the largest worker of the cell for a refusal.
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

/// Returns the partitions of the region of this daemon, or a refusal if there are none.
fn region_partitions(context: &DaemonContext) -> Result<Vec<String>, Refusal> {
    let data_centre = &context.identity.data_centre;
    let partitions = context
        .with_document(|document| partitions_of_region(document, data_centre))
        .unwrap_or_default();
    if partitions.is_empty() {
        return Err(refuse(
            ResultCode::NoBackend,
            "the inventory has no workers in the region of this daemon",
        ));
    }
    Ok(partitions)
}

/// Returns the partitions of the region that `data_centre` belongs to. A data centre that is not in
/// the inventory belongs to no region, so its daemons use all partitions.
fn partitions_of_region(document: &ConfigDocument, data_centre: &DataCentreName) -> Vec<String> {
    match document.data_centre(data_centre) {
        Some(data_centre) => document.partitions_of_region(&data_centre.region),
        None => document.partitions(),
    }
}
