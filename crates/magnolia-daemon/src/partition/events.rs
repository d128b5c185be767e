//! The commands and events that the owner of a partition handles.

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

/// State of the partition as read from the journal or received from the previous owner.
pub struct OpenedJournal {
    /// The state.
    pub table: JobTable,
    /// Offset of this owner's `Opened` record.
    pub offset: LogOffset,
    /// Offset of the newest snapshot.
    pub snapshot_offset: LogOffset,
    /// Records since that snapshot.
    pub records_since_snapshot: u64,
    /// Whether the state came with a handover, after which the previous owner sends nothing more.
    pub handed_over: bool,
}

/// The result of an exchange with a worker.
pub struct ExchangeResult {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the request was a fence instead of commands.
    pub is_fence: bool,
    /// Attempts whose starts the message carried.
    pub starts: Vec<AttemptId>,
    /// Ended attempts that the message acknowledged.
    pub acknowledged: Vec<AttemptId>,
    /// The answer, or why there is none.
    pub answer: Result<CommandAnswer, BackingError>,
}

/// An event for the loop of the owner.
pub enum OwnerEvent {
    /// The journal is open.
    Opened(Box<OpenedJournal>),
    /// An exchange with a worker has ended.
    Exchanged(Box<ExchangeResult>),
    /// The check whether the claim is current has ended.
    Confirmed {
        /// When the check began. The result covers nothing that was learned later.
        asked: Millis,
        /// Who confirmed the claim; `None` if nobody did.
        source: Option<ConfirmationSource>,
    },
    /// An append has ended.
    Appended(AppendResult),
    /// The records of a gap; `None` if the log is unavailable.
    GapRead(Option<Vec<Bytes>>),
    /// A probe of the log has ended; `true` if the log answered.
    Probed(bool),
    /// A request that is not repeatable has ended.
    OnceDone {
        /// Key of the request.
        key: CustomerKey,
        /// The outcome.
        outcome: QuickOutcome,
    },
    /// An owner with this later epoch has replaced this one.
    Superseded(Epoch),
    /// The daemon stops: drain, then return the state for the next owner.
    HandOver(oneshot::Sender<Option<Handover>>),
}

/// An idempotency key with the customer within which it is unique.
pub type CustomerKey = (CustomerName, IdempotencyKey);

/// A request that is not repeatable, while its intent is being appended to the journal.
///
/// The intent is the entry that announces the request. It has to be in the journal before the
/// request is sent, so that a later owner knows that the request may have run.
pub struct OnceIntent {
    /// Key of the request.
    pub key: CustomerKey,
    /// Id of the request.
    pub request: RequestId,
    /// The request as submitted.
    pub spec: QuickSpec,
    /// Hash of its content, by which a repeat is recognised.
    pub content: u64,
    /// When its deadline passes, on the daemon's clock.
    pub deadline: Millis,
    /// Where the reply goes.
    pub reply: ReplySender,
}

/// The action that waits for an entry to be in the journal.
pub enum JournalWaiter {
    /// The reply to the caller of a new job.
    Submit {
        /// Id of the job.
        job: JobId,
        /// The job.
        spec: Arc<JobSpec>,
        /// Wall-clock time of the acceptance.
        at: Millis,
    },
    /// The sending of a request that is not repeatable.
    Once(Box<OnceIntent>),
    /// The start of a task that is not repeatable.
    Start {
        /// The worker that the start is sent to.
        worker: WorkerId,
        /// The attempt that is started.
        attempt: AttemptId,
    },
    /// The acknowledgement of an ended attempt.
    Acknowledge {
        /// The worker that reported the end.
        worker: WorkerId,
        /// The ended attempt.
        attempt: AttemptId,
    },
}
