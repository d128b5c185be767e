//! The interface of workers: fencing, commands under leases, reports.

use std::net::SocketAddr;
use std::sync::Arc;

use futures_util::future::BoxFuture;
use magnolia_types::{
    AttemptId, Epoch, Incarnation, Millis, ResourceVector, TaskRef, WorkerId, value_types,
    wire_types,
};

use crate::BackingError;

value_types! {
    /// How an attempt ended.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptEnd {
        /// The task ran to its end.
        Succeeded,
        /// The task failed.
        Failed,
        /// The owner stopped it.
        Stopped,
        /// Its lease expired.
        LeaseExpired,
        /// It was stopped after a checkpoint; a later attempt goes on from there.
        Checkpointed,
    }

    /// Where an attempt stands.
    #[serde(rename_all = "snake_case")]
    pub enum AttemptState {
        /// Runs at full speed.
        Running,
        /// Runs with a part of its processors.
        Throttled,
        /// Ended; kept in the report until acknowledged.
        Ended(AttemptEnd),
    }

    /// Why a start was refused; a refused start did not and will not run.
    #[serde(rename_all = "snake_case")]
    pub enum StartRefusal {
        /// The cited clock reading is older than the start window.
        StaleReading,
        /// The cited incarnation is not this one.
        OtherIncarnation,
        /// The worker lacks the room.
        NoRoom,
        /// The worker is leaving.
        Leaving,
    }
}

wire_types! {
    /// One attempt in a report.
    pub struct AttemptReport {
        /// The attempt.
        pub attempt: AttemptId,
        /// The task that it tries.
        pub task: TaskRef,
        /// Reserved size.
        pub size: ResourceVector,
        /// Where it stands.
        pub state: AttemptState,
        /// End of the lease on the worker's clock.
        pub lease_until_ms: Millis,
        /// Usage as last measured; lags.
        pub usage: ResourceVector,
        /// Time since the start.
        pub ran_ms: Millis,
    }

    /// What a worker says of itself.
    pub struct WorkerReport {
        /// The worker.
        pub worker: WorkerId,
        /// The run of the worker's process.
        pub incarnation: Incarnation,
        /// Reading of the worker's monotonic clock.
        pub clock_ms: Millis,
        /// Highest epoch seen for the asked partition.
        pub epoch: Epoch,
        /// Whether the worker is going away.
        pub leaving: bool,
        /// What the worker has.
        pub capacity: ResourceVector,
        /// Attempts: all in a full report, else those ended and those named by the command.
        pub attempts: Vec<AttemptReport>,
        /// Whether `attempts` holds all.
        pub full: bool,
    }

    /// Raises the epoch that the worker demands for a partition.
    #[serde(deny_unknown_fields)]
    pub struct FenceRequest {
        /// The partition.
        pub partition: Arc<str>,
        /// Commands with a lower epoch are refused from now on.
        pub epoch: Epoch,
    }

    /// Starts one attempt.
    pub struct StartCommand {
        /// The attempt; a repeated start of the same attempt has no further effect.
        pub attempt: AttemptId,
        /// The task that it tries.
        pub task: TaskRef,
        /// Size to reserve.
        pub size: ResourceVector,
        /// How long the task runs; `None` until it is stopped.
        pub run_ms: Option<Millis>,
    }

    /// Stops one attempt.
    pub struct StopCommand {
        /// The attempt.
        pub attempt: AttemptId,
        /// Time that the task gets to end by itself.
        pub grace_ms: Millis,
    }

    /// Bounds the processors of one attempt.
    pub struct ThrottleCommand {
        /// The attempt.
        pub attempt: AttemptId,
        /// Share of the reserved processors, 1 to 100.
        pub percent: u8,
    }

    /// Everything that an owner wants of one worker, in one message.
    pub struct CommandBatch {
        /// The partition.
        pub partition: Arc<str>,
        /// Epoch of the owner.
        pub epoch: Epoch,
        /// The incarnation of the worker that the owner knows.
        pub incarnation: Incarnation,
        /// A reading of the worker's clock from an earlier answer.
        pub reading_ms: Millis,
        /// Leases run until the reading plus this time.
        pub lease_ms: Millis,
        /// Starts are refused when the reading is older than this.
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

    /// A start that was refused.
    pub struct RefusedStart {
        /// The attempt.
        pub attempt: AttemptId,
        /// Why.
        pub reason: StartRefusal,
    }

    /// Answer to a fence or a batch.
    pub struct CommandAnswer {
        /// Set when the epoch was too low; nothing of the batch took effect.
        pub superseded_by: Option<Epoch>,
        /// Starts that did not and will not run.
        pub refused: Vec<RefusedStart>,
        /// State after the batch.
        pub report: WorkerReport,
    }
}

/// Speaks with workers.
pub trait WorkerClient: Send + Sync {
    /// Asks for a full report.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    fn status<'a>(
        &'a self,
        worker: SocketAddr,
        partition: &'a str,
    ) -> BoxFuture<'a, Result<WorkerReport, BackingError>>;

    /// Raises the epoch that the worker demands; the answer holds a full report.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes; the fence may hold all the same.
    fn fence<'a>(
        &'a self,
        worker: SocketAddr,
        request: &'a FenceRequest,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>>;

    /// Sends a batch of commands.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes; the batch may have taken effect.
    fn command<'a>(
        &'a self,
        worker: SocketAddr,
        batch: &'a CommandBatch,
    ) -> BoxFuture<'a, Result<CommandAnswer, BackingError>>;
}
