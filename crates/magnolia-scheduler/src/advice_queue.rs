//! Queue of calls for eligibility: which daemon asks for which step, and when.
//!
//! Answers the load of both sites: each daemon's calls are served one at a time, a call for an
//! urgent step takes some 30 ms and one for batch some 500 ms, so that an urgent call behind a
//! batch call has lost its objective before it starts.

use std::collections::BTreeSet;

use magnolia_types::{ExecutorId, Millis};

use crate::{AdviceOrder, StepRef};

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceRequest {
    /// Urgency of the queue.
    pub priority: u32,
    /// Position within the urgency.
    pub order: u64,
    /// The step.
    pub step: StepRef,
    /// The executors to name.
    pub executors: Vec<ExecutorId>,
    /// Time that the call takes by the queue's rules.
    pub expected: Millis,
}

/// Assigns calls to daemons.
#[derive(Debug, Default)]
pub struct AdviceQueue {
    /// Daemons without a call in flight.
    idle: BTreeSet<usize>,
    busy: BTreeSet<usize>,
    waiting: Vec<AdviceRequest>,
}

impl AdviceQueue {
    /// Calls up to this time are short: they wait for a daemon only behind each other.
    const SHORT_CALL: Millis = Millis::new(100);
    /// One daemon in this many is kept for short calls.
    const SHORT_SHARE: usize = 4;

    /// Creates an empty queue.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the daemons that can call; calls in flight at others are answered by `release`.
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

    /// Returns the time for which the waiting calls up to `priority` keep all daemons busy.
    pub fn backlog(&self, priority: u32) -> Millis {
        let ahead = self.waiting.iter().filter(|call| call.priority <= priority);
        let total: u64 = ahead.map(|call| call.expected.get()).sum();
        let daemons = (self.idle.len() + self.busy.len()).max(1);
        Millis::new(total / u64::try_from(daemons).unwrap_or(1))
    }

    /// Marks a daemon as free again.
    pub fn release(&mut self, daemon: usize, usable: bool) {
        self.busy.remove(&daemon);
        if usable {
            self.idle.insert(daemon);
        } else {
            self.idle.remove(&daemon);
        }
    }

    /// Takes the calls that can go out now.
    pub fn dispatch(&mut self) -> Vec<AdviceOrder> {
        self.waiting
            .sort_by_key(|request| (request.priority, request.order, request.step));
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

    /// Returns how many daemons only short calls use.
    fn reserved_for_short_calls(&self) -> usize {
        let daemons = self.idle.len() + self.busy.len();
        if daemons < 2 {
            return 0;
        }
        (daemons / Self::SHORT_SHARE).max(1)
    }
}
