//! Queue and executors of one executor group at its owner.

use std::collections::HashMap;

use magnolia_backing::InstanceKind;
use magnolia_config::{ConfigDocument, ExecutorBlockSection};
use magnolia_policy::{
    AdmissionEntry, AdmissionPolicy, AdmissionTicket, BackendView, RoutingChooser, new_admission,
    new_chooser,
};
use magnolia_state::RetryBudget;
use magnolia_types::{ConfigVersion, ExecutorId, Millis, ResultCode};
use tokio::sync::oneshot;

use super::executor_slots::ExecutorSlots;
use crate::membership::MemberList;

/// Result of waiting in the queue: the executor whose slot the request holds, or a refusal.
pub type SlotGrant = Result<ExecutorId, (ResultCode, String)>;

/// A request in the queue, and the channel that wakes it.
struct QueuedRequest {
    entry: AdmissionEntry,
    grant: oneshot::Sender<SlotGrant>,
}

/// Mutable state of a group.
pub struct GroupState {
    /// Executors of the group in the inventory.
    pub executors: Vec<ExecutorSlots>,
    /// Configuration version from which the policies were created.
    pub config_version: ConfigVersion,
    /// Whether the group refuses new requests because it is being handed over or was stopped.
    pub closed: bool,
    admission: Box<dyn AdmissionPolicy>,
    chooser: Box<dyn RoutingChooser>,
    /// Queued requests by their tickets in the admission policy.
    waiting: HashMap<AdmissionTicket, QueuedRequest>,
    next_ticket: AdmissionTicket,
    retry_budgets: HashMap<ExecutorId, RetryBudget>,
}

impl GroupState {
    /// Creates the state of a group without executors, with the policies of the configuration.
    pub fn new(document: &ConfigDocument, version: ConfigVersion) -> Self {
        Self {
            executors: Vec::new(),
            config_version: version,
            closed: false,
            admission: new_admission(document, 0),
            chooser: new_chooser(document),
            waiting: HashMap::new(),
            next_ticket: 0,
            retry_budgets: HashMap::new(),
        }
    }

    /// Applies the inventory and the instance list; returns the executors that were removed.
    pub fn configure(
        &mut self,
        block: Option<&ExecutorBlockSection>,
        members: &MemberList,
    ) -> Vec<ExecutorSlots> {
        let sections = block
            .map(|block| block.executors.as_slice())
            .unwrap_or_default();
        let is_kept = |slots: &ExecutorSlots| {
            let mut same = sections.iter();
            same.any(|section| section.name == slots.executor && section.address == slots.address)
        };
        let (kept, removed) = std::mem::take(&mut self.executors)
            .into_iter()
            .partition(is_kept);
        self.executors = kept;
        for section in sections {
            let known = self.executors.iter();
            if !known
                .map(|slots| &slots.executor)
                .any(|name| *name == section.name)
            {
                let slots = ExecutorSlots::new(section.name.clone(), section.address);
                self.executors.push(slots);
            }
        }
        if let Some(block) = block {
            for slots in &mut self.executors {
                let listed_as_leaving =
                    members.is_leaving(InstanceKind::Executor, slots.executor.as_str());
                slots.configure(
                    block.slots,
                    block.connections,
                    block.leaving || listed_as_leaving,
                );
            }
        }
        self.update_capacity();
        removed
    }

    /// Creates the policies anew from a changed configuration. Queued requests are offered to the
    /// new admission policy, which may refuse them.
    pub fn replace_policies(
        &mut self,
        document: &ConfigDocument,
        version: ConfigVersion,
        now: Millis,
    ) {
        self.config_version = version;
        self.admission = new_admission(document, 0);
        self.chooser = new_chooser(document);
        self.update_capacity();
        let tickets: Vec<AdmissionTicket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            let Some(entry) = self.waiting.get(&ticket).map(|queued| queued.entry.clone()) else {
                continue;
            };
            if let Err(refusal) = self.admission.offer(now, entry) {
                self.refuse(ticket, refusal.code, &refusal.reason);
            }
        }
    }

    /// Tells the admission policy the total number of slots.
    pub fn update_capacity(&mut self) {
        let capacity = self.executors.iter().map(ExecutorSlots::capacity).sum();
        self.admission.set_slots(capacity);
    }

    /// Queues a request.
    ///
    /// # Errors
    ///
    /// Fails when no executor is usable or the admission policy refuses the request.
    pub fn offer(
        &mut self,
        now: Millis,
        mut entry: AdmissionEntry,
    ) -> Result<(AdmissionTicket, oneshot::Receiver<SlotGrant>), (ResultCode, String)> {
        if !self.executors.iter().any(|slots| slots.is_usable(now)) {
            let reason = "no executor of the group takes requests";
            return Err((ResultCode::NoBackend, reason.into()));
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        entry.ticket = ticket;
        self.admission
            .offer(now, entry.clone())
            .map_err(|refusal| (refusal.code, refusal.reason.to_string()))?;
        let (grant, granted) = oneshot::channel();
        self.waiting.insert(ticket, QueuedRequest { entry, grant });
        Ok((ticket, granted))
    }

    /// Removes a request whose caller has disconnected; returns `false` if it is not queued.
    pub fn withdraw(&mut self, ticket: AdmissionTicket) -> bool {
        self.waiting.remove(&ticket);
        self.admission.withdraw(ticket)
    }

    /// Refuses queued requests whose deadline has passed, and assigns free slots to the others.
    pub fn grant_slots(&mut self, now: Millis) {
        for ticket in self.admission.expire(now) {
            let reason = "the deadline passed in the queue";
            self.refuse(ticket, ResultCode::DeadlineExceeded, reason);
        }
        while let Some(index) = self.choose_executor(now) {
            let Some(ticket) = self.admission.next(now) else {
                return;
            };
            let Some(queued) = self.waiting.remove(&ticket) else {
                continue;
            };
            let slots = &mut self.executors[index];
            slots.take();
            if queued.grant.send(Ok(slots.executor.clone())).is_err() {
                slots.release_unused();
            }
        }
    }

    /// Refuses all queued requests.
    pub fn refuse_all(&mut self, code: ResultCode, reason: &str) {
        let tickets: Vec<AdmissionTicket> = self.waiting.keys().copied().collect();
        for ticket in tickets {
            self.admission.withdraw(ticket);
            self.refuse(ticket, code, reason);
        }
    }

    /// Records how long a request held a slot.
    pub fn record_service_time(&mut self, now: Millis, entry: &AdmissionEntry, elapsed: Millis) {
        self.admission
            .finished(now, &entry.customer, &entry.class, elapsed);
    }

    /// Returns the slots of the executor of this name.
    pub fn executor(&mut self, executor: &ExecutorId) -> Option<&mut ExecutorSlots> {
        self.executors
            .iter_mut()
            .find(|slots| slots.executor == *executor)
    }

    /// Returns the retry budget of an executor.
    pub fn retry_budget(&mut self, executor: &ExecutorId) -> &mut RetryBudget {
        self.retry_budgets.entry(executor.clone()).or_default()
    }

    /// Returns the number of free slots minus the number of queued requests, or zero if more
    /// requests are queued.
    pub fn free(&self, now: Millis) -> u32 {
        let free: u32 = self.executors.iter().map(|slots| slots.free(now)).sum();
        free.saturating_sub(u32::try_from(self.admission.queued()).unwrap_or(u32::MAX))
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.admission.queued()
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.executors.iter().map(ExecutorSlots::in_flight).sum()
    }

    /// Chooses an executor with a free slot.
    fn choose_executor(&self, now: Millis) -> Option<usize> {
        let views: Vec<BackendView> = (0..)
            .zip(&self.executors)
            .map(|(index, slots)| BackendView {
                index,
                free_slots: slots.free(now),
                // The executors of a group are all in the data centre of its executor block.
                same_data_centre: true,
                round_trip: None,
            })
            .collect();
        let chosen = self.chooser.choose(&views, &mut rand::rng())?;
        views.get(chosen).filter(|view| view.free_slots > 0)?;
        Some(chosen)
    }

    /// Refuses one queued request.
    fn refuse(&mut self, ticket: AdmissionTicket, code: ResultCode, reason: &str) {
        if let Some(queued) = self.waiting.remove(&ticket) {
            queued.grant.send(Err((code, reason.to_owned()))).ok();
        }
    }
}
