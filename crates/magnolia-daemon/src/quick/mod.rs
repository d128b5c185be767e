//! Quick requests: routing to the owner of an executor group, admission and execution.
//!
//! An executor group is the set of executors of one executor block of the inventory.

mod attempt;
mod entry;
mod entry_state;
mod executor_slots;
mod group;
mod group_runner;
mod group_state;
mod group_watch;
mod outcome;

#[cfg(test)]
mod executor_slots_tests;

pub use entry::run_request;
pub use entry_state::EntryState;
pub use group::{GroupRegistry, hand_over_group, start_group, stop_group};
pub use group_runner::run_in_group;
