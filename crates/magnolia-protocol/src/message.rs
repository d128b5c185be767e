//! Types of the messages between daemons.

use std::sync::Arc;

use magnolia_config::CellConfig;
use magnolia_state::ClaimRecord;
use magnolia_types::{
    ConfigVersion, CustomerName, DaemonId, DataCentreName, Epoch, Incarnation, JobId, JobKind,
    JobOutcome, JobSpec, JobState, LogOffset, Millis, QuickSpec, RequestId, ResultCode, UnitId,
    WorkClass, wire_types,
};
use serde_bytes::ByteBuf;

/// HTTP path of all calls between daemons.
pub const INNER_PATH: &str = "/inner/v1/call";
/// Version of the protocol; daemons refuse messages of any other version.
pub const PROTOCOL_VERSION: u16 = 1;

wire_types! {
    /// States that a newer claim of a unit exists.
    pub struct SupersededClaim {
        /// The unit.
        pub unit: UnitId,
        /// Newest epoch of the unit that the sender knows.
        pub epoch: Epoch,
    }

    /// Envelope of every request and reply: the body, and the sender's identity, configuration
    /// version and newer claims.
    pub struct PeerEnvelope<T> {
        /// [`PROTOCOL_VERSION`] of the sender.
        pub protocol: u16,
        /// The sending daemon.
        pub from: DaemonId,
        /// Incarnation of the sender's process.
        pub incarnation: Incarnation,
        /// Data centre of the sender.
        pub data_centre: DataCentreName,
        /// Version of the configuration that the sender uses.
        pub config_version: ConfigVersion,
        /// Claims of the receiver that the sender knows to be superseded.
        pub superseded: Vec<SupersededClaim>,
        /// The request or reply.
        pub body: T,
    }

    /// A quick request that is forwarded to the owner of an executor group.
    pub struct QuickForward {
        /// Id of the request.
        pub request: RequestId,
        /// Executor group that the sender selected.
        pub group: Arc<str>,
        /// The request, with the remaining time as its deadline.
        pub spec: QuickSpec,
    }

    /// Outcome of a quick request.
    pub struct QuickOutcome {
        /// Result code; `Ok` if there is an answer.
        pub code: ResultCode,
        /// The answer, or the reason why there is none.
        pub text: Arc<str>,
        /// Number of free slots of the group after the request.
        pub free_slots: u32,
    }

    /// An operation on the jobs of a partition.
    pub enum JobOperation {
        /// Submits a job.
        Submit {
            /// Id of the job, unless its idempotency key was already used for another id.
            job: JobId,
            /// The job.
            spec: JobSpec,
        },
        /// Returns one job.
        Get {
            /// The job.
            job: JobId,
        },
        /// Returns jobs, newest first.
        List {
            /// Only jobs of this customer.
            customer: Option<CustomerName>,
            /// Only jobs in this state.
            state: Option<JobState>,
            /// Maximum number of jobs to return.
            limit: u32,
        },
        /// Cancels jobs.
        Cancel {
            /// The jobs.
            jobs: Vec<JobId>,
        },
        /// Waits until a job is final.
        Wait {
            /// The job.
            job: JobId,
            /// Maximum time to wait.
            timeout_ms: Millis,
        },
        /// Explains the state of a job.
        Explain {
            /// The job.
            job: JobId,
        },
        /// Runs a quick request that is not repeatable, under its idempotency key.
        RunOnce {
            /// Id of the request.
            request: RequestId,
            /// The request, with the remaining time as its deadline.
            spec: QuickSpec,
        },
    }

    /// Number of tasks in each state, as callers receive it. Unlike the stored tally of the job,
    /// it counts unknown tasks as failed.
    #[derive(Default)]
    pub struct TaskCounts {
        /// Tasks that are waiting to be started.
        pub waiting: u32,
        /// Tasks that are running.
        pub running: u32,
        /// Tasks that completed successfully.
        pub done: u32,
        /// Tasks that failed, were withdrawn, or whose outcome is unknown.
        pub failed: u32,
    }

    /// A job as reported to callers.
    pub struct JobView {
        /// The job.
        pub job: JobId,
        /// Customer whose share and quota are charged.
        pub customer: CustomerName,
        /// Class of work.
        pub class: WorkClass,
        /// Service, batch or gang.
        pub kind: JobKind,
        /// Current state.
        pub state: JobState,
        /// Number of tasks in each state.
        pub tasks: TaskCounts,
        /// Final result, once the job is final.
        pub outcome: Option<JobOutcome>,
    }

    /// Reply to a job operation.
    pub enum JobReply {
        /// One job.
        Job(JobView),
        /// Several jobs.
        Jobs(Vec<JobView>),
        /// Explanation of a job's state, one sentence per line.
        Explanation(Vec<Arc<str>>),
        /// Outcome of a quick request that is not repeatable.
        Once(QuickOutcome),
        /// The operation was refused.
        Refused {
            /// Result code.
            code: ResultCode,
            /// Reason.
            message: Arc<str>,
        },
    }

    /// State that an owner transfers to its successor at a planned stop.
    pub struct Handover {
        /// The unit.
        pub unit: UnitId,
        /// Epoch of the sender, under which it sends and writes nothing more.
        pub epoch: Epoch,
        /// Offset after the sender's last record in the unit's stream.
        pub next: LogOffset,
        /// State of the unit, encoded like a snapshot in the stream.
        pub snapshot: ByteBuf,
    }

    /// A daemon that is suspected.
    pub struct SuspectReport {
        /// The daemon.
        pub daemon: DaemonId,
        /// Age of the newest evidence against it. Passing a report on does not renew it, so the
        /// report expires once no daemon observes the failure itself.
        pub age_ms: Millis,
    }

    /// Reply to a ping.
    pub struct PingReply {
        /// Whether the replying daemon is draining.
        pub draining: bool,
        /// Daemons that the replying daemon suspects.
        pub suspects: Vec<SuspectReport>,
        /// Hash of the instance list that the replying daemon read last. If the daemon that sent
        /// the ping has a different list, it reads the list again at once, without waiting for its
        /// next interval.
        pub list_digest: u64,
    }

    /// A request between daemons.
    pub enum PeerRequest {
        /// Checks that the receiver is alive.
        Ping,
        /// Forwards a quick request to the owner of an executor group.
        Quick(QuickForward),
        /// Performs an operation on the jobs of a partition.
        Job {
            /// The partition.
            partition: Arc<str>,
            /// The operation.
            operation: JobOperation,
        },
        /// Requests the receiver's configuration.
        FetchConfig,
        /// Requests the claims that the receiver knows.
        FetchClaims,
        /// Announces claims that their owners have read back as valid. The reply contains all
        /// claims that the receiver knows.
        TellClaims(Vec<ClaimRecord>),
        /// Transfers the ownership of a unit.
        Handover(Handover),
        /// Reads the log service through the receiver.
        ReadLog {
            /// Name of the stream.
            stream: Arc<str>,
            /// Offset of the first record to read.
            from: LogOffset,
            /// Maximum number of records.
            max: u32,
        },
    }

    /// A reply between daemons.
    pub enum PeerReply {
        /// The sender is alive.
        Pong(PingReply),
        /// Outcome of a quick request.
        Quick(QuickOutcome),
        /// Reply to a job operation.
        Job(JobReply),
        /// The sender's configuration.
        Config(Box<CellConfig>),
        /// All claims that the sender knows.
        Claims(Vec<ClaimRecord>),
        /// The sender accepted the handover.
        HandoverTaken,
        /// Records of the log.
        Log {
            /// Offset of the oldest record that the log has kept.
            first: LogOffset,
            /// Offset that the next appended record gets.
            next: LogOffset,
            /// Offset and content of each record.
            records: Vec<(LogOffset, ByteBuf)>,
        },
        /// The request was refused.
        Refused {
            /// Result code.
            code: ResultCode,
            /// Reason.
            message: Arc<str>,
        },
    }
}
