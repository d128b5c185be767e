//! Placement by scores, with class floors, quotas, reservations, preemption and quarantine.

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

/// Maximum time by which a long job is moved back in its queue, behind shorter ones that were
/// submitted up to that much later.
const MAX_ORDER_BIAS: Millis = Millis::from_secs(600);
/// At packing weight 0, a job is moved back in its queue by this multiple of its run time.
const ORDER_BIAS_FACTOR: u64 = 4;

/// A preemption of an attempt that was told to checkpoint or stop and has not ended yet.
#[derive(Clone, Copy, Debug)]
struct PendingPreemption {
    action: PreemptionAction,
    since: Millis,
}

/// A throttled attempt: its size before throttling, and when throttling began.
#[derive(Clone, Copy, Debug)]
struct ThrottleEntry {
    full: ResourceVector,
    since: Millis,
}

/// Starts each task on the worker with the best score among those that have enough resources.
///
/// The score favours workers on which little is left over and CPU and memory are left over evenly.
/// Headroom is kept for services, urgent work and classes below their floor. The CPU and memory set
/// aside for the free accelerators of a worker are kept for tasks that use accelerators, and for
/// tasks too large for any worker without accelerators.
///
/// Jobs wait in queues, one for each customer and class. Classes below their floor are served
/// first, then the others by rank, and within a class the queue with the lowest weighted share.
/// A queue whose jobs do not fit is skipped until resources are freed or a retry interval has
/// passed, so that the cost of a decision does not grow with the number of waiting jobs.
#[derive(Default)]
pub struct ScoredEngine {
    rules: RulesView,
    ledger: ResourceLedger,
    index: FitIndex,
    estimator: Estimator<QueueIndex>,
    health: HealthTracker,
    queues: JobQueues,
    plans: PlanTable,
    /// Peak measured usage of running attempts.
    peak_usage: HashMap<AttemptId, ResourceVector>,
    pending_preemptions: HashMap<AttemptId, PendingPreemption>,
    throttled: HashMap<AttemptId, ThrottleEntry>,
    /// Workers that are about to leave.
    leaving: BTreeSet<WorkerIndex>,
    /// Number of workers by capacity.
    workers_by_capacity: HashMap<ResourceVector, u32>,
    /// Total capacity of all workers.
    total: ResourceVector,
    /// Jobs given up since the last round, with the reasons.
    given_up: Vec<(JobId, Arc<str>)>,
    /// Increases when resources are freed, and in other cases in which blocked jobs may fit; queues
    /// that were blocked at a lower generation are tried again.
    generation: u64,
    /// When blocked queues are tried again even if no resources were freed.
    retry_at: Millis,
    /// Position of the worker where the search for the next plan starts.
    plan_cursor: usize,
}

impl ScoredEngine {
    /// Creates an engine without workers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates a worker in the index; workers that take no new tasks are removed from it.
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

    /// Updates a worker on which resources were freed, so that blocked queues are tried again.
    fn resources_freed(&mut self, worker: WorkerIndex) {
        self.generation += 1;
        self.reindex(worker);
    }

    /// Adds a worker's capacity to the totals or subtracts it.
    fn count_capacity(&mut self, capacity: ResourceVector, is_added: bool) {
        let count = self.workers_by_capacity.entry(capacity).or_default();
        if is_added {
            *count += 1;
            self.total = self.total.saturating_add(&capacity);
            return;
        }
        *count = count.saturating_sub(1);
        if *count == 0 {
            self.workers_by_capacity.remove(&capacity);
        }
        self.total = self.total.checked_sub(&capacity).unwrap_or_default();
    }

    /// Drops the plan of a job and the reservations of its workers.
    fn drop_plan(&mut self, job: JobIndex) {
        for worker in self.plans.remove(job) {
            self.resources_freed(worker);
        }
    }

    /// Drops the plan that reserves a worker, because the worker takes no new tasks.
    fn drop_plan_on(&mut self, worker: WorkerIndex) {
        if let Some(job) = self
            .plans
            .reservation(worker)
            .map(|reservation| reservation.job)
        {
            self.drop_plan(job);
        }
    }

    /// Returns the position of a job, adding the job when it is new.
    fn job_for(&mut self, id: &JobId, spec: &Arc<JobSpec>, submitted: Millis) -> JobIndex {
        if let Some(index) = self.queues.index_of(id) {
            return index;
        }
        let queue = self.queues.queue_for(spec, &self.rules);
        let bias = self.order_bias(queue, spec);
        self.queues
            .add_job(id.clone(), Arc::clone(spec), queue, submitted, bias)
    }

    /// Returns by how many milliseconds a job is moved back in its queue, more for longer run times
    /// and less for a higher packing weight.
    ///
    /// Running short jobs first lowers the mean waiting time; the bound keeps long jobs from
    /// starving.
    fn order_bias(&self, queue: QueueIndex, spec: &JobSpec) -> u64 {
        if spec.kind == JobKind::Service {
            return 0;
        }
        let longest = MAX_ORDER_BIAS.get();
        let run = self.estimator.run_time(&queue, spec.run_ms);
        let back = run.map_or(longest / 2, |run| {
            run.get().saturating_mul(ORDER_BIAS_FACTOR)
        });
        back.min(longest) * u64::from(100 - self.rules.packing_weight) / 100
    }

    /// Subtracts an ended attempt from the counts of its job and its resources from the usage of
    /// its queue.
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

    /// Updates the estimates with a successful attempt.
    fn update_estimates(
        &mut self,
        running: &RunningAttempt,
        peak: Option<ResourceVector>,
        now: Millis,
    ) {
        let queue = self.queues.queue_for(&running.record.spec, &self.rules);
        let observation = RunObservation {
            declared: running.record.spec.size,
            peak,
            declared_run: running.record.spec.run_ms,
            ran: now.saturating_sub(running.record.started),
        };
        self.estimator.observe(queue, &observation);
    }

    /// Records a failed attempt, and quarantines its worker or gives up its job if need be.
    fn handle_failure(&mut self, running: &RunningAttempt, now: Millis) {
        let task = &running.record.task;
        let spec = &running.record.spec;
        let index = self.queues.index_of(&task.job);
        let job = index.and_then(|index| self.queues.job(index));
        if job.is_some_and(|job| job.withdrawn) {
            return;
        }
        let worker_count = self
            .workers_by_capacity
            .values()
            .map(|&count| count as usize)
            .sum();
        let effects = self.health.failed(
            running.worker,
            (&task.job, task.task),
            signature(spec),
            (spec.max_attempts, worker_count),
            now,
        );
        if effects.quarantine {
            self.drop_plan_on(running.worker);
            self.generation += 1;
        }
        if effects.give_up {
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

    /// Returns the reason if the tasks that start together exceed the quota of the customer.
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
            // The owner also reports unchanged workers; only a change may make blocked jobs fit.
            if self.ledger.entry(worker).view == view {
                return;
            }
            let capacity = self.ledger.entry(worker).view.capacity;
            self.count_capacity(capacity, false);
        }
        self.count_capacity(view.capacity, true);
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
        self.count_capacity(capacity, false);
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
        let workers_by_capacity = self.workers_by_capacity.iter();
        let fitting = workers_by_capacity
            .map(|(capacity, &count)| count_fitting(capacity, &spec.size) * u64::from(count));
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
        // Until the next round of decisions reports that a job was given up, the owner of the
        // partition may still queue its tasks.
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
        // An attempt found at a takeover may be of an unknown job, whose time of submission is not
        // known here; the start of the attempt is used instead.
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
                // The usage and run time of a throttled attempt are not typical.
                if !was_throttled {
                    self.update_estimates(&running, peak, now);
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
        // A worker reports zero until it has measured a task for the first time.
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
