//! Which queued request takes the next free slot, and which is refused.

use std::sync::Arc;

use magnolia_types::{CustomerName, Millis, ResultCode, WorkClass};

/// Number by which the caller of the policy knows a queued request.
pub type AdmissionTicket = u64;

/// A request that wants a slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEntry {
    /// Number chosen by the caller, unique among the queued requests.
    pub ticket: AdmissionTicket,
    /// Who pays.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// When the request arrived.
    pub arrived: Millis,
    /// When its answer is due.
    pub deadline: Millis,
}

/// An early refusal; the request did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Code for the caller.
    pub code: ResultCode,
    /// Reason in one sentence.
    pub reason: Arc<str>,
}

/// Bounded queues shared fairly among customers and classes.
pub trait AdmissionPolicy: Send {
    /// Replaces classes, customers and rules; queued requests stay.
    fn set_rules(&mut self, _document: &magnolia_config::ConfigDocument) {}

    /// Queues a request or refuses it at once.
    ///
    /// # Errors
    ///
    /// Fails when a queue is full or the expected wait is longer than the time left.
    fn offer(&mut self, now: Millis, entry: AdmissionEntry) -> Result<(), AdmissionRefusal>;

    /// Takes the queued request that gets the next free slot.
    fn next(&mut self, now: Millis) -> Option<AdmissionTicket>;

    /// Removes and returns the queued requests whose deadline has passed, each once.
    fn expire(&mut self, now: Millis) -> Vec<AdmissionTicket>;

    /// Removes a queued request whose caller went away; `false` when it is not queued.
    fn withdraw(&mut self, ticket: AdmissionTicket) -> bool;

    /// Records that a request of this class and customer held a slot for `took`.
    fn finished(&mut self, now: Millis, customer: &CustomerName, class: &WorkClass, took: Millis);

    /// Sets the number of slots that the queues feed.
    fn set_slots(&mut self, slots: u32);

    /// Returns the number of queued requests.
    fn queued(&self) -> usize;
}
