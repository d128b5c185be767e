//! Eligibility requests, spread over all daemons because the service serves each daemon one request
//! at a time.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{EligibilityAnswer, EligibilityOrder};
use magnolia_types::DaemonId;

use crate::node::CellNode;
use crate::owner::OwnerSession;
use crate::peer_messages::{EligibilityRequest, PeerReply, PeerRequest};

/// Time that a request through a peer may take beyond the time in the queue's rules: the way to the
/// peer and one retry.
const REQUEST_OVERHEAD: Duration = Duration::from_millis(700);

/// Numbers of the daemons that can send eligibility requests. The scheduler refers to them by these
/// numbers.
#[derive(Default)]
pub(crate) struct EligibilityDaemons {
    names: Mutex<Vec<DaemonId>>,
}

impl EligibilityDaemons {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the numbers of the daemons that can send requests, the live ones and the owner
    /// itself; a daemon that has no number yet gets the next one.
    pub(crate) fn numbers(&self, own: &DaemonId, live: &[DaemonId]) -> BTreeSet<usize> {
        let mut names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        let mut numbers = BTreeSet::new();
        for name in live.iter().chain([own]) {
            let known = names.iter().position(|known| known == name);
            numbers.insert(known.unwrap_or_else(|| {
                names.push(name.clone());
                names.len() - 1
            }));
        }
        numbers
    }

    fn name(&self, number: usize) -> Option<DaemonId> {
        let names = self.names.lock().unwrap_or_else(PoisonError::into_inner);
        names.get(number).cloned()
    }
}

/// Calls the eligibility service from this daemon.
pub(crate) async fn query_locally(
    node: &CellNode,
    request: &EligibilityRequest,
) -> Option<EligibilityAnswer> {
    let Some(port) = &node.ports.eligibility else {
        log::error!(step:% = request.step;
            "a queue needs eligibility requests, but no service is set up");
        return None;
    };
    match port
        .ask(request.step, &request.executors, request.expected)
        .await
    {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::info!(step:% = request.step, error:% = error; "eligibility request failed");
            None
        }
    }
}

/// Sends a request through the daemon that the scheduler chose, and passes the answer to the
/// scheduler.
pub(crate) async fn run_request(session: Arc<OwnerSession>, order: EligibilityOrder) {
    let node = &session.node;
    let asked_at = session.now();
    let request = EligibilityRequest {
        step: order.step,
        executors: order.executors,
        expected: order.expected_duration,
    };
    let name = session.eligibility_daemons.name(order.daemon);
    let local = name.as_ref() == Some(&node.settings.name);
    let (answer, usable) = if local {
        (query_locally(node, &request).await, true)
    } else {
        query_peer(node, name, &request).await
    };
    let now = session.now();
    node.metrics.count("advice_calls");
    node.metrics.latency("advice", now.saturating_sub(asked_at));
    let eligible = answer.as_ref().map(|answer| answer.eligible.len());
    log::info!(step:% = request.step, named = request.executors.len(), eligible:? = eligible,
        took:% = now.saturating_sub(asked_at); "eligibility request finished");
    let mut scheduler = session.lock();
    scheduler.release_eligibility_daemon(order.daemon, usable);
    scheduler.apply_eligibility(request.step, &request.executors, answer.as_ref(), now);
    drop(scheduler);
    session.request_plan();
}

/// Sends a request through a peer. Also returns whether the peer can be used for further requests.
async fn query_peer(
    node: &CellNode,
    name: Option<DaemonId>,
    request: &EligibilityRequest,
) -> (Option<EligibilityAnswer>, bool) {
    let address = name.as_ref().and_then(|name| {
        let view = node.cell.borrow();
        view.members.get(name).map(|member| member.address)
    });
    let Some(address) = address else {
        return (None, false);
    };
    let expected_duration: Duration = request.expected.into();
    let limit = expected_duration + REQUEST_OVERHEAD;
    let message = PeerRequest::Advise(request.clone());
    match node
        .peers
        .call(address, &message, limit, expected_duration)
        .await
    {
        Ok(PeerReply::Advice(answer)) => (answer, true),
        Ok(other) => {
            log::warn!(reply:? = other; "unexpected reply to an eligibility request");
            (None, true)
        }
        Err(error) => {
            log::info!(step:% = request.step, peer:% = address, error:% = error;
                "daemon did not answer an eligibility request");
            (None, false)
        }
    }
}
