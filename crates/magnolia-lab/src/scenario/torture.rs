//! Random faults, alone and in pairs, under a mixed load.

use std::path::Path;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use super::run::report_violations;
use super::{FaultAction, ScenarioError, ScenarioRun, lab_rules};
use crate::cell::{CellBuilder, ProxyPlan};
use crate::load::{LoadMix, RunReport};

/// Daemons of a torture run.
const DAEMONS: usize = 5;
/// Workers of a torture run.
const WORKERS: usize = 8;
/// Executors of a torture run.
const EXECUTORS: usize = 6;
/// Data centres of a torture run.
const DATA_CENTRES: usize = 3;
/// Times in which a fault is held and the cell is left alone, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 300..5000;

/// Time until a change of the instance list is visible.
const INSTANCE_LAG_MS: u64 = 2000;
/// Faults of all back ends: the scheduler alone keeps them from being overcommitted.
const IGNORE_LIMITS: &str = r#"{"ignore_limits": true}"#;

/// What a torture run does.
pub struct TortureSettings {
    /// Seed of all choices.
    pub seed: u64,
    /// Time in which faults are injected.
    pub duration: Duration,
    /// Operations a second.
    pub rate: u32,
}

/// Runs random faults and returns whether every check passed.
///
/// # Errors
///
/// Fails when the cell does not start or obey.
pub async fn run_torture(
    program: &Path,
    folder: &Path,
    settings: &TortureSettings,
) -> Result<bool, ScenarioError> {
    println!("torture with seed {}", settings.seed);
    // A proxy accepts before its target refuses. In front of the callers' address it would turn
    // refused connections into lost requests.
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
    let rest = Duration::from_millis(random.random_range(HOLD_MS) / 2);
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
    tokio::time::sleep(rest).await;
    Ok(())
}
