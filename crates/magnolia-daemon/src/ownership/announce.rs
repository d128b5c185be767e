//! Makes a new claim known to the other daemons, before its group is served if that matters.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_protocol::PeerRequest;
use magnolia_state::ClaimRecord;

use super::confirmation::FRESHNESS;
use crate::context::DaemonContext;
use crate::quick;

/// Longest time of one announcement.
const ANNOUNCE_LIMIT: Duration = Duration::from_millis(500);

/// Tells all other daemons about a claim; returns when each has answered or failed.
pub async fn announce(context: &DaemonContext, claim: &ClaimRecord) {
    let mut peers = context.members.candidates();
    peers.retain(|member| member.daemon != context.identity.daemon);
    let calls = peers.iter().map(|member| {
        let request = PeerRequest::TellClaims(vec![claim.clone()]);
        context.call_peer(member.address, request, ANNOUNCE_LIMIT)
    });
    join_all(calls).await;
}

/// Serves a group whose earlier owner may still run.
///
/// That owner goes on for as long as a daemon that has not read this claim confirms its own. So
/// the claim is announced first, and the group is served once every earlier confirmation has expired.
pub async fn serve_after_announcement(context: Arc<DaemonContext>, claim: ClaimRecord) {
    announce(&context, &claim).await;
    tokio::time::sleep(FRESHNESS.into()).await;
    if context.claims.is_current(&claim) && !context.claims.is_released(&claim) {
        quick::start_group(&context, &claim);
    }
}
