//! Stand-in for an executor: leases, fencing tokens, runs, and the tail of tasks that serve.
//!
//! The text of a job tells what its tasks do: `work_ms=N` (they end after so much work), or `serve`
//! (they run until they are stopped); and `cpu=N`, the thousandths of a core that a task takes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;
use crate::net::{Request, Response, Server, bind_free};
use crate::record::Record;
use crate::store::Store;

const TICK: Duration = Duration::from_millis(10);
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
const MAX_HOLD_MS: u64 = 6000;
const MAX_LISTED_ENDS: usize = 500;
/// Time that a stop takes; the platform allows 200 ms.
const STOP_TIME: Duration = Duration::from_millis(50);
/// Time for which a connection stays open on which an order is not answered.
const UNANSWERED: Duration = Duration::from_secs(3);
/// Time until a task that serves is at work.
const STARTUP: Duration = Duration::from_millis(200);

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    pub number: u64,
    pub spec: String,
    started: Instant,
    worked_ms: f64,
    pub pace: u64,
    stopped_at: Option<Instant>,
}

impl Run {
    fn field(&self, name: &str) -> Option<u64> {
        let mut words = self.spec.split(' ');
        words.find_map(|word| word.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
    }

    pub fn serves(&self) -> bool {
        self.spec.contains("serve")
    }

    pub fn fills(&self) -> bool {
        self.spec.contains("fill")
    }

    fn percent(&self) -> u64 {
        match self.field("work_ms") {
            Some(work) => (self.worked_ms * 100.0 / work.max(1) as f64).min(99.0) as u64,
            None if self.started.elapsed() >= STARTUP => 100,
            None => 0,
        }
    }

    fn is_done(&self) -> bool {
        self.field("work_ms")
            .is_some_and(|work| self.worked_ms >= work as f64)
    }
}

struct Life {
    started: Instant,
    born: u64,
    token: u64,
    lease_until: u64,
    running: BTreeMap<String, Run>,
    closed: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    /// Number of the last end before the lease lapsed.
    lapsed_through: u64,
    seq: u64,
    /// Number of the process among those of its executor.
    number: u64,
}

impl Life {
    fn new(number: u64) -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("after 1970");
        Self {
            started: Instant::now(),
            born: unix.as_millis() as u64,
            token: 0,
            lease_until: 0,
            running: BTreeMap::new(),
            closed: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            lapsed_through: 0,
            seq: 0,
            number,
        }
    }

    fn clock(&self) -> u64 {
        self.started.elapsed().as_millis() as u64 + 1
    }

    fn extend(&mut self, until: u64) {
        let latest = self.clock() + MAX_HOLD_MS;
        self.lease_until = self.lease_until.max(until.min(latest));
    }
}

/// What callers of the tasks that serve meet.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServingLoad {
    /// Tail of the response times without tasks that fill, in milliseconds.
    pub alone_ms: u64,
    /// What tasks that fill add at full pace.
    pub filled_ms: u64,
}

pub struct Executor {
    pub id: String,
    pub cpu: u64,
    rack: String,
    service: String,
    store: Arc<Store>,
    record: Record,
    kind: Mutex<String>,
    life: Mutex<Life>,
    ended: Condvar,
    pub load: Mutex<ServingLoad>,
    /// Tasks with an end `done` that was taken note of, of all processes.
    noted: Mutex<BTreeSet<String>>,
    /// Tasks that were started after such an end.
    again: Mutex<Vec<String>>,
    /// Number of orders since it began to leave every second one unanswered, while it does.
    late: Mutex<Option<u64>>,
    /// Whether it refuses a part of its requests.
    grey: Mutex<Option<BTreeMap<String, u64>>>,
    dark: AtomicBool,
    server: Mutex<Option<Server>>,
    address: Mutex<Option<SocketAddr>>,
}

impl Executor {
    pub fn start(
        number: usize,
        service: &str,
        kind: &str,
        cpu: u64,
        store: &Arc<Store>,
        record: &Record,
    ) -> Arc<Self> {
        let executor = Arc::new(Self {
            id: format!("i-{number:04}"),
            cpu,
            rack: format!("r1-{}", number / 8),
            service: service.to_owned(),
            store: Arc::clone(store),
            record: record.clone(),
            kind: Mutex::new(kind.to_owned()),
            life: Mutex::new(Life::new(1)),
            ended: Condvar::new(),
            load: Mutex::default(),
            noted: Mutex::default(),
            again: Mutex::default(),
            late: Mutex::new(None),
            grey: Mutex::new(None),
            dark: AtomicBool::new(false),
            server: Mutex::new(None),
            address: Mutex::new(None),
        });
        executor.listen();
        let ticking = Arc::clone(&executor);
        thread::spawn(move || ticking.end_due_runs());
        let beating = Arc::clone(&executor);
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT);
                beating.write_entry();
            }
        });
        executor
    }

    /// Listens, and writes the entry in the store.
    fn listen(self: &Arc<Self>) {
        let known = *self.address.lock().expect("no panic");
        let listener = match known {
            Some(address) => TcpListener::bind(address).expect("the port that it had"),
            None => bind_free(),
        };
        let served = Arc::clone(self);
        let process = self.lock().number;
        let answer = move |request: Request| served.take(request, process);
        let server = Server::start(listener, Arc::new(answer));
        *self.address.lock().expect("no panic") = Some(server.address);
        *self.server.lock().expect("no panic") = Some(server);
        self.write_entry();
    }

    fn lock(&self) -> MutexGuard<'_, Life> {
        self.life.lock().expect("no panic in an executor")
    }

    pub fn kind(&self) -> String {
        self.kind.lock().expect("no panic").clone()
    }

    /// Writes its entry in the store, while its process runs.
    fn write_entry(&self) {
        if self.server.lock().expect("no panic").is_none() {
            return;
        }
        let address = self.address.lock().expect("no panic").expect("an address");
        let mut life = self.lock();
        life.seq += 1;
        let capacity = Json::object([
            ("cpu", self.cpu.into()),
            ("mem_mb", 131_072u64.into()),
            ("gpus", 0u64.into()),
        ]);
        let labels = vec![self.kind().into(), self.rack.as_str().into()];
        let entry = Json::object([
            ("service", self.service.as_str().into()),
            ("addr", address.to_string().into()),
            ("zone", "here".into()),
            ("version", "v1".into()),
            ("slots", 8u64.into()),
            ("state", "ready".into()),
            ("cold_left_ms", 0u64.into()),
            ("born", life.born.into()),
            ("clock_ms", life.clock().into()),
            ("seq", life.seq.into()),
            ("capacity", capacity),
            ("labels", labels.into()),
        ]);
        drop(life);
        self.store
            .put("keyed.servers", &self.id, &entry.to_string());
    }

    /// Ends the process; what it runs and knows is lost.
    pub fn crash(&self) {
        let server = self.server.lock().expect("no panic").take();
        if let Some(mut server) = server {
            server.end();
        }
        let mut life = self.lock();
        let lost = life.running.len();
        *life = Life::new(life.number + 1);
        self.record
            .note(format!("{} crashes with {lost} runs", self.id));
    }

    /// Loses power for good: what it runs is lost, and it answers nothing on open connections.
    pub fn lose_power(&self) {
        let server = self.server.lock().expect("no panic").take();
        if let Some(mut server) = server {
            server.end_listening();
            std::mem::forget(server);
        }
        let mut life = self.lock();
        let lost = life.running.len();
        *life = Life::new(life.number + 1);
        self.dark.store(true, Ordering::SeqCst);
        self.record
            .note(format!("{} loses power with {lost} runs", self.id));
    }

    /// Starts the process again under its id and at its address.
    pub fn restart(self: &Arc<Self>, kind: &str) {
        {
            let mut life = self.lock();
            *life = Life::new(life.number + 1);
        }
        *self.kind.lock().expect("no panic") = kind.to_owned();
        self.listen();
        let label = self.kind();
        self.record.note(format!(
            "{} starts again and has the label {label}",
            self.id
        ));
    }

    /// Begins or ends to leave every second order unanswered, and to carry it out later.
    pub fn set_late(&self, late: bool) {
        *self.late.lock().expect("no panic") = late.then_some(0);
    }

    /// Returns how much later an order is carried out that it leaves unanswered: 2 to 12 s.
    fn delay_of_next_order(&self) -> Option<Duration> {
        let mut late = self.late.lock().expect("no panic");
        let count = late.as_mut()?;
        *count += 1;
        // Spreads the delays over the ten seconds.
        let delay_ms = 2000 + *count * 3779 % 10_000;
        (*count % 2 == 1).then_some(Duration::from_millis(delay_ms))
    }

    /// Begins or ends to refuse two of each five requests of a kind.
    pub fn set_grey(&self, grey: bool) {
        *self.grey.lock().expect("no panic") = grey.then(BTreeMap::new);
    }

    /// Returns the starts of tasks that had ended `done` there, where the end was taken note of.
    pub fn started_again(&self) -> Vec<String> {
        self.again.lock().expect("no panic").clone()
    }

    /// Returns what runs, by task.
    pub fn running(&self) -> BTreeMap<String, Run> {
        self.lock().running.clone()
    }

    /// Returns the cores in use by tasks that don't fill, in thousandths.
    pub fn used_cpu(&self) -> u64 {
        let life = self.lock();
        let runs = life.running.values().filter(|run| !run.fills());
        runs.filter_map(|run| run.field("cpu")).sum()
    }

    /// Returns the tail of the tasks that serve: with the tasks that fill, and without.
    pub fn tail_ms(&self) -> (u64, u64) {
        let load = *self.load.lock().expect("no panic");
        let life = self.lock();
        let paces = life
            .running
            .values()
            .filter(|run| run.fills())
            .map(|run| run.pace);
        let pace: u64 = paces.sum();
        (load.alone_ms + load.filled_ms * pace / 100, load.alone_ms)
    }

    fn end_due_runs(&self) {
        let mut last = Instant::now();
        loop {
            thread::sleep(TICK);
            let passed = last.elapsed().as_secs_f64() * 1000.0;
            last = Instant::now();
            let mut life = self.lock();
            let lapsed = life.clock() > life.lease_until;
            if lapsed {
                life.lapsed_through = life.last_end;
            }
            let mut due = Vec::new();
            for (task, run) in &mut life.running {
                run.worked_ms += passed * run.pace as f64 / 100.0;
                let stopped = run.stopped_at.is_some_and(|at| at.elapsed() >= STOP_TIME);
                match (lapsed, stopped, run.is_done()) {
                    (true, ..) => due.push((task.clone(), "lapsed")),
                    (_, true, _) => due.push((task.clone(), "stopped")),
                    (_, _, true) => due.push((task.clone(), "done")),
                    _ => {}
                }
            }
            for (task, how) in due {
                self.end_run(&mut life, &task, how);
            }
        }
    }

    fn end_run(&self, life: &mut Life, task: &str, how: &'static str) {
        if let Some(run) = life.running.remove(task) {
            life.last_end += 1;
            let number = life.last_end;
            life.ends.push((number, task.to_owned(), run.number, how));
            life.closed.insert(task.to_owned(), run.number);
            self.record
                .note(format!("{} ends {task} run {} {how}", self.id, run.number));
            self.ended.notify_all();
        }
    }

    /// Tells whether a request is one of those that a grey executor refuses.
    fn refuses(&self, path: &str) -> bool {
        let mut grey = self.grey.lock().expect("no panic");
        let Some(counts) = grey.as_mut() else {
            return false;
        };
        let count = counts.entry(path.to_owned()).or_default();
        *count += 1;
        matches!(*count % 5, 1 | 3)
    }

    /// Answers a request, or carries it out later, by the process that runs then.
    fn take(self: &Arc<Self>, request: Request, process: u64) -> Option<Response> {
        while self.dark.load(Ordering::SeqCst) {
            thread::sleep(UNANSWERED);
        }
        let is_order = request.path != "/api/hold";
        let delay = is_order.then(|| self.delay_of_next_order()).flatten();
        let Some(delay) = delay else {
            return self.answer(&request, process);
        };
        let executor = Arc::clone(self);
        let text = request.body_text();
        let (id, path) = (&self.id, &request.path);
        self.record.note(format!(
            "{id} leaves {path} unanswered, for {delay:?}: {text}"
        ));
        thread::spawn(move || {
            thread::sleep(delay);
            let process = executor.lock().number;
            let runs = executor.server.lock().expect("no panic").is_some();
            let answer = runs.then(|| executor.answer(&request, process)).flatten();
            let status = answer.map_or(0, |answer| answer.status);
            let (id, path) = (&executor.id, &request.path);
            executor
                .record
                .note(format!("{id} carries {path} out now ({status}): {text}"));
        });
        thread::sleep(UNANSWERED);
        None
    }

    fn answer(&self, request: &Request, process: u64) -> Option<Response> {
        if request.headers.get("x-target-instance") != Some(&self.id) {
            return Some(Response::new(421, "{}"));
        }
        let body = Json::parse(&request.body_text())?;
        if self.refuses(&request.path) {
            self.record
                .note(format!("{} refuses {} {body}", self.id, request.path));
            return Some(Response::new(503, "{}"));
        }
        let token = body.number("fencing_token").unwrap_or(0);
        let mut life = self.lock();
        // What an earlier process has read ends with it.
        if life.number != process {
            return None;
        }
        if token < life.token {
            return Some(reply(409, &life, Some("fence")));
        }
        life.token = token;
        match request.path.as_str() {
            "/api/run-start" => Some(self.start_run(&mut life, &body)),
            "/api/run-stop" => Some(self.stop_run(&mut life, &body)),
            "/api/pace" => Some(self.pace_run(&mut life, &body)),
            "/api/hold" => Some(self.hold(life, &body)),
            _ => Some(Response::new(404, "{}")),
        }
    }

    fn start_run(&self, life: &mut Life, body: &Json) -> Response {
        let (task, number) = (body.text("task"), body.number("run_id").unwrap_or(0));
        let until = body.number("until_ms").unwrap_or(0);
        if until <= life.clock() {
            return reply(409, life, Some("late"));
        }
        life.extend(until);
        if life
            .running
            .get(&task)
            .is_some_and(|run| run.number == number)
        {
            return reply(200, life, None);
        }
        let closed = life.closed.get(&task).copied().unwrap_or(0);
        if number <= closed || life.running.contains_key(&task) {
            return reply(409, life, Some("old"));
        }
        let spec = body.text("spec");
        let label = self.kind();
        self.record.note(format!(
            "{} ({label}) starts {task} run {number}: {spec}",
            self.id
        ));
        if self.noted.lock().expect("no panic").contains(&task) {
            let text = format!("{task} run {number} on {}", self.id);
            self.again.lock().expect("no panic").push(text);
        }
        let run = Run {
            number,
            spec,
            started: Instant::now(),
            worked_ms: 0.0,
            pace: 100,
            stopped_at: None,
        };
        life.running.insert(task, run);
        reply(200, life, None)
    }

    fn stop_run(&self, life: &mut Life, body: &Json) -> Response {
        let (task, number) = (body.text("task"), body.number("run_id").unwrap_or(0));
        let closed = life.closed.entry(task.clone()).or_default();
        *closed = number.max(*closed);
        if let Some(run) = life
            .running
            .get_mut(&task)
            .filter(|run| run.number <= number)
        {
            run.stopped_at.get_or_insert_with(Instant::now);
        }
        reply(200, life, None)
    }

    fn pace_run(&self, life: &mut Life, body: &Json) -> Response {
        let (task, number) = (body.text("task"), body.number("run_id").unwrap_or(0));
        let percent = body.number("percent").unwrap_or(100);
        self.record.note(format!(
            "{} paces {task} run {number} to {percent}",
            self.id
        ));
        if let Some(run) = life
            .running
            .get_mut(&task)
            .filter(|run| run.number == number)
        {
            run.pace = percent.min(100);
        }
        reply(200, life, None)
    }

    fn hold<'a>(&'a self, mut life: MutexGuard<'a, Life>, body: &Json) -> Response {
        if let Some(until) = body.number("until_ms") {
            life.extend(until);
        }
        let acked = body.number("acked_through").unwrap_or(0);
        let lapsed = life.lapsed_through;
        let noted = life
            .ends
            .iter()
            .filter(|(number, _, _, how)| *number <= acked && *number > lapsed && *how == "done");
        let noted: Vec<String> = noted.map(|(_, task, ..)| task.clone()).collect();
        self.noted.lock().expect("no panic").extend(noted);
        life.ends.retain(|(number, ..)| *number > acked);
        let wait = Duration::from_millis(body.number("wait_ms").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            if !life.ends.is_empty() || left.is_zero() {
                break;
            }
            life = self.ended.wait_timeout(life, left).expect("no panic").0;
        }
        while self.dark.load(Ordering::SeqCst) {
            drop(life);
            thread::sleep(UNANSWERED);
            life = self.lock();
        }
        let (with, _) = {
            drop(life);
            let tail = self.tail_ms();
            life = self.lock();
            tail
        };
        let running = life.running.iter().map(|(task, run)| {
            let mut row: Vec<Json> = vec![
                task.as_str().into(),
                run.number.into(),
                "".into(),
                run.percent().into(),
            ];
            let meter = if run.serves() {
                with
            } else {
                run.field("cpu").unwrap_or(0)
            };
            row.push(meter.into());
            Json::List(row)
        });
        let running: Vec<Json> = running.collect();
        let ends = life.ends.iter().take(MAX_LISTED_ENDS);
        let ends = ends.map(|(number, task, run, how)| {
            let row: Vec<Json> = vec![
                (*number).into(),
                task.as_str().into(),
                (*run).into(),
                (*how).into(),
                "".into(),
            ];
            Json::List(row)
        });
        let ends: Vec<Json> = ends.collect();
        let answer = Json::object([
            ("clock_ms", life.clock().into()),
            ("born", life.born.into()),
            ("running", running.into()),
            ("finished", ends.into()),
        ]);
        Response::new(200, answer.to_string())
    }
}

fn reply(status: u16, life: &Life, reason: Option<&str>) -> Response {
    let mut answer = Json::object([
        ("clock_ms", life.clock().into()),
        ("born", life.born.into()),
    ]);
    if let (Json::Object(fields), Some(reason)) = (&mut answer, reason) {
        fields.insert("reason".to_owned(), reason.into());
    }
    Response::new(status, answer.to_string())
}
