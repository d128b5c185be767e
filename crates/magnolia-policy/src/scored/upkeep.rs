//! What each round does beside starting waiting work: escalation, moves, probes, recovery.

use magnolia_types::{AttemptId, JobId, JobKind, Millis, ResourceVector};

use super::ScoredEngine;
use super::job_book::JobIndex;
use super::{ThrottleEntry, YieldEntry};
use crate::room_ledger::WorkerIndex;
use crate::{PlacementDecision, PreemptionAction};

/// Time that a checkpoint may take before the attempt is stopped.
const CHECKPOINT_GRACE: Millis = Millis::from_secs(10);
/// Shortest time that an attempt stays throttled, so that it does not change to and fro.
const MIN_THROTTLE: Millis = Millis::from_secs(5);
/// Services that leave a worker in one round, so that their replacements find room.
const MAX_MOVES_PER_ROUND: usize = 4;
/// Probes that start in one round.
const MAX_PROBES_PER_ROUND: usize = 4;
/// Jobs of a lane that are considered for a probe.
const PROBE_LOOKAHEAD: usize = 4;

impl ScoredEngine {
    /// Records that an attempt has to give way and returns the decision.
    fn preempt(
        &mut self,
        attempt: AttemptId,
        action: PreemptionAction,
        beneficiary: JobId,
        now: Millis,
    ) -> PlacementDecision {
        let entry = YieldEntry { action, since: now };
        self.yields.insert(attempt.clone(), entry);
        PlacementDecision::Preempt {
            attempt,
            action,
            beneficiary,
        }
    }

    /// Stops attempts that did not end after their checkpoint.
    pub fn escalate_yields(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let late = self.yields.iter().filter(|(_, entry)| {
            entry.action == PreemptionAction::Checkpoint
                && entry.since.saturating_add(CHECKPOINT_GRACE) <= now
        });
        let mut late: Vec<AttemptId> = late.map(|(attempt, _)| attempt.clone()).collect();
        late.sort_unstable();
        for attempt in late {
            let Some(held) = self.ledger.attempt(&attempt) else {
                continue;
            };
            let earmark = self.plans.earmark(held.worker);
            let waiting = earmark.and_then(|earmark| self.book.job(earmark.job));
            let beneficiary = waiting.map_or(&held.record.task.job, |job| &job.id).clone();
            decisions.push(self.preempt(attempt, PreemptionAction::Stop, beneficiary, now));
        }
    }

    /// Moves services off leaving workers while there is room elsewhere.
    pub fn move_services(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let mut moves: Vec<(AttemptId, JobId)> = Vec::new();
        for &worker in &self.leaving {
            for attempt in &self.ledger.slot(worker).attempts {
                if moves.len() == MAX_MOVES_PER_ROUND {
                    break;
                }
                let Some(held) = self.ledger.attempt(attempt) else {
                    continue;
                };
                let job = &held.record.task.job;
                let is_service = held.record.spec.kind == JobKind::Service;
                if !is_service || self.yields.contains_key(attempt) {
                    continue;
                }
                let index = self.book.index_of(job);
                let need = index.and_then(|index| self.need_of(index, now));
                if need.is_some_and(|need| self.find_worker(&need).is_some()) {
                    moves.push((attempt.clone(), job.clone()));
                }
            }
        }
        for (attempt, beneficiary) in moves {
            decisions.push(self.preempt(attempt, PreemptionAction::Checkpoint, beneficiary, now));
        }
    }

    /// Starts one repeatable task on each quarantined worker that is due; returns the starts.
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
                self.room_freed(worker);
            }
        }
        starts
    }

    fn start_probe(&mut self, worker: WorkerIndex, now: Millis) -> Option<PlacementDecision> {
        let slot = self.ledger.slot(worker);
        if !slot.is_usable() {
            return None;
        }
        let free = slot.free();
        let index = self.probe_job(&free, now)?;
        let need = self.need_of(index, now)?;
        let job = self.book.job(index)?;
        let id = job.id.clone();
        let task = *job.waiting.first()?;
        let member = self.reserve(&need, task, worker)?;
        Some(PlacementDecision::Start {
            job: id,
            members: vec![member],
        })
    }

    /// Returns a job whose task may fail without harm: repeatable batch work, least urgent first.
    fn probe_job(&self, free: &ResourceVector, now: Millis) -> Option<JobIndex> {
        let classes = self.class_order();
        let lanes = classes
            .iter()
            .rev()
            .flat_map(|&class| self.book.classes[class].ready.iter());
        let jobs = lanes.flat_map(|&(_, lane)| {
            let jobs = self.book.lane(lane).jobs.values();
            jobs.copied().take(PROBE_LOOKAHEAD)
        });
        jobs.into_iter().find(|&index| {
            let Some(job) = self.book.job(index) else {
                return false;
            };
            let is_safe = job.spec.kind == JobKind::Batch && job.spec.repeatable;
            let need = self.need_of(index, now);
            is_safe
                && self.health.failed_workers(&job.id) == 0
                && need.is_some_and(|need| {
                    need.size.fits_in(free) && self.is_within_quota(index, &need)
                })
        })
    }

    /// Gives throttled attempts their processors back once nobody needs them.
    pub fn restore_throttled(&mut self, now: Millis, decisions: &mut Vec<PlacementDecision>) {
        let ready = self.throttled.iter().filter(|(attempt, entry)| {
            let held = self.ledger.attempt(attempt);
            entry.since.saturating_add(MIN_THROTTLE) <= now
                && held.is_some_and(|held| self.plans.earmark(held.worker).is_none())
        });
        let ready = ready.map(|(attempt, entry)| (attempt.clone(), *entry));
        let mut ready: Vec<(AttemptId, ThrottleEntry)> = ready.collect();
        ready.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        for (attempt, entry) in ready {
            let Some(held) = self.ledger.attempt(&attempt) else {
                continue;
            };
            let (worker, beneficiary) = (held.worker, held.record.task.job.clone());
            if !self.resize(&attempt, entry.full) {
                continue;
            }
            self.throttled.remove(&attempt);
            self.refile(worker);
            decisions.push(PlacementDecision::Preempt {
                attempt,
                action: PreemptionAction::Throttle(100),
                beneficiary,
            });
        }
    }
}
