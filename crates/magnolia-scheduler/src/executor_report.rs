//! What executors and the eligibility service say.

use std::sync::Arc;

use magnolia_types::{ExecutorId, Millis, value_types, wire_types};

use crate::{ExecutorLife, RunNumber, TaskRef};

value_types! {
    /// How a run ended.
    pub enum EndKind {
        /// Ended well.
        Done,
        /// Failed by its own fault or the executor's.
        Failed,
        /// Stopped by an order.
        Stopped,
        /// Its lease ran out.
        Lapsed,
        /// Another member of its gang ended.
        Broken,
        /// The other members of its gang did not come.
        Alone,
    }
}

/// A run that an executor lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskRef,
    /// Its run.
    pub run: RunNumber,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
    /// Progress in percent; 100 for a lasting task at work.
    pub percent: u8,
    /// Tail latency in milliseconds of a task that serves, processors in use of any other.
    pub meter: Option<u64>,
}

/// An end that an executor lists.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Number of the end in this life of the executor, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// Its run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint.
    pub saved: Option<Arc<str>>,
}

/// Answer of an executor to a renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// Life of the executor.
    pub life: ExecutorLife,
    /// Its clock.
    pub clock: Millis,
    /// What runs.
    pub running: Vec<RunningTask>,
    /// What has ended and is not acknowledged.
    pub ends: Vec<RunEnd>,
}

/// What came back for a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run is there.
    Started,
    /// A higher epoch is in force at the executor.
    Fenced,
    /// The number of the run is not above one that the executor knows.
    Old,
    /// The lease was over when the order arrived.
    Late,
    /// The executor has no room.
    NoRoom,
    /// The proof of eligibility is not valid.
    BadTicket,
    /// The executor did nothing and is not healthy.
    Unhealthy,
    /// The order was not understood.
    Malformed,
    /// Another life of the executor answered.
    OtherLife,
    /// The order certainly did not arrive.
    NotSent,
    /// Nothing is known of the order.
    Unknown,
}

wire_types! {
    /// Answer of the eligibility service.
    pub struct EligibilityAnswer {
        /// Executors that may run the step, with the proof for each.
        pub eligible: Vec<(ExecutorId, Arc<str>)>,
        /// Time for which the proofs are valid.
        pub valid: Millis,
    }
}
