//! A daemon of a cell, for platforms whose store keeps keyed streams and fences writers.
//!
//! A cell is a group of daemons that share one store and the executors on which tasks run. One of
//! the daemons at a time owns the cell. Each claim of ownership has a higher epoch than the one
//! before, and the store and the executors reject calls of earlier epochs.
//!
//! Every daemon accepts requests from callers and forwards them to the owner of the cell. The owner
//! is elected by a conditional append. It runs the
//! [`CellScheduler`](magnolia_scheduler::CellScheduler), stores the decisions of the scheduler,
//! renews leases, orders starts and stops, and sends eligibility requests through all daemons.

mod access;
mod callers;
mod clock;
mod committer;
mod election;
mod eligibility;
mod executor_loop;
mod gateway;
mod guarded_tasks;
mod inventory;
mod membership;
mod metrics;
mod newest_reader;
mod node;
mod owner;
mod ownership_proof;
mod peer_messages;
mod peers;
mod pending_appends;
mod ports;
mod refused_appends;
mod routed_store;
mod rules_feed;
mod serving;
mod settings;
mod state;
mod transfer;

#[cfg(test)]
mod access_tests;
#[cfg(test)]
mod message_tests;
#[cfg(test)]
mod owner_tests;
#[cfg(test)]
mod ownership_proof_tests;
#[cfg(test)]
mod routed_store_tests;

pub use access::check_access;
pub use callers::{AccountGrant, CallerAccess, CallerAnswer, CallerRequest, TimedCallerRequest};
pub use clock::NodeClock;
pub use membership::{MemberRecord, OwnerClaim};
pub use metrics::NodeMetrics;
pub use node::{CellNode, NodePorts};
pub use ports::{
    AppendCondition, AppendOutcome, DocumentDecoder, EligibilityError, EligibilityPort, EntryError,
    ExecutorPort, NewestPage, OrderError, StartReply, StoreError, StreamName, StreamRecord,
    StreamStore, TailPage,
};
pub use settings::NodeSettings;
pub use state::{JobExplanation, NodeState, NodeStatus};
pub use transfer::{page_transfer_time, transfer_time};
