//! Queue of eligibility calls, also named advice: assigns the waiting calls to the daemons that
//! make them.
//!
//! The calls of a daemon are served one at a time. A call for an urgent step takes some 30 ms and
//! one for a batch step some 500 ms, so that an urgent step whose call waits behind a batch call
//! would miss its objective before it starts. Therefore some daemons are reserved for short calls.

use std::collections::BTreeSet;

use magnolia_types::{ExecutorId, Millis};

use crate::{AdviceOrder, StepRef};

/// A waiting eligibility call.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Unix milliseconds by which calls of the same priority are ordered.
    pub order_unix_ms: u64,
    /// The step.
    pub step: StepRef,
    /// The executors to ask about.
    pub executors: Vec<ExecutorId>,
    /// Expected duration of the call, by the rules of the queue.
    pub expected: Millis,
}

/// Waiting eligibility calls, and the daemons that can make them.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    /// Daemons without a call in flight.
    idle: BTreeSet<usize>,
    /// Daemons with a call in flight.
    busy: BTreeSet<usize>,
    waiting: Vec<AdviceRequest>,
}

impl AdviceQueue {
    /// Longest duration of a short call, which may use every daemon.
    const SHORT_CALL: Millis = Millis::new(100);
    /// One daemon in this many is reserved for short calls.
    const SHORT_SHARE: usize = 4;

    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the daemons that can make calls. Daemons with a call in flight stay busy until
    /// `release`.
    pub fn set_daemons(&mut self, daemons: &BTreeSet<usize>) {
        self.idle = daemons.difference(&self.busy).copied().collect();
    }

    /// Adds a call.
    pub fn push(&mut self, request: AdviceRequest) {
        self.waiting.push(request);
    }

    /// Removes the waiting call of a step; returns whether there was one.
    pub fn remove(&mut self, step: StepRef) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|request| request.step != step);
        before != self.waiting.len()
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns how long the waiting calls with `priority` or a higher one will keep all daemons
    /// busy.
    pub fn backlog(&self, priority: u32) -> Millis {
        let ahead = self.waiting.iter().filter(|call| call.priority <= priority);
        let total: u64 = ahead.map(|call| call.expected.get()).sum();
        let daemons = (self.idle.len() + self.busy.len()).max(1);
        Millis::new(total / u64::try_from(daemons).unwrap_or(1))
    }

    /// Marks the call of a daemon as finished; `usable` tells whether the daemon can make another
    /// one.
    pub fn release(&mut self, daemon: usize, usable: bool) {
        self.busy.remove(&daemon);
        if usable {
            self.idle.insert(daemon);
        } else {
            self.idle.remove(&daemon);
        }
    }

    /// Removes and returns the calls that can be made now, each assigned to an idle daemon.
    pub fn dispatch(&mut self) -> Vec<AdviceOrder> {
        self.waiting
            .sort_by_key(|request| (request.priority, request.order_unix_ms, request.step));
        let mut orders = Vec::new();
        let mut left = Vec::new();
        for request in std::mem::take(&mut self.waiting) {
            let kept = if request.expected <= Self::SHORT_CALL {
                0
            } else {
                self.reserved_for_short_calls()
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
            orders.push(AdviceOrder {
                daemon,
                step: request.step,
                executors: request.executors,
                expected: request.expected,
            });
        }
        self.waiting = left;
        orders
    }

    /// Returns the number of daemons that are reserved for short calls.
    fn reserved_for_short_calls(&self) -> usize {
        let daemons = self.idle.len() + self.busy.len();
        if daemons < 2 {
            return 0;
        }
        (daemons / Self::SHORT_SHARE).max(1)
    }
}
