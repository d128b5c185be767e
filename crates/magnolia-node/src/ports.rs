//! Interfaces that a platform implements for the daemon: store, executors, eligibility, documents.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_scheduler::{
    CellRules, EligibilityAnswer, ExecutorEntry, ExecutorReport, PaceOrder, RenewalPlan,
    StartAnswer, StartOrder, StepRef, StopOrder,
};
use magnolia_types::{Epoch, ExecutorId, LogOffset, Millis, value_types, wire_types};

value_types! {
    /// A keyed stream of the store: a log of records with keys. The newest record of each key can
    /// always be read; older records expire.
    pub enum StreamName {
        /// Registered daemons and claims of ownership.
        Cell,
        /// Newest state of each job and of each executor in use.
        Jobs,
        /// Configuration documents of the operator; written by the platform.
        Rules,
        /// Entries of executors; written by the platform.
        Inventory,
    }

    /// Condition under which the store appends records.
    pub enum AppendCondition {
        /// No condition.
        Always,
        /// The end of the stream is at this offset.
        EndsAt(LogOffset),
        /// No writer of a higher epoch has appended, and the sequence number follows the last one.
        Writer {
            /// Epoch of the writer.
            epoch: Epoch,
            /// Sequence number of the append within the epoch.
            sequence: u64,
        },
    }

    /// Outcome of an append that the store answered.
    pub enum AppendOutcome {
        /// Stored, by this call or by an earlier one with the same sequence number.
        Stored {
            /// End of the stream after the append.
            end: LogOffset,
        },
        /// The end of the stream is not at the expected offset; nothing was stored.
        Moved {
            /// End of the stream.
            end: LogOffset,
        },
        /// A higher epoch is in force; nothing was stored.
        Fenced,
        /// The sequence number does not follow the last one; nothing was stored.
        OutOfSequence {
            /// The sequence number that the store expects.
            expected: u64,
        },
    }
}

wire_types! {
    /// A record of a keyed stream.
    pub struct StreamRecord {
        /// Key of the record.
        pub key: Arc<str>,
        /// Value; empty if the key was deleted.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// One page of the newest records of a stream, in the order of their keys.
    pub struct NewestPage {
        /// The records.
        pub records: Vec<StreamRecord>,
        /// Whether more keys follow the last one of the page.
        pub more: bool,
        /// End of the stream at the time of the read.
        pub end: LogOffset,
    }

    /// Records of a stream from an offset on.
    pub struct TailPage {
        /// The records.
        pub records: Vec<StreamRecord>,
        /// Offset after the last one.
        pub next: LogOffset,
    }

    /// Reason why a call to the store has no outcome.
    #[derive(thiserror::Error)]
    pub enum StoreError {
        /// The store rejected the call and did nothing; a later call may succeed.
        #[error("the store rejected the call: {0}")]
        Busy(Arc<str>),
        /// The call did not reach the store.
        #[error("the store can't be reached: {0}")]
        Unreachable(Arc<str>),
        /// There was no answer. The store may have carried the call out, or may do so later.
        #[error("no answer from the store: {0}")]
        Lost(Arc<str>),
        /// The store no longer keeps the records at the offset.
        #[error("records at the offset are no longer kept")]
        Expired,
        /// The store calls the request malformed or too large, and did nothing.
        #[error("refused by the store: {0}")]
        Refused(Arc<str>),
        /// The answer is malformed.
        #[error("malformed answer of the store: {0}")]
        Malformed(Arc<str>),
    }
}

/// A store of keyed streams.
pub trait StreamStore: Send + Sync {
    /// Appends all of the records or none of them.
    fn append<'a>(
        &'a self,
        stream: StreamName,
        records: &'a [StreamRecord],
        condition: AppendCondition,
    ) -> BoxFuture<'a, Result<AppendOutcome, StoreError>>;

    /// Reads the newest record of each key that sorts after `after`, one page at a time.
    fn read_newest<'a>(
        &'a self,
        stream: StreamName,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>>;

    /// Reads the records from an offset on. If there are none, waits up to `wait` for the first.
    fn read_tail<'a>(
        &'a self,
        stream: StreamName,
        from: LogOffset,
        wait: Millis,
    ) -> BoxFuture<'a, Result<TailPage, StoreError>>;
}

/// Reason why an order to an executor was not confirmed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// A higher epoch is in force at the executor.
    #[error("a higher epoch is in force")]
    Fenced,
    /// Another executor answers at the address.
    #[error("another executor answers at the address")]
    OtherExecutor,
    /// The order did not reach the executor.
    #[error("order not sent: {0}")]
    NotSent(Arc<str>),
    /// There was no answer; the executor may have carried the order out.
    #[error("no answer: {0}")]
    Lost(Arc<str>),
    /// The executor refused the order, or its answer is malformed.
    #[error("order refused: {0}")]
    Refused(Arc<str>),
}

/// Answer of an executor to a start.
#[derive(Clone, Copy, Debug)]
pub struct StartReply {
    /// What became of the start.
    pub answer: StartAnswer,
    /// Reading of the executor's clock, if it answered with one.
    pub clock: Option<Millis>,
}

/// Sends orders to executors.
pub trait ExecutorPort: Send + Sync {
    /// Renews the lease if `plan` grants one, acknowledges the ends that are stored, and reads
    /// which tasks run and which have ended.
    fn renew_lease<'a>(
        &'a self,
        executor: &'a ExecutorEntry,
        plan: &'a RenewalPlan,
    ) -> BoxFuture<'a, Result<ExecutorReport, OrderError>>;

    /// Starts a task.
    fn start<'a>(&'a self, address: SocketAddr, order: &'a StartOrder)
    -> BoxFuture<'a, StartReply>;

    /// Stops a run.
    fn stop<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a StopOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Sets the CPU share of a run.
    fn pace<'a>(
        &'a self,
        address: SocketAddr,
        order: &'a PaceOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>>;
}

/// Reason why an eligibility request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EligibilityError {
    /// Too many requests are waiting already.
    #[error("too many requests are waiting")]
    Busy,
    /// The service did not answer, or not as expected.
    #[error("no answer: {0}")]
    Lost(Arc<str>),
}

/// The service that decides which executors may run a step.
pub trait EligibilityPort: Send + Sync {
    /// Asks which of the executors may run a step. The service takes about `expected_duration` to
    /// answer, so the timeout of the request has to be longer.
    fn ask<'a>(
        &'a self,
        step: StepRef,
        executors: &'a [ExecutorId],
        expected_duration: Millis,
    ) -> BoxFuture<'a, Result<EligibilityAnswer, EligibilityError>>;
}

/// Decodes the records that the platform writes.
pub trait DocumentDecoder: Send + Sync {
    /// Decodes the configuration; `None` if the record holds something else or can't be decoded.
    fn rules(&self, record: &StreamRecord) -> Option<CellRules>;

    /// Decodes the entry of an executor.
    ///
    /// # Errors
    ///
    /// Fails when the record is no valid entry, so that it names no executor.
    fn executor(&self, record: &StreamRecord) -> Result<ExecutorEntry, EntryError>;
}

/// Reason why a record of the inventory is no valid entry of an executor.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct EntryError(Arc<str>);

impl EntryError {
    /// Creates the error with its reason.
    pub fn new(reason: &dyn std::fmt::Display) -> Self {
        Self(reason.to_string().into())
    }
}
