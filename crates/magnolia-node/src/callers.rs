//! Requests from callers and the answers to them.

use std::sync::Arc;

use magnolia_scheduler::{
    AccountRules, CellVersion, JobKey, JobSpec, JobStatus, KeyDigest, QueueName, QueueRules,
};
use magnolia_types::{Millis, wire_types};

wire_types! {
    /// A caller's request and the time left for it, as it is forwarded between daemons.
    pub struct TimedCallerRequest {
        /// The request.
        pub request: CallerRequest,
        /// Time for which the caller still waits for the answer.
        pub time_left: Millis,
        /// For whom the daemon that the caller asked lets the request through.
        pub access: CallerAccess,
    }

    /// Verdict of a daemon on the key of a caller. The owner does not rely on it if it knows a newer
    /// configuration.
    pub struct CallerAccess {
        /// Version of the configuration by which the daemon decided.
        pub version: CellVersion,
        /// Queue that the request is for.
        pub queue: QueueName,
        /// The account of the key; none if the queue needs no key.
        pub grant: Option<AccountGrant>,
    }

    /// Account of a caller, and the key that shows it.
    pub struct AccountGrant {
        /// Rules of the account.
        pub account: Arc<AccountRules>,
        /// Digest of the key.
        pub key: KeyDigest,
    }

    /// A caller's request.
    pub enum CallerRequest {
        /// Submits a job.
        Submit {
            /// Key chosen by the caller; a repeated submission with it means the same job.
            key: JobKey,
            /// Rules of the queue in the configuration of the daemon that the caller asked.
            rules: Arc<QueueRules>,
            /// The job.
            spec: Arc<JobSpec>,
        },
        /// Reads the state of a job.
        Status {
            /// The job.
            key: JobKey,
        },
        /// Cancels a job.
        Cancel {
            /// The job.
            key: JobKey,
        },
        /// Counts the jobs of a queue of which no task has started.
        Pending {
            /// The queue.
            queue: QueueName,
        },
    }

    /// The final answer to a caller's request.
    pub enum CallerAnswer {
        /// The job is accepted and stored.
        Accepted,
        /// The state of the job.
        Status(JobStatus),
        /// No such job exists.
        NoSuchJob,
        /// The cancellation is stored.
        Cancelled,
        /// The number of jobs.
        Pending(u64),
        /// Not accepted because of the load; the job never runs.
        Refused {
            /// Time after which the caller may retry.
            retry_after: Millis,
        },
        /// Not accepted because no owner can store the job; the job never runs.
        Unavailable {
            /// Time after which the caller may retry.
            retry_after: Millis,
        },
        /// Not accepted because the store refuses the record of the job; the job never runs.
        Unstorable,
        /// Not accepted because the job takes more memory than all jobs may take; it never runs.
        TooLarge {
            /// Memory that the job takes, in bytes.
            needed: u64,
            /// Memory that all jobs may take, in bytes.
            limit: u64,
        },
        /// Not carried out: the caller's key is missing, or unknown in the configuration in force.
        Unauthorized,
        /// Not accepted because a task, or the tasks of a gang together, need more than the client
        /// account may use; the job never runs.
        AboveCap {
            /// Number of the step.
            step: u16,
        },
        /// Not accepted because another client account has a job with this key.
        OtherAccount,
        /// The outcome is unknown; the request may have been carried out.
        Undetermined,
    }
}

impl CallerAccess {
    /// Returns the rules of the caller's account.
    pub fn account(&self) -> Option<&Arc<AccountRules>> {
        self.grant.as_ref().map(|grant| &grant.account)
    }
}

/// Outcome of serving a request in an owner's session.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ServeOutcome {
    /// The final answer.
    Answered(CallerAnswer),
    /// This daemon may not own the cell and did nothing; the request goes to the owner.
    NotOwner,
    /// Ownership ended before the outcome was known; only the next owner can tell it.
    OwnershipLost,
}

impl CallerRequest {
    /// Returns the key of the job, for logs.
    pub fn key(&self) -> Option<JobKey> {
        match self {
            Self::Submit { key, .. } | Self::Status { key } | Self::Cancel { key } => Some(*key),
            Self::Pending { .. } => None,
        }
    }

    /// Returns the name of the request, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Status { .. } => "status",
            Self::Cancel { .. } => "cancel",
            Self::Pending { .. } => "pending",
        }
    }
}
