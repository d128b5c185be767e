//! Fixtures shared by the tests of admission and placement.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_config::ConfigDocument;
use magnolia_policy::{
    AttemptRecord, PlacementDecision, PlacementEngine, PreemptionAction, TaskEnd, WaitingJob,
    WorkerCondition, WorkerView,
};
use magnolia_types::{
    AttemptId, CustomerName, JobId, JobKind, JobSpec, Millis, RackName, ResourceVector, TaskRef,
    WorkClass, WorkerId,
};

/// Rules with three classes and two customers.
pub fn document(rules: &str) -> ConfigDocument {
    let text = format!(
        "[cell]\nname = \"test\"\n[rules]\n{rules}\n\
         [[customer]]\nname = \"board\"\n[[customer]]\nname = \"guild\"\nweight = 3\n\
         [[class]]\nname = \"batch\"\nrank = 1\nfloor_percent = 20\npreemptible = true\n\
         [[class]]\nname = \"service\"\nrank = 5\nfloor_percent = 20\n\
         [[class]]\nname = \"urgent\"\nrank = 7\nfloor_percent = 20\n"
    );
    ConfigDocument::from_toml(&text).unwrap()
}

/// A usable worker; four neighbouring indexes share a rack.
pub fn worker(index: usize, capacity: ResourceVector) -> WorkerView {
    WorkerView {
        worker: WorkerId::new(&format!("w{index:03}")).unwrap(),
        rack: RackName::new(&format!("r{}", index / 4)).unwrap(),
        capacity,
        condition: WorkerCondition::Usable,
    }
}

/// A repeatable job of the customer `board` with a declared run time of 10 s.
pub fn spec(class: &str, kind: JobKind, tasks: u32, size: ResourceVector) -> JobSpec {
    JobSpec {
        customer: CustomerName::new("board").unwrap(),
        class: WorkClass::new(class).unwrap(),
        kind,
        tasks,
        size,
        run_ms: Some(Millis::from_secs(10)),
        repeatable: true,
        idempotency_key: None,
        max_attempts: 3,
    }
}

/// Takes the place of the partition owner and the workers, and checks the invariants of an engine
/// on every decision: workers are not overcommitted, gangs start whole, no task starts twice, and
/// withdrawn jobs do not start.
pub struct Harness {
    pub engine: Box<dyn PlacementEngine>,
    pub now: Millis,
    pub running: BTreeMap<AttemptId, AttemptRecord>,
    pub throttled: BTreeMap<AttemptId, u8>,
    pub preempted: Vec<(AttemptId, PreemptionAction)>,
    pub started: BTreeMap<JobId, usize>,
    pub given_up: Vec<JobId>,
    pub withdrawn: BTreeSet<JobId>,
    refused: Vec<(TaskRef, WorkerId)>,
    waiting: BTreeMap<JobId, BTreeSet<u32>>,
    specs: BTreeMap<JobId, Arc<JobSpec>>,
    capacities: BTreeMap<WorkerId, ResourceVector>,
    next_attempt: u32,
}

impl Harness {
    pub fn new(engine: Box<dyn PlacementEngine>) -> Self {
        Self {
            engine,
            now: Millis::new(0),
            running: BTreeMap::new(),
            throttled: BTreeMap::new(),
            preempted: Vec::new(),
            started: BTreeMap::new(),
            given_up: Vec::new(),
            withdrawn: BTreeSet::new(),
            refused: Vec::new(),
            waiting: BTreeMap::new(),
            specs: BTreeMap::new(),
            capacities: BTreeMap::new(),
            next_attempt: 0,
        }
    }

    pub fn with_workers(mut self, count: usize, capacity: ResourceVector) -> Self {
        (0..count).for_each(|index| self.upsert(worker(index, capacity)));
        self
    }

    pub fn upsert(&mut self, view: WorkerView) {
        self.capacities.insert(view.worker.clone(), view.capacity);
        self.engine.upsert_worker(view);
    }

    pub fn submit(&mut self, name: &str, spec: JobSpec) -> JobId {
        let job = JobId::new(&format!("p0.{name}")).unwrap();
        let tasks: Vec<u32> = (0..spec.tasks).collect();
        let spec = Arc::new(spec);
        self.specs.insert(job.clone(), Arc::clone(&spec));
        self.waiting
            .insert(job.clone(), tasks.iter().copied().collect());
        let submitted = self.now;
        self.engine.enqueue(WaitingJob {
            job: job.clone(),
            spec,
            submitted,
            tasks,
        });
        job
    }

    pub fn withdraw(&mut self, jobs: &[JobId]) {
        self.engine.withdraw(jobs);
        for job in jobs {
            self.withdrawn.insert(job.clone());
            self.waiting.remove(job);
        }
    }

    /// Advances the time, carries out one round of decisions and returns their number.
    pub fn step(&mut self, millis: u64) -> usize {
        self.now = self.now.saturating_add(Millis::new(millis));
        let decisions = self.engine.decide(self.now, 1000);
        let count = decisions.len();
        decisions
            .into_iter()
            .for_each(|decision| self.apply(decision, true));
        count
    }

    /// Reports the refused starts to the engine. They are kept until then, so that a test can
    /// report other changes first.
    pub fn report_refused(&mut self) {
        for (task, worker) in std::mem::take(&mut self.refused) {
            self.engine.start_failed(&task, &worker, self.now);
            if let Some(waiting) = self.waiting.get_mut(&task.job) {
                waiting.insert(task.task);
            }
        }
    }

    /// Carries out a decision; starts are refused unless `accept` is set.
    pub fn apply(&mut self, decision: PlacementDecision, accept: bool) {
        match decision {
            PlacementDecision::Start { job, members } => {
                assert!(!self.withdrawn.contains(&job), "withdrawn {job} starts");
                let waiting = self.waiting.get_mut(&job).unwrap();
                if self.specs[&job].kind == JobKind::Gang {
                    assert_eq!(members.len(), waiting.len(), "{job} starts in part");
                }
                for (task, _, _) in &members {
                    assert!(waiting.remove(task), "task {task} of {job} starts twice");
                }
                for (task, worker, size) in members {
                    let task = TaskRef::new(job.clone(), task);
                    if accept {
                        self.start(task, worker, size);
                    } else {
                        self.refused.push((task, worker));
                    }
                }
            }
            PlacementDecision::Preempt {
                attempt, action, ..
            } => {
                match action {
                    PreemptionAction::Throttle(percent) => {
                        self.throttled.insert(attempt.clone(), percent);
                    }
                    PreemptionAction::Checkpoint | PreemptionAction::Stop => {}
                }
                self.preempted.push((attempt, action));
            }
            PlacementDecision::GiveUp { job, .. } => {
                self.waiting.remove(&job);
                self.given_up.push(job);
            }
        }
        self.check_capacity();
    }

    fn start(&mut self, task: TaskRef, worker: WorkerId, size: ResourceVector) {
        self.next_attempt += 1;
        let attempt = AttemptId::new(&format!("a{}", self.next_attempt)).unwrap();
        let record = AttemptRecord {
            attempt: attempt.clone(),
            task: task.clone(),
            worker,
            size,
            spec: Arc::clone(&self.specs[&task.job]),
            started: self.now,
        };
        *self.started.entry(task.job).or_default() += 1;
        self.engine.attempt_started(record.clone());
        self.running.insert(attempt, record);
    }

    /// Ends an attempt and queues its task again unless it succeeded.
    pub fn end(&mut self, attempt: &AttemptId, end: TaskEnd) {
        let record = self.running.remove(attempt).unwrap();
        self.throttled.remove(attempt);
        self.engine.attempt_ended(attempt, end, self.now);
        let job = record.task.job;
        if end != TaskEnd::Succeeded && self.waiting.contains_key(&job) {
            let waiting = self.waiting.get_mut(&job).unwrap();
            waiting.insert(record.task.task);
            self.engine.enqueue(WaitingJob {
                job,
                spec: record.spec,
                submitted: self.now,
                tasks: vec![record.task.task],
            });
        }
    }

    /// Ends every attempt that has run for its declared time.
    pub fn end_due(&mut self) {
        let due = self.running.values().filter(|record| {
            let run = record.spec.run_ms;
            run.is_some_and(|run| record.started.saturating_add(run) <= self.now)
        });
        let due: Vec<AttemptId> = due.map(|record| record.attempt.clone()).collect();
        due.iter()
            .for_each(|attempt| self.end(attempt, TaskEnd::Succeeded));
    }

    /// Returns how many tasks of the class run.
    pub fn running_of(&self, class: &str) -> usize {
        let running = self.running.values();
        running
            .filter(|record| record.spec.class.as_str() == class)
            .count()
    }

    /// Checks that the attempts on each worker fit in its capacity.
    fn check_capacity(&self) {
        let mut used: BTreeMap<&WorkerId, ResourceVector> = BTreeMap::new();
        for record in self.running.values() {
            let percent = self.throttled.get(&record.attempt).copied().unwrap_or(100);
            let cpu = record.size.cpu_millis.get() * u64::from(percent) / 100;
            let (memory, accelerators) = (record.size.memory_mib, record.size.accelerators);
            let held = ResourceVector::new(cpu, memory.get(), accelerators);
            let sum = used.entry(&record.worker).or_default();
            *sum = sum.saturating_add(&held);
        }
        for (worker, used) in used {
            let capacity = &self.capacities[worker];
            assert!(
                used.fits_in(capacity),
                "{worker} holds {used} of {capacity}"
            );
        }
    }
}
