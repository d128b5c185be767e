//! Steps of a round besides starting waiting jobs: escalation of preemptions, moves of services,
//! probes of quarantined workers and the end of throttling.

use magnolia_types::{AttemptId, JobId, JobKind, Millis, ResourceVector};

use super::ScoredEngine;
use super::job_queues::JobIndex;
use super::{PendingPreemption, ThrottleEntry};
use crate::resource_ledger::WorkerIndex;
use crate::{PlacementDecision, PreemptionAction};

/// Time that a checkpoint may take before the attempt is stopped.
const CHECKPOINT_GRACE: Millis = Millis::from_secs(10);
/// Minimum time that an attempt stays throttled, so that it does not alternate between states.
const MIN_THROTTLE: Millis = Millis::from_secs(5);
/// Maximum number of tasks of services moved in one round, so that their replacements find a
/// worker.
const MAX_MOVES_PER_ROUND: usize = 4;
/// Maximum number of probes started in one round.
const MAX_PROBES_PER_ROUND: usize = 4;
/// Number of jobs of a queue that are considered for a probe.
const PROBE_LOOKAHEAD: usize = 4;

impl ScoredEngine {
    /// Records the preemption of an attempt and returns the decision.
    fn preempt(
        &mut self,
        attempt: AttemptId,
        action: PreemptionAction,
        beneficiary: JobId,
        now: Millis,
    ) -> PlacementDecision {
        let entry = PendingPreemption { action, since: now };
        self.pending_preemptions.insert(attempt.clone(), entry);
        PlacementDecision::Preempt {
            attempt,
            action,
            beneficiary,
        }
    }

    /// Stops attempts that did not end in time after they were told to checkpoint.
    pub fn escalate_preemptions(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let late = self.pending_preemptions.iter().filter(|(_, entry)| {
            entry.action == PreemptionAction::Checkpoint
                && entry.since.saturating_add(CHECKPOINT_GRACE) <= now
        });
        let mut late: Vec<AttemptId> = late.map(|(attempt, _)| attempt.clone()).collect();
        late.sort_unstable();
        for attempt in late {
            let Some(running) = self.ledger.attempt(&attempt) else {
                continue;
            };
            let reservation = self.plans.reservation(running.worker);
            let waiting = reservation.and_then(|reservation| self.queues.job(reservation.job));
            let beneficiary = waiting
                .map_or(&running.record.task.job, |job| &job.id)
                .clone();
            decisions.push(self.preempt(attempt, PreemptionAction::Stop, beneficiary, now));
        }
    }

    /// Checkpoints tasks of services on leaving workers if they fit on another worker now.
    pub fn move_services(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let mut moves: Vec<(AttemptId, JobId)> = Vec::new();
        for &worker in &self.leaving {
            for attempt in &self.ledger.entry(worker).attempts {
                if moves.len() == MAX_MOVES_PER_ROUND {
                    break;
                }
                let Some(running) = self.ledger.attempt(attempt) else {
                    continue;
                };
                let job = &running.record.task.job;
                let is_service = running.record.spec.kind == JobKind::Service;
                if !is_service || self.pending_preemptions.contains_key(attempt) {
                    continue;
                }
                let index = self.queues.index_of(job);
                let demand = index.and_then(|index| self.demand_of(index, now));
                if demand.is_some_and(|demand| self.find_worker(&demand).is_some()) {
                    moves.push((attempt.clone(), job.clone()));
                }
            }
        }
        for (attempt, beneficiary) in moves {
            decisions.push(self.preempt(attempt, PreemptionAction::Checkpoint, beneficiary, now));
        }
    }

    /// Starts one task on each quarantined worker that is due for a probe; returns their number.
    ///
    /// The quarantine of a worker ends when its probe is overdue and cannot be started.
    pub fn start_probes(
        &mut self,
        now: Millis,
        limit: usize,
        decisions: &mut Vec<PlacementDecision>,
    ) -> usize {
        let due = self.health.due_probes(now);
        let mut starts = 0;
        for worker in due.into_iter().take(MAX_PROBES_PER_ROUND.min(limit)) {
            if let Some(decision) = self.start_probe(worker, now) {
                self.health.probe_started(worker);
                decisions.push(decision);
                starts += 1;
            } else if self.health.is_probe_overdue(worker, now) {
                self.health.succeeded(worker);
                self.resources_freed(worker);
            }
        }
        starts
    }

    /// Starts a probe on a quarantined worker if a suitable job waits.
    fn start_probe(&mut self, worker: WorkerIndex, now: Millis) -> Option<PlacementDecision> {
        let entry = self.ledger.entry(worker);
        if !entry.is_usable() {
            return None;
        }
        let free = entry.free();
        let index = self.probe_job(&free, now)?;
        let demand = self.demand_of(index, now)?;
        let job = self.queues.job(index)?;
        let id = job.id.clone();
        let task = *job.waiting.first()?;
        let member = self.allocate_start(&demand, task, worker)?;
        Some(PlacementDecision::Start {
            job: id,
            members: vec![member],
        })
    }

    /// Returns a job whose task may fail without harm: repeatable batch work that fits and has not
    /// failed, of the class that is served last.
    fn probe_job(&self, free: &ResourceVector, now: Millis) -> Option<JobIndex> {
        let classes = self.class_order();
        let queues = classes
            .iter()
            .rev()
            .flat_map(|&class| self.queues.classes[class].ready.iter());
        let jobs = queues.flat_map(|&(_, queue)| {
            let jobs = self.queues.queue(queue).jobs.values();
            jobs.copied().take(PROBE_LOOKAHEAD)
        });
        jobs.into_iter().find(|&index| {
            let Some(job) = self.queues.job(index) else {
                return false;
            };
            let is_safe = job.spec.kind == JobKind::Batch && job.spec.repeatable;
            let demand = self.demand_of(index, now);
            is_safe
                && self.health.failed_workers(&job.id) == 0
                && demand.is_some_and(|demand| {
                    demand.size.fits_in(free) && self.is_within_quota(index, &demand)
                })
        })
    }

    /// Ends the throttling of attempts after `MIN_THROTTLE`, once their worker is not reserved and
    /// has the CPU free.
    pub fn restore_throttled(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let ready = self.throttled.iter().filter(|(attempt, entry)| {
            let running = self.ledger.attempt(attempt);
            entry.since.saturating_add(MIN_THROTTLE) <= now
                && running.is_some_and(|running| self.plans.reservation(running.worker).is_none())
        });
        let ready = ready.map(|(attempt, entry)| (attempt.clone(), *entry));
        let mut ready: Vec<(AttemptId, ThrottleEntry)> = ready.collect();
        ready.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (attempt, entry) in ready {
            let Some(running) = self.ledger.attempt(&attempt) else {
                continue;
            };
            let (worker, beneficiary) = (running.worker, running.record.task.job.clone());
            if !self.resize(&attempt, entry.full) {
                continue;
            }
            self.throttled.remove(&attempt);
            self.reindex(worker);
            decisions.push(PlacementDecision::Preempt {
                attempt,
                action: PreemptionAction::Throttle(100),
                beneficiary,
            });
        }
    }
}
