//! Slot accounting of one executor at the owner of its group.

use std::net::SocketAddr;

use magnolia_backing::ExecutorStatus;
use magnolia_types::{ExecutorId, Millis};

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotEnd {
    /// A complete answer was received.
    Answered,
    /// The executor ran the request and reported that it failed.
    Failed,
    /// The executor refused the request.
    Refused,
    /// The request did not reach the executor.
    NotSent,
    /// No answer was received; the request may still hold the slot.
    Lost,
}

/// Slots, health and status of one executor.
///
/// A slot counts as held from before its request is sent until the executor answers. After a lost
/// answer or a refusal, and for requests of an earlier owner, the slot is unsettled: it counts as
/// held until a status of the executor shows that it is free.
#[derive(Clone, Debug)]
pub struct ExecutorSlots {
    /// Name of the executor.
    pub executor: ExecutorId,
    /// Address of the executor.
    pub address: SocketAddr,
    /// Number of slots in the inventory.
    slots: u32,
    /// Number of connections in the inventory.
    connections: u32,
    /// Number of slots held by requests of this owner that have not ended.
    in_flight: u32,
    /// For each unsettled slot, the time since which it is unsettled.
    unsettled: Vec<Millis>,
    /// Last status, with the time when it was requested.
    status: Option<(Millis, ExecutorStatus)>,
    /// Whether the configuration or the instance list marks the executor as leaving.
    leaving: bool,
    /// Number of consecutive requests that failed, were refused, not sent or lost.
    failures: u32,
    /// Until when the executor gets no requests after failures. Afterwards it gets one request at a
    /// time until one is answered.
    backoff_until: Option<Millis>,
    /// Duration of the last backoff.
    backoff: Millis,
}

impl ExecutorSlots {
    /// Number of consecutive failures that starts a backoff.
    const FAILURE_LIMIT: u32 = 3;
    /// Duration of the first backoff; doubled each time the request after a backoff fails.
    const FIRST_BACKOFF: Millis = Millis::new(500);
    /// Maximum duration of a backoff.
    const MAX_BACKOFF: Millis = Millis::from_secs(8);
    /// Minimum time between the loss of an answer and the request for a status that may free the
    /// slot: the lost request may still be on its way to the executor.
    const ARRIVAL_MARGIN: Millis = Millis::from_secs(1);
    /// Age of an unsettled slot from which the executor gets no new requests, so that the busy
    /// slots in its status are exactly the unsettled ones that are still held.
    const SETTLE_AGE: Millis = Millis::from_secs(2);

    /// Creates the accounting of an executor without a status; it has no free slot.
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

    /// Sets the values from the inventory and the instance list.
    pub fn configure(&mut self, slots: u32, connections: u32, leaving: bool) {
        self.slots = slots;
        self.connections = connections;
        self.leaving = leaving;
    }

    /// Returns the number of slots that may be in use at once: 0 without a status and when leaving.
    pub fn capacity(&self) -> u32 {
        let Some((_, status)) = &self.status else {
            return 0;
        };
        if self.is_leaving() {
            return 0;
        }
        // One connection is reserved for status calls, unless there is only one.
        let connections = self.connection_limit();
        let usable = connections.saturating_sub(1).max(connections.min(1));
        self.slots.min(status.slots).min(usable)
    }

    /// Returns the maximum number of connections that this owner may open to the executor.
    pub fn connection_limit(&self) -> u32 {
        let reported = self
            .status
            .as_ref()
            .map_or(self.connections, |(_, status)| status.max_connections);
        self.connections.min(reported)
    }

    /// Returns the number of requests that may be sent to the executor now.
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

    /// Tells whether the executor is leaving and gets no new requests.
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

    /// Takes a slot; called only when `free` is not zero.
    pub fn take(&mut self) {
        self.in_flight += 1;
    }

    /// Releases a slot whose request has ended; after a refusal or a lost answer it is unsettled.
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
                // A refusal shows that a slot that was counted as free is held by another request.
                self.unsettled.push(now);
                self.record_failure(now);
            }
        }
    }

    /// Releases a slot that was taken but not used.
    pub fn release_unused(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies a status of the executor that was requested at `asked`.
    pub fn apply_status(&mut self, status: ExecutorStatus, asked: Millis, now: Millis) {
        let busy = usize::try_from(status.busy).unwrap_or(usize::MAX);
        if self.status.is_none() {
            // The first status: all busy slots are held by requests of an earlier owner. The bound
            // limits the list if the executor reports a wrong number.
            self.unsettled = vec![now; busy.min(usize::from(u16::MAX))];
        } else {
            // Requests that were lost shortly before may have arrived after the status was taken.
            let is_covered = |since: &Millis| since.saturating_add(Self::ARRIVAL_MARGIN) <= asked;
            let (mut covered, recent): (Vec<Millis>, Vec<Millis>) =
                self.unsettled.iter().partition(|since| is_covered(since));
            covered.truncate(busy);
            self.unsettled = covered;
            self.unsettled.extend(recent);
        }
        self.status = Some((asked, status));
    }

    /// Tells whether a status is needed before the regular interval: the first one, one that ends a
    /// backoff, or one that settles slots while this owner has no request in flight.
    pub fn needs_status(&self, now: Millis) -> bool {
        let backoff_elapsed = self.backoff_until.is_some_and(|until| until <= now);
        self.status.is_none()
            || (backoff_elapsed && self.is_backing_off(now))
            || (self.is_settling(now) && self.in_flight == 0)
    }

    /// Returns the number of slots held by requests of this owner.
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

    /// Tells whether the executor is in backoff after failures. A backoff ends with a status that
    /// was requested after its duration, so that no request is sent to an executor that does not
    /// answer.
    fn is_backing_off(&self, now: Millis) -> bool {
        self.backoff_until.is_some_and(|until| {
            let answered = self
                .status
                .as_ref()
                .is_some_and(|(asked, _)| *asked >= until);
            now < until || !answered
        })
    }

    /// Tells whether an unsettled slot is so old that the executor gets no new requests.
    fn is_settling(&self, now: Millis) -> bool {
        let oldest = self.unsettled.iter().min();
        oldest.is_some_and(|since| now.saturating_sub(*since) > Self::SETTLE_AGE)
    }

    /// Counts a failure. Starts a backoff at the limit of failures, or a longer one if the request
    /// after a backoff failed.
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
