//! The interface of executors.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{ExecutorId, Millis, RequestId, wire_types};

use crate::BackingError;

/// Header with the id of the request, repeated in the answer.
pub const HEADER_REQUEST_ID: &str = "x-request-id";
/// Header with the milliseconds that are left.
pub const HEADER_DEADLINE_MS: &str = "x-deadline-ms";
/// Header of a refusal that says the request did not run.
pub const HEADER_NOT_RUN: &str = "x-not-run";

wire_types! {
    /// What an executor says of itself.
    pub struct ExecutorStatus {
        /// The executor.
        pub executor: ExecutorId,
        /// Slots in all.
        pub slots: u32,
        /// Slots in use.
        pub busy: u32,
        /// Connections allowed.
        pub max_connections: u32,
        /// Connections open.
        pub connections: u32,
        /// Whether the executor is going away.
        pub leaving: bool,
    }
}

/// One request to an executor.
#[derive(Clone, Debug)]
pub struct ExecuteCall {
    /// Id of the request.
    pub request: RequestId,
    /// Body, opaque to the scheduler.
    pub body: Arc<str>,
    /// Time left until the deadline.
    pub remaining: Millis,
}

/// What came of a request at an executor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExecuteAnswer {
    /// The whole answer.
    Answered(Arc<str>),
    /// The executor ran the request and reports a failure.
    Failed(Arc<str>),
    /// The executor refused; the request did not run there.
    NotRun(Arc<str>),
}

/// Speaks with executors.
pub trait ExecutorClient: Send + Sync {
    /// Asks for the status.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    fn status(&self, executor: SocketAddr) -> BoxFuture<'_, Result<ExecutorStatus, BackingError>>;

    /// Runs one request.
    ///
    /// # Errors
    ///
    /// Fails when no whole answer with the id of the request comes; the error tells whether the
    /// request can have run.
    fn execute<'a>(
        &'a self,
        executor: SocketAddr,
        call: &'a ExecuteCall,
    ) -> BoxFuture<'a, Result<ExecuteAnswer, BackingError>>;
}
