//! Messages between daemons.

use std::sync::Arc;

use magnolia_scheduler::{CellRules, CellVersion, EligibilityAnswer, JobKey, StepRef};
use magnolia_types::{DaemonId, Epoch, ExecutorId, Incarnation, LogOffset, Millis, wire_types};

use crate::callers::{CallerAnswer, CallerCall};
use crate::ports::{
    AppendCondition, AppendOutcome, NewestPage, StoreError, StreamName, StreamRecord, TailPage,
};

wire_types! {
    /// A message to another daemon.
    pub(crate) enum InnerCall {
        /// Tells that the sender lives, and asks whether the receiver owns the cell.
        Ping(PingCall),
        /// Passes a caller's request to the owner.
        Caller(CallerCall),
        /// Asks for eligibility from the receiver's own address.
        Advise(AdviseCall),
        /// Reaches the store for a daemon that can't.
        Store(StoreCall),
        /// Asks for the newest configuration.
        Rules,
        /// Asks the receiver to claim ownership; the sender stops.
        TakeOver(Epoch),
        /// Asks the owner where a job stands.
        Explain(JobKey),
    }

    /// Sign of life.
    pub(crate) struct PingCall {
        pub(crate) name: DaemonId,
        pub(crate) incarnation: Incarnation,
        /// Newest epoch that the sender knows.
        pub(crate) epoch: Epoch,
        /// Whether the sender stops soon.
        pub(crate) stopping: bool,
    }

    /// A call for eligibility.
    pub(crate) struct AdviseCall {
        pub(crate) step: StepRef,
        pub(crate) executors: Vec<ExecutorId>,
        pub(crate) expected: Millis,
    }

    /// A call to the store.
    pub(crate) enum StoreCall {
        Append {
            stream: StreamName,
            records: Vec<StreamRecord>,
            condition: AppendCondition,
        },
        Newest {
            stream: StreamName,
            after: Option<Arc<str>>,
        },
        Tail {
            stream: StreamName,
            from: LogOffset,
            wait: Millis,
        },
    }

    /// Answer to a message.
    pub(crate) enum InnerReply {
        Ping(PingReply),
        Caller(CallerAnswer),
        /// The receiver does not own the cell and did nothing.
        NotOwner,
        /// The receiver lost ownership before it knew the outcome.
        Unsettled,
        Advice(Option<EligibilityAnswer>),
        Appended(Result<AppendOutcome, StoreError>),
        Newest(Result<NewestPage, StoreError>),
        Tail(Result<TailPage, StoreError>),
        Rules(Arc<RulesCopy>),
        Done,
        /// Sentences about a job; none when it is not known.
        Explanation(Option<Vec<String>>),
        /// The message was not understood.
        Malformed,
    }

    /// What the owner says of itself.
    pub(crate) struct PingReply {
        /// Run of the receiver's process.
        pub(crate) incarnation: Incarnation,
        /// Epoch that the receiver owns, if any.
        pub(crate) owned: Option<Epoch>,
        /// Whether the receiver stops soon.
        pub(crate) stopping: bool,
        /// Daemons that the owner heard from lately.
        pub(crate) live: Vec<DaemonId>,
        /// Newest configuration that the receiver knows.
        pub(crate) version: CellVersion,
    }

    /// A configuration passed between daemons.
    pub(crate) struct RulesCopy {
        pub(crate) version: CellVersion,
        pub(crate) queues: Vec<magnolia_scheduler::QueueRules>,
        pub(crate) services: Vec<(magnolia_scheduler::ServiceName, magnolia_scheduler::ServiceRules)>,
        pub(crate) max_body_bytes: u64,
    }
}

impl From<&CellRules> for RulesCopy {
    fn from(rules: &CellRules) -> Self {
        let services = rules.services.iter();
        Self {
            version: rules.version,
            queues: rules
                .queues
                .values()
                .map(|queue| (**queue).clone())
                .collect(),
            services: services
                .map(|(name, rules)| (name.clone(), rules.clone()))
                .collect(),
            max_body_bytes: rules.max_body_bytes,
        }
    }
}

impl From<&RulesCopy> for CellRules {
    fn from(copy: &RulesCopy) -> Self {
        let queues = copy.queues.iter().cloned();
        Self {
            version: copy.version,
            queues: queues
                .map(|queue| (queue.name.clone(), Arc::new(queue)))
                .collect(),
            services: copy.services.iter().cloned().collect(),
            max_body_bytes: copy.max_body_bytes,
        }
    }
}
