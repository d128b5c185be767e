//! All jobs and idempotency keys of a partition.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::{
    AttemptId, CustomerName, DaemonId, Epoch, IdempotencyKey, Incarnation, JobId, JobOutcome,
    JobSpec, Millis, RequestId, ResultCode, TaskRef, WorkerId, stable_hash,
};
use serde::{Deserialize, Serialize};

use super::idempotency_keys::{KeyEntry, KeyLookup, KeyUse};
use super::job_entry::{
    AttemptResult, JobEffects, JobEntry, RunningAttempt, TaskState, attempt_order,
};
use crate::journal::{JournalEntry, JournalError};

/// Limits on how long final jobs and idempotency keys are retained, and on the number of final
/// jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetentionLimits {
    /// How long idempotency keys and their results are retained.
    pub key_age: Millis,
    /// How long final jobs without a key are retained.
    pub final_age: Millis,
    /// Maximum number of retained final jobs without a key.
    pub final_jobs: usize,
}

impl Default for RetentionLimits {
    fn default() -> Self {
        Self {
            key_age: Millis::from_secs(24 * 3600),
            final_age: Millis::from_secs(3600),
            final_jobs: 20_000,
        }
    }
}

/// Whether an attempt that a worker reports at a takeover may continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FoundAttempt {
    /// It is the current attempt of its task.
    Current,
    /// It has to be stopped: its job is unknown or has ended, or a newer attempt exists.
    Obsolete,
}

/// All jobs and idempotency keys of a partition, as rebuilt from its journal.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobTable {
    jobs: BTreeMap<JobId, JobEntry>,
    keys: BTreeMap<(CustomerName, IdempotencyKey), KeyEntry>,
    /// Owners since the last completed takeover, oldest first.
    owners: Vec<(Epoch, DaemonId, Incarnation)>,
    /// Longest lease that any owner has granted.
    longest_lease: Millis,
    /// Final jobs in the order in which they became final.
    finals: BTreeSet<(Millis, JobId)>,
    #[serde(skip)]
    limits: RetentionLimits,
}

impl JobTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limits on retained jobs and keys.
    #[must_use]
    pub fn with_retention(mut self, limits: RetentionLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Returns the limits on retained jobs and keys.
    pub fn retention(&self) -> RetentionLimits {
        self.limits
    }

    /// Encodes the table as a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when a value has no MessagePack form.
    pub fn to_snapshot(&self) -> Result<Vec<u8>, JournalError> {
        Ok(rmp_serde::to_vec(self)?)
    }

    /// Decodes a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a snapshot of this version.
    pub fn from_snapshot(bytes: &[u8]) -> Result<Self, JournalError> {
        Ok(rmp_serde::from_slice(bytes)?)
    }

    /// Applies a journal entry. Applying an entry again has no effect.
    pub fn apply(&mut self, epoch: Epoch, entry: &JournalEntry) {
        match entry {
            JournalEntry::JobAccepted { job, spec, at } => {
                self.accept(job.clone(), Arc::clone(spec), *at, epoch);
            }
            JournalEntry::AttemptStarted {
                task,
                attempt,
                worker,
            } => {
                self.start(task, attempt.clone(), worker.clone());
            }
            JournalEntry::AttemptFound {
                task,
                attempt,
                worker,
            } => {
                self.reconcile_attempt(task, attempt, worker);
            }
            JournalEntry::AttemptEnded {
                task,
                attempt,
                result,
                at,
            } => {
                self.end(task, attempt, *result, *at);
            }
            JournalEntry::JobEnded { job, outcome, at } => {
                self.end_job(job, outcome.clone(), *at);
            }
            JournalEntry::IntentRecorded {
                customer,
                key,
                request,
                content,
                key_set,
                at,
            } => {
                let used_for = KeyUse::Request {
                    request: request.clone(),
                    key_set: *key_set,
                    outcome: None,
                };
                self.remember_key(customer, key, *content, *at, used_for);
            }
            JournalEntry::IntentResolved {
                customer,
                key,
                code,
                text,
            } => self.resolve_intent(customer, key, *code, text),
            JournalEntry::Opened {
                daemon,
                incarnation,
            } => self.record_owner(epoch, daemon.clone(), *incarnation),
            JournalEntry::LeaseGranted { lease } => {
                self.longest_lease = self.longest_lease.max(*lease)
            }
            JournalEntry::TakeoverDone => self.owners.retain(|owner| owner.0 >= epoch),
            JournalEntry::SnapshotPart { .. } => {}
        }
    }

    /// Adds a job and its idempotency key; returns `false` if the job is already known.
    pub fn accept(&mut self, job: JobId, spec: Arc<JobSpec>, at: Millis, epoch: Epoch) -> bool {
        if self.jobs.contains_key(&job) {
            return false;
        }
        if let Some(key) = &spec.idempotency_key {
            let used_for = KeyUse::Job(job.clone());
            self.remember_key(&spec.customer, key, job_content(&spec), at, used_for);
        }
        self.jobs.insert(job, JobEntry::new(spec, at, epoch));
        true
    }

    /// Records that an attempt was started; see [`JobEntry::start`].
    pub fn start(&mut self, task: &TaskRef, attempt: AttemptId, worker: WorkerId) -> bool {
        let running = RunningAttempt { attempt, worker };
        self.jobs
            .get_mut(&task.job)
            .is_some_and(|entry| entry.start(task.task, running))
    }

    /// Records the end of an attempt; returns `None` if it is not the current attempt of the task.
    pub fn end(
        &mut self,
        task: &TaskRef,
        attempt: &AttemptId,
        result: AttemptResult,
        at: Millis,
    ) -> Option<JobEffects> {
        let entry = self.jobs.get_mut(&task.job)?;
        let effects = entry.end(task.task, attempt, result, at)?;
        self.record_if_final(&task.job, at, &effects);
        Some(effects)
    }

    /// Ends a job that is cancelled or given up; returns `None` if the job is unknown.
    pub fn end_job(&mut self, job: &JobId, outcome: JobOutcome, at: Millis) -> Option<JobEffects> {
        let effects = self.jobs.get_mut(job)?.end_job(outcome, at);
        self.record_if_final(job, at, &effects);
        Some(effects)
    }

    /// Returns the id for the next attempt of a task by the owner at `epoch`.
    pub fn next_attempt(&self, task: &TaskRef, epoch: Epoch) -> Option<AttemptId> {
        let entry = self.jobs.get(&task.job)?.tasks.get(task.task as usize)?;
        let number = match entry.latest {
            (latest, number) if latest == epoch => number + 1,
            _ => 1,
        };
        task.attempt(epoch, number).ok()
    }

    /// Compares an attempt that a worker reports with the table, and adopts it if it is newer than
    /// the newest attempt in the journal.
    ///
    /// Starts of repeatable tasks are journalled after they are sent, so the journal may lack the
    /// last ones.
    pub fn reconcile_attempt(
        &mut self,
        task: &TaskRef,
        attempt: &AttemptId,
        worker: &WorkerId,
    ) -> FoundAttempt {
        let Some(entry) = self.jobs.get_mut(&task.job) else {
            return FoundAttempt::Obsolete;
        };
        let Some(known) = entry.tasks.get(task.task as usize) else {
            return FoundAttempt::Obsolete;
        };
        let (replaced, newest) = match &known.state {
            TaskState::Running(running) if running.attempt == *attempt => {
                return FoundAttempt::Current;
            }
            TaskState::Running(running) => (Some(running.attempt.clone()), known.latest),
            TaskState::Waiting => (None, known.latest),
            _ => return FoundAttempt::Obsolete,
        };
        if entry.ending.is_some() || attempt_order(attempt) <= Some(newest) {
            return FoundAttempt::Obsolete;
        }
        if let Some(replaced) = replaced {
            // The earlier owner started the reported attempt only after the known one had ended.
            entry.end(
                task.task,
                &replaced,
                AttemptResult::NotStarted,
                Millis::new(0),
            );
        }
        let running = RunningAttempt {
            attempt: attempt.clone(),
            worker: worker.clone(),
        };
        entry.start(task.task, running);
        FoundAttempt::Current
    }

    /// Looks up the idempotency key of a submitted job.
    pub fn lookup_job(&self, spec: &JobSpec) -> KeyLookup {
        match &spec.idempotency_key {
            Some(key) => self.lookup(&spec.customer, key, job_content(spec)),
            None => KeyLookup::Unused,
        }
    }

    /// Looks up an idempotency key that was submitted with the given content hash.
    pub fn lookup(&self, customer: &CustomerName, key: &IdempotencyKey, content: u64) -> KeyLookup {
        match self.keys.get(&(customer.clone(), key.clone())) {
            None => KeyLookup::Unused,
            Some(entry) if entry.content == content => KeyLookup::Same(entry.used_for.clone()),
            Some(_) => KeyLookup::Reused,
        }
    }

    /// Returns the requests that were recorded before sending and have no recorded outcome yet.
    pub fn open_intents(&self) -> Vec<(CustomerName, IdempotencyKey, RequestId)> {
        let open = self
            .keys
            .iter()
            .filter_map(|((customer, key), entry)| match &entry.used_for {
                KeyUse::Request {
                    request,
                    outcome: None,
                    ..
                } => Some((customer.clone(), key.clone(), request.clone())),
                _ => None,
            });
        open.collect()
    }

    /// Removes final jobs and keys that exceed the retention limits.
    ///
    /// A key is kept while its job is not final; a final job is kept while its key is.
    pub fn forget(&mut self, now: Millis) {
        let limits = self.limits;
        self.keys.retain(|_, entry| {
            let is_open = matches!(&entry.used_for, KeyUse::Job(job)
                if self.jobs.get(job).is_some_and(|job| job.outcome.is_none()));
            is_open || now.saturating_sub(entry.at) < limits.key_age
        });
        let mut unkeyed = 0;
        let old: Vec<(Millis, JobId)> = self
            .finals
            .iter()
            .rev()
            .filter(|(at, job)| {
                if self.has_key(job) {
                    return false;
                }
                unkeyed += 1;
                unkeyed > limits.final_jobs || now.saturating_sub(*at) >= limits.final_age
            })
            .cloned()
            .collect();
        for key in old {
            self.jobs.remove(&key.1);
            self.finals.remove(&key);
        }
    }

    /// Returns the owners whose commands may still have an effect: those since the last completed
    /// takeover (see [`JournalEntry::TakeoverDone`]).
    pub fn owners(&self) -> &[(Epoch, DaemonId, Incarnation)] {
        &self.owners
    }

    /// Returns the longest lease that any owner has granted; the configured lease may have changed
    /// since.
    pub fn longest_lease(&self) -> Millis {
        self.longest_lease
    }

    /// Returns a job.
    pub fn get(&self, job: &JobId) -> Option<&JobEntry> {
        self.jobs.get(job)
    }

    /// Returns all jobs in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        self.jobs.iter()
    }

    /// Returns the number of retained idempotency keys.
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn remember_key(
        &mut self,
        customer: &CustomerName,
        key: &IdempotencyKey,
        content: u64,
        at: Millis,
        used_for: KeyUse,
    ) {
        let entry = KeyEntry {
            content,
            at,
            used_for,
        };
        self.keys
            .entry((customer.clone(), key.clone()))
            .or_insert(entry);
    }

    fn resolve_intent(
        &mut self,
        customer: &CustomerName,
        key: &IdempotencyKey,
        code: ResultCode,
        text: &Arc<str>,
    ) {
        let entry = self.keys.get_mut(&(customer.clone(), key.clone()));
        if let Some(KeyUse::Request { outcome, .. }) = entry.map(|entry| &mut entry.used_for) {
            outcome.get_or_insert_with(|| (code, Arc::clone(text)));
        }
    }

    fn record_owner(&mut self, epoch: Epoch, daemon: DaemonId, incarnation: Incarnation) {
        let owner = (epoch, daemon, incarnation);
        if !self.owners.contains(&owner) {
            self.owners.push(owner);
        }
    }

    fn record_if_final(&mut self, job: &JobId, at: Millis, effects: &JobEffects) {
        if effects.became_final {
            self.finals.insert((at, job.clone()));
        }
    }

    fn has_key(&self, job: &JobId) -> bool {
        let Some(entry) = self.jobs.get(job) else {
            return false;
        };
        let Some(key) = &entry.spec.idempotency_key else {
            return false;
        };
        self.keys
            .contains_key(&(entry.spec.customer.clone(), key.clone()))
    }
}

/// Hashes the content of a job, to distinguish a repeated submission from a different job under the
/// same key.
pub fn job_content(spec: &JobSpec) -> u64 {
    stable_hash(&rmp_serde::to_vec(spec).unwrap_or_default())
}
