//! Floors, preemption, backfill, packing, quotas, estimates and moves of the scored engine.

mod common;

use std::collections::BTreeMap;

use common::{Harness, document, spec, worker};
use magnolia_policy::{PreemptionAction, TaskEnd, WorkerCondition, new_engine};
use magnolia_types::{CustomerName, JobId, JobKind, Millis, ResourceVector};
use quickcheck::{Gen, QuickCheck};

const CORE: ResourceVector = ResourceVector::new(1000, 1024, 0);

fn cores(count: u64) -> ResourceVector {
    ResourceVector::new(count * 1000, count * 1024, 0)
}

fn harness(rules: &str, workers: usize, capacity: ResourceVector) -> Harness {
    Harness::new(new_engine(&document(rules))).with_workers(workers, capacity)
}

/// Guards against a class that a flood of a more urgent class pushes below its floor.
#[test]
fn floor_holds_in_an_urgent_flood() {
    let mut harness = harness("headroom_percent = 0", 10, cores(10));
    harness.submit("batch", spec("batch", JobKind::Batch, 1000, CORE));
    harness.submit("flood", spec("urgent", JobKind::Batch, 1000, CORE));
    let mut least = usize::MAX;
    for round in 0..200 {
        harness.step(500);
        harness.end_due();
        if round > 60 && round < 100 {
            harness.step(1);
            least = least.min(harness.running_of("batch"));
        }
    }
    assert!(
        least >= 20,
        "batch kept {least} of 100 cores with a floor of 20%"
    );
}

/// Guards against headroom that only the flooding urgent class may use, so that freed resources
/// never suffice for the class below its floor.
#[test]
fn floor_holds_beside_headroom() {
    let mut harness = harness("headroom_percent = 20", 10, cores(10));
    // Run times differ, so that resources are freed one task at a time.
    for index in 0..60 {
        let mut batch = spec("batch", JobKind::Batch, 20, cores(2));
        batch.run_ms = Some(Millis::new(700 + index * 53));
        harness.submit(&format!("batch{index}"), batch);
        let mut flood = spec("urgent", JobKind::Batch, 100, CORE);
        flood.run_ms = Some(Millis::new(400 + index * 37));
        harness.submit(&format!("flood{index}"), flood);
    }
    let mut core_sum = 0;
    for round in 0..300 {
        harness.step(50);
        harness.end_due();
        harness.step(1);
        core_sum += if round < 100 {
            0
        } else {
            2 * harness.running_of("batch")
        };
    }
    let mean = core_sum / 200;
    assert!(
        mean >= 18,
        "batch kept {mean} of 100 cores with a floor of 20%"
    );
}

/// Guards against a flood of the least urgent class that keeps urgent work waiting.
#[test]
fn urgent_work_preempts_a_batch_flood() {
    let mut harness = harness("headroom_percent = 0", 4, cores(10));
    let mut flood = spec("batch", JobKind::Batch, 1000, CORE);
    flood.run_ms = Some(Millis::from_secs(3600));
    harness.submit("flood", flood);
    harness.step(10);
    assert_eq!(harness.running_of("batch"), 40);
    harness.submit("urgent", spec("urgent", JobKind::Batch, 4, cores(2)));
    harness.step(10);
    assert!(harness.preempted.is_empty(), "urgent work preempts at once");
    for _ in 0..40 {
        harness.step(100);
        let checkpointed: Vec<_> = harness.preempted.drain(..).collect();
        for (attempt, action) in checkpointed {
            assert_eq!(action, PreemptionAction::Checkpoint);
            assert_eq!(harness.running[&attempt].spec.class.as_str(), "batch");
            harness.end(&attempt, TaskEnd::Interrupted);
        }
    }
    assert_eq!(harness.running_of("urgent"), 4);
    assert_eq!(harness.running_of("batch"), 32);
}

/// Guards against checkpoints where throttling suffices, and against throttling that never ends.
#[test]
fn throttling_comes_before_checkpoints() {
    let mut harness = harness(
        "headroom_percent = 0",
        1,
        ResourceVector::new(4000, 65_536, 0),
    );
    let mut batch = spec("batch", JobKind::Batch, 4, CORE);
    batch.run_ms = Some(Millis::from_secs(3600));
    harness.submit("batch", batch);
    harness.step(10);
    harness.submit("urgent", spec("urgent", JobKind::Batch, 1, CORE));
    for _ in 0..10 {
        harness.step(200);
    }
    assert_eq!(harness.running_of("urgent"), 1);
    let actions: Vec<_> = harness
        .preempted
        .iter()
        .map(|(_, action)| *action)
        .collect();
    assert!(
        actions
            .iter()
            .all(|action| matches!(action, PreemptionAction::Throttle(25)))
    );
    harness.preempted.clear();
    harness.step(12_000);
    harness.end_due();
    harness.step(1000);
    let actions: Vec<_> = harness
        .preempted
        .iter()
        .map(|(_, action)| *action)
        .collect();
    assert_eq!(actions, vec![PreemptionAction::Throttle(100); 2]);
}

/// Guards against an attempt that does not end after its checkpoint and keeps urgent work waiting.
#[test]
fn a_late_checkpoint_becomes_a_stop() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    let mut batch = spec("batch", JobKind::Batch, 2, cores(2));
    batch.run_ms = None;
    harness.submit("batch", batch);
    harness.step(10);
    harness.submit("urgent", spec("urgent", JobKind::Batch, 1, CORE));
    for _ in 0..120 {
        harness.step(100);
    }
    let actions: Vec<_> = harness
        .preempted
        .iter()
        .map(|(_, action)| *action)
        .collect();
    assert_eq!(
        actions,
        vec![PreemptionAction::Checkpoint, PreemptionAction::Stop]
    );
}

/// Guards against the preemption of work that may not run twice.
#[test]
fn work_that_may_not_repeat_is_not_preempted() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    let mut batch = spec("batch", JobKind::Batch, 2, cores(2));
    batch.repeatable = false;
    harness.submit("batch", batch);
    harness.step(10);
    harness.submit("urgent", spec("urgent", JobKind::Batch, 1, CORE));
    for _ in 0..50 {
        harness.step(100);
    }
    assert!(harness.preempted.is_empty());
}

/// Guards against backfilled work that delays a waiting gang beyond the end of the attempts that
/// ran when the gang was submitted.
#[test]
fn backfill_never_delays_a_waiting_gang() {
    fn property(sizes: Vec<(u8, u8)>, gang: (u8, u8)) -> bool {
        let mut harness = harness("headroom_percent = 0", 4, cores(8));
        let batch = |&(size, run): &(u8, u8)| {
            let mut spec = spec("batch", JobKind::Batch, 1, cores(u64::from(size % 8) + 1));
            spec.run_ms = Some(Millis::from_secs(u64::from(run % 30) + 1));
            spec
        };
        let (before, after) = sizes.split_at(sizes.len() / 2);
        for (index, size) in before.iter().enumerate() {
            harness.submit(&format!("before{index}"), batch(size));
        }
        harness.step(1);
        let running = harness.running.values();
        let latest = running.map(|record| record.started.get() + record.spec.run_ms.unwrap().get());
        let latest = latest.max().unwrap_or(1);
        // The gang is of another customer and class, so that only reservations protect it.
        let tasks = u32::from(gang.0 % 4) + 1;
        let mut spec = spec(
            "service",
            JobKind::Gang,
            tasks,
            cores(u64::from(gang.1 % 8) + 1),
        );
        spec.customer = CustomerName::new("guild").unwrap();
        let job = harness.submit("gang", spec);
        for (index, size) in after.iter().enumerate() {
            harness.submit(&format!("after{index}"), batch(size));
        }
        while harness.now.get() <= latest + 1000 {
            harness.step(200);
            harness.end_due();
        }
        harness.step(1);
        harness.started.contains_key(&job)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 7))
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8)>, (u8, u8)) -> bool);
}

/// Guards against a task as large as a worker that never starts because of the headroom.
#[test]
fn headroom_does_not_exclude_large_tasks() {
    let mut harness = harness("headroom_percent = 10", 2, cores(10));
    harness.submit("large", spec("batch", JobKind::Batch, 1, cores(10)));
    harness.step(1);
    assert_eq!(harness.running_of("batch"), 1);
    harness.submit("small", spec("batch", JobKind::Batch, 20, CORE));
    harness.step(1);
    assert_eq!(
        harness.running_of("batch"),
        10,
        "headroom of the second worker is used"
    );
    harness.submit("urgent", spec("urgent", JobKind::Batch, 1, CORE));
    harness.step(1);
    assert_eq!(harness.running_of("urgent"), 1);
}

/// Guards against a service that the failure of one rack stops as a whole, and against work
/// without accelerators that uses the resources set aside for them.
#[test]
fn services_spread_and_accelerators_are_kept() {
    let mut harness = harness("headroom_percent = 0", 12, cores(8));
    for index in 12..16 {
        harness.upsert(worker(index, ResourceVector::new(8000, 8192, 4)));
    }
    harness.submit("service", spec("service", JobKind::Service, 3, CORE));
    harness.step(1);
    let mut racks: BTreeMap<usize, usize> = BTreeMap::new();
    for record in harness.running.values() {
        let index: usize = record.worker.as_str()[1..].parse().unwrap();
        *racks.entry(index / 4).or_default() += 1;
    }
    assert_eq!(racks, BTreeMap::from([(0, 1), (1, 1), (2, 1)]));
    harness.submit("plain", spec("batch", JobKind::Batch, 200, CORE));
    harness.step(1);
    assert_eq!(
        harness.running.len(),
        96,
        "work without accelerators took the resources set aside for them"
    );
    let size = ResourceVector::new(2000, 2048, 1);
    harness.submit("accelerated", spec("batch", JobKind::Batch, 16, size));
    harness.step(1);
    assert_eq!(harness.running.len(), 112);
}

/// Guards against a customer that exceeds its quota, and against weights without effect.
#[test]
fn quotas_and_weights_hold() {
    let mut rules = document("headroom_percent = 0");
    rules.customers[0].quota = Some(cores(3));
    let mut harness = Harness::new(new_engine(&rules)).with_workers(1, cores(8));
    harness.submit("limited", spec("batch", JobKind::Batch, 10, CORE));
    harness.step(1);
    assert_eq!(harness.running.len(), 3);
    let reasons = harness
        .engine
        .explain(&JobId::new("p0.limited").unwrap(), harness.now);
    assert!(
        reasons.iter().any(|line| line.contains("quota")),
        "{reasons:?}"
    );

    let mut harness = Harness::new(new_engine(&document("headroom_percent = 0")));
    harness.submit("one", spec("batch", JobKind::Batch, 100, CORE));
    let mut other = spec("batch", JobKind::Batch, 100, CORE);
    other.customer = CustomerName::new("guild").unwrap();
    harness.submit("three", other);
    let mut harness = harness.with_workers(2, cores(10));
    harness.step(1);
    let customers = harness
        .running
        .values()
        .map(|record| record.spec.customer.as_str());
    let guild = customers.filter(|name| *name == "guild").count();
    assert_eq!(guild, 15, "weight 3 against 1 on 20 cores");
}

/// Guards against estimates that ignore measured usage, and against sizes below that usage.
#[test]
fn sizes_follow_measured_usage() {
    let mut harness = harness("headroom_percent = 0", 1, cores(16));
    harness.submit("padded", spec("batch", JobKind::Batch, 20, cores(4)));
    for _ in 0..10 {
        harness.step(1);
        let running: Vec<_> = harness.running.keys().cloned().collect();
        for attempt in running {
            harness
                .engine
                .observe_usage(&attempt, ResourceVector::new(1900, 2000, 0));
        }
        harness.step(10_000);
        harness.end_due();
    }
    harness.submit("later", spec("batch", JobKind::Batch, 7, cores(4)));
    harness.step(1);
    assert_eq!(
        harness.running.len(),
        7,
        "7 tasks of about 2.2 cores fit in 16"
    );
    let sizes = harness.running.values().map(|record| record.size);
    assert!(
        sizes
            .min_by_key(|size| size.cpu_millis)
            .unwrap()
            .cpu_millis
            .get()
            >= 1900
    );
}

/// Guards against services that stay on a leaving worker until it is gone.
#[test]
fn services_move_off_a_leaving_worker() {
    let mut harness = harness("headroom_percent = 0", 1, cores(4));
    harness.submit("service", spec("service", JobKind::Service, 1, CORE));
    harness.submit("batch", spec("batch", JobKind::Batch, 1, CORE));
    harness.step(1);
    let mut view = worker(0, cores(4));
    view.condition = WorkerCondition::Leaving;
    harness.upsert(view);
    harness.step(1);
    assert!(
        harness.preempted.is_empty(),
        "no other worker can take the service yet"
    );
    harness.upsert(worker(1, cores(4)));
    harness.step(1);
    let moved: Vec<_> = harness.preempted.drain(..).collect();
    assert_eq!(moved.len(), 1);
    assert_eq!(harness.running[&moved[0].0].spec.kind, JobKind::Service);
}
