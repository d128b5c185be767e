//! Admission of requests while one or two classes offer ten times the capacity: what the other
//! classes still get.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};

use hdrhistogram::Histogram;
use magnolia_config::ConfigDocument;
use magnolia_policy::{AdmissionEntry, AdmissionPolicy, FifoAdmission, new_admission};
use magnolia_types::{CustomerName, Millis, WorkClass};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::workload::{CUSTOMERS, document, exponential, generator};
use crate::{BenchError, BenchReport, BenchScope};

/// Number of executor slots.
const SLOTS: u32 = 40;
/// Mean service time, in milliseconds.
const SERVICE_MS: f64 = 10.0;
/// Usual load of each class as a share of capacity; less than the 20% that the rules guarantee it.
const USUAL_LOAD: f64 = 0.15;
/// Load of a flood as a multiple of capacity.
const FLOOD_LOAD: f64 = 10.0;
/// Time from the arrival of a request to its deadline.
const DEADLINE_MS: u64 = 500;
/// Length of each of the three phases: before, during and after the flood.
const PHASE_MS: u64 = 5_000;
/// Time at the start of the first phase in which the cell warms up.
const WARM_UP_MS: u64 = 1_000;
/// Length of the windows by which the recovery time is measured.
const WINDOW_MS: u64 = 100;
/// A class has recovered once no request of a window is refused or waits longer than this.
const RECOVERED_WAIT_MS: u64 = 50;
/// Classes from the least to the most urgent.
const CLASSES: [&str; 3] = ["batch", "service", "urgent"];
const PHASES: [&str; 3] = ["before", "during", "after"];

/// Compares fair-share admission with one bounded queue in order of arrival.
///
/// # Errors
///
/// Fails when generated names are not valid.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("floods");
    let phase = if scope.small { 300 } else { PHASE_MS };
    let rules = document("")?;
    let floods: [(&str, &[usize]); 3] = [
        ("flood of the least urgent", &[0]),
        ("flood of the most urgent", &[2]),
        ("flood of both", &[0, 2]),
    ];
    for (scenario, flooded) in floods {
        for &seed in &scope.seeds {
            for policy in ["shared", "fifo"] {
                let stats = FloodRun::new(&rules, policy, flooded, phase, seed)?.run()?;
                add_rows(&mut report, scenario, policy, &stats, phase);
            }
        }
    }
    Ok(report)
}

fn add_rows(
    report: &mut BenchReport,
    scenario: &str,
    policy: &str,
    stats: &[ClassStats],
    phase: u64,
) {
    for (class, stats) in CLASSES.iter().zip(stats) {
        for (name, phase_stats) in PHASES.iter().zip(&stats.phases) {
            let refused = phase_stats.refused as f64 * 100.0 / phase_stats.offered.max(1) as f64;
            let wait = |quantile| phase_stats.waits.value_at_quantile(quantile) as f64;
            let mut add = |metric: &str, value| {
                report.add(
                    scenario,
                    policy,
                    &format!("{class} {name}: {metric}"),
                    value,
                );
            };
            add("refused %", refused);
            add("wait p50 ms", wait(0.5));
            add("wait p99 ms", wait(0.99));
            let time = if *name == "before" {
                phase - phase.min(WARM_UP_MS)
            } else {
                phase
            };
            let slots = phase_stats.slot_ms / (f64::from(SLOTS) * time.max(1) as f64);
            add("slots %", slots * 100.0);
        }
        let metric = format!("{class}: recovered after ms");
        report.add(scenario, policy, &metric, stats.recovered_ms as f64);
    }
}

/// Measurements of a class in one phase.
struct PhaseStats {
    /// Requests that arrived in the phase.
    offered: u64,
    /// Requests that arrived in the phase and were refused or expired.
    refused: u64,
    /// Waiting times of the requests that started in the phase, in milliseconds.
    waits: Histogram<u64>,
    /// Slot time of the requests that ended in the phase, in milliseconds.
    slot_ms: f64,
}

/// Measurements of a class.
struct ClassStats {
    phases: Vec<PhaseStats>,
    /// Time from the end of the flood to the end of the last window in which a request was refused
    /// or started after more than `RECOVERED_WAIT_MS`.
    recovered_ms: u64,
}

/// A request in the queue or in service; times are in milliseconds.
struct FloodRequest {
    /// Index into `CLASSES`.
    class: usize,
    /// Index into `CUSTOMERS`.
    customer: usize,
    arrived: u64,
    /// When its service started; 0 while it is queued.
    started: u64,
}

/// Simulation of one flood, in steps of one millisecond.
struct FloodRun {
    admission: Box<dyn AdmissionPolicy>,
    random: ChaCha8Rng,
    /// Classes that flood, as indexes into `CLASSES`.
    flooded: Vec<usize>,
    /// Length of a phase, in milliseconds.
    phase: u64,
    classes: Vec<WorkClass>,
    customers: Vec<CustomerName>,
    /// Requests by ticket.
    requests: HashMap<u64, FloodRequest>,
    /// End times and tickets of the requests in service.
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    /// Free slots.
    free: u32,
    next_ticket: u64,
    stats: Vec<ClassStats>,
}

impl FloodRun {
    fn new(
        rules: &ConfigDocument,
        policy: &str,
        flooded: &[usize],
        phase: u64,
        seed: u64,
    ) -> Result<Self, BenchError> {
        let admission: Box<dyn AdmissionPolicy> = match policy {
            "fifo" => Box::new(FifoAdmission::new()),
            _ => new_admission(rules, SLOTS),
        };
        let classes = CLASSES.map(WorkClass::new).into_iter();
        let customers = CUSTOMERS.map(CustomerName::new).into_iter();
        let stats = CLASSES.map(|_| ClassStats {
            phases: PHASES.map(|_| PhaseStats::new()).into_iter().collect(),
            recovered_ms: 0,
        });
        Ok(Self {
            admission,
            random: generator(seed, 5),
            flooded: flooded.to_vec(),
            phase,
            classes: classes.collect::<Result<_, _>>()?,
            customers: customers.collect::<Result<_, _>>()?,
            requests: HashMap::new(),
            ends: BinaryHeap::new(),
            free: SLOTS,
            next_ticket: 0,
            stats: stats.into_iter().collect(),
        })
    }

    fn run(mut self) -> Result<Vec<ClassStats>, BenchError> {
        for now in 0..self.phase * 3 {
            self.finish(now);
            for class in 0..CLASSES.len() {
                self.arrive(class, now);
            }
            for ticket in self.admission.expire(Millis::new(now)) {
                self.refuse(ticket, now);
            }
            while self.free > 0 {
                let Some(ticket) = self.admission.next(Millis::new(now)) else {
                    break;
                };
                self.start(ticket, now);
            }
        }
        Ok(self.stats)
    }

    /// Returns the index of the phase at `now`, or `None` while nothing is measured.
    fn phase_of(&self, now: u64) -> Option<usize> {
        let phase = (now / self.phase) as usize;
        (phase > 0 || now >= WARM_UP_MS.min(self.phase / 2)).then_some(phase.min(2))
    }

    /// Offers the requests of a class that arrive in this millisecond.
    fn arrive(&mut self, class: usize, now: u64) {
        let in_flood = now / self.phase == 1 && self.flooded.contains(&class);
        let load = if in_flood { FLOOD_LOAD } else { USUAL_LOAD };
        let rate = load * f64::from(SLOTS) / SERVICE_MS;
        let mut at = exponential(&mut self.random, 1.0 / rate);
        while at < 1.0 {
            at += exponential(&mut self.random, 1.0 / rate);
            self.offer(class, now);
        }
    }

    /// Offers one request to the admission policy.
    fn offer(&mut self, class: usize, now: u64) {
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let customer = self.random.random_range(0..CUSTOMERS.len());
        let request = FloodRequest {
            class,
            customer,
            arrived: now,
            started: 0,
        };
        if let Some(phase) = self.phase_of(now) {
            self.stats[class].phases[phase].offered += 1;
        }
        self.requests.insert(ticket, request);
        let entry = AdmissionEntry {
            ticket,
            customer: self.customers[customer].clone(),
            class: self.classes[class].clone(),
            arrived: Millis::new(now),
            deadline: Millis::new(now + DEADLINE_MS),
        };
        if self.admission.offer(Millis::new(now), entry).is_err() {
            self.refuse(ticket, now);
        }
    }

    /// Counts a request that was refused at its arrival or expired in the queue.
    fn refuse(&mut self, ticket: u64, now: u64) {
        let Some(request) = self.requests.remove(&ticket) else {
            return;
        };
        // A refusal counts in the phase in which the request arrived.
        if let Some(phase) = self.phase_of(request.arrived) {
            self.stats[request.class].phases[phase].refused += 1;
        }
        self.extend_recovery(request.class, now);
    }

    fn start(&mut self, ticket: u64, now: u64) {
        let Some(request) = self.requests.get_mut(&ticket) else {
            return;
        };
        request.started = now;
        let (class, wait) = (request.class, now - request.arrived);
        if let Some(phase) = self.phase_of(now) {
            self.stats[class].phases[phase]
                .waits
                .saturating_record(wait);
        }
        if wait > RECOVERED_WAIT_MS {
            self.extend_recovery(class, now);
        }
        self.free -= 1;
        let service = exponential(&mut self.random, SERVICE_MS).ceil() as u64;
        self.ends.push(Reverse((now + service, ticket)));
    }

    /// Ends the requests whose service is over.
    fn finish(&mut self, now: u64) {
        while let Some(&Reverse((at, ticket))) = self.ends.peek() {
            if at > now {
                return;
            }
            self.ends.pop();
            self.free += 1;
            let Some(request) = self.requests.remove(&ticket) else {
                continue;
            };
            let took = now - request.started;
            if let Some(phase) = self.phase_of(now) {
                self.stats[request.class].phases[phase].slot_ms += took as f64;
            }
            self.admission.finished(
                Millis::new(now),
                &self.customers[request.customer],
                &self.classes[request.class],
                Millis::new(took),
            );
        }
    }

    /// Extends the recovery time of a class to the end of the present window; does nothing before
    /// the end of the flood.
    fn extend_recovery(&mut self, class: usize, now: u64) {
        let flood_end = self.phase * 2;
        if now >= flood_end {
            let window = (now - flood_end) / WINDOW_MS + 1;
            self.stats[class].recovered_ms = window * WINDOW_MS;
        }
    }
}

impl PhaseStats {
    fn new() -> Self {
        let waits = Histogram::new_with_max(60_000, 3);
        Self {
            offered: 0,
            refused: 0,
            waits: waits.expect("the bounds are constants"),
            slot_ms: 0.0,
        }
    }
}
