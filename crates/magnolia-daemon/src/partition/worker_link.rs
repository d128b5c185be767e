//! State of one worker at the owner: what is known of it and what the next message to it carries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use magnolia_backing::{StartCommand, StopCommand, ThrottleCommand};
use magnolia_policy::{WorkerCondition, WorkerView};
use magnolia_types::{AttemptId, Incarnation, Millis, RackName, ResourceVector, WorkerId};

/// Time that a task gets to end by itself after a stop command.
pub const STOP_GRACE: Millis = Millis::from_secs(5);
/// Delay after a failed exchange.
const RETRY_DELAY: Millis = Millis::new(200);

/// Delay before the next message to a worker on which an attempt should have ended but still runs.
const POLL_DELAY: Millis = Millis::new(250);
/// Minimum time between two messages to a worker, so that changes of several attempts share one.
const MESSAGE_GAP: Millis = Millis::new(10);

/// Interval of full reports of a worker. A full report costs about 260 bytes per running task.
/// Other reports list only ends and new starts, so that traffic hardly grows with the number of
/// running tasks. Usage, from which task sizes are learned, is read from reports of running
/// attempts; the report of each end carries it as well.
const FULL_REPORT_INTERVAL: Millis = Millis::from_secs(60);

/// A start that the worker has not answered yet.
#[derive(Clone, Debug)]
pub struct PendingStart {
    /// The start as sent.
    pub command: StartCommand,
    /// Number of messages that carried it.
    pub sends: u32,
}

/// An order for a running attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOrder {
    /// Limit the attempt to this share of its reserved processors, in percent.
    Throttle(u8),
    /// Save a checkpoint and end.
    Checkpoint,
    /// End.
    Stop,
}

/// An order and whether it was sent.
#[derive(Clone, Copy, Debug)]
pub struct PendingOrder {
    /// The order.
    pub order: AttemptOrder,
    /// Whether a message has carried it and no exchange has failed since.
    pub is_sent: bool,
}

/// State of one worker of the partition.
pub struct WorkerLink {
    /// Its name.
    pub worker: WorkerId,
    /// Its address.
    pub address: SocketAddr,
    /// Its rack.
    pub rack: RackName,
    /// Its capacity according to the inventory.
    pub capacity: ResourceVector,
    /// Its capacity according to its own report.
    pub reported_capacity: Option<ResourceVector>,
    /// Whether the inventory marks its rack as leaving.
    pub rack_leaving: bool,
    /// Whether the worker reports that it is leaving.
    pub reports_leaving: bool,
    /// Whether the instance list marks it as leaving.
    pub listed_leaving: bool,
    /// Whether the inventory no longer has it.
    pub removed: bool,
    /// Whether an exchange is in flight.
    pub is_busy: bool,
    /// Number of failed exchanges since the last answer.
    pub failures: u32,
    /// The incarnation that may get starts, because the log confirmed the claim after it was learned.
    pub confirmed_incarnation: Option<Incarnation>,
    /// When the first answer of the current incarnation came.
    pub incarnation_learned_at: Millis,
    /// Starts that were not answered or not sent yet.
    pub starts: BTreeMap<AttemptId, PendingStart>,
    /// Orders for attempts that have not ended.
    pub orders: BTreeMap<AttemptId, PendingOrder>,
    /// When attempts are expected to end; a message that asks about them is due then.
    pub expected_ends: BTreeMap<AttemptId, Millis>,
    /// Ended attempts that the worker may forget.
    pub acknowledged: BTreeSet<AttemptId>,
    /// The view of the worker that the placement engine has.
    pub view: Option<WorkerView>,
    /// When the leases on the worker have to be renewed.
    next_renewal: Millis,
    next_full_report: Millis,
    /// Earliest time of the next message.
    not_before: Millis,
}

impl WorkerLink {
    /// Creates the state of a worker that has not answered yet.
    pub fn new(worker: WorkerId, address: SocketAddr, rack: RackName) -> Self {
        Self {
            worker,
            address,
            rack,
            capacity: ResourceVector::default(),
            reported_capacity: None,
            rack_leaving: false,
            reports_leaving: false,
            listed_leaving: false,
            removed: false,
            is_busy: false,
            failures: 0,
            confirmed_incarnation: None,
            incarnation_learned_at: Millis::new(0),
            starts: BTreeMap::new(),
            orders: BTreeMap::new(),
            expected_ends: BTreeMap::new(),
            acknowledged: BTreeSet::new(),
            view: None,
            next_renewal: Millis::new(0),
            next_full_report: Millis::new(0),
            not_before: Millis::new(0),
        }
    }

    /// Tells whether a message is due: for starts, orders or acknowledgements, for an expected end,
    /// for a renewal, or again after a failure. Starts count only with `may_start`.
    pub fn is_due(&self, now: Millis, may_start: bool) -> bool {
        if self.is_busy || now < self.not_before {
            return false;
        }
        (may_start && !self.starts.is_empty())
            || !self.acknowledged.is_empty()
            || self.orders.values().any(|order| !order.is_sent)
            || self.expected_ends.values().any(|at| *at <= now)
            || now >= self.next_renewal
            || self.failures > 0
    }

    /// Sets the order for an attempt; a stop is never replaced by another order.
    pub fn set_order(&mut self, attempt: &AttemptId, order: AttemptOrder) {
        let known = self.orders.get(attempt).map(|known| known.order);
        if known != Some(AttemptOrder::Stop) && known != Some(order) {
            let is_sent = false;
            self.orders
                .insert(attempt.clone(), PendingOrder { order, is_sent });
        }
    }

    /// Records that an attempt still runs. If it should have ended, the worker is asked again soon.
    pub fn record_running(&mut self, attempt: &AttemptId, now: Millis) {
        let is_ending = self.orders.get(attempt).is_some_and(|order| {
            order.is_sent && !matches!(order.order, AttemptOrder::Throttle(_))
        });
        match self.expected_ends.get_mut(attempt) {
            Some(at) if *at <= now => *at = now.saturating_add(POLL_DELAY),
            None if is_ending => {
                self.expected_ends
                    .insert(attempt.clone(), now.saturating_add(POLL_DELAY));
            }
            _ => {}
        }
    }

    /// Records that a message goes out; the next renewal is due after a third of the lease.
    pub fn record_sent(&mut self, now: Millis, lease: Millis) {
        self.is_busy = true;
        self.next_renewal = now.saturating_add(Millis::new(lease.get() / 3));
        self.not_before = now.saturating_add(MESSAGE_GAP);
        self.orders
            .values_mut()
            .for_each(|order| order.is_sent = true);
    }

    /// Records an answer. Throttles that were sent are done; the ends of attempts that were ordered
    /// to end are expected soon.
    pub fn record_answer(&mut self, now: Millis) {
        self.is_busy = false;
        self.failures = 0;
        self.orders.retain(|_, order| {
            !(order.is_sent && matches!(order.order, AttemptOrder::Throttle(_)))
        });
        for attempt in self.orders.iter().filter(|(_, order)| order.is_sent) {
            let soon = now.saturating_add(POLL_DELAY);
            let at = self.expected_ends.entry(attempt.0.clone()).or_insert(soon);
            *at = soon.min(*at);
        }
    }

    /// Records that an exchange has failed; its orders are sent again.
    pub fn record_failure(&mut self, now: Millis) {
        self.is_busy = false;
        self.failures = self.failures.saturating_add(1);
        self.not_before = now.saturating_add(RETRY_DELAY);
        self.orders
            .values_mut()
            .for_each(|order| order.is_sent = false);
    }

    /// Returns whether the worker may get new tasks. `fenced` tells whether it has accepted the
    /// fence of this owner; `incarnation` is its newest known incarnation.
    pub fn condition(&self, fenced: bool, incarnation: Option<Incarnation>) -> WorkerCondition {
        let confirmed = incarnation.is_some() && self.confirmed_incarnation == incarnation;
        let leaves = self.rack_leaving || self.reports_leaving || self.listed_leaving;
        if self.removed || leaves {
            WorkerCondition::Leaving
        } else if fenced && confirmed && self.failures == 0 {
            WorkerCondition::Usable
        } else {
            WorkerCondition::Unavailable
        }
    }

    /// Returns, for each resource, the lower of the capacities in the inventory and in the worker's
    /// own report.
    pub fn usable_capacity(&self) -> ResourceVector {
        let Some(reported) = self.reported_capacity else {
            return self.capacity;
        };
        ResourceVector {
            cpu_millis: self.capacity.cpu_millis.min(reported.cpu_millis),
            memory_mib: self.capacity.memory_mib.min(reported.memory_mib),
            accelerators: self.capacity.accelerators.min(reported.accelerators),
        }
    }

    /// Returns the stop commands for the next message.
    pub fn stop_commands(&self) -> Vec<StopCommand> {
        let stops = self.ordered(AttemptOrder::Stop).map(|attempt| StopCommand {
            attempt,
            grace_ms: STOP_GRACE,
        });
        stops.collect()
    }

    /// Returns the attempts that the next message orders to checkpoint.
    pub fn checkpoint_commands(&self) -> Vec<AttemptId> {
        self.ordered(AttemptOrder::Checkpoint).collect()
    }

    /// Returns the throttle commands for the next message.
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

    /// Returns the attempts that were ordered to end before their start was sent.
    pub fn unsent_stops(&self) -> impl Iterator<Item = AttemptId> {
        let unsent = self.starts.iter().filter(|(_, start)| start.sends == 0);
        let stopped = unsent.filter(|(attempt, _)| {
            let order = self.orders.get(*attempt).map(|order| order.order);
            matches!(order, Some(AttemptOrder::Stop | AttemptOrder::Checkpoint))
        });
        stopped.map(|(attempt, _)| attempt.clone())
    }

    /// Records that the worker has started an attempt; its end is expected after the declared run
    /// time.
    pub fn record_started(&mut self, attempt: &AttemptId, ran: Millis, now: Millis) {
        if let Some(start) = self.starts.remove(attempt)
            && let Some(run) = start.command.run_ms
        {
            let end = now.saturating_add(run).saturating_sub(ran);
            self.expected_ends.insert(attempt.clone(), end);
        }
        self.record_running(attempt, now);
    }

    /// Tells whether the next answer should list all attempts, with their usage.
    pub fn needs_full_report(&self, now: Millis) -> bool {
        now >= self.next_full_report
    }

    /// Records a full report; the next one is due after [`FULL_REPORT_INTERVAL`].
    pub fn record_full_report(&mut self, now: Millis) {
        self.next_full_report = now.saturating_add(FULL_REPORT_INTERVAL);
    }

    /// Removes the start, the order and the expected end of an attempt that has ended.
    pub fn forget(&mut self, attempt: &AttemptId) {
        self.starts.remove(attempt);
        self.orders.remove(attempt);
        self.expected_ends.remove(attempt);
    }

    fn ordered(&self, wanted: AttemptOrder) -> impl Iterator<Item = AttemptId> {
        let orders = self.orders.iter();
        let orders = orders.filter(move |(_, order)| order.order == wanted);
        orders.map(|(attempt, _)| attempt.clone())
    }
}
