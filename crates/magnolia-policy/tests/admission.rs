//! Admission: fair shares, floors, queue limits and early refusal.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::document;
use magnolia_policy::{AdmissionEntry, new_admission};
use magnolia_types::{CustomerName, Millis, ResultCode, WorkClass};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Deadline in milliseconds that no test reaches.
const LATER: u64 = 1_000_000;

fn entry(ticket: u64, customer: &str, class: &str, now: u64, deadline: u64) -> AdmissionEntry {
    AdmissionEntry {
        ticket,
        customer: CustomerName::new(customer).unwrap(),
        class: WorkClass::new(class).unwrap(),
        arrived: Millis::new(now),
        deadline: Millis::new(deadline),
    }
}

/// Serves 10 ms requests on one slot for `millis` while every named queue is kept filled.
///
/// Returns the number of served requests by customer and class.
fn serve(queues: &[(&str, &str)], millis: u64) -> BTreeMap<(String, String), u32> {
    let mut admission = new_admission(&document(""), 1);
    let mut served = BTreeMap::new();
    let mut owners = BTreeMap::new();
    let mut ticket = 0;
    for now in (0..millis).step_by(10) {
        for &(customer, class) in queues {
            ticket += 1;
            if admission
                .offer(Millis::new(now), entry(ticket, customer, class, now, LATER))
                .is_ok()
            {
                owners.insert(ticket, (customer.to_owned(), class.to_owned()));
            }
        }
        let taken = admission.next(Millis::new(now)).unwrap();
        let (customer, class) = owners[&taken].clone();
        let (name, class_name) = (
            CustomerName::new(&customer).unwrap(),
            WorkClass::new(&class).unwrap(),
        );
        admission.finished(Millis::new(now + 10), &name, &class_name, Millis::new(10));
        *served.entry((customer, class)).or_default() += 1;
    }
    served
}

fn class_share(served: &BTreeMap<(String, String), u32>, class: &str) -> f64 {
    let total: u32 = served.values().sum();
    let own = served.iter().filter(|((_, name), _)| name == class);
    f64::from(own.map(|(_, count)| count).sum::<u32>()) / f64::from(total)
}

/// Guards against a flood of the most urgent class that starves the others.
#[test]
fn floors_hold_against_urgent_work() {
    let served = serve(
        &[
            ("board", "urgent"),
            ("board", "service"),
            ("board", "batch"),
        ],
        20_000,
    );
    assert!(class_share(&served, "batch") >= 0.18, "{served:?}");
    assert!(class_share(&served, "service") >= 0.18, "{served:?}");
    assert!(class_share(&served, "urgent") >= 0.5, "{served:?}");
}

/// Guards against customers that get more than their weight of a contended class.
#[test]
fn customers_share_by_weight() {
    let served = serve(&[("board", "batch"), ("guild", "batch")], 20_000);
    let guild = served[&("guild".to_owned(), "batch".to_owned())];
    let board = served[&("board".to_owned(), "batch".to_owned())];
    let ratio = f64::from(guild) / f64::from(board);
    assert!(
        (2.7..3.3).contains(&ratio),
        "weight 3 against 1 gave {ratio}"
    );
}

/// Guards against unbounded queues and against a class that uses up its customer's whole limit.
#[test]
fn queues_are_bounded_by_class_and_customer() {
    let mut rules = document("");
    rules.customers[0].max_queued = 60;
    let mut admission = new_admission(&rules, 1);
    let mut refusal = None;
    for ticket in 0..100 {
        let offered = admission.offer(Millis::new(0), entry(ticket, "board", "batch", 0, LATER));
        refusal = refusal.or(offered.err().map(|refusal| refusal.code));
    }
    assert_eq!(refusal, Some(ResultCode::QueueFull));
    assert_eq!(admission.queued(), 40);
    for ticket in 100..110 {
        let urgent = entry(ticket, "board", "urgent", 0, LATER);
        assert!(admission.offer(Millis::new(0), urgent).is_ok());
    }
    let other = entry(200, "guild", "batch", 0, LATER);
    assert!(admission.offer(Millis::new(0), other).is_ok());
}

/// Guards against queueing requests that cannot be answered in time, and against refusals while
/// a slot is free.
#[test]
fn requests_that_would_be_late_are_refused_early() {
    let mut admission = new_admission(&document(""), 1);
    let (name, class) = (
        CustomerName::new("board").unwrap(),
        WorkClass::new("batch").unwrap(),
    );
    admission.finished(Millis::new(0), &name, &class, Millis::new(100));
    assert!(
        admission
            .offer(Millis::new(0), entry(1, "board", "batch", 0, 50))
            .is_ok(),
        "a request that gets a free slot may be faster than the learned service time"
    );
    let late = admission.offer(Millis::new(0), entry(2, "board", "batch", 0, 250));
    assert_eq!(late.unwrap_err().code, ResultCode::DeadlineTooShort);
    let in_time = admission.offer(Millis::new(0), entry(3, "board", "batch", 0, 350));
    assert!(in_time.is_ok());
}

/// One step of a generated history.
#[derive(Clone, Debug)]
enum Step {
    Offer(u8, u8, u16),
    Next,
    Finish(u8),
    Expire,
    Withdraw(u8),
    Pass(u8),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 10 {
            0..=3 => Self::Offer(u8::arbitrary(g), u8::arbitrary(g), u16::arbitrary(g)),
            4..=5 => Self::Next,
            6 => Self::Finish(u8::arbitrary(g)),
            7 => Self::Expire,
            8 => Self::Withdraw(u8::arbitrary(g)),
            _ => Self::Pass(u8::arbitrary(g)),
        }
    }
}

/// Guards against requests that are lost, handed out twice, or handed out after their deadline.
#[test]
fn every_request_leaves_once() {
    fn property(steps: Vec<Step>) -> bool {
        let mut admission = new_admission(&document(""), 4);
        let mut queued: BTreeMap<u64, u64> = BTreeMap::new();
        let mut gone: BTreeSet<u64> = BTreeSet::new();
        let mut now = 0;
        let mut next_ticket = 0;
        for step in steps {
            let at = Millis::new(now);
            match step {
                Step::Offer(customer, class, time) => {
                    let customer = ["board", "guild"][usize::from(customer) % 2];
                    let class = ["batch", "service", "urgent"][usize::from(class) % 3];
                    let deadline = now + u64::from(time % 300);
                    next_ticket += 1;
                    let request = entry(next_ticket, customer, class, now, deadline);
                    if admission.offer(at, request).is_ok() {
                        queued.insert(next_ticket, deadline);
                    }
                }
                Step::Next => {
                    let taken = admission.next(at);
                    let live = queued.values().any(|&deadline| deadline > now);
                    assert_eq!(taken.is_some(), live);
                    if let Some(ticket) = taken {
                        assert!(queued.remove(&ticket).unwrap() > now);
                        assert!(gone.insert(ticket));
                    }
                }
                Step::Finish(took) => {
                    let customer = CustomerName::new("board").unwrap();
                    let class = WorkClass::new("batch").unwrap();
                    admission.finished(at, &customer, &class, Millis::new(u64::from(took)));
                }
                Step::Expire => {
                    for ticket in admission.expire(at) {
                        assert!(queued.remove(&ticket).unwrap() <= now);
                        assert!(gone.insert(ticket));
                    }
                    assert_eq!(admission.queued(), queued.len());
                }
                Step::Withdraw(number) => {
                    let ticket = u64::from(number) % (next_ticket + 1);
                    if admission.withdraw(ticket) {
                        assert!(queued.remove(&ticket).is_some());
                        assert!(gone.insert(ticket));
                    }
                }
                Step::Pass(millis) => now += u64::from(millis),
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 3))
        .tests(300)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
