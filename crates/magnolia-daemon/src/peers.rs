//! Calls to other daemons with this daemon's envelope.

use std::net::SocketAddr;
use std::time::Duration;

use magnolia_http::HttpClient;
use magnolia_protocol::{
    PROTOCOL_VERSION, PeerClient, PeerEnvelope, PeerError, PeerReply, PeerRequest, SupersededClaim,
};
use magnolia_types::{DaemonId, Incarnation};

use crate::context::DaemonContext;

/// Client of other daemons.
pub struct PeerLink {
    client: PeerClient,
}

impl PeerLink {
    /// Creates a link without connections.
    pub fn new(client: HttpClient) -> Self {
        Self {
            client: PeerClient::new(client),
        }
    }
}

impl DaemonContext {
    /// Calls another daemon and takes note of what its envelope says.
    ///
    /// # Errors
    ///
    /// Fails when no whole reply comes in time.
    pub async fn call_peer(
        &self,
        peer: SocketAddr,
        body: PeerRequest,
        limit: Duration,
    ) -> Result<PeerEnvelope<PeerReply>, PeerError> {
        let message = self.envelope(body, None);
        let reply = self.peers.client.call(peer, &message, limit).await?;
        self.hear(&reply, peer);
        Ok(reply)
    }

    /// Wraps a body; `receiver` is known for replies and for calls to a known owner.
    pub fn envelope<T>(
        &self,
        body: T,
        receiver: Option<(&DaemonId, Incarnation)>,
    ) -> PeerEnvelope<T> {
        PeerEnvelope {
            protocol: PROTOCOL_VERSION,
            from: self.identity.daemon.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            config_version: self.config().version,
            superseded: receiver
                .map(|_| self.superseded_claims())
                .unwrap_or_default(),
            body,
        }
    }

    /// Takes note of what an envelope says besides its body.
    pub fn hear<T>(&self, envelope: &PeerEnvelope<T>, address: SocketAddr) {
        if envelope.config_version > self.config().version {
            self.metrics.count("config.behind_peer");
            self.config_feed.note_peer(address, envelope.config_version);
        }
    }

    fn superseded_claims(&self) -> Vec<SupersededClaim> {
        Vec::new()
    }
}
