//! Settings of a daemon, already checked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_scheduler::SchedulerSettings;
use magnolia_types::{DaemonId, DataCentreName};

/// Settings of one daemon.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the daemon.
    pub name: DaemonId,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Where other daemons reach it.
    pub inner_address: SocketAddr,
    /// Preference as owner, by the processors of the instance in thousandths.
    pub weight: u64,
    /// Bounds of the scheduler.
    pub scheduler: Arc<SchedulerSettings>,
    /// Longest time from the request to stop to the end of the process.
    pub stop_limit: Duration,
    /// Time after a stop was asked for in which the platform still sends new callers.
    pub drain_delay: Duration,
}
