//! The scheduler of a cell: its state, submissions, cancellations and the batches to store.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use magnolia_types::{Epoch, ExecutorId, Millis};
use serde::{Deserialize, Serialize};

use crate::account_table::{AccountSummary, AccountTable};
use crate::admission::{AdmissionDecision, RefusalReason, decide_admission};
use crate::eligibility_queue::EligibilityQueue;
use crate::executor_state::FenceState;
use crate::executors::{ExecutorIndex, ExecutorTable};
use crate::job::JobState;
use crate::lost_runs::LostRun;
use crate::need_classes::{NeedClass, NeedClasses};
use crate::ordering::WorkMean;
use crate::record::JobRecord;
use crate::step::{StepState, TaskPhase, TaskState};
use crate::step_selection::UnplaceableSteps;
use crate::{
    AccountRules, CellAction, CellRules, ExecutorLife, ExecutorRecord, JobKey, JobSpec, JobStatus,
    QueueName, QueueRules, SchedulerSettings, SharePosition, StepRef, StepSpec, TaskRef,
};
use crate::{SpeedModel, TurnoverMeter};

/// Time after which a caller may retry whose job finds no memory: as long as for the largest backlog,
/// because nobody knows when jobs end.
const MEMORY_RETRY_AFTER: Millis = Millis::new(10_000);

/// Shortest time after which a caller may retry whose account is ahead of its share.
const MIN_SHARE_RETRY_AFTER: Millis = Millis::new(1000);

/// Sort key of a step in the ready set, which holds the steps that can start tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReadyKey {
    pub(crate) priority: u32,
    /// Whether the job is beyond the share of its client account; such steps come last of their
    /// priority.
    pub(crate) beyond_share: bool,
    /// Unix milliseconds by which steps of the same priority are ordered.
    pub(crate) order_unix_ms: u64,
    pub(crate) step: StepRef,
    /// Steps of other classes don't wait for the same executors.
    pub(crate) class: NeedClass,
}

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// Accepted, but not stored yet; the acceptance is final once the next batch is stored.
    Accepted,
    /// A job with this key is stored already.
    Known,
    /// Refused; the job never runs.
    Refused {
        /// Time after which the caller should retry.
        retry_after: Millis,
        /// What the job would have to wait for.
        reason: RefusalReason,
    },
    /// Refused because the job alone takes more memory than all jobs may take; it never runs.
    TooLarge {
        /// Memory that the job takes, in bytes.
        needed: u64,
        /// Memory that all jobs may take, in bytes.
        limit: u64,
    },
    /// Refused because a task, or the tasks of a gang together, need more than their client account
    /// may use; the job never runs.
    AboveCap {
        /// Number of the step.
        step: u16,
    },
    /// A job with this key belongs to another client account; nothing was done.
    OtherAccount,
}

/// Records to store in one call, and the state changes that become durable with them.
#[derive(Debug, Default)]
pub struct StoreBatch {
    /// Number of the batch, from 1.
    number: u64,
    /// Jobs with their new records; the key is deleted where there is no record.
    pub records: Vec<(JobKey, Option<JobRecord>)>,
    /// Executors whose record changes; there is no record for one that goes out of use.
    pub executors: Vec<(ExecutorId, Option<ExecutorRecord>)>,
    /// Executors with the number of the last end that the batch covers.
    ends: Vec<(ExecutorIndex, ExecutorLife, u64)>,
    /// Tasks whose success the batch stores.
    done: Vec<TaskRef>,
}

/// Counts for logs, metrics and the state dump.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Jobs that have not ended.
    pub live_jobs: usize,
    /// Ended jobs that are kept.
    pub ended_jobs: usize,
    /// Steps that can start tasks.
    pub ready_steps: usize,
    /// Eligibility requests that wait.
    pub waiting_advice: usize,
    /// Runs on all executors.
    pub active_runs: usize,
    /// Executors that accept new tasks.
    pub usable_executors: usize,
    /// Executors on which an earlier owner may still have runs: they have not answered in this
    /// epoch and the time after which its leases have expired has not passed.
    pub unsettled_executors: usize,
    /// Executors that are set aside because they know a higher epoch than any claim.
    #[serde(default)]
    pub foreign_executors: usize,
    /// Processors reserved, in thousandths.
    pub used_cpu: u64,
    /// Processors of all listed executors, in thousandths.
    pub total_cpu: u64,
    /// The client accounts that use most, at most [`CellScheduler::MAX_ACCOUNT_SUMMARIES`] of them.
    #[serde(default)]
    pub accounts: Vec<AccountSummary>,
}

/// Scheduler of one cell, run by the daemon that holds the epoch.
pub struct CellScheduler {
    pub(crate) settings: SchedulerSettings,
    pub(crate) epoch: Epoch,
    pub(crate) rules: Arc<CellRules>,
    pub(crate) jobs: HashMap<JobKey, JobState>,
    pub(crate) accounts: AccountTable,
    /// Jobs of earlier owners that count for the share of their account, with the Unix milliseconds
    /// of their acceptance, until they are counted.
    pub(crate) uncounted_jobs: Vec<(u64, Arc<AccountRules>)>,
    /// Unix milliseconds of the latest change in the records that were loaded.
    pub(crate) newest_loaded_unix_ms: u64,
    /// When it was last computed what runs of earlier owners may take for each account.
    pub(crate) unlocated_at: Option<Millis>,
    /// Jobs whose end is not stored.
    pub(crate) live: BTreeSet<JobKey>,
    pub(crate) executors: ExecutorTable,
    /// Steps that can start tasks, in the order in which they are planned.
    pub(crate) ready: BTreeSet<ReadyKey>,
    /// Classes of the steps by the executors that they need.
    pub(crate) need_classes: NeedClasses,
    /// Ready steps that no executor could run even if it were idle.
    pub(crate) unplaceable: UnplaceableSteps,
    pub(crate) eligibility_queue: EligibilityQueue,
    /// Moving mean of the share of named executors that were eligible, by queue.
    pub(crate) eligible_share: HashMap<QueueName, f64>,
    /// Processors that become free on the racks that hold the data of steps.
    pub(crate) turnovers: HashMap<Arc<str>, TurnoverMeter>,
    /// Speeds of executors by label.
    pub(crate) speeds: SpeedModel,
    /// Mean work of the jobs of each queue.
    work_means: HashMap<QueueName, WorkMean>,
    pub(crate) actions: Vec<CellAction>,
    /// Number of batches begun.
    pub(crate) batches: u64,
    /// Number of the last batch that stores no ends, because it was begun before a record was refused.
    pub(crate) ends_held_through: u64,
    /// Refused jobs of which the store may still hold a record.
    pub(crate) refused_jobs: BTreeSet<JobKey>,
    /// Jobs whose newest state is in no batch yet.
    pub(crate) dirty_jobs: BTreeSet<JobKey>,
    /// Executors whose newest state is in no batch yet.
    dirty_executors: BTreeSet<ExecutorIndex>,
    /// Succeeded tasks that are in no batch yet.
    pub(crate) done_unbatched: Vec<TaskRef>,
    /// Time of the last preemption on each executor.
    pub(crate) preempted: BTreeMap<ExecutorIndex, Millis>,
    /// Lost runs whose tasks wait until ownership is confirmed.
    pub(crate) lost_runs: Vec<LostRun>,
    /// When the executors in use by earlier owners were loaded.
    pub(crate) loaded_at: Millis,
    /// Latest time at which an executor was closed to earlier owners. Times of different tasks may
    /// arrive out of order.
    pub(crate) last_closed_at: Millis,
    /// Whether no earlier owner is attested by more than half of the witnesses any more.
    pub(crate) earlier_excluded: bool,
}

impl CellScheduler {
    /// Share of named executors that is expected to be eligible before the first answer.
    pub(crate) const INITIAL_ELIGIBLE_SHARE: f64 = 0.5;

    /// Creates an empty scheduler for an epoch.
    pub fn new(settings: SchedulerSettings, epoch: Epoch) -> Self {
        Self {
            settings,
            epoch,
            rules: Arc::default(),
            jobs: HashMap::new(),
            accounts: AccountTable::default(),
            uncounted_jobs: Vec::new(),
            newest_loaded_unix_ms: 0,
            unlocated_at: None,
            live: BTreeSet::new(),
            executors: ExecutorTable::default(),
            ready: BTreeSet::new(),
            need_classes: NeedClasses::default(),
            unplaceable: UnplaceableSteps::default(),
            eligibility_queue: EligibilityQueue::new(),
            eligible_share: HashMap::new(),
            turnovers: HashMap::new(),
            speeds: SpeedModel::default(),
            work_means: HashMap::new(),
            actions: Vec::new(),
            batches: 0,
            ends_held_through: 0,
            refused_jobs: BTreeSet::new(),
            dirty_jobs: BTreeSet::new(),
            dirty_executors: BTreeSet::new(),
            done_unbatched: Vec::new(),
            preempted: BTreeMap::new(),
            lost_runs: Vec::new(),
            loaded_at: Millis::new(0),
            last_closed_at: Millis::new(0),
            earlier_excluded: false,
        }
    }

    /// Returns the epoch.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Applies a version of the configuration unless a newer one is in force.
    pub fn set_rules(&mut self, rules: Arc<CellRules>) {
        if rules.version >= self.rules.version {
            self.rules = rules;
            self.unplaceable.clear();
        }
    }

    /// Loads a stored job after a change of owner, before anything starts. A live job keeps the
    /// rules in its record; an ended one takes `rules`.
    pub fn load(&mut self, key: JobKey, record: &JobRecord, rules: &Arc<QueueRules>, now: Millis) {
        let job = match record {
            JobRecord::Ended(ended) => JobState::new_ended(Arc::clone(rules), ended),
            JobRecord::Live(live) => {
                let spec = Arc::clone(&live.spec);
                let mut job = JobState::new(Arc::clone(&live.rules), spec, live.accepted_unix_ms)
                    .with_account(live.account.clone(), live.beyond_share);
                job.inherited = true;
                job.restore(live, now);
                job.stored = true;
                self.live.insert(key);
                job
            }
        };
        let live = job.ended.is_none();
        self.load_account(&job, record);
        self.jobs.insert(key, job);
        if live {
            self.queue_open_steps(key);
        }
    }

    /// Accepts or refuses a job that belongs to no client account; a repeated submission changes
    /// nothing.
    pub fn submit(
        &mut self,
        key: JobKey,
        rules: &Arc<QueueRules>,
        spec: &Arc<JobSpec>,
        now: Millis,
        now_unix_ms: u64,
    ) -> SubmitOutcome {
        self.submit_as(None, key, rules, spec, now, now_unix_ms)
    }

    /// Accepts or refuses a job of a client account, if `account` names one; a repeated submission
    /// changes nothing.
    pub fn submit_as(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        key: JobKey,
        rules: &Arc<QueueRules>,
        spec: &Arc<JobSpec>,
        now: Millis,
        now_unix_ms: u64,
    ) -> SubmitOutcome {
        if let Some(job) = self.jobs.get(&key) {
            let name = account.map(|account| &account.name);
            let holder = job.account.as_ref().map(|holder| &holder.name);
            if holder.is_some() && holder != name && !rules.public {
                return SubmitOutcome::OtherAccount;
            }
            return if job.stored {
                SubmitOutcome::Known
            } else {
                SubmitOutcome::Accepted
            };
        }
        if let Some(step) = account.and_then(|account| self.step_above_cap(account, spec)) {
            return SubmitOutcome::AboveCap { step };
        }
        let position = self.share_position(account, now_unix_ms);
        let beyond_share = position != SharePosition::Within;
        let mut job = JobState::new(Arc::clone(rules), Arc::clone(spec), now_unix_ms)
            .with_account(account.cloned(), beyond_share);
        if !spec.is_lasting() {
            let mean = self.work_means.entry(rules.name.clone()).or_default();
            mean.observe(spec.work());
            job.order_by_work(mean.ratio(spec.work()), self.settings.order_work_share);
        }
        let (needed, limit) = (job.memory_bytes, self.settings.job_memory_bytes);
        if needed > limit {
            return SubmitOutcome::TooLarge { needed, limit };
        }
        if needed > limit.saturating_sub(self.job_memory_in_use()) {
            log::warn!(job:% = key, needed = needed, limit = limit;
                "the jobs of the cell take the memory that they may");
            return SubmitOutcome::Refused {
                retry_after: MEMORY_RETRY_AFTER,
                reason: RefusalReason::Memory,
            };
        }
        let load = self.admission_load(&job, spec);
        if let AdmissionDecision::Refuse {
            retry_after,
            reason,
        } = decide_admission(&load)
        {
            self.count_refusal(account, position);
            let retry_after = match position {
                SharePosition::Within => retry_after,
                SharePosition::Beyond(ahead) => ahead.max(MIN_SHARE_RETRY_AFTER),
            };
            return SubmitOutcome::Refused {
                retry_after,
                reason,
            };
        }
        self.count_accepted(account, position, now_unix_ms);
        self.observe_urgent_demand(account, rules.priority, spec, now);
        if spec.recurrence.is_none() {
            job.open_occurrence(now);
        }
        self.jobs.insert(key, job);
        self.live.insert(key);
        self.dirty_jobs.insert(key);
        SubmitOutcome::Accepted
    }

    /// Returns the memory that the jobs take whose end is not stored, in bytes.
    fn job_memory_in_use(&self) -> u64 {
        let live = self.live.iter().filter_map(|key| self.jobs.get(key));
        live.map(|job| job.memory_bytes)
            .fold(0, u64::saturating_add)
    }

    /// Withdraws a submission that was never part of a batch; returns whether the job is unknown
    /// afterwards.
    pub fn withdraw(&mut self, key: JobKey) -> bool {
        let Some(job) = self.jobs.get(&key) else {
            return !self.refused_jobs.contains(&key);
        };
        let unsent = !job.stored && !job.sent;
        if unsent {
            self.dirty_jobs.remove(&key);
            self.jobs.remove(&key);
            self.live.remove(&key);
        }
        unsent
    }

    /// Cancels a job; `None` when it is not known. Returns whether the cancellation is stored.
    pub fn cancel(&mut self, key: JobKey, now: Millis) -> Option<bool> {
        let job = self.jobs.get(&key)?;
        if job.ended.is_some() {
            return Some(true);
        }
        if job.ending.is_none() {
            self.end_job(key, JobStatus::Cancelled, now);
        }
        Some(false)
    }

    /// Tells whether a job was accepted, stored or not, and is still kept, or the store may hold a
    /// record of it.
    pub fn knows(&self, key: JobKey) -> bool {
        self.jobs.contains_key(&key) || self.refused_jobs.contains(&key)
    }

    /// Returns the status of a stored job.
    pub fn status(&self, key: JobKey) -> Option<JobStatus> {
        let job = self.jobs.get(&key)?;
        job.stored.then(|| job.status())
    }

    /// Returns the number of stored jobs of a queue of which no task has started.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let live = self.live.iter().filter_map(|key| self.jobs.get(key));
        let waiting = live.filter(|job| job.queue() == queue && job.stored && !job.started);
        u64::try_from(waiting.count()).unwrap_or(u64::MAX)
    }

    /// Removes and returns the actions decided so far.
    pub fn take_actions(&mut self) -> Vec<CellAction> {
        std::mem::take(&mut self.actions)
    }

    /// Includes the newest state of an executor in the next batch.
    pub(crate) fn mark_executor_dirty(&mut self, executor_index: ExecutorIndex) {
        self.dirty_executors.insert(executor_index);
    }

    /// Includes the newest state of a job in the next batch.
    pub(crate) fn mark_dirty(&mut self, key: JobKey) {
        self.dirty_jobs.insert(key);
    }

    /// Tells whether anything that has to be stored is in no batch yet.
    pub fn has_unbatched(&self) -> bool {
        !self.dirty_jobs.is_empty()
            || self
                .dirty_executors
                .iter()
                .any(|executor_index| self.is_record_storable(*executor_index))
            || self
                .executors
                .iter()
                .any(|(_, e)| e.seen_through > e.batched_through)
    }

    /// Collects everything that has to be stored and is in no batch yet. `finish_batch` must be
    /// called once the batch is stored, in the order of the batches.
    pub fn begin_batch(&mut self, now: Millis, now_unix_ms: u64) -> StoreBatch {
        self.batches += 1;
        let mut batch = StoreBatch {
            number: self.batches,
            ..StoreBatch::default()
        };
        let limit = self.settings.max_record_bytes;
        for key in std::mem::take(&mut self.dirty_jobs) {
            if self.jobs.get(&key).is_some_and(|job| job.outgrows(limit)) {
                self.end_outgrown(key, now);
            }
            let Some(job) = self.jobs.get_mut(&key) else {
                batch.records.push((key, None));
                continue;
            };
            if job.ending.is_none() && job.all_tasks_done() {
                job.ending = Some(JobStatus::Completed);
            }
            job.sent = true;
            let record = (!job.unstorable).then(|| job.record(limit, now_unix_ms));
            batch.records.push((key, record));
        }
        self.check_exclusion(now);
        let witness = self.earlier_excluded;
        for executor_index in std::mem::take(&mut self.dirty_executors) {
            if !self.is_record_storable(executor_index) {
                self.dirty_executors.insert(executor_index);
                continue;
            }
            let executor = self.executors.get_mut(executor_index);
            let record = executor.record(witness, now);
            if executor.record_refused && record.is_some() {
                continue;
            }
            executor.mark_record_batched(batch.number, record.as_ref());
            batch.executors.push((executor.entry.id.clone(), record));
        }
        batch.done = std::mem::take(&mut self.done_unbatched);
        for (executor_index, executor) in self.executors.iter_mut() {
            if executor.seen_through > executor.batched_through {
                executor.batched_through = executor.seen_through;
                let life = executor.entry.life;
                batch
                    .ends
                    .push((executor_index, life, executor.seen_through));
            }
        }
        batch
    }

    /// Ends a live job with so many failed runs that they can't be stored.
    fn end_outgrown(&mut self, key: JobKey, now: Millis) {
        if self.jobs.get(&key).is_some_and(|job| job.ending.is_none()) {
            log::warn!(job:% = key, limit = self.settings.max_record_bytes;
                "job ended as failed: its failed runs no longer fit into its record");
            self.end_job(key, JobStatus::Failed, now);
            self.dirty_jobs.remove(&key);
        }
    }

    /// Applies the state changes that a stored batch makes durable; returns the jobs whose end it
    /// stored.
    pub fn finish_batch(&mut self, batch: StoreBatch) -> Vec<(JobKey, JobStatus)> {
        for (id, record) in batch.executors {
            if let Some(executor_index) = self.executors.index_of(&id) {
                let executor = self.executors.get_mut(executor_index);
                executor.mark_record_stored(batch.number, record.as_ref());
            }
        }
        let held = batch.number <= self.ends_held_through;
        for (executor_index, life, through) in batch.ends.into_iter().filter(|_| !held) {
            let executor = self.executors.get_mut(executor_index);
            if executor.entry.life == life {
                executor.stored_through = executor.stored_through.max(through);
            }
        }
        for task in batch.done {
            self.finish_task(task);
            self.release_finished_occurrence(task);
        }
        let mut ended = Vec::new();
        for (key, record) in batch.records {
            self.refused_jobs.remove(&key);
            let Some(job) = self.jobs.get_mut(&key) else {
                continue;
            };
            // A job that was submitted again after its key was deleted is not stored yet.
            if record.is_none() {
                continue;
            }
            let first = !job.stored;
            job.stored = true;
            if let Some(JobRecord::Ended(record)) = record
                && job.ended.is_none()
            {
                job.ended = Some((record.status, record.ended_unix_ms));
                ended.push((key, record.status));
            }
            if first && job.ending.is_none() {
                self.queue_open_steps(key);
            }
        }
        for (key, _) in &ended {
            self.close_job(*key);
        }
        ended
    }

    /// Removes ended jobs whose retention has passed.
    pub fn forget_ended(&mut self, now_unix_ms: u64) {
        let retention = self.settings.ended_retention.get();
        let retention = retention.saturating_add(Self::FORGET_MARGIN_MS);
        let old = |job: &JobState| {
            let since = job.ended.map(|(_, at)| now_unix_ms.saturating_sub(at));
            since.is_some_and(|since| since > retention)
        };
        let keys: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| old(job))
            .map(|(key, _)| *key)
            .collect();
        for key in keys {
            self.jobs.remove(&key);
            self.dirty_jobs.insert(key);
        }
        self.forget_accounts();
    }

    /// Added to the retention of ended jobs, because the clocks of daemons differ.
    const FORGET_MARGIN_MS: u64 = 10_000;

    /// Returns counts of jobs, steps, runs and executors.
    pub fn summary(&self, now: Millis) -> CellSummary {
        let mut summary = CellSummary {
            live_jobs: self.live.len(),
            ended_jobs: self.jobs.len() - self.live.len().min(self.jobs.len()),
            ready_steps: self.ready.len(),
            waiting_advice: self.eligibility_queue.waiting(),
            accounts: self.account_summaries(),
            ..CellSummary::default()
        };
        for (_, executor) in self.executors.iter() {
            summary.active_runs += executor.runs.len();
            let used = executor.used.cpu_millis.get();
            summary.used_cpu = summary.used_cpu.saturating_add(used);
            if executor.listed {
                let total = executor.entry.capacity.cpu_millis.get();
                summary.total_cpu = summary.total_cpu.saturating_add(total);
            }
            summary.usable_executors += usize::from(executor.accepts_work(now));
            summary.unsettled_executors += usize::from(executor.blocks_inherited());
            summary.foreign_executors += usize::from(executor.fence == FenceState::Foreign);
        }
        summary
    }

    /// Returns the identifier of an executor.
    pub(crate) fn executor_id(&self, executor_index: ExecutorIndex) -> ExecutorId {
        self.executors.get(executor_index).entry.id.clone()
    }
}

impl CellScheduler {
    /// Returns the state of a step, if its job is known and its occurrence open.
    pub(crate) fn step_state(&self, step: StepRef) -> Option<&StepState> {
        let job = self.jobs.get(&step.job)?;
        let occurrence = job.occurrences.get(step.occurrence as usize)?;
        occurrence.steps.get(usize::from(step.step))
    }

    /// Returns the rules in force for a job: those of its queue in the configuration, or its own if
    /// the queue is no longer configured.
    pub(crate) fn rules_in_force<'a>(&'a self, job: &'a JobState) -> &'a Arc<QueueRules> {
        let configured = self.rules.queues.get(&job.rules.name);
        configured.unwrap_or(&job.rules)
    }

    /// Returns what decides on which executors tasks of a step can run: its specification, the rules
    /// in force and its state.
    pub(crate) fn step_needs(&self, step: StepRef) -> Option<(&StepSpec, &QueueRules, &StepState)> {
        let job = self.jobs.get(&step.job)?;
        let spec = self.step_spec(step)?;
        Some((spec, self.rules_in_force(job), self.step_state(step)?))
    }

    pub(crate) fn task_state(&self, task: TaskRef) -> Option<&TaskState> {
        self.step_state(task.step)?.tasks.get(task.index)
    }

    /// Returns the phase of a task.
    pub(crate) fn task_phase(&self, task: TaskRef) -> Option<TaskPhase> {
        Some(self.task_state(task)?.phase)
    }
}
