//! Plays a cell in which one client account sends many times its usual, and checks what the callers
//! of the other accounts get, beside the same load without shares.

use std::sync::Arc;

use magnolia_bench::heavy_days::{site_executors, site_queues};
use magnolia_bench::load_simulation::{LoadSimulation, QueueResult, job, step};
use magnolia_scheduler::{AccountName, AccountRules, AccountWeight};
use magnolia_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the jobs of the other accounts that must be on time during a flood: the users' aim for
/// their worst accounts.
const TARGET_SHARE: f64 = 0.85;
/// Number of accounts; all send the same usual load.
const ACCOUNTS: usize = 10;
/// Urgent and batch jobs that all accounts together send usually, a second.
const USUAL_RATES: [f64; 2] = [16.0, 1.5];
/// Name of the account that floods.
const FLOODING: &str = "account-0";

fn accounts(weight: AccountWeight) -> Vec<Arc<AccountRules>> {
    let name = |number| AccountName::new(&format!("account-{number}")).expect("valid name");
    let rules = |number| Arc::new(AccountRules::new(name(number)).with_weight(weight));
    (0..ACCOUNTS).map(rules).collect()
}

/// Simulates 20 s of arrivals, of which one account sends `flood` times its usual from the fourth to
/// the fourteenth second, with or without shares. Returns the results of the other accounts and of
/// the one that floods.
fn simulate_flood(flood: f64, with_shares: bool, seed: u64) -> (QueueResult, QueueResult) {
    // The platform's weights are about twice the usual rate.
    let usual = USUAL_RATES.iter().sum::<f64>() / ACCOUNTS as f64;
    let weight = if with_shares {
        1.9 * usual * 1000.0
    } else {
        0.0
    };
    let accounts = accounts(AccountWeight::new(weight as u64));
    let mut simulation = LoadSimulation::new(&site_executors(48), site_queues(), 7);
    simulation.set_accounts(&accounts);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut key = 0;
    for interval in 0..1000 {
        let floods = (200..700).contains(&interval);
        for (number, account) in accounts.iter().enumerate() {
            let factor = if number == 0 && floods { flood } else { 1.0 };
            for (queue, rate) in USUAL_RATES.into_iter().enumerate() {
                if random.random::<f64>() >= rate / ACCOUNTS as f64 * factor * 0.02 {
                    continue;
                }
                key += 1;
                let spec = if queue == 0 {
                    let run_ms = random.random_range(500..1100);
                    job(vec![step(random.random_range(2..11), 2500, run_ms, vec![])])
                } else {
                    let tasks = random.random_range(6..21);
                    let run_ms = random.random_range(2500..5000);
                    let first = step(tasks, 5500, run_ms, vec![]);
                    job(vec![first, step(tasks, 5500, run_ms, vec![0])])
                };
                simulation.submit_as(Some(account), queue, key, spec);
            }
        }
        simulation.advance(Millis::new(20));
    }
    simulation.advance(Millis::from_secs(55));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    let others = simulation.account_result(FLOODING, false);
    (others, simulation.account_result(FLOODING, true))
}

macro_rules! flood_test {
    ($(#[$meta:meta])* $name:ident, $flood:expr, $seed:expr, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let (others, flooding) = simulate_flood($flood, true, $seed);
            let (others_before, flooding_before) = simulate_flood($flood, false, $seed);
            println!("with shares: others {others:?}, flooding {flooding:?}");
            println!("without: others {others_before:?}, flooding {flooding_before:?}");
            let check: fn([QueueResult; 4]) = $body;
            check([others, flooding, others_before, flooding_before]);
        }
    };
}

flood_test!(
    /// Guards against an account that sends many times its usual and makes the jobs of others late,
    /// or has them refused.
    a_flood_of_one_account_delays_itself,
    70.0,
    31,
    |[others, _, others_before, _]| {
        let share = others.on_time_share();
        assert!(share >= TARGET_SHARE, "{share}");
        let before = others_before.on_time_share();
        assert!(share > before + 0.05, "{share} with shares, {before} without");
    }
);

flood_test!(
    /// Guards against shares that leave processors idle: an account that sends more than its share to
    /// a cell with room is served.
    an_account_beyond_its_share_gets_what_others_leave,
    3.0,
    32,
    |[others, flooding, _, flooding_before]| {
        assert!(others.on_time_share() >= TARGET_SHARE, "{others:?}");
        let (share, before) = (flooding.on_time_share(), flooding_before.on_time_share());
        assert!(share >= 0.9 * before, "{share} with shares, {before} without");
    }
);
