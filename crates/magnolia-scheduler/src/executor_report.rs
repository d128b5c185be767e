//! Answers of executors and of the eligibility service.

use std::sync::Arc;

use magnolia_types::{ExecutorId, Millis, value_types, wire_types};

use crate::{ExecutorLife, RunNumber, TaskRef};

value_types! {
    /// How a run ended.
    pub enum EndKind {
        /// Succeeded.
        Done,
        /// Failed, because of the task or of the executor.
        Failed,
        /// Stopped by an order.
        Stopped,
        /// Ended because the lease of the executor expired.
        Lapsed,
        /// Ended because another member of its gang ended.
        Broken,
        /// Ended because the other members of its gang did not start in time.
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
    pub checkpoint: Option<Arc<str>>,
    /// Progress in percent; 100 for a long-running task that is working.
    pub percent: u8,
    /// Tail latency in milliseconds for a task with a latency target; processors in use, rounded
    /// down, for any other.
    pub meter: Option<u64>,
}

/// End of a run, reported by its executor until it is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct RunEnd {
    /// Sequence number of the end in this life of the executor, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskRef,
    /// Its run.
    pub run: RunNumber,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint.
    pub checkpoint: Option<Arc<str>>,
}

/// Answer of an executor to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub struct ExecutorReport {
    /// Life of the executor.
    pub life: ExecutorLife,
    /// Reading of its clock.
    pub clock: Millis,
    /// Present runs.
    pub running: Vec<RunningTask>,
    /// Ends that are not acknowledged.
    pub ends: Vec<RunEnd>,
    /// Whether all ends that are not acknowledged are listed. An executor limits the length of the
    /// list; a run that is neither running nor listed may then have ended.
    pub ends_complete: bool,
}

/// Answer to a start order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartAnswer {
    /// The run has started.
    Started,
    /// The executor knows a higher epoch.
    Fenced,
    /// The executor knows a run of the task with the same or a higher number.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The executor has too little free capacity.
    NoRoom,
    /// The eligibility ticket is not valid.
    BadTicket,
    /// The executor is unhealthy and did not start the run.
    Unhealthy,
    /// The executor could not parse the order.
    Malformed,
    /// Another executor answered at the address.
    OtherExecutor,
    /// The order was certainly not delivered.
    NotSent,
    /// The order may or may not have been executed.
    Unknown,
}

wire_types! {
    /// Answer of the eligibility service.
    pub struct EligibilityAnswer {
        /// Executors that may run the step, each with its ticket.
        pub eligible: Vec<(ExecutorId, Arc<str>)>,
        /// Time for which the tickets are valid.
        pub valid: Millis,
    }
}
