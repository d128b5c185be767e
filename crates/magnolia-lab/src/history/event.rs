//! Events of a history.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, Epoch, ExecutorId, Incarnation, JobId, JobKind, JobState, Ran, ResourceVector,
    ResultCode, TaskRef, WorkerId, wire_types,
};

wire_types! {
    /// One line of a history.
    pub struct HistoryRecord {
        /// Monotonic time in microseconds, common to all processes of the machine.
        pub at_us: u64,
        /// What happened.
        #[serde(flatten)]
        pub event: HistoryEvent,
    }

    /// What a client got for a quick request.
    #[serde(rename_all = "snake_case")]
    pub enum QuickResult {
        /// The answer.
        Answered(Arc<str>),
        /// A refusal or failure with its code.
        Refused {
            /// Code.
            code: ResultCode,
            /// What the daemon said about the work.
            ran: Ran,
        },
        /// No whole answer.
        Lost {
            /// Whether the request can have reached the daemon.
            sent: bool,
        },
    }

    /// What happened, as seen by the party that wrote it.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum HistoryEvent {
        /// A worker started, or restarted and lost its tasks.
        WorkerUp {
            /// The worker.
            worker: WorkerId,
            /// The run of its process.
            incarnation: Incarnation,
            /// What it has.
            capacity: ResourceVector,
        },
        /// A worker started an attempt.
        AttemptStarted {
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: AttemptId,
            /// The task.
            task: TaskRef,
            /// Reserved size.
            size: ResourceVector,
            /// Epoch of the command.
            epoch: Epoch,
        },
        /// An attempt runs with a share of its processors from now on.
        AttemptThrottled {
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: AttemptId,
            /// Share of the reserved processors in percent.
            percent: u8,
        },
        /// An attempt ended on a worker.
        AttemptEnded {
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: AttemptId,
            /// How it ended.
            end: Arc<str>,
        },
        /// A worker refused a start.
        StartRefused {
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: AttemptId,
            /// Why.
            reason: Arc<str>,
        },
        /// A worker or executor began to leave, or came back.
        Leaving {
            /// The worker or executor.
            endpoint: Arc<str>,
            /// Whether it is leaving.
            leaving: bool,
        },
        /// An executor started.
        ExecutorUp {
            /// The executor.
            executor: ExecutorId,
            /// Slots.
            slots: u32,
            /// Connections allowed.
            connections: u32,
        },
        /// A connection of an executor was opened or closed.
        Connections {
            /// The executor.
            executor: ExecutorId,
            /// Connections open now.
            open: u32,
        },
        /// An executor started a request.
        RequestStarted {
            /// The executor.
            executor: ExecutorId,
            /// Run number at this executor.
            run: u64,
            /// Body; unique for each request of a client.
            body: Arc<str>,
        },
        /// An executor ended a request.
        RequestEnded {
            /// The executor.
            executor: ExecutorId,
            /// Run number at this executor.
            run: u64,
        },
        /// An executor refused a request without running it.
        RequestRefused {
            /// The executor.
            executor: ExecutorId,
            /// Why.
            reason: Arc<str>,
        },
        /// The log stored a record.
        LogAppended {
            /// Stream.
            stream: Arc<str>,
            /// Offset.
            offset: u64,
            /// Whether the answer was sent.
            answered: bool,
        },
        /// A client sent a quick request.
        QuickSent {
            /// Number of the call at this client.
            id: Arc<str>,
            /// Daemon that the client called.
            daemon: Arc<str>,
            /// Body; the same for each repeat of a key.
            body: Arc<str>,
            /// Whether the request may run again.
            repeatable: bool,
        },
        /// A client has the result of a quick request.
        QuickDone {
            /// Number of the call at this client.
            id: Arc<str>,
            /// The result.
            result: QuickResult,
        },
        /// A client submitted a job.
        JobSent {
            /// Number of the call at this client.
            id: Arc<str>,
            /// Idempotency key; the same for each submission of a job.
            key: Arc<str>,
            /// Kind.
            kind: JobKind,
            /// Number of tasks.
            tasks: u32,
            /// Declared size of each task.
            size: ResourceVector,
            /// Whether tasks may run again.
            repeatable: bool,
        },
        /// A daemon accepted a job.
        JobAccepted {
            /// Number of the call at this client.
            id: Arc<str>,
            /// The job.
            job: JobId,
        },
        /// A daemon refused a job, or no answer came.
        JobNotAccepted {
            /// Number of the call at this client.
            id: Arc<str>,
            /// What is known about the work.
            ran: Ran,
            /// Code, unless no answer came.
            code: Option<ResultCode>,
        },
        /// A client saw the final state of a job.
        JobFinal {
            /// The job.
            job: JobId,
            /// The state.
            state: JobState,
        },
        /// A client saw that a publication was accepted.
        ConfigAccepted {
            /// The version.
            version: u64,
        },
        /// A client read the version in force at a daemon.
        ConfigSeen {
            /// The daemon.
            daemon: Arc<str>,
            /// Time of the question.
            asked_us: u64,
            /// The version.
            version: u64,
        },
        /// The lab started a daemon.
        DaemonStarted {
            /// The daemon.
            daemon: Arc<str>,
        },
        /// The lab killed a daemon.
        DaemonKilled {
            /// The daemon.
            daemon: Arc<str>,
        },
        /// The lab paused a daemon.
        DaemonPaused {
            /// The daemon.
            daemon: Arc<str>,
        },
        /// The lab resumed a daemon.
        DaemonResumed {
            /// The daemon.
            daemon: Arc<str>,
        },
        /// The lab asked a daemon to stop.
        DaemonStopping {
            /// The daemon.
            daemon: Arc<str>,
        },
        /// A daemon that was asked to stop has ended.
        DaemonStopped {
            /// The daemon.
            daemon: Arc<str>,
            /// Exit status, unless a signal ended it.
            status: Option<i32>,
        },
        /// A fault was set at a party.
        FaultSet {
            /// The party.
            party: Arc<str>,
            /// The fault.
            fault: Arc<str>,
        },
        /// All faults of a party were cleared.
        FaultCleared {
            /// The party.
            party: Arc<str>,
        },
    }
}
