//! Simulates the loads of the users' two sites and compares the results with those of simpler
//! decisions.

use magnolia_bench::heavy_days::{HeavyLoadSetup, simulate_arrivals, site_executors, site_queues};
use magnolia_bench::load_simulation::{LoadSimulation, QueueResult, job, step};
use magnolia_scheduler::SchedulerSettings;
use magnolia_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Share of the jobs that must be on time under heavy load: the users' target at full growth.
const TARGET_SHARE: f64 = 0.90;

/// Simulates 20 s of arrivals at the given rates per second, then 55 s, which is as long as a late
/// batch job may take. `eligibility_daemons` is the number of daemons that send eligibility
/// requests.
fn simulate_load(
    executors: usize,
    eligibility_daemons: usize,
    urgent_rate: f64,
    batch_rate: f64,
    seed: u64,
) -> (Vec<QueueResult>, LoadSimulation) {
    let executors = site_executors(executors);
    let mut simulation = LoadSimulation::new(&executors, site_queues(), eligibility_daemons);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut key = 0;
    for _ in 0..1000 {
        for (queue, rate) in [urgent_rate, batch_rate].into_iter().enumerate() {
            if random.random::<f64>() >= rate * 0.02 {
                continue;
            }
            key += 1;
            let spec = if queue == 0 {
                let tasks = random.random_range(2..11);
                job(vec![step(
                    tasks,
                    2500,
                    random.random_range(500..1100),
                    vec![],
                )])
            } else {
                let tasks = random.random_range(6..21);
                let run_ms = random.random_range(2500..5000);
                let first = step(tasks, 5500, run_ms, vec![]);
                job(vec![first, step(tasks, 5500, run_ms, vec![0])])
            };
            simulation.submit(queue, key, spec);
        }
        simulation.advance(Millis::new(20));
    }
    simulation.advance(Millis::from_secs(55));
    (simulation.results(), simulation)
}

macro_rules! load_test {
    ($(#[$meta:meta])* $name:ident, $seed:expr, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let check: fn(u64) = $body;
            check($seed);
        }
    };
}

load_test!(
    /// Guards against late urgent jobs in a burst of twice their usual load beside full batch load.
    urgent_jobs_are_in_time_in_a_burst,
    11,
    |seed| {
        let (results, simulation) = simulate_load(48, 7, 26.0, 1.5, seed);
        assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        let share = results[0].on_time_share();
        assert!(share >= TARGET_SHARE, "urgent {share}: {results:?}");
    }
);

load_test!(
    /// Guards against late batch jobs because eligibility requests keep all daemons busy while
    /// processors are idle.
    batch_jobs_are_in_time_at_the_daily_load,
    12,
    |seed| {
        let (results, simulation) = simulate_load(48, 7, 13.4, 1.2, seed);
        assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        let share = results[1].on_time_share();
        assert!(share >= TARGET_SHARE, "batch {share}: {results:?}");
    }
);

load_test!(
    /// Guards against a single daemon that sends all eligibility requests: they queue up, and
    /// urgent ones wait.
    one_eligibility_daemon_serves_callers_worse,
    13,
    |seed| {
        let (all, _) = simulate_load(48, 7, 13.4, 1.5, seed);
        let (one, _) = simulate_load(48, 1, 13.4, 1.5, seed);
        assert!(
            all[0].on_time > one[0].on_time && all[1].on_time > one[1].on_time,
            "all daemons {all:?}, one {one:?}"
        );
    }
);

load_test!(
    /// Guards against accepting a flood of batch jobs that can't be served, and against a flood
    /// that starves urgent jobs.
    a_flood_of_batch_jobs_is_refused_early,
    14,
    |seed| {
        let (results, simulation) = simulate_load(48, 7, 13.4, 8.0, seed);
        assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
        assert!(results[1].refused > 0, "nothing refused: {results:?}");
        let accepted = results[1].sent - results[1].refused;
        let served = results[1].on_time + results[1].late;
        assert!(served * 10 >= accepted * 9, "accepted but not served: {results:?}");
        let share = results[0].on_time_share();
        assert!(share >= TARGET_SHARE, "urgent {share}: {results:?}");
    }
);

load_test!(
    /// Guards against a gang that waits beside idle executors. The tickets of all members have to
    /// be valid at the same time, so that the requests for them must not be far apart.
    a_gang_starts_soon_on_an_idle_cell,
    15,
    |seed| {
        for key in seed..seed + 20 {
            let mut simulation = LoadSimulation::new(&site_executors(48), site_queues(), 7);
            let mut gang = step(20, 11_000, 1000, vec![]);
            gang.gang = true;
            simulation.submit(1, key, job(vec![gang]));
            // The users' limit of 3 s for work that could run, plus the run itself.
            simulation.advance(Millis::from_secs(4) .saturating_add(Millis::new(300)));
            let results = simulation.results();
            assert_eq!(results[1].on_time, 1, "job {key}: {results:?}");
        }
    }
);

/// Simulates 25 s of batch jobs with very different numbers of tasks at 1.4 times the capacity of
/// the executors. `order_work_share` is the part of the objective that grows with the work.
fn simulate_overload(seed: u64, order_work_share: f64) -> QueueResult {
    let mut settings = SchedulerSettings::new(Millis::new(6000));
    settings.order_work_share = order_work_share;
    let executors = site_executors(48);
    let mut simulation = LoadSimulation::with_settings(&executors, site_queues(), 7, settings);
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    for key in 1..=110 {
        let tasks = [3, 5, 8, 13, 21, 34][random.random_range(0..6)];
        let run_ms = random.random_range(2500..5000);
        let first = step(tasks, 5500, run_ms, vec![]);
        simulation.submit(1, key, job(vec![first, step(tasks, 5500, run_ms, vec![0])]));
        simulation.advance(Millis::new(220));
    }
    simulation.advance(Millis::from_secs(70));
    assert!(
        simulation.violations.is_empty(),
        "{:?}",
        simulation.violations
    );
    simulation.results()[1]
}

load_test!(
    /// Guards against wide batch jobs, which have many tasks, that delay many narrow ones under
    /// overload.
    more_batch_jobs_are_in_time_when_narrow_ones_go_first,
    16,
    |seed| {
        let simulate = |share: f64| -> Vec<QueueResult> {
            (seed..seed + 3).map(|seed| simulate_overload(seed, share)).collect()
        };
        let plain = simulate(0.0);
        let by_work = simulate(SchedulerSettings::new(Millis::new(6000)).order_work_share);
        let on_time = |results: &[QueueResult]| results.iter().map(|result| result.on_time).sum::<u32>();
        assert!(
            on_time(&by_work) * 5 >= on_time(&plain) * 6,
            "expected a fifth more on time: {plain:?}, {by_work:?}"
        );
        let unserved = |result: &QueueResult| result.sent - result.refused - result.on_time - result.late;
        let open: u32 = by_work.iter().map(unserved).sum();
        assert_eq!(open, 0, "the widest jobs must be served too: {by_work:?}");
    }
);

load_test!(
    /// Guards against capacity that stays idle while steps that could use it wait for their next
    /// eligibility request, and against urgent jobs that are late because of these requests.
    batch_steps_ask_for_room_as_it_becomes_free,
    17,
    |seed| {
        let simulate = |settings: &SchedulerSettings| -> Vec<QueueResult> {
            let setup = HeavyLoadSetup::new().with_settings(|known| known.clone_from(settings));
            let results = (seed..seed + 3).map(|seed| simulate_arrivals(seed, &setup, [20.0, 3.4]));
            results.fold(vec![QueueResult::default(); 2], |mut sum, simulation| {
                assert!(simulation.violations.is_empty(), "{:?}", simulation.violations);
                for (sum, result) in sum.iter_mut().zip(simulation.results()) {
                    sum.sent += result.sent;
                    sum.on_time += result.on_time;
                }
                sum
            })
        };
        let settings = SchedulerSettings::new(Millis::new(6000));
        let mut seldom = settings.clone();
        seldom.eligibility_interval = Millis::new(1800);
        seldom.eligibility_fit_share = 1.0 / 3.0;
        let (often, seldom) = (simulate(&settings), simulate(&seldom));
        assert!(
            often[1].on_time * 20 >= seldom[1].on_time * 23,
            "expected 15% more batch jobs on time: {seldom:?}, {often:?}"
        );
        let share = often[0].on_time_share();
        assert!(share >= TARGET_SHARE, "urgent {share}: {often:?}");
    }
);

load_test!(
    /// Guards against refusing narrow jobs during a flood of wide ones. The wide jobs are ordered
    /// after the narrow ones and don't delay them.
    narrow_jobs_are_not_refused_for_wide_ones_behind_them,
    18,
    |seed| {
        let mut simulation = LoadSimulation::new(&site_executors(48), site_queues(), 7);
        for key in seed..seed + 60 {
            let first = step(34, 5500, 5000, vec![]);
            simulation.submit(1, key, job(vec![first, step(34, 5500, 5000, vec![0])]));
        }
        let flood = simulation.results()[1];
        assert!(flood.refused > 0, "no flood: {flood:?}");
        for key in seed + 100..seed + 110 {
            simulation.submit(1, key, job(vec![step(2, 5500, 3000, vec![])]));
        }
        simulation.advance(Millis::from_secs(30));
        let results = simulation.results()[1];
        assert_eq!(results.refused, flood.refused, "narrow jobs refused: {results:?}");
        assert!(results.on_time + results.late >= 10, "accepted but not served: {results:?}");
    }
);
