//! What callers ask and what they are told.

use std::sync::Arc;

use magnolia_scheduler::{JobKey, JobSpec, JobStatus, QueueName, QueueRules};
use magnolia_types::{Millis, wire_types};

wire_types! {
    /// A call of a caller, as one daemon passes it to another.
    pub struct CallerCall {
        /// What is asked.
        pub request: CallerRequest,
        /// Time that the caller still waits.
        pub time_left: Millis,
    }

    /// What is asked.
    pub enum CallerRequest {
        /// Take a job on.
        Submit {
            /// Key chosen by the caller; a repeat is the same job.
            key: JobKey,
            /// Rules of the queue by the version that the daemon knows.
            rules: Arc<QueueRules>,
            /// The job.
            spec: Arc<JobSpec>,
        },
        /// Tell the state of a job.
        Status {
            /// The job.
            key: JobKey,
        },
        /// Cancel a job.
        Cancel {
            /// The job.
            key: JobKey,
        },
        /// Count the jobs of which nothing has started.
        Pending {
            /// The queue.
            queue: QueueName,
        },
    }

    /// The final answer.
    pub enum CallerAnswer {
        /// The job is accepted and stored.
        Accepted,
        /// State of the job.
        Status(JobStatus),
        /// No such job exists.
        NoSuchJob,
        /// The cancellation is stored.
        Cancelled,
        /// Number of jobs.
        Pending(u64),
        /// Not accepted because of the load; the job never runs.
        Refused {
            /// When to come back.
            retry_after: Millis,
        },
        /// Not accepted because no owner can store it; the job never runs.
        Unavailable {
            /// When to come back.
            retry_after: Millis,
        },
        /// Nothing is known of the outcome.
        Undetermined,
    }
}

/// What a session of ownership made of a request.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum ServeOutcome {
    /// The final answer.
    Answered(CallerAnswer),
    /// Nothing was done; another daemon has to be asked.
    Elsewhere,
    /// Ownership ended before the outcome was known; the next owner knows it.
    Unsettled,
}

impl CallerRequest {
    /// Returns the job, for logs.
    pub fn key(&self) -> Option<JobKey> {
        match self {
            Self::Submit { key, .. } | Self::Status { key } | Self::Cancel { key } => Some(*key),
            Self::Pending { .. } => None,
        }
    }

    /// Returns the name of the call, for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Status { .. } => "status",
            Self::Cancel { .. } => "cancel",
            Self::Pending { .. } => "pending",
        }
    }
}
