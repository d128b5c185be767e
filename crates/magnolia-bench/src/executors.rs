//! Choice of executors for requests: by free slots, at random and by round-trip time.
//!
//! Requests reach an entry, a daemon that accepts requests. It forwards each one to the owner of a
//! group of executors, which assigns the slots of its group. The baseline without owners gives each
//! entry a fixed share of the slots of all executors.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::Duration;

use hdrhistogram::Histogram;
use magnolia_policy::{
    BackendView, RandomChooser, RoundTripChooser, RoutingChooser, TwoChoiceChooser,
};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::workload::{exponential, generator};
use crate::{BenchError, BenchReport, BenchScope};

/// Data centre of each entry.
const ENTRIES: [usize; 7] = [0, 0, 0, 1, 1, 2, 2];
/// Number of data centres; each has one group of executors with one owner.
const DATA_CENTRES: usize = 3;
/// Number of executors of the cell.
const EXECUTORS: usize = 50;
/// Number of slots of an executor.
const SLOTS: u32 = 8;
/// Mean service time, in milliseconds.
const SERVICE_MS: f64 = 5.0;
/// One-way latency within a data centre, in milliseconds.
const LOCAL_MS: f64 = 0.1;
/// Interval at which entries learn the free slots of all owners, as daemons do from pings.
const REFRESH_MS: f64 = 500.0;
/// Weight of a new sample in the smoothed round-trip time.
const NEW_SAMPLE_WEIGHT: f64 = 0.2;
/// Number of requests of a run, of which the first tenth warms the cell up.
const REQUESTS: usize = 60_000;
/// Share of the requests that uneven runs send to the first entry; the others are spread evenly
/// over all entries, the first one included.
const UNEVEN_SHARE: f64 = 0.4;
/// One-way latencies between data centres and to clients, in milliseconds.
const LATENCIES: [(f64, f64); 2] = [(0.5, 1.0), (1.0, 3.0)];
/// Offered load as a share of capacity.
const LOADS: [f64; 3] = [0.5, 0.8, 0.95];

/// How a request is assigned to a slot.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Routing {
    /// The entry chooses an owner, and the owner chooses one of its executors.
    Owners { by_entry: Choice, by_owner: Choice },
    /// Every entry assigns a fixed share of the slots of all executors.
    FixedShares,
}

/// Strategy for choosing an owner or an executor.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Choice {
    /// Power of two choices, among the candidates of the same data centre if one has a free slot.
    TwoChoices,
    /// Uniformly at random among the candidates with a free slot.
    Random,
    /// A candidate with the lowest smoothed round-trip time.
    RoundTrip,
}

/// Compares the ways of routing at several loads and latencies.
///
/// # Errors
///
/// Never fails; the signature is that of all benchmarks.
pub fn run(scope: &BenchScope) -> Result<BenchReport, BenchError> {
    let mut report = BenchReport::new("executors");
    let owners = |by_entry, by_owner| Routing::Owners { by_entry, by_owner };
    let policies = [
        (
            "two choices",
            owners(Choice::TwoChoices, Choice::TwoChoices),
        ),
        ("random", owners(Choice::Random, Choice::Random)),
        ("round trip", owners(Choice::RoundTrip, Choice::TwoChoices)),
        ("fixed shares", Routing::FixedShares),
    ];
    let requests = if scope.small { 2_000 } else { REQUESTS };
    for (between_ms, to_client_ms) in LATENCIES {
        for load in LOADS {
            for uneven in [false, true] {
                let spread = if uneven { "uneven" } else { "even" };
                let scenario = format!("{between_ms}/{to_client_ms} ms, load {load}, {spread}");
                for &seed in &scope.seeds {
                    for (policy, routing) in policies {
                        let setup = RoutingSetup {
                            routing,
                            between_ms,
                            to_client_ms,
                            load,
                            uneven,
                            requests,
                        };
                        let response_times = RoutingRun::new(setup, seed).run();
                        for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
                            let micros = response_times.value_at_quantile(quantile) as f64;
                            report.add(&scenario, policy, &format!("{name} ms"), micros / 1000.0);
                        }
                    }
                }
            }
        }
    }
    Ok(report)
}

/// Parameters of a run; latencies are one way.
#[derive(Clone, Copy)]
struct RoutingSetup {
    routing: Routing,
    /// Latency between data centres.
    between_ms: f64,
    /// Latency between clients and entries.
    to_client_ms: f64,
    /// Offered load as a share of capacity.
    load: f64,
    /// Whether the first entry gets more requests than the others.
    uneven: bool,
    requests: usize,
}

/// An event of the simulation; the number is the index of the request.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum RoutingEvent {
    /// A new request reaches an entry.
    Arrive,
    /// A request reaches the owner.
    AtOwner(usize),
    /// The answer of the executor reaches the owner.
    Served(usize),
    /// The answer reaches the entry.
    Answered(usize),
    /// The entries learn the free slots of all owners.
    Refresh,
}

/// A request; times are in milliseconds.
#[derive(Clone, Copy)]
struct RoutedRequest {
    /// When the client sent it.
    sent: f64,
    /// When the entry forwarded it.
    forwarded: f64,
    /// Time that the executor takes.
    service: f64,
    entry: usize,
    /// Index of the pool: the owner, or the entry itself with fixed shares.
    owner: usize,
    /// Executor that serves it, once a slot has been assigned.
    executor: usize,
    /// Free slots that the owner reports with the answer.
    free_at_answer: u32,
}

/// What an entry knows about an owner.
#[derive(Clone, Copy)]
struct OwnerView {
    /// Last reported number of free slots.
    free: u32,
    /// Smoothed time from forwarding a request to its answer, without the service time but with the
    /// wait for a slot, in milliseconds.
    round_trip: Option<f64>,
}

/// Executor slots and the requests that wait for them: those of a group, or the fixed share of an
/// entry.
struct SlotPool {
    /// Executors with their free slots.
    free: Vec<(usize, u32)>,
    /// Indexes of the waiting requests.
    queue: VecDeque<usize>,
}

/// Event-driven simulation of one run.
struct RoutingRun {
    setup: RoutingSetup,
    random: ChaCha8Rng,
    /// Time in microseconds, sequence number and event.
    events: BinaryHeap<Reverse<(u64, u64, RoutingEvent)>>,
    next_event: u64,
    /// Pools by owner, or by entry with fixed shares.
    pools: Vec<SlotPool>,
    /// What each entry knows about each owner.
    views: Vec<[OwnerView; DATA_CENTRES]>,
    requests: Vec<RoutedRequest>,
    /// Response times that clients see, in microseconds.
    response_times: Histogram<u64>,
    /// Number of answered requests.
    answered: usize,
}

impl RoutingRun {
    fn new(setup: RoutingSetup, seed: u64) -> Self {
        let pools: Vec<SlotPool> = match setup.routing {
            Routing::Owners { .. } => (0..DATA_CENTRES).map(group_pool).collect(),
            Routing::FixedShares => (0..ENTRIES.len()).map(entry_pool).collect(),
        };
        let view = OwnerView {
            free: SLOTS,
            round_trip: None,
        };
        let response_times = Histogram::new_with_max(600_000_000, 3);
        let mut run = Self {
            setup,
            random: generator(seed, 6),
            events: BinaryHeap::new(),
            next_event: 0,
            pools,
            views: vec![[view; DATA_CENTRES]; ENTRIES.len()],
            requests: Vec::new(),
            response_times: response_times.expect("the bounds are constants"),
            answered: 0,
        };
        run.push(0.0, RoutingEvent::Arrive);
        run.push(REFRESH_MS, RoutingEvent::Refresh);
        run
    }

    fn push(&mut self, at: f64, event: RoutingEvent) {
        self.next_event += 1;
        let micros = (at * 1000.0) as u64;
        self.events.push(Reverse((micros, self.next_event, event)));
    }

    fn run(mut self) -> Histogram<u64> {
        while self.answered < self.setup.requests {
            let Some(Reverse((micros, _, event))) = self.events.pop() else {
                break;
            };
            let now = micros as f64 / 1000.0;
            match event {
                RoutingEvent::Arrive => self.arrive(now),
                RoutingEvent::AtOwner(request) => self.arrive_at_owner(request, now),
                RoutingEvent::Served(request) => self.served(request, now),
                RoutingEvent::Answered(request) => self.answer(request, now),
                RoutingEvent::Refresh => self.refresh(now),
            }
        }
        self.response_times
    }

    /// Forwards a new request to an owner and schedules the next arrival.
    fn arrive(&mut self, now: f64) {
        if self.requests.len() >= self.setup.requests {
            return;
        }
        let capacity = EXECUTORS as f64 * f64::from(SLOTS) / SERVICE_MS;
        let gap = exponential(&mut self.random, 1.0 / (capacity * self.setup.load));
        self.push(now + gap, RoutingEvent::Arrive);
        let entry = if self.setup.uneven && self.random.random_bool(UNEVEN_SHARE) {
            0
        } else {
            self.random.random_range(0..ENTRIES.len())
        };
        let owner = match self.setup.routing {
            Routing::Owners { by_entry, .. } => self.choose_owner(entry, by_entry),
            Routing::FixedShares => entry,
        };
        let service = exponential(&mut self.random, SERVICE_MS);
        self.requests.push(RoutedRequest {
            sent: now - self.setup.to_client_ms,
            forwarded: now,
            service,
            entry,
            owner,
            executor: 0,
            free_at_answer: 0,
        });
        let latency = self.latency_to_owner(entry, owner);
        self.push(
            now + latency,
            RoutingEvent::AtOwner(self.requests.len() - 1),
        );
    }

    /// Returns the one-way latency from an entry to an owner; it is 0 with fixed shares, where the
    /// entry assigns the slots itself.
    fn latency_to_owner(&self, entry: usize, owner: usize) -> f64 {
        match self.setup.routing {
            Routing::FixedShares => 0.0,
            Routing::Owners { .. } if ENTRIES[entry] == owner => LOCAL_MS,
            Routing::Owners { .. } => self.setup.between_ms,
        }
    }

    /// Returns the one-way latency to the executor from the daemon that assigned its slot.
    fn latency_to_executor(&self, request: &RoutedRequest) -> f64 {
        let from = match self.setup.routing {
            Routing::FixedShares => ENTRIES[request.entry],
            Routing::Owners { .. } => request.owner,
        };
        if from == request.executor % DATA_CENTRES {
            LOCAL_MS
        } else {
            self.setup.between_ms
        }
    }

    fn choose_owner(&mut self, entry: usize, choice: Choice) -> usize {
        let views = self.views[entry];
        let owners = views.iter().enumerate().map(|(index, view)| BackendView {
            index,
            free_slots: view.free,
            same_data_centre: ENTRIES[entry] == index,
            round_trip: view
                .round_trip
                .map(|ms| Duration::from_secs_f64(ms / 1000.0)),
        });
        let owners: Vec<BackendView> = owners.collect();
        let chosen = chooser(choice).choose(&owners, &mut self.random);
        // If no owner has a free slot, the request waits at the owner in its own data centre.
        chosen.unwrap_or(ENTRIES[entry])
    }

    /// Starts the request on a free slot of the pool or queues it.
    fn arrive_at_owner(&mut self, request: usize, now: f64) {
        let pool = self.requests[request].owner;
        let choice = match self.setup.routing {
            Routing::Owners { by_owner, .. } => by_owner,
            Routing::FixedShares => Choice::TwoChoices,
        };
        let executors = self.pools[pool].free.iter().enumerate();
        let entry_data_centre = ENTRIES[self.requests[request].entry];
        let is_fixed = self.setup.routing == Routing::FixedShares;
        let views = executors.map(|(index, &(executor, free))| BackendView {
            index,
            free_slots: free,
            same_data_centre: !is_fixed || executor % DATA_CENTRES == entry_data_centre,
            round_trip: None,
        });
        let views: Vec<BackendView> = views.collect();
        match chooser(choice).choose(&views, &mut self.random) {
            Some(index) => self.start(request, pool, index, now),
            None => self.pools[pool].queue.push_back(request),
        }
    }

    /// Occupies a slot of the executor at `index` in the pool.
    fn start(&mut self, request: usize, pool: usize, index: usize, now: f64) {
        let (executor, free) = self.pools[pool].free[index];
        self.pools[pool].free[index].1 = free - 1;
        self.requests[request].executor = executor;
        let latency = self.latency_to_executor(&self.requests[request]);
        let end = now + 2.0 * latency + self.requests[request].service;
        self.push(end, RoutingEvent::Served(request));
    }

    /// Frees the slot of a request whose answer reached the owner, and starts the next request of
    /// the queue.
    fn served(&mut self, request: usize, now: f64) {
        let RoutedRequest {
            owner,
            entry,
            executor,
            ..
        } = self.requests[request];
        let pool = &mut self.pools[owner];
        let index = pool.free.iter().position(|&(id, _)| id == executor);
        let index = index.unwrap_or_default();
        pool.free[index].1 += 1;
        let next = pool.queue.pop_front();
        if let Some(next) = next {
            self.start(next, owner, index, now);
        }
        // The reported number is taken after the next waiting request has occupied the slot.
        self.requests[request].free_at_answer = self.free_in(owner);
        let latency = self.latency_to_owner(entry, owner);
        self.push(now + latency, RoutingEvent::Answered(request));
    }

    /// Records the answer at the entry and its response time.
    fn answer(&mut self, request: usize, now: f64) {
        let routed = self.requests[request];
        self.answered += 1;
        if matches!(self.setup.routing, Routing::Owners { .. }) {
            let view = &mut self.views[routed.entry][routed.owner];
            view.free = routed.free_at_answer;
            let sample = now - routed.forwarded - routed.service;
            let smoothed = view.round_trip.unwrap_or(sample);
            view.round_trip = Some(smoothed + NEW_SAMPLE_WEIGHT * (sample - smoothed));
        }
        if request >= self.setup.requests / 10 {
            let took = now + self.setup.to_client_ms - routed.sent;
            self.response_times
                .saturating_record((took * 1000.0) as u64);
        }
    }

    /// Returns the number of free slots of a pool.
    fn free_in(&self, pool: usize) -> u32 {
        let pool = self.pools[pool].free.iter();
        pool.map(|(_, free)| free).sum()
    }

    /// Updates what all entries know about the free slots of the owners.
    fn refresh(&mut self, now: f64) {
        if let Routing::Owners { .. } = self.setup.routing {
            let free: Vec<u32> = (0..DATA_CENTRES).map(|owner| self.free_in(owner)).collect();
            for view in &mut self.views {
                for (owner, view) in view.iter_mut().enumerate() {
                    view.free = free[owner];
                }
            }
        }
        self.push(now + REFRESH_MS, RoutingEvent::Refresh);
    }
}

/// Returns all slots of the executors in a data centre.
fn group_pool(data_centre: usize) -> SlotPool {
    let executors = (0..EXECUTORS).filter(|executor| executor % DATA_CENTRES == data_centre);
    SlotPool {
        free: executors.map(|executor| (executor, SLOTS)).collect(),
        queue: VecDeque::new(),
    }
}

/// Returns the slots of an entry when all slots are assigned to the entries in turn.
fn entry_pool(entry: usize) -> SlotPool {
    let slots = EXECUTORS * SLOTS as usize;
    let mut free = vec![0; EXECUTORS];
    for slot in (entry..slots).step_by(ENTRIES.len()) {
        free[slot % EXECUTORS] += 1;
    }
    SlotPool {
        free: free.into_iter().enumerate().collect(),
        queue: VecDeque::new(),
    }
}

fn chooser(choice: Choice) -> &'static dyn RoutingChooser {
    match choice {
        Choice::TwoChoices => &TwoChoiceChooser,
        Choice::Random => &RandomChooser,
        Choice::RoundTrip => &RoundTripChooser,
    }
}
