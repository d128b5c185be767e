//! Executors: leases, fencing tokens, runs, and ends that are listed until they are acknowledged.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Request, Response, serve};
use crate::json::{Json, table};
use crate::record::{Record, lock};
use crate::store::Store;

/// Longest lease, in milliseconds (`max_hold_ms`).
pub const MAX_HOLD_MS: u64 = 6000;
/// Ends in one answer.
const ENDS_PER_ANSWER: usize = 500;
/// Interval at which an executor writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Interval of checks for runs that end.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

struct Active {
    run: u64,
    index: usize,
    started: Instant,
    /// Time of work, unless the task lasts.
    work: Option<Duration>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    index: usize,
    /// Whether the lease lapsed after this end.
    lapsed: bool,
}

#[derive(Default)]
struct State {
    fence: u64,
    lease_until: u64,
    running: BTreeMap<String, Active>,
    closed: BTreeMap<String, u64>,
    ends: Vec<End>,
    last_end: u64,
}

/// One executor.
pub struct Executor {
    pub id: String,
    cpu: u64,
    /// Whether its entry in the store comes from another writer, and lacks fields.
    foreign: bool,
    zero: Instant,
    born: u64,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

impl Executor {
    /// Starts an executor with `cpu` thousandths of a core, which registers itself in the store.
    pub fn start(number: usize, cpu: u64, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        Self::start_with_fence(number, cpu, 0, store, record)
    }

    /// Starts an executor of another deployment, which has seen a fencing token. Its entry in the
    /// store comes from another writer and lacks fields.
    pub fn start_foreign(fence: u64, store: &Arc<Store>, record: &Arc<Record>) -> Arc<Self> {
        Self::start_with_fence(9999, 32_000, fence, store, record)
    }

    fn start_with_fence(
        number: usize,
        cpu: u64,
        fence: u64,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        let executor = Arc::new(Self {
            id: format!("i-{number:04}"),
            cpu,
            foreign: fence > 0,
            zero: Instant::now(),
            born: born.as_millis() as u64,
            state: Mutex::new(State {
                fence,
                ..State::default()
            }),
            ended: Condvar::new(),
            record: Arc::clone(record),
        });
        let served = Arc::clone(&executor);
        let address = serve(Arc::new(move |request| served.answer(request)));
        let registered = Arc::clone(&executor);
        let store = Arc::clone(store);
        thread::spawn(move || registered.register(&store, address));
        let checked = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(CHECK_INTERVAL);
                checked.end_due_runs();
            }
        });
        executor
    }

    /// Ends a run of a task of its own accord.
    pub fn end_task(&self, task: &str, how: &'static str) {
        self.end_run(&mut lock(&self.state), task, how);
    }

    /// Returns the tasks that run.
    pub fn running(&self) -> Vec<String> {
        lock(&self.state).running.keys().cloned().collect()
    }

    fn clock(&self) -> u64 {
        self.zero.elapsed().as_millis() as u64 + 1
    }

    fn register(&self, store: &Store, address: SocketAddr) {
        for seq in 1u64.. {
            let capacity = table([
                ("cpu", self.cpu.into()),
                ("mem_mb", 131_072.into()),
                ("gpus", 0.into()),
            ]);
            let entry = table([
                ("service", "desk".into()),
                ("addr", address.to_string().into()),
                ("zone", "zone-a".into()),
                ("version", "v1".into()),
                ("slots", 8.into()),
                ("state", "ready".into()),
                ("cold_left_ms", 0.into()),
                ("seq", seq.into()),
                ("born", self.born.into()),
                ("machine", self.id.as_str().into()),
                ("capacity", capacity),
                ("labels", Json::List(vec!["a".into(), "r1-0".into()])),
            ]);
            let entry = match entry {
                Json::Table(mut fields) if self.foreign => {
                    fields.retain(|(name, _)| name != "slots" && name != "cold_left_ms");
                    Json::Table(fields)
                }
                entry => entry,
            };
            if !store.is_down() {
                store.put("keyed.servers", &self.id, &entry.to_string());
            }
            thread::sleep(HEARTBEAT);
        }
    }

    fn end_due_runs(&self) {
        let clock = self.clock();
        let mut state = lock(&self.state);
        let lapsed = clock > state.lease_until;
        let ends: Vec<(String, &'static str)> = state
            .running
            .iter()
            .filter_map(|(task, active)| {
                let done = active
                    .work
                    .is_some_and(|work| active.started.elapsed() >= work);
                let how = if lapsed { "lapsed" } else { "done" };
                (lapsed || done).then(|| (task.clone(), how))
            })
            .collect();
        for (task, how) in ends {
            self.end_run(&mut state, &task, how);
        }
        if lapsed {
            state.ends.iter_mut().for_each(|end| end.lapsed = true);
        }
    }

    fn end_run(&self, state: &mut State, task: &str, how: &'static str) {
        let Some(active) = state.running.remove(task) else {
            return;
        };
        state.last_end += 1;
        self.record.ended(active.index, how);
        state.closed.insert(task.to_owned(), active.run);
        state.ends.push(End {
            number: state.last_end,
            task: task.to_owned(),
            run: active.run,
            how,
            index: active.index,
            lapsed: false,
        });
        self.ended.notify_all();
    }

    fn body(&self, reason: Option<&str>) -> Vec<u8> {
        let mut fields = vec![
            ("clock_ms".to_owned(), self.clock().into()),
            ("born".to_owned(), self.born.into()),
        ];
        fields.extend(reason.map(|reason| ("reason".to_owned(), reason.into())));
        Json::Table(fields).to_string().into_bytes()
    }

    fn answer(&self, request: &Request) -> Option<Response> {
        if request
            .header("x-target-instance")
            .is_some_and(|id| id != self.id)
        {
            return Some((421, self.body(None)));
        }
        let text = String::from_utf8_lossy(&request.body);
        let Some(order) = Json::parse(&text) else {
            return Some((400, self.body(None)));
        };
        Some(match request.path.as_str() {
            "/api/run-start" => self.start_run(&order),
            "/api/run-stop" => self.stop_run(&order),
            "/api/hold" => self.hold(&order),
            _ => (404, b"{}".to_vec()),
        })
    }

    fn extend_lease(&self, state: &mut State, until: u64) {
        let until = until.min(self.clock() + MAX_HOLD_MS);
        state.lease_until = state.lease_until.max(until);
    }

    fn start_run(&self, order: &Json) -> Response {
        let (task, run) = (order.text("task"), order.number("run_id"));
        let mut state = lock(&self.state);
        if order.number("fencing_token") < state.fence {
            return (409, self.body(Some("fence")));
        }
        state.fence = order.number("fencing_token");
        if order.number("until_ms") <= self.clock() {
            return (409, self.body(Some("late")));
        }
        if state
            .running
            .get(&task)
            .is_some_and(|active| active.run == run)
        {
            return (200, self.body(None));
        }
        self.extend_lease(&mut state, order.number("until_ms"));
        let closed = state.closed.get(&task).copied().unwrap_or(0);
        if run <= closed || state.running.contains_key(&task) {
            return (409, self.body(Some("old")));
        }
        // The payload of a job holds the milliseconds of work of each task; none for tasks that
        // last.
        let work = order.text("spec").parse().ok().map(Duration::from_millis);
        let active = Active {
            run,
            index: self.record.started(&task, run, &self.id),
            started: Instant::now(),
            work,
        };
        state.running.insert(task, active);
        (200, self.body(None))
    }

    fn stop_run(&self, order: &Json) -> Response {
        let (task, run) = (order.text("task"), order.number("run_id"));
        let mut state = lock(&self.state);
        if order.number("fencing_token") < state.fence {
            return (409, self.body(Some("fence")));
        }
        state.fence = order.number("fencing_token");
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        if state
            .running
            .get(&task)
            .is_some_and(|active| active.run <= run)
        {
            self.end_run(&mut state, &task, "stopped");
        }
        (200, self.body(None))
    }

    fn hold(&self, order: &Json) -> Response {
        let mut state = lock(&self.state);
        if order.number("fencing_token") < state.fence {
            return (409, self.body(Some("fence")));
        }
        state.fence = order.number("fencing_token");
        if order.get("until_ms").is_some() {
            self.extend_lease(&mut state, order.number("until_ms"));
        }
        let acked = order.number("acked_through");
        for end in state
            .ends
            .iter()
            .filter(|end| end.number <= acked && !end.lapsed)
        {
            self.record.noted(end.index);
        }
        state.ends.retain(|end| end.number > acked);
        let deadline = Instant::now() + Duration::from_millis(order.number("wait_ms").min(2000));
        while state.ends.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.ended.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running = state.running.iter().map(|(task, active)| {
            let done = active.work.map_or(100, |work| {
                let done = active.started.elapsed();
                (done.as_millis() * 100 / work.as_millis().max(1)).min(99) as u64
            });
            Json::List(vec![
                task.as_str().into(),
                active.run.into(),
                "".into(),
                done.into(),
                0.into(),
            ])
        });
        let finished = state.ends.iter().take(ENDS_PER_ANSWER).map(|end| {
            Json::List(vec![
                end.number.into(),
                end.task.as_str().into(),
                end.run.into(),
                end.how.into(),
                "".into(),
            ])
        });
        let body = table([
            ("clock_ms", self.clock().into()),
            ("born", self.born.into()),
            ("running", Json::List(running.collect())),
            ("finished", Json::List(finished.collect())),
        ]);
        (200, body.to_string().into_bytes())
    }
}
