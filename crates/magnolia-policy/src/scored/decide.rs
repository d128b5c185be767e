//! One round of decisions, and the order in which jobs are tried.

use std::cmp::Reverse;

use magnolia_types::{JobKind, Millis, ResourceVector};

use super::ScoredEngine;
use super::job_queues::{ClassIndex, JobIndex, QueueIndex, dominant_share};
use super::place::TaskDemand;
use crate::PlacementDecision;

/// Number of jobs of a queue that are tried before the queue counts as blocked.
const LOOKAHEAD: usize = 8;
/// Maximum number of jobs tried in one round; the next round skips the queues that were blocked
/// and continues with the others.
const MAX_TRIES: usize = 512;
/// Maximum number of gangs tried in one round, because a failed try may place many tasks first.
const MAX_GANG_TRIES: usize = 8;
/// Time after which blocked queues are tried again even if no resources were freed, because jobs
/// avoid workers on which they failed only for a limited time.
const RETRY_INTERVAL: Millis = Millis::from_secs(1);
/// Maximum number of sizes that did not fit that a round remembers.
const MAX_FAILED_SIZES: usize = 16;

/// A task size for which the round found no worker.
#[derive(Clone, Copy, Debug)]
struct FailedSize {
    size: ResourceVector,
    headroom_percent: u8,
    /// When the task would have ended; `None` for services and unknown run times.
    end: Option<Millis>,
}

impl FailedSize {
    /// Tells whether `demand` cannot fit either, because it is at least as demanding.
    fn rules_out(&self, demand: &TaskDemand) -> bool {
        let ends_no_later = match (self.end, demand.end) {
            (Some(failed), Some(end)) => failed <= end,
            (Some(_), None) => true,
            (None, end) => end.is_none(),
        };
        ends_no_later
            && self.headroom_percent <= demand.fit.headroom_percent
            && self.size.accelerators == demand.size.accelerators
            && self.size.fits_in(&demand.size)
    }
}

/// Counters and failed sizes of one round.
struct RoundState {
    starts: usize,
    limit: usize,
    tries: usize,
    gang_tries: usize,
    failed: Vec<FailedSize>,
}

/// Result of trying to start a job.
enum TryOutcome {
    /// The decision and the number of tasks that it starts.
    Started(PlacementDecision, usize),
    DoesNotFit,
    OverQuota,
    /// The job was not tried, because it is unknown or the round has tried enough gangs.
    Skipped,
}

impl ScoredEngine {
    /// Makes the decisions of one round.
    pub fn decide_round(&mut self, now: Millis, limit: usize) -> Vec<PlacementDecision> {
        let given_up = std::mem::take(&mut self.given_up);
        let mut decisions: Vec<PlacementDecision> = given_up
            .into_iter()
            .map(|(job, reason)| PlacementDecision::GiveUp { job, reason })
            .collect();
        if self.retry_at <= now {
            self.retry_at = now.saturating_add(RETRY_INTERVAL);
            self.generation += 1;
        }
        self.escalate_preemptions(now, &mut decisions);
        self.move_services(now, &mut decisions);
        let mut round = RoundState {
            starts: self.start_probes(now, limit, &mut decisions),
            limit,
            tries: 0,
            gang_tries: 0,
            failed: Vec::new(),
        };
        self.start_waiting(now, &mut round, &mut decisions);
        self.plan_blocked(now, &mut decisions);
        self.restore_throttled(now, &mut decisions);
        decisions
    }

    /// Starts waiting tasks until nothing fits or a limit of the round is reached.
    fn start_waiting(
        &mut self,
        now: Millis,
        round: &mut RoundState,
        decisions: &mut Vec<PlacementDecision>,
    ) {
        while round.starts < round.limit && round.tries < MAX_TRIES {
            let Some(queue) = self.next_queue() else {
                return;
            };
            if let Some(decision) = self.try_queue(queue, now, round) {
                decisions.push(decision);
            }
        }
    }

    /// Returns the queue that is tried next, `None` when all are blocked.
    fn next_queue(&self) -> Option<QueueIndex> {
        self.class_order()
            .into_iter()
            .find_map(|class| self.first_unblocked_queue(class))
    }

    /// Returns the classes with waiting jobs: those below their floor first, each group by rank.
    pub fn class_order(&self) -> Vec<ClassIndex> {
        let classes = self.queues.classes.iter().enumerate();
        let waiting = classes.filter(|(_, class)| !class.ready.is_empty());
        let mut order: Vec<ClassIndex> = waiting.map(|(index, _)| index).collect();
        order.sort_by_key(|&index| {
            let rank = self.queues.classes[index].rule.rank;
            (!self.is_below_floor(index), Reverse(rank))
        });
        order
    }

    /// Tells whether the class uses a smaller share of the fleet than its floor.
    pub fn is_below_floor(&self, class: ClassIndex) -> bool {
        let class = &self.queues.classes[class];
        let share = dominant_share(&class.used, &self.total);
        share * 100.0 < f64::from(class.rule.floor_percent)
    }

    fn first_unblocked_queue(&self, class: ClassIndex) -> Option<QueueIndex> {
        let queues = self.queues.classes[class].ready.iter();
        queues
            .map(|&(_, queue)| queue)
            .find(|&queue| self.queues.queue(queue).blocked_at != Some(self.generation))
    }

    fn try_queue(
        &mut self,
        queue: QueueIndex,
        now: Millis,
        round: &mut RoundState,
    ) -> Option<PlacementDecision> {
        let jobs = self.queues.queue(queue).jobs.values();
        let jobs: Vec<JobIndex> = jobs.copied().take(LOOKAHEAD).collect();
        let mut blocked_jobs = Vec::new();
        for index in jobs {
            round.tries += 1;
            match self.try_job(index, now, round) {
                TryOutcome::Started(decision, starts) => {
                    round.starts += starts;
                    return Some(decision);
                }
                TryOutcome::DoesNotFit if !self.may_get_plan(index, now) => {}
                TryOutcome::DoesNotFit => blocked_jobs.push(index),
                TryOutcome::OverQuota | TryOutcome::Skipped => {}
            }
        }
        let entry = self.queues.queue_mut(queue);
        entry.blocked_at = Some(self.generation);
        entry.blocked_jobs = blocked_jobs;
        None
    }

    /// Tells whether a job may be the next of its queue to get a plan.
    ///
    /// Jobs that have a plan, and those for which none was possible just now, are passed over in
    /// favour of the jobs behind them. Otherwise a job that no worker can hold any more would keep
    /// a gang behind it from getting a plan.
    pub fn may_get_plan(&self, index: JobIndex, now: Millis) -> bool {
        let job = self.queues.job(index);
        self.plans.plan(index).is_none() && job.is_some_and(|job| job.plan_retry_at <= now)
    }

    fn try_job(&mut self, index: JobIndex, now: Millis, round: &mut RoundState) -> TryOutcome {
        let Some(demand) = self.demand_of(index, now) else {
            return TryOutcome::Skipped;
        };
        let Some(job) = self.queues.job(index) else {
            return TryOutcome::Skipped;
        };
        let is_gang = job.spec.kind == JobKind::Gang;
        if !self.is_within_quota(index, &demand) {
            return TryOutcome::OverQuota;
        }
        if self.plans.plan(index).is_none()
            && round.failed.iter().any(|failed| failed.rules_out(&demand))
        {
            return TryOutcome::DoesNotFit;
        }
        let id = job.id.clone();
        let has_failed = self.health.has_failed(&id);
        if is_gang {
            round.gang_tries += 1;
            if round.gang_tries > MAX_GANG_TRIES {
                return TryOutcome::Skipped;
            }
        }
        let members = if is_gang {
            self.place_gang(&demand)
        } else {
            self.place_one(&demand).map(|member| vec![member])
        };
        let Some(members) = members else {
            // A job that avoids some workers may find none where other jobs of its size fit.
            if !is_gang && !has_failed {
                record_failed_size(&demand, round);
            }
            return TryOutcome::DoesNotFit;
        };
        let starts = members.len();
        TryOutcome::Started(PlacementDecision::Start { job: id, members }, starts)
    }

    /// Tells whether the tasks that start together stay within the customer's quota.
    pub fn is_within_quota(&self, index: JobIndex, demand: &TaskDemand) -> bool {
        let Some(job) = self.queues.job(index) else {
            return false;
        };
        let customer = &self.queues.customers[self.queues.queue(job.queue).customer];
        let Some(quota) = customer.rule.quota else {
            return true;
        };
        let Some(left) = quota.checked_sub(&customer.used) else {
            return false;
        };
        crate::first_fit::count_fitting(&left, &demand.size) >= job.start_size() as u64
    }
}

/// Remembers a size that did not fit, so that the round does not search for it again.
fn record_failed_size(demand: &TaskDemand, round: &mut RoundState) {
    let failed = FailedSize {
        size: demand.size,
        headroom_percent: demand.fit.headroom_percent,
        end: demand.end,
    };
    if round.failed.len() < MAX_FAILED_SIZES {
        round.failed.push(failed);
        return;
    }
    // Smaller sizes rule out more demands, so the largest remembered one is replaced.
    let total_size = |size: &ResourceVector| size.cpu_millis.get() + size.memory_mib.get();
    let largest = (round.failed.iter_mut()).max_by_key(|known| total_size(&known.size));
    if let Some(known) = largest.filter(|known| total_size(&known.size) > total_size(&failed.size))
    {
        *known = failed;
    }
}
