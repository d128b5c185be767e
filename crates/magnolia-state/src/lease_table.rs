//! The leases that an owner has granted to its workers.

use std::collections::{BTreeMap, BTreeSet};

use magnolia_types::{AttemptId, Incarnation, Millis, WorkerId};

/// Assumed bound of the relative clock drift: less than one part in this many, 1%.
const DRIFT_DIVISOR: u64 = 100;

/// Adds the drift margin of 1% to a duration that is measured by another machine's clock.
pub fn with_drift(duration: Millis) -> Millis {
    duration.saturating_add(Millis::new(duration.get().div_ceil(DRIFT_DIVISOR)))
}

/// A reading of a worker's clock. A command quotes it as the start of the lease that it grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Incarnation of the worker's process.
    pub incarnation: Incarnation,
    /// The time on the worker's clock.
    pub value: Millis,
    /// The time at which it was received, on the owner's clock.
    pub received: Millis,
}

/// Result of comparing the incarnation in a worker's reply with the known one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IncarnationCheck {
    /// The first reply of this worker.
    First,
    /// The same process as before.
    Same,
    /// A new process; these attempts ended with the old one.
    Restarted(Vec<AttemptId>),
    /// A late reply: of a process that has been replaced, or with an older reading.
    Outdated,
}

/// Leases and attempts of one worker.
#[derive(Clone, Debug, Default)]
struct WorkerLeases {
    newest_reading: Option<ClockReading>,
    /// Incarnations that have been replaced by a newer process.
    replaced: BTreeSet<Incarnation>,
    /// When the last lease expires, on the owner's clock; 0 if none was granted.
    until: Millis,
    /// Attempts that may be running on the worker.
    attempts: BTreeSet<AttemptId>,
}

impl WorkerLeases {
    fn are_expired(&self, now: Millis) -> bool {
        self.until > Millis::new(0) && now >= self.until
    }
}

/// The leases of all workers of a partition, on the owner's clock.
///
/// A lease starts at the clock reading that the command quotes, not when the command arrives. The
/// worker took that reading before the owner received it, so the lease expires at the latest at the
/// time of receipt plus the lease plus the drift margin, however late the command arrives.
#[derive(Clone, Debug, Default)]
pub struct LeaseTable {
    workers: BTreeMap<WorkerId, WorkerLeases>,
}

impl LeaseTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a worker's reply that was received at `now` and carried `reading` of its clock.
    ///
    /// Leases and attempts of a replaced process are dropped, because they ended with it.
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

    /// Returns the newest clock reading of a worker, which the next command to it has to quote.
    pub fn newest_reading(&self, worker: &WorkerId) -> Option<ClockReading> {
        self.workers.get(worker)?.newest_reading
    }

    /// Records a command that renews the lease or starts a task, before it is sent.
    ///
    /// The lease counts as granted even if no reply comes, because the command may have arrived.
    /// A command to a process that has been replaced since is ignored.
    pub fn record_command(&mut self, worker: &WorkerId, quoted: &ClockReading, lease: Millis) {
        let leases = self.workers.entry(worker.clone()).or_default();
        let current = leases.newest_reading.map(|reading| reading.incarnation);
        if current == Some(quoted.incarnation) {
            let until = quoted.received.saturating_add(with_drift(lease));
            leases.until = leases.until.max(until);
        }
    }

    /// Adds an attempt that may run on a worker from now on.
    pub fn add_attempt(&mut self, worker: &WorkerId, attempt: AttemptId) {
        let leases = self.workers.entry(worker.clone()).or_default();
        leases.attempts.insert(attempt);
    }

    /// Adds an attempt that an earlier owner started and whose lease expires by `until`.
    pub fn adopt_attempt(&mut self, worker: &WorkerId, attempt: AttemptId, until: Millis) {
        let leases = self.workers.entry(worker.clone()).or_default();
        leases.until = leases.until.max(until);
        leases.attempts.insert(attempt);
    }

    /// Removes an attempt that no longer runs on a worker.
    pub fn remove_attempt(&mut self, worker: &WorkerId, attempt: &AttemptId) {
        if let Some(leases) = self.workers.get_mut(worker) {
            leases.attempts.remove(attempt);
        }
    }

    /// Returns the attempts that may be running on a worker.
    pub fn attempts_on(&self, worker: &WorkerId) -> impl Iterator<Item = &AttemptId> {
        self.workers
            .get(worker)
            .into_iter()
            .flat_map(|leases| &leases.attempts)
    }

    /// Returns the time at which the last lease of a worker expires; 0 if it was granted none.
    pub fn leases_expire_at(&self, worker: &WorkerId) -> Millis {
        self.workers
            .get(worker)
            .map_or(Millis::new(0), |leases| leases.until)
    }

    /// Removes and returns the attempts on workers whose leases have all expired.
    ///
    /// Skips workers that were never granted a lease: the starts of their attempts have not been
    /// sent yet.
    pub fn expire(&mut self, now: Millis) -> Vec<(WorkerId, Vec<AttemptId>)> {
        let workers = self.workers.iter_mut();
        let expired =
            workers.filter(|(_, leases)| leases.are_expired(now) && !leases.attempts.is_empty());
        let removed = expired.map(|(worker, leases)| {
            let attempts = std::mem::take(&mut leases.attempts);
            (worker.clone(), attempts.into_iter().collect())
        });
        removed.collect()
    }

    /// Returns the attempts on workers whose leases have all expired, without removing them.
    pub fn expired(&self, now: Millis) -> impl Iterator<Item = (&WorkerId, &AttemptId)> {
        let expired = self
            .workers
            .iter()
            .filter(move |(_, leases)| leases.are_expired(now));
        expired.flat_map(|(worker, leases)| leases.attempts.iter().map(move |id| (worker, id)))
    }

    /// Removes a worker with its leases and attempts.
    pub fn remove(&mut self, worker: &WorkerId) {
        self.workers.remove(worker);
    }
}
