//! Applies changes of the inventory and the rules while the owner runs.

use std::collections::BTreeSet;

use magnolia_backing::InstanceKind;
use magnolia_config::ConfigDocument;
use magnolia_types::WorkerId;

use super::owner::{OwnerPhase, PartitionOwner};
use super::worker_link::{AttemptOrder, WorkerLink};

impl PartitionOwner {
    /// Applies a configuration.
    pub(super) fn apply_config(&mut self, document: &ConfigDocument) {
        self.lease = document.rules.lease_ms;
        self.start_window = document.rules.start_window_ms;
        self.engine.set_rules(document);
        let added = self.apply_inventory(document);
        if !matches!(self.phase, OwnerPhase::Opening) {
            // Before the journal is open, this is not needed: `start_serving` creates a new tracker
            // from all links and journals the lease.
            self.journal_lease();
            for worker in added {
                self.tracker.add_worker(worker);
            }
        }
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        workers.iter().for_each(|worker| self.update_view(worker));
        self.stop_removed();
        self.move_services();
        self.placement_due = true;
    }

    /// Updates the workers from the inventory; returns those that were added.
    pub(super) fn apply_inventory(&mut self, document: &ConfigDocument) -> Vec<WorkerId> {
        let mut added = Vec::new();
        let mut known: BTreeSet<WorkerId> = BTreeSet::new();
        for (rack, worker, capacity) in document.workers_of(&self.partition) {
            known.insert(worker.name.clone());
            let link = self.links.entry(worker.name.clone()).or_insert_with(|| {
                added.push(worker.name.clone());
                WorkerLink::new(worker.name.clone(), worker.address, rack.name.clone())
            });
            link.address = worker.address;
            link.rack = rack.name.clone();
            link.capacity = capacity;
            link.rack_leaving = rack.leaving;
            link.removed = false;
        }
        for (worker, link) in &mut self.links {
            link.removed = !known.contains(worker);
        }
        added
    }

    /// Records which workers the instance list marks as leaving. Their own reports count as well.
    pub(super) fn apply_listed_leaving(&mut self) {
        let leaving = self.context.members.leaving_names(InstanceKind::Worker);
        let changed: Vec<WorkerId> = self
            .links
            .values_mut()
            .filter_map(|link| {
                let is_listed = leaving.contains(link.worker.as_str());
                let is_changed = link.listed_leaving != is_listed;
                link.listed_leaving = is_listed;
                is_changed.then(|| link.worker.clone())
            })
            .collect();
        changed.iter().for_each(|worker| self.update_view(worker));
    }

    /// Stops the attempts on removed workers, and drops the workers on which nothing can run any
    /// more.
    pub(super) fn stop_removed(&mut self) {
        let removed: Vec<WorkerId> = self
            .links
            .values()
            .filter(|link| link.removed)
            .map(|link| link.worker.clone())
            .collect();
        for worker in removed {
            let attempts: Vec<_> = self.leases.attempts_on(&worker).cloned().collect();
            let is_fence_settled = self.tracker.is_fenced(&worker) || self.tracker.is_complete();
            let Some(link) = self.links.get_mut(&worker) else {
                continue;
            };
            attempts
                .iter()
                .for_each(|attempt| link.set_order(attempt, AttemptOrder::Stop));
            if attempts.is_empty()
                && is_fence_settled
                && !link.is_busy
                && link.acknowledged.is_empty()
            {
                self.links.remove(&worker);
                self.leases.remove(&worker);
                self.engine.remove_worker(&worker);
            }
        }
    }
}
