//! What a daemon needs of its platform.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_scheduler::{
    CellRules, EligibilityAnswer, ExecutorEntry, ExecutorReport, HoldPlan, PaceOrder, StartAnswer,
    StartOrder, StepRef, StopOrder,
};
use magnolia_types::{Epoch, ExecutorId, LogOffset, Millis, value_types, wire_types};

value_types! {
    /// A keyed stream of the store.
    pub enum StreamName {
        /// Members and claims of ownership.
        Cell,
        /// Newest state of each job.
        Jobs,
        /// Documents of the operator; written by the platform.
        Rules,
        /// Entries of executors; written by the platform.
        Inventory,
    }

    /// Under which condition records are appended.
    pub enum AppendCondition {
        /// None.
        Always,
        /// The stream ends at this offset.
        EndsAt(LogOffset),
        /// No writer of a higher epoch has appended, and the sequence follows the last one.
        Writer {
            /// Epoch of the writer.
            epoch: Epoch,
            /// Number of the call within the epoch.
            sequence: u64,
        },
    }

    /// What became of an append that was answered.
    pub enum AppendOutcome {
        /// Stored, by this call or an earlier one with the same sequence.
        Stored {
            /// End of the stream after it.
            end: LogOffset,
        },
        /// The stream does not end at the offset; nothing was stored.
        Moved {
            /// Where it ends.
            end: LogOffset,
        },
        /// A higher epoch is in force; nothing was stored.
        Fenced,
        /// The sequence does not follow; nothing was stored.
        OutOfSequence {
            /// The sequence that is expected.
            expected: u64,
        },
    }
}

wire_types! {
    /// A record of a keyed stream.
    pub struct StreamRecord {
        /// Key.
        pub key: Arc<str>,
        /// Value; empty where the key was dropped.
        #[serde(with = "serde_bytes")]
        pub value: Vec<u8>,
    }

    /// Newest records by key.
    pub struct NewestPage {
        /// The records.
        pub records: Vec<StreamRecord>,
        /// Whether more keys follow the last one.
        pub more: bool,
        /// End of the stream when the page was read.
        pub end: LogOffset,
    }

    /// Records from an offset on.
    pub struct TailPage {
        /// The records.
        pub records: Vec<StreamRecord>,
        /// Offset after the last one.
        pub next: LogOffset,
    }

    /// Why a call to the store has no outcome.
    #[derive(thiserror::Error)]
    pub enum StoreError {
        /// The store did nothing and may do it later.
        #[error("the store refused the call: {0}")]
        Busy(Arc<str>),
        /// The call was not sent.
        #[error("the store can't be reached: {0}")]
        Unreachable(Arc<str>),
        /// The call may have been carried out, or may be later.
        #[error("no answer of the store: {0}")]
        Lost(Arc<str>),
        /// Records from the offset on are no longer kept.
        #[error("records from the offset on are gone")]
        Expired,
        /// The answer is not understood.
        #[error("malformed answer of the store: {0}")]
        Malformed(Arc<str>),
    }
}

/// Store of keyed streams.
pub trait StreamStore: Send + Sync {
    /// Appends records, all or none.
    fn append<'a>(
        &'a self,
        stream: StreamName,
        records: &'a [StreamRecord],
        condition: AppendCondition,
    ) -> BoxFuture<'a, Result<AppendOutcome, StoreError>>;

    /// Reads the newest record of each key behind `after`.
    fn read_newest<'a>(
        &'a self,
        stream: StreamName,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>>;

    /// Reads from an offset on; waits up to `wait` for a record.
    fn read_tail<'a>(
        &'a self,
        stream: StreamName,
        from: LogOffset,
        wait: Millis,
    ) -> BoxFuture<'a, Result<TailPage, StoreError>>;
}

/// Why an order has no good answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OrderError {
    /// A higher epoch is in force at the executor.
    #[error("a higher epoch is in force")]
    Fenced,
    /// Another executor answers at the address.
    #[error("another executor answers at the address")]
    OtherExecutor,
    /// No process listens at the address.
    #[error("no process listens at the address")]
    NoProcess,
    /// The order certainly did not arrive.
    #[error("order not sent: {0}")]
    NotSent(Arc<str>),
    /// Nothing is known of the order.
    #[error("no answer: {0}")]
    Lost(Arc<str>),
    /// The executor refused the order.
    #[error("order refused: {0}")]
    Refused(Arc<str>),
}

/// Orders to executors.
pub trait ExecutorPort: Send + Sync {
    /// Renews the lease and asks for what runs and what ended.
    fn renew_lease<'a>(
        &'a self,
        executor: &'a ExecutorEntry,
        epoch: Epoch,
        plan: &'a HoldPlan,
    ) -> BoxFuture<'a, Result<ExecutorReport, OrderError>>;

    /// Starts a task.
    fn start<'a>(
        &'a self,
        address: SocketAddr,
        epoch: Epoch,
        order: &'a StartOrder,
    ) -> BoxFuture<'a, StartAnswer>;

    /// Stops a run.
    fn stop<'a>(
        &'a self,
        address: SocketAddr,
        epoch: Epoch,
        order: &'a StopOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>>;

    /// Changes the share of a run.
    fn pace<'a>(
        &'a self,
        address: SocketAddr,
        epoch: Epoch,
        order: &'a PaceOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>>;
}

/// Why a call for eligibility has no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EligibilityError {
    /// Too many calls wait already.
    #[error("too many calls wait")]
    Busy,
    /// No answer.
    #[error("no answer: {0}")]
    Lost(Arc<str>),
}

/// The service that knows which executors may run a step.
pub trait EligibilityPort: Send + Sync {
    /// Asks for a step, with at least `expected` until the answer.
    fn ask<'a>(
        &'a self,
        step: StepRef,
        executors: &'a [ExecutorId],
        expected: Millis,
    ) -> BoxFuture<'a, Result<EligibilityAnswer, EligibilityError>>;
}

/// Reads the platform's documents.
pub trait DocumentDecoder: Send + Sync {
    /// Reads the configuration; `None` for other documents.
    fn rules(&self, record: &StreamRecord) -> Option<CellRules>;

    /// Reads an executor's entry; `None` when it names none that can be used.
    fn executor(&self, record: &StreamRecord) -> Option<ExecutorEntry>;
}
