//! Follows the operator's configuration.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{LogOffset, Millis};
use tokio::time::sleep;

use crate::inner::{InnerCall, InnerReply};
use crate::node::CellNode;
use crate::ports::{StoreError, StreamName, StreamRecord};

/// Longest wait for the next document: a lost connection is found out within the time in which a
/// configuration has to be in force.
const WAIT: Millis = Millis::new(1000);
/// Pause after a failed read.
const PAUSE: Duration = Duration::from_millis(200);
/// Longest call to a peer for its configuration.
const FETCH_LIMIT: Duration = Duration::from_millis(800);

/// Reads the newest configuration, then every change.
pub(crate) async fn follow_rules(node: Arc<CellNode>) {
    let mut next = None;
    loop {
        let result = match next {
            None => load(&node).await,
            Some(from) => follow(&node, from).await,
        };
        match result {
            Ok(offset) => next = Some(offset),
            Err(StoreError::Expired) => next = None,
            Err(error) => {
                log::debug!(error:% = error; "configuration not read");
                sleep(PAUSE).await;
            }
        }
    }
}

async fn load(node: &CellNode) -> Result<LogOffset, StoreError> {
    let (records, end) = node.store.read_all(StreamName::Rules).await?;
    apply(node, &records);
    Ok(end)
}

async fn follow(node: &CellNode, from: LogOffset) -> Result<LogOffset, StoreError> {
    let page = node.store.read_tail(StreamName::Rules, from, WAIT).await?;
    apply(node, &page.records);
    Ok(page.next)
}

fn apply(node: &CellNode, records: &[StreamRecord]) {
    let documents = records
        .iter()
        .filter_map(|record| node.ports.decoder.rules(record));
    for rules in documents {
        node.take_rules(rules, "store");
    }
}

/// Takes the configuration of a daemon that knows a newer one.
pub(crate) async fn fetch_rules(node: &CellNode, peer: SocketAddr) {
    let call = InnerCall::Rules;
    let reply = node.peers.call(peer, &call, FETCH_LIMIT, Duration::ZERO);
    match reply.await {
        Ok(InnerReply::Rules(copy)) => node.take_rules((&*copy).into(), "peer"),
        Ok(other) => log::warn!(reply:? = other; "unexpected reply to a call for rules"),
        Err(error) => log::debug!(error:% = error; "configuration of a peer not read"),
    }
}
