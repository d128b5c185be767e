//! What the owner knows of one worker.

use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_platform::{CommandBatch, FenceRequest, StartCommand, WorkerReport};
use magnolia_types::{AttemptId, Epoch, Incarnation, Millis, ResourceVector};

use crate::context::DaemonContext;

/// Under what terms an owner speaks to its workers.
pub struct LeaseTerms {
    /// The partition.
    pub partition: Arc<str>,
    /// Epoch of the owner.
    pub epoch: Epoch,
    /// Length of a lease.
    pub lease: Millis,
    /// Oldest clock reading that a start may cite.
    pub start_window: Millis,
}

/// One worker of the partition.
pub struct WorkerLink {
    address: SocketAddr,
    capacity: ResourceVector,
    fenced: bool,
    incarnation: Incarnation,
    reading: Millis,
    /// Sizes of the attempts that hold room.
    pub reserved: Vec<(AttemptId, ResourceVector)>,
}

impl WorkerLink {
    /// Creates the link of a worker that has not answered yet.
    pub fn new(address: SocketAddr, capacity: ResourceVector) -> Self {
        Self {
            address,
            capacity,
            fenced: false,
            incarnation: Incarnation::new(0),
            reading: Millis::new(0),
            reserved: Vec::new(),
        }
    }

    /// Tells whether a task of this size has room.
    pub fn has_room(&self, size: &ResourceVector) -> bool {
        let held = self
            .reserved
            .iter()
            .fold(ResourceVector::default(), |sum, (_, held)| {
                sum.saturating_add(held)
            });
        self.fenced && held.saturating_add(size).fits_in(&self.capacity)
    }

    /// Fences the worker or sends it starts and a renewal; returns its report.
    pub async fn exchange(
        &mut self,
        context: &DaemonContext,
        terms: &LeaseTerms,
        starts: Vec<StartCommand>,
        acknowledged: Vec<AttemptId>,
    ) -> Option<WorkerReport> {
        let answer = if self.fenced {
            let batch = CommandBatch {
                partition: Arc::clone(&terms.partition),
                epoch: terms.epoch,
                incarnation: self.incarnation,
                reading_ms: self.reading,
                lease_ms: terms.lease,
                start_window_ms: terms.start_window,
                renew: true,
                full_report: false,
                starts,
                stops: Vec::new(),
                checkpoints: Vec::new(),
                throttles: Vec::new(),
                acknowledged,
            };
            context.workers.command(self.address, &batch).await
        } else {
            let request = FenceRequest {
                partition: Arc::clone(&terms.partition),
                epoch: terms.epoch,
            };
            context.workers.fence(self.address, &request).await
        };
        let answer = answer.ok()?;
        if answer.superseded_by.is_some() {
            return None;
        }
        self.fenced = true;
        self.incarnation = answer.report.incarnation;
        self.reading = answer.report.clock_ms;
        Some(answer.report)
    }
}
