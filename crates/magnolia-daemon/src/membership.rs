//! Live daemons, from the platform's instance list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use magnolia_platform::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_types::{DaemonId, DataCentreName};
use tokio::sync::watch;

use crate::context::DaemonContext;

/// Time between two readings of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(500);

/// One daemon of the cell.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberEntry {
    /// Name.
    pub daemon: DaemonId,
    /// Address for other daemons.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreName,
}

/// The live daemons and the leaving back ends.
pub struct MemberList {
    entries: watch::Sender<Arc<Vec<InstanceEntry>>>,
}

impl MemberList {
    /// Creates an empty list.
    pub fn new() -> Self {
        Self {
            entries: watch::Sender::new(Arc::default()),
        }
    }

    /// Returns the live daemons in order of their names.
    pub fn live_daemons(&self) -> Vec<MemberEntry> {
        let entries = Arc::clone(&self.entries.borrow());
        let mut members: Vec<MemberEntry> = entries
            .iter()
            .filter(|entry| entry.kind == InstanceKind::Entry)
            .filter(|entry| entry.state == InstanceState::Live)
            .filter_map(|entry| {
                let daemon = DaemonId::new(&entry.instance).ok()?;
                let (address, data_centre) = (entry.address, entry.data_centre.clone());
                Some(MemberEntry {
                    daemon,
                    address,
                    data_centre,
                })
            })
            .collect();
        members.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        members
    }

    /// Describes the members for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        serde_json::json!(self.live_daemons())
    }
}

/// Reads the instance list until the daemon ends.
pub async fn follow_instances(context: Arc<DaemonContext>) {
    loop {
        match context.instances.list().await {
            Ok(entries) => {
                context
                    .metrics
                    .gauge("instances.listed", entries.len() as u64);
                context.members.entries.send_replace(Arc::new(entries));
            }
            Err(_) => context.metrics.count("instances.read_failed"),
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}
