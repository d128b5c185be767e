//! Calls to other daemons, and the envelopes of all messages between daemons.

use std::net::SocketAddr;
use std::time::Duration;

use magnolia_http::HttpClient;
use magnolia_protocol::{
    PROTOCOL_VERSION, PeerClient, PeerEnvelope, PeerError, PeerReply, PeerRequest, SupersededClaim,
};
use magnolia_types::{DaemonId, Incarnation};

use crate::context::DaemonContext;
use crate::metrics::names;

/// Client of the other daemons.
pub struct PeerLink {
    client: PeerClient,
}

impl PeerLink {
    /// Creates a client that uses the connections of `client`.
    pub fn new(client: HttpClient) -> Self {
        Self {
            client: PeerClient::new(client),
        }
    }
}

impl DaemonContext {
    /// Calls another daemon and records what the envelope of its reply says.
    ///
    /// # Errors
    ///
    /// Fails when no complete reply is received in time.
    pub async fn call_peer(
        &self,
        peer: SocketAddr,
        body: PeerRequest,
        timeout: Duration,
    ) -> Result<PeerEnvelope<PeerReply>, PeerError> {
        let sent = self.clock.now();
        let receiver = self.members.daemon_at(peer);
        let receiver = receiver.as_ref().map(|daemon| (daemon, None));
        let message = self.envelope(body, receiver);
        match self.peers.client.call(peer, &message, timeout).await {
            Ok(reply) => {
                let now = self.clock.now();
                self.members.with_tracker(|tracker| {
                    tracker.record_answer(&reply.from, reply.incarnation, sent, now);
                });
                self.record_envelope(&reply, peer);
                // A peer that reports no newer claim confirms the claims of this daemon.
                if !self.claims.contains_newer(&reply.superseded) {
                    self.claims.record_confirmation(sent);
                }
                Ok(reply)
            }
            Err(error) => {
                if error.is_refused()
                    && let Some(daemon) = self.members.daemon_at(peer)
                {
                    let now = self.clock.now();
                    self.members
                        .with_tracker(|tracker| tracker.record_refusal(&daemon, sent, now));
                }
                Err(error)
            }
        }
    }

    /// Wraps a body for `receiver`, whose incarnation is known if the message is a reply.
    pub fn envelope<T>(
        &self,
        body: T,
        receiver: Option<(&DaemonId, Option<Incarnation>)>,
    ) -> PeerEnvelope<T> {
        PeerEnvelope {
            protocol: PROTOCOL_VERSION,
            from: self.identity.daemon.clone(),
            incarnation: self.identity.incarnation,
            data_centre: self.identity.data_centre.clone(),
            config_version: self.config().version,
            superseded: receiver
                .map(|(daemon, incarnation)| self.superseded_claims(daemon, incarnation))
                .unwrap_or_default(),
            body,
        }
    }

    /// Records the information in an envelope: configuration version, incarnation of the sender and
    /// superseded claims of this daemon.
    pub fn record_envelope<T>(&self, envelope: &PeerEnvelope<T>, address: SocketAddr) {
        if envelope.config_version > self.config().version {
            self.metrics.count(names::CONFIG_BEHIND_PEER);
            self.config_feed
                .record_peer_version(address, envelope.config_version);
        }
        self.members
            .record_run(&envelope.from, envelope.incarnation);
        for superseded in &envelope.superseded {
            self.claims
                .record_superseded(&superseded.unit, superseded.epoch, address);
        }
    }

    /// Returns the address of a daemon from the instance list, or otherwise from its claims.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let listed = self.members.address_of(daemon);
        listed.or_else(|| self.claims.address_of(daemon))
    }

    /// Returns the units that the receiver held until another daemon claimed them, with the epochs
    /// of these newer claims, so that the receiver learns that it has lost them. Units of other or
    /// ended runs of the receiver are left out.
    fn superseded_claims(
        &self,
        daemon: &DaemonId,
        incarnation: Option<Incarnation>,
    ) -> Vec<SupersededClaim> {
        let lost = self.claims.units_lost_by(daemon);
        let relevant = lost
            .into_iter()
            .filter(|(holder_incarnation, _)| match incarnation {
                Some(incarnation) => incarnation == *holder_incarnation,
                None => self.members.with_tracker(|tracker| {
                    tracker.proof_of_end(daemon, *holder_incarnation).is_none()
                }),
            });
        relevant.map(|(_, superseded)| superseded).collect()
    }
}
