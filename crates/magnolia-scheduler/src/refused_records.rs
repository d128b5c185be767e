//! Records that the store refuses for good.
//!
//! Only the job or the executor that the record belongs to may suffer from it. A job that was not
//! accepted yet is forgotten, and its key deleted in the store, in case an earlier call with the
//! record is carried out after all. An accepted job ends as failed. An executor gets nothing new.

use std::collections::BTreeSet;

use magnolia_types::{ExecutorId, Millis};

use crate::cell::{CellScheduler, StoreBatch};
use crate::record::JobRecord;
use crate::{JobKey, JobStatus};

/// Keys of the records in a batch that were not stored with it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RefusedRecords {
    /// Jobs whose record the store refuses.
    pub jobs: BTreeSet<JobKey>,
    /// Jobs that are not accepted yet and whose record goes into a later batch.
    pub deferred: BTreeSet<JobKey>,
    /// Executors whose record the store refuses.
    pub executors: BTreeSet<ExecutorId>,
}

/// What is known of a submission that waits for the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmissionState {
    /// The job is stored.
    Stored,
    /// The job, or the deletion of its refused record, is not stored yet.
    Pending,
    /// The store refused the record of the job, which never runs.
    Refused,
}

impl CellScheduler {
    /// Takes refused and deferred records out of a batch, and deals with the jobs and executors they belong to.
    /// The batch is otherwise stored; `finish_batch` follows.
    pub fn refuse_records(
        &mut self,
        batch: &mut StoreBatch,
        refused: &RefusedRecords,
        now: Millis,
    ) {
        let records = std::mem::take(&mut batch.records);
        let (jobs, kept): (Vec<_>, Vec<_>) = records
            .into_iter()
            .partition(|(key, _)| refused.jobs.contains(key));
        batch.records = kept;
        batch
            .records
            .retain(|(key, _)| !refused.deferred.contains(key));
        self.dirty_jobs.extend(&refused.deferred);
        let mut accepted = false;
        for (key, record) in jobs {
            accepted |= self.refuse_job(key, record.as_ref(), now);
        }
        if accepted {
            self.hold_ends();
        }
        batch
            .executors
            .retain(|(id, _)| !refused.executors.contains(id));
        for id in &refused.executors {
            log::error!(executor:% = id; "the store refuses the record of an executor; set aside");
            if let Some(executor_index) = self.executors.index_of(id) {
                self.executors.get_mut(executor_index).record_refused = true;
            }
        }
    }

    /// Deals with a job whose record is refused; returns whether it had been accepted.
    fn refuse_job(&mut self, key: JobKey, record: Option<&JobRecord>, now: Millis) -> bool {
        let Some(job) = self.jobs.get_mut(&key) else {
            log::error!(job:% = key; "the store refuses the deletion of a job's record");
            self.refused_jobs.remove(&key);
            return false;
        };
        if !job.stored {
            log::error!(job:% = key; "job refused: the store refuses its record");
            self.jobs.remove(&key);
            self.live.remove(&key);
            self.mark_dirty(key);
            self.refused_jobs.insert(key);
            return false;
        }
        match record {
            Some(JobRecord::Live(_)) => {
                if job.ending.is_none() {
                    log::error!(job:% = key;
                        "job ended as failed: the store refuses its record");
                    self.end_job(key, JobStatus::Failed, now);
                }
                self.mark_dirty(key);
            }
            Some(JobRecord::Ended(ended)) => {
                log::error!(job:% = key, status:? = ended.status;
                    "the store refuses the outcome of a job; its record is deleted");
                job.ended = Some((ended.status, ended.ended_unix_ms));
                job.unstorable = true;
                self.close_job(key);
                self.mark_dirty(key);
            }
            None => log::error!(job:% = key; "the store refuses the deletion of a job's record"),
        }
        true
    }

    /// Lets no batch begun so far store an end: an end that belongs to the refused record counts
    /// only when the outcome of its job is stored. The next batch covers all of them again.
    fn hold_ends(&mut self) {
        self.ends_held_through = self.batches;
        for (_, executor) in self.executors.iter_mut() {
            executor.batched_through = executor.stored_through;
        }
    }

    /// Returns what is known of a submission after a batch is stored.
    pub fn submission_state(&self, key: JobKey) -> SubmissionState {
        match self.jobs.get(&key) {
            Some(job) if job.stored => SubmissionState::Stored,
            Some(_) => SubmissionState::Pending,
            None if self.refused_jobs.contains(&key) => SubmissionState::Pending,
            None => SubmissionState::Refused,
        }
    }
}
