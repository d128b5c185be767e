//! Fetches the configuration from a peer that has a newer version, or when this daemon has none.

use std::net::SocketAddr;
use std::time::Duration;

use magnolia_protocol::{PeerReply, PeerRequest};
use magnolia_types::ConfigVersion;
use rand::seq::IndexedRandom;

use super::{ConfigSource, adopt};
use crate::context::DaemonContext;
use crate::metrics::names;

/// Time that the reader of the log gets to reach a version before it is fetched from a peer.
const PEER_FETCH_DELAY: Duration = Duration::from_millis(500);
/// Timeout of a fetch.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval of fetches while this daemon has no configuration.
const START_FETCH_INTERVAL: Duration = Duration::from_secs(1);

/// Fetches the configuration from peers until the daemon ends.
pub(super) async fn follow_peers(context: &DaemonContext) {
    tokio::join!(fetch_at_start(context), fetch_on_hint(context));
}

/// Asks random peers until a configuration is in force.
async fn fetch_at_start(context: &DaemonContext) {
    loop {
        tokio::time::sleep(START_FETCH_INTERVAL).await;
        if context.config().version > ConfigVersion::new(0) {
            return;
        }
        let members = context.members.live_daemons();
        let others: Vec<SocketAddr> = members
            .iter()
            .filter(|member| member.daemon != context.identity.daemon)
            .map(|member| member.address)
            .collect();
        let peer = others.choose(&mut rand::rng()).copied();
        if let Some(peer) = peer {
            fetch(context, peer).await;
        }
    }
}

/// Fetches the configuration from peers that report a newer version.
async fn fetch_on_hint(context: &DaemonContext) {
    loop {
        let hint = context.config_feed.next_hint().await;
        tokio::time::sleep(PEER_FETCH_DELAY).await;
        if hint.version > context.config().version {
            fetch(context, hint.address).await;
        }
    }
}

async fn fetch(context: &DaemonContext, peer: SocketAddr) {
    let call = context.call_peer(peer, PeerRequest::FetchConfig, FETCH_TIMEOUT);
    match call.await.map(|reply| reply.body) {
        Ok(PeerReply::Config(config)) => {
            context.metrics.count(names::CONFIG_FETCHED);
            adopt(context, &config, ConfigSource::Peer);
        }
        _ => context.metrics.count(names::CONFIG_FETCH_FAILED),
    }
}
