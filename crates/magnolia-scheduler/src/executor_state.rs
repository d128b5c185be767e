//! What the owner knows of one executor: its lease, its room, its runs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::executor_health::HealthTracker;
use crate::executors::{ExecutorEntry, ExecutorRecord, ExecutorStatus, ExecutorUse};
use crate::{ExecutorLife, RunNumber, TaskRef};

/// How slow the clock of an executor may be, in thousandths; the platform's bound.
const CLOCK_SLOWNESS_PERMILLE: u64 = 20;

/// Lease of an executor, by its own clock.
#[derive(Clone, Debug, Default)]
pub struct ExecutorLease {
    /// Reading of its clock and when the answer with it arrived.
    reading: Option<(Millis, Millis)>,
    /// Latest end of a lease that it may have been given.
    until: Millis,
}

impl ExecutorLease {
    /// Records a reading of the executor's clock that arrived at `now`.
    pub fn observe(&mut self, clock: Millis, now: Millis) {
        self.reading = Some((clock, now));
    }

    /// Returns the executor's clock at `now`, by the last reading.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.reading?;
        Some(clock.saturating_add(now.saturating_sub(at)))
    }

    /// Records that a lease until `until` may have been granted.
    pub fn grant(&mut self, until: Millis) {
        self.until = self.until.max(until);
    }

    /// Returns the end of a lease of `length` from `now`, by the executor's clock.
    pub fn expiry_after(&self, length: Millis, now: Millis) -> Option<Millis> {
        Some(self.clock_at(now)?.saturating_add(length))
    }

    /// Returns when, by the owner's clock, the lease has certainly run out.
    pub fn expires_at(&self) -> Option<Millis> {
        let (clock, at) = self.reading?;
        let left = self.until.saturating_sub(clock).get();
        let stretched = left * 1000 / (1000 - CLOCK_SLOWNESS_PERMILLE) + 1;
        Some(at.saturating_add(Millis::new(stretched)))
    }
}

/// What the next renewal says.
#[derive(Clone, Debug, PartialEq)]
pub struct HoldPlan {
    /// Life that is meant; unknown before the first entry.
    pub life: ExecutorLife,
    /// Ends up to this number are stored.
    pub ends_stored: u64,
    /// End of the lease on the executor's clock; none before its clock is known.
    pub lease_until: Option<Millis>,
    /// How long the executor waits for an end before it answers.
    pub wait: Millis,
}

/// Where a run stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// The start has no answer yet.
    Starting,
    /// The executor has confirmed the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A run that holds room of an executor.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) phase: RunPhase,
    pub(crate) reserved: ResourceVector,
    /// When the last start was sent.
    pub(crate) sent_at: Millis,
    /// When the executor last confirmed the run.
    pub(crate) confirmed_at: Option<Millis>,
    /// Whether a start without an answer may still be carried out.
    pub(crate) uncertain: bool,
    pub(crate) percent: u8,
    /// When the progress last changed.
    pub(crate) progress_at: Millis,
    pub(crate) saved: Option<Arc<str>>,
    pub(crate) meter: Option<u64>,
    /// Share of the processors that it was last given.
    pub(crate) pace: u8,
    /// When a stop was last sent.
    pub(crate) stop_sent: Option<Millis>,
    pub(crate) stop_acked: bool,
    /// Processors that a filler would use.
    pub(crate) filler_cpu: u64,
}

impl ActiveRun {
    pub(crate) fn new(reserved: ResourceVector, now: Millis) -> Self {
        Self {
            phase: RunPhase::Starting,
            reserved,
            sent_at: now,
            confirmed_at: None,
            uncertain: false,
            percent: 0,
            progress_at: now,
            saved: None,
            meter: None,
            pace: 100,
            stop_sent: None,
            stop_acked: false,
            filler_cpu: 0,
        }
    }

    pub(crate) fn with_filler_cpu(mut self, cpu: u64) -> Self {
        self.filler_cpu = cpu;
        self
    }
}

/// One executor.
pub(crate) struct ExecutorState {
    pub(crate) entry: ExecutorEntry,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    pub(crate) lease: ExecutorLease,
    /// Whether it has seen this owner's epoch, so that older orders do nothing there.
    pub(crate) settled: bool,
    /// Whether an earlier owner may have started tasks there.
    pub(crate) inherited: bool,
    /// The only tasks that an earlier owner may have left there; any task when there is no list.
    pub(crate) left_there: Option<BTreeSet<TaskRef>>,
    /// What it is used for, which the next owner has to know.
    pub(crate) usage: ExecutorUse,
    /// The least use that the store may hold.
    pub(crate) stored_usage: ExecutorUse,
    /// Number of the last batch that carried a record of it.
    pub(crate) recorded_in: u64,
    /// Whether the store may hold the rest of its lease, which is not renewed then.
    pub(crate) lease_recorded: bool,
    /// From when on nothing of an earlier owner can run there although it was never asked.
    pub(crate) settles_at: Millis,
    /// When it last answered.
    pub(crate) heard_at: Option<Millis>,
    pub(crate) runs: BTreeMap<(TaskRef, RunNumber), ActiveRun>,
    /// Runs listed there that no known job explains; nothing is placed beside them.
    pub(crate) unknown_runs: BTreeSet<(TaskRef, RunNumber)>,
    pub(crate) used: ResourceVector,
    /// Processors that fillers there would use.
    pub(crate) filler_cpu: u64,
    /// Ends handled up to this number.
    pub(crate) seen_through: u64,
    /// Ends up to this number are part of a batch.
    pub(crate) batched_through: u64,
    /// Ends stored up to this number.
    pub(crate) stored_through: u64,
    pub(crate) health: HealthTracker,
    /// Measured speed against its peers.
    pub(crate) speed: f64,
    pub(crate) paced_at: Millis,
    /// No start before this time, after a refusal for want of room.
    pub(crate) not_before: Millis,
}

impl ExecutorState {
    pub(crate) fn new(entry: ExecutorEntry) -> Self {
        Self {
            entry,
            listed: true,
            lease: ExecutorLease::default(),
            settled: false,
            inherited: false,
            left_there: None,
            usage: ExecutorUse::Unused,
            stored_usage: ExecutorUse::Unused,
            recorded_in: 0,
            lease_recorded: false,
            settles_at: Millis::new(u64::MAX),
            heard_at: None,
            runs: BTreeMap::new(),
            unknown_runs: BTreeSet::new(),
            used: ResourceVector::default(),
            filler_cpu: 0,
            seen_through: 0,
            batched_through: 0,
            stored_through: 0,
            health: HealthTracker::default(),
            speed: 1.0,
            paced_at: Millis::new(0),
            not_before: Millis::new(0),
        }
    }

    /// Tells whether a renewal has to reach it.
    pub(crate) fn wants_hold(&self) -> bool {
        self.listed || !self.runs.is_empty() || self.blocks_inherited()
    }

    /// Tells whether tasks of an earlier owner may run there unseen.
    pub(crate) fn blocks_inherited(&self) -> bool {
        self.inherited && !self.settled
    }

    /// Returns what the store has to hold of it; none when it is not in use.
    pub(crate) fn record(&self, now: Millis) -> Option<ExecutorRecord> {
        let confined_to = match self.usage {
            ExecutorUse::Unused => return None,
            ExecutorUse::Open => None,
            ExecutorUse::Confined => {
                let tasks: BTreeSet<TaskRef> = self.runs.keys().map(|(task, _)| *task).collect();
                Some(tasks.into_iter().collect())
            }
        };
        let lease_left = if self.is_lease_recordable(now) {
            self.lease.expires_at().map(|out| out.saturating_sub(now))
        } else {
            None
        };
        Some(ExecutorRecord {
            entry: self.entry.clone(),
            confined_to,
            lease_left,
        })
    }

    /// Notes that a batch carries a record: until a later one is stored, the store may hold it.
    pub(crate) fn note_recorded(&mut self, batch: u64, record: Option<&ExecutorRecord>) {
        self.recorded_in = batch;
        self.stored_usage = self.stored_usage.min(ExecutorUse::of(record));
        self.lease_recorded |= record.is_some_and(|record| record.lease_left.is_some());
    }

    /// Notes that the record of a batch is stored; that of a later batch may follow.
    pub(crate) fn note_stored(&mut self, batch: u64, record: Option<&ExecutorRecord>) {
        if self.recorded_in == batch {
            self.stored_usage = ExecutorUse::of(record);
            self.lease_recorded = record.is_some_and(|record| record.lease_left.is_some());
        }
    }

    /// Tells whether the rest of its lease can be stored: it is silent, so that nothing renews it, and no
    /// start without an answer may still be carried out.
    pub(crate) fn is_lease_recordable(&self, now: Millis) -> bool {
        let confined = self.usage == ExecutorUse::Confined && self.settled;
        confined && !self.is_responsive(now) && !self.runs.values().any(|run| run.uncertain)
    }

    /// Forgets what belongs to an earlier life.
    pub(crate) fn begin_life(&mut self, life: ExecutorLife) {
        self.entry.life = life;
        self.lease = ExecutorLease::default();
        self.unknown_runs.clear();
        self.seen_through = 0;
        self.batched_through = 0;
        self.stored_through = 0;
        self.health = HealthTracker::default();
        self.heard_at = None;
    }

    /// Returns what is free.
    pub(crate) fn free(&self) -> ResourceVector {
        self.entry
            .capacity
            .checked_sub(&self.used)
            .unwrap_or_default()
    }

    /// Returns what runs that are being stopped will free.
    pub(crate) fn being_freed(&self) -> ResourceVector {
        let stopping = |run: &&ActiveRun| run.phase == RunPhase::Stopping;
        self.runs
            .values()
            .filter(stopping)
            .fold(ResourceVector::default(), |sum, run| {
                sum.saturating_add(&run.reserved)
            })
    }

    pub(crate) fn add_run(&mut self, task: TaskRef, run: RunNumber, active: ActiveRun) {
        self.used = self.used.saturating_add(&active.reserved);
        self.filler_cpu += active.filler_cpu;
        self.runs.insert((task, run), active);
    }

    pub(crate) fn remove_run(&mut self, task: TaskRef, run: RunNumber) -> Option<ActiveRun> {
        let active = self.runs.remove(&(task, run))?;
        self.used = self.used.checked_sub(&active.reserved).unwrap_or_default();
        self.filler_cpu = self.filler_cpu.saturating_sub(active.filler_cpu);
        Some(active)
    }

    /// Tells whether new work may go there, room aside.
    pub(crate) fn accepts_work(&self, now: Millis) -> bool {
        let healthy = self.health.state(now) == crate::HealthState::Trusted;
        self.listed
            && self.settled
            && self.usage == ExecutorUse::Open
            && self.stored_usage == ExecutorUse::Open
            && healthy
            && self.unknown_runs.is_empty()
            && self.entry.status == ExecutorStatus::Ready
            && now >= self.not_before
            && self.lease.clock_at(now).is_some()
            && self.is_responsive(now)
    }

    /// Tells whether the executor answered lately.
    pub(crate) fn is_responsive(&self, now: Millis) -> bool {
        let recent = |at: Millis| now.saturating_sub(at) <= Self::SILENCE_LIMIT;
        self.heard_at.is_some_and(recent)
    }

    /// Silence after which nothing new is sent: one wait for ends and one lost answer.
    const SILENCE_LIMIT: Millis = Millis::new(1800);
}
