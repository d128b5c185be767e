//! Validated settings of a daemon.

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
    /// Data centre of the daemon.
    pub data_centre: DataCentreName,
    /// Address at which other daemons reach this one.
    pub inner_address: SocketAddr,
    /// Processors that the daemon may use, in thousandths of one processor. Daemons with more are
    /// preferred as owner.
    pub weight: u64,
    /// Memory of the daemon, in bytes; none if it is not limited.
    pub memory_bytes: Option<u64>,
    /// Settings of the scheduler.
    pub scheduler: Arc<SchedulerSettings>,
    /// Longest time from a stop request to the exit of the process.
    pub stop_limit: Duration,
    /// Time after a stop request during which the platform may still send new callers.
    pub drain_delay: Duration,
}
