//! Identity of this daemon.

use std::net::SocketAddr;

use magnolia_types::{DaemonId, DataCentreName, Incarnation};

/// Name, incarnation and location of this daemon.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct DaemonIdentity {
    /// Configured name.
    pub daemon: DaemonId,
    /// Random number of this run of the process.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub data_centre: DataCentreName,
    /// Address at which other daemons reach this one.
    pub address: SocketAddr,
}
