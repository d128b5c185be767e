//! State machine of a worker: fences, commands and leases, without clock or I/O.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, PoisonError};

use magnolia_backing::{
    AttemptEnd, AttemptReport, AttemptState, CommandAnswer, CommandBatch, FenceRequest,
    RefusedStart, StartCommand, StartRefusal, WorkerReport,
};
use magnolia_types::{
    AttemptId, CpuMillis, Epoch, Incarnation, MemoryMib, Millis, ResourceVector, TaskRef, WorkerId,
};

use super::WorkerFaults;

/// Time that a task takes to end by itself after a stop; a shorter grace period kills it earlier.
const STOP_TIME: Millis = Millis::new(20);
/// Time after its start at which a failing task fails.
const FAIL_TIME: Millis = Millis::new(20);
/// Time after its start at which the usage of a task is first measured.
const USAGE_LAG: Millis = Millis::new(500);
/// Processor share of a task that is not throttled.
const FULL_PERCENT: u8 = 100;

/// Remaining run times of checkpointed tasks. All workers share them, as in a shared store.
pub type CheckpointStore = Arc<Mutex<HashMap<TaskRef, Millis>>>;

/// Effect of a call or of the passage of time, for the history.
pub enum WorkerAction {
    /// An attempt started.
    Started(Box<StartCommand>, Epoch),
    /// The processor share of an attempt changed to this percentage.
    Throttled(AttemptId, u8),
    /// An attempt ended.
    Ended(AttemptId, AttemptEnd),
    /// A start was refused.
    Refused(AttemptId, StartRefusal),
}

/// One attempt on the worker.
struct AttemptEntry {
    partition: Arc<str>,
    start: StartCommand,
    started: Millis,
    lease_until: Millis,
    /// Remaining run time at full speed, as of `since`; `None` when the task has no end.
    remaining: Option<Millis>,
    since: Millis,
    /// Processor share.
    percent: u8,
    /// Time at which a stop, checkpoint or fault ends the attempt, and how.
    stop: Option<(Millis, AttemptEnd)>,
    end: Option<AttemptEnd>,
}

/// State of one worker.
pub struct WorkerModel {
    worker: WorkerId,
    incarnation: Incarnation,
    capacity: ResourceVector,
    faults: WorkerFaults,
    /// Lowest epoch of each partition whose commands are accepted.
    epochs: HashMap<Arc<str>, Epoch>,
    attempts: BTreeMap<AttemptId, AttemptEntry>,
    checkpoints: CheckpointStore,
    actions: Vec<(Millis, WorkerAction)>,
}

impl WorkerModel {
    /// Creates a worker without tasks.
    pub fn new(worker: WorkerId, incarnation: Incarnation, capacity: ResourceVector) -> Self {
        Self {
            worker,
            incarnation,
            capacity,
            faults: WorkerFaults::default(),
            epochs: HashMap::new(),
            attempts: BTreeMap::new(),
            checkpoints: CheckpointStore::default(),
            actions: Vec::new(),
        }
    }

    /// Sets the store of checkpoints.
    #[must_use]
    pub fn with_checkpoints(mut self, checkpoints: CheckpointStore) -> Self {
        self.checkpoints = checkpoints;
        self
    }

    /// Replaces the faults.
    pub fn set_faults(&mut self, faults: WorkerFaults) {
        self.faults = faults;
    }

    /// Restarts the worker; it loses its tasks, fences and unacknowledged ends.
    pub fn restart(&mut self, now: Millis, incarnation: Incarnation) {
        self.advance(now);
        let running: Vec<AttemptId> = self.running().map(|(id, _)| id.clone()).collect();
        for attempt in running {
            self.end(&attempt, now, AttemptEnd::Stopped);
        }
        self.attempts.clear();
        self.epochs.clear();
        self.incarnation = incarnation;
    }

    /// Returns the actions since the last call, with their times.
    pub fn take_actions(&mut self) -> Vec<(Millis, WorkerAction)> {
        std::mem::take(&mut self.actions)
    }

    /// Ends the attempts whose run time, grace period or lease is over.
    pub fn advance(&mut self, now: Millis) {
        let due = self
            .running()
            .filter_map(|(id, entry)| {
                let (at, end) = entry.next_end()?;
                (at <= now).then(|| (id.clone(), at, end))
            })
            .collect::<Vec<_>>();
        for (id, at, end) in due {
            self.end(&id, at, end);
        }
    }

    /// Raises the lowest epoch whose commands are accepted.
    pub fn fence(&mut self, now: Millis, request: &FenceRequest) -> CommandAnswer {
        self.advance(now);
        let superseded_by = self.check_epoch(&request.partition, request.epoch);
        self.answer(now, superseded_by, &request.partition, None)
    }

    /// Carries out a batch of commands.
    pub fn command(&mut self, now: Millis, batch: &CommandBatch) -> CommandAnswer {
        self.advance(now);
        let superseded_by = self.check_epoch(&batch.partition, batch.epoch);
        if superseded_by.is_some() {
            return self.answer(now, superseded_by, &batch.partition, None);
        }
        self.attempts
            .retain(|id, entry| entry.end.is_none() || !batch.acknowledged.contains(id));
        if batch.renew && batch.incarnation == self.incarnation {
            let until = batch.reading_ms.saturating_add(batch.lease_ms);
            self.renew(&batch.partition, until);
        }
        for stop in &batch.stops {
            let at = now.saturating_add(stop.grace_ms.min(STOP_TIME));
            self.stop(&stop.attempt, at, AttemptEnd::Stopped);
        }
        for attempt in &batch.checkpoints {
            self.save_checkpoint(now, attempt);
            self.stop(attempt, now, AttemptEnd::Checkpointed);
        }
        for throttle in &batch.throttles {
            self.throttle(now, &throttle.attempt, throttle.percent);
        }
        self.advance(now);
        let refused = batch
            .starts
            .iter()
            .filter_map(|start| self.start(now, batch, start));
        let refused = refused.collect();
        let named = (!batch.full_report).then_some(batch);
        let mut answer = self.answer(now, None, &batch.partition, named);
        answer.refused = refused;
        answer
    }

    /// Reports the state of the worker. With a batch, the report has only the attempts that the
    /// batch starts and those that have ended.
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
            leaving: self.faults.leaving,
            capacity: self.faults.claimed_capacity.unwrap_or(self.capacity),
            attempts: attempts
                .map(|(_, entry)| entry.report(now, self.faults.usage_percent))
                .collect(),
            full: batch.is_none(),
        }
    }

    fn answer(
        &self,
        now: Millis,
        superseded_by: Option<Epoch>,
        partition: &str,
        batch: Option<&CommandBatch>,
    ) -> CommandAnswer {
        CommandAnswer {
            superseded_by,
            refused: Vec::new(),
            report: self.report(now, partition, batch),
        }
    }

    fn running(&self) -> impl Iterator<Item = (&AttemptId, &AttemptEntry)> {
        self.attempts
            .iter()
            .filter(|(_, entry)| entry.end.is_none())
    }

    fn running_entry(&mut self, attempt: &AttemptId) -> Option<&mut AttemptEntry> {
        self.attempts
            .get_mut(attempt)
            .filter(|entry| entry.end.is_none())
    }

    fn check_epoch(&mut self, partition: &Arc<str>, epoch: Epoch) -> Option<Epoch> {
        let known = self.epochs.entry(Arc::clone(partition)).or_default();
        if epoch < *known && !self.faults.ignore_fences {
            return Some(*known);
        }
        *known = (*known).max(epoch);
        None
    }

    fn end(&mut self, attempt: &AttemptId, at: Millis, end: AttemptEnd) {
        if let Some(entry) = self.running_entry(attempt) {
            entry.end = Some(end);
            self.actions
                .push((at, WorkerAction::Ended(attempt.clone(), end)));
        }
    }

    fn stop(&mut self, attempt: &AttemptId, at: Millis, end: AttemptEnd) {
        if let Some(entry) = self.running_entry(attempt) {
            entry.stop.get_or_insert((at, end));
        }
    }

    fn save_checkpoint(&mut self, now: Millis, attempt: &AttemptId) {
        let Some(entry) = self.running_entry(attempt) else {
            return;
        };
        entry.update_remaining(now);
        if let Some(remaining) = entry.remaining {
            let task = entry.start.task.clone();
            let mut store = self
                .checkpoints
                .lock()
                .unwrap_or_else(PoisonError::into_inner);
            store.insert(task, remaining);
        }
    }

    /// Changes the processor share; a larger share that does not fit has no effect.
    fn throttle(&mut self, now: Millis, attempt: &AttemptId, percent: u8) {
        let percent = percent.clamp(1, FULL_PERCENT);
        let others = self.running().filter(|(id, _)| *id != attempt);
        let others = others.fold(ResourceVector::default(), |sum, (_, entry)| {
            sum.saturating_add(&entry.held_resources())
        });
        let capacity = self.capacity;
        let Some(entry) = self.running_entry(attempt) else {
            return;
        };
        let wanted = throttled_size(&entry.start.size, percent);
        if percent > entry.percent && !others.saturating_add(&wanted).fits_in(&capacity) {
            return;
        }
        entry.update_remaining(now);
        entry.percent = percent;
        self.actions
            .push((now, WorkerAction::Throttled(attempt.clone(), percent)));
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
        let attempt = start.attempt.clone();
        if self.attempts.contains_key(&attempt) {
            return None;
        }
        if let Some(reason) = self.refusal(now, batch, start) {
            self.actions
                .push((now, WorkerAction::Refused(attempt.clone(), reason)));
            return Some(RefusedStart { attempt, reason });
        }
        let entry = AttemptEntry {
            partition: Arc::clone(&batch.partition),
            start: start.clone(),
            started: now,
            lease_until: batch.reading_ms.saturating_add(batch.lease_ms),
            remaining: self.run_time(start),
            since: now,
            percent: FULL_PERCENT,
            stop: self
                .faults
                .fail_tasks
                .then(|| (now.saturating_add(FAIL_TIME), AttemptEnd::Failed)),
            end: None,
        };
        self.attempts.insert(attempt, entry);
        let action = WorkerAction::Started(Box::new(start.clone()), batch.epoch);
        self.actions.push((now, action));
        None
    }

    /// Returns the run time of a task at full speed: the remaining time that a checkpoint saved, or
    /// the declared time changed by the fault `run_time_percent`.
    fn run_time(&self, start: &StartCommand) -> Option<Millis> {
        let mut store = self
            .checkpoints
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        store.remove(&start.task).or_else(|| {
            let percent = self.faults.run_time_percent.unwrap_or(100);
            let declared = start.run_ms?.get();
            Some(Millis::new(declared.saturating_mul(percent) / 100))
        })
    }

    fn refusal(
        &self,
        now: Millis,
        batch: &CommandBatch,
        start: &StartCommand,
    ) -> Option<StartRefusal> {
        let held_resources = self.running().fold(start.size, |sum, (_, entry)| {
            sum.saturating_add(&entry.held_resources())
        });
        if batch.incarnation != self.incarnation {
            Some(StartRefusal::OtherIncarnation)
        } else if now.saturating_sub(batch.reading_ms) > batch.start_window_ms {
            Some(StartRefusal::StaleReading)
        } else if self.faults.leaving {
            Some(StartRefusal::Leaving)
        } else if !held_resources.fits_in(&self.capacity) && !self.faults.ignore_limits {
            Some(StartRefusal::NoRoom)
        } else {
            None
        }
    }
}

/// Returns the resources that a task of this size holds at a processor share.
fn throttled_size(size: &ResourceVector, percent: u8) -> ResourceVector {
    let cpu = size.cpu_millis.get() * u64::from(percent) / u64::from(FULL_PERCENT);
    ResourceVector::new(cpu, size.memory_mib.get(), size.accelerators)
}

impl AttemptEntry {
    /// Returns the resources that the attempt holds; throttling frees a part of its processors.
    fn held_resources(&self) -> ResourceVector {
        throttled_size(&self.start.size, self.percent)
    }

    /// Returns when and how the attempt ends if nothing changes.
    fn next_end(&self) -> Option<(Millis, AttemptEnd)> {
        let finished = self.remaining.map(|remaining| {
            let needed = remaining
                .get()
                .saturating_mul(100)
                .div_ceil(u64::from(self.percent));
            let at = self.since.saturating_add(Millis::new(needed));
            (at, AttemptEnd::Succeeded)
        });
        let expired = Some((self.lease_until, AttemptEnd::LeaseExpired));
        let ends = [finished, expired, self.stop];
        ends.into_iter().flatten().min_by_key(|(at, _)| *at)
    }

    /// Subtracts the work done since `since` from the remaining run time.
    fn update_remaining(&mut self, now: Millis) {
        let done = now.saturating_sub(self.since).get() * u64::from(self.percent) / 100;
        self.remaining = self
            .remaining
            .map(|remaining| remaining.saturating_sub(Millis::new(done)));
        self.since = now;
    }

    fn report(&self, now: Millis, usage_percent: Option<u64>) -> AttemptReport {
        let state = match self.end {
            Some(end) => AttemptState::Ended(end),
            None if self.percent < FULL_PERCENT => AttemptState::Throttled,
            None => AttemptState::Running,
        };
        let ran_ms = now.saturating_sub(self.started);
        AttemptReport {
            attempt: self.start.attempt.clone(),
            task: self.start.task.clone(),
            size: self.start.size,
            state,
            lease_until_ms: self.lease_until,
            usage: if ran_ms < USAGE_LAG {
                ResourceVector::default()
            } else {
                scaled(&self.start.size, usage_percent.unwrap_or(100))
            },
            ran_ms,
        }
    }
}

/// Returns this percentage of the processors and memory of a size, and all its accelerators.
fn scaled(size: &ResourceVector, percent: u64) -> ResourceVector {
    ResourceVector {
        cpu_millis: CpuMillis::new(size.cpu_millis.get() * percent / 100),
        memory_mib: MemoryMib::new(size.memory_mib.get() * percent / 100),
        accelerators: size.accelerators,
    }
}
