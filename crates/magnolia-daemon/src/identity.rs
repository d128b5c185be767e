//! Who this daemon is.

use std::net::SocketAddr;

use magnolia_types::{DaemonId, DataCentreName, Incarnation};

/// Name, run and place of this daemon.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct DaemonIdentity {
    /// Configured name.
    pub daemon: DaemonId,
    /// This run of the process, drawn at random.
    pub incarnation: Incarnation,
    /// Where the daemon runs.
    pub data_centre: DataCentreName,
    /// Address for other daemons.
    pub address: SocketAddr,
}
