//! Plans for jobs that do not fit now: when and where they start, and what is preempted for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use magnolia_types::{AttemptId, JobKind, Millis, ResourceVector};

use super::job_queues::{ClassIndex, JobIndex, dominant_share};
use super::place::TaskDemand;
use super::plan_table::JobPlan;
use super::{PendingPreemption, ScoredEngine, ThrottleEntry};
use crate::first_fit::count_fitting;
use crate::resource_ledger::{RunningAttempt, WorkerIndex};
use crate::{PlacementDecision, PreemptionAction};

/// Waiting time after which urgent work preempts less urgent work.
const PREEMPT_AFTER: Millis = Millis::new(500);
/// Waiting time after which a job other than a gang gets a plan without preemption.
const PLAN_AFTER: Millis = Millis::from_secs(2);
/// Expected time from a preemption to the end of the preempted attempt.
const EXPECTED_PREEMPTION_TIME: Millis = Millis::from_secs(2);
/// A plan is replaced when this time has passed since its expected start and since it was made.
const OVERDUE_GRACE: Millis = Millis::from_secs(5);
/// Maximum number of times that a plan is replaced, so that a moving plan cannot starve its job.
const MAX_REPLANS: u32 = 3;
/// Time after which a plan is tried again for a job for which none was possible.
const PLAN_RETRY: Millis = Millis::from_secs(1);
/// Maximum number of plans made in one round.
const MAX_PLANS_PER_ROUND: usize = 2;
/// Maximum number of plans of a class that cannot preempt and waits for attempts to end.
const MAX_WAITING_PLANS: usize = 1;
/// Maximum number of plans of a class that can preempt others.
const MAX_PREEMPTING_PLANS: usize = 16;
/// Maximum number of tasks in one preempting plan of a job other than a gang.
const MAX_PLANNED_TASKS: usize = 8;
/// Number of workers that a plan considers first, more for jobs of many tasks; the others follow
/// when these do not suffice.
const PLAN_WORKERS: usize = 256;
/// Percentage of its CPU that a throttled attempt keeps.
pub const THROTTLE_PERCENT: u8 = 25;

/// Time and worker of a possible start of one task.
type PlannedStart = (Millis, WorkerIndex);

impl ScoredEngine {
    /// Makes plans for blocked jobs, class by class in the order in which classes are served.
    pub fn plan_blocked(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        self.drop_stale_plans(now, decisions);
        let mut budget = MAX_PLANS_PER_ROUND;
        for class in self.class_order() {
            let preempts = self.can_preempt(class);
            let max_plans = if preempts {
                MAX_PREEMPTING_PLANS
            } else {
                MAX_WAITING_PLANS
            };
            let planned = self
                .plans
                .jobs()
                .filter(|&job| self.class_of(job) == Some(class));
            let plans_left = max_plans.saturating_sub(planned.count());
            for job in self
                .blocked_jobs(class, now, preempts)
                .into_iter()
                .take(plans_left)
            {
                if budget == 0 {
                    return;
                }
                budget -= 1;
                self.make_plan(job, preempts, now, 0, decisions);
            }
        }
    }

    /// Returns the class of a job.
    fn class_of(&self, job: JobIndex) -> Option<ClassIndex> {
        let job = self.queues.job(job)?;
        Some(self.queues.queue(job.queue).class)
    }

    /// Tells whether a less urgent preemptible class uses more than its floor.
    fn can_preempt(&self, class: ClassIndex) -> bool {
        let rank = self.queues.classes[class].rule.rank;
        let mut classes = self.queues.classes.iter();
        classes.any(|other| {
            let share = dominant_share(&other.used, &self.total) * 100.0;
            other.rule.preemptible
                && other.rule.rank < rank
                && share > f64::from(other.rule.floor_percent)
        })
    }

    /// Returns the first blocked job of each queue that is due for a plan, the oldest first.
    fn blocked_jobs(&self, class: ClassIndex, now: Millis, preempts: bool) -> Vec<JobIndex> {
        let queues = self.queues.classes[class].ready.iter();
        let mut jobs: Vec<(Millis, JobIndex)> = queues
            .filter_map(|&(_, queue)| {
                let queue = self.queues.queue(queue);
                queue.blocked_at?;
                let mut blocked = queue.blocked_jobs.iter();
                let index = *blocked.find(|&&index| self.is_due_for_plan(index, now, preempts))?;
                Some((self.queues.job(index)?.submitted, index))
            })
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, job)| job).collect()
    }

    /// Tells whether a blocked job has waited long enough for a plan.
    fn is_due_for_plan(&self, index: JobIndex, now: Millis, preempts: bool) -> bool {
        let Some(job) = self.queues.job(index).filter(|job| !job.waiting.is_empty()) else {
            return false;
        };
        let wait_needed = match (preempts, job.spec.kind) {
            (true, _) => PREEMPT_AFTER,
            (false, JobKind::Gang) => Millis::new(0),
            (false, _) => PLAN_AFTER,
        };
        let waited = now.saturating_sub(job.submitted);
        waited >= wait_needed && self.may_get_plan(index, now)
    }

    /// Drops the plans of jobs that no longer wait and replaces overdue ones.
    fn drop_stale_plans(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let jobs: Vec<JobIndex> = self.plans.jobs().collect();
        for index in jobs {
            let waits = self
                .queues
                .job(index)
                .is_some_and(|job| !job.waiting.is_empty());
            if !waits {
                self.drop_plan(index);
                continue;
            }
            let Some(plan) = self.plans.plan(index) else {
                continue;
            };
            let replans = plan.replans;
            let replan_at = plan.expected_start.saturating_add(OVERDUE_GRACE);
            let overdue = replan_at <= now && plan.made.saturating_add(OVERDUE_GRACE) <= now;
            if overdue && replans < MAX_REPLANS {
                let preempts = self
                    .class_of(index)
                    .is_some_and(|class| self.can_preempt(class));
                self.drop_plan(index);
                self.make_plan(index, preempts, now, replans + 1, decisions);
            }
        }
    }

    /// Reserves workers for a job; a preempting plan also preempts attempts on them.
    fn make_plan(
        &mut self,
        index: JobIndex,
        preempts: bool,
        now: Millis,
        replans: u32,
        decisions: &mut Vec<PlacementDecision>,
    ) {
        let Some(demand) = self.demand_of(index, now) else {
            return;
        };
        let starts = self.find_starts(index, &demand, preempts, now);
        let Some(starts) = starts else {
            if let Some(job) = self.queues.job_mut(index) {
                job.plan_retry_at = now.saturating_add(PLAN_RETRY);
            }
            return;
        };
        let expected_start = starts.last().map_or(now, |&(at, _)| at);
        let mut counts: BTreeMap<WorkerIndex, u64> = BTreeMap::new();
        for (_, worker) in starts {
            *counts.entry(worker).or_default() += 1;
        }
        let plan = JobPlan {
            workers: counts.keys().copied().collect(),
            expected_start,
            made: now,
            replans,
        };
        let slack: BTreeMap<WorkerIndex, ResourceVector> = counts
            .iter()
            .map(|(&worker, &count)| {
                let expected_free = self.free_at(worker, expected_start, index, preempts, now);
                let kept = multiply(&demand.size, count);
                (worker, expected_free.checked_sub(&kept).unwrap_or_default())
            })
            .collect();
        self.plans.insert(index, plan, |worker| {
            slack.get(&worker).copied().unwrap_or_default()
        });
        for (&worker, &count) in &counts {
            self.reindex(worker);
            if preempts {
                let needed = multiply(&demand.size, count);
                self.preempt_on(index, worker, &needed, now, decisions);
            }
        }
        // The job itself may fit at once now that workers are reserved for it.
        if let Some(queue) = self.queues.job(index).map(|job| job.queue) {
            self.queues.queue_mut(queue).blocked_at = None;
        }
    }

    /// Returns the earliest possible starts for the planned tasks of the job; `None` when too few
    /// starts are possible.
    fn find_starts(
        &mut self,
        index: JobIndex,
        demand: &TaskDemand,
        preempts: bool,
        now: Millis,
    ) -> Option<Vec<PlannedStart>> {
        let job = self.queues.job(index)?;
        let needed = match job.spec.kind {
            JobKind::Gang => job.waiting.len(),
            _ if preempts => job.waiting.len().min(MAX_PLANNED_TASKS),
            _ => 1,
        };
        let all = self.ledger.positions();
        let min_workers = PLAN_WORKERS.max(needed.saturating_mul(2)).min(all);
        let start = self.plan_cursor % all.max(1);
        let mut starts = Vec::new();
        for offset in 0..all {
            // The workers considered first suffice unless the fleet is nearly full of longer work.
            if offset >= min_workers && starts.len() >= needed {
                break;
            }
            let worker = (start + offset) % all;
            self.add_worker_starts(worker, index, demand, preempts, now, &mut starts);
        }
        self.plan_cursor = start + 1;
        if starts.len() < needed {
            return None;
        }
        starts.sort_unstable();
        starts.truncate(needed);
        Some(starts)
    }

    /// Adds the possible starts of one task each on a worker: now, and whenever one of its attempts
    /// is expected to end.
    fn add_worker_starts(
        &self,
        worker: WorkerIndex,
        index: JobIndex,
        demand: &TaskDemand,
        preempts: bool,
        now: Millis,
        starts: &mut Vec<PlannedStart>,
    ) {
        let entry = self.ledger.entry(worker);
        let is_open = entry.is_usable()
            && !self.health.is_quarantined(worker)
            && self.plans.reservation(worker).is_none()
            && demand.size.fits_in(&entry.view.capacity);
        if !is_open {
            return;
        }
        let headroom = demand.fit.headroom(&entry.view.capacity);
        let fitting_in = |free: &ResourceVector| {
            let left = free.checked_sub(&headroom).unwrap_or_default();
            count_fitting(&left, &demand.size)
        };
        let mut free = entry.free();
        let mut counted = fitting_in(&free);
        starts.extend((0..counted).map(|_| (now, worker)));
        let mut ends: Vec<(Millis, ResourceVector)> = entry
            .attempts
            .iter()
            .filter_map(|attempt| self.ledger.attempt(attempt))
            .filter_map(|running| Some((self.end_of(running, index, preempts, now)?, running.size)))
            .collect();
        ends.sort_unstable_by_key(|&(at, _)| at);
        for (at, size) in ends {
            free = free.saturating_add(&size);
            let more = fitting_in(&free);
            starts.extend((counted..more).map(|_| (at, worker)));
            counted = counted.max(more);
        }
    }

    /// Returns the expected free resources of a worker at a later time.
    fn free_at(
        &self,
        worker: WorkerIndex,
        at: Millis,
        index: JobIndex,
        preempts: bool,
        now: Millis,
    ) -> ResourceVector {
        let entry = self.ledger.entry(worker);
        let running = entry
            .attempts
            .iter()
            .filter_map(|id| self.ledger.attempt(id));
        running
            .filter(|running| {
                let end = self.end_of(running, index, preempts, now);
                end.is_some_and(|end| end <= at)
            })
            .fold(entry.free(), |free, running| {
                free.saturating_add(&running.size)
            })
    }

    /// Returns when an attempt is expected to end, given a plan for `beneficiary`; `None` when that
    /// is not known.
    fn end_of(
        &self,
        running: &RunningAttempt,
        beneficiary: JobIndex,
        preempts: bool,
        now: Millis,
    ) -> Option<Millis> {
        let record = &running.record;
        let normal_end = self.end_without_preemption(running, now);
        if let Some(entry) = self.pending_preemptions.get(&record.attempt) {
            let preempted_end = entry
                .since
                .saturating_add(EXPECTED_PREEMPTION_TIME)
                .max(now);
            return Some(
                normal_end.map_or(preempted_end, |normal_end| normal_end.min(preempted_end)),
            );
        }
        if preempts && self.may_preempt(running, beneficiary) {
            let preempted_end = now.saturating_add(EXPECTED_PREEMPTION_TIME);
            return Some(
                normal_end.map_or(preempted_end, |normal_end| normal_end.min(preempted_end)),
            );
        }
        normal_end
    }

    /// Returns when an attempt is expected to end by itself.
    fn end_without_preemption(&self, running: &RunningAttempt, now: Millis) -> Option<Millis> {
        let record = &running.record;
        if record.spec.kind == JobKind::Service {
            return None;
        }
        let job = self.queues.job(self.queues.index_of(&record.task.job)?)?;
        let run = self.estimator.run_time(&job.queue, record.spec.run_ms)?;
        let end = record.started.saturating_add(run);
        if end > now {
            return Some(end);
        }
        // An overdue attempt is expected to run for another fifth of its time so far.
        let ran = now.saturating_sub(record.started).get();
        Some(now.saturating_add(Millis::new(ran / 5)))
    }

    /// Tells whether an attempt may be preempted for a job: it is repeatable, its class is
    /// preemptible and of lower rank, and the class does not fall below its floor.
    fn may_preempt(&self, running: &RunningAttempt, beneficiary: JobIndex) -> bool {
        let spec = &running.record.spec;
        let Some(class) = self.class_of(beneficiary) else {
            return false;
        };
        let rank = self.queues.classes[class].rule.rank;
        let mut classes = self.queues.classes.iter();
        let Some(victim) = classes.find(|class| class.name == spec.class) else {
            return false;
        };
        if !victim.rule.preemptible || victim.rule.rank >= rank || !spec.repeatable {
            return false;
        }
        let Some(rest) = victim.used.checked_sub(&running.size) else {
            return false;
        };
        dominant_share(&rest, &self.total) * 100.0 >= f64::from(victim.rule.floor_percent)
    }

    /// Preempts attempts on a worker until the `needed` resources are free or expected to be free
    /// within `EXPECTED_PREEMPTION_TIME`.
    fn preempt_on(
        &mut self,
        index: JobIndex,
        worker: WorkerIndex,
        needed: &ResourceVector,
        now: Millis,
        decisions: &mut Vec<PlacementDecision>,
    ) {
        let soon = now.saturating_add(EXPECTED_PREEMPTION_TIME);
        let entry = self.ledger.entry(worker);
        let mut free = entry.free();
        let mut victims: Vec<(Reverse<Millis>, AttemptId, ResourceVector)> = Vec::new();
        for running in entry
            .attempts
            .iter()
            .filter_map(|id| self.ledger.attempt(id))
        {
            let ends_soon = self
                .end_without_preemption(running, now)
                .is_some_and(|end| end <= soon);
            if ends_soon
                || self
                    .pending_preemptions
                    .contains_key(&running.record.attempt)
            {
                free = free.saturating_add(&running.size);
            } else if self.may_preempt(running, index) {
                let started = Reverse(running.record.started);
                victims.push((started, running.record.attempt.clone(), running.size));
            }
        }
        // The attempts that started last lose the least work.
        victims.sort_unstable_by_key(|(started, ..)| *started);
        let Some(beneficiary) = self.queues.job(index).map(|job| job.id.clone()) else {
            return;
        };
        let unthrottled = |attempt: &AttemptId| !self.throttled.contains_key(attempt);
        let sizes = victims
            .iter()
            .filter(|(_, attempt, _)| unthrottled(attempt));
        let throttles = throttling_suffices(&free, needed, sizes.map(|(.., size)| size));
        for (_, attempt, size) in victims {
            if needed.fits_in(&free) {
                return;
            }
            // Throttling earlier victims may have brought the class to its floor.
            let running = self.ledger.attempt(&attempt);
            let may_preempt = running.is_some_and(|running| self.may_preempt(running, index));
            if !may_preempt || (throttles && self.throttled.contains_key(&attempt)) {
                continue;
            }
            let action = if throttles {
                PreemptionAction::Throttle(THROTTLE_PERCENT)
            } else {
                PreemptionAction::Checkpoint
            };
            free = free.saturating_add(&if throttles {
                freed_by_throttle(&size)
            } else {
                size
            });
            self.apply_preemption(&attempt, action, now);
            decisions.push(PlacementDecision::Preempt {
                attempt,
                action,
                beneficiary: beneficiary.clone(),
            });
        }
    }

    /// Records a preemption; throttling releases CPU at once, the other actions release resources
    /// when the attempt ends.
    fn apply_preemption(&mut self, attempt: &AttemptId, action: PreemptionAction, now: Millis) {
        if !matches!(action, PreemptionAction::Throttle(_)) {
            let entry = PendingPreemption { action, since: now };
            self.pending_preemptions.insert(attempt.clone(), entry);
            return;
        }
        let Some(running) = self.ledger.attempt(attempt) else {
            return;
        };
        let (worker, full) = (running.worker, running.size);
        let freed = freed_by_throttle(&full);
        let Some(rest) = full.checked_sub(&freed) else {
            return;
        };
        if self.resize(attempt, rest) {
            let entry = ThrottleEntry { full, since: now };
            self.throttled.insert(attempt.clone(), entry);
            self.resources_freed(worker);
        }
    }

    /// Changes the resources of an attempt in the ledger and in the usage of its queue.
    pub fn resize(&mut self, attempt: &AttemptId, size: ResourceVector) -> bool {
        let Some(running) = self.ledger.attempt(attempt) else {
            return false;
        };
        let before = running.size;
        let job = self.queues.index_of(&running.record.task.job);
        let queue = job
            .and_then(|job| self.queues.job(job))
            .map(|job| job.queue);
        if !self.ledger.resize_attempt(attempt, size) {
            return false;
        }
        if let Some(queue) = queue {
            self.queues.release(queue, &before, &self.total);
            self.queues.allocate(queue, &size, &self.total);
        }
        true
    }
}

fn multiply(size: &ResourceVector, count: u64) -> ResourceVector {
    ResourceVector::new(
        size.cpu_millis.get() * count,
        size.memory_mib.get() * count,
        size.accelerators * u32::try_from(count).unwrap_or(u32::MAX),
    )
}

/// Returns the CPU that throttling an attempt frees.
fn freed_by_throttle(size: &ResourceVector) -> ResourceVector {
    let kept = size.cpu_millis.get() * u64::from(THROTTLE_PERCENT) / 100;
    ResourceVector::new(size.cpu_millis.get() - kept, 0, 0)
}

/// Tells whether throttling the victims frees enough, i.e. only CPU is short and they hold enough.
fn throttling_suffices<'a>(
    free: &ResourceVector,
    needed: &ResourceVector,
    victims: impl Iterator<Item = &'a ResourceVector>,
) -> bool {
    let freed = victims.fold(*free, |sum, size| {
        sum.saturating_add(&freed_by_throttle(size))
    });
    needed.fits_in(&freed)
}
