//! Describes an owner for the state dump.

use std::collections::BTreeMap;

use magnolia_policy::WorkerCondition;
use magnolia_types::JobState;
use serde_json::{Value, json};

use super::owner::{OwnerPhase, PartitionOwner};

impl PartitionOwner {
    /// Returns the numbers of jobs by state and of workers by condition, and the progress of
    /// journal and takeover.
    pub(super) fn describe(&self) -> Value {
        let mut jobs: BTreeMap<&str, u32> = BTreeMap::new();
        for (_, entry) in self.table.iter() {
            *jobs.entry(state_name(entry.state())).or_default() += 1;
        }
        let mut workers: BTreeMap<&str, u32> = BTreeMap::new();
        for link in self.links.values() {
            let condition = link.view.as_ref().map(|view| view.condition);
            let name = match condition {
                Some(WorkerCondition::Usable) => "usable",
                Some(WorkerCondition::Leaving) => "leaving",
                Some(WorkerCondition::Unavailable) | None => "unavailable",
            };
            *workers.entry(name).or_default() += 1;
        }
        let phase = match self.phase {
            OwnerPhase::Opening => "opening",
            OwnerPhase::Serving => "serving",
            OwnerPhase::Draining(_) => "draining",
            OwnerPhase::Stopped => "stopped",
        };
        json!({
            "epoch": self.claim.epoch,
            "phase": phase,
            "jobs": jobs,
            "keys": self.table.key_count(),
            "attempts": self.attempts.len(),
            "waiting_tasks": self.engine.waiting_tasks(),
            "workers": workers,
            "journal": {
                "next": self.committer.next_offset(),
                "healthy": self.committer.is_healthy(),
                "pending": self.committer.pending(),
                "counts": self.committer.counts(),
            },
            "takeover": self.tracker.progress(),
        })
    }
}

fn state_name(state: JobState) -> &'static str {
    match state {
        JobState::Waiting => "waiting",
        JobState::Running => "running",
        JobState::Done => "done",
        JobState::Failed => "failed",
        JobState::Cancelled => "cancelled",
        JobState::Unknown => "unknown",
    }
}
