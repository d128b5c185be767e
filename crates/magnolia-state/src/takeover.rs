//! Decides when a new owner may place tasks that an earlier owner may have started.

use std::collections::BTreeSet;

use magnolia_types::{Epoch, Millis, WorkerId};

use crate::with_drift;

/// Progress of a takeover.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct TakeoverProgress {
    /// Whether tasks of earlier owners may be placed.
    pub complete: bool,
    /// Workers that have not accepted the fence.
    pub unfenced: Vec<WorkerId>,
    /// When the earlier owners were proved to have ended, on this owner's monotonic clock.
    pub proved_at: Option<Millis>,
}

/// Tracks the fencing of a partition's workers after a claim.
///
/// The new owner sends each worker a fence with its epoch. A worker that has accepted it refuses
/// the commands of lower epochs and has reported its attempts.
///
/// An earlier owner may have kept starting tasks while it could not reach the log, so any worker
/// may be running any task that was accepted before the claim. Such a task is placed only once
/// every worker has accepted the fence, or once all leases of the earlier owners have expired. The
/// time since the claim does not bound those leases, because the earlier owner may still be
/// renewing them. Its proved end does: a lease starts at a clock reading that the owner received
/// before it ended, so one lease (plus drift margin) after the proof nothing that it started is
/// running.
#[derive(Clone, Debug)]
pub struct TakeoverTracker {
    epoch: Epoch,
    lease: Millis,
    unfenced: BTreeSet<WorkerId>,
    proved_at: Option<Millis>,
    complete: bool,
}

impl TakeoverTracker {
    /// Creates the tracker of the owner at `epoch`, with all `workers` unfenced. `lease` is the
    /// longest lease that an earlier owner may have granted.
    pub fn new(epoch: Epoch, lease: Millis, workers: impl IntoIterator<Item = WorkerId>) -> Self {
        let unfenced: BTreeSet<WorkerId> = workers.into_iter().collect();
        Self {
            epoch,
            lease,
            complete: unfenced.is_empty(),
            unfenced,
            proved_at: None,
        }
    }

    /// Completes the takeover at once: there is no earlier owner, or it has confirmed that it sends
    /// no more commands.
    #[must_use]
    pub fn with_confirmed_end(mut self) -> Self {
        self.complete = true;
        self
    }

    /// Adds an unfenced worker that may be running tasks of earlier owners.
    pub fn add_worker(&mut self, worker: WorkerId) {
        self.unfenced.insert(worker);
    }

    /// Returns the workers that have not accepted the fence.
    pub fn unfenced(&self) -> impl Iterator<Item = &WorkerId> {
        self.unfenced.iter()
    }

    /// Records that a worker accepted the fence; returns `true` if that completes the takeover.
    pub fn record_fenced(&mut self, worker: &WorkerId) -> bool {
        self.unfenced.remove(worker);
        let completes = !self.complete && self.unfenced.is_empty();
        self.complete |= completes;
        completes
    }

    /// Records that the earlier owners were proved to have ended at `at` or before.
    ///
    /// Only the first proof counts; a later one neither shortens nor extends the wait.
    pub fn record_proof_of_end(&mut self, at: Millis) {
        self.proved_at.get_or_insert(at);
    }

    /// Returns whether the wait after the proof is over but has not completed the takeover yet.
    pub fn is_wait_over(&self, now: Millis) -> bool {
        let end = self
            .proved_at
            .map(|at| at.saturating_add(with_drift(self.lease)));
        !self.complete && end.is_some_and(|end| now >= end)
    }

    /// Completes the takeover if the wait was over at `at`, and returns whether it did.
    ///
    /// `at` has to be a time at which this owner's claim was confirmed to be current.
    pub fn advance(&mut self, at: Millis) -> bool {
        let completes = self.is_wait_over(at);
        self.complete |= completes;
        completes
    }

    /// Returns whether tasks of earlier owners may be placed.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Returns whether a task that was accepted under epoch `accepted` may be placed on `worker`.
    /// The worker has to be fenced even if the takeover is complete.
    pub fn may_place(&self, accepted: Epoch, worker: &WorkerId) -> bool {
        !self.unfenced.contains(worker) && (self.complete || accepted == self.epoch)
    }

    /// Returns whether a worker has accepted the fence of this owner.
    pub fn is_fenced(&self, worker: &WorkerId) -> bool {
        !self.unfenced.contains(worker)
    }

    /// Returns the progress.
    pub fn progress(&self) -> TakeoverProgress {
        TakeoverProgress {
            complete: self.complete,
            unfenced: self.unfenced.iter().cloned().collect(),
            proved_at: self.proved_at,
        }
    }
}
