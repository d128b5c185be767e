//! Guarantee 8: an accepted configuration is in force at every daemon in time and is never
//! reverted.

use std::collections::HashMap;

use super::Violation;
use super::faults::FaultWindows;
use crate::history::{History, HistoryEvent};

/// Longest time from the acceptance of a version until it is in force at every daemon.
const IN_FORCE_LIMIT_US: u64 = 4_000_000;

/// Checks every version that a client read from a daemon.
///
/// Version 0 is skipped: a daemon without a configuration reports it and is not ready. The time
/// limit does not apply when a fault was in force between the acceptance and the read.
pub fn check_configuration(history: &History) -> Vec<Violation> {
    let faults = FaultWindows::new(history);
    let mut accepted: Vec<(u64, u64)> = Vec::new();
    let mut newest: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::ConfigAccepted { version } => accepted.push((at_us, *version)),
            HistoryEvent::ConfigSeen {
                daemon,
                asked_us,
                version,
            } if *version > 0 => {
                let known = newest.entry(daemon).or_default();
                if version < known {
                    violations.push(violation(
                        at_us,
                        format!("{daemon} went from version {known} to {version}"),
                    ));
                }
                *known = (*known).max(*version);
                let late = accepted.iter().find(|(accepted_us, newer)| {
                    newer > version
                        && asked_us.saturating_sub(*accepted_us) > IN_FORCE_LIMIT_US
                        && !faults.overlap(*accepted_us, *asked_us)
                });
                violations.extend(late.map(|(accepted_us, newer)| {
                    let waited = asked_us - accepted_us;
                    let description =
                        format!("{daemon} has version {version}, not {newer}, after {waited} us");
                    violation(at_us, description)
                }));
            }
            _ => {}
        }
    }
    violations
}

fn violation(at_us: u64, description: String) -> Violation {
    Violation {
        at_us,
        check: "configuration",
        description,
    }
}
