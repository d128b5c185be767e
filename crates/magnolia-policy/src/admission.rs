//! Admission control: which requests are queued or refused, and which gets the next free slot.

use std::sync::Arc;

use magnolia_types::{CustomerName, Millis, ResultCode, WorkClass};

/// Identifies a queued request; assigned by the code that uses the policy.
pub type AdmissionTicket = u64;

/// A request for an executor slot.
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionEntry {
    /// Identifies the request; unique among the queued requests.
    pub ticket: AdmissionTicket,
    /// Customer whose share and queue limit the request counts against.
    pub customer: CustomerName,
    /// Class of work.
    pub class: WorkClass,
    /// When the request arrived.
    pub arrived: Millis,
    /// Time by which it must be answered.
    pub deadline: Millis,
}

/// An early refusal; the request did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Result code that the caller receives.
    pub code: ResultCode,
    /// Reason in one sentence.
    pub reason: Arc<str>,
}

/// Queues requests and decides in which order they get executor slots.
pub trait AdmissionPolicy: Send {
    /// Replaces classes, customers and rules; queued requests stay.
    fn set_rules(&mut self, _document: &magnolia_config::ConfigDocument) {}

    /// Queues a request or refuses it at once.
    ///
    /// # Errors
    ///
    /// Fails when the deadline has passed, when a queue limit is reached, and when the request is
    /// not expected to be answered before its deadline.
    fn offer(&mut self, now: Millis, entry: AdmissionEntry) -> Result<(), AdmissionRefusal>;

    /// Takes the queued request that gets the next free slot.
    fn next(&mut self, now: Millis) -> Option<AdmissionTicket>;

    /// Removes the queued requests whose deadline has passed; each is returned exactly once.
    fn expire(&mut self, now: Millis) -> Vec<AdmissionTicket>;

    /// Removes a queued request whose caller went away; returns `false` when it is not queued.
    fn withdraw(&mut self, ticket: AdmissionTicket) -> bool;

    /// Records that a request of this class and customer held a slot for `took`.
    fn finished(&mut self, now: Millis, customer: &CustomerName, class: &WorkClass, took: Millis);

    /// Sets the number of executor slots that the queued requests share.
    fn set_slots(&mut self, slots: u32);

    /// Returns the number of queued requests.
    fn queued(&self) -> usize;
}
