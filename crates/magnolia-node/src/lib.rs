//! One daemon of a cell on a platform that stores streams and fences writers.
//!
//! Every daemon takes callers in and forwards them to the owner. The owner, elected by a conditional
//! append, runs the [`CellScheduler`](magnolia_scheduler::CellScheduler): it stores what it decides,
//! renews leases, orders starts and stops, and sends calls for eligibility through all daemons.

mod advisers;
mod callers;
mod clock;
mod committer;
mod election;
mod executor_loop;
mod gateway;
mod inner;
mod inventory;
mod membership;
mod metrics;
mod node;
mod open_calls;
mod owner;
mod peers;
mod ports;
mod routed_store;
mod rules_feed;
mod serving;
mod settings;
mod state;

#[cfg(test)]
mod routed_store_tests;

pub use callers::{CallerAnswer, CallerCall, CallerRequest};
pub use clock::NodeClock;
pub use membership::{MemberRecord, OwnerClaim};
pub use metrics::NodeMetrics;
pub use node::{CellNode, NodePorts};
pub use ports::{
    AppendCondition, AppendOutcome, DocumentDecoder, EligibilityError, EligibilityPort,
    ExecutorPort, NewestPage, OrderError, StoreError, StreamName, StreamRecord, StreamStore,
    TailPage,
};
pub use settings::NodeSettings;
pub use state::{JobExplanation, NodeState, NodeStatus};
