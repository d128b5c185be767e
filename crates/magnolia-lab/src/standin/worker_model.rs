//! What a worker does with fences, commands and leases; without clock or I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use magnolia_platform::{
    AttemptEnd, AttemptReport, AttemptState, CommandAnswer, CommandBatch, FenceRequest,
    RefusedStart, StartCommand, StartRefusal, WorkerReport,
};
use magnolia_types::{AttemptId, Epoch, Incarnation, Millis, ResourceVector, WorkerId};

/// One attempt on the worker.
struct AttemptEntry {
    partition: Arc<str>,
    start: StartCommand,
    started: Millis,
    lease_until: Millis,
    end: Option<AttemptEnd>,
}

/// State of one worker.
pub struct WorkerModel {
    worker: WorkerId,
    incarnation: Incarnation,
    capacity: ResourceVector,
    leaving: bool,
    epochs: HashMap<Arc<str>, Epoch>,
    attempts: BTreeMap<AttemptId, AttemptEntry>,
}

impl WorkerModel {
    /// Creates a worker without tasks.
    pub fn new(worker: WorkerId, incarnation: Incarnation, capacity: ResourceVector) -> Self {
        Self {
            worker,
            incarnation,
            capacity,
            leaving: false,
            epochs: HashMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    /// Ends the attempts whose run time or lease is over.
    pub fn advance(&mut self, now: Millis) {
        for entry in self
            .attempts
            .values_mut()
            .filter(|entry| entry.end.is_none())
        {
            let ran = now.saturating_sub(entry.started);
            if entry.start.run_ms.is_some_and(|run| ran >= run) {
                entry.end = Some(AttemptEnd::Succeeded);
            } else if now >= entry.lease_until {
                entry.end = Some(AttemptEnd::LeaseExpired);
            }
        }
    }

    /// Raises the demanded epoch.
    pub fn fence(&mut self, now: Millis, request: &FenceRequest) -> CommandAnswer {
        self.advance(now);
        let superseded_by = self.check_epoch(&request.partition, request.epoch);
        let report = self.report(now, &request.partition, None);
        CommandAnswer {
            superseded_by,
            refused: Vec::new(),
            report,
        }
    }

    /// Carries a batch out.
    pub fn command(&mut self, now: Millis, batch: &CommandBatch) -> CommandAnswer {
        self.advance(now);
        let superseded_by = self.check_epoch(&batch.partition, batch.epoch);
        if superseded_by.is_some() {
            let report = self.report(now, &batch.partition, None);
            return CommandAnswer {
                superseded_by,
                refused: Vec::new(),
                report,
            };
        }
        self.attempts
            .retain(|id, entry| entry.end.is_none() || !batch.acknowledged.contains(id));
        for stop in &batch.stops {
            self.end(&stop.attempt, AttemptEnd::Stopped);
        }
        for attempt in &batch.checkpoints {
            self.end(attempt, AttemptEnd::Checkpointed);
        }
        if batch.renew && batch.incarnation == self.incarnation {
            self.renew(
                &batch.partition,
                batch.reading_ms.saturating_add(batch.lease_ms),
            );
        }
        let refused = batch
            .starts
            .iter()
            .filter_map(|start| self.start(now, batch, start));
        let refused = refused.collect();
        let named = (!batch.full_report).then_some(batch);
        let report = self.report(now, &batch.partition, named);
        CommandAnswer {
            superseded_by: None,
            refused,
            report,
        }
    }

    /// Describes the worker; with a batch, only its starts and the ended attempts.
    pub fn report(
        &self,
        now: Millis,
        partition: &str,
        batch: Option<&CommandBatch>,
    ) -> WorkerReport {
        let is_named = |id: &AttemptId, entry: &AttemptEntry| {
            batch.is_none_or(|batch| {
                entry.end.is_some() || batch.starts.iter().any(|start| start.attempt == *id)
            })
        };
        let attempts = self
            .attempts
            .iter()
            .filter(|(id, entry)| is_named(id, entry));
        WorkerReport {
            worker: self.worker.clone(),
            incarnation: self.incarnation,
            clock_ms: now,
            epoch: self.epochs.get(partition).copied().unwrap_or_default(),
            leaving: self.leaving,
            capacity: self.capacity,
            attempts: attempts.map(|(_, entry)| entry.report(now)).collect(),
            full: batch.is_none(),
        }
    }

    fn check_epoch(&mut self, partition: &Arc<str>, epoch: Epoch) -> Option<Epoch> {
        let known = self.epochs.entry(Arc::clone(partition)).or_default();
        if epoch < *known {
            return Some(*known);
        }
        *known = epoch;
        None
    }

    fn end(&mut self, attempt: &AttemptId, end: AttemptEnd) {
        if let Some(entry) = self
            .attempts
            .get_mut(attempt)
            .filter(|entry| entry.end.is_none())
        {
            entry.end = Some(end);
        }
    }

    fn renew(&mut self, partition: &Arc<str>, until: Millis) {
        let attempts = self
            .attempts
            .values_mut()
            .filter(|entry| entry.partition == *partition);
        attempts.for_each(|entry| entry.lease_until = entry.lease_until.max(until));
    }

    fn start(
        &mut self,
        now: Millis,
        batch: &CommandBatch,
        start: &StartCommand,
    ) -> Option<RefusedStart> {
        if self.attempts.contains_key(&start.attempt) {
            return None;
        }
        if let Some(reason) = self.refusal(now, batch, start) {
            return Some(RefusedStart {
                attempt: start.attempt.clone(),
                reason,
            });
        }
        let entry = AttemptEntry {
            partition: Arc::clone(&batch.partition),
            start: start.clone(),
            started: now,
            lease_until: batch.reading_ms.saturating_add(batch.lease_ms),
            end: None,
        };
        self.attempts.insert(start.attempt.clone(), entry);
        None
    }

    fn refusal(
        &self,
        now: Millis,
        batch: &CommandBatch,
        start: &StartCommand,
    ) -> Option<StartRefusal> {
        let held = self.attempts.values().filter(|entry| entry.end.is_none());
        let held = held.fold(start.size, |sum, entry| {
            sum.saturating_add(&entry.start.size)
        });
        if batch.incarnation != self.incarnation {
            Some(StartRefusal::OtherIncarnation)
        } else if now.saturating_sub(batch.reading_ms) > batch.start_window_ms {
            Some(StartRefusal::StaleReading)
        } else if self.leaving {
            Some(StartRefusal::Leaving)
        } else if !held.fits_in(&self.capacity) {
            Some(StartRefusal::NoRoom)
        } else {
            None
        }
    }
}

impl AttemptEntry {
    fn report(&self, now: Millis) -> AttemptReport {
        AttemptReport {
            attempt: self.start.attempt.clone(),
            task: self.start.task.clone(),
            size: self.start.size,
            state: self.end.map_or(AttemptState::Running, AttemptState::Ended),
            lease_until_ms: self.lease_until,
            usage: self.start.size,
            ran_ms: now.saturating_sub(self.started),
        }
    }
}
