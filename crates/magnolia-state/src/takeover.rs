//! The rule that decides when the tasks of an earlier owner may be placed again.

use std::collections::BTreeSet;

use magnolia_types::{Epoch, Millis, WorkerId};

use crate::with_drift;

/// How far a takeover has come.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct TakeoverProgress {
    /// Whether tasks of earlier owners may be placed.
    pub complete: bool,
    /// Workers that have neither accepted the fence nor been waited out.
    pub unfenced: Vec<WorkerId>,
    /// When the end of the earlier owner was proved.
    pub proved_at: Option<Millis>,
}

/// Follows the fencing of the workers of a partition after a claim.
///
/// An earlier owner may have continued without the log, so any worker may run any task that was
/// accepted before. Such a task waits for every worker. The time since the claim proves nothing;
/// only the proved end of the earlier owner starts the wait, and one lease later nothing that it
/// sent can run, because leases run from readings that it received before its end.
#[derive(Clone, Debug)]
pub struct TakeoverTracker {
    epoch: Epoch,
    lease: Millis,
    unfenced: BTreeSet<WorkerId>,
    proved_at: Option<Millis>,
    complete: bool,
}

impl TakeoverTracker {
    /// Creates the tracker of the owner at `epoch`; no worker is fenced yet.
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

    /// Tells that there is no earlier owner, or that it has confirmed to send nothing more.
    #[must_use]
    pub fn with_confirmed_end(mut self) -> Self {
        self.complete = true;
        self
    }

    /// Adds a worker that may run tasks of earlier owners and is not fenced yet.
    pub fn add_worker(&mut self, worker: WorkerId) {
        self.unfenced.insert(worker);
    }

    /// Returns the workers that have not accepted the fence.
    pub fn unfenced(&self) -> impl Iterator<Item = &WorkerId> {
        self.unfenced.iter()
    }

    /// Records that a worker accepted the fence; `true` when that completes the takeover.
    pub fn record_fenced(&mut self, worker: &WorkerId) -> bool {
        self.unfenced.remove(worker);
        let completes = !self.complete && self.unfenced.is_empty();
        self.complete |= completes;
        completes
    }

    /// Records the time at which the end of the earlier owner was proved.
    ///
    /// The first proof counts: a later one cannot shorten or lengthen the wait.
    pub fn record_proof_of_end(&mut self, at: Millis) {
        self.proved_at.get_or_insert(at);
    }

    /// Tells whether the wait after the proof is over and has not completed the takeover yet.
    pub fn is_wait_over(&self, now: Millis) -> bool {
        let end = self
            .proved_at
            .map(|at| at.saturating_add(with_drift(self.lease)));
        !self.complete && end.is_some_and(|end| now >= end)
    }

    /// Checks the wait at a time at which the claim was current; `true` when that completes the
    /// takeover.
    pub fn advance(&mut self, at: Millis) -> bool {
        let waited = self.is_wait_over(at);
        self.complete |= waited;
        waited
    }

    /// Tells whether tasks of earlier owners may be placed.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Tells whether a task accepted under `accepted` may be placed on `worker`, which has to be
    /// fenced in any case.
    pub fn may_place(&self, accepted: Epoch, worker: &WorkerId) -> bool {
        !self.unfenced.contains(worker) && (self.complete || accepted == self.epoch)
    }

    /// Tells whether a worker has accepted the fence of this owner.
    pub fn is_fenced(&self, worker: &WorkerId) -> bool {
        !self.unfenced.contains(worker)
    }

    /// Describes the progress.
    pub fn progress(&self) -> TakeoverProgress {
        TakeoverProgress {
            complete: self.complete,
            unfenced: self.unfenced.iter().cloned().collect(),
            proved_at: self.proved_at,
        }
    }
}
