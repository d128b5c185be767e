//! Checks in the merged histories that the guarantees of the scheduler held.
//!
//! Each check is a pure function. The guarantees are the points of "What must always hold" in
//! docs/design.md:
//!
//! 1. "capacity": allocations do not exceed the capacity of a worker or executor.
//! 2. "single place": a task runs in one place at a time.
//! 3. "whole answers": every caller gets the complete answer to its own request.
//! 4. "not run": work that was reported as not run did not run and will not run.
//! 5. "at most once": work that is not repeatable starts at most once.
//! 6. "leaving": a leaving worker or executor gets no new work after a few seconds.
//! 7. "graceful stop": a planned stop interrupts no request in flight.
//! 8. "configuration": an accepted configuration is in force at every daemon in time and is never
//!    reverted.
//!
//! A further check, "accepted jobs", finds accepted jobs that were lost.

mod answers;
mod capacity;
mod configuration;
mod endpoints;
mod faults;
mod single_run;
mod stops;
mod submissions;

pub use answers::{check_accepted_jobs, check_not_run, check_whole_answers};
pub use capacity::check_capacity;
pub use configuration::check_configuration;
pub use endpoints::check_leaving;
pub use single_run::{check_at_most_once, check_single_place};
pub use stops::check_graceful_stop;

use std::fmt;

use crate::history::History;

/// A violated guarantee with the evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Time of the event that violated it.
    pub at_us: u64,
    /// Name of the check that found it.
    pub check: &'static str,
    /// What the history shows, for the reader of a report.
    pub description: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            at_us,
            check,
            description,
        } = self;
        write!(f, "{check} at {at_us} us: {description}")
    }
}

/// A check of a merged history.
pub type Check = fn(&History) -> Vec<Violation>;

/// Names and functions of all checks.
pub const CHECKS: [(&str, Check); 9] = [
    ("capacity", check_capacity),
    ("single place", check_single_place),
    ("whole answers", check_whole_answers),
    ("not run", check_not_run),
    ("at most once", check_at_most_once),
    ("leaving", check_leaving),
    ("graceful stop", check_graceful_stop),
    ("configuration", check_configuration),
    ("accepted jobs", check_accepted_jobs),
];

/// Runs every check.
pub fn check_all(history: &History) -> Vec<Violation> {
    CHECKS
        .iter()
        .flat_map(|(_, check)| check(history))
        .collect()
}
