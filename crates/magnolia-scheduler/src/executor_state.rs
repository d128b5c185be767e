//! The owner's view of one executor: its lease, capacity and runs.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_types::{Millis, ResourceVector};

use crate::executor_health::HealthTracker;
use crate::executors::{ExecutorEntry, ExecutorRecord, ExecutorStatus, ExecutorUse};
use crate::unanswered_starts::{GivenUpStart, UnansweredStart};
use crate::witnesses::WitnessListing;
use crate::{
    AccountName, ExecutorLife, FenceToken, MeasuredSpeed, RunNumber, SchedulerSettings, TaskRef,
    speed_tier,
};

/// How much slower than the owner's the clock of an executor may run, in thousandths; a limit of
/// the platform.
const CLOCK_SLOWNESS_PERMILLE: u64 = 20;

/// Lease granted to an executor, measured by the executor's own clock.
#[derive(Clone, Debug, Default)]
pub struct ExecutorLease {
    /// Last reading of the executor's clock, and the owner's time when it arrived.
    reading: Option<(Millis, Millis)>,
    /// Latest end of any lease that may have been granted.
    until: Millis,
    /// Time on the owner's clock before which no lease counts as expired.
    earliest_expiry: Option<Millis>,
}

impl ExecutorLease {
    /// Creates the lease of a new life of an executor, whose clock starts anew. Orders that were
    /// computed with the clock of the life before may have granted the new one the longest lease,
    /// which has expired at `earliest_expiry` on the owner's clock.
    pub fn new_life(earliest_expiry: Millis) -> Self {
        Self {
            earliest_expiry: Some(earliest_expiry),
            ..Self::default()
        }
    }

    /// Records a reading of the executor's clock that arrived at `now`.
    pub fn observe(&mut self, clock: Millis, now: Millis) {
        self.reading = Some((clock, now));
    }

    /// Returns the estimated reading of the executor's clock at `now`, which may be before the last
    /// reading; `None` before the first reading.
    pub fn clock_at(&self, now: Millis) -> Option<Millis> {
        let (clock, at) = self.reading?;
        let since = now.saturating_sub(at);
        Some(
            clock
                .saturating_add(since)
                .saturating_sub(at.saturating_sub(now)),
        )
    }

    /// Records that the lease has expired at `at` at the latest, apart from leases granted by its
    /// present clock.
    pub(crate) fn limit_expiry(&mut self, at: Millis) {
        self.earliest_expiry = self.earliest_expiry.map(|known| known.min(at));
    }

    /// Records that leases which an earlier owner granted may last until `at`.
    pub(crate) fn expect_earlier_leases(&mut self, at: Millis) {
        self.earliest_expiry = self.earliest_expiry.max(Some(at));
    }

    /// Records that a lease until `until` may have been granted.
    pub fn grant(&mut self, until: Millis) {
        self.until = self.until.max(until);
    }

    /// Returns the end of a lease of `length` from `now`, on the executor's clock; `None` before
    /// the first reading.
    pub fn expiry_after(&self, length: Millis, now: Millis) -> Option<Millis> {
        Some(self.clock_at(now)?.saturating_add(length))
    }

    /// Returns how long leases may last that calls for an earlier life granted; none if there are none.
    pub(crate) fn restart_lease_left(&self, now: Millis) -> Option<Millis> {
        let expiry = self.earliest_expiry.filter(|at| *at > now)?;
        Some(expiry.saturating_sub(now))
    }

    /// Returns the lowest reading that the clock of the same life can have at `at` or later, even if
    /// the clock is slow; none before the first reading. The last reading may be of a later time, as
    /// answers overtake each other.
    pub(crate) fn lowest_clock_at(&self, at: Millis) -> Option<Millis> {
        let (clock, read_at) = self.reading?;
        let since = at.saturating_sub(read_at).get();
        let advanced = since.saturating_mul(1000 - CLOCK_SLOWNESS_PERMILLE) / 1000;
        let before = read_at.saturating_sub(at);
        Some(
            clock
                .saturating_add(Millis::new(advanced))
                .saturating_sub(before),
        )
    }

    /// Returns the time on the owner's clock at which the lease has certainly expired, even if the
    /// executor's clock is slow; `None` if nothing is known of any lease.
    pub fn expires_at(&self) -> Option<Millis> {
        let read = self.reading.map(|(clock, at)| {
            let left = self.until.saturating_sub(clock);
            at.saturating_add(stretch_lease(left))
        });
        read.max(self.earliest_expiry)
    }
}

/// Returns the longest time that an executor's clock may take to advance by `length`.
pub(crate) fn stretch_lease(length: Millis) -> Millis {
    let stretched = length.get().saturating_mul(1000) / (1000 - CLOCK_SLOWNESS_PERMILLE);
    Millis::new(stretched.saturating_add(1))
}

/// What an owner asks of an executor in a lease renewal, by the evidence of its ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalKind {
    /// Renews the lease, and waits for ends of runs.
    Full,
    /// The same, but waits for a shorter time: while the store is unavailable, the answers are the
    /// evidence of ownership.
    Attesting,
    /// Renews no lease: the owner has no evidence of ownership, and asks for it.
    Inquiry,
}

impl RenewalKind {
    /// Returns how long the executor waits for the end of a run, at most for `longest`.
    pub(crate) fn wait(self, longest: Millis) -> Millis {
        match self {
            Self::Full => longest,
            Self::Attesting => Millis::new(longest.get() / 2),
            Self::Inquiry => Millis::new(0),
        }
    }
}

/// Contents of the next lease renewal of an executor, which also waits for ends of runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RenewalPlan {
    /// Life of the executor that the renewal is meant for.
    pub life: ExecutorLife,
    /// Token of that life.
    pub token: FenceToken,
    /// Number up to which its ends are stored; the executor may drop these.
    pub ends_stored: u64,
    /// End of the lease on the executor's clock; none if the lease is not renewed, because the
    /// clock is unknown, the executor is unresponsive or the store holds its remaining lease.
    pub lease_until: Option<Millis>,
    /// How long the executor waits for a run to end before it answers.
    pub wait: Millis,
}

/// Whether an executor rejects the epoch of this owner because it knows a higher one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FenceState {
    /// It does not, as far as is known.
    Accepted,
    /// It rejected an order at this time. A later owner may have claimed the cell.
    Rejected(Millis),
    /// It does, and no later claim existed afterwards: the higher epoch is not of this cell.
    Foreign,
}

impl FenceState {
    /// Tells whether the answer to a call that was sent at `sent_at` replaces this state.
    pub(crate) fn yields_to(self, sent_at: Millis) -> bool {
        match self {
            Self::Rejected(at) => at < sent_at,
            Self::Accepted | Self::Foreign => true,
        }
    }
}

/// Phase of a run on an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Ordered; the executor has not confirmed it.
    Starting,
    /// The executor has confirmed the run.
    Running,
    /// A stop was ordered.
    Stopping,
}

/// A run that has resources of an executor reserved.
#[derive(Clone, Debug)]
pub(crate) struct ActiveRun {
    pub(crate) phase: RunPhase,
    pub(crate) reserved: ResourceVector,
    /// When the start was sent, or the run was adopted.
    pub(crate) sent_at: Millis,
    /// When the executor last confirmed the run.
    pub(crate) confirmed_at: Option<Millis>,
    /// The latest start that got no answer, if it may still be carried out.
    pub(crate) unanswered: Option<UnansweredStart>,
    /// Number of starts that were sent.
    pub(crate) starts_sent: u32,
    /// Whether a start is under way.
    pub(crate) in_flight: bool,
    /// Whether the present life of the executor rejects further starts of the run, because it has
    /// ended or was stopped there.
    pub(crate) closed: bool,
    /// Last reported progress.
    pub(crate) percent: u8,
    /// When the progress last changed.
    pub(crate) progress_at: Millis,
    /// Newest checkpoint.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Last reported tail latency or processor use; see `RunningTask`.
    pub(crate) meter: Option<u64>,
    /// CPU share that was last ordered, in percent.
    pub(crate) pace: u8,
    /// When a stop order was last sent.
    pub(crate) stop_sent: Option<Millis>,
    /// Whether the executor has confirmed the stop order.
    pub(crate) stop_acked: bool,
    /// Processors that a filler task would use, in thousandths; 0 for other tasks.
    pub(crate) filler_cpu: u64,
    /// Whether a report of the executor's present life has listed the run.
    pub(crate) listed: bool,
    /// Whether the run may have been on an earlier life of the executor, and is lost with it.
    pub(crate) may_be_of_earlier_life: bool,
    /// What it counts for its client account.
    pub(crate) charge: Option<RunCharge>,
}

/// What a run counts against the limit of a client account.
#[derive(Clone, Debug)]
pub(crate) struct RunCharge {
    pub(crate) account: AccountName,
    pub(crate) need: ResourceVector,
    /// Whether it is a run of the highest priority.
    pub(crate) urgent: bool,
}

impl RunCharge {
    /// Returns the processors that it counts as urgent, in thousandths.
    pub(crate) fn urgent_millis(&self) -> u64 {
        if self.urgent {
            self.need.cpu_millis.get()
        } else {
            0
        }
    }
}

impl ActiveRun {
    pub(crate) fn new(reserved: ResourceVector, now: Millis) -> Self {
        Self {
            phase: RunPhase::Starting,
            reserved,
            sent_at: now,
            confirmed_at: None,
            unanswered: None,
            starts_sent: 0,
            in_flight: false,
            closed: false,
            percent: 0,
            progress_at: now,
            checkpoint: None,
            meter: None,
            pace: 100,
            stop_sent: None,
            stop_acked: false,
            filler_cpu: 0,
            listed: false,
            may_be_of_earlier_life: false,
            charge: None,
        }
    }

    pub(crate) fn with_charge(mut self, charge: Option<RunCharge>) -> Self {
        self.charge = charge;
        self
    }

    pub(crate) fn with_filler_cpu(mut self, cpu: u64) -> Self {
        self.filler_cpu = cpu;
        self
    }
}

/// State of one executor.
pub(crate) struct ExecutorState {
    pub(crate) entry: ExecutorEntry,
    /// Whether the platform lists it.
    pub(crate) listed: bool,
    pub(crate) lease: ExecutorLease,
    /// Whether nothing of an earlier owner can start there any more: the executor has answered in
    /// this epoch, after which it rejects older orders, or `settles_at` has passed.
    pub(crate) settled: bool,
    /// Whether an earlier owner had it in use and may have started tasks there.
    pub(crate) inherited: bool,
    /// The tasks that an earlier owner may have left there; any inherited task if there is no list.
    pub(crate) inherited_tasks: Option<BTreeSet<TaskRef>>,
    /// Whether it rejects the epoch of this owner.
    pub(crate) fence: FenceState,
    /// What the store may hold of it as a witness of ownership.
    pub(crate) listing: WitnessListing,
    /// Start of the latest call in which its present life accepted the epoch of this owner.
    pub(crate) accepted_at: Option<Millis>,
    /// Whether it accepts nothing of earlier owners any more: it has answered in this epoch, or the
    /// life that they knew has ended.
    pub(crate) closed_to_earlier: bool,
    /// Present use, which is stored for the next owner.
    pub(crate) usage: ExecutorUse,
    /// The most restrictive use that the store may hold.
    pub(crate) stored_usage: ExecutorUse,
    /// Number of the last batch that carried a record of it.
    pub(crate) last_batch: u64,
    /// Whether the store refuses its record, so that nothing starts there.
    pub(crate) record_refused: bool,
    /// Whether the store may hold its remaining lease, which must not be renewed then.
    pub(crate) lease_recorded: bool,
    /// Whether the newest record in a batch holds its remaining lease.
    pub(crate) lease_batched: bool,
    /// Time from which all leases of earlier owners have expired there, even if it never answered.
    pub(crate) settles_at: Millis,
    /// The same for leases that calls for an earlier life may have granted, as far as they are stored.
    pub(crate) restart_leases_end: Millis,
    /// Time to add to `settles_at` unless the platform's list shows the executor in the life that the
    /// earlier owner knew: orders computed with the clock of another life grant the longest lease.
    pub(crate) unproven_wait: Millis,
    /// Life in the record of the earlier owner.
    pub(crate) recorded_life: Option<ExecutorLife>,
    /// Whether the platform's list has an entry of it now.
    pub(crate) has_entry: bool,
    /// When all leases of earlier owners, or of this one before it listed all ends, had expired there
    /// without an answer. Its tasks start elsewhere once ownership is confirmed after that.
    pub(crate) given_up_at: Option<Millis>,
    /// What `settles_at` follows from, for the log.
    pub(crate) settles_because: &'static str,
    /// When it last answered.
    pub(crate) last_answer_at: Option<Millis>,
    /// Runs with reserved resources.
    pub(crate) runs: BTreeMap<(TaskRef, RunNumber), ActiveRun>,
    /// Runs reported there that belong to no known step, so that their resources can't be reserved;
    /// nothing starts there until they have ended.
    pub(crate) unknown_runs: BTreeSet<(TaskRef, RunNumber)>,
    /// Whether runs may have ended there that no report has listed, because the list of ends was
    /// cut off.
    pub(crate) may_have_unlisted_ends: bool,
    /// Whether the last report listed ends that can't be acknowledged yet.
    pub(crate) withholds_ends: bool,
    /// Sum of the resources reserved by `runs`.
    pub(crate) used: ResourceVector,
    /// Processors that the filler tasks in `runs` would use, in thousandths.
    pub(crate) filler_cpu: u64,
    /// Number up to which reported ends are applied.
    pub(crate) seen_through: u64,
    /// Number up to which ends are part of a batch.
    pub(crate) batched_through: u64,
    /// Number up to which ends are stored.
    pub(crate) stored_through: u64,
    /// Whether the last report listed ends, so that there are some to acknowledge.
    pub(crate) lists_ends: bool,
    pub(crate) health: HealthTracker,
    /// Measured speed relative to the other executors; 1.0 is average.
    pub(crate) speed: f64,
    /// Tier of that speed, which placement compares for every candidate.
    pub(crate) speed_tier: i64,
    /// What its own runs have shown.
    pub(crate) measured_speed: MeasuredSpeed,
    /// When the CPU share of filler tasks there was last changed.
    pub(crate) paced_at: Millis,
    /// When its present life became known, if that replaced another one and ownership was not
    /// confirmed since. A later owner may have had the earlier life reject orders of this one.
    pub(crate) unconfirmed_life: Option<Millis>,
    /// Time before which nothing starts there, after it refused a start for lack of capacity.
    pub(crate) not_before: Millis,
    /// Number of restarts that this owner knows of.
    pub(crate) restarts: u64,
    /// When the present life became known, if calls that were meant for an earlier one may still be
    /// carried out there: it has answered no call that was sent later.
    pub(crate) open_to_earlier_calls: Option<Millis>,
    /// Unanswered starts that were given up when its lease had expired.
    pub(crate) given_up_starts: BTreeMap<(TaskRef, RunNumber), GivenUpStart>,
    /// When the renewal was planned that has no answer yet, if it grants a lease.
    pub(crate) open_renewal: Option<Millis>,
    /// When it last became clear that a renewal that grants a lease gets no answer.
    pub(crate) lost_renewal_at: Option<Millis>,
    /// Tasks that an earlier owner started without an answer, with the time until which a later life
    /// may carry the start out.
    pub(crate) inherited_starts: BTreeMap<TaskRef, Millis>,
}

impl ExecutorState {
    pub(crate) fn new(entry: ExecutorEntry) -> Self {
        Self {
            entry,
            listed: true,
            lease: ExecutorLease::default(),
            settled: false,
            inherited: false,
            inherited_tasks: None,
            fence: FenceState::Accepted,
            listing: WitnessListing::default(),
            accepted_at: None,
            closed_to_earlier: false,
            usage: ExecutorUse::Unused,
            stored_usage: ExecutorUse::Unused,
            last_batch: 0,
            record_refused: false,
            lease_recorded: false,
            lease_batched: false,
            settles_at: Millis::new(u64::MAX),
            restart_leases_end: Millis::new(0),
            unproven_wait: Millis::new(0),
            recorded_life: None,
            has_entry: true,
            given_up_at: None,
            settles_because: "",
            last_answer_at: None,
            runs: BTreeMap::new(),
            unknown_runs: BTreeSet::new(),
            may_have_unlisted_ends: false,
            withholds_ends: false,
            used: ResourceVector::default(),
            filler_cpu: 0,
            seen_through: 0,
            batched_through: 0,
            stored_through: 0,
            lists_ends: false,
            health: HealthTracker::default(),
            speed: 1.0,
            speed_tier: 0,
            measured_speed: MeasuredSpeed::default(),
            paced_at: Millis::new(0),
            unconfirmed_life: None,
            not_before: Millis::new(0),
            restarts: 0,
            open_to_earlier_calls: None,
            given_up_starts: BTreeMap::new(),
            open_renewal: None,
            lost_renewal_at: None,
            inherited_starts: BTreeMap::new(),
        }
    }

    /// Sets its estimated speed.
    pub(crate) fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
        self.speed_tier = speed_tier(speed);
    }

    /// Tells whether lease renewals have to be sent to it.
    pub(crate) fn needs_renewal(&self) -> bool {
        self.listed || !self.runs.is_empty() || self.blocks_inherited()
    }

    /// Tells whether tasks of an earlier owner may run or have ended there that this owner does not
    /// know of, so that inherited tasks have to wait.
    pub(crate) fn blocks_inherited(&self) -> bool {
        self.inherited && (!self.settled || self.may_have_unlisted_ends)
    }

    /// Tells whether all leases of earlier owners have expired there, even if it never answered.
    pub(crate) fn is_settled_by(&self, now: Millis) -> bool {
        // An entry is deleted after less time without a sign of life than the shortest wait, and shows
        // each restart of an executor that writes it.
        let is_proven = self.has_entry && self.recorded_life == Some(self.entry.life);
        let wait = if is_proven {
            Millis::new(0)
        } else {
            self.unproven_wait
        };
        now >= self.settles_at.saturating_add(wait) && now >= self.restart_leases_end
    }

    /// Tells whether it is unresponsive and every lease that was granted to it has expired.
    pub(crate) fn is_lapsed(&self, now: Millis) -> bool {
        let expired = self.lease.expires_at().is_none_or(|at| now > at);
        self.settled && !self.is_responsive(now) && expired
    }

    /// Returns the record to store; none if it is not in use.
    /// `witness` tells whether the list of witnesses may change; a witness stays one in any case.
    pub(crate) fn record(&self, witness: bool, now: Millis) -> Option<ExecutorRecord> {
        let confined_to = match self.usage {
            ExecutorUse::Unused => return None,
            ExecutorUse::Open => None,
            ExecutorUse::Confined => {
                let mut tasks: BTreeSet<TaskRef> =
                    self.runs.keys().map(|(task, _)| *task).collect();
                if self.blocks_inherited() {
                    tasks.extend(self.inherited_tasks.iter().flatten());
                }
                // The next owner then waits for the executor with all inherited tasks.
                (tasks.len() <= Self::MAX_LISTED_TASKS).then(|| tasks.into_iter().collect())
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
            witness: witness || self.listing.possible,
            late_starts: self.late_starts(now),
            restart_lease_left: self.lease.restart_lease_left(now),
        })
    }

    /// Records that a batch contains a record of it, which the store may hold from now on.
    pub(crate) fn mark_record_batched(&mut self, batch: u64, record: Option<&ExecutorRecord>) {
        self.last_batch = batch;
        self.stored_usage = self.stored_usage.min(ExecutorUse::of(record));
        self.lease_batched = record.is_some_and(|record| record.lease_left.is_some());
        self.lease_recorded |= self.lease_batched;
        self.listing.add_pending(record);
    }

    /// Records that a batch is stored; has no effect if a later batch contains another record.
    pub(crate) fn mark_record_stored(&mut self, batch: u64, record: Option<&ExecutorRecord>) {
        if self.last_batch == batch {
            self.stored_usage = ExecutorUse::of(record);
            self.lease_recorded = record.is_some_and(|record| record.lease_left.is_some());
            self.listing = WitnessListing::of(record);
        }
    }

    /// Tells whether its remaining lease can be stored: it is unresponsive, so that nothing
    /// renews the lease, and no later life may begin a run by an unanswered start.
    pub(crate) fn is_lease_recordable(&self, now: Millis) -> bool {
        let confined = self.usage == ExecutorUse::Confined && self.settled;
        let outlasts = |run: &ActiveRun| run.outlasts_lease(now);
        confined && !self.is_responsive(now) && !self.runs.values().any(outlasts)
    }

    /// Begins a life that became known at `now`: resets what belongs to the earlier one, and raises
    /// the token. The runs that are left may be of either life.
    pub(crate) fn begin_life(
        &mut self,
        life: ExecutorLife,
        settings: &SchedulerSettings,
        now: Millis,
    ) {
        self.entry.life = life;
        self.restarts = self.restarts.saturating_add(1);
        self.open_to_earlier_calls = Some(now);
        self.accepted_at = None;
        self.closed_to_earlier = true;
        // Calls that were computed with the clock of the earlier life may grant the new one the
        // longest lease.
        let last_arrival = self.last_arrival_of_calls(settings.late_order_limit, now);
        let lease_end = last_arrival.saturating_add(stretch_lease(settings.max_lease));
        self.lease = ExecutorLease::new_life(lease_end);
        for active in self.runs.values_mut() {
            active.may_be_of_earlier_life = true;
            active.closed = false;
            active.stop_sent = None;
            active.stop_acked = false;
        }
        self.open_renewal = None;
        self.unknown_runs.clear();
        self.given_up_starts.clear();
        self.fence = FenceState::Accepted;
        self.may_have_unlisted_ends = false;
        self.withholds_ends = false;
        self.seen_through = 0;
        self.batched_through = 0;
        self.stored_through = 0;
        self.lists_ends = false;
        self.health = HealthTracker::default();
        self.last_answer_at = None;
    }

    /// Returns the resources that are not reserved.
    pub(crate) fn free(&self) -> ResourceVector {
        self.entry
            .capacity
            .checked_sub(&self.used)
            .unwrap_or_default()
    }

    /// Returns the resources of the runs that are being stopped, apart from those that a later life may
    /// still begin.
    pub(crate) fn being_freed(&self, now: Millis) -> ResourceVector {
        let stopping = |run: &&ActiveRun| run.phase == RunPhase::Stopping && !run.is_bound(now);
        self.runs
            .values()
            .filter(stopping)
            .fold(ResourceVector::default(), |sum, run| {
                sum.saturating_add(&run.reserved)
            })
    }

    pub(crate) fn add_run(&mut self, task: TaskRef, run: RunNumber, active: ActiveRun) {
        self.used = self.used.saturating_add(&active.reserved);
        self.filler_cpu = self.filler_cpu.saturating_add(active.filler_cpu);
        self.runs.insert((task, run), active);
    }

    pub(crate) fn remove_run(&mut self, task: TaskRef, run: RunNumber) -> Option<ActiveRun> {
        let active = self.runs.remove(&(task, run))?;
        self.used = self.used.checked_sub(&active.reserved).unwrap_or_default();
        self.filler_cpu = self.filler_cpu.saturating_sub(active.filler_cpu);
        Some(active)
    }

    /// Tells whether new tasks may start there, apart from its free capacity.
    pub(crate) fn accepts_work(&self, now: Millis) -> bool {
        let healthy = self.health.state(now) == crate::HealthState::Trusted;
        self.listed
            && self.settled
            && self.usage == ExecutorUse::Open
            && self.stored_usage == ExecutorUse::Open
            && healthy
            && !self.record_refused
            && self.unknown_runs.is_empty()
            && self.given_up_starts.is_empty()
            && self.entry.status == ExecutorStatus::Ready
            && self.unconfirmed_life.is_none()
            && self.open_to_earlier_calls.is_none()
            && now >= self.not_before
            && self.lease.clock_at(now).is_some()
            && self.is_responsive(now)
            && self.has_accepted_since(now.saturating_sub(Self::ACCEPTANCE_TIMEOUT))
    }

    /// Tells whether it has accepted the epoch in a call that was sent at `since` or later. An answer
    /// may be read late, after the executor has restarted and forgotten a later epoch.
    fn has_accepted_since(&self, since: Millis) -> bool {
        self.accepted_at.is_some_and(|at| at >= since)
    }

    /// Tells whether it has answered recently.
    pub(crate) fn is_responsive(&self, now: Millis) -> bool {
        let recent = |at: Millis| now.saturating_sub(at) <= Self::RESPONSE_TIMEOUT;
        self.last_answer_at.is_some_and(recent)
    }

    /// Most tasks in the record of an executor: some 25 bytes each, in a record of at most 256 KiB.
    const MAX_LISTED_TASKS: usize = 8000;

    /// Longest time from sending the last renewal that was answered to a start; covers the longest wait
    /// of two renewals.
    const ACCEPTANCE_TIMEOUT: Millis = Millis::new(2500);

    /// Time without an answer after which it counts as unresponsive and nothing new starts there;
    /// covers the longest wait of one renewal and one lost answer.
    const RESPONSE_TIMEOUT: Millis = Millis::new(1800);
}
