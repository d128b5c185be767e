//! What a daemon tells operators.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{CellSummary, CellVersion, JobKey};
use magnolia_types::{DaemonId, Epoch, Millis, wire_types};

use crate::inner::{InnerCall, InnerReply};
use crate::node::CellNode;

/// Silence after which the owner counts as not heard of: two signs of life of a daemon far down the line.
const OWNER_SILENCE: Millis = Millis::new(1400);
/// Longest wait for the owner's explanation.
const EXPLAIN_LIMIT: Duration = Duration::from_secs(2);

wire_types! {
    /// Whether the cell takes work on, in one true sentence.
    pub struct NodeStatus {
        /// Whether callers may be sent here and an owner was in touch lately.
        pub serving: bool,
        /// The sentence.
        pub answer: String,
    }

    /// State of a daemon.
    pub struct NodeState {
        /// Its name.
        pub daemon: DaemonId,
        /// Whether the platform may send callers here.
        pub ready: bool,
        /// Version of the configuration in force here.
        pub version: CellVersion,
        /// Daemon that owns the cell, by the newest claim known here.
        pub owner: Option<DaemonId>,
        /// Epoch of the claim.
        pub epoch: Option<Epoch>,
        /// Whether this daemon owns the cell.
        pub owns: bool,
        /// Daemons that have registered.
        pub members: Vec<DaemonId>,
        /// Daemons that the owner heard from lately.
        pub live: Vec<DaemonId>,
        /// Time since the store last answered this daemon, by any path.
        pub store_age: Millis,
        /// Counts of the cell; at the owner only.
        pub cell: Option<CellSummary>,
    }
}

/// What is known of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobExplanation {
    /// Where it stands.
    Known(Vec<String>),
    /// The owner does not know it.
    Unknown,
    /// No owner answered.
    NoOwner,
}

impl CellNode {
    /// Returns the state of this daemon.
    pub fn state(&self) -> NodeState {
        let view = self.cell.borrow().clone();
        let session = self.session();
        let now = self.clock.now();
        NodeState {
            daemon: self.settings.name.clone(),
            ready: self.is_ready(),
            version: self.rules().version,
            owner: view.owner.as_ref().map(|claim| claim.member.name.clone()),
            epoch: view.owner_epoch(),
            owns: session.is_some(),
            members: view.members.keys().cloned().collect(),
            live: self.live_names(),
            store_age: now.saturating_sub(self.store.reached_at()),
            cell: session.map(|session| session.lock().summary(now)),
        }
    }

    /// Tells whether the owner was in touch lately; its claim counts as a sign of life.
    fn hears_owner(&self, owns: bool) -> bool {
        let news = self.news.lock().unwrap_or_else(PoisonError::into_inner);
        owns || self.clock.now().saturating_sub(news.heard_at) < OWNER_SILENCE
    }

    /// Tells whether the cell takes work on.
    pub fn status(&self) -> NodeStatus {
        let state = self.state();
        let answer = match (&state.owner, state.ready) {
            (_, false) if self.is_stopping() => format!("{} is stopping", state.daemon),
            (_, false) => format!("{} has no configuration yet", state.daemon),
            (None, true) => "no daemon owns the cell yet".to_owned(),
            (Some(owner), true) if !self.hears_owner(state.owns) => {
                format!("{owner} owns the cell, but has not been heard of lately")
            }
            (Some(owner), true) => format!(
                "{owner} owns the cell; configuration {} is in force; the store answered {} ago",
                state.version, state.store_age
            ),
        };
        let owner_live = state.owner.is_some() && self.hears_owner(state.owns);
        NodeStatus {
            serving: state.ready && owner_live,
            answer,
        }
    }

    /// Explains where a job stands, by what the owner knows.
    pub async fn explain(self: &Arc<Self>, key: JobKey) -> JobExplanation {
        if self.session().is_some() {
            return self.explain_here(key);
        }
        let Some(claim) = self.cell.borrow().owner.clone() else {
            return JobExplanation::NoOwner;
        };
        let call = InnerCall::Explain(key);
        let address = claim.member.address;
        let reply = self
            .peers
            .call(address, &call, EXPLAIN_LIMIT, Duration::ZERO);
        match reply.await {
            Ok(InnerReply::Explanation(Some(lines))) => JobExplanation::Known(lines),
            Ok(InnerReply::Explanation(None)) => JobExplanation::Unknown,
            Ok(_) => JobExplanation::NoOwner,
            Err(error) => {
                log::info!(job:% = key, owner:% = claim.member.name, error:% = error;
                    "owner did not explain a job");
                JobExplanation::NoOwner
            }
        }
    }

    pub(crate) fn explain_here(&self, key: JobKey) -> JobExplanation {
        let Some(session) = self.session() else {
            return JobExplanation::NoOwner;
        };
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let lines = session.lock().explain(key, now, unix_ms);
        lines.map_or(JobExplanation::Unknown, JobExplanation::Known)
    }
}
