//! Configuration that the operator publishes: queues and services.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::BTreeMap;
use std::sync::Arc;

use magnolia_types::{Millis, number_type, text_id, wire_types};

use crate::AccountDirectory;

text_id!(
    /// A queue of the configuration.
    QueueName
);
text_id!(
    /// A group of executors.
    ServiceName
);
number_type!(
    /// Version of the operator's configuration; it only increases.
    CellVersion,
    ""
);

wire_types! {
    /// Cost of an eligibility request and validity of its tickets.
    pub struct EligibilityCost {
        /// Base time of a request, in microseconds.
        pub base_us: u64,
        /// Time added for each named executor, in microseconds.
        pub per_executor_us: u64,
        /// Time for which a ticket is valid.
        pub valid: Millis,
    }

    /// Rules of a queue.
    pub struct QueueRules {
        /// Name of the queue.
        pub name: QueueName,
        /// Host under which callers reach it.
        pub host: Arc<str>,
        /// Path prefix under which callers reach it; the key of a job follows.
        pub path: Arc<str>,
        /// Executors that run its tasks.
        pub service: ServiceName,
        /// Priority; 0 is the highest.
        pub priority: u32,
        /// Number of failed runs of one task, or of a gang as a whole, after which the job fails;
        /// failures of long-running tasks don't count.
        pub max_attempts: u32,
        /// Objective of a job as a multiple of its critical path, in thousandths.
        pub stretch_permille: u64,
        /// Constant part of the objective, added to the stretched critical path.
        pub latency_target: Millis,
        /// Cost of eligibility requests, if tasks of the queue need tickets to start. The
        /// configuration and the metrics call these requests advice.
        pub advice: Option<EligibilityCost>,
        /// Whether callers need no key. Jobs of such a queue belong to no client account.
        #[serde(default)]
        pub public: bool,
    }

    /// Rules of a service.
    pub struct ServiceRules {
        /// Whether its executors refuse starts beyond their capacity.
        pub guards_capacity: bool,
        /// Whether its machines are switched off until they are moved elsewhere.
        pub standby: bool,
    }
}

wire_types! {
    /// Limits on the connections of callers.
    #[derive(Copy)]
    pub struct ConnectionRules {
        /// Longest head of a request, in bytes.
        pub max_head_bytes: u64,
        /// Time for a head to arrive, from its first byte.
        pub head_timeout: Millis,
        /// Time for which a connection may stay open without a request.
        pub idle_timeout: Millis,
    }
}

impl Default for ConnectionRules {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            head_timeout: Millis::from_secs(10),
            idle_timeout: Millis::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, PartialEq, Default)]
pub struct CellRules {
    /// Version.
    pub version: CellVersion,
    /// Queues by name.
    pub queues: BTreeMap<QueueName, Arc<QueueRules>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServiceRules>,
    /// Largest body of a caller's request, in bytes.
    pub max_body_bytes: u64,
    /// Limits on the connections of callers.
    pub connections: ConnectionRules,
    /// Client accounts. If the configuration names none, callers need no key and nothing is limited
    /// by account.
    pub accounts: Option<Arc<AccountDirectory>>,
}

impl CellRules {
    /// Returns the queue of the host with the longest path that is a prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<QueueRules>> {
        let matching =
            |queue: &&Arc<QueueRules>| *queue.host == *host && path.starts_with(&*queue.path);
        let queues = self.queues.values().filter(matching);
        queues.max_by_key(|queue| queue.path.len())
    }
}

impl QueueRules {
    /// Returns the time from its acceptance within which a job with this critical path counts as on
    /// time.
    pub fn objective(&self, critical_path: Millis) -> Millis {
        let stretched = critical_path.get().saturating_mul(self.stretch_permille) / 1000;
        self.latency_target.saturating_add(Millis::new(stretched))
    }
}

impl EligibilityCost {
    /// Returns the time of a request that names `executors` executors, rounded up.
    pub fn request_time(&self, executors: usize) -> Millis {
        let named = u64::try_from(executors).unwrap_or(u64::MAX);
        let total = self
            .base_us
            .saturating_add(self.per_executor_us.saturating_mul(named));
        Millis::new(total.div_ceil(1000))
    }
}
