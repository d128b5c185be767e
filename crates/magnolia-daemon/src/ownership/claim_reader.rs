//! Reads claims from the log, or from peers while the log is away.

use std::sync::Arc;
use std::time::Duration;

use magnolia_backing::BackingError;
use magnolia_protocol::{PeerReply, PeerRequest};
use magnolia_types::Millis;

use super::known_claims::CLAIM_STREAM;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Longest wait of one read for a new record.
const POLL_WAIT: Millis = Millis::from_secs(10);
/// Most records of one read.
const POLL_RECORDS: usize = 256;
/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause after peers have told their claims instead.
const FETCH_PAUSE: Duration = Duration::from_secs(1);
/// Longest time of a call that fetches claims from a peer.
const FETCH_LIMIT: Duration = Duration::from_secs(1);
/// Peers asked in one attempt.
const ASKED_PEERS: usize = 2;

/// Reads stream `claims` until the daemon ends.
pub async fn follow_claims(context: Arc<DaemonContext>) {
    let mut reached = false;
    loop {
        // The first read and one after a failure do not wait, so that the state of the log shows
        // at once.
        let wait = if reached { POLL_WAIT } else { Millis::new(0) };
        let was_caught_up = context.claims.is_caught_up();
        reached = read_page(&context, wait).await.is_ok();
        if !reached {
            let fetched = !was_caught_up && fetch_from_peers(&context).await;
            let pause = if fetched { FETCH_PAUSE } else { RETRY_PAUSE };
            tokio::time::sleep(pause).await;
        }
    }
}

/// Fetches the claims of each peer that named a claim of this daemon as superseded.
pub async fn fetch_reported_claims(context: Arc<DaemonContext>) {
    loop {
        context.claims.newer_claims_reported.notified().await;
        for address in context.claims.take_informed() {
            fetch_claims(&context, address).await;
        }
    }
}

/// Reads all claims that the log holds now.
///
/// # Errors
///
/// Fails when the log is away.
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

/// Merges the newer claims of some peers; `true` when one answered.
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
        .call_peer(address, PeerRequest::FetchClaims, FETCH_LIMIT)
        .await;
    match reply.map(|reply| reply.body) {
        Ok(PeerReply::Claims(claims)) => {
            context.claims.merge(&claims);
            true
        }
        _ => false,
    }
}
