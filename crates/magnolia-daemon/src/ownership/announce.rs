//! Announces a new claim to the other daemons. If the previous owner of an executor group may still
//! be running, this happens before the group is served.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_protocol::PeerRequest;
use magnolia_state::ClaimRecord;

use super::confirmation::MAX_CONFIRMATION_AGE;
use crate::context::DaemonContext;
use crate::quick;

/// Timeout of one announcement.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Announces a claim to all other daemons; returns when each has answered or failed.
pub async fn announce(context: &DaemonContext, claim: &ClaimRecord) {
    let mut peers = context.members.candidates();
    peers.retain(|member| member.daemon != context.identity.daemon);
    let calls = peers.iter().map(|member| {
        let request = PeerRequest::TellClaims(vec![claim.clone()]);
        context.call_peer(member.address, request, ANNOUNCE_TIMEOUT)
    });
    join_all(calls).await;
}

/// Serves an executor group whose previous owner may still be running.
///
/// The previous owner goes on while a daemon that has not read this claim confirms the old one.
/// Therefore the claim is announced first, and the group is served once every earlier confirmation
/// has expired.
pub async fn serve_after_announcement(context: Arc<DaemonContext>, claim: ClaimRecord) {
    announce(&context, &claim).await;
    tokio::time::sleep(MAX_CONFIRMATION_AGE.into()).await;
    if context.claims.is_current(&claim) && !context.claims.is_released(&claim) {
        quick::start_group(&context, &claim);
    }
}
