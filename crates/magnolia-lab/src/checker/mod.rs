//! Checks in the joined histories that the guarantees of the scheduler held.
//!
//! Each point of "What must always hold" in docs/design.md has a check, a pure function.

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

/// A check over a joined history.
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
