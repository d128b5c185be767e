//! Slots of one executor as its group's owner counts them.

use std::net::SocketAddr;

use magnolia_backing::ExecutorStatus;
use magnolia_types::{ExecutorId, Millis};

/// How a request on a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// A whole answer came.
    Answered,
    /// The executor ran the request and reports a failure.
    Failed,
    /// The executor refused the request.
    Refused,
    /// The request did not reach the executor.
    NotSent,
    /// No answer came; the request may still hold the slot.
    Lost,
}

/// Slots, health and status of one executor.
///
/// A slot counts as held from before its request is sent until the executor answers or refuses.
/// After a lost answer, and for requests of an earlier owner, only the executor's own status frees
/// it.
#[derive(Clone, Debug)]
pub struct ExecutorSlots {
    /// Name.
    pub executor: ExecutorId,
    /// Address.
    pub address: SocketAddr,
    /// Slots by the inventory.
    slots: u32,
    /// Connections by the inventory.
    connections: u32,
    /// Requests that this owner has sent and that have not ended.
    in_flight: u32,
    /// When each slot was found to be held by a request whose end this owner does not see.
    unsettled: Vec<Millis>,
    /// Last status, with the time when it was asked for.
    status: Option<(Millis, ExecutorStatus)>,
    /// Whether the configuration or the instance list says that the executor leaves.
    leaving: bool,
    /// Consecutive requests that failed, were refused, not sent or lost.
    failures: u32,
    /// Until when the executor gets no requests after failures; then one request at a time tries it.
    backoff_until: Option<Millis>,
    /// Length of the last backoff.
    backoff: Millis,
}

impl ExecutorSlots {
    /// Failures after which an executor gets no requests for a while.
    const FAILURE_LIMIT: u32 = 3;
    /// First backoff after failures; doubled each time a trial fails.
    const FIRST_BACKOFF: Millis = Millis::new(500);
    /// Longest backoff after failures.
    const MAX_BACKOFF: Millis = Millis::from_secs(8);
    /// Time that a lost request gets to arrive before a status may free its slot.
    const ARRIVAL_MARGIN: Millis = Millis::from_secs(1);
    /// Age of an unsettled slot at which the executor gets nothing new, so that its status shows
    /// exactly how many such slots are still held.
    const SETTLE_AGE: Millis = Millis::from_secs(2);

    /// Creates the count of an executor that has not reported yet; it has no free slot.
    pub fn new(executor: ExecutorId, address: SocketAddr) -> Self {
        Self {
            executor,
            address,
            slots: 0,
            connections: 0,
            in_flight: 0,
            unsettled: Vec::new(),
            status: None,
            leaving: false,
            failures: 0,
            backoff_until: None,
            backoff: Millis::new(0),
        }
    }

    /// Sets what the inventory and the instance list say.
    pub fn configure(&mut self, slots: u32, connections: u32, leaving: bool) {
        self.slots = slots;
        self.connections = connections;
        self.leaving = leaving;
    }

    /// Returns the number of slots that the executor may use at once.
    pub fn capacity(&self) -> u32 {
        let Some((_, status)) = &self.status else {
            return 0;
        };
        if self.is_leaving() {
            return 0;
        }
        // One connection is kept for the status, unless there is only one.
        let connections = self.connection_limit();
        let usable = connections.saturating_sub(1).max(connections.min(1));
        self.slots.min(status.slots).min(usable)
    }

    /// Returns the most connections that this owner may have to the executor.
    pub fn connection_limit(&self) -> u32 {
        let reported = self
            .status
            .as_ref()
            .map_or(self.connections, |(_, status)| status.max_connections);
        self.connections.min(reported)
    }

    /// Returns the number of slots that may take a request now.
    pub fn free(&self, now: Millis) -> u32 {
        let held = self.in_flight + u32::try_from(self.unsettled.len()).unwrap_or(u32::MAX);
        let free = self.capacity().saturating_sub(held);
        match self.backoff_until {
            _ if self.is_settling(now) || self.is_backing_off(now) => 0,
            Some(_) if self.in_flight > 0 => 0,
            Some(_) => free.min(1),
            None => free,
        }
    }

    /// Tells whether the executor takes no new work for good.
    pub fn is_leaving(&self) -> bool {
        self.leaving
            || self
                .status
                .as_ref()
                .is_some_and(|(_, status)| status.leaving)
    }

    /// Tells whether the executor may take requests, now or when a slot becomes free.
    pub fn is_usable(&self, now: Millis) -> bool {
        self.capacity() > 0 && !self.is_backing_off(now)
    }

    /// Takes a slot; the caller has checked that one is free.
    pub fn take(&mut self) {
        self.in_flight += 1;
    }

    /// Returns a slot.
    pub fn finish(&mut self, end: SlotEnd, now: Millis) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            SlotEnd::Answered => {
                self.failures = 0;
                self.backoff_until = None;
                self.backoff = Millis::new(0);
            }
            SlotEnd::Failed | SlotEnd::NotSent => self.record_failure(now),
            SlotEnd::Refused | SlotEnd::Lost => {
                // A refusal shows that somebody else holds a slot that was counted as free.
                self.unsettled.push(now);
                self.record_failure(now);
            }
        }
    }

    /// Returns a slot that was taken but not used.
    pub fn give_back(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes over the status that the executor gave when asked at `asked`.
    pub fn apply_status(&mut self, status: ExecutorStatus, asked: Millis, now: Millis) {
        let busy = usize::try_from(status.busy).unwrap_or(usize::MAX);
        if self.status.is_none() {
            // Requests of an earlier owner.
            self.unsettled = vec![now; busy.min(usize::from(u16::MAX))];
        } else {
            let arrived = |found: &Millis| found.saturating_add(Self::ARRIVAL_MARGIN) <= asked;
            let (mut old, young): (Vec<Millis>, Vec<Millis>) =
                self.unsettled.iter().partition(|found| arrived(found));
            old.truncate(busy);
            self.unsettled = old;
            self.unsettled.extend(young);
        }
        self.status = Some((asked, status));
    }

    /// Tells whether a status is wanted before its turn: the first one, one after a backoff, and one
    /// while nothing of this owner is in flight that settles the open slots.
    pub fn wants_status(&self, now: Millis) -> bool {
        let rested = self.backoff_until.is_some_and(|until| until <= now);
        self.status.is_none()
            || (rested && self.is_backing_off(now))
            || (self.is_settling(now) && self.in_flight == 0)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Describes the executor for the state dump.
    pub fn dump(&self, now: Millis) -> serde_json::Value {
        let asked = self.status.as_ref().map(|(asked, _)| *asked);
        serde_json::json!({
            "executor": self.executor,
            "capacity": self.capacity(),
            "free": self.free(now),
            "in_flight": self.in_flight,
            "unsettled": self.unsettled.len(),
            "leaving": self.is_leaving(),
            "failures": self.failures,
            "backing_off": self.is_backing_off(now),
            "status_ms_ago": asked.map(|asked| now.saturating_sub(asked)),
        })
    }

    /// Tells whether the executor is in backoff after failures. A backoff ends with a status that was asked for
    /// after its time, so that no request is spent on an executor that does not answer at all.
    fn is_backing_off(&self, now: Millis) -> bool {
        self.backoff_until.is_some_and(|until| {
            let answered = self
                .status
                .as_ref()
                .is_some_and(|(asked, _)| *asked >= until);
            now < until || !answered
        })
    }

    fn is_settling(&self, now: Millis) -> bool {
        let oldest = self.unsettled.iter().min();
        oldest.is_some_and(|found| now.saturating_sub(*found) > Self::SETTLE_AGE)
    }

    fn record_failure(&mut self, now: Millis) {
        self.failures = self.failures.saturating_add(1);
        let was_trial = self.backoff_until.is_some_and(|until| until <= now);
        if self.failures < Self::FAILURE_LIMIT && !was_trial {
            return;
        }
        if self.backoff_until.is_none() || was_trial {
            let doubled = Millis::new(self.backoff.get() * 2);
            self.backoff = doubled.clamp(Self::FIRST_BACKOFF, Self::MAX_BACKOFF);
            self.backoff_until = Some(now.saturating_add(self.backoff));
        }
    }
}
