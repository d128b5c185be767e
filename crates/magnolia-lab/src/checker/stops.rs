//! Guarantee 7: a planned stop interrupts no request in flight.

use std::collections::HashMap;

use magnolia_types::{Ran, ResultCode};

use super::Violation;
use super::faults::FaultWindows;
use crate::history::{History, HistoryEvent, QuickResult};

/// Time from the request to stop a daemon until its exit.
struct PlannedStop<'a> {
    daemon: &'a str,
    from_us: u64,
    until_us: u64,
}

/// Checks the requests in flight during planned stops, and that the daemons exit with status 0.
///
/// Requests that overlap another fault are skipped, because that fault may have interrupted them.
pub fn check_graceful_stop(history: &History) -> Vec<Violation> {
    let faults = FaultWindows::new(history);
    let (stops, mut violations) = planned_stops(history);
    let mut sent: HashMap<&str, (u64, &str)> = HashMap::new();
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::QuickSent { id, daemon, .. } => {
                sent.insert(id, (at_us, daemon));
            }
            HistoryEvent::QuickDone { id, result } => {
                let Some((sent_us, daemon)) = sent.remove(&**id) else {
                    continue;
                };
                let stop = stops
                    .iter()
                    .find(|stop| sent_us <= stop.until_us && at_us >= stop.from_us);
                let Some(stop) = stop.filter(|_| !faults.overlap(sent_us, at_us)) else {
                    continue;
                };
                if is_interrupted(result) {
                    violations.push(Violation {
                        at_us,
                        check: "graceful stop",
                        description: format!(
                            "call {id} to {daemon} ended as {result:?} during the stop of {}",
                            stop.daemon
                        ),
                    });
                }
            }
            _ => {}
        }
    }
    // A call without a result at the end of the history was interrupted as well.
    violations.extend(sent.iter().filter_map(|(id, (sent_us, daemon))| {
        let stop = stops.iter().find(|stop| *sent_us <= stop.until_us)?;
        (!faults.overlap(*sent_us, history.end_us())).then(|| Violation {
            at_us: *sent_us,
            check: "graceful stop",
            description: format!(
                "call {id} to {daemon} has no result since the stop of {}",
                stop.daemon
            ),
        })
    }));
    violations
}

fn is_interrupted(result: &QuickResult) -> bool {
    match result {
        QuickResult::Answered(_) => false,
        // Refused because an earlier call with the same key is still in progress.
        QuickResult::Refused { code, .. } if *code == ResultCode::InProgress => false,
        QuickResult::Refused { ran, .. } => *ran == Ran::Unknown,
        QuickResult::Lost { sent } => *sent,
    }
}

fn planned_stops(history: &History) -> (Vec<PlannedStop<'_>>, Vec<Violation>) {
    let mut stops: Vec<PlannedStop> = Vec::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        match event {
            HistoryEvent::DaemonStopping { daemon } => stops.push(PlannedStop {
                daemon,
                from_us: at_us,
                until_us: u64::MAX,
            }),
            HistoryEvent::DaemonStopped { daemon, status } => {
                let mut open = stops.iter_mut().rev();
                if let Some(stop) = open.find(|stop| stop.daemon == &**daemon) {
                    stop.until_us = at_us;
                }
                if *status != Some(0) {
                    violations.push(Violation {
                        at_us,
                        check: "graceful stop",
                        description: format!("{daemon} ended with status {status:?}"),
                    });
                }
            }
            _ => {}
        }
    }
    (stops, violations)
}
