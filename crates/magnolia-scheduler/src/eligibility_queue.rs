//! Queue of eligibility requests: assigns the waiting requests to the daemons that send them.
//!
//! The requests of a daemon are served one at a time. A request for an urgent step takes some 30 ms
//! and one for a batch step some 500 ms, so that an urgent step whose request waits behind that of
//! a batch step would miss its objective before it starts. Therefore some daemons are reserved for
//! short requests.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::collections::BTreeSet;

use magnolia_types::{ExecutorId, Millis};

use crate::{EligibilityOrder, StepRef};

/// A waiting eligibility request.
#[derive(Clone, Debug, PartialEq)]
pub struct QueuedEligibilityRequest {
    /// Whether the job is beyond the share of its client account; such requests come last of their priority.
    pub beyond_share: bool,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Unix milliseconds by which requests of the same priority are ordered.
    pub order_unix_ms: u64,
    /// The step.
    pub step: StepRef,
    /// The executors to ask about.
    pub executors: Vec<ExecutorId>,
    /// Expected duration of the request, by the rules of the queue.
    pub expected_duration: Millis,
}

/// Waiting eligibility requests, and the daemons that can send them.
#[derive(Debug, Default)]
pub struct EligibilityQueue {
    /// Daemons without a request in flight.
    idle: BTreeSet<usize>,
    /// Daemons with a request in flight.
    busy: BTreeSet<usize>,
    waiting: Vec<QueuedEligibilityRequest>,
}

impl EligibilityQueue {
    /// Longest duration of a short request, which may use every daemon.
    const MAX_SHORT_DURATION: Millis = Millis::new(100);
    /// One daemon in this many is reserved for short requests.
    const SHORT_SHARE: usize = 4;

    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the daemons that can send requests. Daemons with a request in flight stay busy until
    /// `release`.
    pub fn set_daemons(&mut self, daemons: &BTreeSet<usize>) {
        self.idle = daemons.difference(&self.busy).copied().collect();
    }

    /// Adds a request.
    pub fn push(&mut self, request: QueuedEligibilityRequest) {
        self.waiting.push(request);
    }

    /// Removes the waiting request of a step; returns whether there was one.
    pub fn remove(&mut self, step: StepRef) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.step != step);
        before != self.waiting.len()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how long the waiting requests that come before a new one with `priority` will keep all
    /// daemons busy.
    pub fn backlog(&self, beyond_share: bool, priority: u32) -> Millis {
        let ahead = self
            .waiting
            .iter()
            .filter(|request| (request.priority, request.beyond_share) <= (priority, beyond_share));
        let total = ahead
            .map(|request| request.expected_duration.get())
            .fold(0, u64::saturating_add);
        let daemons = u64::try_from(self.daemons()).unwrap_or(u64::MAX).max(1);
        Millis::new(total.checked_div(daemons).unwrap_or(total))
    }

    /// Marks the request of a daemon as finished; `usable` tells whether the daemon can send
    /// another one.
    pub fn release(&mut self, daemon: usize, usable: bool) {
        self.busy.remove(&daemon);
        if usable {
            self.idle.insert(daemon);
        } else {
            self.idle.remove(&daemon);
        }
    }

    /// Removes and returns the requests that can be sent now, each assigned to an idle daemon.
    pub fn dispatch(&mut self) -> Vec<EligibilityOrder> {
        self.waiting.sort_by_key(|request| {
            let order = (request.priority, request.order_unix_ms);
            (request.beyond_share, order, request.step)
        });
        let mut orders = Vec::new();
        let mut left = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            let kept = if request.expected_duration <= Self::MAX_SHORT_DURATION {
                0
            } else {
                self.reserved_for_short_requests()
            };
            if self.idle.len() <= kept {
                left.push(request);
                continue;
            }
            let Some(daemon) = self.idle.pop_first() else {
                left.push(request);
                continue;
            };
            self.busy.insert(daemon);
            orders.push(EligibilityOrder {
                daemon,
                step: request.step,
                executors: request.executors,
                expected_duration: request.expected_duration,
            });
        }
        self.waiting = left;
        orders
    }

    /// Returns the number of daemons that can send requests.
    fn daemons(&self) -> usize {
        self.idle.len().saturating_add(self.busy.len())
    }

    /// Returns the number of daemons that are reserved for short requests.
    fn reserved_for_short_requests(&self) -> usize {
        let daemons = self.daemons();
        if daemons < 2 {
            return 0;
        }
        (daemons / Self::SHORT_SHARE).max(1)
    }
}
