//! Baseline placement engine: first come, first served, on the first worker that fits.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use magnolia_config::ConfigDocument;
use magnolia_types::{
    AttemptId, JobId, JobKind, JobSpec, Millis, ResourceVector, TaskIndex, TaskRef, WorkerId,
};

use crate::resource_ledger::{ResourceLedger, WorkerIndex};
use crate::{AttemptRecord, PlacementDecision, PlacementEngine, TaskEnd, WaitingJob, WorkerView};

/// A job and its waiting tasks.
struct QueuedJob {
    /// Position in the order of arrival.
    number: u64,
    spec: Arc<JobSpec>,
    tasks: BTreeSet<TaskIndex>,
    withdrawn: bool,
}

/// Starts jobs in order of arrival, each task on the first worker with enough free resources.
///
/// A job that does not fit blocks all later ones; the tasks of a gang start together or not at all.
/// Declared sizes are not corrected; there are no quotas, floors, preemption or quarantine.
pub struct FirstFitEngine {
    ledger: ResourceLedger,
    jobs: HashMap<JobId, QueuedJob>,
    order: BTreeMap<u64, JobId>,
    next_number: u64,
    waiting: usize,
}

impl FirstFitEngine {
    /// Creates an engine without workers.
    pub fn new() -> Self {
        Self {
            ledger: ResourceLedger::default(),
            jobs: HashMap::new(),
            order: BTreeMap::new(),
            next_number: 0,
            waiting: 0,
        }
    }

    fn first_fitting_worker(&self, size: &ResourceVector) -> Option<WorkerIndex> {
        let mut workers = self.ledger.workers();
        workers
            .find(|(_, entry)| entry.is_usable() && size.fits_in(&entry.free()))
            .map(|(index, _)| index)
    }

    /// Allocates resources to one task; returns `None` when no worker has enough.
    fn allocate_start(
        &mut self,
        job: &JobId,
        task: TaskIndex,
        size: ResourceVector,
    ) -> Option<(TaskIndex, WorkerId, ResourceVector)> {
        let worker = self.first_fitting_worker(&size)?;
        let is_allocated =
            self.ledger
                .allocate_start(TaskRef::new(job.clone(), task), worker, size);
        is_allocated.then(|| (task, self.ledger.entry(worker).view.worker.clone(), size))
    }

    /// Starts the tasks of a job that fit, at most `limit`; a gang starts whole or not at all.
    fn start_job(&mut self, job: &JobId, limit: usize) -> Vec<PlacementDecision> {
        let Some(queued) = self.jobs.get(job) else {
            return Vec::new();
        };
        let is_gang = queued.spec.kind == JobKind::Gang;
        let size = queued.spec.size;
        let count = if is_gang { queued.tasks.len() } else { limit };
        let tasks: Vec<TaskIndex> = queued.tasks.iter().copied().take(count).collect();
        let mut members = Vec::new();
        for &task in &tasks {
            match self.allocate_start(job, task, size) {
                Some(member) => members.push(member),
                None => break,
            }
        }
        if is_gang && members.len() < tasks.len() {
            for (task, worker, _) in members {
                let task = TaskRef::new(job.clone(), task);
                self.ledger.cancel_start(&task, &worker);
            }
            return Vec::new();
        }
        self.remove_waiting(job, &members);
        if is_gang {
            return vec![PlacementDecision::Start {
                job: job.clone(),
                members,
            }];
        }
        let starts = members.into_iter().map(|member| PlacementDecision::Start {
            job: job.clone(),
            members: vec![member],
        });
        starts.collect()
    }

    fn remove_waiting(&mut self, job: &JobId, members: &[(TaskIndex, WorkerId, ResourceVector)]) {
        let Some(queued) = self.jobs.get_mut(job) else {
            return;
        };
        for (task, _, _) in members {
            self.waiting -= usize::from(queued.tasks.remove(task));
        }
        if queued.tasks.is_empty() {
            self.order.remove(&queued.number);
        }
    }
}

impl Default for FirstFitEngine {
    fn default() -> Self {
        Self::new()
    }
}

impl PlacementEngine for FirstFitEngine {
    fn set_rules(&mut self, _document: &ConfigDocument) {}

    fn upsert_worker(&mut self, worker: WorkerView) {
        self.ledger.upsert_worker(worker);
    }

    fn remove_worker(&mut self, worker: &WorkerId) {
        self.ledger.remove_worker(worker);
    }

    fn never_fits(&self, spec: &JobSpec) -> Option<Arc<str>> {
        let workers = || self.ledger.workers().map(|(_, entry)| entry.view.capacity);
        let needed = if spec.kind == JobKind::Gang {
            u64::from(spec.tasks)
        } else {
            1
        };
        let fitting: u64 = workers()
            .map(|capacity| count_fitting(&capacity, &spec.size))
            .sum();
        (fitting < needed).then(|| {
            format!(
                "the empty inventory has places for {fitting} tasks of {}; {needed} must fit",
                spec.size
            )
            .into()
        })
    }

    fn enqueue(&mut self, job: WaitingJob) {
        let number = self.next_number;
        let queued = self.jobs.entry(job.job.clone()).or_insert(QueuedJob {
            number,
            spec: job.spec,
            tasks: BTreeSet::new(),
            withdrawn: false,
        });
        self.next_number += 1;
        queued.withdrawn = false;
        for task in job.tasks {
            if !self
                .ledger
                .is_task_active(&TaskRef::new(job.job.clone(), task))
            {
                self.waiting += usize::from(queued.tasks.insert(task));
            }
        }
        if !queued.tasks.is_empty() {
            self.order.insert(queued.number, job.job);
        }
    }

    fn withdraw(&mut self, jobs: &[JobId]) {
        for job in jobs {
            if let Some(queued) = self.jobs.get_mut(job) {
                self.waiting -= queued.tasks.len();
                queued.tasks.clear();
                queued.withdrawn = true;
                self.order.remove(&queued.number);
            }
        }
    }

    fn attempt_started(&mut self, record: AttemptRecord) {
        if let Some(queued) = self.jobs.get_mut(&record.task.job) {
            self.waiting -= usize::from(queued.tasks.remove(&record.task.task));
            if queued.tasks.is_empty() {
                self.order.remove(&queued.number);
            }
        }
        self.ledger.start_attempt(record);
    }

    fn start_failed(&mut self, task: &TaskRef, worker: &WorkerId, _now: Millis) {
        if self.ledger.cancel_start(task, worker).is_none() {
            return;
        }
        if let Some(queued) = self.jobs.get_mut(&task.job).filter(|job| !job.withdrawn) {
            self.waiting += usize::from(queued.tasks.insert(task.task));
            self.order.insert(queued.number, task.job.clone());
        }
    }

    fn attempt_ended(&mut self, attempt: &AttemptId, _end: TaskEnd, _now: Millis) {
        self.ledger.end_attempt(attempt);
    }

    fn observe_usage(&mut self, _attempt: &AttemptId, _usage: ResourceVector) {}

    fn decide(&mut self, _now: Millis, limit: usize) -> Vec<PlacementDecision> {
        let mut decisions = Vec::new();
        let mut starts = 0;
        while starts < limit {
            let Some(job) = self.order.first_entry().map(|entry| entry.get().clone()) else {
                break;
            };
            let started = self.start_job(&job, limit - starts);
            if started.is_empty() {
                break;
            }
            starts += started.len();
            decisions.extend(started);
        }
        decisions
    }

    fn explain(&self, job: &JobId, _now: Millis) -> Vec<Arc<str>> {
        let Some(queued) = self.jobs.get(job).filter(|job| !job.tasks.is_empty()) else {
            return vec!["no task of the job waits".into()];
        };
        let ahead = self.order.range(..queued.number).count();
        let tasks = queued.tasks.len();
        vec![
            format!("{tasks} tasks of {} wait", queued.spec.size).into(),
            format!("{ahead} jobs arrived earlier and go first").into(),
        ]
    }

    fn waiting_tasks(&self) -> usize {
        self.waiting
    }
}

/// Returns how many tasks of `size` fit in the `free` resources.
pub fn count_fitting(free: &ResourceVector, size: &ResourceVector) -> u64 {
    let cpu = free.cpu_millis.get().checked_div(size.cpu_millis.get());
    let memory = free.memory_mib.get().checked_div(size.memory_mib.get());
    let accelerators = free.accelerators.checked_div(size.accelerators);
    let amounts = [cpu, memory, accelerators.map(u64::from)];
    // A task of size zero fits any number of times; the bound keeps sums from overflowing.
    let max_count = u64::from(u32::MAX);
    amounts
        .into_iter()
        .flatten()
        .min()
        .unwrap_or(max_count)
        .min(max_count)
}
