//! The platform's list of instances.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{DataCentreName, value_types, wire_types};

use crate::BackingError;

value_types! {
    /// What an instance is for.
    #[serde(rename_all = "lowercase")]
    pub enum InstanceKind {
        /// Runs `magnoliad`.
        Entry,
        /// Runs tasks.
        Worker,
        /// Answers quick requests.
        Executor,
    }

    /// Whether an instance may get new work.
    #[serde(rename_all = "lowercase")]
    pub enum InstanceState {
        /// In use.
        Live,
        /// Going away; gets nothing new.
        Leaving,
    }
}

wire_types! {
    /// One instance.
    pub struct InstanceEntry {
        /// Name; the daemon, worker or executor id.
        pub instance: Arc<str>,
        /// What the instance is for.
        pub kind: InstanceKind,
        /// Address; of a daemon, the one for other daemons.
        pub address: SocketAddr,
        /// Where the instance is.
        pub data_centre: DataCentreName,
        /// Whether it may get new work.
        pub state: InstanceState,
    }
}

/// Lists live and leaving instances; the list lags behind the truth.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Fails when the list is away.
    fn list(&self) -> BoxFuture<'_, Result<Vec<InstanceEntry>, BackingError>>;
}
