//! Known jobs and the queues in which they wait.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use magnolia_types::{
    CustomerName, JobId, JobKind, JobSpec, Millis, RackName, ResourceVector, TaskIndex, WorkClass,
};

use crate::rules_view::{ClassRule, CustomerRule, RulesView};

/// Position of a job in [`JobQueues`].
pub type JobIndex = usize;
/// Position of a queue in [`JobQueues`].
pub type QueueIndex = usize;
/// Position of a class in [`JobQueues`].
pub type ClassIndex = usize;
/// Position of a customer in [`JobQueues`].
pub type CustomerIndex = usize;

/// Factor that converts the weighted shares of queues to integers.
const SHARE_SCALE: f64 = 1e9;

/// A job with waiting or active tasks.
pub struct JobEntry {
    /// The job.
    pub id: JobId,
    /// The job as submitted.
    pub spec: Arc<JobSpec>,
    /// The queue of its customer and class.
    pub queue: QueueIndex,
    /// When it was submitted.
    pub submitted: Millis,
    /// Sort key in the queue: submission time in milliseconds plus bias, then order of arrival.
    pub order: (u64, u64),
    /// Waiting tasks.
    pub waiting: BTreeSet<TaskIndex>,
    /// Number of pending starts and running attempts.
    pub active: u32,
    /// Number of active tasks by rack; counted for services only.
    pub racks: Vec<(RackName, u32)>,
    /// When to try a plan again after none was possible.
    pub plan_retry_at: Millis,
    /// Whether the waiting tasks were removed and must not be queued again.
    pub withdrawn: bool,
}

impl JobEntry {
    /// Returns the number of tasks that start together.
    pub fn start_size(&self) -> usize {
        match self.spec.kind {
            JobKind::Gang => self.waiting.len(),
            _ => 1,
        }
    }

    /// Counts a task of a service as added to a rack or removed from it.
    pub fn count_rack(&mut self, rack: &RackName, is_added: bool) {
        if self.spec.kind != JobKind::Service {
            return;
        }
        match self.racks.iter_mut().find(|(name, _)| name == rack) {
            Some((_, count)) if is_added => *count += 1,
            Some((_, count)) => *count = count.saturating_sub(1),
            None if is_added => self.racks.push((rack.clone(), 1)),
            None => {}
        }
        self.racks.retain(|(_, count)| *count > 0);
    }

    /// Returns the number of active tasks of a service on a rack.
    pub fn tasks_on_rack(&self, rack: &RackName) -> u32 {
        let found = self.racks.iter().find(|(name, _)| name == rack);
        found.map_or(0, |(_, count)| *count)
    }
}

/// Waiting jobs of one customer and class.
pub struct JobQueue {
    /// The class.
    pub class: ClassIndex,
    /// The customer.
    pub customer: CustomerIndex,
    /// Jobs with waiting tasks by their sort key.
    pub jobs: BTreeMap<(u64, u64), JobIndex>,
    /// Resources allocated to its tasks.
    pub used: ResourceVector,
    /// Weighted share that orders the queues of its class.
    pub share: u64,
    /// Generation of the engine at which no job of the queue fitted; `None` after its waiting
    /// jobs changed or one of them got a plan.
    pub blocked_at: Option<u64>,
    /// Jobs that did not fit then and may get a plan, in order.
    pub blocked_jobs: Vec<JobIndex>,
}

/// A class with the resources that it uses.
pub struct ClassEntry {
    /// The class.
    pub name: WorkClass,
    /// Its rule.
    pub rule: ClassRule,
    /// Resources allocated to its tasks.
    pub used: ResourceVector,
    /// Queues with waiting jobs, the lowest share first.
    pub ready: BTreeSet<(u64, QueueIndex)>,
}

/// A customer with the resources that it uses.
pub struct CustomerEntry {
    /// The customer.
    pub name: CustomerName,
    /// Its rule.
    pub rule: CustomerRule,
    /// Resources allocated to its tasks.
    pub used: ResourceVector,
}

/// Jobs with their queues, classes and customers.
#[derive(Default)]
pub struct JobQueues {
    by_id: HashMap<JobId, JobIndex>,
    jobs: Vec<Option<JobEntry>>,
    free_positions: Vec<JobIndex>,
    queues: Vec<JobQueue>,
    queue_by_key: HashMap<(ClassIndex, CustomerIndex), QueueIndex>,
    /// Classes that had any job so far.
    pub classes: Vec<ClassEntry>,
    /// Customers that had any job so far.
    pub customers: Vec<CustomerEntry>,
    next_sequence: u64,
    waiting: usize,
}

impl JobQueues {
    /// Returns the position of a job.
    pub fn index_of(&self, job: &JobId) -> Option<JobIndex> {
        self.by_id.get(job).copied()
    }

    /// Returns a job.
    pub fn job(&self, index: JobIndex) -> Option<&JobEntry> {
        self.jobs.get(index).and_then(Option::as_ref)
    }

    /// Returns a mutable reference to a job.
    pub fn job_mut(&mut self, index: JobIndex) -> Option<&mut JobEntry> {
        self.jobs.get_mut(index).and_then(Option::as_mut)
    }

    /// Returns a queue.
    pub fn queue(&self, index: QueueIndex) -> &JobQueue {
        &self.queues[index]
    }

    /// Returns a mutable reference to a queue.
    pub fn queue_mut(&mut self, index: QueueIndex) -> &mut JobQueue {
        &mut self.queues[index]
    }

    /// Returns the number of waiting tasks.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// Updates the rules of all classes and customers.
    pub fn set_rules(&mut self, rules: &RulesView) {
        for class in &mut self.classes {
            class.rule = rules.class(&class.name);
        }
        for customer in &mut self.customers {
            customer.rule = rules.customer(&customer.name);
        }
    }

    /// Returns the queue of a customer and class, creating it when there is none.
    pub fn queue_for(&mut self, spec: &JobSpec, rules: &RulesView) -> QueueIndex {
        let class = self.class_for(&spec.class, rules);
        let customer = self.customer_for(&spec.customer, rules);
        if let Some(&queue) = self.queue_by_key.get(&(class, customer)) {
            return queue;
        }
        let queue = self.queues.len();
        self.queues.push(JobQueue {
            class,
            customer,
            jobs: BTreeMap::new(),
            used: ResourceVector::default(),
            share: 0,
            blocked_at: None,
            blocked_jobs: Vec::new(),
        });
        self.queue_by_key.insert((class, customer), queue);
        queue
    }

    /// Adds a job without waiting tasks; `bias` in milliseconds is added to its submission time in
    /// the sort key.
    pub fn add_job(
        &mut self,
        id: JobId,
        spec: Arc<JobSpec>,
        queue: QueueIndex,
        submitted: Millis,
        bias: u64,
    ) -> JobIndex {
        let order = (submitted.get().saturating_add(bias), self.next_sequence);
        self.next_sequence += 1;
        let entry = JobEntry {
            id: id.clone(),
            spec,
            queue,
            submitted,
            order,
            waiting: BTreeSet::new(),
            active: 0,
            racks: Vec::new(),
            plan_retry_at: Millis::new(0),
            withdrawn: false,
        };
        let index = self.free_positions.pop().unwrap_or_else(|| {
            self.jobs.push(None);
            self.jobs.len() - 1
        });
        self.jobs[index] = Some(entry);
        self.by_id.insert(id, index);
        index
    }

    /// Adds waiting tasks of a job.
    pub fn add_waiting(&mut self, index: JobIndex, tasks: impl IntoIterator<Item = TaskIndex>) {
        let Some(job) = self.jobs.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        let before = job.waiting.len();
        job.waiting.extend(tasks);
        self.waiting += job.waiting.len() - before;
        if job.waiting.is_empty() {
            return;
        }
        let queue = &mut self.queues[job.queue];
        queue.jobs.insert(job.order, index);
        queue.blocked_at = None;
        self.classes[queue.class]
            .ready
            .insert((queue.share, job.queue));
    }

    /// Removes one waiting task; returns `false` when it does not wait.
    pub fn remove_waiting(&mut self, index: JobIndex, task: TaskIndex) -> bool {
        let Some(job) = self.jobs.get_mut(index).and_then(Option::as_mut) else {
            return false;
        };
        if !job.waiting.remove(&task) {
            return false;
        }
        self.waiting -= 1;
        if job.waiting.is_empty() {
            let (queue, order) = (job.queue, job.order);
            self.leave_queue(queue, order);
        }
        true
    }

    /// Removes all waiting tasks of a job and marks it as withdrawn.
    pub fn withdraw(&mut self, index: JobIndex) {
        let Some(job) = self.jobs.get_mut(index).and_then(Option::as_mut) else {
            return;
        };
        self.waiting -= job.waiting.len();
        job.waiting = BTreeSet::new();
        job.withdrawn = true;
        let (queue, order) = (job.queue, job.order);
        self.leave_queue(queue, order);
        self.remove_if_idle(index);
    }

    /// Removes a job without waiting and active tasks; returns whether it was removed.
    pub fn remove_if_idle(&mut self, index: JobIndex) -> bool {
        let Some(job) = self.job(index) else {
            return false;
        };
        if !job.waiting.is_empty() || job.active > 0 {
            return false;
        }
        let id = job.id.clone();
        self.by_id.remove(&id);
        self.jobs[index] = None;
        self.free_positions.push(index);
        true
    }

    /// Adds resources to the usage of a queue, its class and its customer.
    pub fn allocate(&mut self, queue: QueueIndex, size: &ResourceVector, total: &ResourceVector) {
        self.change_used(queue, total, |used| used.saturating_add(size));
    }

    /// Subtracts resources from the usage of a queue, its class and its customer.
    pub fn release(&mut self, queue: QueueIndex, size: &ResourceVector, total: &ResourceVector) {
        self.change_used(queue, total, |used| {
            used.checked_sub(size).unwrap_or_default()
        });
    }

    fn change_used(
        &mut self,
        index: QueueIndex,
        total: &ResourceVector,
        change: impl Fn(&ResourceVector) -> ResourceVector,
    ) {
        let queue = &mut self.queues[index];
        queue.used = change(&queue.used);
        let customer = &mut self.customers[queue.customer];
        customer.used = change(&customer.used);
        let class = &mut self.classes[queue.class];
        class.used = change(&class.used);
        let weight = f64::from(customer.rule.weight);
        let share = (dominant_share(&queue.used, total) / weight * SHARE_SCALE) as u64;
        if class.ready.remove(&(queue.share, index)) {
            class.ready.insert((share, index));
        }
        queue.share = share;
    }

    fn leave_queue(&mut self, index: QueueIndex, order: (u64, u64)) {
        let queue = &mut self.queues[index];
        if queue.jobs.remove(&order).is_some() {
            queue.blocked_at = None;
        }
        if queue.jobs.is_empty() {
            self.classes[queue.class]
                .ready
                .remove(&(queue.share, index));
        }
    }

    fn class_for(&mut self, name: &WorkClass, rules: &RulesView) -> ClassIndex {
        let known = self.classes.iter().position(|class| class.name == *name);
        known.unwrap_or_else(|| {
            self.classes.push(ClassEntry {
                name: name.clone(),
                rule: rules.class(name),
                used: ResourceVector::default(),
                ready: BTreeSet::new(),
            });
            self.classes.len() - 1
        })
    }

    fn customer_for(&mut self, name: &CustomerName, rules: &RulesView) -> CustomerIndex {
        let known = self.customers.iter().position(|known| known.name == *name);
        known.unwrap_or_else(|| {
            self.customers.push(CustomerEntry {
                name: name.clone(),
                rule: rules.customer(name),
                used: ResourceVector::default(),
            });
            self.customers.len() - 1
        })
    }
}

/// Returns the largest share of any resource of `total` that `used` takes.
pub fn dominant_share(used: &ResourceVector, total: &ResourceVector) -> f64 {
    let share = |used: u64, total: u64| match total {
        0 => 0.0,
        total => used as f64 / total as f64,
    };
    share(used.cpu_millis.get(), total.cpu_millis.get())
        .max(share(used.memory_mib.get(), total.memory_mib.get()))
        .max(share(
            u64::from(used.accelerators),
            u64::from(total.accelerators),
        ))
}
