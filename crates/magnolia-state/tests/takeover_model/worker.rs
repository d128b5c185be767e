//! Model of a worker: its epoch, leases, incarnation and attempts.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_types::{AttemptId, Epoch, Incarnation, Millis, TaskIndex};

use super::{LEASE, START_WINDOW, Variant};

/// An attempt on a worker.
#[derive(Clone, Debug)]
pub struct ModelAttempt {
    pub task: TaskIndex,
    pub lease_until: Millis,
    pub ended: bool,
}

/// A command from an owner to a worker.
#[derive(Clone, Debug)]
pub struct ModelCommand {
    pub epoch: Epoch,
    pub incarnation: Incarnation,
    pub reading: Millis,
    pub start: Option<(AttemptId, TaskIndex)>,
    pub is_fence: bool,
}

/// The answer to a command, with a full report of the worker's attempts.
#[derive(Clone, Debug)]
pub struct ModelAnswer {
    pub superseded: bool,
    pub is_fence: bool,
    pub refused: Option<AttemptId>,
    pub incarnation: Incarnation,
    pub reading: Millis,
    pub attempts: BTreeMap<AttemptId, ModelAttempt>,
}

/// A worker with its own clock.
pub struct ModelWorker {
    pub incarnation: Incarnation,
    pub attempts: BTreeMap<AttemptId, ModelAttempt>,
    /// Attempts whose start was refused; they are never started later.
    refused: BTreeSet<AttemptId>,
    /// Highest epoch seen; commands of lower epochs are refused.
    epoch: Epoch,
    /// The worker's clock at time 0 of the model, in milliseconds.
    offset: u64,
    per_mille: u64,
}

impl ModelWorker {
    /// Creates a worker whose clock starts at `offset` milliseconds and advances at `per_mille`
    /// thousandths of real time.
    pub fn new(offset: u64, per_mille: u64) -> Self {
        Self {
            incarnation: Incarnation::new(1),
            attempts: BTreeMap::new(),
            refused: BTreeSet::new(),
            epoch: Epoch::new(0),
            offset,
            per_mille,
        }
    }

    /// Reads the worker's clock and ends attempts whose lease has expired.
    pub fn advance(&mut self, now: Millis) -> Millis {
        let clock = Millis::new(self.offset + now.get() * self.per_mille / 1000);
        let expired = self
            .attempts
            .values_mut()
            .filter(|attempt| attempt.lease_until <= clock);
        expired.for_each(|attempt| attempt.ended = true);
        clock
    }

    /// Restarts the process, which loses its attempts, refusals and fence.
    pub fn restart(&mut self) {
        self.incarnation = self.incarnation.saturating_add(Incarnation::new(1));
        self.attempts.clear();
        self.refused.clear();
        self.epoch = Epoch::new(0);
    }

    /// Executes a command.
    pub fn command(
        &mut self,
        now: Millis,
        command: &ModelCommand,
        variant: Variant,
    ) -> ModelAnswer {
        let clock = self.advance(now);
        let superseded = variant != Variant::NoFence && command.epoch < self.epoch;
        let mut refused = None;
        if !superseded {
            self.epoch = self.epoch.max(command.epoch);
            refused = self.execute(clock, command, variant);
        }
        ModelAnswer {
            superseded,
            is_fence: command.is_fence,
            refused,
            incarnation: self.incarnation,
            reading: clock,
            attempts: self.attempts.clone(),
        }
    }

    fn execute(
        &mut self,
        clock: Millis,
        command: &ModelCommand,
        variant: Variant,
    ) -> Option<AttemptId> {
        if command.is_fence {
            return None;
        }
        let lease_start = match variant {
            Variant::LeaseFromArrival => clock,
            _ => command.reading,
        };
        let until = lease_start.saturating_add(LEASE);
        if command.incarnation == self.incarnation {
            let running = self.attempts.values_mut().filter(|attempt| !attempt.ended);
            running.for_each(|attempt| attempt.lease_until = attempt.lease_until.max(until));
        }
        let (attempt, task) = command.start.clone()?;
        if self.attempts.contains_key(&attempt) {
            return None;
        }
        let is_late = clock.saturating_sub(command.reading) > START_WINDOW;
        if is_late || command.incarnation != self.incarnation || self.refused.contains(&attempt) {
            self.refused.insert(attempt.clone());
            return Some(attempt);
        }
        let entry = ModelAttempt {
            task,
            lease_until: until,
            ended: until <= clock,
        };
        self.attempts.insert(attempt, entry);
        None
    }
}
