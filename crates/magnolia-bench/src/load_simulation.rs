//! Simulates executors, eligibility requests and callers for a scheduler, without a network.
//!
//! Time advances in time steps of a few milliseconds; any other step is a step of a job. Executors
//! run the tasks that the scheduler starts, for a time that depends on their speed. An eligibility
//! request, which asks which executors may run a step, occupies one of several daemons for its
//! expected duration. A batch of records is stored a few milliseconds after it was begun. The
//! results are counted by queue at the end.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use magnolia_scheduler::{
    AccountDirectory, AccountName, AccountRules, CellAction, CellRules, CellScheduler, CellVersion,
    EligibilityAnswer, EligibilityCost, EligibilityOrder, EndKind, ExecutorEntry, ExecutorLife,
    ExecutorReport, ExecutorStatus, JobKey, JobSpec, JobStatus, QueueName, QueueRules, RenewalKind,
    RunEnd, RunNumber, RunningTask, SchedulerSettings, ServiceName, StartAnswer, StartOrder,
    StepSpec, StoreBatch, SubmitOutcome, TaskRef,
};
use magnolia_types::{DataCentreName, Epoch, ExecutorId, Millis, ResourceVector};

/// Length of a time step.
const TIME_STEP: Millis = Millis::new(5);
/// Time that storing a batch takes.
const STORE_TIME: Millis = Millis::new(10);
/// Number of time steps between two reports of an executor on which no run has ended.
const REPORT_TIME_STEPS: u64 = 100;
/// Number of ready job steps from which the cell counts as full.
const FULL_CELL_READY_STEPS: usize = 10;
/// Unix time at which the clock of the simulation reads zero, in milliseconds.
const START_UNIX_MS: u64 = 1_000_000_000_000;

/// A run on a simulated executor.
struct SimulatedRun {
    ends_at: Millis,
    need: ResourceVector,
}

/// A simulated executor.
struct SimulatedExecutor {
    entry: ExecutorEntry,
    /// Speed relative to the mean.
    speed: f64,
    runs: BTreeMap<(TaskRef, RunNumber), SimulatedRun>,
    /// Ends of runs that the scheduler has not confirmed as stored yet.
    ends: Vec<RunEnd>,
    /// Sequence number of the last end.
    last_end: u64,
}

/// A submitted job.
struct SimulatedJob {
    queue: usize,
    sent_at: Millis,
    /// Time from the submission within which the job counts as on time.
    objective: Millis,
    /// Work in core-milliseconds.
    work: u64,
    ended_at: Option<Millis>,
    refused: bool,
    /// Client account that submitted it, by name.
    account: Option<AccountName>,
    /// Rack that holds the data of each step.
    data_racks: Vec<Option<Arc<str>>>,
}

/// Number of jobs of a queue by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct QueueResult {
    /// Jobs submitted.
    pub sent: u32,
    /// Jobs completed within their objective.
    pub on_time: u32,
    /// Jobs completed later.
    pub late: u32,
    /// Jobs refused.
    pub refused: u32,
}

impl QueueResult {
    /// Returns the share of the submitted jobs that were completed within their objective.
    pub fn on_time_share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.sent.max(1))
    }
}

/// Simulation of a cell under load.
pub struct LoadSimulation {
    /// The scheduler under test.
    pub scheduler: CellScheduler,
    now: Millis,
    /// Number of time steps that have been simulated.
    time_steps: u64,
    executors: Vec<SimulatedExecutor>,
    jobs: BTreeMap<JobKey, SimulatedJob>,
    /// Daemons that send eligibility requests, by number.
    eligibility_daemons: BTreeSet<usize>,
    /// Eligibility requests in flight, with the times at which they are answered.
    requests_in_flight: Vec<(Millis, EligibilityOrder)>,
    /// Batch being stored, with the time at which it is stored.
    batch: Option<(Millis, StoreBatch)>,
    /// Share of the executors that are eligible for a step.
    pub eligible_share: f64,
    /// Rules of the queues; other methods refer to a queue by its index.
    pub queues: Vec<Arc<QueueRules>>,
    /// Starts of tasks beyond the capacity of an executor or after their success.
    pub violations: Vec<String>,
    /// Tasks that have succeeded.
    done: BTreeSet<TaskRef>,
    /// Number of eligibility requests sent.
    pub eligibility_requests: u32,
    /// Number of stop orders.
    pub stops: u32,
    /// Samples of the share of the processors in use, taken while the cell was full.
    pub busy_shares: Vec<f64>,
    /// Work of a task as a multiple of the estimate of its step; 1 without it.
    pub unevenness: Option<fn(TaskRef) -> f64>,
    /// Run time away from the data of a step as a multiple of that near it.
    pub far_factor: f64,
}

/// Returns the rules of a queue; priority 0 is the most urgent.
///
/// An eligibility request takes `eligibility_ms` milliseconds and `per_executor_us` microseconds
/// for each named executor. If `eligibility_ms` is 0, the tasks of the queue need no eligibility
/// requests.
pub fn queue(name: &str, priority: u32, eligibility_ms: u64, per_executor_us: u64) -> QueueRules {
    QueueRules {
        name: QueueName::new(name).expect("valid name"),
        host: "jobs.example".into(),
        path: format!("/{name}/").into(),
        service: ServiceName::new("desk").expect("valid name"),
        priority,
        max_attempts: 4,
        stretch_permille: if priority == 0 { 1500 } else { 2200 },
        latency_target: Millis::new(if priority == 0 { 250 } else { 1200 }),
        advice: (eligibility_ms > 0).then(|| EligibilityCost {
            base_us: eligibility_ms * 1000,
            per_executor_us,
            valid: Millis::new(2500),
        }),
        public: false,
    }
}

/// Returns a step of `tasks` equal tasks that depends on the steps `after`; `cpu` is in thousandths
/// of a processor.
pub fn step(tasks: u32, cpu: u64, run_ms: u64, after: Vec<u16>) -> StepSpec {
    StepSpec {
        tasks,
        need: ResourceVector::new(cpu, 64, 0),
        estimate: Millis::new(run_ms),
        after,
        checkpoints: false,
        gang: false,
        one_rack: false,
        label: None,
        data_rack: None,
        spread_limit: None,
        copies_allowed: false,
        lasting: false,
        image: None,
        latency_target: None,
        filler: false,
        may_miss: 0,
    }
}

/// Returns a job with these steps.
pub fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "work".into(),
        steps,
        recurrence: None,
    }
}

impl LoadSimulation {
    /// Creates a cell with executors of these speeds and processors, the latter in thousandths;
    /// `eligibility_daemons` is the number of daemons that send eligibility requests.
    pub fn new(
        executors: &[(f64, u64)],
        queues: Vec<QueueRules>,
        eligibility_daemons: usize,
    ) -> Self {
        let settings = SchedulerSettings::new(Millis::new(6000));
        Self::with_settings(executors, queues, eligibility_daemons, settings)
    }

    /// Creates a cell whose scheduler has these settings.
    pub fn with_settings(
        executors: &[(f64, u64)],
        queues: Vec<QueueRules>,
        eligibility_daemons: usize,
        settings: SchedulerSettings,
    ) -> Self {
        let queues: Vec<Arc<QueueRules>> = queues.into_iter().map(Arc::new).collect();
        let rules = CellRules {
            version: CellVersion::new(1),
            queues: queues
                .iter()
                .map(|queue| (queue.name.clone(), Arc::clone(queue)))
                .collect(),
            ..CellRules::default()
        };
        let mut scheduler = CellScheduler::new(settings, Epoch::new(1));
        scheduler.set_rules(Arc::new(rules));
        let mut simulation = Self {
            scheduler,
            now: Millis::new(1000),
            time_steps: 0,
            executors: Vec::new(),
            jobs: BTreeMap::new(),
            eligibility_daemons: (0..eligibility_daemons).collect(),
            requests_in_flight: Vec::new(),
            batch: None,
            eligible_share: 0.35,
            queues,
            violations: Vec::new(),
            done: BTreeSet::new(),
            eligibility_requests: 0,
            stops: 0,
            busy_shares: Vec::new(),
            unevenness: None,
            far_factor: 1.0,
        };
        for (number, (speed, cpu)) in executors.iter().enumerate() {
            simulation.add_executor(number, *speed, *cpu);
        }
        // Every executor reports to the scheduler before the first job is submitted.
        simulation.advance(Millis::new(100));
        simulation
    }

    fn add_executor(&mut self, number: usize, speed: f64, cpu: u64) {
        // Executors of one speed are of one kind, as at the users' sites.
        let kind = format!("kind-{speed}");
        let address = format!("127.0.0.1:{}", 10_000 + number);
        let entry = ExecutorEntry {
            id: ExecutorId::new(&format!("i-{number:04}")).expect("valid id"),
            life: ExecutorLife::new(1),
            address: address.parse().expect("an address"),
            service: ServiceName::new("desk").expect("valid name"),
            data_centre: DataCentreName::new("here").expect("valid name"),
            capacity: ResourceVector::new(cpu, 1 << 20, 0),
            labels: vec![format!("r1-{}", number / 8).into(), kind.into()],
            status: ExecutorStatus::Ready,
        };
        self.scheduler.upsert_executor(entry.clone(), self.now);
        self.executors.push(SimulatedExecutor {
            entry,
            speed,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        });
    }

    /// Submits a job to the queue with this index.
    pub fn submit(&mut self, queue: usize, key: u64, spec: JobSpec) {
        self.submit_as(None, queue, key, spec);
    }

    /// Submits a job of a client account.
    pub fn submit_as(
        &mut self,
        account: Option<&Arc<AccountRules>>,
        queue: usize,
        key: u64,
        spec: JobSpec,
    ) {
        let rules = Arc::clone(&self.queues[queue]);
        let key = JobKey::new(key);
        let objective = rules.objective(spec.critical_path());
        let work = spec.work();
        let racks = spec.steps.iter().map(|step| step.data_rack.clone());
        let data_racks = racks.collect();
        let unix_ms = self.unix_ms();
        let spec = Arc::new(spec);
        let scheduler = &mut self.scheduler;
        let outcome = scheduler.submit_as(account, key, &rules, &spec, self.now, unix_ms);
        let refused = matches!(outcome, SubmitOutcome::Refused { .. });
        self.jobs.insert(
            key,
            SimulatedJob {
                queue,
                sent_at: self.now,
                objective,
                work,
                ended_at: None,
                refused,
                account: account.map(|account| account.name.clone()),
                data_racks,
            },
        );
    }

    fn unix_ms(&self) -> u64 {
        START_UNIX_MS + self.now.get()
    }

    /// Returns the simulated time.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Advances the simulation by this time.
    pub fn advance(&mut self, time: Millis) {
        let until = self.now.saturating_add(time);
        while self.now < until {
            self.now = self.now.saturating_add(TIME_STEP);
            self.time_steps += 1;
            self.end_runs();
            self.report();
            self.answer_eligibility_requests();
            self.store();
            if self.time_steps.is_multiple_of(20) {
                let unix_ms = self.unix_ms();
                self.scheduler.tick(self.now, unix_ms);
                self.scheduler.confirm_ownership(self.now, self.now);
                self.sample_usage();
            }
            self.scheduler
                .set_eligibility_daemons(&self.eligibility_daemons);
            self.scheduler.plan(self.now);
            self.perform_actions();
        }
    }

    /// Samples the share of the processors in use if the cell is full.
    fn sample_usage(&mut self) {
        let summary = self.scheduler.summary(self.now);
        if summary.ready_steps >= FULL_CELL_READY_STEPS && summary.total_cpu > 0 {
            let share = summary.used_cpu as f64 / summary.total_cpu as f64;
            self.busy_shares.push(share);
        }
    }

    /// Returns the value that the callers of a queue received, relative to the value that they
    /// would have received if all its jobs had been on time.
    ///
    /// The value of a job is 0.3 plus 0.7 times its work relative to the mean work, of which at
    /// most four times the mean counts. A late job is worth a fifth of that up to three times its
    /// objective and nothing later. The users rate their work in this way.
    pub fn value_share(&self, queue: usize) -> f64 {
        let queue_jobs = || self.jobs.values().filter(|job| job.queue == queue);
        let total: f64 = queue_jobs().map(|job| job.work as f64).sum();
        let mean = total / queue_jobs().count().max(1) as f64;
        let value = |job: &SimulatedJob| 0.3 + 0.7 * (job.work as f64 / mean).min(4.0);
        let earned = queue_jobs().filter_map(|job| {
            let took = job.ended_at?.saturating_sub(job.sent_at);
            let share = if took <= job.objective {
                1.0
            } else if took.get() <= 3 * job.objective.get() {
                0.2
            } else {
                0.0
            };
            Some(value(job) * share)
        });
        earned.sum::<f64>() / queue_jobs().map(value).sum::<f64>().max(f64::MIN_POSITIVE)
    }

    /// Puts a configuration with these client accounts in force.
    pub fn set_accounts(&mut self, accounts: &[Arc<AccountRules>]) {
        let mut directory = AccountDirectory::new();
        for rules in accounts {
            directory.add((**rules).clone(), &[]);
        }
        let queues = self.queues.iter();
        let rules = CellRules {
            version: CellVersion::new(2),
            queues: queues
                .map(|queue| (queue.name.clone(), Arc::clone(queue)))
                .collect(),
            accounts: Some(Arc::new(directory)),
            ..CellRules::default()
        };
        self.scheduler.set_rules(Arc::new(rules));
    }

    /// Returns the results of the jobs of the account `named`, or of those of all other accounts.
    pub fn account_result(&self, named: &str, is_named: bool) -> QueueResult {
        let mut result = QueueResult::default();
        let of_account = |job: &&SimulatedJob| {
            let account = job.account.as_ref();
            account.is_some_and(|name| (name.as_str() == named) == is_named)
        };
        for job in self.jobs.values().filter(of_account) {
            result.sent += 1;
            result.refused += u32::from(job.refused);
            if let Some(ended_at) = job.ended_at {
                let on_time = ended_at.saturating_sub(job.sent_at) <= job.objective;
                result.on_time += u32::from(on_time);
                result.late += u32::from(!on_time);
            }
        }
        result
    }

    /// Returns an upper bound on the number of jobs of a queue that can be on time.
    ///
    /// The bound counts the smallest jobs whose work fits on all executors between the first
    /// submission of any job and the last objective of the queue, after the work of all jobs of the
    /// queues with a lower index is subtracted.
    pub fn max_on_time(&self, queue: usize) -> u32 {
        let first = self.jobs.values().map(|job| job.sent_at).min();
        let queue_jobs = || self.jobs.values().filter(|job| job.queue == queue);
        let last = queue_jobs()
            .map(|job| job.sent_at.saturating_add(job.objective))
            .max();
        let (Some(first), Some(last)) = (first, last) else {
            return 0;
        };
        let time = last.saturating_sub(first).get() as f64;
        let speed: f64 = self
            .executors
            .iter()
            .map(|executor| executor.speed * executor.entry.capacity.cpu_millis.get() as f64)
            .sum();
        let before = self.jobs.values().filter(|job| job.queue < queue);
        let urgent: f64 = before.map(|job| job.work as f64).sum();
        let mut remaining_work = speed * time / 1000.0 - urgent;
        let mut works: Vec<u64> = queue_jobs().map(|job| job.work).collect();
        works.sort_unstable();
        let fits = |work: &u64| {
            remaining_work -= *work as f64;
            remaining_work >= 0.0
        };
        u32::try_from(works.into_iter().take_while(fits).count()).unwrap_or(u32::MAX)
    }

    /// Ends the runs whose time is over; their tasks have succeeded.
    fn end_runs(&mut self) {
        let now = self.now;
        for executor in &mut self.executors {
            let ended: Vec<_> = executor
                .runs
                .iter()
                .filter(|(_, run)| run.ends_at <= now)
                .map(|(key, _)| *key)
                .collect();
            for (task, run) in ended {
                executor.end(task, run, EndKind::Done);
                self.done.insert(task);
            }
        }
    }

    /// Lets executors answer lease renewals, by which they report their runs: those with ends in
    /// every time step, the others once in `REPORT_TIME_STEPS` time steps, and all of them in the
    /// first two time steps.
    fn report(&mut self) {
        for number in 0..self.executors.len() {
            let executor = &self.executors[number];
            let due = (self.time_steps + number as u64).is_multiple_of(REPORT_TIME_STEPS);
            if executor.ends.is_empty() && !due && self.time_steps > 2 {
                continue;
            }
            let id = executor.entry.id.clone();
            let Some((_, plan)) =
                self.scheduler
                    .plan_executor_renewal(&id, RenewalKind::Full, self.now)
            else {
                continue;
            };
            let executor = &mut self.executors[number];
            executor.ends.retain(|end| end.number > plan.ends_stored);
            let report = executor.report(self.now);
            let sent_at = self.now;
            self.scheduler.apply_report(&id, report, sent_at, self.now);
        }
    }

    /// Answers the eligibility requests whose time is over.
    fn answer_eligibility_requests(&mut self) {
        let now = self.now;
        let (due, left) = std::mem::take(&mut self.requests_in_flight)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, _)| *at <= now);
        self.requests_in_flight = left;
        for (_, order) in due {
            let eligible = order
                .executors
                .iter()
                .filter(|id| self.is_eligible(&order, id));
            let answer = EligibilityAnswer {
                eligible: eligible.map(|id| (id.clone(), "ticket".into())).collect(),
                valid: Millis::new(2500),
            };
            self.scheduler
                .release_eligibility_daemon(order.daemon, true);
            let named = &order.executors;
            self.scheduler
                .apply_eligibility(order.step, named, Some(&answer), now);
        }
    }

    /// Returns whether an executor is eligible for the step of the request, by a hash of both, so
    /// that repeated requests get the same answer.
    fn is_eligible(&self, order: &EligibilityOrder, id: &ExecutorId) -> bool {
        let text = format!("{}/{id}", order.step);
        let hash = magnolia_types::stable_hash(text.as_bytes());
        (hash % 1000) as f64 / 1000.0 < self.eligible_share
    }

    /// Finishes the batch whose time is over and begins the next one.
    fn store(&mut self) {
        if let Some((at, _)) = &self.batch
            && *at <= self.now
            && let Some((_, batch)) = self.batch.take()
        {
            for (key, status) in self.scheduler.finish_batch(batch) {
                if let Some(job) = self.jobs.get_mut(&key)
                    && status == JobStatus::Completed
                {
                    job.ended_at = Some(self.now);
                }
            }
        }
        if self.batch.is_none() && self.scheduler.has_unbatched() {
            let unix_ms = self.unix_ms();
            let batch = self.scheduler.begin_batch(self.now, unix_ms);
            self.batch = Some((self.now.saturating_add(STORE_TIME), batch));
        }
    }

    /// Carries out the actions that the scheduler decided on.
    fn perform_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                CellAction::Start(order) => self.start(&order),
                CellAction::Stop(order) => {
                    self.stops += 1;
                    let executor = self.executor(&order.executor);
                    executor.end(order.task, order.run, EndKind::Stopped);
                    self.scheduler.apply_stop(&order, true);
                }
                // Changes of the CPU share have no effect in the simulation.
                CellAction::Pace(_) => {}
                CellAction::RequestEligibility(order) => {
                    self.eligibility_requests += 1;
                    let at = self.now.saturating_add(order.expected_duration);
                    self.requests_in_flight.push((at, order));
                }
            }
        }
    }

    fn executor(&mut self, id: &ExecutorId) -> &mut SimulatedExecutor {
        let found = self
            .executors
            .iter_mut()
            .find(|executor| executor.entry.id == *id);
        found.expect("a known executor")
    }

    /// Starts a run and records it as a violation if the task must not start.
    fn start(&mut self, order: &StartOrder) {
        let now = self.now;
        if self.done.contains(&order.task) {
            self.violations
                .push(format!("{} started after it succeeded", order.task));
        }
        let (need, run_ms) = self.task_of(order.task);
        let uneven = self.unevenness.map_or(1.0, |factor| factor(order.task));
        let far_factor = self.far_factor;
        let step = usize::from(order.task.step.step);
        let submitted = self.jobs.get(&order.task.step.job);
        let rack = submitted.and_then(|job| job.data_racks.get(step)?.clone());
        let executor = self.executor(&order.executor);
        let is_near = rack.is_none_or(|rack| executor.entry.labels.contains(&rack));
        let uneven = if is_near { uneven } else { uneven * far_factor };
        let used = executor.runs.values();
        let used = used.fold(need, |sum, run| sum.saturating_add(&run.need));
        let fits = used.fits_in(&executor.entry.capacity);
        let took = (run_ms.get() as f64 * uneven / executor.speed).round() as u64;
        let ends_at = now.saturating_add(Millis::new(took));
        executor
            .runs
            .insert((order.task, order.run), SimulatedRun { ends_at, need });
        if !fits {
            self.violations.push(format!(
                "{} started beyond the capacity of its executor",
                order.task
            ));
        }
        self.scheduler.apply_start(order, StartAnswer::Started, now);
    }

    /// Returns the resources of a task and its run time on an executor of mean speed.
    fn task_of(&self, task: TaskRef) -> (ResourceVector, Millis) {
        let spec = self.scheduler.step_size(task.step);
        spec.expect("a known step")
    }

    /// Returns the results by queue.
    pub fn results(&self) -> Vec<QueueResult> {
        let mut results = vec![QueueResult::default(); self.queues.len()];
        for job in self.jobs.values() {
            let result = &mut results[job.queue];
            result.sent += 1;
            if job.refused {
                result.refused += 1;
            }
            let took = job.ended_at.map(|at| at.saturating_sub(job.sent_at));
            match took {
                Some(took) if took <= job.objective => result.on_time += 1,
                Some(_) => result.late += 1,
                None => {}
            }
        }
        results
    }
}

impl SimulatedExecutor {
    fn end(&mut self, task: TaskRef, run: RunNumber, kind: EndKind) {
        if self.runs.remove(&(task, run)).is_none() {
            return;
        }
        self.last_end += 1;
        self.ends.push(RunEnd {
            number: self.last_end,
            task,
            run,
            kind,
            checkpoint: None,
        });
    }

    fn report(&self, now: Millis) -> ExecutorReport {
        let running = self.runs.keys().map(|(task, run)| RunningTask {
            task: *task,
            run: *run,
            checkpoint: None,
            // Advances with time, so that no run counts as hung.
            percent: u8::try_from(now.get() / 100 % 100).unwrap_or(0),
            meter: None,
        });
        ExecutorReport {
            life: self.entry.life,
            clock: now,
            running: running.collect(),
            ends: self.ends.clone(),
            ends_complete: true,
        }
    }
}
