//! Guarantee 6: a leaving worker or executor gets no new work after a few seconds.

use std::collections::HashMap;

use super::Violation;
use crate::history::{History, HistoryEvent};

/// Time after a worker or executor began to leave during which new work may still start there.
const LEAVING_LIMIT_US: u64 = 4_000_000;

/// Checks the starts on leaving workers and executors, and those that they refused.
pub fn check_leaving(history: &History) -> Vec<Violation> {
    let mut leaving: HashMap<&str, u64> = HashMap::new();
    let mut violations = Vec::new();
    for (at_us, event) in history.iter() {
        let endpoint = match event {
            HistoryEvent::Leaving {
                endpoint,
                leaving: true,
            } => {
                leaving.insert(endpoint, at_us);
                continue;
            }
            HistoryEvent::Leaving { endpoint, .. } => {
                leaving.remove(&**endpoint);
                continue;
            }
            HistoryEvent::AttemptStarted { worker, .. }
            | HistoryEvent::StartRefused { worker, .. } => worker.as_str(),
            HistoryEvent::RequestStarted { executor, .. }
            | HistoryEvent::RequestRefused { executor, .. } => executor.as_str(),
            _ => continue,
        };
        let since = leaving.get(endpoint).map(|since| at_us - since);
        if since.is_some_and(|since| since > LEAVING_LIMIT_US) {
            violations.push(Violation {
                at_us,
                check: "leaving",
                description: format!(
                    "{endpoint} gets new work {since:?} us after it began to leave"
                ),
            });
        }
    }
    violations
}
