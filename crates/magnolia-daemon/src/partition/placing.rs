//! Carries out placement decisions and handles the ends of attempts.

use std::sync::Arc;

use magnolia_backing::StartCommand;
use magnolia_policy::{
    AttemptRecord, PlacementDecision, PreemptionAction, TaskEnd, WorkerCondition,
};
use magnolia_state::{AttemptResult, JobEffects, JournalEntry, TaskState};
use magnolia_types::{
    AttemptId, JobId, JobKind, JobOutcome, JobState, Millis, ResourceVector, ResultCode, TaskIndex,
    TaskRef, WorkerId,
};

use super::events::JournalWaiter;
use super::owner::{OwnedAttempt, PartitionOwner, wall_clock};
use super::worker_link::{AttemptOrder, PendingStart, WorkerLink};
use crate::metrics::names;

/// Maximum number of starts in one placement round, so that events are handled in between.
const STARTS_PER_ROUND: usize = 500;

impl PartitionOwner {
    /// Runs a placement round and carries out its decisions.
    pub(super) fn place(&mut self) {
        let now = self.now();
        let decisions = self.engine.decide(now, STARTS_PER_ROUND);
        // A round that reached its maximum may have left decisions for the next one.
        self.placement_due |= decisions.len() >= STARTS_PER_ROUND;
        for decision in decisions {
            match decision {
                PlacementDecision::Start { job, members } => self.start_job(&job, members, now),
                PlacementDecision::Preempt {
                    attempt,
                    action,
                    beneficiary,
                } => self.preempt(&attempt, action, &beneficiary),
                PlacementDecision::GiveUp { job, reason } => {
                    let outcome = JobOutcome {
                        state: JobState::Failed,
                        code: ResultCode::WorkFailed,
                        reason,
                    };
                    self.end_job(&job, outcome);
                }
            }
        }
    }

    /// Starts the tasks of a decision. None is started if the job is ending, if one of the workers
    /// gets no new tasks now, or if the job is not repeatable and the log is unavailable.
    fn start_job(
        &mut self,
        job: &JobId,
        members: Vec<(TaskIndex, WorkerId, ResourceVector)>,
        now: Millis,
    ) {
        let entry = self.table.get(job);
        let repeatable = entry.is_some_and(|entry| entry.spec.repeatable);
        let is_held = !repeatable && !self.committer.is_healthy();
        let may_start = entry.is_some_and(|entry| entry.ending.is_none())
            && members
                .iter()
                .all(|(_, worker, _)| self.accepts_starts(worker));
        if is_held || !may_start {
            for (task, worker, _) in members {
                self.engine
                    .start_failed(&TaskRef::new(job.clone(), task), &worker, now);
            }
            if is_held {
                self.engine.withdraw(std::slice::from_ref(job));
                self.held_for_log.insert(job.clone());
            }
            return;
        }
        for (task, worker, size) in members {
            self.start_task(TaskRef::new(job.clone(), task), worker, size, now);
        }
    }

    fn accepts_starts(&self, worker: &WorkerId) -> bool {
        let view = self.links.get(worker).and_then(|link| link.view.as_ref());
        view.is_some_and(|view| view.condition == WorkerCondition::Usable)
    }

    fn start_task(&mut self, task: TaskRef, worker: WorkerId, size: ResourceVector, now: Millis) {
        let epoch = self.claim.epoch;
        let started = self.table.next_attempt(&task, epoch).filter(|attempt| {
            let attempt = attempt.clone();
            self.table.start(&task, attempt, worker.clone())
        });
        let Some(attempt) = started else {
            self.engine.start_failed(&task, &worker, now);
            return;
        };
        let Some(spec) = self
            .table
            .get(&task.job)
            .map(|entry| Arc::clone(&entry.spec))
        else {
            return;
        };
        let entry = JournalEntry::AttemptStarted {
            task: task.clone(),
            attempt: attempt.clone(),
            worker: worker.clone(),
        };
        self.engine.attempt_started(AttemptRecord {
            attempt: attempt.clone(),
            task: task.clone(),
            worker: worker.clone(),
            size,
            spec: Arc::clone(&spec),
            started: now,
        });
        self.leases.add_attempt(&worker, attempt.clone());
        self.notes.add(
            &task.job,
            format!("task {} was placed on {worker}", task.task),
        );
        self.attempts.insert(
            attempt.clone(),
            OwnedAttempt {
                task: task.clone(),
                worker: worker.clone(),
            },
        );
        self.context.metrics.count(names::STARTS_DECIDED);
        let command = StartCommand {
            attempt: attempt.clone(),
            task,
            size,
            run_ms: spec.run_ms,
        };
        if spec.repeatable {
            self.committer.push(entry, None, now);
            self.send_start(&worker, command);
        } else {
            // The intent has to be in the journal before the start is sent.
            self.starts_awaiting_intent.insert(attempt.clone(), command);
            let waiter = JournalWaiter::Start { worker, attempt };
            self.committer.push_urgent(entry, waiter, true, now);
        }
    }

    /// Adds a start to the next message to its worker.
    pub(super) fn send_start(&mut self, worker: &WorkerId, command: StartCommand) {
        if let Some(link) = self.links.get_mut(worker) {
            let attempt = command.attempt.clone();
            link.starts
                .insert(attempt, PendingStart { command, sends: 0 });
        }
    }

    /// Sends a start whose intent is in the journal, unless the start is no longer wanted.
    pub(super) fn intent_written(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        let Some(command) = self.starts_awaiting_intent.remove(attempt) else {
            return;
        };
        let is_wanted = self.attempts.contains_key(attempt)
            && self.is_serving()
            && self
                .table
                .get(&command.task.job)
                .is_some_and(|entry| entry.ending.is_none());
        if is_wanted {
            self.send_start(worker, command);
        } else {
            self.end_attempt(attempt, AttemptResult::NotStarted, false);
        }
    }

    fn preempt(&mut self, attempt: &AttemptId, action: PreemptionAction, beneficiary: &JobId) {
        let Some(known) = self.attempts.get(attempt) else {
            return;
        };
        let (job, worker) = (known.task.job.clone(), known.worker.clone());
        let (order, verb) = match action {
            PreemptionAction::Throttle(percent) => (AttemptOrder::Throttle(percent), "throttled"),
            PreemptionAction::Checkpoint => (AttemptOrder::Checkpoint, "checkpointed"),
            PreemptionAction::Stop => (AttemptOrder::Stop, "stopped"),
        };
        self.context.metrics.count(names::PREEMPTIONS_ORDERED);
        let task = known.task.task;
        self.notes.add(
            &job,
            format!("task {task} on {worker} is {verb} for {beneficiary}"),
        );
        if let Some(link) = self.links.get_mut(&worker) {
            link.set_order(attempt, order);
        }
    }

    /// Handles the end of an attempt; with `reported`, the worker has reported it and waits for an
    /// acknowledgement.
    pub(super) fn end_attempt(
        &mut self,
        attempt: &AttemptId,
        result: AttemptResult,
        reported: bool,
    ) {
        let Some(OwnedAttempt { task, worker }) = self.attempts.remove(attempt) else {
            return;
        };
        let (now, at) = (self.now(), wall_clock());
        self.leases.remove_attempt(&worker, attempt);
        self.starts_awaiting_intent.remove(attempt);
        if let Some(link) = self.links.get_mut(&worker) {
            link.forget(attempt);
        }
        let end = match result {
            AttemptResult::Succeeded => TaskEnd::Succeeded,
            AttemptResult::Failed => TaskEnd::Failed,
            _ => TaskEnd::Interrupted,
        };
        self.engine.attempt_ended(attempt, end, now);
        self.placement_due = true;
        self.journal_end(&task, attempt, &worker, (result, reported));
        let effects = self.table.end(&task, attempt, result, at);
        self.delay_retry(&task, result, now);
        if let Some(effects) = effects {
            if result != AttemptResult::Succeeded {
                let note = format!("task {} on {worker} ended: {result:?}", task.task);
                self.notes.add(&task.job, note);
            }
            self.apply_effects(&task.job, effects);
        }
    }

    /// Delays the next attempt of a task that failed, or of a service that ended by itself.
    fn delay_retry(&mut self, task: &TaskRef, result: AttemptResult, now: Millis) {
        let entry = self.table.get(&task.job);
        let state = entry.and_then(|entry| entry.tasks.get(task.task as usize));
        let Some(state) = state.filter(|state| state.state == TaskState::Waiting) else {
            return;
        };
        if matches!(result, AttemptResult::Failed | AttemptResult::Succeeded) {
            self.retry_delays.delay(task.clone(), state.failures, now);
        }
    }

    fn journal_end(
        &mut self,
        task: &TaskRef,
        attempt: &AttemptId,
        worker: &WorkerId,
        (result, reported): (AttemptResult, bool),
    ) {
        let (now, at) = (self.now(), wall_clock());
        let entry = JournalEntry::AttemptEnded {
            task: task.clone(),
            attempt: attempt.clone(),
            result,
            at,
        };
        let repeatable = self
            .table
            .get(&task.job)
            .is_none_or(|entry| entry.spec.repeatable);
        // The end is acknowledged to the worker after it is in the journal. While the log is
        // unavailable, it is acknowledged at once, because the owner keeps the entry, unless the
        // task is not repeatable.
        if reported && (self.committer.is_healthy() || !repeatable) {
            self.unwritten_ends.insert(attempt.clone());
            let waiter = JournalWaiter::Acknowledge {
                worker: worker.clone(),
                attempt: attempt.clone(),
            };
            self.committer.push(entry, Some(waiter), now);
        } else {
            self.committer.push(entry, None, now);
            if reported {
                self.acknowledge_now(worker, attempt);
            }
        }
    }

    /// Carries out the effects of a change of a job: stops, requeueing or its final state.
    pub(super) fn apply_effects(&mut self, job: &JobId, effects: JobEffects) {
        for running in effects.stops {
            if let Some(link) = self.links.get_mut(&running.worker) {
                link.set_order(&running.attempt, AttemptOrder::Stop);
            }
        }
        if effects.became_final {
            self.engine.withdraw(std::slice::from_ref(job));
            self.context.metrics.count(names::JOBS_FINISHED);
            self.answer_waiters(job);
        } else if !effects.requeue.is_empty() {
            self.enqueue_ready(job);
        }
    }

    /// Queues the jobs that waited for the log, once it is available.
    pub(super) fn requeue_held(&mut self) {
        if !self.held_for_log.is_empty() && self.committer.is_healthy() {
            for job in std::mem::take(&mut self.held_for_log) {
                self.enqueue_ready(&job);
            }
        }
    }

    /// Stops one task of each service on leaving workers, so that it restarts elsewhere. The next
    /// task follows once no task of the service is waiting or stopping.
    pub(super) fn move_services(&mut self) {
        let leaving = |link: &WorkerLink| {
            let view = link.view.as_ref();
            view.is_some_and(|view| view.condition == WorkerCondition::Leaving)
        };
        if !self.links.values().any(leaving) {
            return;
        }
        let mut moved: Vec<(WorkerId, AttemptId)> = Vec::new();
        for (job, entry) in self.table.iter() {
            let moves = entry.spec.kind == JobKind::Service
                && entry.ending.is_none()
                && entry.tally.waiting == 0;
            if !moves {
                continue;
            }
            let on_leaving = |worker: &WorkerId| self.links.get(worker).is_some_and(leaving);
            let is_stopping = entry.running().any(|(_, running)| {
                let link = self.links.get(&running.worker);
                link.is_some_and(|link| link.orders.contains_key(&running.attempt))
            });
            let found = entry
                .running()
                .find(|(_, running)| on_leaving(&running.worker));
            if let Some((_, running)) = found.filter(|_| !is_stopping) {
                log::info!(
                    "{job}: moving a task away from leaving worker {}",
                    running.worker
                );
                moved.push((running.worker.clone(), running.attempt.clone()));
            }
        }
        for (worker, attempt) in moved {
            if let Some(link) = self.links.get_mut(&worker) {
                link.set_order(&attempt, AttemptOrder::Stop);
            }
        }
    }
}
