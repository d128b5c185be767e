//! Which worker a task gets.

use magnolia_types::{JobKind, Millis, ResourceVector, TaskIndex, TaskRef, WorkerId};

use super::ScoredEngine;
use super::job_book::{JobEntry, JobIndex};
use crate::first_fit::places_in;
use crate::fit_index::FitNeed;
use crate::room_ledger::WorkerIndex;

/// Workers scored of each level of a pool; the tightest come first.
const PER_LEVEL: usize = 3;
/// Workers scored of each pool.
const PER_POOL: usize = 24;
/// Workers scored for a task of a service, so that several racks are among them.
const SPREAD_CANDIDATES: usize = 256;
/// Weight of uneven leftovers against the larger leftover; docs/POLICY.md has the figures of others.
const IMBALANCE_WEIGHT: f64 = 16.0;
/// Penalty for each task of the same service on the rack; above any packing gain.
const SAME_RACK_PENALTY: f64 = 50.0;
/// Penalty of a worker on which other tasks failed since its last success.
const SUSPECT_PENALTY: f64 = 100.0;
/// Penalty of room beside a reservation.
const EARMARKED_PENALTY: f64 = 1.0;

/// A task to place.
#[derive(Clone, Copy, Debug)]
pub struct TaskNeed {
    /// The job.
    pub job: JobIndex,
    /// Room to reserve.
    pub size: ResourceVector,
    /// Time of the decision.
    pub now: Millis,
    /// When it is expected to end.
    pub end: Option<Millis>,
    /// What to look for in the index.
    pub fit: FitNeed,
}

/// Task, worker and reserved room of a start.
pub type StartMember = (TaskIndex, WorkerId, ResourceVector);

impl ScoredEngine {
    /// Works out what a task of the job needs.
    pub fn need_of(&self, index: JobIndex, now: Millis) -> Option<TaskNeed> {
        let job = self.book.job(index)?;
        let spec = &job.spec;
        let is_service = spec.kind == JobKind::Service;
        let learned = self.estimates.reserved_size(&job.lane, &spec.size);
        let holds = |size: &ResourceVector| self.shapes.keys().any(|room| size.fits_in(room));
        let size = if holds(&learned) { learned } else { spec.size };
        let run = self.estimates.run_time(&job.lane, spec.run_ms);
        let class = &self.book.classes[self.book.lane(job.lane).class].rule;
        let may_use_headroom = is_service || self.rules.is_urgent(class);
        let plain = |room: &ResourceVector| room.accelerators == 0 && size.fits_in(room);
        let is_spread = is_service;
        Some(TaskNeed {
            job: index,
            size,
            now,
            end: run
                .filter(|_| !is_service)
                .map(|run| now.saturating_add(run)),
            fit: FitNeed {
                size,
                headroom_percent: if may_use_headroom {
                    0
                } else {
                    self.rules.headroom_percent
                },
                takes_accelerator_room: !self.shapes.keys().any(plain),
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

    /// Returns the worker with the best score, `None` when none has room.
    pub fn find_worker(&self, need: &TaskNeed) -> Option<WorkerIndex> {
        let job = self.book.job(need.job)?;
        if let Some(worker) = self.planned_worker(need) {
            return Some(worker);
        }
        if need.size.accelerators > 0 {
            return self.best_of(job, need, true);
        }
        self.best_of(job, need, false)
            .or_else(|| self.best_of(job, need, true))
    }

    /// Returns a worker of the job's plan that has the planned room by now.
    fn planned_worker(&self, need: &TaskNeed) -> Option<WorkerIndex> {
        let workers = &self.plans.plan(need.job)?.workers;
        let has_room = |worker: &&WorkerIndex| {
            let slot = self.ledger.slot(**worker);
            let kept = need.fit.kept_room(&slot.view.capacity);
            slot.is_usable() && need.size.saturating_add(&kept).fits_in(&slot.free())
        };
        workers.iter().find(has_room).copied()
    }

    fn best_of(
        &self,
        job: &JobEntry,
        need: &TaskNeed,
        with_accelerators: bool,
    ) -> Option<WorkerIndex> {
        let has_failed = self.health.has_failed(&job.id);
        let mut best: Option<(f64, WorkerIndex)> = None;
        self.index
            .visit(&need.fit, with_accelerators, &mut |worker, free| {
                let is_shunned = has_failed && self.health.shuns(&job.id, worker, need.now);
                if is_shunned || !self.plans.admits(worker, need.job, &need.size, need.end) {
                    return false;
                }
                let score = self.score(job, need, worker, &free);
                if best.is_none_or(|(lowest, _)| score < lowest) {
                    best = Some((score, worker));
                }
                true
            });
        best.map(|(_, worker)| worker)
    }

    /// Scores a worker that has room; lower is better.
    fn score(
        &self,
        job: &JobEntry,
        need: &TaskNeed,
        worker: WorkerIndex,
        free: &ResourceVector,
    ) -> f64 {
        let slot = self.ledger.slot(worker);
        let capacity = &slot.view.capacity;
        let left = |free: u64, size: u64, all: u64| (free - size) as f64 / all.max(1) as f64;
        let cpu = left(
            free.cpu_millis.get(),
            need.size.cpu_millis.get(),
            capacity.cpu_millis.get(),
        );
        let memory = left(
            free.memory_mib.get(),
            need.size.memory_mib.get(),
            capacity.memory_mib.get(),
        );
        let packing = cpu.max(memory) + IMBALANCE_WEIGHT * (cpu - memory).abs();
        let mut score = packing * f64::from(self.rules.packing_weight) / 100.0;
        if !job.racks.is_empty() {
            score += SAME_RACK_PENALTY * f64::from(job.tasks_on_rack(&slot.view.rack));
        }
        if self.health.is_suspect(worker) {
            score += SUSPECT_PENALTY;
        }
        if self
            .plans
            .earmark(worker)
            .is_some_and(|mark| mark.job != need.job)
        {
            score += EARMARKED_PENALTY;
        }
        score
    }

    /// Places one waiting task of the job.
    pub fn place_one(&mut self, need: &TaskNeed) -> Option<StartMember> {
        let task = *self.book.job(need.job)?.waiting.first()?;
        let worker = self.find_worker(need)?;
        let member = self.reserve(need, task, worker)?;
        self.plans.release_worker(need.job, worker);
        self.refile(worker);
        Some(member)
    }

    /// Places all waiting tasks of a gang or none.
    pub fn place_gang(&mut self, need: &TaskNeed) -> Option<Vec<StartMember>> {
        let job = self.book.job(need.job)?;
        let tasks: Vec<TaskIndex> = job.waiting.iter().copied().collect();
        let id = job.id.clone();
        if places_in(self.index.total_free(), &need.size) < tasks.len() as u64 {
            return None;
        }
        let mut members = Vec::with_capacity(tasks.len());
        for &task in &tasks {
            let found = self.find_worker(need);
            match found.and_then(|worker| self.reserve(need, task, worker)) {
                Some(member) => members.push(member),
                None => break,
            }
        }
        if members.len() == tasks.len() {
            self.drop_plan(need.job);
            return Some(members);
        }
        for (task, worker, _) in &members {
            self.unreserve(need, &TaskRef::new(id.clone(), *task), worker);
        }
        None
    }

    /// Holds room for a task and takes it out of the waiting ones.
    pub fn reserve(
        &mut self,
        need: &TaskNeed,
        task: TaskIndex,
        worker: WorkerIndex,
    ) -> Option<StartMember> {
        let job = self.book.job(need.job)?;
        let (lane, id) = (job.lane, job.id.clone());
        if !self
            .ledger
            .reserve(TaskRef::new(id, task), worker, need.size)
        {
            return None;
        }
        self.book.remove_waiting(need.job, task);
        let slot = self.ledger.slot(worker);
        let (name, rack) = (slot.view.worker.clone(), slot.view.rack.clone());
        if let Some(job) = self.book.job_mut(need.job) {
            job.held += 1;
            job.count_rack(&rack, true);
        }
        self.book.hold(lane, &need.size, &self.total);
        self.plans.started(worker, need.job, &need.size, need.end);
        self.refile(worker);
        Some((task, name, need.size))
    }

    /// Takes a reservation of an incomplete gang back.
    fn unreserve(&mut self, need: &TaskNeed, task: &TaskRef, name: &WorkerId) {
        let Some(held) = self.ledger.cancel_reservation(task, name) else {
            return;
        };
        let rack = self.ledger.slot(held.worker).view.rack.clone();
        if let Some(job) = self.book.job_mut(need.job) {
            job.held = job.held.saturating_sub(1);
            job.count_rack(&rack, false);
            let lane = job.lane;
            self.book.release(lane, &held.size, &self.total);
        }
        self.book.add_waiting(need.job, [task.task]);
        self.plans
            .returned(held.worker, need.job, &held.size, need.end);
        self.refile(held.worker);
    }
}
