//! Tests the slot accounting of a group owner against a model of an executor.

use magnolia_backing::ExecutorStatus;
use magnolia_types::{ExecutorId, Millis};
use quickcheck::quickcheck;

use super::executor_slots::{ExecutorSlots, SlotEnd};

const SLOTS: u32 = 3;

/// A request on its way to the executor or running there.
struct ModelRequest {
    arrives: Millis,
    /// Whether the current owner still waits for the answer.
    awaited: bool,
}

/// An executor, the slot accounting of its owner, and the messages between them.
struct Model {
    now: Millis,
    owner: ExecutorSlots,
    requests: Vec<ModelRequest>,
    status: Option<(Millis, ExecutorStatus)>,
    /// How the owner records a lost answer; any value but `Lost` models a faulty owner.
    lost_as: SlotEnd,
}

fn new_owner() -> ExecutorSlots {
    let executor = ExecutorId::new("e0").expect("a name");
    let mut slots = ExecutorSlots::new(executor, ([127, 0, 0, 1], 1).into());
    slots.configure(SLOTS, 64, false);
    slots
}

impl Model {
    fn new(lost_as: SlotEnd) -> Self {
        Self {
            now: Millis::new(0),
            owner: new_owner(),
            requests: Vec::new(),
            status: None,
            lost_as,
        }
    }

    /// Returns the number of requests that have arrived at the executor.
    fn busy(&self) -> u32 {
        let arrived = self
            .requests
            .iter()
            .filter(|request| request.arrives <= self.now);
        u32::try_from(arrived.count()).expect("a small number")
    }

    fn executor_status(&self) -> ExecutorStatus {
        ExecutorStatus {
            executor: self.owner.executor.clone(),
            slots: SLOTS,
            busy: self.busy(),
            max_connections: 64,
            connections: 0,
            leaving: false,
        }
    }

    /// Removes the first request that has arrived and whose flag equals `awaited`; returns `true`
    /// if there was one.
    fn end_request(&mut self, awaited: bool) -> bool {
        let now = self.now;
        let found = self
            .requests
            .iter()
            .position(|request| request.arrives <= now && request.awaited == awaited);
        found.is_some_and(|index| !self.requests.remove(index).awaited || awaited)
    }

    /// Performs the event that `step` selects; `choice` sets durations.
    fn step(&mut self, step: u8, choice: u8) {
        match step % 8 {
            0 => self.now = self.now.saturating_add(Millis::new(u64::from(choice) * 20)),
            1 if self.owner.free(self.now) > 0 => {
                self.owner.take();
                let delay = Millis::new(u64::from(choice % 5) * 100);
                let arrives = self.now.saturating_add(delay);
                self.requests.push(ModelRequest {
                    arrives,
                    awaited: true,
                });
            }
            2 if self.end_request(true) => self.owner.finish(SlotEnd::Answered, self.now),
            3 => {
                if let Some(request) = self.requests.iter_mut().find(|request| request.awaited) {
                    request.awaited = false;
                    self.owner.finish(self.lost_as, self.now);
                }
            }
            4 => {
                self.end_request(false);
            }
            5 => self.status = Some((self.now, self.executor_status())),
            6 => {
                if let Some((asked, status)) = self.status.take() {
                    self.owner.apply_status(status, asked, self.now);
                }
            }
            // Another daemon takes the group over after the old owner has stopped sending.
            7 if self
                .requests
                .iter()
                .all(|request| request.arrives <= self.now) =>
            {
                self.owner = new_owner();
                self.status = None;
                self.requests
                    .iter_mut()
                    .for_each(|request| request.awaited = false);
            }
            _ => {}
        }
    }
}

/// Returns whether the executor never had more requests than slots during the steps.
fn never_exceeds(steps: &[(u8, u8)], lost_as: SlotEnd) -> bool {
    let mut model = Model::new(lost_as);
    steps.iter().all(|&(step, choice)| {
        model.step(step, choice);
        model.requests.len() <= SLOTS as usize
    })
}

quickcheck! {
    /// Guards against more requests on an executor than it has slots, when answers are lost,
    /// requests arrive late, statuses are outdated or the owner changes.
    fn slots_are_never_exceeded(steps: Vec<(u8, u8)>) -> bool {
        never_exceeds(&steps, SlotEnd::Lost)
    }
}

/// Shows that the model detects a faulty owner, which frees a slot when the answer is lost.
#[test]
fn slot_freed_on_a_lost_answer_is_caught() {
    let mut steps = vec![(5, 0), (6, 0)];
    steps.extend([(1, 0), (1, 0), (1, 0), (3, 0), (1, 0)]);
    assert!(!never_exceeds(&steps, SlotEnd::NotSent));
    assert!(never_exceeds(&steps, SlotEnd::Lost));
}

/// Guards against slots that are never freed after a lost answer: a status frees them when the
/// executor has no other requests.
#[test]
fn status_settles_lost_slots() {
    let mut model = Model::new(SlotEnd::Lost);
    for step in [(5, 0), (6, 0), (1, 0), (3, 0), (4, 0)] {
        model.step(step.0, step.1);
    }
    assert_eq!(model.owner.free(model.now), SLOTS - 1);
    model.now = Millis::from_secs(5);
    assert!(model.owner.needs_status(model.now));
    model.step(5, 0);
    model.step(6, 0);
    assert_eq!(model.owner.free(model.now), SLOTS);
}

/// Guards against new requests to a leaving executor.
#[test]
fn leaving_executor_has_no_free_slot() {
    let mut slots = new_owner();
    let now = Millis::new(1);
    let mut status = Model::new(SlotEnd::Lost).executor_status();
    slots.apply_status(status.clone(), now, now);
    assert_eq!(slots.free(now), SLOTS);
    status.leaving = true;
    slots.apply_status(status.clone(), now, now);
    assert_eq!(slots.free(now), 0);
    status.leaving = false;
    slots.apply_status(status, now, now);
    slots.configure(SLOTS, 64, true);
    assert_eq!(slots.free(now), 0);
}

/// Guards against a failing executor that still gets all its slots filled, and against one that
/// never gets requests again.
#[test]
fn failing_executor_backs_off_and_is_tried_with_one_request() {
    let mut slots = new_owner();
    let now = Millis::new(1);
    slots.apply_status(Model::new(SlotEnd::Lost).executor_status(), now, now);
    for _ in 0..3 {
        slots.take();
        slots.finish(SlotEnd::NotSent, now);
    }
    assert_eq!(slots.free(now), 0);
    let later = Millis::from_secs(1);
    assert_eq!(slots.free(later), 0);
    assert!(slots.needs_status(later));
    slots.apply_status(Model::new(SlotEnd::Lost).executor_status(), later, later);
    assert_eq!(slots.free(later), 1);
    slots.take();
    assert_eq!(slots.free(later), 0);
    slots.finish(SlotEnd::Answered, later);
    assert_eq!(slots.free(later), SLOTS);
}
