//! Tests of the wait for a place near the data of a step: the decision alone, and a cell in which
//! many jobs want the same rack, beside never and always waiting.

mod common;

use std::sync::Arc;

use common::test_case;
use magnolia_bench::heavy_days::site_queues;
use magnolia_bench::load_simulation::{LoadSimulation, QueueResult, job, step};
use magnolia_scheduler::{
    SchedulerSettings, StepSpec, TurnoverMeter, WaitDecision, WaitLoad, decide_locality_wait,
};
use magnolia_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A task of 800 ms that would take twice as long elsewhere, where 20 processors become free a second.
const LOAD: WaitLoad = WaitLoad {
    near_run: Millis::new(800),
    far_permille: 2000,
    turnover_millis: 20_000,
    wanted_millis: 4000,
    waited: Millis::new(0),
    slack: Millis::new(600),
};

test_case!(
    /// Guards against a wait that costs more than it saves, and against one that is not begun though it
    /// pays.
    a_task_waits_as_long_as_it_pays,
    || {
        assert_eq!(decide_locality_wait(&LOAD), WaitDecision::Wait(Millis::new(200)));
        let queue = WaitLoad { wanted_millis: 16_000, ..LOAD };
        assert_eq!(decide_locality_wait(&queue), WaitDecision::StartElsewhere);
        let small_factor = WaitLoad { far_permille: 1200, ..LOAD };
        assert_eq!(decide_locality_wait(&small_factor), WaitDecision::StartElsewhere);
        let late = WaitLoad { slack: Millis::new(100), ..LOAD };
        assert_eq!(decide_locality_wait(&late), WaitDecision::StartElsewhere);
        let tired = WaitLoad { waited: Millis::new(700), ..LOAD };
        assert_eq!(decide_locality_wait(&tired), WaitDecision::StartElsewhere);
    }
);

test_case!(
    /// Guards against tasks that wait for a rack on which nothing ends, or for longer than a job may
    /// stand still.
    a_task_waits_neither_in_vain_nor_for_ever,
    || {
        let unable = WaitLoad { turnover_millis: 0, ..LOAD };
        assert_eq!(decide_locality_wait(&unable), WaitDecision::StartElsewhere);
        let long = WaitLoad { near_run: Millis::from_secs(60), wanted_millis: 50_000, ..LOAD };
        assert_eq!(decide_locality_wait(&long), WaitDecision::StartElsewhere);
        let extreme = WaitLoad {
            near_run: Millis::new(u64::MAX),
            far_permille: u64::MAX,
            turnover_millis: 1,
            wanted_millis: u64::MAX,
            waited: Millis::new(u64::MAX),
            slack: Millis::new(u64::MAX),
        };
        assert_eq!(decide_locality_wait(&extreme), WaitDecision::StartElsewhere);
    }
);

test_case!(
    /// Guards against a turnover that is remembered after a rack has come to a stand.
    the_turnover_of_a_rack_decays,
    || {
        let mut meter = TurnoverMeter::default();
        for step in 0..200 {
            meter.record(1000, Millis::new(step * 50));
        }
        let rate = meter.rate(Millis::new(10_000));
        assert!((17_000..23_000).contains(&rate), "{rate}");
        assert!(meter.rate(Millis::new(20_000)) < 200);
    }
);

/// Tasks away from their data run three times as long, as on one of the users' sites.
const FAR_FACTOR: f64 = 3.0;

/// Simulates 15 s in which `hot` of the urgent jobs have their data on one rack of eight executors;
/// `far_permille` is what the scheduler takes for the factor.
fn simulate(hot: f64, far_permille: u64, seed: u64) -> QueueResult {
    let settings = SchedulerSettings::new(Millis::new(6000)).with_far_permille(far_permille);
    let executors = vec![(1.0, 16_000); 48];
    let mut simulation = LoadSimulation::with_settings(&executors, site_queues(), 7, settings);
    simulation.far_factor = FAR_FACTOR;
    simulation.eligible_share = 1.0;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for key in 0..750 {
        if random.random::<f64>() < 0.4 {
            let tasks = random.random_range(2..8);
            let urgent = step(tasks, 2200, random.random_range(500..1000), vec![]);
            let is_hot = random.random::<f64>() < hot;
            let data_rack = is_hot.then(|| Arc::from("r1-0"));
            simulation.submit(
                0,
                key,
                job(vec![StepSpec {
                    data_rack,
                    ..urgent
                }]),
            );
        }
        simulation.advance(Millis::new(20));
    }
    simulation.advance(Millis::from_secs(30));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    simulation.results()[0]
}

macro_rules! hot_rack_test {
    ($(#[$meta:meta])* $name:ident, $hot:expr, $seed:expr, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let decided = simulate($hot, 3000, $seed);
            let never = simulate($hot, 1000, $seed);
            let always = simulate($hot, 1_000_000, $seed);
            println!("decided {decided:?}\nnever {never:?}\nalways {always:?}");
            let check: fn([QueueResult; 3]) = $body;
            check([decided, never, always]);
        }
    };
}

hot_rack_test!(
    /// Guards against jobs that run three times as long elsewhere although a place near their data is
    /// free in a moment.
    a_short_wait_for_a_rack_pays,
    0.6,
    51,
    |[decided, never, always]| {
        assert!(decided.on_time > never.on_time, "decided {decided:?}, never {never:?}");
        assert!(decided.on_time >= always.on_time, "decided {decided:?}, always {always:?}");
    }
);

hot_rack_test!(
    /// Guards against a queue before a rack that everyone wants.
    a_rack_that_everyone_wants_becomes_no_queue,
    0.9,
    52,
    |[decided, never, always]| {
        let served = |result: &QueueResult| result.on_time;
        assert!(served(&decided) > served(&never), "decided {decided:?}, never {never:?}");
        assert!(served(&decided) >= served(&always), "decided {decided:?}, always {always:?}");
    }
);

test_case!(
    /// Guards against callers that fill the memory of the owner with names of racks that no executor has.
    unknown_racks_are_not_kept,
    || {
        let settings = SchedulerSettings::new(Millis::new(6000)).with_far_permille(3000);
        let mut simulation =
            LoadSimulation::with_settings(&[(1.0, 16_000)], site_queues(), 1, settings);
        simulation.eligible_share = 1.0;
        for key in 0..200 {
            let urgent = step(1, 100, 20, vec![]);
            let data_rack = Some(Arc::from(format!("no-rack-{key}")));
            simulation.submit(0, key, job(vec![StepSpec { data_rack, ..urgent }]));
            simulation.advance(Millis::new(50));
        }
        simulation.advance(Millis::from_secs(5));
        assert_eq!(simulation.results()[0].on_time, 200);
        assert_eq!(simulation.scheduler.metered_racks(), 0);
    }
);
