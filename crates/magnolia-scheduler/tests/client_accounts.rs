//! Tests of the limits and shares of client accounts on a scheduler whose executors report when the
//! test says so.

mod common;
mod harness;

use std::sync::Arc;

use common::test_case;
use harness::{START_UNIX_MS, SchedulerHarness, running, task};
use magnolia_bench::load_simulation::{job, queue, step};
use magnolia_scheduler::{
    AccountAccess, AccountDirectory, AccountName, AccountRules, AccountWeight, CellRules,
    CellVersion, EndKind, JobKey, JobRecord, JobSpec, KeyDigest, LiveRecord, StartAnswer,
    StartOrder, StepSpec, SubmitOutcome,
};
use magnolia_types::{Millis, ResourceVector};

/// Processors of a task, in thousandths.
const TASK_CPU: u64 = 1000;
/// Tasks that the limit of an account allows at once.
const CAP_TASKS: usize = 4;

fn account(name: &str, cap_cpu: u64, jobs_per_s: u64) -> Arc<AccountRules> {
    let name = AccountName::new(name).expect("valid name");
    let rules = AccountRules::new(name)
        .with_weight(AccountWeight::new(jobs_per_s * 1000))
        .with_cap(ResourceVector::new(cap_cpu, 0, 0));
    Arc::new(rules)
}

fn limited(name: &str) -> Arc<AccountRules> {
    account(name, CAP_TASKS as u64 * TASK_CPU, 1000)
}

/// Puts a configuration with these accounts in force.
fn configure(harness: &mut SchedulerHarness, version: u64, accounts: &[Arc<AccountRules>]) {
    let mut directory = AccountDirectory::new();
    for rules in accounts {
        directory.add(
            (**rules).clone(),
            &[KeyDigest::new(rules.name.as_str().as_bytes())],
        );
    }
    let cell = CellRules {
        version: CellVersion::new(version),
        queues: [(harness.rules.name.clone(), Arc::clone(&harness.rules))].into(),
        accounts: Some(Arc::new(directory)),
        ..CellRules::default()
    };
    harness.scheduler.set_rules(Arc::new(cell));
}

fn harness_with(executors: usize, accounts: &[Arc<AccountRules>]) -> SchedulerHarness {
    let mut harness = SchedulerHarness::new(1, executors);
    configure(&mut harness, 2, accounts);
    harness
}

fn tasks(count: u32) -> JobSpec {
    job(vec![step(count, TASK_CPU, 20, vec![])])
}

fn submit_as(
    harness: &mut SchedulerHarness,
    account: &Arc<AccountRules>,
    key: u64,
    spec: JobSpec,
) -> SubmitOutcome {
    let unix_ms = START_UNIX_MS + harness.now.get();
    let rules = Arc::clone(&harness.rules);
    let (key, spec) = (JobKey::new(key), Arc::new(spec));
    let scheduler = &mut harness.scheduler;
    scheduler.submit_as(Some(account), key, &rules, &spec, harness.now, unix_ms)
}

/// Submits a job that must be accepted, and stores it.
fn accept(harness: &mut SchedulerHarness, account: &Arc<AccountRules>, key: u64, spec: JobSpec) {
    assert_eq!(
        submit_as(harness, account, key, spec),
        SubmitOutcome::Accepted
    );
    harness.store_batch();
}

/// Returns the record of a job of an account of which an earlier owner may have started tasks.
fn inherited_record(
    harness: &SchedulerHarness,
    account: &Arc<AccountRules>,
    spec: JobSpec,
) -> JobRecord {
    JobRecord::Live(LiveRecord {
        rules: Arc::clone(&harness.rules),
        spec: Arc::new(spec),
        accepted_unix_ms: START_UNIX_MS,
        order_unix_ms: START_UNIX_MS,
        occurrences: Vec::new(),
        account: Some(Arc::clone(account)),
        beyond_share: false,
    })
}

fn load_inherited(
    harness: &mut SchedulerHarness,
    account: &Arc<AccountRules>,
    key: u64,
    spec: JobSpec,
) {
    let record = inherited_record(harness, account, spec);
    let rules = Arc::clone(&harness.rules);
    let scheduler = &mut harness.scheduler;
    scheduler.load(JobKey::new(key), &record, &rules, harness.now);
}

/// Lets the first of these runs end; returns its task.
fn end_first(harness: &mut SchedulerHarness, starts: &[StartOrder]) {
    let end = harness.run_end(starts[0].task, starts[0].run, EndKind::Done);
    let others = starts[1..].iter().map(running).collect();
    harness.report(0, others, vec![end]);
}

test_case!(
    /// Guards against an account that starts more than its limit, and against a limit that holds up
    /// the jobs of others.
    an_account_at_its_limit_holds_up_no_other,
    || {
        let (full, other) = (limited("full"), limited("other"));
        let mut harness = harness_with(1, &[Arc::clone(&full), Arc::clone(&other)]);
        for key in 1..=100 {
            accept(&mut harness, &full, key, tasks(6));
        }
        assert_eq!(harness.start_tasks().len(), CAP_TASKS);
        // As large as the others, so that it comes last.
        accept(&mut harness, &other, 200, tasks(6));
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 3, "what the executor has left");
        assert!(starts.iter().all(|order| order.task.step.job == JobKey::new(200)));
    }
);

test_case!(
    /// Guards against a run that no longer counts before its end is known: one that got no answer,
    /// and one that is being stopped.
    unanswered_and_stopping_runs_count,
    || {
        let full = limited("full");
        let mut harness = harness_with(1, &[Arc::clone(&full)]);
        accept(&mut harness, &full, 1, tasks(CAP_TASKS as u32));
        let starts = harness.take_starts();
        assert_eq!(starts.len(), CAP_TASKS);
        for order in &starts {
            harness.scheduler.apply_start(order, StartAnswer::Unknown, harness.now);
        }
        accept(&mut harness, &full, 2, tasks(1));
        assert!(harness.take_starts().is_empty());
        harness.scheduler.cancel(JobKey::new(1), harness.now);
        harness.store_batch();
        harness.advance(100);
        assert!(harness.take_starts().is_empty(), "stopping runs count");
    }
);

test_case!(
    /// Guards against a limit that stays full after runs have ended.
    an_ended_run_makes_room,
    || {
        let full = limited("full");
        let mut harness = harness_with(1, &[Arc::clone(&full)]);
        accept(&mut harness, &full, 1, tasks(6));
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), CAP_TASKS);
        end_first(&mut harness, &starts);
        assert_eq!(harness.start_tasks().len(), 1);
    }
);

test_case!(
    /// Guards against a gang of which a part starts because the limit has room for that part only.
    a_gang_starts_whole_or_not_at_all,
    || {
        let full = limited("full");
        let mut harness = harness_with(1, &[Arc::clone(&full)]);
        accept(&mut harness, &full, 1, tasks(2));
        assert_eq!(harness.start_tasks().len(), 2);
        let gang = |count| {
            let members = step(count, TASK_CPU, 20_000, vec![]);
            job(vec![StepSpec { gang: true, ..members }])
        };
        accept(&mut harness, &full, 2, gang(3));
        assert!(harness.start_tasks().is_empty());
        accept(&mut harness, &full, 3, gang(2));
        assert_eq!(harness.start_tasks().len(), 2);
    }
);

test_case!(
    /// Guards against jobs that wait for ever because a task, or a gang together, is wider than the
    /// limit of its account.
    what_never_fits_the_limit_is_refused,
    || {
        let full = limited("full");
        let mut harness = harness_with(1, &[Arc::clone(&full)]);
        let first = step(1, TASK_CPU, 100, vec![]);
        let wide = step(1, TASK_CPU * 5, 100, vec![0]);
        let outcome = submit_as(&mut harness, &full, 1, job(vec![first.clone(), wide]));
        assert_eq!(outcome, SubmitOutcome::AboveCap { step: 1 });
        let gang = StepSpec { gang: true, tasks: 5, ..first };
        let outcome = submit_as(&mut harness, &full, 2, job(vec![gang]));
        assert_eq!(outcome, SubmitOutcome::AboveCap { step: 0 });
        accept(&mut harness, &full, 3, tasks(50));
    }
);

test_case!(
    /// Guards against tasks that start above a limit that was lowered, and against a task that waits
    /// for ever because it is wider than the lowered limit.
    a_lowered_limit_holds_for_the_next_start,
    || {
        let full = limited("full");
        let mut harness = harness_with(1, &[Arc::clone(&full)]);
        accept(&mut harness, &full, 1, tasks(6));
        let starts = harness.start_tasks();
        configure(&mut harness, 3, &[account("full", TASK_CPU / 2, 1000)]);
        end_first(&mut harness, &starts);
        assert!(harness.start_tasks().is_empty());
        let ends: Vec<_> = starts[1..]
            .iter()
            .map(|order| harness.run_end(order.task, order.run, EndKind::Done))
            .collect();
        harness.report(0, vec![], ends);
        assert_eq!(harness.start_tasks().len(), 1, "alone");
        assert!(harness.start_tasks().is_empty());
    }
);

test_case!(
    /// Guards against a next owner that starts up to the limit while runs of the former owner are on
    /// executors that have not answered.
    a_next_owner_counts_what_the_former_one_may_have_started,
    || {
        let full = limited("full");
        let mut harness = SchedulerHarness::new_without_reports(2, 0);
        harness.load_executor(0, None);
        load_inherited(&mut harness, &full, 1, tasks(3));
        configure(&mut harness, 2, &[Arc::clone(&full)]);
        harness.scheduler.upsert_executor(harness::entry(1, "r1-0"), harness.now);
        harness.report(1, vec![], vec![]);
        harness.store_batch();
        harness.report(1, vec![], vec![]);
        accept(&mut harness, &full, 2, tasks(4));
        let starts = harness.start_tasks();
        assert_eq!(starts.len(), 1, "three inherited tasks may run on the silent executor");
        harness.advance(100);
        assert!(harness.start_tasks().is_empty());
    }
);

test_case!(
    /// Guards against an account that can start nothing while one executor of many is silent: it can
    /// hold no more than fits into it.
    a_silent_executor_counts_as_much_as_fits_into_it,
    || {
        let cap = account("large", 20 * TASK_CPU, 1000);
        let mut harness = SchedulerHarness::new_without_reports(2, 0);
        harness.load_executor(0, None);
        load_inherited(&mut harness, &cap, 1, tasks(200));
        configure(&mut harness, 2, &[Arc::clone(&cap)]);
        for number in 1..=3 {
            harness.scheduler.upsert_executor(harness::entry(number, "r1-0"), harness.now);
            harness.report(number, vec![], vec![]);
        }
        harness.store_batch();
        (1..=3).for_each(|number| harness.report(number, vec![], vec![]));
        accept(&mut harness, &cap, 2, tasks(50));
        let silent = usize::try_from(harness::CAPACITY / TASK_CPU).expect("small");
        assert_eq!(harness.start_tasks().len(), 20 - silent);
    }
);

test_case!(
    /// Guards against a flood that is back within its share after a change of owner.
    a_flood_stays_beyond_its_share_after_a_change_of_owner,
    || {
        let flood = account("flood", 0, 2);
        let mut harness = SchedulerHarness::new(2, 1);
        configure(&mut harness, 2, &[Arc::clone(&flood)]);
        for key in 1..=8 {
            load_inherited(&mut harness, &flood, key, tasks(1));
        }
        // Eight jobs at two a second are four seconds; one second of burst is allowed.
        accept(&mut harness, &flood, 100, tasks(1));
        let lines = harness.scheduler.explain(JobKey::new(100), harness.now, START_UNIX_MS);
        let lines = lines.expect("a known job").join("\n");
        assert!(lines.contains("beyond the share"), "{lines}");
    }
);

test_case!(
    /// Guards against callers that read, cancel or submit again the jobs of another account.
    jobs_belong_to_their_account,
    || {
        let (holder, other) = (limited("holder"), limited("other"));
        let mut harness = harness_with(1, &[Arc::clone(&holder), Arc::clone(&other)]);
        accept(&mut harness, &holder, 1, tasks(1));
        let outcome = submit_as(&mut harness, &other, 1, tasks(1));
        assert_eq!(outcome, SubmitOutcome::OtherAccount);
        assert_eq!(submit_as(&mut harness, &holder, 1, tasks(1)), SubmitOutcome::Known);
        let key = JobKey::new(1);
        let scheduler = &harness.scheduler;
        assert!(scheduler.is_visible(key, AccountAccess::Account(&holder.name)));
        assert!(!scheduler.is_visible(key, AccountAccess::Account(&other.name)));
        assert!(scheduler.is_visible(key, AccountAccess::Any));
    }
);

test_case!(
    /// Guards against a job that loses its account when its owner changes, or when it ends.
    the_account_is_in_the_record_for_good,
    || {
        let holder = limited("holder");
        let mut harness = harness_with(1, &[Arc::clone(&holder)]);
        accept(&mut harness, &holder, 1, tasks(3));
        assert_eq!(harness.start_tasks().len(), 3);
        harness.scheduler.cancel(JobKey::new(1), harness.now);
        let batch = harness.scheduler.begin_batch(harness.now, START_UNIX_MS);
        let record = batch.records[0].1.as_ref().expect("a record");
        let bytes = record.encode().expect("encodable");
        let JobRecord::Ended(ended) = JobRecord::decode(&bytes).expect("decodable") else {
            panic!("a live job");
        };
        let account = ended.account.expect("an account");
        assert_eq!(account.name, holder.name);
        assert_eq!(account.stopping, ResourceVector::new(3 * TASK_CPU, 3 * 64, 0));
    }
);

test_case!(
    /// Guards against batch tasks that fill the limit of their account, so that its next urgent job
    /// waits for seconds.
    batch_tasks_leave_room_for_the_urgent_ones_of_their_account,
    || {
        let mixed = limited("mixed");
        let mut harness = harness_with(1, &[Arc::clone(&mixed)]);
        let batch = Arc::clone(&harness.rules);
        harness.rules = Arc::new(queue("urgent", 0, 0, 0));
        accept(&mut harness, &mixed, 1, job(vec![step(2, TASK_CPU, 20, vec![])]));
        let urgent = harness.start_tasks();
        assert_eq!(urgent.len(), 2);
        let ends: Vec<_> = urgent
            .iter()
            .map(|order| harness.run_end(order.task, order.run, EndKind::Done))
            .collect();
        harness.report(0, vec![], ends);
        harness.store_batch();
        let quick = std::mem::replace(&mut harness.rules, batch);
        accept(&mut harness, &mixed, 2, tasks(10));
        assert_eq!(harness.start_tasks().len(), 2, "room for two urgent tasks");
        harness.rules = quick;
        accept(&mut harness, &mixed, 3, job(vec![step(2, TASK_CPU, 20, vec![])]));
        let starts = harness.start_tasks();
        assert_eq!(starts.iter().filter(|order| order.task == task(3, 0, order.task.index)).count(), 2);
    }
);

test_case!(
    /// Guards against a wide batch task or gang that never starts, because room is always kept free for
    /// urgent tasks of its account.
    room_for_urgent_tasks_keeps_no_batch_step_out_for_ever,
    || {
        let mixed = limited("mixed");
        let mut harness = harness_with(1, &[Arc::clone(&mixed)]);
        let batch = Arc::clone(&harness.rules);
        harness.rules = Arc::new(queue("urgent", 0, 0, 0));
        let unstored = submit_as(&mut harness, &mixed, 1, job(vec![step(3, TASK_CPU, 20, vec![])]));
        assert_eq!(unstored, SubmitOutcome::Accepted);
        harness.scheduler.cancel(JobKey::new(1), harness.now);
        harness.store_batch();
        harness.rules = batch;
        let gang = StepSpec { gang: true, ..step(3, TASK_CPU, 20, vec![]) };
        accept(&mut harness, &mixed, 2, job(vec![gang]));
        assert_eq!(harness.start_tasks().len(), 3);
    }
);

test_case!(
    /// Guards against accounts and limits that act where the configuration has none.
    without_accounts_nothing_is_limited,
    || {
        let mut harness = SchedulerHarness::new(1, 1);
        harness.submit(1, tasks(8));
        harness.store_batch();
        assert!(harness.start_tasks().len() > CAP_TASKS);
        assert!(harness.scheduler.summary(Millis::new(0)).accounts.is_empty());
    }
);
