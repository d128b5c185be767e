//! Client interface and wire types of executors.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{ExecutorId, Millis, RequestId, wire_types};

use crate::BackingError;

/// Header with the id of the request; the answer must repeat it.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header with the time until the deadline in milliseconds.
pub const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header of an answer that refuses the request and states that it did not run.
pub const HEADER_NOT_RUN: &str = "x-not-run";

wire_types! {
    /// Status that an executor reports.
    pub struct ExecutorStatus {
        /// Id of the executor.
        pub executor: ExecutorId,
        /// Total number of slots.
        pub slots: u32,
        /// Number of slots in use.
        pub busy: u32,
        /// Maximum number of connections.
        pub max_connections: u32,
        /// Number of open connections.
        pub connections: u32,
        /// Whether the executor is being removed and gets no new work.
        pub leaving: bool,
    }
}

/// A quick request to an executor.
#[derive(Clone, Debug)]
pub struct ExecuteCall {
    /// Id of the request.
    pub request: RequestId,
    /// Body of the request, opaque to the scheduler.
    pub body: Arc<str>,
    /// Time left until the deadline.
    pub remaining: Millis,
}

/// Outcome of a request at an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecuteAnswer {
    /// The executor ran the request; holds the complete answer.
    Answered(Arc<str>),
    /// The executor ran the request, which failed; holds the text of the answer.
    Failed(Arc<str>),
    /// The executor refused the request, which did not run there.
    NotRun(Arc<str>),
}

/// Client of executors.
pub trait ExecutorClient: Send + Sync {
    /// Reads the status of an executor.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives.
    fn status(&self, executor: SocketAddr) -> BoxFuture<'_, Result<ExecutorStatus, BackingError>>;

    /// Sends a request and waits for its answer until the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete answer with the id of the request arrives. The error tells
    /// whether the request may have run.
    fn execute<'a>(
        &'a self,
        executor: SocketAddr,
        call: &'a ExecuteCall,
    ) -> BoxFuture<'a, Result<ExecuteAnswer, BackingError>>;
}
