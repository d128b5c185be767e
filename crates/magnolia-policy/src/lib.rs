//! Decision logic: admission, placement, choice of executor, worker health.
//!
//! Nothing here reads a clock or does I/O. The code that uses a policy passes it the reading of a
//! monotonic clock as [`magnolia_types::Millis`] and a random number generator.

mod admission;
mod choosers;
mod estimates;
mod factory;
mod fair_share_admission;
mod fifo_admission;
mod first_fit;
mod fit_index;
mod placement;
mod resource_ledger;
mod routing;
mod rules_view;
mod scored;
mod service_times;
mod worker_health;

pub use admission::{AdmissionEntry, AdmissionPolicy, AdmissionRefusal, AdmissionTicket};
pub use choosers::{RandomChooser, RoundTripChooser, TwoChoiceChooser};
pub use factory::{new_admission, new_chooser, new_engine};
pub use fair_share_admission::FairShareAdmission;
pub use fifo_admission::FifoAdmission;
pub use first_fit::FirstFitEngine;
pub use placement::{
    AttemptRecord, PlacementDecision, PlacementEngine, PreemptionAction, TaskEnd, WaitingJob,
    WorkerCondition, WorkerView,
};
pub use routing::{BackendView, RoutingChooser};
pub use scored::ScoredEngine;
