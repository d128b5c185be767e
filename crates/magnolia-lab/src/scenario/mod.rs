//! Scenarios: a whole cell under load and faults.

mod action;
mod demo;
mod measure;
mod run;
mod torture;

pub use action::FaultAction;
pub use demo::run_demo;
pub use measure::run_measure;
pub use run::{LAB_LEASE, ScenarioError, ScenarioRun, lab_rules};
pub use torture::{TortureSettings, run_torture};
