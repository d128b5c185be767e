//! Stand-in for an executor: leases, fencing, and runs whose payload sets their duration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::net::{Json, Reply, Request, json_reply, serve};
use crate::record::Record;
use crate::store::Store;

/// Longest lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 6000;
/// Interval at which an executor writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Interval of checks for runs and leases that are over.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

struct Run {
    number: u64,
    ends_at: Instant,
    began: Instant,
    ms: u64,
}

/// What a crash clears.
struct Life {
    born: u64,
    started: Instant,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    /// Highest run that was stopped or has ended, by task.
    closed: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
}

impl Life {
    fn new() -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("after 1970");
        Self {
            born: now.as_millis() as u64,
            started: Instant::now(),
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn answer(&self, reason: Option<&str>) -> Reply {
        let (clock, born) = (self.clock(), self.born);
        match reason {
            None => json_reply(200, &format!("{{\"clock_ms\":{clock},\"born\":{born}}}")),
            Some(reason) => {
                let text = format!("{{\"clock_ms\":{clock},\"born\":{born},\"reason\":\"{reason}\"}}");
                json_reply(409, &text)
            }
        }
    }

    fn extend_lease(&mut self, until: u64) {
        self.lease_until = self.lease_until.max(until.min(self.clock() + MAX_LEASE_MS));
    }
}

struct State {
    life: Life,
    alive: bool,
    seq: u64,
    /// Whether starts are rejected with 503.
    refuses_starts: bool,
    /// Starts of tasks of this job get no answer and reach the executor after this time.
    held_back: Option<(String, Duration)>,
    /// Whether a start was held back.
    has_held_back: bool,
}

pub struct Executor {
    pub id: String,
    pub capacity: (u64, u64, u64),
    pub labels: Vec<String>,
    state: Mutex<State>,
    ended: Condvar,
    record: Arc<Record>,
}

impl Executor {
    /// Starts an executor that registers itself in the store.
    pub fn start(
        id: &str,
        capacity: (u64, u64, u64),
        labels: &[&str],
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let state = State {
            life: Life::new(),
            alive: true,
            seq: 0,
            refuses_starts: false,
            held_back: None,
            has_held_back: false,
        };
        let executor = Arc::new(Self {
            id: id.to_owned(),
            capacity,
            labels: labels.iter().map(|label| (*label).to_owned()).collect(),
            state: Mutex::new(state),
            ended: Condvar::new(),
            record: Arc::clone(record),
        });
        let server = Arc::clone(&executor);
        let address = serve(move |request| server.answer_by_link(request));
        let (timer, writer, store) = (Arc::clone(&executor), Arc::clone(&executor), Arc::clone(store));
        thread::spawn(move || loop {
            thread::sleep(CHECK_INTERVAL);
            timer.end_due_runs();
        });
        thread::spawn(move || loop {
            writer.write_entry(&store, address);
            thread::sleep(HEARTBEAT);
        });
        executor
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    pub fn set_refuses_starts(&self, refuses: bool) {
        self.lock().refuses_starts = refuses;
        self.record.line(&format!("{}: rejects starts with 503: {refuses}", self.id));
    }

    /// Holds back the next start of a job on its way to the executor.
    pub fn hold_back_start(&self, job: &str, delay: Duration) {
        self.lock().held_back = Some((job.to_owned(), delay));
    }

    pub fn has_held_back(&self) -> bool {
        self.lock().has_held_back
    }

    pub fn clear_held_back(&self) {
        self.lock().held_back = None;
    }

    /// Kills the process: its connections break and its runs are lost.
    pub fn kill(&self) {
        let mut state = self.lock();
        state.alive = false;
        for (task, run) in std::mem::take(&mut state.life.running) {
            self.record.ended(&self.id, &task, run.number, "lost with the executor");
        }
        self.ended.notify_all();
        self.record.line(&format!("{}: process killed", self.id));
    }

    /// Starts the process again, under the same id and address.
    pub fn restart(&self) {
        let mut state = self.lock();
        state.life = Life::new();
        state.alive = true;
        self.record.line(&format!("{}: process started again, born {}", self.id, state.life.born));
    }

    fn write_entry(&self, store: &Store, address: SocketAddr) {
        let mut state = self.lock();
        if !state.alive {
            return;
        }
        state.seq += 1;
        let (cpu, memory, gpus) = self.capacity;
        let labels: Vec<String> = self.labels.iter().map(|label| format!("\"{label}\"")).collect();
        let entry = format!(
            "{{\"service\":\"desk\",\"addr\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{},\"born\":{},\
             \"capacity\":{{\"cpu\":{cpu},\"mem_mb\":{memory},\"gpus\":{gpus}}},\"labels\":[{}]}}",
            state.seq,
            state.life.born,
            labels.join(",")
        );
        store.put("keyed.servers", &self.id, &entry);
    }

    /// The path of a request to the executor's process, which may hold back a start.
    fn answer_by_link(self: &Arc<Self>, request: Request) -> Reply {
        let order = Json::parse(&request.body)?;
        let delay = {
            let mut state = self.lock();
            let is_held = |(job, _): &mut (String, Duration)| {
                request.path == "/api/run-start" && order.text("task").starts_with(job.as_str())
            };
            let delay = state.held_back.take_if(is_held).map(|(_, delay)| delay);
            state.has_held_back |= delay.is_some();
            delay
        };
        let Some(delay) = delay else {
            return self.answer(&request, &order);
        };
        let (task, run) = (order.text("task").to_owned(), order.number("run_id"));
        let text = format!("{}: start of {task} run {run} is held back for {delay:?}", self.id);
        self.record.line(&text);
        thread::sleep(delay);
        let reply = self.answer(&request, &order);
        let status = reply.map_or(0, |(status, _)| status);
        let text = format!("{}: held-back start of {task} run {run} delivered: {status}", self.id);
        self.record.line(&text);
        None
    }

    fn answer(&self, request: &Request, order: &Json) -> Reply {
        if !self.lock().alive {
            return None;
        }
        if request.headers.get("x-target-instance") != Some(&self.id) {
            return json_reply(421, "{}");
        }
        match request.path.as_str() {
            "/api/run-start" => self.start_run(order),
            "/api/run-stop" => self.stop_run(order),
            "/api/hold" => self.renew_lease(order),
            "/api/pace" => self.lock().life.answer(None),
            _ => json_reply(404, "{}"),
        }
    }

    fn start_run(&self, order: &Json) -> Reply {
        let (task, number) = (order.text("task").to_owned(), order.number("run_id"));
        let mut state = self.lock();
        if state.refuses_starts {
            self.record.line(&format!("{}: start of {task} run {number} rejected: 503", self.id));
            return json_reply(503, "{}");
        }
        let life = &mut state.life;
        if order.number("fencing_token") < life.token {
            return life.answer(Some("fence"));
        }
        life.token = order.number("fencing_token");
        if order.number("until_ms") <= life.clock() {
            return life.answer(Some("late"));
        }
        life.extend_lease(order.number("until_ms"));
        if life.running.get(&task).is_some_and(|run| run.number == number) {
            return life.answer(None);
        }
        let closed = life.closed.get(&task).copied().unwrap_or(0);
        if number <= closed || life.running.contains_key(&task) {
            return life.answer(Some("old"));
        }
        let ms = order.text("spec").trim_start_matches("ms=").parse().unwrap_or(100);
        let began = Instant::now();
        let run = Run { number, ends_at: began + Duration::from_millis(ms), began, ms };
        life.running.insert(task.clone(), run);
        let answer = life.answer(None);
        drop(state);
        self.record.started(&self.id, &task, number);
        answer
    }

    fn stop_run(&self, order: &Json) -> Reply {
        let (task, number) = (order.text("task").to_owned(), order.number("run_id"));
        let mut state = self.lock();
        let life = &mut state.life;
        if order.number("fencing_token") < life.token {
            return life.answer(Some("fence"));
        }
        life.token = order.number("fencing_token");
        let closed = life.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(number);
        self.record.line(&format!("{}: stop of {task} run {number} confirmed", self.id));
        if life.running.get(&task).is_some_and(|run| run.number <= number) {
            self.end_run(life, &task, "stopped");
        }
        life.answer(None)
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        if let Some(run) = life.running.remove(task) {
            life.last_end += 1;
            life.ends.push((life.last_end, task.to_owned(), run.number, how));
            life.closed.insert(task.to_owned(), run.number);
            self.record.ended(&self.id, task, run.number, how);
            self.ended.notify_all();
        }
    }

    fn end_due_runs(&self) {
        let mut state = self.lock();
        let life = &mut state.life;
        let lapsed = life.clock() > life.lease_until;
        let now = Instant::now();
        let over = life.running.iter().filter(|(_, run)| lapsed || now >= run.ends_at);
        let over: Vec<String> = over.map(|(task, _)| task.clone()).collect();
        for task in over {
            self.end_run(life, &task, if lapsed { "lapsed" } else { "done" });
        }
    }

    fn renew_lease(&self, order: &Json) -> Reply {
        let deadline = Instant::now() + Duration::from_millis(order.number("wait_ms").min(2000));
        let mut state = self.lock();
        let born = state.life.born;
        if order.number("fencing_token") < state.life.token {
            return state.life.answer(Some("fence"));
        }
        state.life.token = order.number("fencing_token");
        if order.get("until_ms").is_some() {
            state.life.extend_lease(order.number("until_ms"));
        }
        state.life.ends.retain(|(number, ..)| *number > order.number("acked_through"));
        loop {
            if !state.alive || state.life.born != born {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if !state.life.ends.is_empty() || left.is_zero() {
                break;
            }
            state = self.ended.wait_timeout(state, left).unwrap().0;
        }
        let life = &state.life;
        let percent = |run: &Run| (run.began.elapsed().as_millis() as u64 * 100 / run.ms.max(1)).min(99);
        let row = |(task, run): (&String, &Run)| {
            format!("[\"{task}\",{},\"\",{},0]", run.number, percent(run))
        };
        let running: Vec<String> = life.running.iter().map(row).collect();
        let end = |(number, task, run, how): &(u64, String, u64, &'static str)| {
            format!("[{number},\"{task}\",{run},\"{how}\",\"\"]")
        };
        let ends: Vec<String> = life.ends.iter().take(500).map(end).collect();
        let body = format!(
            "{{\"clock_ms\":{},\"born\":{},\"running\":[{}],\"finished\":[{}]}}",
            life.clock(),
            life.born,
            running.join(","),
            ends.join(",")
        );
        json_reply(200, &body)
    }
}
