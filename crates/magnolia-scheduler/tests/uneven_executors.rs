//! Plays a half-empty cell whose executors and tasks are uneven, and checks that urgent jobs are on
//! time.

mod common;

use common::test_case;
use magnolia_bench::heavy_days::site_queues;
use magnolia_bench::load_simulation::{LoadSimulation, QueueResult, job, step};
use magnolia_scheduler::{LogSpeed, MeasuredSpeed, SpeedModel, TaskRef, speed_tier};
use magnolia_types::{Millis, stable_hash};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the urgent jobs that must be on time: the users' bound is 5% late.
const TARGET_SHARE: f64 = 0.95;
/// Two thirds of the executors are twice as fast as the others.
const SPEEDS: [f64; 3] = [1.3, 1.3, 0.65];

/// Tasks of a step differ by up to a third, and three in a hundred take several times as long. A long
/// task counts in the objective of its caller; here it is left out, because the simulation knows
/// only one estimate a step.
fn unevenness(task: TaskRef) -> f64 {
    let hash = stable_hash(task.to_string().as_bytes()) % 1000;
    0.85 + 0.3 * (hash as f64 / 1000.0)
}

/// Simulates 20 s at about half of the capacity of 48 executors; returns the results of the queues.
fn simulate(seed: u64) -> Vec<QueueResult> {
    let executors: Vec<(f64, u64)> = (0..48)
        .map(|number| (SPEEDS[number % SPEEDS.len()], 16_000))
        .collect();
    let mut simulation = LoadSimulation::new(&executors, site_queues(), 7);
    simulation.unevenness = Some(unevenness);
    simulation.eligible_share = 0.7;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for key in 0..1000 {
        if random.random::<f64>() < 0.09 {
            let run_ms = random.random_range(500..1200);
            let tasks = random.random_range(2..16);
            simulation.submit(0, key, job(vec![step(tasks, 2200, run_ms, vec![])]));
        } else if random.random::<f64>() < 0.009 {
            let tasks = random.random_range(6..21);
            let first = step(tasks, 4500, 5000, vec![]);
            simulation.submit(1, key, job(vec![first, step(tasks, 4500, 5000, vec![0])]));
        }
        simulation.advance(Millis::new(20));
    }
    simulation.advance(Millis::from_secs(55));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    simulation.results()
}

test_case!(
    /// Guards against urgent jobs that are late in a half-empty cell because their tasks run on slow
    /// executors, and against batch jobs that pay for it.
    urgent_jobs_are_on_time_on_uneven_executors,
    || {
        for seed in [41, 42] {
            let results = simulate(seed);
            println!("{results:?}");
            let share = results[0].on_time_share();
            assert!(share >= TARGET_SHARE, "urgent {share}: {results:?}");
            assert!(results[1].on_time_share() >= TARGET_SHARE, "batch: {results:?}");
        }
    }
);

test_case!(
    /// Guards against estimates that drift or are pulled down by the few tasks that take many times as
    /// long: all executors then seem alike.
    estimates_hold_with_heavy_tails,
    || {
        let mut random = ChaCha8Rng::seed_from_u64(43);
        let kinds = [("fast", 1.3f64), ("slow", 0.65)];
        let labels = kinds.map(|(kind, _)| [std::sync::Arc::<str>::from(kind)]);
        let mut model = SpeedModel::default();
        let mut measured = [MeasuredSpeed::default(); 2];
        let mut speeds = [1.0f64; 2];
        let mut wrong = 0;
        for run in 0..40_000 {
            // The mean of a step is of the estimates so far, as in the scheduler.
            let log_work = |random: &mut ChaCha8Rng, number: usize| {
                let tail = if random.random::<f64>() < 0.03 { 7.0f64 } else { 1.0 };
                let took = tail * random.random_range(0.7..1.3) / kinds[number].1;
                (took.ln(), took.ln() + speeds[number].ln())
            };
            let others: Vec<f64> = (0..9).map(|other| log_work(&mut random, other % 2).1).collect();
            let mean = others.iter().sum::<f64>() / 9.0;
            let number = run % 2;
            let seen = LogSpeed::new(mean - log_work(&mut random, number).0);
            measured[number].observe(seen);
            model.observe(&labels[number], seen);
            for (number, speed) in speeds.iter_mut().enumerate() {
                *speed = model.estimate(&measured[number], &labels[number]);
            }
            if run >= 200 {
                wrong += u32::from(speed_tier(speeds[0]) <= speed_tier(speeds[1]));
            }
        }
        // Several long tasks in a row make an executor look slow for a while.
        assert!(wrong <= 800, "{wrong} of 40,000 estimates are in the wrong order");
        let ratio = speeds[0] / speeds[1];
        assert!((1.5..2.7).contains(&ratio), "{speeds:?}");
    }
);

test_case!(
    /// Guards against an executor that has run nothing yet and counts as average although its kind is
    /// known.
    a_new_executor_has_the_speed_of_its_kind,
    || {
        let mut model = SpeedModel::default();
        let [fast, slow] = ["a", "b"].map(|kind| [std::sync::Arc::<str>::from(kind)]);
        for _ in 0..30 {
            model.observe(&fast, LogSpeed::new(0.26));
            model.observe(&slow, LogSpeed::new(-0.43));
        }
        let new = MeasuredSpeed::default();
        assert!(model.estimate(&new, &fast) > 1.2);
        assert!(model.estimate(&new, &slow) < 0.8);
        assert!((model.estimate(&new, &[]) - 1.0).abs() < 0.01);
    }
);
