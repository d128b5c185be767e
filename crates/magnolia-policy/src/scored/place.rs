//! Choice of a worker for a task.

use magnolia_types::{JobKind, Millis, ResourceVector, TaskIndex, TaskRef, WorkerId};

use super::ScoredEngine;
use super::job_queues::{JobEntry, JobIndex};
use crate::first_fit::count_fitting;
use crate::fit_index::FitQuery;
use crate::resource_ledger::WorkerIndex;

/// Maximum number of workers scored in each level of a pool, the tightest fits first.
const PER_LEVEL: usize = 3;
/// Number of scored workers after which no further level of a pool is searched.
const PER_POOL: usize = 24;
/// Replaces `PER_LEVEL` and `PER_POOL` for services, so that the candidates are on several racks.
const SPREAD_CANDIDATES: usize = 256;
/// Weight of the difference between the CPU and the memory that are left over, as fractions of the
/// capacity, relative to the larger of the two fractions; docs/POLICY.md has the figures for other
/// weights.
const IMBALANCE_WEIGHT: f64 = 16.0;
/// Penalty for each task of the same service on the rack; exceeds any difference in packing.
const SAME_RACK_PENALTY: f64 = 50.0;
/// Penalty for a worker on which tasks failed since its last success.
const SUSPECT_PENALTY: f64 = 100.0;
/// Penalty for a worker that is reserved for another job.
const RESERVED_PENALTY: f64 = 1.0;

/// What a waiting task of a job requires.
#[derive(Clone, Copy, Debug)]
pub struct TaskDemand {
    /// The job.
    pub job: JobIndex,
    /// Resources to allocate.
    pub size: ResourceVector,
    /// Time of the decision.
    pub now: Millis,
    /// When the task is expected to end; `None` for services and unknown run times.
    pub end: Option<Millis>,
    /// Query for the index of workers by free resources.
    pub fit: FitQuery,
}

/// Task, worker and allocated resources of a start.
pub type StartMember = (TaskIndex, WorkerId, ResourceVector);

impl ScoredEngine {
    /// Returns what a task of the job requires.
    pub fn demand_of(&self, index: JobIndex, now: Millis) -> Option<TaskDemand> {
        let job = self.queues.job(index)?;
        let spec = &job.spec;
        let is_service = spec.kind == JobKind::Service;
        let learned = self.estimator.allocation_size(&job.queue, &spec.size);
        let fits_any_worker = |size: &ResourceVector| {
            self.workers_by_capacity
                .keys()
                .any(|capacity| size.fits_in(capacity))
        };
        let size = if fits_any_worker(&learned) {
            learned
        } else {
            spec.size
        };
        let run = self.estimator.run_time(&job.queue, spec.run_ms);
        let class = self.queues.queue(job.queue).class;
        let rule = &self.queues.classes[class].rule;
        // If a class below its floor left the headroom free, a flood of an urgent class would
        // take it instead.
        let may_use_headroom =
            is_service || self.rules.is_urgent(rule) || self.is_below_floor(class);
        let fits_without_accelerators =
            |capacity: &ResourceVector| capacity.accelerators == 0 && size.fits_in(capacity);
        let is_spread = is_service;
        Some(TaskDemand {
            job: index,
            size,
            now,
            end: run
                .filter(|_| !is_service)
                .map(|run| now.saturating_add(run)),
            fit: FitQuery {
                size,
                headroom_percent: if may_use_headroom {
                    0
                } else {
                    self.rules.headroom_percent
                },
                may_use_accelerator_share: !self
                    .workers_by_capacity
                    .keys()
                    .any(fits_without_accelerators),
                per_level: if is_spread {
                    SPREAD_CANDIDATES
                } else {
                    PER_LEVEL
                },
                per_pool: if is_spread {
                    SPREAD_CANDIDATES
                } else {
                    PER_POOL
                },
            },
        })
    }

    /// Returns a worker of the job's plan on which the task fits now, otherwise the worker with the
    /// best score; `None` when the task fits on none.
    pub fn find_worker(&self, demand: &TaskDemand) -> Option<WorkerIndex> {
        let job = self.queues.job(demand.job)?;
        if let Some(worker) = self.planned_worker(demand) {
            return Some(worker);
        }
        if demand.size.accelerators > 0 {
            return self.best_of(job, demand, true);
        }
        self.best_of(job, demand, false)
            .or_else(|| self.best_of(job, demand, true))
    }

    /// Returns a worker of the job's plan on which the task fits now.
    fn planned_worker(&self, demand: &TaskDemand) -> Option<WorkerIndex> {
        let workers = &self.plans.plan(demand.job)?.workers;
        let fits_on = |worker: &&WorkerIndex| {
            let entry = self.ledger.entry(**worker);
            let headroom = demand.fit.headroom(&entry.view.capacity);
            entry.is_usable() && demand.size.saturating_add(&headroom).fits_in(&entry.free())
        };
        workers.iter().find(fits_on).copied()
    }

    /// Returns the best worker whose capacity includes accelerators, or the best of the others.
    fn best_of(
        &self,
        job: &JobEntry,
        demand: &TaskDemand,
        with_accelerators: bool,
    ) -> Option<WorkerIndex> {
        let has_failed = self.health.has_failed(&job.id);
        let mut best: Option<(f64, WorkerIndex)> = None;
        self.index
            .visit(&demand.fit, with_accelerators, &mut |worker, free| {
                let is_avoided = has_failed && self.health.avoids(&job.id, worker, demand.now);
                if is_avoided
                    || !self
                        .plans
                        .admits(worker, demand.job, &demand.size, demand.end)
                {
                    return false;
                }
                let score = self.score(job, demand, worker, &free);
                if best.is_none_or(|(lowest, _)| score < lowest) {
                    best = Some((score, worker));
                }
                true
            });
        best.map(|(_, worker)| worker)
    }

    /// Scores a worker on which the task fits; lower is better.
    fn score(
        &self,
        job: &JobEntry,
        demand: &TaskDemand,
        worker: WorkerIndex,
        free: &ResourceVector,
    ) -> f64 {
        let entry = self.ledger.entry(worker);
        let capacity = &entry.view.capacity;
        let left = |free: u64, size: u64, all: u64| (free - size) as f64 / all.max(1) as f64;
        let cpu = left(
            free.cpu_millis.get(),
            demand.size.cpu_millis.get(),
            capacity.cpu_millis.get(),
        );
        let memory = left(
            free.memory_mib.get(),
            demand.size.memory_mib.get(),
            capacity.memory_mib.get(),
        );
        let packing = cpu.max(memory) + IMBALANCE_WEIGHT * (cpu - memory).abs();
        let mut score = packing * f64::from(self.rules.packing_weight) / 100.0;
        if !job.racks.is_empty() {
            score += SAME_RACK_PENALTY * f64::from(job.tasks_on_rack(&entry.view.rack));
        }
        if self.health.is_suspect(worker) {
            score += SUSPECT_PENALTY;
        }
        if self
            .plans
            .reservation(worker)
            .is_some_and(|reservation| reservation.job != demand.job)
        {
            score += RESERVED_PENALTY;
        }
        score
    }

    /// Places one waiting task of the job.
    pub fn place_one(&mut self, demand: &TaskDemand) -> Option<StartMember> {
        let task = *self.queues.job(demand.job)?.waiting.first()?;
        let worker = self.find_worker(demand)?;
        let member = self.allocate_start(demand, task, worker)?;
        self.plans.release_worker(demand.job, worker);
        self.reindex(worker);
        Some(member)
    }

    /// Places all waiting tasks of a gang, or none.
    pub fn place_gang(&mut self, demand: &TaskDemand) -> Option<Vec<StartMember>> {
        let job = self.queues.job(demand.job)?;
        let tasks: Vec<TaskIndex> = job.waiting.iter().copied().collect();
        let id = job.id.clone();
        if count_fitting(self.index.total_free(), &demand.size) < tasks.len() as u64 {
            return None;
        }
        let mut members = Vec::with_capacity(tasks.len());
        for &task in &tasks {
            let found = self.find_worker(demand);
            match found.and_then(|worker| self.allocate_start(demand, task, worker)) {
                Some(member) => members.push(member),
                None => break,
            }
        }
        if members.len() == tasks.len() {
            self.drop_plan(demand.job);
            return Some(members);
        }
        for (task, worker, _) in &members {
            self.cancel_start(demand, &TaskRef::new(id.clone(), *task), worker);
        }
        None
    }

    /// Allocates resources to a task and removes it from the waiting tasks of its job.
    pub fn allocate_start(
        &mut self,
        demand: &TaskDemand,
        task: TaskIndex,
        worker: WorkerIndex,
    ) -> Option<StartMember> {
        let job = self.queues.job(demand.job)?;
        let (queue, id) = (job.queue, job.id.clone());
        if !self
            .ledger
            .allocate_start(TaskRef::new(id, task), worker, demand.size)
        {
            return None;
        }
        self.queues.remove_waiting(demand.job, task);
        let entry = self.ledger.entry(worker);
        let (name, rack) = (entry.view.worker.clone(), entry.view.rack.clone());
        if let Some(job) = self.queues.job_mut(demand.job) {
            job.active += 1;
            job.count_rack(&rack, true);
        }
        self.queues.allocate(queue, &demand.size, &self.total);
        self.plans
            .started(worker, demand.job, &demand.size, demand.end);
        self.reindex(worker);
        Some((task, name, demand.size))
    }

    /// Cancels the start of a task of a gang that does not fit as a whole.
    fn cancel_start(&mut self, demand: &TaskDemand, task: &TaskRef, name: &WorkerId) {
        let Some(pending) = self.ledger.cancel_start(task, name) else {
            return;
        };
        let rack = self.ledger.entry(pending.worker).view.rack.clone();
        if let Some(job) = self.queues.job_mut(demand.job) {
            job.active = job.active.saturating_sub(1);
            job.count_rack(&rack, false);
            let queue = job.queue;
            self.queues.release(queue, &pending.size, &self.total);
        }
        self.queues.add_waiting(demand.job, [task.task]);
        self.plans
            .start_cancelled(pending.worker, demand.job, &pending.size, demand.end);
        self.reindex(pending.worker);
    }
}
