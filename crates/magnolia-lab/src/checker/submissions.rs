//! What the clients know of each job key.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use magnolia_types::{JobId, JobKind, Ran};

use crate::history::{History, HistoryEvent};

/// Submissions of one key.
pub struct KeyRecord<'a> {
    /// Kind of the job.
    pub kind: JobKind,
    /// Whether its tasks may run again.
    pub repeatable: bool,
    /// Ids under which the job was accepted, with the times.
    pub accepted: Vec<(&'a JobId, u64)>,
    /// Whether a submission may have been accepted without the client's knowledge.
    pub is_open: bool,
}

/// Submissions by key, and the jobs that no client knows.
pub struct SubmissionBook<'a> {
    /// Records by key.
    pub keys: HashMap<&'a Arc<str>, KeyRecord<'a>>,
    /// Jobs that started, with the time of their first start, but were not accepted by any
    /// client's knowledge.
    pub orphans: HashMap<&'a JobId, u64>,
}

impl<'a> SubmissionBook<'a> {
    /// Joins submissions with the starts of workers.
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
                        is_open: false,
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
        // What is left got an answer that says nothing, or none.
        for id in pending {
            let record = calls.get(id).and_then(|key| keys.get_mut(key));
            if let Some(record) = record {
                record.is_open = true;
            }
        }
        let accepted = keys.values().flat_map(|record| &record.accepted);
        for (job, _) in accepted {
            orphans.remove(job);
        }
        Self { keys, orphans }
    }

    /// Counts the keys of which a job may run without any client's knowledge.
    pub fn open_keys(&self) -> usize {
        let open = |record: &&KeyRecord| record.is_open && record.accepted.is_empty();
        self.keys.values().filter(open).count()
    }
}
