//! What an owner knows of the leases that it has granted.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_types::{AttemptId, Incarnation, Millis, WorkerId};

/// Two clocks drift apart by less than one part in this many.
const DRIFT_DIVISOR: u64 = 100;

/// Adds the drift margin of 1% to a duration that another clock measures.
pub fn with_drift(duration: Millis) -> Millis {
    duration.saturating_add(Millis::new(duration.get().div_ceil(DRIFT_DIVISOR)))
}

/// A reading of a worker's clock that a command may cite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The run of the worker's process.
    pub incarnation: Incarnation,
    /// The reading on the worker's clock.
    pub value: Millis,
    /// When it was received, on the owner's clock.
    pub received: Millis,
}

/// What an answer of a worker says about its process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncarnationCheck {
    /// The first answer of this worker.
    First,
    /// The same process as before.
    Same,
    /// Another process; these attempts ended with the old one.
    Restarted(Vec<AttemptId>),
    /// An answer of a process that was replaced since, or an older reading.
    Outdated,
}

/// Leases of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerLeases {
    newest_reading: Option<ClockReading>,
    replaced: BTreeSet<Incarnation>,
    until: Millis,
    attempts: BTreeSet<AttemptId>,
}

impl WorkerLeases {
    fn is_over(&self, now: Millis) -> bool {
        self.until > Millis::new(0) && now >= self.until
    }
}

/// The leases of all workers of a partition, on the owner's clock.
///
/// A lease runs from the reading that a command cites. The reading was taken before it was
/// received, so the lease ends at the latest at the time of receipt plus the lease plus the drift
/// margin, however late the command arrives.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    workers: BTreeMap<WorkerId, WorkerLeases>,
}

impl LeaseTable {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records an answer received at `now`.
    pub fn record_reply(
        &mut self,
        worker: &WorkerId,
        incarnation: Incarnation,
        reading: Millis,
        now: Millis,
    ) -> IncarnationCheck {
        let leases = self.workers.entry(worker.clone()).or_default();
        let newest = ClockReading {
            incarnation,
            value: reading,
            received: now,
        };
        if leases.replaced.contains(&incarnation) {
            return IncarnationCheck::Outdated;
        }
        match leases.newest_reading {
            None => {
                leases.newest_reading = Some(newest);
                IncarnationCheck::First
            }
            Some(known) if known.incarnation == incarnation && reading < known.value => {
                IncarnationCheck::Outdated
            }
            Some(known) if known.incarnation == incarnation => {
                leases.newest_reading = Some(newest);
                IncarnationCheck::Same
            }
            Some(known) => {
                leases.replaced.insert(known.incarnation);
                leases.newest_reading = Some(newest);
                leases.until = Millis::new(0);
                IncarnationCheck::Restarted(
                    std::mem::take(&mut leases.attempts).into_iter().collect(),
                )
            }
        }
    }

    /// Returns the reading that the next command to a worker cites.
    pub fn newest_reading(&self, worker: &WorkerId) -> Option<ClockReading> {
        self.workers.get(worker)?.newest_reading
    }

    /// Records that a command with a renewal or a start goes out; it counts even when no
    /// answer comes.
    pub fn record_command(&mut self, worker: &WorkerId, cited: &ClockReading, lease: Millis) {
        let leases = self.workers.entry(worker.clone()).or_default();
        let current = leases.newest_reading.map(|reading| reading.incarnation);
        if current == Some(cited.incarnation) {
            let until = cited.received.saturating_add(with_drift(lease));
            leases.until = leases.until.max(until);
        }
    }

    /// Records that an attempt may run on a worker from now on.
    pub fn add_attempt(&mut self, worker: &WorkerId, attempt: AttemptId) {
        let leases = self.workers.entry(worker.clone()).or_default();
        leases.attempts.insert(attempt);
    }

    /// Records an attempt of an earlier owner whose lease ends by `until`.
    pub fn adopt_attempt(&mut self, worker: &WorkerId, attempt: AttemptId, until: Millis) {
        let leases = self.workers.entry(worker.clone()).or_default();
        leases.until = leases.until.max(until);
        leases.attempts.insert(attempt);
    }

    /// Records that an attempt no longer runs on a worker.
    pub fn remove_attempt(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        if let Some(leases) = self.workers.get_mut(worker) {
            leases.attempts.remove(attempt);
        }
    }

    /// Returns the attempts that may run on a worker.
    pub fn attempts_on(&self, worker: &WorkerId) -> impl Iterator<Item = &AttemptId> {
        self.workers
            .get(worker)
            .into_iter()
            .flat_map(|leases| &leases.attempts)
    }

    /// Returns the time from which on no lease of the worker is alive.
    pub fn all_leases_over_at(&self, worker: &WorkerId) -> Millis {
        self.workers
            .get(worker)
            .map_or(Millis::new(0), |leases| leases.until)
    }

    /// Removes and returns the attempts on workers whose leases have all ended.
    ///
    /// A worker that was never granted a lease runs nothing; its attempts are not sent yet.
    pub fn expire(&mut self, now: Millis) -> Vec<(WorkerId, Vec<AttemptId>)> {
        let workers = self.workers.iter_mut();
        let over = workers.filter(|(_, leases)| leases.is_over(now) && !leases.attempts.is_empty());
        let taken = over.map(|(worker, leases)| {
            let attempts = std::mem::take(&mut leases.attempts);
            (worker.clone(), attempts.into_iter().collect())
        });
        taken.collect()
    }

    /// Returns the attempts on workers whose leases have all ended, without removing them.
    pub fn expired(&self, now: Millis) -> impl Iterator<Item = (&WorkerId, &AttemptId)> {
        let over = self
            .workers
            .iter()
            .filter(move |(_, leases)| leases.is_over(now));
        over.flat_map(|(worker, leases)| leases.attempts.iter().map(move |id| (worker, id)))
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}
