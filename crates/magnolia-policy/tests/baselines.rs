//! Baseline implementations of the policy traits.

use std::sync::Arc;

use magnolia_policy::{
    AdmissionEntry, AdmissionPolicy, BackendView, FifoAdmission, FirstFitEngine, PlacementDecision,
    PlacementEngine, RandomChooser, RoutingChooser, TwoChoiceChooser, WaitingJob, WorkerCondition,
    WorkerView,
};
use magnolia_types::{
    CustomerName, JobId, JobKind, JobSpec, Millis, RackName, ResourceVector, ResultCode, TaskRef,
    WorkClass, WorkerId,
};
use rand::SeedableRng;

fn worker(name: &str, cpu_millis: u64) -> WorkerView {
    WorkerView {
        worker: WorkerId::new(name).unwrap(),
        rack: RackName::new("r1").unwrap(),
        capacity: ResourceVector::new(cpu_millis, 8192, 0),
        condition: WorkerCondition::Usable,
    }
}

fn job(name: &str, kind: JobKind, tasks: u32, cpu_millis: u64) -> WaitingJob {
    WaitingJob {
        job: JobId::new(name).unwrap(),
        spec: Arc::new(JobSpec {
            customer: CustomerName::new("board").unwrap(),
            class: WorkClass::new("batch").unwrap(),
            kind,
            tasks,
            size: ResourceVector::new(cpu_millis, 1024, 0),
            run_ms: None,
            repeatable: true,
            idempotency_key: None,
            max_attempts: 3,
        }),
        submitted: Millis::new(0),
        tasks: (0..tasks).collect(),
    }
}

fn started(decisions: &[PlacementDecision]) -> usize {
    let members = decisions.iter().map(|decision| match decision {
        PlacementDecision::Start { members, .. } => members.len(),
        _ => 0,
    });
    members.sum()
}

/// Guards against starting only a part of a gang.
#[test]
fn first_fit_starts_gangs_whole() {
    let mut engine = FirstFitEngine::new();
    engine.upsert_worker(worker("w1", 2000));
    engine.enqueue(job("p0.1", JobKind::Gang, 3, 1000));
    assert_eq!(started(&engine.decide(Millis::new(1), 10)), 0);
    engine.upsert_worker(worker("w2", 1000));
    let decisions = engine.decide(Millis::new(2), 2);
    assert_eq!(decisions.len(), 1);
    assert_eq!(started(&decisions), 3);
    assert_eq!(engine.waiting_tasks(), 0);
}

/// Guards against a refused start that queues a cancelled task again.
#[test]
fn first_fit_forgets_withdrawn_jobs() {
    let mut engine = FirstFitEngine::new();
    engine.upsert_worker(worker("w1", 1000));
    let waiting = job("p0.1", JobKind::Batch, 2, 1000);
    let id = waiting.job.clone();
    engine.enqueue(waiting);
    assert_eq!(started(&engine.decide(Millis::new(1), 10)), 1);
    engine.withdraw(std::slice::from_ref(&id));
    let name = WorkerId::new("w1").unwrap();
    engine.start_failed(&TaskRef::new(id, 0), &name, Millis::new(2));
    assert_eq!(engine.waiting_tasks(), 0);
    assert!(engine.decide(Millis::new(3), 10).is_empty());
}

/// Guards against requests that are handed out after their deadline.
#[test]
fn fifo_skips_expired_requests() {
    let mut admission = FifoAdmission::new();
    for (ticket, deadline) in [(1, 5), (2, 50)] {
        let entry = AdmissionEntry {
            ticket,
            customer: CustomerName::new("board").unwrap(),
            class: WorkClass::new("quick").unwrap(),
            arrived: Millis::new(0),
            deadline: Millis::new(deadline),
        };
        assert!(admission.offer(Millis::new(0), entry).is_ok());
    }
    assert_eq!(admission.next(Millis::new(6)), Some(2));
    assert_eq!(admission.expire(Millis::new(6)), vec![1]);
    let late = AdmissionEntry {
        ticket: 3,
        customer: CustomerName::new("board").unwrap(),
        class: WorkClass::new("quick").unwrap(),
        arrived: Millis::new(0),
        deadline: Millis::new(5),
    };
    let refusal = admission.offer(Millis::new(6), late).unwrap_err();
    assert_eq!(refusal.code, ResultCode::DeadlineExceeded);
}

/// Guards against choosing a candidate without free slots, and against choosing another data
/// centre while the same one has free slots.
#[test]
fn choosers_respect_free_slots_and_data_centre() {
    let backend = |index, free_slots, same_data_centre| BackendView {
        index,
        free_slots,
        same_data_centre,
        round_trip: None,
    };
    let backends = [
        backend(0, 0, true),
        backend(1, 9, false),
        backend(2, 1, true),
    ];
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    for _ in 0..100 {
        assert_ne!(RandomChooser::new().choose(&backends, &mut random), Some(0));
        assert_eq!(
            TwoChoiceChooser::new().choose(&backends, &mut random),
            Some(2)
        );
    }
    assert_eq!(
        TwoChoiceChooser::new().choose(&backends[..1], &mut random),
        None
    );
}
