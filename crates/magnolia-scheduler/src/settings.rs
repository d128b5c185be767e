//! Settings of the scheduler.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use magnolia_types::Millis;

/// Limits, intervals and weights of the scheduler. Those that depend on the deployment come from
/// its settings file.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Longest lease that an executor accepts; from the settings file.
    pub max_lease: Millis,
    /// Length of the lease that each renewal asks for; long enough to outlast a change of owner.
    pub lease: Millis,
    /// Time for which an ended job is kept; from the settings file.
    pub ended_retention: Millis,
    /// Longest time that a lease renewal waits for ends at an executor; a limit of the platform.
    pub renewal_wait: Millis,
    /// Share of the processors of each executor, in thousandths, that is reserved for steps of the
    /// highest priority.
    pub urgent_reserve_permille: u64,
    /// Part of a job's objective that grows with its work when waiting jobs are ordered, 0 to 1.
    pub order_work_share: f64,
    /// Shortest time between two eligibility requests of a step that is not urgent. While its
    /// tickets are valid, capacity that becomes free is used without a request, which occupies a
    /// daemon for some 500 ms.
    pub eligibility_interval: Millis,
    /// Share of a step's waiting tasks that must be expected to fit before an eligibility request
    /// is sent for it.
    pub eligibility_fit_share: f64,
    /// Time without progress after which a run counts as hung; longer than the reporting interval
    /// of executors.
    pub hang_limit: Millis,
    /// Longest time after which an unanswered order may still be executed; a limit of the platform.
    pub late_order_limit: Millis,
    /// Longest record that the store accepts, in bytes; from the settings file.
    pub max_record_bytes: u64,
    /// Memory that the jobs of the cell may take, in bytes; from the settings file.
    pub job_memory_bytes: u64,
    /// Longest age of the evidence of ownership on which orders are sent.
    pub isolation_limit: Millis,
    /// Time without the store after which an owner sends no orders, also if most executors accept
    /// its epoch. A next owner that can't reach them has to wait for so long.
    pub outage_limit: Millis,
    /// Part of the limit of a client account, in thousandths, by which its tasks may exceed the limit;
    /// from the settings file.
    pub cap_tolerance_permille: u64,
    /// Run time of a task away from its data as a multiple of that near it, in thousandths; from the
    /// settings file. Without a difference, no task waits for a place near its data.
    pub far_permille: u64,
}

impl SchedulerSettings {
    /// Creates the default settings for executors that accept leases of up to `max_lease`.
    pub fn new(max_lease: Millis) -> Self {
        Self {
            max_lease,
            lease: Millis::new(max_lease.get().saturating_mul(3) / 5),
            ended_retention: Millis::from_secs(120),
            renewal_wait: Millis::new(1000),
            urgent_reserve_permille: 30,
            order_work_share: 0.5,
            eligibility_interval: Millis::new(300),
            eligibility_fit_share: 0.2,
            hang_limit: Millis::new(1500),
            late_order_limit: Millis::from_secs(12),
            max_record_bytes: 262_144,
            job_memory_bytes: 64 << 20,
            isolation_limit: Millis::from_secs(2),
            outage_limit: Millis::from_secs(60),
            cap_tolerance_permille: 0,
            far_permille: 1000,
        }
    }

    /// Sets the time for which an ended job is kept.
    #[must_use]
    pub fn with_ended_retention(mut self, retention: Millis) -> Self {
        self.ended_retention = retention;
        self
    }

    /// Sets the longest record that the store accepts, in bytes.
    #[must_use]
    pub fn with_max_record_bytes(mut self, bytes: u64) -> Self {
        self.max_record_bytes = bytes;
        self
    }

    /// Sets the memory that the jobs of the cell may take, in bytes.
    #[must_use]
    pub fn with_job_memory_bytes(mut self, bytes: u64) -> Self {
        self.job_memory_bytes = bytes;
        self
    }

    /// Sets the part of the limit of a client account, in thousandths, by which its tasks may exceed
    /// the limit.
    #[must_use]
    pub fn with_cap_tolerance(mut self, permille: u64) -> Self {
        self.cap_tolerance_permille = permille;
        self
    }

    /// Sets the run time of a task away from its data as a multiple of that near it, in thousandths.
    #[must_use]
    pub fn with_far_permille(mut self, permille: u64) -> Self {
        self.far_permille = permille;
        self
    }

    /// Returns the time from the last order of an earlier owner until every lease that it granted
    /// has certainly expired, on executor clocks that are up to 2% slow. Every owner asks for the
    /// same lease length.
    pub fn lease_end(&self) -> Millis {
        let stretched = self.lease.get().saturating_mul(102) / 100;
        Millis::new(stretched).saturating_add(Self::MAX_ORDER_DELAY)
    }

    /// Returns the same for orders that were computed with the clock of an earlier life of the
    /// executor: they grant the longest lease.
    pub fn longest_lease_end(&self) -> Millis {
        let stretched = self.max_lease.get().saturating_mul(102) / 100;
        Millis::new(stretched).saturating_add(Self::MAX_ORDER_DELAY)
    }

    /// Longest time from sending an order to its arrival.
    const MAX_ORDER_DELAY: Millis = Millis::new(400);

    /// Returns the time from the exclusion of earlier owners until an executor that has not answered
    /// holds no lease of theirs.
    pub fn takeover_wait(&self) -> Millis {
        self.isolation_limit.saturating_add(self.lease_end())
    }

    /// Returns the time by which an executor is waited for longer if it may be in a life that the
    /// earlier owner did not know.
    pub(crate) fn unproven_wait(&self) -> Millis {
        self.longest_lease_end().saturating_sub(self.lease_end())
    }

    /// Returns the time after a change of owner from which no lease of an earlier owner is left,
    /// whatever executors that owner still reaches.
    pub fn longest_takeover_wait(&self) -> Millis {
        self.outage_limit.saturating_add(self.lease_end())
    }
}
