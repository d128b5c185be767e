//! Bounds and weights of the scheduler.

use magnolia_types::Millis;

/// Bounds and weights; times of the deployment come from its settings file.
#[derive(Clone, Debug)]
pub struct SchedulerSettings {
    /// Longest lease that an executor grants; from the settings file.
    pub max_lease: Millis,
    /// Lease that each renewal asks for: long enough to outlast a change of owner.
    pub lease: Millis,
    /// Time for which an ended job is remembered; from the settings file.
    pub ended_retention: Millis,
    /// Longest time of one wait for ends at an executor; the platform's bound.
    pub hold_wait: Millis,
    /// Share of each executor, in thousandths, that only the most urgent work uses.
    pub urgent_reserve_permille: u64,
    /// Part of a job's objective that grows with its work where waiting jobs are ordered, 0 to 1.
    pub order_work_share: f64,
    /// Shortest time between two calls for eligibility of a step that is not urgent: while its tickets
    /// are valid, room that becomes free is used without a call, which takes some 500 ms of a
    /// daemon's turn.
    pub advice_interval: Millis,
    /// Share of a step's waiting tasks that has to find room before it asks for eligibility.
    pub advice_room_share: f64,
    /// Time without progress after which a run counts as hung: several reporting intervals.
    pub hang_limit: Millis,
    /// Latest execution of an order that got no answer; the platform's bound.
    pub late_order_limit: Millis,
    /// Time after which an owner without store and peers stops renewing leases.
    pub isolation_limit: Millis,
}

impl SchedulerSettings {
    /// Creates the default bounds for a longest lease.
    pub fn new(max_lease: Millis) -> Self {
        Self {
            max_lease,
            lease: Millis::new(max_lease.get() * 3 / 5),
            ended_retention: Millis::from_secs(120),
            hold_wait: Millis::new(1000),
            urgent_reserve_permille: 30,
            order_work_share: 0.5,
            advice_interval: Millis::new(300),
            advice_room_share: 0.2,
            hang_limit: Millis::new(1500),
            late_order_limit: Millis::from_secs(12),
            isolation_limit: Millis::from_secs(2),
        }
    }

    /// Sets the time for which an ended job is remembered.
    #[must_use]
    pub fn with_ended_retention(mut self, retention: Millis) -> Self {
        self.ended_retention = retention;
        self
    }

    /// Returns the time from the last order of an owner, for which every owner asks the same lease,
    /// to its certain end by a clock that runs up to 2% slow.
    pub fn lease_end(&self) -> Millis {
        let stretched = self.lease.get() * 102 / 100;
        Millis::new(stretched).saturating_add(Self::MAX_ORDER_DELAY)
    }

    /// Longest time that an order is under way.
    const MAX_ORDER_DELAY: Millis = Millis::new(400);

    /// Returns the time after a change of owner from which an executor that could not be asked
    /// holds no lease of an earlier owner.
    pub fn takeover_wait(&self) -> Millis {
        self.isolation_limit.saturating_add(self.lease_end())
    }
}
