//! Checks of numbers against their allowed ranges.

use std::ops::RangeInclusive;

use magnolia_types::ResourceVector;

use super::ErrorList;
use crate::{ConfigDocument, RulesSection};

/// Processors of one worker, in thousandths.
const CPU_MILLIS: RangeInclusive<u64> = 1..=10_000_000;
/// Memory of one worker in MiB.
const MEMORY_MIB: RangeInclusive<u64> = 1..=(1 << 30);
/// Accelerators of one worker.
const ACCELERATORS: RangeInclusive<u64> = 0..=1024;
/// Slots of one executor.
const SLOTS: RangeInclusive<u64> = 1..=65_535;
/// Connections of one executor.
const CONNECTIONS: RangeInclusive<u64> = 1..=65_535;
/// Weight of a customer.
const WEIGHT: RangeInclusive<u64> = 1..=10_000;
/// Queued quick requests of one customer at one entry daemon.
const MAX_QUEUED: RangeInclusive<u64> = 1..=1_000_000;
/// Floor of a class, and weight of packing, in percent.
const PERCENT: RangeInclusive<u64> = 0..=100;
/// Reserved share of a worker in percent; the rest must suffice for ordinary work.
const HEADROOM_PERCENT: RangeInclusive<u64> = 0..=90;
/// Duration of a lease in milliseconds; a shorter one could expire in an ordinary pause of a
/// process.
const LEASE_MS: RangeInclusive<u64> = 1_000..=600_000;
/// Maximum deadline of a quick request in milliseconds; a planned shutdown waits a little longer
/// than this for requests in flight.
const MAX_DEADLINE_MS: RangeInclusive<u64> = 1..=60_000;
/// Tasks of a job.
const MAX_TASKS: RangeInclusive<u64> = 1..=1_000_000;
/// Owners renew leases this many times per lease. The answer to a renewal carries the clock reading
/// that later command batches use, so that a start window of one renewal interval or less could
/// refuse starts from an owner that renews in time.
const RENEWALS_PER_LEASE: u64 = 3;

/// Checks every number in the document.
pub(super) fn check_limits(document: &ConfigDocument, errors: &mut ErrorList) {
    check_racks(document, errors);
    check_blocks(document, errors);
    check_customers(document, errors);
    check_classes(document, errors);
    check_rules(&document.rules, errors);
}

fn check_racks(document: &ConfigDocument, errors: &mut ErrorList) {
    for rack in &document.racks {
        check_capacity(&format!("rack/{}", rack.name), &rack.capacity, errors);
        for worker in &rack.workers {
            if let Some(capacity) = &worker.capacity {
                check_capacity(&format!("worker/{}", worker.name), capacity, errors);
            }
        }
    }
}

fn check_capacity(section: &str, capacity: &ResourceVector, errors: &mut ErrorList) {
    let (cpu, memory) = (capacity.cpu_millis.get(), capacity.memory_mib.get());
    errors.check_range(section, "capacity.cpu_millis", cpu, CPU_MILLIS);
    errors.check_range(section, "capacity.memory_mib", memory, MEMORY_MIB);
    let accelerators = capacity.accelerators.into();
    errors.check_range(section, "capacity.accelerators", accelerators, ACCELERATORS);
}

fn check_blocks(document: &ConfigDocument, errors: &mut ErrorList) {
    for block in &document.executor_blocks {
        let section = format!("executor_block/{}", block.name);
        errors.check_range(&section, "slots", block.slots.into(), SLOTS);
        errors.check_range(
            &section,
            "connections",
            block.connections.into(),
            CONNECTIONS,
        );
    }
}

fn check_customers(document: &ConfigDocument, errors: &mut ErrorList) {
    for customer in &document.customers {
        let section = format!("customer/{}", customer.name);
        errors.check_range(&section, "weight", customer.weight.into(), WEIGHT);
        errors.check_range(
            &section,
            "max_queued",
            customer.max_queued.into(),
            MAX_QUEUED,
        );
        let empty =
            |quota: &ResourceVector| quota.cpu_millis.get() == 0 || quota.memory_mib.get() == 0;
        if customer.quota.as_ref().is_some_and(empty) {
            let message = "a quota without processors or memory admits no task; allowed: \
                           cpu_millis and memory_mib from 1, or no quota";
            errors.add(&section, Some("quota"), message.into());
        }
    }
}

fn check_classes(document: &ConfigDocument, errors: &mut ErrorList) {
    let mut sum = 0;
    for class in &document.classes {
        let section = format!("class/{}", class.name);
        let floor = u64::from(class.floor_percent);
        errors.check_range(&section, "floor_percent", floor, PERCENT);
        let before = sum;
        sum += floor;
        if before <= 100 && sum > 100 && floor <= 100 {
            let message = format!(
                "{floor} brings the sum of the floors to {sum}; allowed: up to 100 for all classes"
            );
            errors.add(&section, Some("floor_percent"), message);
        }
    }
}

fn check_rules(rules: &RulesSection, errors: &mut ErrorList) {
    let section = "rules";
    let lease = rules.lease_ms.get();
    let window = rules.start_window_ms.get();
    errors.check_range(
        section,
        "packing_weight",
        rules.packing_weight.into(),
        PERCENT,
    );
    let headroom = rules.headroom_percent.into();
    errors.check_range(section, "headroom_percent", headroom, HEADROOM_PERCENT);
    errors.check_range(section, "lease_ms", lease, LEASE_MS);
    let shortest = lease / RENEWALS_PER_LEASE + 1;
    if LEASE_MS.contains(&lease) && !(shortest..lease).contains(&window) {
        let message = format!(
            "{window} is not allowed with lease_ms {lease}; allowed: {shortest} (over one renewal \
             interval, a third of the lease) to {} (below the lease)",
            lease - 1
        );
        errors.add(section, Some("start_window_ms"), message);
    }
    let deadline = rules.max_deadline_ms.get();
    errors.check_range(section, "max_deadline_ms", deadline, MAX_DEADLINE_MS);
    errors.check_range(section, "max_tasks", rules.max_tasks.into(), MAX_TASKS);
}
