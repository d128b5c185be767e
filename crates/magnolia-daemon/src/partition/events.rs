//! What the owner of a partition reacts to.

use std::sync::Arc;

use bytes::Bytes;
use magnolia_backing::{BackingError, CommandAnswer};
use magnolia_protocol::{Handover, JobOperation, JobReply, QuickOutcome};
use magnolia_state::JobTable;
use magnolia_types::{
    AttemptId, CustomerName, Epoch, IdempotencyKey, JobId, JobSpec, LogOffset, Millis, QuickSpec,
    RequestId, WorkerId,
};
use tokio::sync::oneshot;

use super::committer::AppendResult;

use crate::ownership::ConfirmationSource;

/// Where the reply to an operation goes.
pub type ReplySender = oneshot::Sender<JobReply>;

/// A job operation with the channel for its reply.
pub struct OwnerCommand {
    /// The operation.
    pub operation: JobOperation,
    /// Where the reply goes.
    pub reply: ReplySender,
}

/// State of the partition as read from the journal or taken over from the earlier owner.
pub struct OpenedJournal {
    /// The state.
    pub table: JobTable,
    /// Offset of this owner's `Opened`.
    pub offset: LogOffset,
    /// Offset of the newest snapshot.
    pub base: LogOffset,
    /// Records since that snapshot.
    pub since_base: u64,
    /// Whether the earlier owner confirmed that it sends nothing more.
    pub handed_over: bool,
}

/// An exchange with a worker that has ended.
pub struct ExchangeResult {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the exchange was a fence.
    pub is_fence: bool,
    /// Starts of the message.
    pub starts: Vec<AttemptId>,
    /// Acknowledged ends of the message.
    pub acknowledged: Vec<AttemptId>,
    /// The answer.
    pub answer: Result<CommandAnswer, BackingError>,
}

/// Something that happened.
pub enum OwnerEvent {
    /// The journal is open.
    Opened(Box<OpenedJournal>),
    /// The end of an exchange with a worker.
    Exchanged(Box<ExchangeResult>),
    /// The claim was or was not confirmed, for what was learned before `asked`.
    Confirmed {
        /// When the question was asked.
        asked: Millis,
        /// Who says that the claim is current, if somebody does.
        source: Option<ConfirmationSource>,
    },
    /// The end of an append.
    Appended(AppendResult),
    /// The records of a gap, unless the log is away.
    GapRead(Option<Vec<Bytes>>),
    /// Whether the log answers.
    Probed(bool),
    /// The outcome of a request that may not repeat.
    OnceDone {
        /// Key of the request.
        key: OnceKey,
        /// The outcome.
        outcome: QuickOutcome,
    },
    /// Another owner holds the partition.
    Superseded(Epoch),
    /// The daemon stops: hand the partition over.
    HandOver(oneshot::Sender<Option<Handover>>),
}

/// Customer and key of a request that may not repeat.
pub type OnceKey = (CustomerName, IdempotencyKey);

/// A request that may not repeat, while its intent is on the way to the log.
pub struct OnceIntent {
    /// Key of the request.
    pub key: OnceKey,
    /// The request.
    pub request: RequestId,
    /// The request as submitted.
    pub spec: QuickSpec,
    /// Hash of its content.
    pub content: u64,
    /// When its deadline passes, on the daemon's clock.
    pub deadline: Millis,
    /// Where the reply goes.
    pub reply: ReplySender,
}

/// Who waits for an entry of the journal.
pub enum JournalWaiter {
    /// The caller of a new job.
    Submit {
        /// Id of the job.
        job: JobId,
        /// The job.
        spec: Arc<JobSpec>,
        /// Wall-clock time of the acceptance.
        at: Millis,
    },
    /// A request that may not repeat.
    Once(Box<OnceIntent>),
    /// The start of a task that may not repeat.
    Start {
        /// Its worker.
        worker: WorkerId,
        /// Its attempt.
        attempt: AttemptId,
    },
    /// The acknowledgement of an ended attempt.
    Acknowledge {
        /// Its worker.
        worker: WorkerId,
        /// The attempt.
        attempt: AttemptId,
    },
}
