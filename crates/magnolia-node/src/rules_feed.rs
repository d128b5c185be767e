//! Follows the configuration in the store, and fetches it from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_types::{LogOffset, Millis};
use tokio::time::sleep;

use crate::node::CellNode;
use crate::peer_messages::{PeerReply, PeerRequest};
use crate::ports::{StoreError, StreamName, StreamRecord};

/// Longest wait of one read for the next document. A lost connection is detected within the time in
/// which a new configuration has to be in force.
const TAIL_WAIT: Millis = Millis::new(1000);
/// Delay before a failed read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Timeout of a request to a peer for its configuration.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Reads the newest configuration, then follows its changes.
pub(crate) async fn follow_rules(node: Arc<CellNode>) {
    let mut next = None;
    loop {
        let result = match next {
            None => load(&node).await,
            Some(from) => read_changes(&node, from).await,
        };
        match result {
            Ok(offset) => next = Some(offset),
            Err(StoreError::Expired) => next = None,
            Err(error) => {
                log::debug!(error:% = error; "reading the configuration failed");
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn load(node: &CellNode) -> Result<LogOffset, StoreError> {
    let (records, end) = node.store.read_all(StreamName::Rules).await?;
    apply_documents(node, &records);
    Ok(end)
}

async fn read_changes(node: &CellNode, from: LogOffset) -> Result<LogOffset, StoreError> {
    let page = node
        .store
        .read_tail(StreamName::Rules, from, TAIL_WAIT)
        .await?;
    apply_documents(node, &page.records);
    Ok(page.next)
}

fn apply_documents(node: &CellNode, records: &[StreamRecord]) {
    let documents = records
        .iter()
        .filter_map(|record| node.ports.decoder.rules(record));
    for rules in documents {
        node.apply_rules(rules, "store");
    }
}

/// Fetches and applies the configuration of a peer that knows a newer one.
pub(crate) async fn fetch_rules(node: &CellNode, peer: SocketAddr) {
    let message = PeerRequest::Rules;
    let reply = node
        .peers
        .call(peer, &message, FETCH_TIMEOUT, Duration::ZERO);
    match reply.await {
        Ok(PeerReply::Rules(copy)) => node.apply_rules((&*copy).into(), "peer"),
        Ok(other) => log::warn!(reply:? = other; "unexpected reply to a configuration request"),
        Err(error) => log::debug!(error:% = error; "fetching a configuration failed"),
    }
}
