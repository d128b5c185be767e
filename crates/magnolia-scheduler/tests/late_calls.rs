//! Random plays in which calls to executors get no answer and are carried out seconds later, by
//! whichever life of the executor is there, while executors crash, start again under their ids and are
//! cut off. In some plays the owner dies as well, and the next one goes on with what is stored. No task
//! may have two runs at a time, or begin again after an end as done that the owner has acknowledged.

mod common;
mod harness;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use common::test_case;
use harness::{START_UNIX_MS, SchedulerHarness, entry, id};
use magnolia_bench::load_simulation::{job, step};
use magnolia_scheduler::{
    CellAction, EligibilityAnswer, EndKind, ExecutorLife, ExecutorRecord, ExecutorReport,
    FenceToken, JobKey, JobRecord, RenewalKind, RenewalPlan, RunEnd, RunNumber, RunningTask,
    StartAnswer, StartOrder, StopOrder, TaskRef,
};
use magnolia_types::{ExecutorId, Millis};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const EXECUTORS: usize = 4;
const LONGEST_LEASE_MS: u64 = 6000;
const STEP_MS: u64 = 50;
const PLAY_MS: u64 = 60_000;
/// Time without an answer after which a call counts as unanswered.
const ANSWER_LIMIT_MS: u64 = 400;
/// Time after which the entry of a silent executor is deleted.
const ENTRY_TIME_MS: u64 = 4500;
/// Number of plays with tickets, and of those without, unless the variable `PLAYS` sets another one.
const PLAYS: u64 = 150;

#[derive(Clone)]
enum Call {
    Start(StartOrder),
    Stop(StopOrder),
    Renew(RenewalPlan),
}

/// One executor; a restart replaces everything but the cut.
struct PlayedExecutor {
    life: u64,
    born: u64,
    alive: bool,
    token: FenceToken,
    lease_until: u64,
    running: BTreeMap<TaskRef, (RunNumber, u64)>,
    closed: BTreeMap<TaskRef, RunNumber>,
    ends: Vec<RunEnd>,
    last_end: u64,
    /// Number of the last end before its lease lapsed.
    lapsed_through: u64,
    /// Whether no call is answered.
    cut: bool,
    /// Whether it does not write its entry in the platform's list while it is cut off.
    cut_from_store: bool,
}

impl PlayedExecutor {
    fn new(life: u64, now: u64) -> Self {
        Self {
            life,
            born: now,
            alive: true,
            token: FenceToken::new(0),
            lease_until: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lapsed_through: 0,
            cut: false,
            cut_from_store: false,
        }
    }

    /// Begins a life; the cut stays.
    fn replace(&mut self, life: u64, now: u64) {
        let (cut, cut_from_store) = (self.cut, self.cut_from_store);
        *self = Self {
            cut,
            cut_from_store,
            ..Self::new(life, now)
        };
    }

    fn clock(&self, now: u64) -> u64 {
        now - self.born + 1
    }

    fn extend_lease(&mut self, until: Millis, now: u64) {
        let latest = self.clock(now) + LONGEST_LEASE_MS;
        self.lease_until = self.lease_until.max(until.get().min(latest));
    }

    fn end(&mut self, task: TaskRef, kind: EndKind) {
        if let Some((run, _)) = self.running.remove(&task) {
            self.closed.insert(task, run);
            self.last_end += 1;
            let number = self.last_end;
            self.ends.push(RunEnd {
                number,
                task,
                run,
                kind,
                checkpoint: None,
            });
        }
    }

    fn start(&mut self, order: &StartOrder, valid: bool, now: u64, work_ms: u64) -> StartAnswer {
        if order.token < self.token {
            return StartAnswer::Fenced;
        }
        self.token = order.token;
        if order.lease_until.get() <= self.clock(now) {
            return StartAnswer::Late;
        }
        if !valid {
            return StartAnswer::BadTicket;
        }
        self.extend_lease(order.lease_until, now);
        let closed = self.closed.get(&order.task).copied().unwrap_or_default();
        match self.running.get(&order.task) {
            Some((run, _)) if *run == order.run => return StartAnswer::Started,
            Some(_) => return StartAnswer::Old,
            None if order.run <= closed => return StartAnswer::Old,
            None => {}
        }
        self.running.insert(order.task, (order.run, now + work_ms));
        StartAnswer::Started
    }
}

/// What the store holds.
#[derive(Default)]
struct StoredRecords {
    jobs: BTreeMap<JobKey, JobRecord>,
    executors: BTreeMap<ExecutorId, ExecutorRecord>,
}

struct Play {
    harness: SchedulerHarness,
    random: ChaCha8Rng,
    stored: StoredRecords,
    epoch: u64,
    /// Life in the entry of each executor in the platform's list, and when it was last written.
    entries: [Option<(u64, u64)>; EXECUTORS],
    /// Key of the last job.
    key: u64,
    executors: Vec<PlayedExecutor>,
    /// Calls that are carried out at a time, without an answer.
    late: Vec<(u64, usize, Call)>,
    /// Starts whose answer is given up at a time.
    unanswered: Vec<(u64, StartOrder)>,
    /// Time of the next renewal of each executor.
    renewals: [u64; EXECUTORS],
    /// Tasks of which an end as done was acknowledged, without a lapse of the lease in between.
    acknowledged: BTreeSet<TaskRef>,
    /// A task that began again after that.
    begun_again: Option<TaskRef>,
    /// Life for which each ticket is valid; the platform's service knows it.
    tickets: BTreeMap<String, (usize, u64, u64)>,
    ticketed: bool,
}

impl Play {
    fn new(seed: u64, ticketed: bool) -> Self {
        let mut harness = SchedulerHarness::new_without_reports(1, EXECUTORS);
        if ticketed {
            harness.require_eligibility();
        }
        let now = harness.now.get();
        Self {
            harness,
            random: ChaCha8Rng::seed_from_u64(seed),
            stored: StoredRecords::default(),
            epoch: 1,
            entries: [Some((1, now)); EXECUTORS],
            key: 0,
            executors: (0..EXECUTORS).map(|_| PlayedExecutor::new(1, 0)).collect(),
            late: Vec::new(),
            unanswered: Vec::new(),
            renewals: [now; EXECUTORS],
            acknowledged: BTreeSet::new(),
            begun_again: None,
            tickets: BTreeMap::new(),
            ticketed,
        }
    }

    fn now(&self) -> u64 {
        self.harness.now.get()
    }

    /// Carries a call out, if the executor is there; returns the answer to a start.
    fn carry_out(&mut self, number: usize, call: &Call) -> StartAnswer {
        let now = self.now();
        let work_ms = self.random.random_range(300..9000);
        let executor = &mut self.executors[number];
        if !executor.alive {
            return StartAnswer::Unknown;
        }
        match call {
            Call::Start(order) => {
                let ticket = order
                    .ticket
                    .as_deref()
                    .and_then(|text| self.tickets.get(text));
                let valid = ticket.map_or(!self.ticketed, |(of, life, until)| {
                    (*of, *life) == (number, executor.life) && now < *until
                });
                let was_running = executor.running.contains_key(&order.task);
                let answer = executor.start(order, valid, now, work_ms);
                let begins = !was_running && executor.running.contains_key(&order.task);
                if begins && self.acknowledged.contains(&order.task) {
                    self.begun_again = Some(order.task);
                }
                answer
            }
            Call::Stop(order) if order.token >= executor.token => {
                executor.token = order.token;
                let closed = executor.closed.entry(order.task).or_default();
                *closed = (*closed).max(order.run);
                let is_running = |(run, _): &(RunNumber, u64)| *run <= order.run;
                if executor.running.get(&order.task).is_some_and(is_running) {
                    executor.end(order.task, EndKind::Stopped);
                }
                StartAnswer::Started
            }
            Call::Renew(plan) if plan.token >= executor.token => {
                executor.token = plan.token;
                if let Some(until) = plan.lease_until {
                    executor.extend_lease(until, now);
                }
                let (through, lapsed) = (plan.ends_stored, executor.lapsed_through);
                let dropped = executor.ends.extract_if(.., |end| end.number <= through);
                let done = dropped.filter(|end| end.kind == EndKind::Done && end.number > lapsed);
                self.acknowledged.extend(done.map(|end| end.task));
                StartAnswer::Started
            }
            _ => StartAnswer::Fenced,
        }
    }

    /// Sends a call, which may get no answer and be carried out later or never.
    fn send(&mut self, number: usize, call: &Call) -> StartAnswer {
        let lost = self.executors[number].cut || self.random.random_bool(0.08);
        if !lost && self.executors[number].alive {
            return self.carry_out(number, call);
        }
        if self.random.random_bool(0.7) {
            let delay = self.random.random_range(0..11_500);
            self.late.push((self.now() + delay, number, call.clone()));
        }
        StartAnswer::Unknown
    }

    fn renew(&mut self, number: usize) {
        let now = self.harness.now;
        let scheduler = &mut self.harness.scheduler;
        let Some(plan) = scheduler.plan_renewal(&id(number), RenewalKind::Full, now) else {
            return;
        };
        let fenced = self.send(number, &Call::Renew(plan.clone()));
        let executor = &self.executors[number];
        if fenced == StartAnswer::Unknown {
            self.harness.scheduler.apply_unreachable(&id(number));
            return;
        }
        if fenced == StartAnswer::Fenced {
            self.harness
                .scheduler
                .apply_fence(&id(number), plan.token, now);
            return;
        }
        let running = executor.running.iter().map(|(task, (run, _))| RunningTask {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: 50,
            meter: None,
        });
        let report = ExecutorReport {
            life: ExecutorLife::new(executor.life),
            clock: Millis::new(executor.clock(now.get())),
            running: running.collect(),
            ends: executor.ends.clone(),
            ends_complete: true,
        };
        self.harness
            .scheduler
            .apply_report(&id(number), report, now, now);
    }

    fn start(&mut self, order: &StartOrder) {
        let number = (0..EXECUTORS).find(|number| id(*number) == order.executor);
        let number = number.expect("an executor of the play");
        let now = self.harness.now;
        match self.send(number, &Call::Start(order.clone())) {
            StartAnswer::Unknown => {
                self.unanswered
                    .push((now.get() + ANSWER_LIMIT_MS, order.clone()));
            }
            answer => {
                let clock = Millis::new(self.executors[number].clock(now.get()));
                let scheduler = &mut self.harness.scheduler;
                scheduler.apply_start(order, answer, now);
                scheduler.check_clock(order, clock, now, now);
            }
        }
    }

    fn act(&mut self) {
        self.harness.scheduler.plan(self.harness.now);
        for action in self.harness.scheduler.take_actions() {
            match action {
                CellAction::Start(order) => self.start(&order),
                CellAction::Stop(order) => {
                    let number = (0..EXECUTORS).find(|number| id(*number) == order.executor);
                    let number = number.expect("an executor of the play");
                    let answer = self.send(number, &Call::Stop(order.clone()));
                    let confirmed = answer == StartAnswer::Started;
                    self.harness.scheduler.apply_stop(&order, confirmed);
                }
                CellAction::RequestEligibility(order) => {
                    let mut eligible = Vec::new();
                    for number in 0..EXECUTORS {
                        if order.executors.contains(&id(number)) && self.executors[number].alive {
                            let text = format!("{}", self.tickets.len());
                            let life = self.executors[number].life;
                            self.tickets
                                .insert(text.clone(), (number, life, self.now() + 2000));
                            eligible.push((id(number), text.as_str().into()));
                        }
                    }
                    let answer = EligibilityAnswer {
                        eligible,
                        valid: Millis::new(2000),
                    };
                    let now = self.harness.now;
                    let scheduler = &mut self.harness.scheduler;
                    scheduler.release_eligibility_daemon(order.daemon, true);
                    scheduler.apply_eligibility(order.step, &order.executors, Some(&answer), now);
                }
                CellAction::Pace(_) => {}
            }
        }
    }

    /// Lets executors crash, start again, be cut off and heal.
    fn disturb(&mut self) {
        let now = self.now();
        for number in 0..EXECUTORS {
            let dice = self.random.random_range(0..1000);
            let listed = self.random.random_bool(0.05);
            let executor = &mut self.executors[number];
            match dice {
                0..6 if executor.alive => {
                    executor.replace(executor.life, now);
                    executor.alive = false;
                }
                0..80 if !executor.alive => {
                    executor.replace(executor.life + 1, now);
                }
                500..506 => {
                    executor.cut = true;
                    executor.cut_from_store = dice % 2 == 0;
                }
                600..640 => {
                    executor.cut = false;
                    executor.cut_from_store = false;
                }
                _ => {}
            }
            if listed && executor.alive && !executor.cut_from_store {
                self.entries[number] = Some((executor.life, now));
                self.list(number);
            }
            let silent = |(_, at): &mut (u64, u64)| now - *at > ENTRY_TIME_MS;
            if self.entries[number].take_if(silent).is_some() {
                self.harness.scheduler.record_deleted_entry(&id(number));
            }
        }
    }

    /// Tells the owner of an executor's entry in the platform's list.
    fn list(&mut self, number: usize) {
        if let Some((life, _)) = self.entries[number] {
            let mut entry = entry(number, "r1-0");
            entry.life = ExecutorLife::new(life);
            let now = self.harness.now;
            self.harness.scheduler.upsert_executor(entry, now);
        }
    }

    /// Stores what the owner has decided.
    fn store(&mut self) {
        let scheduler = &mut self.harness.scheduler;
        let now = self.harness.now;
        let batch = scheduler.begin_batch(now, START_UNIX_MS + now.get());
        for (key, record) in &batch.records {
            match record {
                Some(record) => drop(self.stored.jobs.insert(*key, record.clone())),
                None => drop(self.stored.jobs.remove(key)),
            }
        }
        for (id, record) in &batch.executors {
            match record {
                Some(record) => drop(self.stored.executors.insert(id.clone(), record.clone())),
                None => drop(self.stored.executors.remove(id)),
            }
        }
        scheduler.finish_batch(batch);
    }

    /// Ends the owner; the next one loads what is stored after a while. Of the calls that the owner has
    /// sent, those are dropped that the next one does not wait for: starts that were not known to be
    /// unanswered yet, and renewals.
    fn change_owner(&mut self) {
        let unknown: Vec<StartOrder> = std::mem::take(&mut self.unanswered)
            .into_iter()
            .map(|(_, order)| order)
            .collect();
        self.late.retain(|(_, _, call)| match call {
            Call::Start(order) => self.ticketed || !unknown.contains(order),
            Call::Stop(_) => true,
            Call::Renew(_) => false,
        });
        for _ in 0..self.random.random_range(5..40) {
            self.disturb();
            self.pass_world_time();
        }
        self.epoch += 1;
        let now = self.harness.now;
        let mut next = SchedulerHarness::new_without_reports(self.epoch, 0);
        if self.ticketed {
            next.require_eligibility();
        }
        next.now = now;
        for (key, record) in &self.stored.jobs {
            let rules = Arc::clone(&next.rules);
            next.scheduler.load(*key, record, &rules, now);
        }
        for record in self.stored.executors.values() {
            next.scheduler.load_executor(record.clone(), now);
        }
        self.harness = next;
        (0..EXECUTORS).for_each(|number| self.list(number));
    }

    fn pass_time(&mut self) {
        self.pass_world_time();
        self.harness.advance(0);
        let now = self.now();
        let (due, waiting): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unanswered)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.unanswered = waiting;
        for (_, order) in due {
            self.harness
                .scheduler
                .apply_start(&order, StartAnswer::Unknown, self.harness.now);
        }
    }

    /// Lets time pass for executors and for calls on their way.
    fn pass_world_time(&mut self) {
        self.harness.now = self.harness.now.saturating_add(Millis::new(STEP_MS));
        let now = self.now();
        for executor in self.executors.iter_mut().filter(|executor| executor.alive) {
            let lapsed = executor.clock(now) > executor.lease_until;
            let over = executor.running.iter();
            let over = over.filter(|(_, (_, ends_at))| lapsed || now >= *ends_at);
            let over: Vec<TaskRef> = over.map(|(task, _)| *task).collect();
            let kind = if lapsed {
                EndKind::Lapsed
            } else {
                EndKind::Done
            };
            if lapsed {
                executor.lapsed_through = executor.last_end;
            }
            over.into_iter().for_each(|task| executor.end(task, kind));
        }
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, ..)| *at <= now);
        self.late = late;
        for (_, number, call) in due {
            self.carry_out(number, &call);
        }
    }

    /// Returns a task with two runs at once.
    fn doubled_task(&self) -> Option<TaskRef> {
        let mut seen = BTreeSet::new();
        let running = self
            .executors
            .iter()
            .flat_map(|executor| executor.running.keys());
        running.copied().find(|task| !seen.insert(*task))
    }

    fn run(&mut self, changes_owner: bool) -> Option<String> {
        let mut next_change = self.random.random_range(3000..12_000);
        while self.now() < PLAY_MS {
            if changes_owner && self.now() >= next_change {
                self.change_owner();
                next_change = self.now() + self.random.random_range(3000..20_000);
            }
            if self.random.random_bool(0.05) && self.now() > 1000 {
                self.key += 1;
                let spec = Arc::new(job(vec![step(2, 1000, 3000, vec![])]));
                let rules = Arc::clone(&self.harness.rules);
                let (now, key) = (self.harness.now, JobKey::new(self.key));
                let unix_ms = START_UNIX_MS + now.get();
                // Jobs beyond the capacity of the executors are refused.
                let scheduler = &mut self.harness.scheduler;
                scheduler.submit(key, &rules, &spec, now, unix_ms);
            }
            self.disturb();
            self.pass_time();
            self.store();
            for number in 0..EXECUTORS {
                if self.now() >= self.renewals[number] {
                    self.renew(number);
                    self.renewals[number] = self.now() + self.random.random_range(100..900);
                }
            }
            self.act();
            if let Some(task) = self.doubled_task() {
                return Some(format!("{task} has two runs at {}", self.harness.now));
            }
            if let Some(task) = self.begun_again {
                let now = self.harness.now;
                return Some(format!("{task} is done and has begun again at {now}"));
            }
        }
        None
    }
}

fn play(ticketed: bool, changes_owner: bool) {
    let plays = std::env::var("PLAYS").ok();
    let plays = plays.and_then(|text| text.parse().ok()).unwrap_or(PLAYS);
    let broken: Vec<(u64, String)> = (0..plays)
        .filter_map(|seed| Some((seed, Play::new(seed, ticketed).run(changes_owner)?)))
        .collect();
    assert!(
        broken.is_empty(),
        "{} plays of {plays}: {broken:#?}",
        broken.len()
    );
}

test_case!(
    /// Guards against a second run beside one that an earlier start begins late on a later life.
    no_task_runs_twice_by_late_starts,
    || play(false, false)
);

test_case!(
    /// Guards against the same where starts need a ticket, which is valid for one life.
    no_task_runs_twice_by_late_starts_with_tickets,
    || play(true, false)
);

test_case!(
    /// Guards against the same by a next owner, which knows of late starts from the store, and against
    /// one that counts with too short a lease on an executor that has restarted.
    no_task_runs_twice_after_changes_of_owner,
    || play(false, true)
);

test_case!(
    /// Guards against the same where starts need a ticket.
    no_task_runs_twice_after_changes_of_owner_with_tickets,
    || play(true, true)
);
