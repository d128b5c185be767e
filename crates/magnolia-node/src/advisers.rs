//! Calls for eligibility through all daemons, each of which is served one call at a time.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{AdviceOrder, EligibilityAnswer};
use magnolia_types::DaemonId;

use crate::inner::{AdviseCall, InnerCall, InnerReply};
use crate::node::CellNode;
use crate::owner::OwnerSession;

/// Time that a call may take beyond what the queue's rules say: the way there and a repeat.
const EXTRA_TIME: Duration = Duration::from_millis(700);

/// Numbers the daemons for the scheduler.
#[derive(Default)]
pub(crate) struct AdviserBook {
    names: Mutex<Vec<DaemonId>>,
}

impl AdviserBook {
    pub(crate) fn new() -> Self {
        Self::default()
    }

    /// Returns the numbers of the daemons that can be asked, the owner itself included.
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

/// Asks from this daemon's own address.
pub(crate) async fn ask_here(node: &CellNode, call: &AdviseCall) -> Option<EligibilityAnswer> {
    let Some(port) = &node.ports.advice else {
        log::error!(step:% = call.step; "a queue needs eligibility, but no service is configured");
        return None;
    };
    match port.ask(call.step, &call.executors, call.expected).await {
        Ok(answer) => Some(answer),
        Err(error) => {
            log::info!(step:% = call.step, error:% = error; "no answer on eligibility");
            None
        }
    }
}

/// Asks through the daemon that the order names and hands the answer to the scheduler.
pub(crate) async fn ask(session: Arc<OwnerSession>, order: AdviceOrder) {
    let node = &session.node;
    let asked_at = session.now();
    let call = AdviseCall {
        step: order.step,
        executors: order.executors,
        expected: order.expected,
    };
    let name = session.advisers.name(order.daemon);
    let local = name.as_ref() == Some(&node.settings.name);
    let (answer, usable) = if local {
        (ask_here(node, &call).await, true)
    } else {
        ask_peer(node, name, &call).await
    };
    let now = session.now();
    node.metrics.count("advice_calls");
    node.metrics.latency("advice", now.saturating_sub(asked_at));
    let eligible = answer.as_ref().map(|answer| answer.eligible.len());
    log::info!(step:% = call.step, named = call.executors.len(), eligible:? = eligible,
        took:% = now.saturating_sub(asked_at); "eligibility answered");
    let mut scheduler = session.lock();
    scheduler.release_adviser(order.daemon, usable);
    scheduler.apply_advice(call.step, &call.executors, answer.as_ref(), now);
    drop(scheduler);
    session.want_plan();
}

async fn ask_peer(
    node: &CellNode,
    name: Option<DaemonId>,
    call: &AdviseCall,
) -> (Option<EligibilityAnswer>, bool) {
    let address = name.as_ref().and_then(|name| {
        let view = node.cell.borrow();
        view.members.get(name).map(|member| member.address)
    });
    let Some(address) = address else {
        return (None, false);
    };
    let expected: Duration = call.expected.into();
    let limit = expected + EXTRA_TIME;
    let message = InnerCall::Advise(call.clone());
    match node.peers.call(address, &message, limit, expected).await {
        Ok(InnerReply::Advice(answer)) => (answer, true),
        Ok(other) => {
            log::warn!(reply:? = other; "unexpected reply to a call for eligibility");
            (None, true)
        }
        Err(error) => {
            log::info!(step:% = call.step, peer:% = address, error:% = error;
                "daemon did not answer on eligibility");
            (None, false)
        }
    }
}
