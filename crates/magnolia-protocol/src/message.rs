//! Messages between daemons.

use std::sync::Arc;

use magnolia_config::CellConfig;
use magnolia_state::ClaimRecord;
use magnolia_types::{
    ConfigVersion, CustomerName, DaemonId, DataCentreName, Epoch, Incarnation, JobId, JobKind,
    JobOutcome, JobSpec, JobState, LogOffset, Millis, QuickSpec, RequestId, ResultCode, UnitId,
    WorkClass, wire_types,
};
use serde_bytes::ByteBuf;

/// Path of the one call between daemons.
pub const INNER_PATH: &str = "/inner/v1/call";
/// Version of the messages; daemons refuse any other.
pub const PROTOCOL_VERSION: u16 = 1;

wire_types! {
    /// A claim that the sender knows to be replaced.
    pub struct SupersededClaim {
        /// The unit.
        pub unit: UnitId,
        /// Newest epoch known to the sender.
        pub epoch: Epoch,
    }

    /// What every message carries besides its body.
    pub struct PeerEnvelope<T> {
        /// [`PROTOCOL_VERSION`] of the sender.
        pub protocol: u16,
        /// Sender.
        pub from: DaemonId,
        /// The run of the sender's process.
        pub incarnation: Incarnation,
        /// Where the sender runs.
        pub data_centre: DataCentreName,
        /// Configuration in force at the sender.
        pub config_version: ConfigVersion,
        /// Claims of the receiver that the sender knows to be replaced.
        pub superseded: Vec<SupersededClaim>,
        /// The message itself.
        pub body: T,
    }

    /// A quick request on its way to the owner of an executor group.
    pub struct QuickForward {
        /// Id of the request.
        pub request: RequestId,
        /// The group that the sender chose.
        pub group: Arc<str>,
        /// The request; its deadline is the time left.
        pub spec: QuickSpec,
    }

    /// What came of a quick request.
    pub struct QuickOutcome {
        /// Code; `Ok` goes with an answer.
        pub code: ResultCode,
        /// The answer, or the reason of the refusal.
        pub text: Arc<str>,
        /// Free slots of the group after the request.
        pub free_slots: u32,
    }

    /// An operation on the jobs of a partition.
    pub enum JobOperation {
        /// Accepts a job under the given id.
        Submit {
            /// Id for the job, unless its key is known already.
            job: JobId,
            /// The job.
            spec: JobSpec,
        },
        /// Reads one job.
        Get {
            /// The job.
            job: JobId,
        },
        /// Reads jobs, newest first.
        List {
            /// Only those of this customer.
            customer: Option<CustomerName>,
            /// Only those in this state.
            state: Option<JobState>,
            /// Most jobs to return.
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
            /// Longest wait.
            timeout_ms: Millis,
        },
        /// Explains where a job stands and why.
        Explain {
            /// The job.
            job: JobId,
        },
        /// Runs a request that may not repeat, under its idempotency key.
        RunOnce {
            /// Id of the request.
            request: RequestId,
            /// The request; its deadline is the time left.
            spec: QuickSpec,
        },
    }

    /// Number of tasks in each state.
    #[derive(Default)]
    pub struct TaskCounts {
        /// Not started.
        pub waiting: u32,
        /// Started and not ended.
        pub running: u32,
        /// Ended well.
        pub done: u32,
        /// Given up, cancelled or lost.
        pub failed: u32,
    }

    /// A job as callers see it.
    pub struct JobView {
        /// The job.
        pub job: JobId,
        /// Who pays.
        pub customer: CustomerName,
        /// Class.
        pub class: WorkClass,
        /// Kind.
        pub kind: JobKind,
        /// Where it stands.
        pub state: JobState,
        /// Tasks by state.
        pub tasks: TaskCounts,
        /// Final result, once there is one.
        pub outcome: Option<JobOutcome>,
    }

    /// Answer to a job operation.
    pub enum JobReply {
        /// One job.
        Job(JobView),
        /// Several jobs.
        Jobs(Vec<JobView>),
        /// Where a job stands and why, a sentence a line.
        Explanation(Vec<Arc<str>>),
        /// What came of a request that may not repeat.
        Once(QuickOutcome),
        /// The operation was refused.
        Refused {
            /// Code.
            code: ResultCode,
            /// Reason.
            message: Arc<str>,
        },
    }

    /// State that an owner passes to its successor at a planned stop.
    pub struct Handover {
        /// The unit.
        pub unit: UnitId,
        /// Epoch under which the sender has stopped for good.
        pub epoch: Epoch,
        /// Offset after the last record of the sender in the unit's stream.
        pub next: LogOffset,
        /// State of the unit, as its snapshot in the stream.
        pub snapshot: ByteBuf,
    }

    /// A daemon that is suspected.
    pub struct SuspectReport {
        /// The daemon.
        pub daemon: DaemonId,
        /// Age of the newest evidence against it; a report that is passed on only grows older, so
        /// that it ends when nobody sees the failure any more.
        pub age_ms: Millis,
    }

    /// Answer to a ping.
    pub struct PingReply {
        /// Whether the receiver is draining.
        pub draining: bool,
        /// Daemons that the receiver suspects.
        pub suspects: Vec<SuspectReport>,
        /// Hash of the instance list as the receiver last read it; a daemon that holds another one
        /// reads the list before its turn.
        pub list_digest: u64,
    }

    /// A request between daemons.
    pub enum PeerRequest {
        /// Asks for a sign of life.
        Ping,
        /// Passes a quick request on.
        Quick(QuickForward),
        /// Operates on jobs of a partition.
        Job {
            /// The partition.
            partition: Arc<str>,
            /// The operation.
            operation: JobOperation,
        },
        /// Asks for the configuration in force.
        FetchConfig,
        /// Asks for the claims that the receiver knows.
        FetchClaims,
        /// Tells about claims that were read back as winners; the reply lists all known ones.
        TellClaims(Vec<ClaimRecord>),
        /// Hands a unit over.
        Handover(Handover),
        /// Reads the log through the receiver.
        ReadLog {
            /// Stream.
            stream: Arc<str>,
            /// First offset.
            from: LogOffset,
            /// Most records.
            max: u32,
        },
    }

    /// A reply between daemons.
    pub enum PeerReply {
        /// Sign of life.
        Pong(PingReply),
        /// What came of a quick request.
        Quick(QuickOutcome),
        /// Answer to a job operation.
        Job(JobReply),
        /// Configuration in force.
        Config(Box<CellConfig>),
        /// Known claims.
        Claims(Vec<ClaimRecord>),
        /// The handover is taken.
        HandoverTaken,
        /// Records of the log.
        Log {
            /// Oldest offset kept.
            first: LogOffset,
            /// Offset of the next append.
            next: LogOffset,
            /// Offset and content of each record.
            records: Vec<(LogOffset, ByteBuf)>,
        },
        /// The request was refused.
        Refused {
            /// Code.
            code: ResultCode,
            /// Reason.
            message: Arc<str>,
        },
    }
}
