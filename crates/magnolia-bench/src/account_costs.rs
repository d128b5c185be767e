//! Cost of client accounts: time of planning, of a submission and of the takeover bounds, and memory,
//! by the number of accounts.

use std::sync::Arc;
use std::time::Instant;

use magnolia_scheduler::{AccountName, AccountRules, AccountWeight};
use magnolia_types::{Millis, ResourceVector};

use crate::heavy_days::{site_executors, site_queues};
use crate::load_simulation::{LoadSimulation, job, step};
use crate::memory::resident_bytes;
use crate::{BenchError, BenchReport, BenchScope};

/// Numbers of accounts between which costs are compared: today's, and the bounds of the target.
const ACCOUNTS: [usize; 3] = [20, 1000, 10_000];
/// Executors of the cell: as many as at the largest sites of the users.
const EXECUTORS: usize = 350;
/// Jobs that wait, spread over the accounts.
const WAITING_JOBS: usize = 1000;
/// Measured planning passes and submissions.
const MEASUREMENTS: u32 = 200;

/// Measures a full cell in which every account that has a job stands at its limit or waits.
///
/// # Errors
///
/// Fails when a generated name is not valid or memory usage can't be read.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("accounts");
    let divisor = if scope.small { 100 } else { 1 };
    let mut measured = Vec::new();
    for count in ACCOUNTS.map(|count| (count / divisor).max(1)) {
        let scenario = format!("{count} accounts");
        let before = resident_bytes()?;
        let mut simulation = full_cell(count, WAITING_JOBS / divisor)?;
        let grown = resident_bytes()? - before;
        let mut add = |metric: &str, value: f64| report.add(&scenario, "owner", metric, value);
        add("memory of the cell, MB", grown / 1e6);
        let now = simulation.now();
        add(
            "planning pass, us",
            mean_us(|| simulation.scheduler.plan(now)),
        );
        let mut key = 1 << 40;
        let urgent = job(vec![step(4, 2500, 800, vec![])]);
        let account = account(0)?;
        add(
            "submission, us",
            mean_us(|| {
                key += 1;
                simulation.submit_as(Some(&account), 0, key, urgent.clone());
            }),
        );
        add(
            "summary for operators, us",
            mean_us(|| drop(simulation.scheduler.summary(now))),
        );
        // Measured cells are not dropped, because a later one would reuse their memory.
        measured.push(simulation);
    }
    Ok(report)
}

fn account(number: usize) -> Result<Arc<AccountRules>, BenchError> {
    let rules = AccountRules::new(AccountName::new(&format!("account-{number}"))?)
        .with_weight(AccountWeight::new(2000))
        .with_cap(ResourceVector::new(200_000, 0, 0));
    Ok(Arc::new(rules))
}

/// Returns a cell with so many accounts, in which batch jobs fill the executors and wait.
fn full_cell(accounts: usize, jobs: usize) -> Result<LoadSimulation, BenchError> {
    let accounts = (0..accounts)
        .map(account)
        .collect::<Result<Vec<_>, BenchError>>()?;
    let mut simulation = LoadSimulation::new(&site_executors(EXECUTORS), site_queues(), 34);
    simulation.set_accounts(&accounts);
    for number in 0..jobs {
        let account = &accounts[number % accounts.len()];
        let spec = job(vec![step(12, 5500, 60_000, vec![])]);
        let key = u64::try_from(number).unwrap_or(u64::MAX);
        simulation.submit_as(Some(account), 1, key, spec);
    }
    simulation.advance(Millis::from_secs(3));
    Ok(simulation)
}

/// Returns the mean time of a call in microseconds.
fn mean_us(mut call: impl FnMut()) -> f64 {
    let started = Instant::now();
    (0..MEASUREMENTS).for_each(|_| call());
    started.elapsed().as_secs_f64() * 1e6 / f64::from(MEASUREMENTS)
}
