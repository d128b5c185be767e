//! Decision logic: admission, placement, choice of executor, worker health.
//!
//! Nothing here reads a clock or does I/O: time comes in as [`magnolia_types::Millis`] and
//! randomness as a generator of the caller.

mod admission;
mod placement;
mod routing;

pub use admission::{AdmissionEntry, AdmissionPolicy, AdmissionRefusal, AdmissionTicket};
pub use placement::{
    AttemptRecord, PlacementDecision, PlacementEngine, PreemptionMeans, TaskEnd, WaitingJob,
    WorkerCondition, WorkerView,
};
pub use routing::{BackendView, RoutingChooser};
