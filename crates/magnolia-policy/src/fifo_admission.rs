//! Baseline admission policy: one bounded queue in order of arrival.

use std::collections::{BTreeMap, HashMap};

use magnolia_types::{CustomerName, Millis, ResultCode, WorkClass};

use crate::{AdmissionEntry, AdmissionPolicy, AdmissionRefusal, AdmissionTicket};

/// Maximum number of queued requests.
const MAX_QUEUED: usize = 10_000;

/// One bounded queue for all customers and classes.
pub struct FifoAdmission {
    queue: BTreeMap<u64, AdmissionEntry>,
    positions: HashMap<AdmissionTicket, u64>,
    next_position: u64,
}

impl FifoAdmission {
    /// Creates an empty queue.
    pub fn new() -> Self {
        Self {
            queue: BTreeMap::new(),
            positions: HashMap::new(),
            next_position: 0,
        }
    }
}

impl Default for FifoAdmission {
    fn default() -> Self {
        Self::new()
    }
}

impl AdmissionPolicy for FifoAdmission {
    fn offer(&mut self, now: Millis, entry: AdmissionEntry) -> Result<(), AdmissionRefusal> {
        if entry.deadline <= now {
            return Err(AdmissionRefusal {
                code: ResultCode::DeadlineExceeded,
                reason: "the deadline has passed".into(),
            });
        }
        if self.queue.len() >= MAX_QUEUED {
            return Err(AdmissionRefusal {
                code: ResultCode::QueueFull,
                reason: format!("{MAX_QUEUED} requests wait").into(),
            });
        }
        self.positions.insert(entry.ticket, self.next_position);
        self.queue.insert(self.next_position, entry);
        self.next_position += 1;
        Ok(())
    }

    fn next(&mut self, now: Millis) -> Option<AdmissionTicket> {
        let mut entries = self.queue.iter();
        let live = entries.find(|(_, entry)| entry.deadline > now);
        let position = live.map(|(&position, _)| position)?;
        let entry = self.queue.remove(&position)?;
        self.positions.remove(&entry.ticket);
        Some(entry.ticket)
    }

    fn expire(&mut self, now: Millis) -> Vec<AdmissionTicket> {
        let mut expired = Vec::new();
        self.queue.retain(|_, entry| {
            let is_live = entry.deadline > now;
            if !is_live {
                expired.push(entry.ticket);
            }
            is_live
        });
        for ticket in &expired {
            self.positions.remove(ticket);
        }
        expired
    }

    fn withdraw(&mut self, ticket: AdmissionTicket) -> bool {
        let position = self.positions.remove(&ticket);
        position.is_some_and(|position| self.queue.remove(&position).is_some())
    }

    fn finished(&mut self, _: Millis, _: &CustomerName, _: &WorkClass, _: Millis) {}

    fn set_slots(&mut self, _slots: u32) {}

    fn queued(&self) -> usize {
        self.queue.len()
    }
}
