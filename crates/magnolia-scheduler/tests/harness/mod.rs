//! Harness that drives a scheduler whose executors report when the test says so.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

use std::sync::Arc;

use magnolia_bench::load_simulation::queue;
use magnolia_scheduler::{
    CellAction, CellRules, CellScheduler, CellVersion, EligibilityAnswer, EligibilityOrder,
    EndKind, ExecutorEntry, ExecutorLife, ExecutorRecord, ExecutorReport, ExecutorStatus, JobKey,
    JobRecord, JobSpec, LiveRecord, QueueRules, RenewalKind, RunEnd, RunNumber, RunningTask,
    SchedulerSettings, ServiceName, StartAnswer, StartOrder, StepRef, StopOrder, SubmitOutcome,
    TaskRef,
};
use magnolia_types::{DataCentreName, Epoch, ExecutorId, Millis, ResourceVector};

/// Unix milliseconds at which the clock of a test reads zero.
pub const START_UNIX_MS: u64 = 1_000_000_000_000;
/// Time for which tickets are valid, unless a test says otherwise.
pub const TICKET_TIME: Millis = Millis::new(2000);
/// Processors of an executor, in thousandths.
pub const CAPACITY: u64 = 8000;

/// A scheduler with executors that report when the test says so.
pub struct SchedulerHarness {
    pub scheduler: CellScheduler,
    pub rules: Arc<QueueRules>,
    pub now: Millis,
    ends: u64,
}

pub fn id(number: usize) -> ExecutorId {
    ExecutorId::new(&format!("i-{number}")).expect("valid id")
}

pub fn entry(number: usize, rack: &str) -> ExecutorEntry {
    ExecutorEntry {
        id: id(number),
        life: ExecutorLife::new(1),
        address: "127.0.0.1:9000".parse().expect("an address"),
        service: ServiceName::new("desk").expect("valid name"),
        data_centre: DataCentreName::new("here").expect("valid name"),
        capacity: ResourceVector::new(CAPACITY, 16_384, 0),
        labels: vec!["a".into(), rack.into()],
        status: ExecutorStatus::Ready,
    }
}

impl SchedulerHarness {
    pub fn new(epoch: u64, executors: usize) -> Self {
        let mut harness = Self::new_without_reports(epoch, executors);
        harness.report_from_all(executors);
        harness
    }

    /// Creates a harness whose executors have not reported yet.
    pub fn new_without_reports(epoch: u64, executors: usize) -> Self {
        let settings = SchedulerSettings::new(Millis::new(6000));
        Self::with_settings(settings, epoch, executors)
    }

    /// Creates a harness that accepts jobs of any size.
    pub fn new_with_any_memory(epoch: u64, executors: usize) -> Self {
        let settings = SchedulerSettings::new(Millis::new(6000)).with_job_memory_bytes(u64::MAX);
        let mut harness = Self::with_settings(settings, epoch, executors);
        harness.report_from_all(executors);
        harness
    }

    fn with_settings(settings: SchedulerSettings, epoch: u64, executors: usize) -> Self {
        let rules = Arc::new(queue("batch", 2, 0, 0));
        let cell = CellRules {
            version: CellVersion::new(1),
            queues: [(rules.name.clone(), Arc::clone(&rules))].into(),
            ..CellRules::default()
        };
        let mut scheduler = CellScheduler::new(settings, Epoch::new(epoch));
        scheduler.set_rules(Arc::new(cell));
        let now = Millis::new(1000);
        for number in 0..executors {
            scheduler.upsert_executor(entry(number, "r1-0"), now);
        }
        Self {
            scheduler,
            rules,
            now,
            ends: 0,
        }
    }

    /// Makes tasks of the queue need the eligibility service, which any number of daemons can ask.
    pub fn require_eligibility(&mut self) {
        let rules = Arc::new(queue("batch", 2, 5, 100));
        let cell = CellRules {
            version: CellVersion::new(2),
            queues: [(rules.name.clone(), Arc::clone(&rules))].into(),
            ..CellRules::default()
        };
        self.scheduler.set_rules(Arc::new(cell));
        self.rules = rules;
        self.scheduler.set_eligibility_daemons(&(0..400).collect());
    }

    /// Loads an executor that an earlier owner had in use.
    pub fn load_executor(&mut self, number: usize, confined_to: Option<Vec<TaskRef>>) {
        self.load_executor_with_lease(number, confined_to, None);
    }

    /// Loads an executor with the remaining lease that was stored while it was unresponsive.
    pub fn load_executor_with_lease(
        &mut self,
        number: usize,
        confined_to: Option<Vec<TaskRef>>,
        lease_left: Option<Millis>,
    ) {
        let record = ExecutorRecord {
            entry: entry(number, "r1-1"),
            confined_to,
            lease_left,
            witness: true,
            late_starts: Vec::new(),
            restart_lease_left: None,
        };
        self.scheduler.load_executor(record, self.now);
    }

    /// Loads a job that an earlier owner accepted.
    pub fn load_job(&mut self, key: u64, spec: JobSpec) {
        let record = live_record(&self.rules, &Arc::new(spec));
        let rules = Arc::clone(&self.rules);
        self.scheduler
            .load(JobKey::new(key), &record, &rules, self.now);
    }

    /// Lets all executors report, stores that they are in use, and lets them report again.
    pub fn report_from_all(&mut self, executors: usize) {
        (0..executors).for_each(|number| self.report(number, vec![], vec![]));
        self.store_batch();
        (0..executors).for_each(|number| self.report(number, vec![], vec![]));
    }

    /// Lets an executor answer a lease renewal with these runs and ends.
    pub fn report(&mut self, number: usize, running: Vec<RunningTask>, ends: Vec<RunEnd>) {
        self.report_ends(number, running, ends, true);
    }

    /// As [`report`](Self::report); `ends_complete` tells whether all ends are listed.
    pub fn report_ends(
        &mut self,
        number: usize,
        running: Vec<RunningTask>,
        ends: Vec<RunEnd>,
        ends_complete: bool,
    ) {
        let plan = self
            .scheduler
            .plan_executor_renewal(&id(number), RenewalKind::Full, self.now);
        plan.expect("an executor in use");
        let report = ExecutorReport {
            life: ExecutorLife::new(1),
            clock: self.now,
            running,
            ends,
            ends_complete,
        };
        self.scheduler
            .apply_report(&id(number), report, self.now, self.now);
    }

    /// Lets a life of an executor answer a lease renewal; it runs nothing.
    pub fn report_life(&mut self, number: usize, life: ExecutorLife) {
        self.report_idle(number, life, self.now);
    }

    /// Lets an executor answer a lease renewal that was sent at `sent_at`; it runs nothing.
    pub fn report_sent_at(&mut self, number: usize, sent_at: Millis) {
        self.report_idle(number, ExecutorLife::new(1), sent_at);
    }

    fn report_idle(&mut self, number: usize, life: ExecutorLife, sent_at: Millis) {
        let report = ExecutorReport {
            life,
            clock: self.now,
            running: vec![],
            ends: vec![],
            ends_complete: true,
        };
        self.scheduler
            .apply_report(&id(number), report, sent_at, self.now);
    }

    pub fn store_batch(&mut self) {
        let batch = self
            .scheduler
            .begin_batch(self.now, START_UNIX_MS + self.now.get());
        self.scheduler.finish_batch(batch);
    }

    /// Stores a batch, of which no record may be longer than `limit` bytes with its key.
    pub fn store_batch_checked(&mut self, limit: u64) {
        let batch = self
            .scheduler
            .begin_batch(self.now, START_UNIX_MS + self.now.get());
        for (key, record) in &batch.records {
            let record = record
                .as_ref()
                .map(|record| record.encode().expect("encodable"));
            let length = 1 + key.to_string().len() + record.map_or(0, |bytes| bytes.len());
            assert!(
                length as u64 <= limit,
                "job {key}: a record of {length} bytes"
            );
        }
        for (id, record) in &batch.executors {
            let record = record
                .as_ref()
                .map(|record| rmp_serde::to_vec(record).expect("encodable"));
            let length = record.map_or(0, |bytes| bytes.len());
            assert!(
                length as u64 <= limit,
                "executor {id}: a record of {length} bytes"
            );
        }
        self.scheduler.finish_batch(batch);
    }

    pub fn submit(&mut self, key: u64, spec: JobSpec) {
        let spec = Arc::new(spec);
        let unix_ms = START_UNIX_MS + self.now.get();
        let key = JobKey::new(key);
        let outcome = self
            .scheduler
            .submit(key, &self.rules, &spec, self.now, unix_ms);
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }

    /// Advances the clock by `ms` milliseconds, runs the time-driven work of the scheduler and
    /// confirms ownership.
    pub fn advance(&mut self, ms: u64) {
        self.advance_unconfirmed(ms);
        self.confirm_ownership();
    }

    /// Advances the clock by `ms` milliseconds and runs the time-driven work of the scheduler.
    pub fn advance_unconfirmed(&mut self, ms: u64) {
        self.now = self.now.saturating_add(Millis::new(ms));
        self.scheduler
            .tick(self.now, START_UNIX_MS + self.now.get());
    }

    /// Confirms ownership by a call that is sent in the next millisecond.
    pub fn confirm_ownership(&mut self) {
        let sent_at = self.now.saturating_add(Millis::new(1));
        self.scheduler.confirm_ownership(sent_at, self.now);
    }

    /// Plans, confirms all start orders and returns them.
    pub fn start_tasks(&mut self) -> Vec<StartOrder> {
        self.plan_and_answer(|_, _| ())
    }

    /// As [`start_tasks`](Self::start_tasks), after all requests for eligibility were answered with
    /// tickets of every executor that are valid for `valid`.
    pub fn start_tasks_as_eligible(&mut self, valid: Millis) -> Vec<StartOrder> {
        let mut starts = self.start_tasks_as_eligible_once(valid);
        starts.append(&mut self.start_tasks());
        starts
    }

    fn start_tasks_as_eligible_once(&mut self, valid: Millis) -> Vec<StartOrder> {
        self.plan_and_answer(|harness, order| {
            let tickets = order
                .executors
                .iter()
                .map(|id| (id.clone(), "ticket".into()));
            let answer = EligibilityAnswer {
                eligible: tickets.collect(),
                valid,
            };
            let scheduler = &mut harness.scheduler;
            scheduler.release_eligibility_daemon(order.daemon, true);
            scheduler.apply_eligibility(order.step, &order.executors, Some(&answer), harness.now);
        })
    }

    /// Returns the start orders of a second planning pass, which are not answered. All requests for
    /// eligibility of the first one are answered with tickets of every executor.
    pub fn plan_as_eligible(&mut self) -> Vec<StartOrder> {
        let confirmed = self.start_tasks_as_eligible_once(TICKET_TIME);
        assert!(confirmed.is_empty(), "starts without a ticket");
        self.take_starts()
    }

    /// Plans and returns the start orders, which are not answered.
    pub fn take_starts(&mut self) -> Vec<StartOrder> {
        self.scheduler.plan(self.now);
        let actions = self.scheduler.take_actions().into_iter();
        let starts = actions.filter_map(|action| match action {
            CellAction::Start(order) => Some(order),
            _ => None,
        });
        starts.collect()
    }

    /// Plans, confirms all start orders and returns them; passes requests for eligibility to
    /// `answer`.
    fn plan_and_answer(
        &mut self,
        answer: impl Fn(&mut Self, &EligibilityOrder),
    ) -> Vec<StartOrder> {
        self.scheduler.plan(self.now);
        let mut starts = Vec::new();
        for action in self.scheduler.take_actions() {
            match action {
                CellAction::Start(order) => starts.push(order),
                CellAction::RequestEligibility(order) => answer(self, &order),
                _ => {}
            }
        }
        for order in &starts {
            self.scheduler
                .apply_start(order, StartAnswer::Started, self.now);
        }
        starts
    }

    /// Returns the stop orders among the actions decided so far.
    pub fn stops(&mut self) -> Vec<StopOrder> {
        let actions = self.scheduler.take_actions().into_iter();
        let stops = actions.filter_map(|action| match action {
            CellAction::Stop(order) => Some(order),
            _ => None,
        });
        stops.collect()
    }

    pub fn run_end(&mut self, task: TaskRef, run: RunNumber, kind: EndKind) -> RunEnd {
        self.ends += 1;
        RunEnd {
            number: self.ends,
            task,
            run,
            kind,
            checkpoint: None,
        }
    }
}

pub fn task(key: u64, occurrence: u32, index: u32) -> TaskRef {
    let step = StepRef {
        job: JobKey::new(key),
        occurrence,
        step: 0,
    };
    TaskRef { step, index }
}

pub fn running(order: &StartOrder) -> RunningTask {
    RunningTask {
        task: order.task,
        run: order.run,
        checkpoint: None,
        percent: 10,
        meter: None,
    }
}

/// Returns the record of a job of which nothing has begun.
pub fn live_record(rules: &Arc<QueueRules>, spec: &Arc<JobSpec>) -> JobRecord {
    JobRecord::Live(LiveRecord {
        rules: Arc::clone(rules),
        spec: Arc::clone(spec),
        accepted_unix_ms: START_UNIX_MS,
        order_unix_ms: START_UNIX_MS,
        occurrences: Vec::new(),
        account: None,
        beyond_share: false,
    })
}
