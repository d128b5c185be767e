//! A small deployment: the store, executors, and three daemons of the program under test.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::advice;
use crate::executor::{Executor, HEARTBEAT, Run};
use crate::json::Json;
use crate::net::call;
use crate::record::Record;
use crate::store::Store;

const DAEMONS: usize = 3;
const HOST: &str = "desk.example";
const SERVICE: &str = "order-desk";
const START_LIMIT: Duration = Duration::from_secs(15);
/// Time that a client waits for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(3000);
/// Times that a client tries again.
const RETRIES: usize = 4;
/// Time until the state of an accepted job is asked for at the end.
pub const FINISH: Duration = Duration::from_secs(14);
/// Time for which a job must have nothing running.
pub const IDLE_MS: u64 = 3000;

/// Ids of the processes of all daemons that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the daemons and the case after `limit`, whatever it waits for.
pub fn limit_time(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in STARTED.lock().expect("no panic").iter() {
            Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status()
                .ok();
        }
        eprintln!("the case took longer than {limit:?}");
        std::process::exit(2);
    });
}

/// A queue: its path is its name.
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub target_latency_ms: u64,
    /// Whether the policy of the queue lets a step run on some executors only.
    pub advice: bool,
}

/// The queues of the deployments on the pages, without a policy.
pub const BATCH: Queue = Queue {
    name: "batch",
    priority: 2,
    target_latency_ms: 1200,
    advice: false,
};
pub const WATCH: Queue = Queue {
    name: "watch",
    priority: 1,
    target_latency_ms: 2500,
    advice: false,
};

/// What a policy costs, as on the pages.
const DECISION_MS: f64 = 370.0;
const PERIOD_MS: f64 = 5.3;

pub struct Cell {
    pub executors: Vec<Arc<Executor>>,
    pub record: Record,
    pub store: Arc<Store>,
    fronts: Vec<SocketAddr>,
    children: Vec<Child>,
    folder: PathBuf,
    submitted: u64,
}

impl Cell {
    /// Starts the deployment and waits until its daemons take jobs. `kinds` has the kind of each
    /// executor; `eligible` the numbers of those that the policy allows.
    pub fn start(
        record: &Record,
        queues: &[Queue],
        kinds: &[&str],
        cpu: u64,
        eligible: &[usize],
    ) -> Self {
        let (store, store_address) = Store::start();
        store.put("keyed.op", "config", &config(queues));
        let executors: Vec<Arc<Executor>> = kinds
            .iter()
            .enumerate()
            .map(|(number, kind)| Executor::start(number, SERVICE, kind, cpu, &store, record))
            .collect();
        let ids = eligible.iter().map(|number| executors[*number].id.clone());
        let period = Duration::from_micros((PERIOD_MS * 1000.0) as u64);
        let decision = Duration::from_millis(DECISION_MS as u64);
        let advice = advice::start(record, ids.collect(), decision, period);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut cell = Self {
            executors,
            record: record.clone(),
            store,
            fronts: Vec::new(),
            children: Vec::new(),
            folder,
            submitted: 0,
        };
        for number in 0..DAEMONS {
            cell.start_daemon(number, store_address, advice);
        }
        cell.wait_ready();
        cell
    }

    fn start_daemon(&mut self, number: usize, store: SocketAddr, advice: SocketAddr) {
        let ip = daemon_address(number);
        let bind = |_| TcpListener::bind((ip, 0)).expect("a free port");
        let held: Vec<TcpListener> = (0..4).map(bind).collect();
        let address = |index: usize| held[index].local_addr().expect("a bound listener");
        let (front, ready, control) = (address(0), address(1), address(2));
        let inner = address(3).port();
        let heartbeat = HEARTBEAT.as_millis();
        let text = format!(
            "node = \"edge-{number}\"\nrole = \"edge\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\", \"control_plane\"]\nip = \"{ip}\"\nzone = \"here\"\n\
             region = \"here\"\nport_range = [{inner}, {inner}]\nseeds = [\"{control}\"]\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = {heartbeat}\norders = \"invoke\"\nadvice = \"{advice}\"\n\
             contracts = [\"base\", \"drain\", \"config\", \"recover\", \"sched\", \"platform\", \
             \"advice\", \"sharing\"]\n\
             [zones]\nhere = \"here\"\n\
             [listen_addrs]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ndrain_ms = 2000\ngrace_s = 6\n\
             config_apply_ms = 2000\nmax_hold_ms = 6000\nstop_grace_ms = 200\n\
             gang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\nremote_factor = 2\ncheckpoint_s = 2\n\
             restore_ms = 600\nnotice_ms = 4500\npace_ms = 100\nharm_ms = 4000\n\
             [platform]\naddr = \"{store}\"\nform = \"log\"\nwrites_per_s = 600\n\
             reads_per_s = 2000\nparts = 24\nrecord_bytes = 262144\ncall_bytes = 2097152\n\
             keep_s = 300\npart_mb = 200\nmin_ttl_ms = 1000\n"
        );
        let settings = self.folder.join(format!("settings-{number}.toml"));
        fs::write(&settings, text).expect("a settings file");
        let log = File::create(self.folder.join(format!("log-{number}"))).expect("a log file");
        drop(held);
        let child = Command::new("target/release/magnolia-edge")
            .env("MAGNOLIAWING_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone().expect("a descriptor")))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program starts");
        self.record
            .note(format!("daemon {number} started, process {}", child.id()));
        STARTED.lock().expect("no panic").push(child.id());
        self.children.push(child);
        self.fronts.push(front);
    }

    fn wait_ready(&self) {
        let started = Instant::now();
        for front in &self.fronts {
            let asked = || call(*front, "GET", "/batch/", HOST, "", CALL_LIMIT);
            while asked().is_none_or(|(status, _)| status != 200) {
                assert!(started.elapsed() < START_LIMIT, "the daemons take no jobs");
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.note("all daemons answer");
    }

    /// Submits a job, as a client that tries again elsewhere; returns its ID, and whether it was
    /// accepted.
    pub fn submit(&mut self, queue: &str, spec: &str, phases: Vec<Json>) -> (String, bool) {
        self.submitted += 1;
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000u64 + self.submitted);
        let body = Json::object([("spec", spec.into()), ("phases", phases.into())]).to_string();
        let mut status = 0;
        for attempt in 0..=RETRIES {
            let front = self.fronts[(self.submitted as usize + attempt) % self.fronts.len()];
            let path = format!("/{queue}/{id}");
            let answer = call(front, "POST", &path, HOST, &body, CALL_LIMIT);
            status = answer.map_or(0, |(status, _)| status);
            if status != 0 && status != 503 {
                break;
            }
            thread::sleep(Duration::from_millis(300));
        }
        self.record
            .note(format!("POST /{queue}/{id} {body} -> {status}"));
        (id, status == 200)
    }

    /// Returns the state of a job.
    pub fn state(&self, queue: &str, id: &str) -> String {
        let path = format!("/{queue}/{id}");
        for front in &self.fronts {
            if let Some((status, body)) = call(*front, "GET", &path, HOST, "", CALL_LIMIT) {
                let state = Json::parse(&body).map(|body| body.text("state"));
                return match status {
                    200 => state.unwrap_or_default(),
                    other => format!("status {other}"),
                };
            }
        }
        "no answer".to_owned()
    }

    /// Returns the runs of a job, by executor.
    pub fn runs_of(&self, id: &str) -> Vec<(usize, String, Run)> {
        let mut found = Vec::new();
        for (number, executor) in self.executors.iter().enumerate() {
            let runs: BTreeMap<String, Run> = executor.running();
            let own = runs.into_iter().filter(|(task, _)| task.starts_with(id));
            found.extend(own.map(|(task, run)| (number, task, run)));
        }
        found
    }

    /// Waits until a job runs on `count` executors at once; panics if it does not.
    pub fn wait_runs(&self, id: &str, count: usize) {
        let started = Instant::now();
        while self.runs_of(id).len() < count {
            assert!(started.elapsed() < START_LIMIT, "{id} has not begun");
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Returns the share of the cores of all executors that is in use.
    pub fn used_share(&self) -> f64 {
        let used: u64 = self
            .executors
            .iter()
            .map(|executor| executor.used_cpu())
            .sum();
        let all: u64 = self.executors.iter().map(|executor| executor.cpu).sum();
        used as f64 / all as f64
    }

    /// Returns how many tasks of `cpu` find room on some executors now.
    pub fn room_for(&self, cpu: u64, on: &[usize]) -> u64 {
        let free = |number: &usize| {
            let executor = &self.executors[*number];
            executor.cpu.saturating_sub(executor.used_cpu()) / cpu
        };
        on.iter().map(free).sum()
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for child in &mut self.children {
            child.kill().ok();
            child.wait().ok();
        }
        if let Some(kept) = std::env::var_os("KEEP_LOGS") {
            for number in 0..self.children.len() {
                let name = format!("log-{number}");
                fs::copy(self.folder.join(&name), PathBuf::from(&kept).join(&name)).ok();
            }
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns a loopback address for a daemon, which another run of the cases does not use.
fn daemon_address(number: usize) -> Ipv4Addr {
    let process = std::process::id();
    let [_, _, high, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 64 + number as u8, high, low.max(1))
}

fn config(queues: &[Queue]) -> String {
    let routes = queues.iter().map(|queue| {
        let mut route = Json::object([
            ("name", queue.name.into()),
            ("host", HOST.into()),
            ("path_prefix", format!("/{}/", queue.name).into()),
            ("kind", "non_idempotent".into()),
            ("timeout_ms", 3000u64.into()),
            ("target_latency_ms", queue.target_latency_ms.into()),
            ("priority", queue.priority.into()),
            ("service", SERVICE.into()),
            ("max_attempts", 4u64.into()),
            ("stretch", 2.2.into()),
        ]);
        if let (Json::Object(fields), true) = (&mut route, queue.advice) {
            let advice = Json::object([
                ("decision_ms", DECISION_MS.into()),
                ("period_ms", PERIOD_MS.into()),
                ("valid_ms", advice::VALID_MS.into()),
            ]);
            fields.insert("advice".to_owned(), advice);
        }
        route
    });
    let service = Json::object([
        ("name", SERVICE.into()),
        ("health_path", "/healthz".into()),
        ("max_conns", 64u64.into()),
        ("rejects_overload", false.into()),
        ("standby", false.into()),
    ]);
    let limits = Json::object([
        ("max_header_bytes", 16_384u64.into()),
        ("max_body_bytes", 262_144u64.into()),
        ("header_timeout_ms", 3000u64.into()),
        ("idle_timeout_ms", 15_000u64.into()),
    ]);
    let config = Json::object([
        ("version", 7u64.into()),
        ("routes", routes.collect::<Vec<Json>>().into()),
        ("services", vec![service].into()),
        ("limits", limits),
    ]);
    config.to_string()
}

/// A step of `count` tasks of `cpu` thousandths of a core.
pub fn step<const N: usize>(count: u64, cpu: u64, est_ms: u64, more: [(&str, Json); N]) -> Json {
    let mut step = Json::object([
        ("count", count.into()),
        ("cpu", cpu.into()),
        ("mem_mb", 512u64.into()),
        ("est_runtime_ms", est_ms.into()),
    ]);
    if let Json::Object(fields) = &mut step {
        fields.extend(more.map(|(name, value)| (name.to_owned(), value)));
    }
    step
}
