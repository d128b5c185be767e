//! Random faults, one or two at a time, under a mixed load.

use std::path::Path;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::run::report_violations;
use super::{FaultAction, ScenarioError, ScenarioRun, lab_rules};
use crate::cell::{CellBuilder, ProxyPlan};
use crate::load::{LoadMix, RunReport};

/// Number of daemons.
const DAEMONS: usize = 5;
/// Number of workers.
const WORKERS: usize = 8;
/// Number of executors.
const EXECUTORS: usize = 6;
/// Number of data centres.
const DATA_CENTRES: usize = 3;
/// Range of the random duration of a fault in milliseconds. The delay after it is half of a
/// second random time from the same range.
const HOLD_MS: std::ops::Range<u64> = 300..5000;
/// Time until readers see a change of the instance list, in milliseconds.
const INSTANCE_LAG_MS: u64 = 2000;
/// Faults of all workers and executors, so that only the scheduler prevents overcommitment.
const IGNORE_LIMITS: &str = r#"{"ignore_limits": true}"#;

/// Settings of a torture run.
pub struct TortureSettings {
    /// Seed of all random choices.
    pub seed: u64,
    /// Duration of the load and of the injection of faults.
    pub duration: Duration,
    /// Requests and jobs per second.
    pub rate: u32,
}

/// Injects random faults and returns whether every check passed.
///
/// # Errors
///
/// Fails when the cell does not start or a call to it fails.
pub async fn run_torture(
    program: &Path,
    folder: &Path,
    settings: &TortureSettings,
) -> Result<bool, ScenarioError> {
    println!("torture run with seed {}", settings.seed);
    // A proxy accepts a connection before its target can refuse it. In front of the addresses for
    // callers, proxies would turn refused connections into requests with unknown outcome.
    let plan = ProxyPlan {
        callers: false,
        ..ProxyPlan::new_everywhere()
    };
    let builder = CellBuilder::new(program, folder)
        .with_daemons(DAEMONS)
        .with_backends(WORKERS, EXECUTORS)
        .with_data_centres(DATA_CENTRES)
        .with_rules(lab_rules())
        .with_seed(settings.seed)
        .with_backend_faults(IGNORE_LIMITS, IGNORE_LIMITS)
        .with_instance_lag_ms(INSTANCE_LAG_MS)
        .with_proxies(plan);
    let mut run = ScenarioRun::start(builder).await?;
    let seconds = settings.duration.as_secs();
    let load = run.load(settings.rate, LoadMix::new_mixed(), seconds, settings.seed)?;
    run.start_load(load);
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    let end = Instant::now() + settings.duration;
    while Instant::now() < end {
        inject(&mut run, &mut random).await?;
    }
    run.cell.wait_ready().await?;
    let history = run.finish().await?;
    print!("{}", RunReport::new(&history));
    Ok(report_violations(&history, &run.cell.history_folder()))
}

async fn inject(run: &mut ScenarioRun, random: &mut ChaCha8Rng) -> Result<(), ScenarioError> {
    let first = FaultAction::draw(random, DAEMONS, WORKERS, EXECUTORS);
    let second = FaultAction::draw(random, DAEMONS, WORKERS, EXECUTORS);
    let is_pair = random.random_range(0..2) == 1 && first != second;
    let hold = Duration::from_millis(random.random_range(HOLD_MS));
    let delay = Duration::from_millis(random.random_range(HOLD_MS) / 2);
    let cell = &mut run.cell;
    first.begin(cell).await?;
    if is_pair {
        println!("  {first} and {second} for {} ms", hold.as_millis());
        second.run(cell, hold).await?;
    } else {
        println!("  {first} for {} ms", hold.as_millis());
        tokio::time::sleep(hold).await;
    }
    first.end(cell).await?;
    tokio::time::sleep(delay).await;
    Ok(())
}
