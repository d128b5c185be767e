//! Events of a history.

use std::sync::Arc;

use magnolia_types::{
    AttemptId, Epoch, ExecutorId, Incarnation, JobId, JobKind, JobState, Ran, ResourceVector,
    ResultCode, TaskRef, WorkerId, wire_types,
};

wire_types! {
    /// One line of a history.
    pub struct HistoryRecord {
        /// Monotonic time in microseconds, comparable between all processes of the machine.
        pub at_us: u64,
        /// The event.
        #[serde(flatten)]
        pub event: HistoryEvent,
    }

    /// Result of a quick request at the client.
    #[serde(rename_all = "snake_case")]
    pub enum QuickResult {
        /// The answer.
        Answered(Arc<str>),
        /// A refusal or failure with its code.
        Refused {
            /// Code.
            code: ResultCode,
            /// Whether the work ran, according to the daemon.
            ran: Ran,
        },
        /// No answer, or an incomplete one.
        Lost {
            /// Whether the request may have reached the daemon.
            sent: bool,
        },
    }

    /// An event, as the process that wrote it observed it.
    #[serde(tag = "event", rename_all = "snake_case")]
    pub enum HistoryEvent {
        /// A worker started, or restarted and lost its tasks.
        WorkerUp {
            /// The worker.
            worker: WorkerId,
            /// Incarnation of its process.
            incarnation: Incarnation,
            /// Its resources.
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
        /// The processor share of an attempt changed.
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
            /// How it ended, as the name of a variant of `AttemptEnd`.
            end: Arc<str>,
        },
        /// A worker refused a start.
        StartRefused {
            /// The worker.
            worker: WorkerId,
            /// The attempt.
            attempt: AttemptId,
            /// Why, as the name of a variant of `StartRefusal`.
            reason: Arc<str>,
        },
        /// A worker or executor began to leave, or is available again.
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
            /// Number of slots.
            slots: u32,
            /// Largest number of connections.
            connections: u32,
        },
        /// A connection of an executor was opened or closed.
        Connections {
            /// The executor.
            executor: ExecutorId,
            /// Number of open connections.
            open: u32,
        },
        /// An executor started a request.
        RequestStarted {
            /// The executor.
            executor: ExecutorId,
            /// Number of the run at this executor.
            run: u64,
            /// Body, which identifies the request.
            body: Arc<str>,
        },
        /// An executor ended a request.
        RequestEnded {
            /// The executor.
            executor: ExecutorId,
            /// Number of the run at this executor.
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
            /// Id of the call, unique in the history.
            id: Arc<str>,
            /// Daemon that the client called.
            daemon: Arc<str>,
            /// Body; the same in all calls with a key.
            body: Arc<str>,
            /// Whether the request may run again.
            repeatable: bool,
        },
        /// A client got the result of a quick request.
        QuickDone {
            /// Id of the call, unique in the history.
            id: Arc<str>,
            /// The result.
            result: QuickResult,
        },
        /// A client submitted a job.
        JobSent {
            /// Id of the call, unique in the history.
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
            /// Id of the call, unique in the history.
            id: Arc<str>,
            /// The job.
            job: JobId,
        },
        /// A daemon refused a job, or no answer came.
        JobNotAccepted {
            /// Id of the call, unique in the history.
            id: Arc<str>,
            /// Whether the work ran, as far as the client knows.
            ran: Ran,
            /// Code; `None` if no readable answer came.
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
            /// Time at which the client sent the read.
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
        /// A daemon that was asked to stop has exited.
        DaemonStopped {
            /// The daemon.
            daemon: Arc<str>,
            /// Exit status, unless a signal ended it.
            status: Option<i32>,
        },
        /// Faults were set at a stand-in or proxy.
        FaultSet {
            /// Name of the stand-in or proxy.
            party: Arc<str>,
            /// Its faults, in JSON.
            fault: Arc<str>,
        },
        /// The faults of a stand-in or proxy were reset to those from the start.
        FaultCleared {
            /// Name of the stand-in or proxy.
            party: Arc<str>,
        },
    }
}
