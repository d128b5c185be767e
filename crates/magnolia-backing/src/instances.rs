//! Client interface and wire types of the platform's instance list.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{DataCentreName, value_types, wire_types};

use crate::BackingError;

value_types! {
    /// Role of an instance.
    #[serde(rename_all = "lowercase")]
    pub enum InstanceKind {
        /// Runs the daemon `magnoliad`.
        Entry,
        /// Runs tasks.
        Worker,
        /// Runs quick requests.
        Executor,
    }

    /// Whether an instance may get new work.
    #[serde(rename_all = "lowercase")]
    pub enum InstanceState {
        /// In use.
        Live,
        /// Being removed; gets no new work.
        Leaving,
    }
}

wire_types! {
    /// An instance in the list.
    pub struct InstanceEntry {
        /// Name of the instance, which is its daemon, worker or executor id.
        pub instance: Arc<str>,
        /// Role of the instance.
        pub kind: InstanceKind,
        /// Address of the worker or executor; of a daemon, the address for calls by other daemons.
        pub address: SocketAddr,
        /// Data centre of the instance.
        pub data_centre: DataCentreName,
        /// Whether the instance may get new work.
        pub state: InstanceState,
    }
}

/// Client of the list of live and leaving instances, which may be out of date.
pub trait InstanceList: Send + Sync {
    /// Reads the whole list.
    ///
    /// # Errors
    ///
    /// Returns an error if the list is unavailable.
    fn list(&self) -> BoxFuture<'_, Result<Vec<InstanceEntry>, BackingError>>;
}
