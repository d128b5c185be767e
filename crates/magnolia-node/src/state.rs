//! State, status and job explanations that a daemon reports to operators.

use std::sync::{Arc, PoisonError};
use std::time::Duration;

use magnolia_scheduler::{CellSummary, CellVersion, JobKey};
use magnolia_types::{DaemonId, Epoch, Millis, wire_types};

use crate::node::CellNode;
use crate::peer_messages::{PeerReply, PeerRequest};

/// Time after which the owner counts as out of contact: two ping intervals of the daemons that ping
/// it least often.
const OWNER_CONTACT_TIMEOUT: Millis = Millis::new(1400);
/// Longest wait for the owner's explanation of a job.
const EXPLAIN_TIMEOUT: Duration = Duration::from_secs(2);

wire_types! {
    /// Whether the cell accepts work, and why, in one sentence.
    pub struct NodeStatus {
        /// Whether this daemon is ready and was recently in contact with the owner.
        pub serving: bool,
        /// The sentence for operators.
        pub answer: String,
    }

    /// State of a daemon.
    pub struct NodeState {
        /// Name of the daemon.
        pub daemon: DaemonId,
        /// Whether the platform may send callers here.
        pub ready: bool,
        /// Version of the configuration that this daemon applies.
        pub version: CellVersion,
        /// Owner of the cell according to the newest claim that this daemon has read.
        pub owner: Option<DaemonId>,
        /// Epoch of that claim.
        pub epoch: Option<Epoch>,
        /// Whether this daemon owns the cell.
        pub owns: bool,
        /// Registered daemons.
        pub members: Vec<DaemonId>,
        /// Daemons that the owner recently received a ping from.
        pub live: Vec<DaemonId>,
        /// Time since the store last answered this daemon, directly or through a peer.
        pub store_age: Millis,
        /// Counts of the cell; only the owner has them.
        pub cell: Option<CellSummary>,
    }
}

/// Result of asking for the explanation of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum JobExplanation {
    /// Lines that describe the state of the job.
    Known(Vec<String>),
    /// The owner does not know the job.
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
            store_age: now.saturating_sub(self.store.last_success_at()),
            cell: session.map(|session| session.lock().summary(now)),
        }
    }

    /// Tells whether this daemon owns the cell or was recently in contact with the owner. Reading a
    /// new claim counts as contact.
    fn has_owner_contact(&self, owns: bool) -> bool {
        let contact = self
            .owner_contact
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        owns || self.clock.now().saturating_sub(contact.last_heard_at) < OWNER_CONTACT_TIMEOUT
    }

    /// Returns whether the cell accepts work, with a sentence for operators.
    pub fn status(&self) -> NodeStatus {
        let state = self.state();
        let answer = match (&state.owner, state.ready) {
            (_, false) if self.is_stopping() => format!("{} is stopping", state.daemon),
            (_, false) => format!("{} has no configuration yet", state.daemon),
            (None, true) => "no daemon owns the cell yet".to_owned(),
            (Some(owner), true) if !self.has_owner_contact(state.owns) => {
                format!("{owner} owns the cell, but has not been heard of lately")
            }
            (Some(owner), true) => format!(
                "{owner} owns the cell; configuration {} is in force; the store answered {} ago",
                state.version, state.store_age
            ),
        };
        let answer = if self.sheds_clients() {
            format!(
                "{answer}; {} refuses clients that hold too much",
                state.daemon
            )
        } else {
            answer
        };
        let owner_in_contact = state.owner.is_some() && self.has_owner_contact(state.owns);
        NodeStatus {
            serving: state.ready && owner_in_contact,
            answer,
        }
    }

    /// Explains the state of a job, asking the owner if that is another daemon.
    pub async fn explain(self: &Arc<Self>, key: JobKey) -> JobExplanation {
        if self.session().is_some() {
            return self.explain_locally(key);
        }
        let Some(claim) = self.cell.borrow().owner.clone() else {
            return JobExplanation::NoOwner;
        };
        let message = PeerRequest::Explain(key);
        let address = claim.member.address;
        let reply = self
            .peers
            .call(address, &message, EXPLAIN_TIMEOUT, Duration::ZERO);
        match reply.await {
            Ok(PeerReply::Explanation(Some(lines))) => JobExplanation::Known(lines),
            Ok(PeerReply::Explanation(None)) => JobExplanation::Unknown,
            Ok(_) => JobExplanation::NoOwner,
            Err(error) => {
                log::info!(job:% = key, owner:% = claim.member.name, error:% = error;
                    "no explanation of a job from the owner");
                JobExplanation::NoOwner
            }
        }
    }

    /// Explains the state of a job from this daemon's own session.
    pub(crate) fn explain_locally(&self, key: JobKey) -> JobExplanation {
        let Some(session) = self.session() else {
            return JobExplanation::NoOwner;
        };
        let (now, unix_ms) = (self.clock.now(), self.clock.unix_ms());
        let lines = session.lock().explain(key, now, unix_ms);
        lines.map_or(JobExplanation::Unknown, JobExplanation::Known)
    }
}
