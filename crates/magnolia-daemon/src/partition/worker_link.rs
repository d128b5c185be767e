//! What the owner knows of one worker and wants to tell it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use magnolia_backing::{StartCommand, StopCommand, ThrottleCommand};
use magnolia_policy::{WorkerCondition, WorkerView};
use magnolia_types::{AttemptId, Incarnation, Millis, RackName, ResourceVector, WorkerId};

/// Time that a stopped task gets to end by itself.
pub const STOP_GRACE: Millis = Millis::from_secs(5);
/// Pause after an exchange without an answer.
const RETRY_PAUSE: Millis = Millis::new(200);

/// Pause before a worker is asked again about an attempt that was expected to end.
const POLL_PAUSE: Millis = Millis::new(250);
/// Shortest time between two messages to a worker, so that news of several attempts share one.
const MESSAGE_GAP: Millis = Millis::new(10);

/// Time between two full reports of a worker. Other reports list only ends and new starts, so that
/// traffic hardly grows with the number of running tasks: a full report costs about 260 bytes for
/// each. Usage for incarnation_learned_at sizes also comes with the report of each end.
const FULL_REPORT_INTERVAL: Millis = Millis::from_secs(60);

/// A start that was not answered yet.
#[derive(Clone, Debug)]
pub struct PendingStart {
    /// The start as sent.
    pub command: StartCommand,
    /// How often it was sent.
    pub sends: u32,
}

/// What a running attempt is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOrder {
    /// Run on with this share of the processors in percent.
    Throttle(u8),
    /// Save the state and end.
    Checkpoint,
    /// End.
    Stop,
}

/// An order and whether the worker has it.
#[derive(Clone, Copy, Debug)]
pub struct PendingOrder {
    /// The order.
    pub order: AttemptOrder,
    /// Whether it was delivered.
    pub is_delivered: bool,
}

/// One worker of the partition.
pub struct WorkerLink {
    /// Its name.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its rack.
    pub rack: RackName,
    /// What the inventory says that it has.
    pub capacity: ResourceVector,
    /// What the worker itself says that it has.
    pub reported: Option<ResourceVector>,
    /// Whether the inventory takes its rack out of use.
    pub rack_leaving: bool,
    /// Whether the worker says that it goes away.
    pub reports_leaving: bool,
    /// Whether the instance list says that it goes away.
    pub listed_leaving: bool,
    /// Whether the inventory no longer has it.
    pub removed: bool,
    /// Whether a message is on its way.
    pub is_busy: bool,
    /// Exchanges without an answer since the last one.
    pub failures: u32,
    /// The incarnation that may get starts.
    pub confirmed: Option<Incarnation>,
    /// When the current incarnation was first heard of.
    pub incarnation_learned_at: Millis,
    /// Starts that were not answered, with those not sent yet.
    pub starts: BTreeMap<AttemptId, PendingStart>,
    /// Orders for running attempts.
    pub orders: BTreeMap<AttemptId, PendingOrder>,
    /// When attempts are expected to end.
    pub expected: BTreeMap<AttemptId, Millis>,
    /// Ended attempts that the worker may forget.
    pub acknowledged: BTreeSet<AttemptId>,
    /// What the placement was told last.
    pub view: Option<WorkerView>,
    next_renewal: Millis,
    next_full_report: Millis,
    not_before: Millis,
}

impl WorkerLink {
    /// Creates the link of a worker that has not answered yet.
    pub fn new(worker: WorkerId, address: SocketAddr, rack: RackName) -> Self {
        Self {
            worker,
            address,
            rack,
            capacity: ResourceVector::default(),
            reported: None,
            rack_leaving: false,
            reports_leaving: false,
            listed_leaving: false,
            removed: false,
            is_busy: false,
            failures: 0,
            confirmed: None,
            incarnation_learned_at: Millis::new(0),
            starts: BTreeMap::new(),
            orders: BTreeMap::new(),
            expected: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            view: None,
            next_renewal: Millis::new(0),
            next_full_report: Millis::new(0),
            not_before: Millis::new(0),
        }
    }

    /// Tells whether a message is due, because of news for the worker, an expected end or a
    /// renewal; starts count when `may_start` tells that the worker may get them.
    pub fn is_due(&self, now: Millis, may_start: bool) -> bool {
        if self.is_busy || now < self.not_before {
            return false;
        }
        (may_start && !self.starts.is_empty())
            || !self.acknowledged.is_empty()
            || self.orders.values().any(|order| !order.is_delivered)
            || self.expected.values().any(|at| *at <= now)
            || now >= self.next_renewal
            || self.failures > 0
    }

    /// Gives an order for an attempt; a stop is never replaced by another order.
    pub fn order(&mut self, attempt: &AttemptId, order: AttemptOrder) {
        let known = self.orders.get(attempt).map(|known| known.order);
        if known != Some(AttemptOrder::Stop) && known != Some(order) {
            let is_delivered = false;
            self.orders.insert(
                attempt.clone(),
                PendingOrder {
                    order,
                    is_delivered,
                },
            );
        }
    }

    /// Records an attempt that still runs; one that should have ended is asked about again.
    pub fn still_running(&mut self, attempt: &AttemptId, now: Millis) {
        let is_ending = self.orders.get(attempt).is_some_and(|order| {
            order.is_delivered && !matches!(order.order, AttemptOrder::Throttle(_))
        });
        match self.expected.get_mut(attempt) {
            Some(at) if *at <= now => *at = now.saturating_add(POLL_PAUSE),
            None if is_ending => {
                self.expected
                    .insert(attempt.clone(), now.saturating_add(POLL_PAUSE));
            }
            _ => {}
        }
    }

    /// Records that a message goes out; the next renewal is due after a third of the lease.
    pub fn sent(&mut self, now: Millis, lease: Millis) {
        self.is_busy = true;
        self.next_renewal = now.saturating_add(Millis::new(lease.get() / 3));
        self.not_before = now.saturating_add(MESSAGE_GAP);
        self.orders
            .values_mut()
            .for_each(|order| order.is_delivered = true);
    }

    /// Records an answer.
    pub fn answered(&mut self, now: Millis) {
        self.is_busy = false;
        self.failures = 0;
        self.orders.retain(|_, order| {
            !(order.is_delivered && matches!(order.order, AttemptOrder::Throttle(_)))
        });
        for attempt in self.orders.iter().filter(|(_, order)| order.is_delivered) {
            let soon = now.saturating_add(POLL_PAUSE);
            let at = self.expected.entry(attempt.0.clone()).or_insert(soon);
            *at = soon.min(*at);
        }
    }

    /// Records that no answer came.
    pub fn failed(&mut self, now: Millis) {
        self.is_busy = false;
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.saturating_add(RETRY_PAUSE);
        self.orders
            .values_mut()
            .for_each(|order| order.is_delivered = false);
    }

    /// Returns whether the worker may get new tasks as a process of this incarnation.
    pub fn condition(&self, fenced: bool, incarnation: Option<Incarnation>) -> WorkerCondition {
        let confirmed = incarnation.is_some() && self.confirmed == incarnation;
        let leaves = self.rack_leaving || self.reports_leaving || self.listed_leaving;
        if self.removed || leaves {
            WorkerCondition::Leaving
        } else if fenced && confirmed && self.failures == 0 {
            WorkerCondition::Usable
        } else {
            WorkerCondition::Unavailable
        }
    }

    /// Returns what the worker has by the inventory or by its own report, whichever is less.
    pub fn usable_capacity(&self) -> ResourceVector {
        let Some(reported) = self.reported else {
            return self.capacity;
        };
        ResourceVector {
            cpu_millis: self.capacity.cpu_millis.min(reported.cpu_millis),
            memory_mib: self.capacity.memory_mib.min(reported.memory_mib),
            accelerators: self.capacity.accelerators.min(reported.accelerators),
        }
    }

    /// Returns the stops of the next message.
    pub fn stop_commands(&self) -> Vec<StopCommand> {
        let stops = self.ordered(AttemptOrder::Stop).map(|attempt| StopCommand {
            attempt,
            grace_ms: STOP_GRACE,
        });
        stops.collect()
    }

    /// Returns the attempts that the next message checkpoints.
    pub fn checkpoint_commands(&self) -> Vec<AttemptId> {
        self.ordered(AttemptOrder::Checkpoint).collect()
    }

    /// Returns the throttles of the next message.
    pub fn throttle_commands(&self) -> Vec<ThrottleCommand> {
        let throttles = self.orders.iter().filter_map(|(attempt, order)| {
            let AttemptOrder::Throttle(percent) = order.order else {
                return None;
            };
            let attempt = attempt.clone();
            Some(ThrottleCommand { attempt, percent })
        });
        throttles.collect()
    }

    /// Returns the attempts that are to stop before their start was ever sent.
    pub fn unsent_stops(&self) -> impl Iterator<Item = AttemptId> {
        let unsent = self.starts.iter().filter(|(_, start)| start.sends == 0);
        let stopped = unsent.filter(|(attempt, _)| {
            let order = self.orders.get(*attempt).map(|order| order.order);
            matches!(order, Some(AttemptOrder::Stop | AttemptOrder::Checkpoint))
        });
        stopped.map(|(attempt, _)| attempt.clone())
    }

    /// Records that the worker has a start; the end is expected after the declared run time.
    pub fn start_answered(&mut self, attempt: &AttemptId, ran: Millis, now: Millis) {
        if let Some(start) = self.starts.remove(attempt)
            && let Some(run) = start.command.run_ms
        {
            let end = now.saturating_add(run).saturating_sub(ran);
            self.expected.insert(attempt.clone(), end);
        }
        self.still_running(attempt, now);
    }

    /// Tells whether the next answer should list all attempts, which also measures their usage.
    pub fn needs_full_report(&self, now: Millis) -> bool {
        now >= self.next_full_report
    }

    /// Records a full report.
    pub fn full_report_taken(&mut self, now: Millis) {
        self.next_full_report = now.saturating_add(FULL_REPORT_INTERVAL);
    }

    /// Forgets everything about an attempt that has ended.
    pub fn forget(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
        self.orders.remove(attempt);
        self.expected.remove(attempt);
    }

    fn ordered(&self, wanted: AttemptOrder) -> impl Iterator<Item = AttemptId> {
        let orders = self.orders.iter();
        let orders = orders.filter(move |(_, order)| order.order == wanted);
        orders.map(|(attempt, _)| attempt.clone())
    }
}
