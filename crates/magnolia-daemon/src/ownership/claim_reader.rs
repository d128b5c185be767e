//! Reads claims from the log, or from peers while the log is unavailable.

use std::sync::Arc;
use std::time::Duration;

use magnolia_backing::BackingError;
use magnolia_protocol::{PeerReply, PeerRequest};
use magnolia_types::Millis;

use super::known_claims::CLAIM_STREAM;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Maximum time that one read waits for a new record.
const POLL_WAIT: Millis = Millis::from_secs(10);
/// Maximum number of records in one read.
const POLL_RECORDS: usize = 256;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Delay after a failed read when claims were fetched from peers instead.
const FETCH_DELAY: Duration = Duration::from_secs(1);
/// Timeout of a call that fetches claims from a peer.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers that are asked in one attempt.
const ASKED_PEERS: usize = 2;

/// Reads stream `claims` until the daemon ends.
pub async fn follow_claims(context: Arc<DaemonContext>) {
    let mut reached = false;
    loop {
        // The first read, and a read after a failure, do not wait for a new record, so that they
        // show at once whether the log is available.
        let wait = if reached { POLL_WAIT } else { Millis::new(0) };
        let was_caught_up = context.claims.is_caught_up();
        reached = read_page(&context, wait).await.is_ok();
        if !reached {
            let fetched = !was_caught_up && fetch_from_peers(&context).await;
            let delay = if fetched { FETCH_DELAY } else { RETRY_DELAY };
            tokio::time::sleep(delay).await;
        }
    }
}

/// Fetches the claims of peers that have reported a claim of this daemon as superseded, until the
/// daemon ends.
pub async fn fetch_reported_claims(context: Arc<DaemonContext>) {
    loop {
        context.claims.newer_claims_reported.notified().await;
        for address in context.claims.take_peers_with_newer_claims() {
            fetch_claims(&context, address).await;
        }
    }
}

/// Reads all claims that are in the log.
///
/// # Errors
///
/// Fails when the log is unavailable.
pub async fn read_to_end(context: &DaemonContext) -> Result<(), BackingError> {
    loop {
        let asked = context.clock.now();
        read_page(context, Millis::new(0)).await?;
        if context.claims.is_caught_up() {
            context.claims.record_confirmation(asked);
            return Ok(());
        }
    }
}

async fn read_page(context: &DaemonContext, wait: Millis) -> Result<(), BackingError> {
    let next = context.claims.next();
    let result = context
        .log
        .read(CLAIM_STREAM, next, wait, POLL_RECORDS)
        .await;
    context.claims.record_log_health(result.is_ok());
    match result {
        Ok(page) => {
            let skipped = context.claims.apply_page(&page);
            if skipped > 0 {
                context.metrics.add(names::CLAIMS_FOREIGN_RECORD, skipped);
            }
            Ok(())
        }
        Err(error) => {
            context.metrics.count(names::CLAIMS_READ_FAILED);
            Err(error)
        }
    }
}

/// Merges the claims of up to [`ASKED_PEERS`] random peers; `true` when one answered.
pub async fn fetch_from_peers(context: &DaemonContext) -> bool {
    let mut peers = context.members.candidates();
    peers.retain(|member| member.daemon != context.identity.daemon);
    let skip = if peers.is_empty() {
        0
    } else {
        rand::random_range(0..peers.len())
    };
    peers.rotate_left(skip);
    let mut answered = false;
    for peer in peers.into_iter().take(ASKED_PEERS) {
        answered |= fetch_claims(context, peer.address).await;
    }
    answered
}

async fn fetch_claims(context: &DaemonContext, address: std::net::SocketAddr) -> bool {
    let reply = context
        .call_peer(address, PeerRequest::FetchClaims, FETCH_TIMEOUT)
        .await;
    match reply.map(|reply| reply.body) {
        Ok(PeerReply::Claims(claims)) => {
            context.claims.merge(&claims);
            true
        }
        _ => false,
    }
}
