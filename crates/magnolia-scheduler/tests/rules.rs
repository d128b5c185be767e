//! Rules of starting, ending and taking over, one at a time.

mod play;

use std::sync::Arc;

use magnolia_scheduler::{
    CellAction, CellRules, CellScheduler, CellVersion, EndKind, ExecutorEntry, ExecutorLife,
    ExecutorRecord, ExecutorReport, ExecutorStatus, JobKey, JobRecord, JobSpec, JobStatus,
    LiveRecord, QueueRules, RecurrenceSpec, RunEnd, RunNumber, RunningTask, SchedulerSettings,
    ServiceName, StartAnswer, StartOrder, StepRef, SubmitOutcome, TaskRef,
};
use magnolia_types::{DataCentreName, Epoch, ExecutorId, Millis, ResourceVector};
use play::{job, queue, step};

/// Unix time of a test's start.
const START_UNIX_MS: u64 = 1_000_000_000_000;
/// Processors of an executor, in thousandths.
const CAPACITY: u64 = 8000;

/// A scheduler with executors that answer when told to.
struct RuleBench {
    scheduler: CellScheduler,
    rules: Arc<QueueRules>,
    now: Millis,
    ends: u64,
}

fn id(number: usize) -> ExecutorId {
    ExecutorId::new(&format!("i-{number}")).expect("valid id")
}

fn entry(number: usize, rack: &str) -> ExecutorEntry {
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

impl RuleBench {
    fn new(epoch: u64, executors: usize) -> Self {
        let mut bench = Self::new_unanswered(epoch, executors);
        bench.answer_all(executors);
        bench
    }

    /// Creates a bench whose executors have not answered yet.
    fn new_unanswered(epoch: u64, executors: usize) -> Self {
        let rules = Arc::new(queue("batch", 2, 0, 0));
        let cell = CellRules {
            version: CellVersion::new(1),
            queues: [(rules.name.clone(), Arc::clone(&rules))].into(),
            ..CellRules::default()
        };
        let settings = SchedulerSettings::new(Millis::new(6000));
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

    /// Takes in an executor that an earlier owner had in use.
    fn load_executor(&mut self, number: usize, confined_to: Option<Vec<TaskRef>>) {
        self.load_silent_executor(number, confined_to, None);
    }

    /// Takes in an executor that was silent, with the rest of its lease.
    fn load_silent_executor(
        &mut self,
        number: usize,
        confined_to: Option<Vec<TaskRef>>,
        lease_left: Option<Millis>,
    ) {
        let record = ExecutorRecord {
            entry: entry(number, "r1-1"),
            confined_to,
            lease_left,
        };
        self.scheduler.load_executor(record, self.now);
    }

    /// Takes in a job that an earlier owner accepted.
    fn load_job(&mut self, key: u64, spec: JobSpec) {
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&self.rules),
            spec: Arc::new(spec),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: Vec::new(),
        });
        let rules = Arc::clone(&self.rules);
        self.scheduler
            .load(JobKey::new(key), &record, &rules, self.now);
    }

    fn answer_all(&mut self, executors: usize) {
        (0..executors).for_each(|number| self.answer(number, vec![], vec![]));
        self.store();
        (0..executors).for_each(|number| self.answer(number, vec![], vec![]));
    }

    fn answer(&mut self, number: usize, running: Vec<RunningTask>, ends: Vec<RunEnd>) {
        let plan = self.scheduler.plan_executor_hold(&id(number), self.now);
        plan.expect("an executor in use");
        let report = ExecutorReport {
            life: ExecutorLife::new(1),
            clock: self.now,
            running,
            ends,
        };
        self.scheduler
            .apply_report(&id(number), report, self.now, self.now);
    }

    fn store(&mut self) {
        let batch = self
            .scheduler
            .begin_batch(self.now, START_UNIX_MS + self.now.get());
        self.scheduler.finish_batch(batch);
    }

    fn submit(&mut self, key: u64, spec: JobSpec) {
        let spec = Arc::new(spec);
        let unix_ms = START_UNIX_MS + self.now.get();
        let key = JobKey::new(key);
        let outcome = self
            .scheduler
            .submit(key, &self.rules, &spec, self.now, unix_ms);
        assert_eq!(outcome, SubmitOutcome::Accepted);
    }

    fn pass(&mut self, time: u64) {
        self.now = self.now.saturating_add(Millis::new(time));
        self.scheduler
            .tick(self.now, START_UNIX_MS + self.now.get());
    }

    /// Plans and returns the starts, each answered well.
    fn starts(&mut self) -> Vec<StartOrder> {
        self.scheduler.plan(self.now);
        let actions = self.scheduler.take_actions();
        let starts: Vec<StartOrder> = actions
            .into_iter()
            .filter_map(|action| match action {
                CellAction::Start(order) => Some(order),
                _ => None,
            })
            .collect();
        for order in &starts {
            self.scheduler
                .apply_start(order, StartAnswer::Started, self.now);
        }
        starts
    }

    fn end(&mut self, task: TaskRef, run: RunNumber, kind: EndKind) -> RunEnd {
        self.ends += 1;
        RunEnd {
            number: self.ends,
            task,
            run,
            kind,
            saved: None,
        }
    }
}

fn task(key: u64, occurrence: u32, index: u32) -> TaskRef {
    let step = StepRef {
        job: JobKey::new(key),
        occurrence,
        step: 0,
    };
    TaskRef { step, index }
}

fn running(order: &StartOrder) -> RunningTask {
    RunningTask {
        task: order.task,
        run: order.run,
        saved: None,
        percent: 10,
        meter: None,
    }
}

macro_rules! rule_test {
    ($(#[$meta:meta])* $name:ident, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let check: fn() = $body;
            check();
        }
    };
}

rule_test!(
    /// Guards against a task that starts before its job is stored, or before all tasks that its step
    /// waits for have ended well; and against a wait for the store in between, which is long while the
    /// store is slow or away.
    a_step_starts_once_all_ends_before_it_are_listed,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(2, 1000, 100, vec![]), step(1, 1000, 100, vec![0])]));
        assert!(bench.starts().is_empty(), "the job is not stored");
        bench.store();
        let first = bench.starts();
        assert_eq!(first.len(), 2);
        let end = bench.end(first[0].task, first[0].run, EndKind::Done);
        bench.answer(0, vec![running(&first[1])], vec![end.clone()]);
        bench.store();
        assert!(bench.starts().is_empty(), "one task still runs");
        let failed = bench.end(first[1].task, first[1].run, EndKind::Failed);
        bench.answer(0, vec![], vec![failed]);
        bench.store();
        bench.pass(200);
        bench.answer(0, vec![], vec![]);
        let again = bench.starts();
        assert_eq!(again.len(), 1);
        assert_eq!(again[0].task, first[1].task, "the failed task, not the next step");
        let end = bench.end(again[0].task, again[0].run, EndKind::Done);
        bench.answer(0, vec![], vec![end]);
        let next = bench.starts();
        assert_eq!(next.len(), 1, "without a call to the store");
        assert_eq!(next[0].task.step.step, 1);
    }
);

rule_test!(
    /// Guards against a next owner that stops, or starts again, what runs of a step although the ends
    /// before it are not stored: executors list both to it.
    a_run_whose_reason_is_not_stored_is_taken_over,
    || {
        let mut bench = RuleBench::new_unanswered(2, 2);
        bench.load_executor(7, None);
        bench.load_job(1, job(vec![step(1, 1000, 100, vec![]), step(1, 1000, 5000, vec![0])]));
        bench.answer_all(1);
        let mut next = task(1, 0, 0);
        next.step.step = 1;
        let listed = RunningTask {
            task: next,
            run: RunNumber::new(1),
            saved: None,
            percent: 40,
            meter: None,
        };
        let end = RunEnd {
            number: 1,
            task: task(1, 0, 0),
            run: RunNumber::new(1),
            kind: EndKind::Done,
            saved: None,
        };
        bench.answer(0, vec![listed.clone()], vec![]);
        assert_eq!(bench.scheduler.take_actions(), vec![], "nothing is stopped");
        assert!(bench.starts().is_empty(), "executor 7 has not answered");
        bench.answer(7, vec![], vec![end]);
        bench.answer(1, vec![], vec![]);
        assert!(bench.starts().is_empty(), "one is done, the other runs");
        bench.store();
        let done = RunEnd {
            number: 1,
            task: next,
            run: RunNumber::new(1),
            kind: EndKind::Done,
            saved: None,
        };
        bench.answer(0, vec![], vec![done]);
        bench.store();
        assert_eq!(bench.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

rule_test!(
    /// Guards against an end that is acknowledged before it is stored.
    ends_are_acknowledged_after_they_are_stored,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        bench.store();
        let order = bench.starts().remove(0);
        let end = bench.end(order.task, order.run, EndKind::Done);
        bench.answer(0, vec![], vec![end]);
        let acked = |bench: &mut RuleBench| {
            let plan = bench.scheduler.plan_executor_hold(&id(0), bench.now);
            plan.expect("in use").1.ends_stored
        };
        assert_eq!(acked(&mut bench), 0);
        bench.store();
        assert_eq!(acked(&mut bench), 1);
        assert_eq!(bench.scheduler.status(JobKey::new(1)), Some(JobStatus::Completed));
    }
);

rule_test!(
    /// Guards against an executor whose lease never ends because renewals without an answer extend it.
    a_silent_executor_loses_its_runs_at_the_end_of_its_lease,
    || {
        let mut bench = RuleBench::new(1, 2);
        bench.submit(1, job(vec![step(1, 1000, 9000, vec![])]));
        bench.store();
        let order = bench.starts().remove(0);
        let silent = usize::from(order.executor == id(1));
        let other = 1 - silent;
        let mut moved_after = None;
        for step in 1..=40u64 {
            bench.pass(200);
            bench.answer(other, vec![], vec![]);
            // The renewal is sent, but no answer comes back.
            bench.scheduler.plan_executor_hold(&id(silent), bench.now);
            let starts = bench.starts();
            if !starts.is_empty() {
                assert_eq!(starts[0].executor, id(other));
                assert!(starts[0].run > order.run);
                moved_after = Some(step * 200);
                break;
            }
        }
        let moved_after = moved_after.expect("the task moves");
        assert!((3600..=6000).contains(&moved_after), "after {moved_after} ms");
    }
);

rule_test!(
    /// Guards against a start without an answer that is given up before it can do no more harm.
    an_unanswered_start_moves_only_after_its_stop_is_confirmed,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        bench.store();
        bench.scheduler.plan(bench.now);
        let Some(CellAction::Start(order)) = bench.scheduler.take_actions().pop() else {
            panic!("no start");
        };
        bench
            .scheduler
            .apply_start(&order, StartAnswer::Unknown, bench.now);
        bench.pass(200);
        bench.answer(0, vec![], vec![]);
        assert!(bench.starts().is_empty(), "the run may still begin");
        bench.pass(500);
        bench.scheduler.plan(bench.now);
        let stops = bench.scheduler.take_actions();
        let Some(CellAction::Stop(stop)) = stops.into_iter().next_back() else {
            panic!("the start is not withdrawn");
        };
        bench.scheduler.apply_stop(&stop, true, false);
        bench.pass(50);
        bench.answer(0, vec![], vec![]);
        let again = bench.starts();
        assert_eq!(again.len(), 1);
        assert!(again[0].run > order.run);
    }
);

rule_test!(
    /// Guards against a new owner that starts a task which an executor that it has not asked may run.
    inherited_tasks_wait_for_executors_in_use,
    || {
        let mut bench = RuleBench::new_unanswered(2, 1);
        bench.load_executor(7, None);
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&bench.rules),
            spec: Arc::new(job(vec![step(2, 1000, 5000, vec![])])),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: Vec::new(),
        });
        let rules = Arc::clone(&bench.rules);
        bench.scheduler.load(JobKey::new(1), &record, &rules, bench.now);
        bench.answer_all(1);
        bench.pass(200);
        assert!(bench.starts().is_empty(), "executor 7 was not asked");
        let listed = RunningTask {
            task: task(1, 0, 0),
            run: RunNumber::new(1),
            saved: None,
            percent: 40,
            meter: None,
        };
        bench.answer(7, vec![listed], vec![]);
        bench.answer(0, vec![], vec![]);
        let starts = bench.starts();
        assert_eq!(starts.len(), 1, "one of the two tasks runs on executor 7");
        assert_eq!(starts[0].task, task(1, 0, 1));
        assert!(starts[0].run > RunNumber::new(1 << 20));
    }
);

rule_test!(
    /// Guards new jobs against a change of owner: steps that wait for an executor that does not
    /// answer must not take the turns of steps that can start.
    blocked_steps_do_not_hold_up_new_jobs,
    || {
        let mut bench = RuleBench::new_unanswered(2, 1);
        bench.load_executor(7, None);
        (1..=100).for_each(|key| bench.load_job(key, job(vec![step(1, 1000, 5000, vec![])])));
        bench.answer_all(1);
        bench.submit(900, job(vec![step(2, 1000, 5000, vec![])]));
        bench.store();
        let starts = bench.starts();
        assert_eq!(starts.len(), 2, "{starts:?}");
        assert!(starts.iter().all(|order| order.task.step.job == JobKey::new(900)));
    }
);

rule_test!(
    /// Guards against tasks that wait after a change of owner for an executor on which they can't be,
    /// and against a start of the one that may be there.
    only_tasks_left_on_a_silent_executor_wait_for_it,
    || {
        let mut bench = RuleBench::new_unanswered(2, 1);
        bench.load_executor(7, Some(vec![task(1, 0, 0)]));
        bench.load_job(1, job(vec![step(3, 1000, 5000, vec![])]));
        bench.answer_all(1);
        bench.pass(200);
        let started: Vec<TaskRef> = bench.starts().iter().map(|order| order.task).collect();
        assert_eq!(started, [task(1, 0, 1), task(1, 0, 2)]);
        bench.pass(8000);
        bench.answer(0, vec![], vec![]);
        let started: Vec<TaskRef> = bench.starts().iter().map(|order| order.task).collect();
        assert!(started.contains(&task(1, 0, 0)), "its lease is out: {started:?}");
    }
);

rule_test!(
    /// Guards against a next owner that waits for an executor with every task: what runs on one that
    /// leaves or is silent is stored, and nothing starts there until the store allows it again.
    what_runs_on_a_closed_executor_is_stored,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        bench.store();
        let run = bench.starts()[0].run;
        bench.pass(2500);
        let batch = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("still in use");
        assert_eq!(record.confined_to, Some(vec![task(1, 0, 0)]));
        bench.scheduler.finish_batch(batch);
        let listed = RunningTask {
            task: task(1, 0, 0),
            run,
            saved: None,
            percent: 40,
            meter: None,
        };
        bench.answer(0, vec![listed], vec![]);
        bench.submit(2, job(vec![step(1, 1000, 60_000, vec![])]));
        let batch = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        assert_eq!(bench.starts().len(), 0, "the store still holds the list");
        let record = batch.executors[0].1.clone().expect("in use again");
        assert_eq!(record.confined_to, None);
        bench.scheduler.finish_batch(batch);
        assert_eq!(bench.starts().len(), 1);
    }
);

rule_test!(
    /// Guards against an occurrence that runs twice: its end is reported to an owner whose record or
    /// time of day does not have it yet.
    an_occurrence_that_ended_under_an_earlier_owner_does_not_run_again,
    || {
        let mut bench = RuleBench::new_unanswered(2, 1);
        let mut spec = job(vec![step(1, 1000, 100, vec![])]);
        spec.recurrence = Some(RecurrenceSpec {
            count: 3,
            start_unix_ms: START_UNIX_MS + 5000,
            interval: Millis::new(1000),
        });
        let record = JobRecord::Live(LiveRecord {
            rules: Arc::clone(&bench.rules),
            spec: Arc::new(spec),
            accepted_unix_ms: START_UNIX_MS,
            order_unix_ms: START_UNIX_MS,
            occurrences: Vec::new(),
        });
        let rules = Arc::clone(&bench.rules);
        bench.scheduler.load(JobKey::new(1), &record, &rules, bench.now);
        let ended = task(1, 0, 0);
        let end = bench.end(ended, RunNumber::new(1), EndKind::Done);
        bench.answer(0, vec![], vec![end]);
        bench.store();
        for _ in 0..40 {
            bench.pass(200);
            bench.answer(0, vec![], vec![]);
            let starts = bench.starts();
            assert!(starts.iter().all(|order| order.task != ended), "started again");
        }
    }
);

rule_test!(
    /// Guards against a gang of which only a part starts.
    a_gang_starts_whole_or_not_at_all,
    || {
        let mut bench = RuleBench::new(1, 2);
        // Three tasks fit on each executor beside the reserve for urgent work.
        let mut gang = step(7, 2000, 1000, vec![]);
        gang.gang = true;
        bench.submit(1, job(vec![gang.clone()]));
        bench.store();
        assert!(bench.starts().is_empty(), "7 tasks where 6 fit");
        gang.tasks = 6;
        bench.submit(2, job(vec![gang]));
        bench.store();
        let starts = bench.starts();
        assert_eq!(starts.len(), 6);
        assert!(starts.iter().all(|order| order.run == starts[0].run));
        let lost = &starts[0];
        let end = bench.end(lost.task, lost.run, EndKind::Broken);
        let number = usize::from(lost.executor == id(1));
        let rest: Vec<RunningTask> = starts[1..]
            .iter()
            .filter(|order| order.executor == lost.executor)
            .map(running)
            .collect();
        bench.pass(10);
        bench.answer(number, rest, vec![end]);
        bench.store();
        assert!(bench.starts().is_empty(), "other members still run");
    }
);

rule_test!(
    /// Guards against more tasks of a step on one executor than it allows, and a missing label.
    limits_of_a_step_hold,
    || {
        let mut bench = RuleBench::new(1, 3);
        let mut spread = step(6, 100, 1000, vec![]);
        spread.spread_limit = Some(1);
        bench.submit(1, job(vec![spread]));
        let mut labelled = step(1, 100, 1000, vec![]);
        labelled.label = Some("gpu".into());
        bench.submit(2, job(vec![labelled]));
        bench.store();
        let starts = bench.starts();
        assert_eq!(starts.len(), 3);
        let mut places: Vec<_> = starts.iter().map(|order| order.executor.clone()).collect();
        places.sort();
        places.dedup();
        assert_eq!(places.len(), 3);
    }
);

rule_test!(
    /// Guards against a job that is tried beyond its attempts, and a failure that is counted twice
    /// when an executor reports it again to the next owner.
    attempts_are_counted_once_each,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        bench.store();
        for attempt in 1..=4 {
            let order = bench.starts().remove(0);
            let end = bench.end(order.task, order.run, EndKind::Failed);
            bench.answer(0, vec![], vec![end.clone()]);
            bench.answer(0, vec![], vec![end]);
            bench.store();
            bench.pass(1500);
            bench.answer(0, vec![], vec![]);
            let status = bench.scheduler.status(JobKey::new(1));
            let wanted = if attempt < 4 { JobStatus::Running } else { JobStatus::Failed };
            assert_eq!(status, Some(wanted), "after attempt {attempt}");
        }
        assert!(bench.starts().is_empty());
    }
);

rule_test!(
    /// Guards against a cancelled job that starts or goes on.
    a_cancelled_job_stops,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(2, 5000, 100, vec![])]));
        bench.store();
        assert_eq!(bench.starts().len(), 1);
        assert_eq!(bench.scheduler.cancel(JobKey::new(1), bench.now), Some(false));
        let stops = bench.scheduler.take_actions();
        assert!(matches!(stops.as_slice(), [CellAction::Stop(_)]), "{stops:?}");
        bench.store();
        assert!(bench.starts().is_empty());
        assert_eq!(bench.scheduler.cancel(JobKey::new(1), bench.now), Some(true));
        assert_eq!(bench.scheduler.cancel(JobKey::new(9), bench.now), None);
    }
);

rule_test!(
    /// Guards against a withdrawn submission that runs, and one that was sent and is withdrawn.
    only_submissions_that_were_never_sent_are_withdrawn,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 100, vec![])]));
        assert!(bench.scheduler.withdraw(JobKey::new(1)));
        bench.store();
        assert!(bench.starts().is_empty());
        bench.submit(2, job(vec![step(1, 1000, 100, vec![])]));
        let batch = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        assert!(!bench.scheduler.withdraw(JobKey::new(2)));
        bench.scheduler.finish_batch(batch);
        assert_eq!(bench.starts().len(), 1);
    }
);

rule_test!(
    /// Guards operators against a job that nobody can explain: what it waits for is said in sentences.
    a_waiting_job_is_explained,
    || {
        let mut bench = RuleBench::new(1, 1);
        let explain = |bench: &RuleBench, key: u64| {
            let unix_ms = START_UNIX_MS + bench.now.get();
            bench.scheduler.explain(JobKey::new(key), bench.now, unix_ms)
        };
        assert_eq!(explain(&bench, 9), None);
        // One task leaves no room for another.
        let both = vec![step(2, CAPACITY * 3 / 4, 60_000, vec![]), step(1, 1000, 100, vec![0])];
        bench.submit(1, job(both));
        let unstored = explain(&bench, 1).expect("a known job").join("\n");
        assert!(unstored.contains("not stored yet"), "{unstored}");
        bench.store();
        assert_eq!(bench.starts().len(), 1);
        let lines = explain(&bench, 1).expect("a known job");
        assert!(lines[0].contains("Running"), "{lines:?}");
        assert!(lines[1].contains("2 tasks: 0 done, 1 running, 1 waiting"), "{lines:?}");
        assert!(lines[2].contains("executors that suit: 1; with room: 0"), "{lines:?}");
        assert!(lines[3].contains("an earlier step is not done"), "{lines:?}");
        bench.scheduler.cancel(JobKey::new(1), bench.now);
        bench.store();
        let ended = explain(&bench, 1).expect("a known job");
        assert!(ended[0].contains("Cancelled"), "{ended:?}");
    }
);

rule_test!(
    /// Guards callers of short tasks against an executor on which work stands still: a run that shows no
    /// progress in the first report is moved, one that does is left alone.
    a_run_that_does_not_begin_is_moved,
    || {
        let mut bench = RuleBench::new(1, 2);
        bench.submit(1, job(vec![step(2, 6000, 800, vec![])]));
        bench.store();
        let starts = bench.starts();
        assert_eq!(starts.len(), 2, "one on each executor");
        let mut stops = Vec::new();
        for _ in 0..5 {
            bench.pass(100);
            stops.extend(bench.scheduler.take_actions());
        }
        assert!(stops.is_empty(), "nothing was reported yet: {stops:?}");
        for (order, percent) in starts.iter().zip([0, 60]) {
            let number = (0..2).find(|number| id(*number) == order.executor).expect("known");
            let mut row = running(order);
            row.percent = percent;
            bench.answer(number, vec![row], vec![]);
        }
        bench.pass(10);
        let actions = bench.scheduler.take_actions();
        let [CellAction::Stop(stop)] = actions.as_slice() else {
            panic!("one stop: {actions:?}");
        };
        assert_eq!((stop.task, stop.run), (starts[0].task, starts[0].run));
    }
);

rule_test!(
    /// Guards lasting tasks of an executor that has left against changes of owner in series, each of which
    /// would wait for a whole lease: the rest of it is stored.
    a_next_owner_waits_for_the_rest_of_a_lease_only,
    || {
        let mut bench = RuleBench::new_unanswered(3, 1);
        bench.load_silent_executor(7, Some(vec![task(1, 0, 0)]), Some(Millis::new(500)));
        bench.load_job(1, job(vec![step(1, 1000, 5000, vec![])]));
        bench.answer_all(1);
        bench.pass(400);
        assert!(bench.starts().is_empty(), "its lease may last");
        bench.pass(200);
        assert_eq!(bench.starts().len(), 1, "its lease is out");
    }
);

rule_test!(
    /// Guards against a next owner that counts on the end of a lease which was renewed: what is stored of
    /// it is withdrawn first.
    a_stored_lease_is_withdrawn_before_it_is_renewed,
    || {
        let mut bench = RuleBench::new(1, 1);
        bench.submit(1, job(vec![step(1, 1000, 60_000, vec![])]));
        bench.store();
        let order = bench.starts().remove(0);
        bench.pass(2500);
        let batch = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("in use");
        let left = record.lease_left.expect("silent");
        // The lease of 3.6 s was granted 2.5 s ago; a clock may be 2% slow.
        assert!((1100..1250).contains(&left.get()), "{left}");
        bench.scheduler.finish_batch(batch);
        bench.answer(0, vec![running(&order)], vec![]);
        let plan = bench.scheduler.plan_hold(&id(0), bench.now).expect("in use");
        assert_eq!(plan.lease_until, None, "the store still holds its end");
        bench.pass(10);
        let batch = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        let record = batch.executors[0].1.clone().expect("in use");
        assert_eq!(record.lease_left, None);
        let plan = bench.scheduler.plan_hold(&id(0), bench.now).expect("in use");
        assert_eq!(plan.lease_until, None, "not stored yet");
        bench.scheduler.finish_batch(batch);
        let plan = bench.scheduler.plan_hold(&id(0), bench.now).expect("in use");
        assert!(plan.lease_until.is_some(), "renewed again");
    }
);

rule_test!(
    /// Guards against a next owner that takes a list of tasks for whole: while a record with a list may be
    /// on its way to the store, nothing starts on the executor, also when it answers again.
    a_list_under_way_to_the_store_closes_an_executor,
    || {
        let mut bench = RuleBench::new(1, 1);
        // One task leaves no room for the other.
        bench.submit(1, job(vec![step(2, CAPACITY * 3 / 4, 60_000, vec![])]));
        bench.store();
        let first = bench.starts().remove(0);
        bench.pass(2500);
        let closing = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        assert!(closing.executors[0].1.is_some());
        let end = bench.end(first.task, first.run, EndKind::Done);
        bench.answer(0, vec![], vec![end]);
        assert!(bench.starts().is_empty(), "the list is under way");
        let opening = bench.scheduler.begin_batch(bench.now, START_UNIX_MS);
        bench.scheduler.finish_batch(closing);
        assert!(bench.starts().is_empty(), "the store holds the list");
        bench.scheduler.finish_batch(opening);
        assert_eq!(bench.starts().len(), 1);
    }
);
