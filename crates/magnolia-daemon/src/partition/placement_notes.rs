//! Recent placements and refusals, for the explanations that callers ask for.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use magnolia_types::JobId;

/// Maximum number of notes about one job.
const MAX_NOTES_PER_JOB: usize = 16;
/// Maximum number of refused jobs that are remembered.
const MAX_REFUSALS: usize = 256;

/// Recent placements by job, and recent refusals.
#[derive(Debug, Default)]
pub struct PlacementNotes {
    jobs: BTreeMap<JobId, VecDeque<Arc<str>>>,
    refusals: VecDeque<(JobId, Arc<str>)>,
}

impl PlacementNotes {
    /// Creates empty notes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a note about a job; drops the oldest one above [`MAX_NOTES_PER_JOB`].
    pub fn add(&mut self, job: &JobId, note: String) {
        let notes = self.jobs.entry(job.clone()).or_default();
        if notes.len() == MAX_NOTES_PER_JOB {
            notes.pop_front();
        }
        notes.push_back(note.into());
    }

    /// Records why a job was refused.
    pub fn add_refusal(&mut self, job: &JobId, reason: Arc<str>) {
        if self.refusals.len() == MAX_REFUSALS {
            self.refusals.pop_front();
        }
        self.refusals.push_back((job.clone(), reason));
    }

    /// Returns the notes about a job.
    pub fn of(&self, job: &JobId) -> impl Iterator<Item = &Arc<str>> {
        self.jobs.get(job).into_iter().flatten()
    }

    /// Returns why a job was refused.
    pub fn refusal(&self, job: &JobId) -> Option<Arc<str>> {
        let mut refusals = self.refusals.iter().rev();
        refusals
            .find(|(refused, _)| refused == job)
            .map(|(_, reason)| Arc::clone(reason))
    }

    /// Drops the notes about jobs for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(&JobId) -> bool) {
        self.jobs.retain(|job, _| is_known(job));
    }
}
