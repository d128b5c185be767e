//! Model of an owner, with the real lease table and takeover tracker.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_state::{IncarnationCheck, LeaseTable, TakeoverTracker, with_drift};
use magnolia_types::{AttemptId, Epoch, Incarnation, JobId, Millis, TaskIndex, TaskRef, WorkerId};

use super::worker::{ModelAnswer, ModelCommand};
use super::{LEASE, Variant};

/// State of a task as known to an owner.
#[derive(Clone, Debug)]
pub struct ModelTask {
    /// Epoch under which the task was accepted.
    pub accepted: Epoch,
    pub running: Option<(AttemptId, WorkerId)>,
    /// Whether the running attempt is known only from the journal, not from a worker's report.
    pub unseen: bool,
    pub done: bool,
}

/// An owner of the partition.
pub struct ModelOwner {
    pub epoch: Epoch,
    pub tasks: BTreeMap<TaskIndex, ModelTask>,
    pub tracker: TakeoverTracker,
    leases: LeaseTable,
    /// Worker processes before whose first start the owner's claim was confirmed to be current.
    confirmed: BTreeSet<(WorkerId, Incarnation)>,
    next_attempt: u32,
    /// Whether the owner has not learned yet that it was superseded.
    pub active: bool,
    pub paused: bool,
}

impl ModelOwner {
    /// Creates an owner with the tasks that it found in the journal.
    pub fn new(
        epoch: Epoch,
        tracker: TakeoverTracker,
        tasks: BTreeMap<TaskIndex, ModelTask>,
    ) -> Self {
        Self {
            epoch,
            tasks,
            tracker,
            leases: LeaseTable::new(),
            confirmed: BTreeSet::new(),
            next_attempt: 1,
            active: true,
            paused: false,
        }
    }

    /// Creates a fence command.
    pub fn fence(&self) -> ModelCommand {
        ModelCommand {
            epoch: self.epoch,
            incarnation: Incarnation::new(0),
            reading: Millis::new(0),
            start: None,
            is_fence: true,
        }
    }

    /// Creates a lease renewal. If the task `repeat` runs on `worker`, its start is sent again.
    pub fn renew(&mut self, worker: &WorkerId, repeat: Option<TaskIndex>) -> Option<ModelCommand> {
        // A start that is known only from the journal was sent by an earlier owner. If the worker
        // has restarted since, sending it again would run the attempt a second time.
        let task = repeat.and_then(|task| {
            let entry = self.tasks.get(&task).filter(|entry| !entry.unseen)?;
            Some((task, entry.running.clone()?))
        });
        let start = task.filter(|(_, running)| running.1 == *worker);
        self.command(worker, start.map(|(task, (attempt, _))| (attempt, task)))
    }

    /// Starts a waiting task if the rules allow it; `claimed` is the newest claimed epoch.
    pub fn start(
        &mut self,
        worker: &WorkerId,
        task: TaskIndex,
        claimed: Epoch,
        variant: Variant,
    ) -> Option<ModelCommand> {
        let entry = self.tasks.get(&task)?;
        if entry.done || entry.running.is_some() || !self.tracker.is_fenced(worker) {
            return None;
        }
        let allowed = self.tracker.may_place(entry.accepted, worker);
        if !allowed && variant != Variant::TargetOnly {
            return None;
        }
        let reading = self.leases.newest_reading(worker)?;
        if !self
            .confirmed
            .contains(&(worker.clone(), reading.incarnation))
        {
            if claimed > self.epoch {
                self.active = false;
                return None;
            }
            self.confirmed.insert((worker.clone(), reading.incarnation));
        }
        let job = JobId::new_in("p0", 1).expect("an id");
        let attempt = TaskRef::new(job, task)
            .attempt(self.epoch, self.next_attempt)
            .expect("an id");
        self.next_attempt += 1;
        self.leases.add_attempt(worker, attempt.clone());
        let entry = self.tasks.get_mut(&task)?;
        entry.running = Some((attempt.clone(), worker.clone()));
        entry.unseen = false;
        self.command(worker, Some((attempt, task)))
    }

    /// Handles the answer of a worker.
    pub fn answer(&mut self, worker: &WorkerId, answer: &ModelAnswer, now: Millis) {
        if answer.superseded {
            self.active = false;
            return;
        }
        match self
            .leases
            .record_reply(worker, answer.incarnation, answer.reading, now)
        {
            IncarnationCheck::Outdated => return,
            IncarnationCheck::Restarted(lost) => self.requeue(&lost),
            IncarnationCheck::First | IncarnationCheck::Same => {}
        }
        if answer.is_fence && !self.tracker.is_fenced(worker) {
            self.adopt(worker, answer, now);
            if self.tracker.record_fenced(worker) {
                self.requeue_unseen();
            }
        }
        let ended = answer.attempts.iter().filter(|(_, attempt)| attempt.ended);
        let ended: Vec<AttemptId> = ended
            .map(|(id, _)| id.clone())
            .chain(answer.refused.clone())
            .collect();
        for attempt in &ended {
            self.leases.remove_attempt(worker, attempt);
        }
        self.requeue(&ended);
    }

    /// Requeues the tasks of expired leases, and completes the takeover when the wait is over.
    pub fn tick(&mut self, now: Millis) {
        for (_, expired) in self.leases.expire(now) {
            self.requeue(&expired);
        }
        if self.tracker.advance(now) {
            self.requeue_unseen();
        }
    }

    fn command(
        &mut self,
        worker: &WorkerId,
        start: Option<(AttemptId, TaskIndex)>,
    ) -> Option<ModelCommand> {
        if !self.tracker.is_fenced(worker) {
            return None;
        }
        let reading = self.leases.newest_reading(worker)?;
        self.leases.record_command(worker, &reading, LEASE);
        Some(ModelCommand {
            epoch: self.epoch,
            incarnation: reading.incarnation,
            reading: reading.value,
            start,
            is_fence: false,
        })
    }

    fn adopt(&mut self, worker: &WorkerId, answer: &ModelAnswer, now: Millis) {
        for (id, attempt) in answer.attempts.iter().filter(|(_, attempt)| !attempt.ended) {
            let left = attempt.lease_until.saturating_sub(answer.reading);
            self.leases
                .adopt_attempt(worker, id.clone(), now.saturating_add(with_drift(left)));
            if let Some(task) = self.tasks.get_mut(&attempt.task) {
                task.running = Some((id.clone(), worker.clone()));
                task.unseen = false;
            }
        }
    }

    fn requeue(&mut self, attempts: &[AttemptId]) {
        for task in self.tasks.values_mut() {
            if task
                .running
                .as_ref()
                .is_some_and(|(id, _)| attempts.contains(id))
            {
                task.running = None;
            }
        }
    }

    fn requeue_unseen(&mut self) {
        let unseen = self.tasks.values_mut().filter(|task| task.unseen);
        unseen.for_each(|task| task.running = None);
    }
}
