//! What the clients know about the jobs of each idempotency key.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{JobId, JobKind, Ran};

use crate::history::{History, HistoryEvent};

/// Submissions with one idempotency key.
pub struct KeyRecord<'a> {
    /// Kind of the job.
    pub kind: JobKind,
    /// Whether its tasks may run again.
    pub repeatable: bool,
    /// Ids of the accepted jobs, with the times of acceptance.
    pub accepted: Vec<(&'a JobId, u64)>,
    /// Whether the outcome of a submission is unknown to its client.
    pub has_unknown_outcome: bool,
}

/// Submissions by key, and the started jobs that no client knows.
pub struct SubmissionIndex<'a> {
    /// Records by key.
    pub keys: HashMap<&'a Arc<str>, KeyRecord<'a>>,
    /// Jobs that no client saw accepted, with the time at which their first task started.
    pub orphans: HashMap<&'a JobId, u64>,
}

impl<'a> SubmissionIndex<'a> {
    /// Matches the submissions of clients with the starts on workers.
    pub fn new(history: &'a History) -> Self {
        let mut keys: HashMap<&Arc<str>, KeyRecord> = HashMap::new();
        let mut calls: HashMap<&Arc<str>, &Arc<str>> = HashMap::new();
        let mut pending: HashSet<&Arc<str>> = HashSet::new();
        let mut orphans: HashMap<&JobId, u64> = HashMap::new();
        for (at_us, event) in history.iter() {
            match event {
                HistoryEvent::JobSent {
                    id,
                    key,
                    kind,
                    repeatable,
                    ..
                } => {
                    keys.entry(key).or_insert(KeyRecord {
                        kind: *kind,
                        repeatable: *repeatable,
                        accepted: Vec::new(),
                        has_unknown_outcome: false,
                    });
                    calls.insert(id, key);
                    pending.insert(id);
                }
                HistoryEvent::JobAccepted { id, job } => {
                    pending.remove(id);
                    let record = calls.get(id).and_then(|key| keys.get_mut(key));
                    if let Some(record) = record {
                        record.accepted.push((job, at_us));
                    }
                }
                HistoryEvent::JobNotAccepted { id, ran, .. } if *ran == Ran::No => {
                    pending.remove(id);
                }
                HistoryEvent::AttemptStarted { task, .. } => {
                    orphans.entry(&task.job).or_insert(at_us);
                }
                _ => {}
            }
        }
        // The remaining submissions got no answer, or one that leaves the outcome unknown.
        for id in pending {
            let record = calls.get(id).and_then(|key| keys.get_mut(key));
            if let Some(record) = record {
                record.has_unknown_outcome = true;
            }
        }
        let accepted = keys.values().flat_map(|record| &record.accepted);
        for (job, _) in accepted {
            orphans.remove(job);
        }
        Self { keys, orphans }
    }

    /// Counts the keys that may have a job that no client knows.
    pub fn keys_with_unknown_outcome(&self) -> usize {
        let open = |record: &&KeyRecord| record.has_unknown_outcome && record.accepted.is_empty();
        self.keys.values().filter(open).count()
    }
}
