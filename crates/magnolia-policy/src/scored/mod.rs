//! Placement by scores with floors, quotas, reservations, preemption and quarantine.

mod decide;
mod explain;
mod job_queues;
mod maintenance;
mod place;
mod plan;
mod plan_table;

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use magnolia_config::ConfigDocument;
use magnolia_types::{
    AttemptId, JobId, JobKind, JobSpec, Millis, ResourceVector, TaskRef, WorkerId, stable_hash,
};

use self::job_queues::{JobIndex, JobQueues, QueueIndex};
use self::plan_table::PlanTable;
use crate::estimates::{Estimator, RunObservation};
use crate::first_fit::count_fitting;
use crate::fit_index::FitIndex;
use crate::resource_ledger::{ResourceLedger, RunningAttempt, WorkerIndex};
use crate::rules_view::RulesView;
use crate::worker_health::{HealthTracker, JobSignature};
use crate::{
    AttemptRecord, PlacementDecision, PlacementEngine, PreemptionAction, TaskEnd, WaitingJob,
    WorkerCondition, WorkerView,
};

/// Longest time by which a short job may overtake a longer one of its lane.
const MAX_OVERTAKE: Millis = Millis::from_secs(600);
/// A job goes back in its lane by this multiple of its run time at packing weight 0.
const OVERTAKE_FACTOR: u64 = 4;

/// An attempt that was told to give way.
#[derive(Clone, Copy, Debug)]
struct PendingPreemption {
    action: PreemptionAction,
    since: Millis,
}

/// An attempt that runs with a part of its processors.
#[derive(Clone, Copy, Debug)]
struct ThrottleEntry {
    full: ResourceVector,
    since: Millis,
}

/// Scores workers for packing, headroom and scarce accelerators.
///
/// Jobs wait in lanes, one for each customer and class. A class below its floor goes first, then
/// the classes by rank, and in a class the lane with the least weighted share. What does not fit is
/// remembered until room is freed, so that a decision costs the same however much waits.
#[derive(Default)]
pub struct ScoredEngine {
    rules: RulesView,
    ledger: ResourceLedger,
    index: FitIndex,
    estimator: Estimator<QueueIndex>,
    health: HealthTracker,
    queues: JobQueues,
    plans: PlanTable,
    peak_usage: HashMap<AttemptId, ResourceVector>,
    pending_preemptions: HashMap<AttemptId, PendingPreemption>,
    throttled: HashMap<AttemptId, ThrottleEntry>,
    leaving: BTreeSet<WorkerIndex>,
    shapes: HashMap<ResourceVector, u32>,
    total: ResourceVector,
    given_up: Vec<(JobId, Arc<str>)>,
    /// Rises when room is freed; lanes that were blocked before are tried again.
    generation: u64,
    /// When blocked lanes are tried again without freed room.
    retry_at: Millis,
    /// Where the search for room of the next plan starts.
    plan_cursor: usize,
}

impl ScoredEngine {
    /// Creates an engine without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Files a worker in the index by its present free room.
    fn reindex(&mut self, worker: WorkerIndex) {
        let entry = self.ledger.entry(worker);
        if entry.is_usable() && !self.health.is_quarantined(worker) {
            let reserved = self.plans.reservation(worker).is_some();
            self.index
                .insert(worker, &entry.view.capacity, &entry.free(), reserved);
        } else {
            self.index.remove(worker);
        }
    }

    /// Files a worker on which room was freed.
    fn resources_freed(&mut self, worker: WorkerIndex) {
        self.generation += 1;
        self.reindex(worker);
    }

    fn count_shape(&mut self, capacity: ResourceVector, is_added: bool) {
        let count = self.shapes.entry(capacity).or_default();
        if is_added {
            *count += 1;
            self.total = self.total.saturating_add(&capacity);
            return;
        }
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.shapes.remove(&capacity);
        }
        self.total = self.total.checked_sub(&capacity).unwrap_or_default();
    }

    /// Drops the plan of a job and frees the workers that it kept.
    fn drop_plan(&mut self, job: JobIndex) {
        for worker in self.plans.remove(job) {
            self.resources_freed(worker);
        }
    }

    /// Drops the plan that keeps room on a worker, because the worker takes no new work.
    fn drop_plan_on(&mut self, worker: WorkerIndex) {
        if let Some(job) = self
            .plans
            .reservation(worker)
            .map(|reservation| reservation.job)
        {
            self.drop_plan(job);
        }
    }

    fn job_for(&mut self, id: &JobId, spec: &Arc<JobSpec>, submitted: Millis) -> JobIndex {
        if let Some(index) = self.queues.index_of(id) {
            return index;
        }
        let queue = self.queues.queue_for(spec, &self.rules);
        let bias = self.overtake_bias(queue, spec);
        self.queues
            .add_job(id.clone(), Arc::clone(spec), queue, submitted, bias)
    }

    /// Returns by how much longer jobs go back in their lane, in milliseconds.
    ///
    /// Short jobs first lowers the waiting time; the bound keeps long jobs from starving.
    fn overtake_bias(&self, queue: QueueIndex, spec: &JobSpec) -> u64 {
        if spec.kind == JobKind::Service {
            return 0;
        }
        let longest = MAX_OVERTAKE.get();
        let run = self.estimator.run_time(&queue, spec.run_ms);
        let back = run.map_or(longest / 2, |run| run.get().saturating_mul(OVERTAKE_FACTOR));
        back.min(longest) * u64::from(100 - self.rules.packing_weight) / 100
    }

    fn release_attempt(&mut self, running: &RunningAttempt) -> Option<JobIndex> {
        let index = self.queues.index_of(&running.record.task.job)?;
        let queue = self.queues.job(index)?.queue;
        let rack = self.ledger.entry(running.worker).view.rack.clone();
        self.queues.release(queue, &running.size, &self.total);
        if let Some(job) = self.queues.job_mut(index) {
            job.active = job.active.saturating_sub(1);
            job.count_rack(&rack, false);
        }
        Some(index)
    }

    fn learn(&mut self, running: &RunningAttempt, peak: Option<ResourceVector>, now: Millis) {
        let queue = self.queues.queue_for(&running.record.spec, &self.rules);
        let seen = RunObservation {
            declared: running.record.spec.size,
            peak,
            declared_run: running.record.spec.run_ms,
            ran: now.saturating_sub(running.record.started),
        };
        self.estimator.observe(queue, &seen);
    }

    fn handle_failure(&mut self, running: &RunningAttempt, now: Millis) {
        let task = &running.record.task;
        let spec = &running.record.spec;
        let index = self.queues.index_of(&task.job);
        let job = index.and_then(|index| self.queues.job(index));
        if job.is_some_and(|job| job.withdrawn) {
            return;
        }
        let usable = self.shapes.values().map(|&count| count as usize).sum();
        let response = self.health.failed(
            running.worker,
            (&task.job, task.task),
            signature(spec),
            (spec.max_attempts, usable),
            now,
        );
        if response.quarantine {
            self.drop_plan_on(running.worker);
            self.generation += 1;
        }
        if response.give_up {
            let workers = self.health.failed_workers(&task.job);
            let reason = format!("the job failed on {workers} workers");
            self.given_up.push((task.job.clone(), reason.into()));
            self.health.forget_job(&task.job);
            if let Some(index) = self.queues.index_of(&task.job) {
                self.drop_plan(index);
                self.queues.withdraw(index);
            }
        }
    }

    fn quota_violation(&self, spec: &JobSpec) -> Option<Arc<str>> {
        let quota = self.rules.customer(&spec.customer).quota?;
        let together = match spec.kind {
            JobKind::Gang => u64::from(spec.tasks),
            _ => 1,
        };
        (count_fitting(&quota, &spec.size) < together).then(|| {
            let customer = &spec.customer;
            let size = &spec.size;
            format!("{together} tasks of {size} exceed the quota of {customer}, {quota}").into()
        })
    }
}

impl PlacementEngine for ScoredEngine {
    fn set_rules(&mut self, document: &ConfigDocument) {
        self.rules = RulesView::new(document);
        self.queues.set_rules(&self.rules);
        self.generation += 1;
    }

    fn upsert_worker(&mut self, view: WorkerView) {
        let known = self.ledger.index_of(&view.worker);
        let known = known.filter(|&worker| !self.ledger.entry(worker).is_removed());
        if let Some(worker) = known {
            // Owners repeat what they know; only a change may make blocked jobs fit.
            if self.ledger.entry(worker).view == view {
                return;
            }
            let capacity = self.ledger.entry(worker).view.capacity;
            self.count_shape(capacity, false);
        }
        self.count_shape(view.capacity, true);
        let condition = view.condition;
        let worker = self.ledger.upsert_worker(view);
        if condition == WorkerCondition::Leaving {
            self.leaving.insert(worker);
        } else {
            self.leaving.remove(&worker);
        }
        if condition != WorkerCondition::Usable {
            self.drop_plan_on(worker);
        }
        self.resources_freed(worker);
    }

    fn remove_worker(&mut self, name: &WorkerId) {
        let Some(worker) = self.ledger.index_of(name) else {
            return;
        };
        if self.ledger.entry(worker).is_removed() {
            return;
        }
        let capacity = self.ledger.entry(worker).view.capacity;
        self.count_shape(capacity, false);
        self.drop_plan_on(worker);
        self.index.remove(worker);
        self.leaving.remove(&worker);
        self.health.forget_worker(worker);
        self.ledger.remove_worker(name);
    }

    fn never_fits(&self, spec: &JobSpec) -> Option<Arc<str>> {
        let needed = match spec.kind {
            JobKind::Gang => u64::from(spec.tasks),
            _ => 1,
        };
        let shapes = self.shapes.iter();
        let fitting =
            shapes.map(|(capacity, &count)| count_fitting(capacity, &spec.size) * u64::from(count));
        let fitting: u64 = fitting.sum();
        if fitting >= needed {
            return self.quota_violation(spec);
        }
        let size = &spec.size;
        let reason = if fitting == 0 {
            format!("no worker of the inventory has {size}")
        } else {
            format!("the empty inventory holds {fitting} tasks of {size}; the gang has {needed}")
        };
        Some(reason.into())
    }

    fn enqueue(&mut self, job: WaitingJob) {
        // The caller learns of a job that was given up only with the next decision.
        if self.given_up.iter().any(|(id, _)| *id == job.job) {
            return;
        }
        let index = self.job_for(&job.job, &job.spec, job.submitted);
        if let Some(entry) = self.queues.job_mut(index) {
            entry.withdrawn = false;
        }
        let is_active = |task: &u32| {
            let task = TaskRef::new(job.job.clone(), *task);
            self.ledger.is_task_active(&task)
        };
        let tasks: Vec<u32> = job
            .tasks
            .iter()
            .copied()
            .filter(|task| !is_active(task))
            .collect();
        self.queues.add_waiting(index, tasks);
        self.queues.remove_if_idle(index);
    }

    fn withdraw(&mut self, jobs: &[JobId]) {
        for job in jobs {
            self.health.forget_job(job);
            if let Some(index) = self.queues.index_of(job) {
                self.drop_plan(index);
                self.queues.withdraw(index);
            }
        }
    }

    fn attempt_started(&mut self, record: AttemptRecord) {
        let spec = Arc::clone(&record.spec);
        let task = record.task.clone();
        let (size, started) = (record.size, record.started);
        let Some((worker, released)) = self.ledger.start_attempt(record) else {
            return;
        };
        let index = self.job_for(&task.job, &spec, started);
        self.queues.remove_waiting(index, task.task);
        let rack = self.ledger.entry(worker).view.rack.clone();
        let queue = match self.queues.job_mut(index) {
            Some(job) => {
                if released.is_none() {
                    job.active += 1;
                    job.count_rack(&rack, true);
                }
                job.queue
            }
            None => return,
        };
        if let Some(released) = released {
            self.queues.release(queue, &released.size, &self.total);
        }
        self.queues.allocate(queue, &size, &self.total);
        self.reindex(worker);
    }

    fn start_failed(&mut self, task: &TaskRef, name: &WorkerId, _now: Millis) {
        let Some(pending) = self.ledger.cancel_start(task, name) else {
            return;
        };
        self.health.probe_interrupted(pending.worker);
        let rack = self.ledger.entry(pending.worker).view.rack.clone();
        if let Some(index) = self.queues.index_of(&task.job)
            && let Some(job) = self.queues.job_mut(index)
        {
            job.active = job.active.saturating_sub(1);
            job.count_rack(&rack, false);
            let (queue, withdrawn) = (job.queue, job.withdrawn);
            self.queues.release(queue, &pending.size, &self.total);
            if !withdrawn {
                self.queues.add_waiting(index, [task.task]);
            }
            self.queues.remove_if_idle(index);
        }
        self.resources_freed(pending.worker);
    }

    fn attempt_ended(&mut self, attempt: &AttemptId, end: TaskEnd, now: Millis) {
        let peak = self.peak_usage.remove(attempt);
        self.pending_preemptions.remove(attempt);
        let was_throttled = self.throttled.remove(attempt).is_some();
        let Some(running) = self.ledger.end_attempt(attempt) else {
            return;
        };
        let index = self.release_attempt(&running);
        match end {
            TaskEnd::Succeeded => {
                // A throttled run says nothing about the usual usage and run time.
                if !was_throttled {
                    self.learn(&running, peak, now);
                }
                self.health.succeeded(running.worker);
            }
            TaskEnd::Failed => self.handle_failure(&running, now),
            TaskEnd::Interrupted => self.health.probe_interrupted(running.worker),
        }
        if let Some(index) = index {
            self.queues.remove_if_idle(index);
        }
        self.resources_freed(running.worker);
    }

    fn observe_usage(&mut self, attempt: &AttemptId, usage: ResourceVector) {
        // Usage lags: a worker reports zero until it has measured a task for the first time.
        if usage.is_zero() || self.ledger.attempt(attempt).is_none() {
            return;
        }
        let peak = self.peak_usage.entry(attempt.clone()).or_default();
        *peak = ResourceVector {
            cpu_millis: peak.cpu_millis.max(usage.cpu_millis),
            memory_mib: peak.memory_mib.max(usage.memory_mib),
            accelerators: peak.accelerators.max(usage.accelerators),
        };
    }

    fn decide(&mut self, now: Millis, limit: usize) -> Vec<PlacementDecision> {
        self.decide_round(now, limit)
    }

    fn explain(&self, job: &JobId, now: Millis) -> Vec<Arc<str>> {
        self.explain_job(job, now)
    }

    fn waiting_tasks(&self) -> usize {
        self.queues.waiting()
    }

    fn quarantined_workers(&self) -> Vec<WorkerId> {
        let workers = self.health.quarantined();
        workers
            .map(|worker| self.ledger.entry(worker).view.worker.clone())
            .collect()
    }
}

fn signature(spec: &JobSpec) -> JobSignature {
    stable_hash(format!("{}\u{0}{}\u{0}{}", spec.customer, spec.class, spec.size).as_bytes())
}
