//! Client interface and wire types of workers: fencing, commands with leases, reports.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{
    AttemptId, Epoch, Incarnation, Millis, ResourceVector, TaskRef, WorkerId, value_types,
    wire_types,
};

use crate::BackingError;

value_types! {
    /// How an attempt to run a task ended.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptEnd {
        /// The task completed successfully.
        Succeeded,
        /// The task failed.
        Failed,
        /// The owner of the partition stopped the attempt.
        Stopped,
        /// The lease of the attempt expired.
        LeaseExpired,
        /// The attempt was stopped after a checkpoint, from which a later attempt continues.
        Checkpointed,
    }

    /// State of an attempt.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptState {
        /// Runs with all of its reserved processors.
        Running,
        /// Runs with a part of its reserved processors.
        Throttled,
        /// Has ended; reported until the owner acknowledges it.
        Ended(AttemptEnd),
    }

    /// Why a start was refused. A refused start has not run and will not run.
    #[serde(rename_all = "snake_case")]
    pub enum StartRefusal {
        /// The clock reading in the batch is older than the start window.
        StaleReading,
        /// The incarnation in the batch is not the worker's current one.
        OtherIncarnation,
        /// The worker does not have enough free capacity.
        NoRoom,
        /// The worker is being removed and accepts no new work.
        Leaving,
    }
}

wire_types! {
    /// An attempt in a worker's report.
    pub struct AttemptReport {
        /// Id of the attempt.
        pub attempt: AttemptId,
        /// Task that the attempt runs.
        pub task: TaskRef,
        /// Resources reserved for the attempt.
        pub size: ResourceVector,
        /// State of the attempt.
        pub state: AttemptState,
        /// End of the lease, as a reading of the worker's clock.
        pub lease_until_ms: Millis,
        /// Resource usage at the last measurement, which may be some time ago.
        pub usage: ResourceVector,
        /// Time since the attempt started.
        pub ran_ms: Millis,
    }

    /// State that a worker reports.
    pub struct WorkerReport {
        /// Id of the worker.
        pub worker: WorkerId,
        /// Identifies the run of the worker's process; a restart changes it.
        pub incarnation: Incarnation,
        /// Reading of the worker's monotonic clock at the time of the report.
        pub clock_ms: Millis,
        /// Highest epoch that the worker has seen for the partition of the request.
        pub epoch: Epoch,
        /// Whether the worker is being removed and accepts no new work.
        pub leaving: bool,
        /// Total capacity of the worker.
        pub capacity: ResourceVector,
        /// All attempts on the worker in a full report; otherwise at least those that have ended and
        /// those that the command batch starts.
        pub attempts: Vec<AttemptReport>,
        /// Whether `attempts` lists all attempts.
        pub full: bool,
    }

    /// Raises the lowest epoch from which the worker accepts commands for a partition.
    #[serde(deny_unknown_fields)]
    pub struct FenceRequest {
        /// The partition.
        pub partition: Arc<str>,
        /// Lowest epoch of the commands that the worker accepts from now on.
        pub epoch: Epoch,
    }

    /// Starts an attempt to run a task.
    pub struct StartCommand {
        /// Id of the attempt; a repeated start of the same attempt has no further effect.
        pub attempt: AttemptId,
        /// Task that the attempt runs.
        pub task: TaskRef,
        /// Resources to reserve.
        pub size: ResourceVector,
        /// How long the task runs; `None` if it runs until it is stopped.
        pub run_ms: Option<Millis>,
    }

    /// Stops an attempt.
    pub struct StopCommand {
        /// Id of the attempt.
        pub attempt: AttemptId,
        /// Grace period in which the task may end by itself before it is killed.
        pub grace_ms: Millis,
    }

    /// Limits the processors of an attempt.
    pub struct ThrottleCommand {
        /// Id of the attempt.
        pub attempt: AttemptId,
        /// Share of the reserved processors in percent, 1 to 100.
        pub percent: u8,
    }

    /// All commands of a partition's owner to one worker, in one message.
    pub struct CommandBatch {
        /// Partition of the owner.
        pub partition: Arc<str>,
        /// Epoch in which the owner owns the partition.
        pub epoch: Epoch,
        /// Incarnation of the worker as the owner knows it.
        pub incarnation: Incarnation,
        /// Reading of the worker's clock in an earlier answer.
        pub reading_ms: Millis,
        /// Duration of leases, counted from `reading_ms`.
        pub lease_ms: Millis,
        /// Maximum age of `reading_ms`; the worker refuses starts with an older one.
        pub start_window_ms: Millis,
        /// Whether the leases of all attempts of this partition are renewed.
        pub renew: bool,
        /// Whether the answer lists all attempts.
        pub full_report: bool,
        /// Attempts to start.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub starts: Vec<StartCommand>,
        /// Attempts to stop.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub stops: Vec<StopCommand>,
        /// Attempts to checkpoint and stop.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub checkpoints: Vec<AttemptId>,
        /// Attempts to throttle.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub throttles: Vec<ThrottleCommand>,
        /// Ended attempts that the owner has recorded; the worker forgets them.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub acknowledged: Vec<AttemptId>,
    }

    /// A start that the worker refused.
    pub struct RefusedStart {
        /// Id of the attempt.
        pub attempt: AttemptId,
        /// Reason of the refusal.
        pub reason: StartRefusal,
    }

    /// Answer to a fence request or a batch of commands.
    pub struct CommandAnswer {
        /// The highest epoch seen, if the request's epoch is lower; the request then had no effect.
        pub superseded_by: Option<Epoch>,
        /// Starts that have not run and will not run.
        pub refused: Vec<RefusedStart>,
        /// State of the worker after the request.
        pub report: WorkerReport,
    }
}

/// Client of workers.
pub trait WorkerClient: Send + Sync {
    /// Reads a full report of a worker for a partition.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives.
    fn status<'a>(
        &'a self,
        worker: SocketAddr,
        partition: &'a str,
    ) -> BoxFuture<'a, Result<WorkerReport, BackingError>>;

    /// Raises the lowest epoch from which the worker accepts commands. The answer contains a full
    /// report.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives; the fence may have taken effect nevertheless.
    fn fence<'a>(
        &'a self,
        worker: SocketAddr,
        request: &'a FenceRequest,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>>;

    /// Sends a batch of commands.
    ///
    /// # Errors
    ///
    /// Returns an error if no valid answer arrives; the batch may have taken effect nevertheless.
    fn command<'a>(
        &'a self,
        worker: SocketAddr,
        batch: &'a CommandBatch,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>>;
}
