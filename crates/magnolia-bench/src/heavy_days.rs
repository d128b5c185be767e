//! Full cells and bursts of batch work: what callers get, what they would get from simpler
//! decisions, and how much is lost to the time of eligibility requests and to ineligible
//! executors.

use magnolia_scheduler::{QueueRules, SchedulerSettings};
use magnolia_types::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load_simulation::{LoadSimulation, job, queue, step};
use crate::{BenchError, BenchReport, BenchScope};

/// Longest lease that the executors of the simulated cell accept, as at the users' sites.
const MAX_LEASE: Millis = Millis::new(6000);
/// Number of executors of the simulated cell: as many as two of the smaller sites of the users have
/// together.
const EXECUTORS: usize = 96;
/// Number of daemons that send eligibility requests: as many as two of the smaller sites have
/// together.
const ELIGIBILITY_DAEMONS: usize = 14;
/// Number of intervals, of `ARRIVAL_INTERVAL` each, in which jobs arrive.
const ARRIVAL_INTERVALS: usize = 1000;
/// Length of an interval in which at most one job arrives at each queue.
const ARRIVAL_INTERVAL: Millis = Millis::new(20);
/// Time after the last arrival in which late jobs may still end.
const DRAIN_TIME: Millis = Millis::from_secs(60);

/// Returns an urgent and a batch queue with the times of eligibility requests that the users state
/// for their sites.
pub fn site_queues() -> Vec<QueueRules> {
    vec![queue("urgent", 0, 21, 300), queue("batch", 2, 370, 5300)]
}

/// Returns `count` executors of a site as pairs of speed, relative to the mean, and processors, in
/// thousandths: three speeds and three sizes.
pub fn site_executors(count: usize) -> Vec<(f64, u64)> {
    let speeds = [0.8, 1.0, 1.25];
    let sizes = [32_000, 32_000, 16_000, 64_000];
    (0..count)
        .map(|number| (speeds[number % speeds.len()], sizes[number % sizes.len()]))
        .collect()
}

/// Parameters of a simulated cell.
#[derive(Clone, Debug)]
pub struct HeavyLoadSetup {
    /// Settings of the scheduler.
    pub settings: SchedulerSettings,
    queues: Vec<QueueRules>,
    /// Number of daemons that send eligibility requests.
    eligibility_daemons: usize,
    /// Share of the executors that are eligible for a step, if not the default of the simulation.
    eligible_share: Option<f64>,
}

impl HeavyLoadSetup {
    /// Creates the cell with the default settings of the scheduler.
    pub fn new() -> Self {
        Self {
            settings: SchedulerSettings::new(MAX_LEASE),
            queues: site_queues(),
            eligibility_daemons: ELIGIBILITY_DAEMONS,
            eligible_share: None,
        }
    }

    /// Changes settings of the scheduler.
    #[must_use]
    pub fn with_settings(mut self, change: impl FnOnce(&mut SchedulerSettings)) -> Self {
        change(&mut self.settings);
        self
    }

    /// Sets the number of daemons that send eligibility requests.
    #[must_use]
    pub fn with_eligibility_daemons(mut self, eligibility_daemons: usize) -> Self {
        self.eligibility_daemons = eligibility_daemons;
        self
    }

    /// Makes eligibility requests take next to no time.
    #[must_use]
    pub fn with_fast_eligibility_requests(mut self) -> Self {
        self.queues = vec![queue("urgent", 0, 1, 1), queue("batch", 2, 1, 1)];
        self
    }

    /// Makes every executor eligible for every step.
    #[must_use]
    pub fn with_all_eligible(mut self) -> Self {
        self.eligible_share = Some(1.0);
        self
    }

    fn new_simulation(&self) -> LoadSimulation {
        let executors = site_executors(EXECUTORS);
        let settings = self.settings.clone();
        let mut simulation = LoadSimulation::with_settings(
            &executors,
            self.queues.clone(),
            self.eligibility_daemons,
            settings,
        );
        if let Some(share) = self.eligible_share {
            simulation.eligible_share = share;
        }
        simulation
    }
}

impl Default for HeavyLoadSetup {
    fn default() -> Self {
        Self::new()
    }
}

/// Simulates 20 s in which urgent and batch jobs of different sizes arrive at these rates per
/// second, then 60 s in which late jobs may end.
///
/// Rates of 20 and 3.4 are somewhat more than the cell can serve.
pub fn simulate_arrivals(seed: u64, setup: &HeavyLoadSetup, rates: [f64; 2]) -> LoadSimulation {
    let mut simulation = setup.new_simulation();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut key = 0;
    for _ in 0..ARRIVAL_INTERVALS {
        for (queue, rate) in rates.into_iter().enumerate() {
            // A job arrives with this probability in an interval of 0.02 s.
            if random.random::<f64>() >= rate * 0.02 {
                continue;
            }
            key += 1;
            let spec = if queue == 0 {
                let tasks = random.random_range(2..16);
                let run_ms = random.random_range(500..1100);
                let cpu = random.random_range(2000..9000);
                job(vec![step(tasks, cpu, run_ms, vec![])])
            } else {
                let tasks = [5, 8, 13, 21, 34][random.random_range(0..5)];
                let run_ms = random.random_range(2500..5000);
                let cpu = random.random_range(4000..16_000);
                let first = step(tasks, cpu, run_ms, vec![]);
                job(vec![first, step(tasks, cpu, run_ms, vec![0])])
            };
            simulation.submit(queue, key, spec);
        }
        simulation.advance(ARRIVAL_INTERVAL);
    }
    simulation.advance(DRAIN_TIME);
    simulation
}

/// Compares the default decisions with simpler ones, and with cells in which eligibility requests
/// take next to no time, every executor is eligible, or both.
///
/// # Errors
///
/// Fails when the scheduler starts a task beyond the capacity of an executor or after its success.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("heavy-days");
    let setups = [
        ("as decided", HeavyLoadSetup::new()),
        (
            "one daemon asks",
            HeavyLoadSetup::new().with_eligibility_daemons(1),
        ),
        (
            "order of objectives",
            HeavyLoadSetup::new().with_settings(|settings| settings.order_work_share = 0.0),
        ),
        (
            "asks every 1.8 s",
            HeavyLoadSetup::new().with_settings(|settings| {
                settings.eligibility_interval = Millis::new(1800);
                settings.eligibility_fit_share = 1.0 / 3.0;
            }),
        ),
        (
            "calls are free",
            HeavyLoadSetup::new().with_fast_eligibility_requests(),
        ),
        (
            "all are eligible",
            HeavyLoadSetup::new().with_all_eligible(),
        ),
        (
            "both",
            HeavyLoadSetup::new()
                .with_fast_eligibility_requests()
                .with_all_eligible(),
        ),
    ];
    let loads = [
        ("full cell", [20.0, 3.4]),
        ("burst of batch work", [20.0, 6.0]),
    ];
    let (loads, setups, rate_divisor) = if scope.small {
        (&loads[..1], &setups[..2], 10.0)
    } else {
        (&loads[..], &setups[..], 1.0)
    };
    for (load, rates) in loads {
        let rates = rates.map(|rate| rate / rate_divisor);
        for seed in &scope.seeds {
            for (policy, setup) in setups {
                let simulation = simulate_arrivals(*seed, setup, rates);
                if let Some(violation) = simulation.violations.first() {
                    return Err(BenchError::Violation(violation.clone()));
                }
                add_rows(&mut report, load, policy, &simulation);
            }
        }
    }
    Ok(report)
}

fn add_rows(report: &mut BenchReport, load: &str, policy: &str, simulation: &LoadSimulation) {
    for (queue, result) in simulation.results().into_iter().enumerate() {
        let name = ["urgent", "batch"][queue];
        let sent = f64::from(result.sent.max(1));
        let mut add = |metric: &str, value: f64| {
            report.add(
                load,
                policy,
                &format!("{name} {metric} %"),
                value * 100.0 / sent,
            );
        };
        add("in time", f64::from(result.on_time));
        add("refused", f64::from(result.refused));
        add("value", simulation.value_share(queue) * sent);
        if queue == 1 {
            add("in time, bound", f64::from(simulation.max_on_time(queue)));
        }
    }
    let busy = &simulation.busy_shares;
    if !busy.is_empty() {
        let mean = busy.iter().sum::<f64>() / busy.len() as f64;
        report.add(
            load,
            policy,
            "processors in use while steps wait %",
            mean * 100.0,
        );
    }
    report.add(
        load,
        policy,
        "calls for eligibility",
        f64::from(simulation.eligibility_requests),
    );
}
