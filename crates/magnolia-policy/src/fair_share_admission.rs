//! Admission with weighted fair shares, class floors and early refusal.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use magnolia_config::ConfigDocument;
use magnolia_types::{CustomerName, Millis, ResultCode, WorkClass};

use crate::rules_view::{ClassRule, RulesView};
use crate::service_times::{DecayedSum, ServiceTimes};
use crate::{AdmissionEntry, AdmissionPolicy, AdmissionRefusal, AdmissionTicket};

/// Service time in milliseconds that is assumed until one is measured.
const DEFAULT_SERVICE_MS: f64 = 5.0;

type ClassIndex = usize;

/// Requests of one customer in one class.
#[derive(Default)]
struct CustomerQueue {
    entries: BTreeMap<u64, AdmissionEntry>,
    /// Slot time in milliseconds that the customer may still use in this round.
    deficit_ms: f64,
}

/// Requests of one class.
struct ClassQueue {
    name: WorkClass,
    rule: ClassRule,
    customers: HashMap<CustomerName, CustomerQueue>,
    /// Customers with queued requests in round-robin order; the front is next.
    rotation: VecDeque<CustomerName>,
    /// Slot time in milliseconds that the class used recently.
    used: DecayedSum,
    queued: usize,
}

/// Where a queued request is stored.
struct QueuePosition {
    class: ClassIndex,
    customer: CustomerName,
    sequence: u64,
    deadline: Millis,
}

/// Bounded queues per class and customer that share the slots.
///
/// Classes below their floor are served first, then the others by rank; within a class, customers
/// are served by deficit round robin over slot time. Whether a class is below its floor depends on
/// its recent slot time, which decays with a time constant of one second.
pub struct FairShareAdmission {
    rules: RulesView,
    slots: u32,
    /// Number of requests that occupy a slot.
    in_service: u64,
    classes: Vec<ClassQueue>,
    positions: HashMap<AdmissionTicket, QueuePosition>,
    deadlines: BTreeSet<(Millis, AdmissionTicket)>,
    /// Requests that expired and have not been returned by `expire` yet.
    unreported_expired: Vec<AdmissionTicket>,
    queued_by_customer: HashMap<CustomerName, usize>,
    service_times: ServiceTimes,
    next_sequence: u64,
}

impl FairShareAdmission {
    /// Creates empty queues under the rules of a document.
    pub fn new(document: &ConfigDocument) -> Self {
        Self {
            rules: RulesView::new(document),
            slots: 1,
            in_service: 0,
            classes: Vec::new(),
            positions: HashMap::new(),
            deadlines: BTreeSet::new(),
            unreported_expired: Vec::new(),
            queued_by_customer: HashMap::new(),
            service_times: ServiceTimes::default(),
            next_sequence: 0,
        }
    }

    fn class_index(&mut self, name: &WorkClass) -> ClassIndex {
        let known = self.classes.iter().position(|class| class.name == *name);
        known.unwrap_or_else(|| {
            self.classes.push(ClassQueue {
                name: name.clone(),
                rule: self.rules.class(name),
                customers: HashMap::new(),
                rotation: VecDeque::new(),
                used: DecayedSum::default(),
                queued: 0,
            });
            self.classes.len() - 1
        })
    }

    /// Refuses a request beyond the customer's queue limit, in total or in one class.
    ///
    /// Half of a customer's limit is reserved for the classes in equal parts, so that a flood of
    /// one class does not keep the customer's other classes from queueing.
    fn check_queue_limits(
        &self,
        class: ClassIndex,
        entry: &AdmissionEntry,
    ) -> Result<(), AdmissionRefusal> {
        let max_queued = self.rules.customer(&entry.customer).max_queued as usize;
        let total = self
            .queued_by_customer
            .get(&entry.customer)
            .copied()
            .unwrap_or(0);
        if total >= max_queued {
            return Err(AdmissionRefusal {
                code: ResultCode::QuotaExceeded,
                reason: format!("{total} requests of {} are queued", entry.customer).into(),
            });
        }
        let reserved_per_class = max_queued / (2 * self.rules.class_count().max(1));
        let bound = max_queued - reserved_per_class * self.rules.class_count().saturating_sub(1);
        let queue = self.classes[class].customers.get(&entry.customer);
        let queued = queue.map_or(0, |queue| queue.entries.len());
        if queued >= bound.max(1) {
            let (customer, class) = (&entry.customer, &entry.class);
            return Err(AdmissionRefusal {
                code: ResultCode::QueueFull,
                reason: format!("{queued} requests of {customer} in class {class} are queued")
                    .into(),
            });
        }
        Ok(())
    }

    /// Refuses a request that is not expected to be answered before its deadline.
    ///
    /// A request that would get a free slot at once is accepted, because it may be faster than the
    /// learned service time.
    fn check_deadline(
        &mut self,
        now: Millis,
        class: ClassIndex,
        entry: &AdmissionEntry,
    ) -> Result<(), AdmissionRefusal> {
        if self.positions.is_empty() && self.in_service < u64::from(self.slots) {
            return Ok(());
        }
        let Some(service_ms) = self
            .service_times
            .expected_ms(&entry.class, &entry.customer)
        else {
            return Ok(());
        };
        let wait_ms = self.expected_wait_ms(now, class, &entry.customer, service_ms);
        let left = entry.deadline.saturating_sub(now).get() as f64;
        if wait_ms + service_ms <= left {
            return Ok(());
        }
        Err(AdmissionRefusal {
            code: ResultCode::DeadlineTooShort,
            reason: format!("expected {wait_ms:.0} ms in the queue, {left:.0} ms are left").into(),
        })
    }

    /// Estimates the wait behind the customer's own queue at its present share of the slots.
    fn expected_wait_ms(
        &mut self,
        now: Millis,
        class: ClassIndex,
        customer: &CustomerName,
        service_ms: f64,
    ) -> f64 {
        let queue = &self.classes[class];
        let own = queue.customers.get(customer);
        let ahead = own.map_or(0, |own| own.entries.len()) as f64;
        let weight = |name: &CustomerName| f64::from(self.rules.customer(name).weight);
        let others = queue.rotation.iter().filter(|name| *name != customer);
        let others: f64 = others.map(weight).sum();
        let share_of_class = weight(customer) / (weight(customer) + others);
        let share = self.class_share(now, class) * share_of_class;
        (ahead + 1.0) * service_ms / (f64::from(self.slots) * share).max(f64::MIN_POSITIVE)
    }

    /// Returns the fraction of the slots that the class can expect now.
    fn class_share(&mut self, now: Millis, class: ClassIndex) -> f64 {
        let rank = self.classes[class].rule.rank;
        let floor = f64::from(self.classes[class].rule.floor_percent) / 100.0;
        let capacity = f64::from(self.slots) * DecayedSum::TIME_CONSTANT_MS;
        let mut left = 1.0;
        for (index, other) in self.classes.iter_mut().enumerate() {
            if index == class {
                continue;
            }
            // More urgent classes get all that they use, the others no more than their floors.
            let used = other.used.value(now) / capacity;
            let other_floor = f64::from(other.rule.floor_percent) / 100.0;
            left -= if other.rule.rank > rank {
                used
            } else {
                used.min(other_floor)
            };
        }
        // A class without a floor is still served whenever the more urgent classes pause, so that
        // its share is never zero.
        left.max(floor).max(0.01)
    }

    /// Returns the class that is served next.
    ///
    /// Floors are relative to all slots, not to those in use. If they were relative to the slots
    /// in use, the low usage before a flood would put every class above its floor for a while.
    fn next_class(&mut self, now: Millis) -> Option<ClassIndex> {
        let capacity = f64::from(self.slots) * DecayedSum::TIME_CONSTANT_MS;
        let waiting = self.classes.iter_mut().enumerate();
        let waiting = waiting.filter(|(_, class)| class.queued > 0);
        let ranked = waiting.map(|(index, class)| {
            let floor = capacity * f64::from(class.rule.floor_percent) / 100.0;
            let is_above = class.used.value(now) >= floor;
            (is_above, Reverse(class.rule.rank), index)
        });
        ranked.min().map(|(.., index)| index)
    }

    /// Takes the next request of a class by deficit round robin.
    fn take_next(&mut self, now: Millis, index: ClassIndex) -> Option<AdmissionTicket> {
        loop {
            let class = &mut self.classes[index];
            let customer = class.rotation.front()?.clone();
            let cost = self.service_times.expected_ms(&class.name, &customer);
            let cost = cost.unwrap_or(DEFAULT_SERVICE_MS).max(1.0);
            let queue = class.customers.get_mut(&customer)?;
            if queue.deficit_ms < cost {
                let weight = f64::from(self.rules.customer(&customer).weight);
                // A quantum of one mean service time keeps the number of rounds per request small.
                let quantum = self.service_times.class_ms(&class.name);
                queue.deficit_ms += quantum.unwrap_or(DEFAULT_SERVICE_MS).max(1.0) * weight;
                class.rotation.rotate_left(1);
                continue;
            }
            queue.deficit_ms -= cost;
            class.used.add(now, cost);
            let ticket = queue
                .entries
                .first_key_value()
                .map(|(_, entry)| entry.ticket)?;
            self.remove(ticket);
            return Some(ticket);
        }
    }

    fn remove(&mut self, ticket: AdmissionTicket) -> bool {
        let Some(position) = self.positions.remove(&ticket) else {
            return false;
        };
        self.deadlines.remove(&(position.deadline, ticket));
        if let Some(count) = self.queued_by_customer.get_mut(&position.customer) {
            *count -= 1;
            if *count == 0 {
                self.queued_by_customer.remove(&position.customer);
            }
        }
        let class = &mut self.classes[position.class];
        class.queued -= 1;
        if let Some(queue) = class.customers.get_mut(&position.customer) {
            queue.entries.remove(&position.sequence);
            if queue.entries.is_empty() {
                class.customers.remove(&position.customer);
                class.rotation.retain(|name| *name != position.customer);
            }
        }
        true
    }
}

impl AdmissionPolicy for FairShareAdmission {
    fn set_rules(&mut self, document: &ConfigDocument) {
        self.rules = RulesView::new(document);
        for class in &mut self.classes {
            class.rule = self.rules.class(&class.name);
        }
    }

    fn offer(&mut self, now: Millis, entry: AdmissionEntry) -> Result<(), AdmissionRefusal> {
        if entry.deadline <= now {
            return Err(AdmissionRefusal {
                code: ResultCode::DeadlineExceeded,
                reason: "the deadline has passed".into(),
            });
        }
        let class = self.class_index(&entry.class);
        self.check_queue_limits(class, &entry)?;
        self.check_deadline(now, class, &entry)?;
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let position = QueuePosition {
            class,
            customer: entry.customer.clone(),
            sequence,
            deadline: entry.deadline,
        };
        self.deadlines.insert((entry.deadline, entry.ticket));
        self.positions.insert(entry.ticket, position);
        *self
            .queued_by_customer
            .entry(entry.customer.clone())
            .or_default() += 1;
        let queue = &mut self.classes[class];
        queue.queued += 1;
        if !queue.customers.contains_key(&entry.customer) {
            queue.rotation.push_back(entry.customer.clone());
        }
        let customer = queue.customers.entry(entry.customer.clone()).or_default();
        customer.entries.insert(sequence, entry);
        Ok(())
    }

    fn next(&mut self, now: Millis) -> Option<AdmissionTicket> {
        let unreported_expired = self.expire(now);
        self.unreported_expired = unreported_expired;
        let class = self.next_class(now)?;
        let taken = self.take_next(now, class);
        self.in_service += u64::from(taken.is_some());
        taken
    }

    fn expire(&mut self, now: Millis) -> Vec<AdmissionTicket> {
        let mut expired = std::mem::take(&mut self.unreported_expired);
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                break;
            }
            self.remove(ticket);
            expired.push(ticket);
        }
        expired
    }

    fn withdraw(&mut self, ticket: AdmissionTicket) -> bool {
        self.remove(ticket)
    }

    fn finished(&mut self, now: Millis, customer: &CustomerName, class: &WorkClass, took: Millis) {
        self.in_service = self.in_service.saturating_sub(1);
        let took_ms = took.get().max(1) as f64;
        let expected = self
            .service_times
            .expected_ms(class, customer)
            .unwrap_or(DEFAULT_SERVICE_MS);
        self.service_times.observe(class, customer, took_ms);
        let index = self.class_index(class);
        let queue = &mut self.classes[index];
        queue.used.add(now, took_ms - expected.max(1.0));
        if let Some(queue) = queue.customers.get_mut(customer) {
            queue.deficit_ms += expected.max(1.0) - took_ms;
        }
    }

    fn set_slots(&mut self, slots: u32) {
        self.slots = slots.max(1);
    }

    fn queued(&self) -> usize {
        self.positions.len()
    }
}
