//! The sets of partitions that keep idempotency keys, one for each region.
//!
//! Each key maps to one partition of the set. When the set changes, some keys map to another
//! partition, and a repeated request could reach a partition that has no record of the first one.
//! Work that is not repeatable is therefore refused until the keys of the old set have expired, or
//! until an operator confirms the new set.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnolia_types::{
    CustomerName, DataCentreName, IdempotencyKey, Millis, rendezvous_order, stable_hash, wire_types,
};

use crate::{CellConfig, ConfigDocument};

/// How long a partition keeps an idempotency key.
pub const KEY_RETENTION: Millis = Millis::from_secs(24 * 3600);

wire_types! {
    /// The partitions of one region that keep idempotency keys.
    pub struct KeySet {
        /// Hash of the sorted names of the partitions, in hexadecimal.
        pub hash: Arc<str>,
        /// Unix time in milliseconds at which the set replaced another one; 0 for the first set.
        pub changed_unix_ms: u64,
    }
}

impl KeySet {
    /// Tells whether partitions of an earlier set may still keep keys that now map elsewhere.
    /// `confirmed` is the hash of the set that an operator has confirmed.
    pub fn is_unsettled(&self, confirmed: Option<u64>, now_unix_ms: u64) -> bool {
        let expires_unix_ms = self.changed_unix_ms.saturating_add(KEY_RETENTION.get());
        let is_confirmed = confirmed.map(format_hash).as_deref() == Some(&*self.hash);
        self.changed_unix_ms > 0 && now_unix_ms < expires_unix_ms && !is_confirmed
    }
}

impl CellConfig {
    /// Returns the region whose partitions keep the keys of a daemon in `data_centre`, with its key
    /// set.
    ///
    /// A data centre that is not in the inventory counts as part of the region if there is only
    /// one; with several regions, the result is `None`.
    pub fn key_set_of(&self, data_centre: &DataCentreName) -> Option<(Arc<str>, &KeySet)> {
        let document = self.document.as_ref()?;
        let region = match document.data_centre(data_centre) {
            Some(section) => Arc::clone(&section.region),
            None => document.only_region()?,
        };
        let set = self.key_sets.get(&*region)?;
        Some((region, set))
    }

    /// Updates the key sets that a publication written at `written_unix_ms` has changed.
    pub(crate) fn update_key_sets(&mut self, written_unix_ms: u64) {
        let Some(document) = &self.document else {
            return;
        };
        let mut regions: Vec<&Arc<str>> = document
            .data_centres
            .iter()
            .map(|data_centre| &data_centre.region)
            .collect();
        regions.sort();
        regions.dedup();
        for region in regions {
            let partitions = document.partitions_of_region(region);
            if partitions.is_empty() {
                continue;
            }
            let hash = format_hash(stable_hash(partitions.join(",").as_bytes()));
            let changed_unix_ms = match self.key_sets.get(&**region) {
                Some(known) if *known.hash == *hash => continue,
                // 0 would mark the set as the first one.
                Some(_) => written_unix_ms.max(1),
                None => 0,
            };
            let set = KeySet {
                hash: hash.into(),
                changed_unix_ms,
            };
            self.key_sets.insert(region.to_string(), set);
        }
    }
}

impl ConfigDocument {
    /// Returns the names of the partitions of a region, sorted and without duplicates.
    pub fn partitions_of_region(&self, region: &str) -> Vec<String> {
        let regions: BTreeMap<&DataCentreName, &Arc<str>> = self
            .data_centres
            .iter()
            .map(|data_centre| (&data_centre.name, &data_centre.region))
            .collect();
        let racks = self.racks.iter().filter(|rack| {
            let found = regions.get(&rack.data_centre);
            found.is_some_and(|found| ***found == *region)
        });
        let mut partitions: Vec<String> = racks.map(|rack| rack.partition.to_string()).collect();
        partitions.sort();
        partitions.dedup();
        partitions
    }

    /// Returns the partition of a region that keeps the key, by rendezvous hashing. Equal keys of
    /// different customers are different keys.
    pub fn partition_of_key(
        &self,
        region: &str,
        customer: &CustomerName,
        key: &IdempotencyKey,
    ) -> Option<String> {
        let partitions = self.partitions_of_region(region);
        // Neither part contains NUL, so different pairs give different texts.
        let joined = format!("{customer}\u{0}{key}");
        let order = rendezvous_order(&joined, &partitions);
        order.first().map(|partition| (*partition).clone())
    }

    /// Tells whether `partition` keeps the key for its region.
    pub fn keeps_key(
        &self,
        partition: &str,
        customer: &CustomerName,
        key: &IdempotencyKey,
    ) -> bool {
        let mut racks = self.racks.iter();
        let rack = racks.find(|rack| &*rack.partition == partition);
        let data_centre = rack.and_then(|rack| self.data_centre(&rack.data_centre));
        let keeper = data_centre
            .and_then(|data_centre| self.partition_of_key(&data_centre.region, customer, key));
        keeper.as_deref() == Some(partition)
    }

    /// Returns the region if all data centres are in the same one.
    fn only_region(&self) -> Option<Arc<str>> {
        let mut regions = self
            .data_centres
            .iter()
            .map(|data_centre| &data_centre.region);
        let first = regions.next()?;
        regions
            .all(|region| region == first)
            .then(|| Arc::clone(first))
    }
}

fn format_hash(hash: u64) -> String {
    format!("{hash:016x}")
}
