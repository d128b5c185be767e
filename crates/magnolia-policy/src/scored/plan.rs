//! Plans for jobs that do not fit now: when and where they start, and what gives way.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use magnolia_types::{AttemptId, JobKind, Millis, ResourceVector};

use super::job_book::{ClassIndex, JobIndex, dominant_share};
use super::place::TaskNeed;
use super::plan_book::JobPlan;
use super::{ScoredEngine, ThrottleEntry, YieldEntry};
use crate::first_fit::places_in;
use crate::room_ledger::{HeldAttempt, WorkerIndex};
use crate::{PlacementDecision, PreemptionAction};

/// Waiting time after which urgent work makes less urgent work give way.
const PREEMPT_AFTER: Millis = Millis::new(500);
/// Waiting time after which a job that is no gang gets a plan without preemption.
const PLAN_AFTER: Millis = Millis::from_secs(2);
/// Expected time from a preemption to the end of the attempt.
const EXPECTED_YIELD: Millis = Millis::from_secs(2);
/// An overdue plan is made again after this time.
const OVERDUE_GRACE: Millis = Millis::from_secs(5);
/// A plan is not made again more often than this, so that a moving plan cannot starve its job.
const MAX_REPLANS: u32 = 3;
/// Time until a job without a possible plan is looked at again.
const PLAN_RETRY: Millis = Millis::from_secs(1);
/// Plans made in one round.
const MAX_PLANS_PER_ROUND: usize = 2;
/// Plans of a class that waits for others to end.
const MAX_WAITING_PLANS: usize = 1;
/// Plans of a class that makes others give way.
const MAX_PREEMPTING_PLANS: usize = 16;
/// Tasks of a job that is no gang in one preempting plan.
const MAX_PLANNED_TASKS: usize = 8;
/// Workers that a plan considers at first; all are considered when these do not suffice.
const PLAN_WORKERS: usize = 256;
/// Share of its processors that a throttled attempt keeps, in percent.
pub const THROTTLE_PERCENT: u8 = 25;

/// Places that a worker will have, one entry for each task.
type PlannedPlace = (Millis, WorkerIndex);

impl ScoredEngine {
    /// Plans for blocked jobs of each class, the most urgent class first.
    pub fn plan_blocked(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        self.drop_stale_plans(now, decisions);
        let mut budget = MAX_PLANS_PER_ROUND;
        for class in self.class_order() {
            let preempts = self.can_preempt(class);
            let most = if preempts {
                MAX_PREEMPTING_PLANS
            } else {
                MAX_WAITING_PLANS
            };
            let planned = self
                .plans
                .jobs()
                .filter(|&job| self.class_of(job) == Some(class));
            let open = most.saturating_sub(planned.count());
            for job in self
                .blocked_jobs(class, now, preempts)
                .into_iter()
                .take(open)
            {
                if budget == 0 {
                    return;
                }
                budget -= 1;
                self.make_plan(job, preempts, now, 0, decisions);
            }
        }
    }

    fn class_of(&self, job: JobIndex) -> Option<ClassIndex> {
        let job = self.book.job(job)?;
        Some(self.book.lane(job.lane).class)
    }

    /// Tells whether less urgent preemptible work holds room beyond its floor.
    fn can_preempt(&self, class: ClassIndex) -> bool {
        let rank = self.book.classes[class].rule.rank;
        let mut classes = self.book.classes.iter();
        classes.any(|other| {
            let share = dominant_share(&other.used, &self.total) * 100.0;
            other.rule.preemptible
                && other.rule.rank < rank
                && share > f64::from(other.rule.floor_percent)
        })
    }

    /// Returns the first blocked job of each lane that is due for a plan, the oldest first.
    fn blocked_jobs(&self, class: ClassIndex, now: Millis, preempts: bool) -> Vec<JobIndex> {
        let lanes = self.book.classes[class].ready.iter();
        let mut jobs: Vec<(Millis, JobIndex)> = lanes
            .filter_map(|&(_, lane)| {
                let lane = self.book.lane(lane);
                lane.blocked_at?;
                let mut blocked = lane.blocked_jobs.iter();
                let index = *blocked.find(|&&index| self.is_due_for_plan(index, now, preempts))?;
                Some((self.book.job(index)?.submitted, index))
            })
            .collect();
        jobs.sort_unstable();
        jobs.into_iter().map(|(_, job)| job).collect()
    }

    fn is_due_for_plan(&self, index: JobIndex, now: Millis, preempts: bool) -> bool {
        let Some(job) = self.book.job(index).filter(|job| !job.waiting.is_empty()) else {
            return false;
        };
        let wait_needed = match (preempts, job.spec.kind) {
            (true, _) => PREEMPT_AFTER,
            (false, JobKind::Gang) => Millis::new(0),
            (false, _) => PLAN_AFTER,
        };
        let waited = now.saturating_sub(job.submitted);
        waited >= wait_needed && self.wants_plan(index, now)
    }

    /// Drops plans of jobs that wait no longer and makes overdue ones again.
    fn drop_stale_plans(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let jobs: Vec<JobIndex> = self.plans.jobs().collect();
        for index in jobs {
            let waits = self
                .book
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
            let due = plan.until.saturating_add(OVERDUE_GRACE);
            let overdue = due <= now && plan.made.saturating_add(OVERDUE_GRACE) <= now;
            if overdue && replans < MAX_REPLANS {
                let preempts = self
                    .class_of(index)
                    .is_some_and(|class| self.can_preempt(class));
                self.drop_plan(index);
                self.make_plan(index, preempts, now, replans + 1, decisions);
            }
        }
    }

    fn make_plan(
        &mut self,
        index: JobIndex,
        preempts: bool,
        now: Millis,
        replans: u32,
        decisions: &mut Vec<PlacementDecision>,
    ) {
        let Some(need) = self.need_of(index, now) else {
            return;
        };
        let places = self.planned_places(index, &need, preempts, now);
        let Some(places) = places else {
            if let Some(job) = self.book.job_mut(index) {
                job.plan_retry_at = now.saturating_add(PLAN_RETRY);
            }
            return;
        };
        let until = places.last().map_or(now, |&(at, _)| at);
        let mut counts: BTreeMap<WorkerIndex, u64> = BTreeMap::new();
        for (_, worker) in places {
            *counts.entry(worker).or_default() += 1;
        }
        let plan = JobPlan {
            workers: counts.keys().copied().collect(),
            until,
            made: now,
            replans,
        };
        let slack: BTreeMap<WorkerIndex, ResourceVector> = counts
            .iter()
            .map(|(&worker, &count)| {
                let future = self.free_at(worker, until, index, preempts, now);
                let kept = times(&need.size, count);
                (worker, future.checked_sub(&kept).unwrap_or_default())
            })
            .collect();
        self.plans.insert(index, plan, |worker| {
            slack.get(&worker).copied().unwrap_or_default()
        });
        for (&worker, &count) in &counts {
            self.refile(worker);
            if preempts {
                let wanted = times(&need.size, count);
                self.make_room(index, worker, &wanted, now, decisions);
            }
        }
        // The job itself may fit at once now that its workers are kept for it.
        if let Some(lane) = self.book.job(index).map(|job| job.lane) {
            self.book.lane_mut(lane).blocked_at = None;
        }
    }

    /// Returns the earliest places for all tasks of the job that start together.
    fn planned_places(
        &mut self,
        index: JobIndex,
        need: &TaskNeed,
        preempts: bool,
        now: Millis,
    ) -> Option<Vec<PlannedPlace>> {
        let job = self.book.job(index)?;
        let wanted = match job.spec.kind {
            JobKind::Gang => job.waiting.len(),
            _ if preempts => job.waiting.len().min(MAX_PLANNED_TASKS),
            _ => 1,
        };
        let all = self.ledger.positions();
        let first = PLAN_WORKERS.max(wanted.saturating_mul(2)).min(all);
        let start = self.plan_cursor % all.max(1);
        let mut places = Vec::new();
        for offset in 0..all {
            // The first workers suffice unless the fleet is nearly full of longer work.
            if offset >= first && places.len() >= wanted {
                break;
            }
            let worker = (start + offset) % all;
            self.places_of(worker, index, need, preempts, now, &mut places);
        }
        self.plan_cursor = start + 1;
        if places.len() < wanted {
            return None;
        }
        places.sort_unstable();
        places.truncate(wanted);
        Some(places)
    }

    fn places_of(
        &self,
        worker: WorkerIndex,
        index: JobIndex,
        need: &TaskNeed,
        preempts: bool,
        now: Millis,
        places: &mut Vec<PlannedPlace>,
    ) {
        let slot = self.ledger.slot(worker);
        let is_open = slot.is_usable()
            && !self.health.is_quarantined(worker)
            && self.plans.earmark(worker).is_none()
            && need.size.fits_in(&slot.view.capacity);
        if !is_open {
            return;
        }
        let kept = need.fit.kept_room(&slot.view.capacity);
        let room = |free: &ResourceVector| {
            let left = free.checked_sub(&kept).unwrap_or_default();
            places_in(&left, &need.size)
        };
        let mut free = slot.free();
        let mut known = room(&free);
        places.extend((0..known).map(|_| (now, worker)));
        let mut ends: Vec<(Millis, ResourceVector)> = slot
            .attempts
            .iter()
            .filter_map(|attempt| self.ledger.attempt(attempt))
            .filter_map(|held| Some((self.end_of(held, index, preempts, now)?, held.size)))
            .collect();
        ends.sort_unstable_by_key(|&(at, _)| at);
        for (at, size) in ends {
            free = free.saturating_add(&size);
            let more = room(&free);
            places.extend((known..more).map(|_| (at, worker)));
            known = known.max(more);
        }
    }

    /// Returns the free room of a worker at a later time.
    fn free_at(
        &self,
        worker: WorkerIndex,
        at: Millis,
        index: JobIndex,
        preempts: bool,
        now: Millis,
    ) -> ResourceVector {
        let slot = self.ledger.slot(worker);
        let held = slot
            .attempts
            .iter()
            .filter_map(|id| self.ledger.attempt(id));
        held.filter(|held| {
            let end = self.end_of(held, index, preempts, now);
            end.is_some_and(|end| end <= at)
        })
        .fold(slot.free(), |free, held| free.saturating_add(&held.size))
    }

    /// Returns when an attempt is expected to end, `None` when it never does.
    fn end_of(
        &self,
        held: &HeldAttempt,
        beneficiary: JobIndex,
        preempts: bool,
        now: Millis,
    ) -> Option<Millis> {
        let record = &held.record;
        let natural = self.natural_end(held, now);
        if let Some(entry) = self.yields.get(&record.attempt) {
            let yielded = entry.since.saturating_add(EXPECTED_YIELD).max(now);
            return Some(natural.map_or(yielded, |natural| natural.min(yielded)));
        }
        if preempts && self.gives_way(held, beneficiary) {
            let yielded = now.saturating_add(EXPECTED_YIELD);
            return Some(natural.map_or(yielded, |natural| natural.min(yielded)));
        }
        natural
    }

    fn natural_end(&self, held: &HeldAttempt, now: Millis) -> Option<Millis> {
        let record = &held.record;
        if record.spec.kind == JobKind::Service {
            return None;
        }
        let job = self.book.job(self.book.index_of(&record.task.job)?)?;
        let run = self.estimates.run_time(&job.lane, record.spec.run_ms)?;
        let end = record.started.saturating_add(run);
        if end > now {
            return Some(end);
        }
        // An overdue attempt is expected to take a fifth of its time so far in addition.
        let ran = now.saturating_sub(record.started).get();
        Some(now.saturating_add(Millis::new(ran / 5)))
    }

    /// Tells whether an attempt gives way to a job: lower rank, preemptible, repeatable, and its
    /// class stays at its floor.
    fn gives_way(&self, held: &HeldAttempt, beneficiary: JobIndex) -> bool {
        let spec = &held.record.spec;
        let Some(class) = self.class_of(beneficiary) else {
            return false;
        };
        let rank = self.book.classes[class].rule.rank;
        let mut classes = self.book.classes.iter();
        let Some(victim) = classes.find(|class| class.name == spec.class) else {
            return false;
        };
        if !victim.rule.preemptible || victim.rule.rank >= rank || !spec.repeatable {
            return false;
        }
        let Some(rest) = victim.used.checked_sub(&held.size) else {
            return false;
        };
        dominant_share(&rest, &self.total) * 100.0 >= f64::from(victim.rule.floor_percent)
    }

    /// Makes attempts on a worker give way until `wanted` becomes free.
    fn make_room(
        &mut self,
        index: JobIndex,
        worker: WorkerIndex,
        wanted: &ResourceVector,
        now: Millis,
        decisions: &mut Vec<PlacementDecision>,
    ) {
        let soon = now.saturating_add(EXPECTED_YIELD);
        let slot = self.ledger.slot(worker);
        let mut free = slot.free();
        let mut victims: Vec<(Reverse<Millis>, AttemptId, ResourceVector)> = Vec::new();
        for held in slot
            .attempts
            .iter()
            .filter_map(|id| self.ledger.attempt(id))
        {
            let ends_soon = self.natural_end(held, now).is_some_and(|end| end <= soon);
            if ends_soon || self.yields.contains_key(&held.record.attempt) {
                free = free.saturating_add(&held.size);
            } else if self.gives_way(held, index) {
                let started = Reverse(held.record.started);
                victims.push((started, held.record.attempt.clone(), held.size));
            }
        }
        // The youngest attempts lose the least work.
        victims.sort_unstable_by_key(|(started, ..)| *started);
        let Some(beneficiary) = self.book.job(index).map(|job| job.id.clone()) else {
            return;
        };
        let unthrottled = |attempt: &AttemptId| !self.throttled.contains_key(attempt);
        let sizes = victims
            .iter()
            .filter(|(_, attempt, _)| unthrottled(attempt));
        let throttles = throttling_suffices(&free, wanted, sizes.map(|(.., size)| size));
        for (_, attempt, size) in victims {
            if wanted.fits_in(&free) {
                return;
            }
            // Earlier victims may have brought the class to its floor.
            let held = self.ledger.attempt(&attempt);
            let gives_way = held.is_some_and(|held| self.gives_way(held, index));
            if !gives_way || (throttles && self.throttled.contains_key(&attempt)) {
                continue;
            }
            let action = if throttles {
                PreemptionAction::Throttle(THROTTLE_PERCENT)
            } else {
                PreemptionAction::Checkpoint
            };
            free = free.saturating_add(&if throttles {
                saved_by_throttle(&size)
            } else {
                size
            });
            self.give_way(&attempt, action, now);
            decisions.push(PlacementDecision::Preempt {
                attempt,
                action,
                beneficiary: beneficiary.clone(),
            });
        }
    }

    fn give_way(&mut self, attempt: &AttemptId, action: PreemptionAction, now: Millis) {
        if !matches!(action, PreemptionAction::Throttle(_)) {
            let entry = YieldEntry { action, since: now };
            self.yields.insert(attempt.clone(), entry);
            return;
        }
        let Some(held) = self.ledger.attempt(attempt) else {
            return;
        };
        let (worker, full) = (held.worker, held.size);
        let saved = saved_by_throttle(&full);
        let Some(rest) = full.checked_sub(&saved) else {
            return;
        };
        if self.resize(attempt, rest) {
            let entry = ThrottleEntry { full, since: now };
            self.throttled.insert(attempt.clone(), entry);
            self.room_freed(worker);
        }
    }

    /// Changes the room of an attempt in all books.
    pub fn resize(&mut self, attempt: &AttemptId, size: ResourceVector) -> bool {
        let Some(held) = self.ledger.attempt(attempt) else {
            return false;
        };
        let before = held.size;
        let job = self.book.index_of(&held.record.task.job);
        let lane = job.and_then(|job| self.book.job(job)).map(|job| job.lane);
        if !self.ledger.resize_attempt(attempt, size) {
            return false;
        }
        if let Some(lane) = lane {
            self.book.release(lane, &before, &self.total);
            self.book.hold(lane, &size, &self.total);
        }
        true
    }
}

fn times(size: &ResourceVector, count: u64) -> ResourceVector {
    ResourceVector::new(
        size.cpu_millis.get() * count,
        size.memory_mib.get() * count,
        size.accelerators * u32::try_from(count).unwrap_or(u32::MAX),
    )
}

/// Returns the processors that a throttled attempt gives back.
fn saved_by_throttle(size: &ResourceVector) -> ResourceVector {
    let kept = size.cpu_millis.get() * u64::from(THROTTLE_PERCENT) / 100;
    ResourceVector::new(size.cpu_millis.get() - kept, 0, 0)
}

/// Tells whether only processors lack and slower victims give back enough of them.
fn throttling_suffices<'a>(
    free: &ResourceVector,
    wanted: &ResourceVector,
    victims: impl Iterator<Item = &'a ResourceVector>,
) -> bool {
    let saved = victims.fold(*free, |sum, size| {
        sum.saturating_add(&saved_by_throttle(size))
    });
    wanted.fits_in(&saved)
}
