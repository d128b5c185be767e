//! Messages between daemons.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnolia_scheduler::{
    AccountDirectory, AccountName, AccountRules, CellRules, CellVersion, ConnectionRules,
    EligibilityAnswer, JobKey, KeyDigest, StepRef,
};
use magnolia_types::{DaemonId, Epoch, ExecutorId, Incarnation, LogOffset, Millis, wire_types};

use crate::callers::{CallerAnswer, TimedCallerRequest};
use crate::ports::{
    AppendCondition, AppendOutcome, NewestPage, StoreError, StreamName, StreamRecord, TailPage,
};

wire_types! {
    /// A request to another daemon.
    pub(crate) enum PeerRequest {
        /// Tells the owner that the sender is alive, and asks whether the receiver owns the cell.
        Ping(PingRequest),
        /// Forwards a caller's request to the owner.
        Caller(TimedCallerRequest),
        /// Asks the receiver to call the eligibility service from its own address.
        Advise(EligibilityRequest),
        /// Asks the receiver to relay a call to the store.
        Store(StoreCall),
        /// Asks for the newest configuration that the receiver knows.
        Rules,
        /// Asks the receiver to claim ownership; the sender owns this epoch and is stopping.
        TakeOver(Epoch),
        /// Asks the owner to explain the state of a job.
        Explain(JobKey),
    }

    /// Content of a ping.
    pub(crate) struct PingRequest {
        /// Name of the sender.
        pub(crate) name: DaemonId,
        /// Number that identifies this run of the sender's process.
        pub(crate) incarnation: Incarnation,
        /// Newest epoch that the sender knows.
        pub(crate) epoch: Epoch,
        /// Whether the sender stops soon.
        pub(crate) stopping: bool,
    }

    /// A request to the eligibility service.
    pub(crate) struct EligibilityRequest {
        pub(crate) step: StepRef,
        pub(crate) executors: Vec<ExecutorId>,
        /// Time that the service takes to answer according to the rules of the queue.
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

    /// Reply to a request from another daemon.
    pub(crate) enum PeerReply {
        Ping(PingReply),
        Caller(CallerAnswer),
        /// The receiver does not own the cell and did nothing.
        NotOwner,
        /// The receiver lost ownership before it knew the outcome.
        Unsettled,
        /// Answer of the eligibility service; none if it did not answer.
        Advice(Option<EligibilityAnswer>),
        Appended(Result<AppendOutcome, StoreError>),
        Newest(Result<NewestPage, StoreError>),
        Tail(Result<TailPage, StoreError>),
        Rules(Arc<RulesCopy>),
        /// The receiver is going to claim ownership.
        Done,
        /// Lines that describe the state of a job; none if the owner does not know the job.
        Explanation(Option<Vec<String>>),
        /// The receiver could not read or decode the request.
        Malformed,
    }

    /// Reply to a ping.
    pub(crate) struct PingReply {
        /// Number that identifies this run of the receiver's process.
        pub(crate) incarnation: Incarnation,
        /// Epoch of the receiver's ownership, if it owns the cell.
        pub(crate) owned: Option<Epoch>,
        /// Whether the receiver stops soon.
        pub(crate) stopping: bool,
        /// Daemons that the receiver recently got a ping from, if it owns the cell.
        pub(crate) live: Vec<DaemonId>,
        /// Version of the newest configuration that the receiver knows.
        pub(crate) version: CellVersion,
    }

    /// A configuration as it is sent between daemons.
    pub(crate) struct RulesCopy {
        pub(crate) version: CellVersion,
        pub(crate) queues: Vec<magnolia_scheduler::QueueRules>,
        pub(crate) services: Vec<(magnolia_scheduler::ServiceName, magnolia_scheduler::ServiceRules)>,
        pub(crate) max_body_bytes: u64,
        #[serde(default)]
        pub(crate) connections: ConnectionRules,
        /// Client accounts with the digests of their keys.
        #[serde(default)]
        pub(crate) accounts: Option<Vec<(AccountRules, Vec<KeyDigest>)>>,
    }
}

/// Returns the accounts of a configuration with their keys.
fn account_copies(directory: &AccountDirectory) -> Vec<(AccountRules, Vec<KeyDigest>)> {
    let mut keys: BTreeMap<&AccountName, Vec<KeyDigest>> = BTreeMap::new();
    for (key, name) in directory.keys() {
        keys.entry(name).or_default().push(*key);
    }
    let copy = |rules: &Arc<AccountRules>| {
        let keys = keys.get(&rules.name).cloned().unwrap_or_default();
        ((**rules).clone(), keys)
    };
    directory.accounts().map(copy).collect()
}

/// Returns the directory of copied accounts.
fn account_directory(copies: &[(AccountRules, Vec<KeyDigest>)]) -> AccountDirectory {
    let mut directory = AccountDirectory::new();
    for (rules, keys) in copies {
        directory.add(rules.clone(), keys);
    }
    directory
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
            connections: rules.connections,
            accounts: rules.accounts.as_deref().map(account_copies),
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
            connections: copy.connections,
            accounts: copy
                .accounts
                .as_deref()
                .map(|copies| Arc::new(account_directory(copies))),
        }
    }
}
