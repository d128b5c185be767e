//! A small deployment: the store, executors, and daemons of the program under test.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, MAX_HOLD_MS};
use crate::http::call;
use crate::json::{Json, table};
use crate::record::{Record, lock};
use crate::store::Store;

/// Host and path of the only queue.
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// Time that a client waits for a response.
pub const CLIENT_LIMIT: Duration = Duration::from_millis(3000);
/// Time in which the daemons have to start.
const START_LIMIT: Duration = Duration::from_secs(15);

/// Processes of the daemons, so that a watchdog can end them.
pub type Children = Arc<Mutex<Vec<Child>>>;

/// A deployment.
pub struct Cell {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub fronts: Vec<SocketAddr>,
    pub controls: Vec<SocketAddr>,
    children: Children,
    folder: PathBuf,
}

impl Cell {
    /// Starts the platform and three daemons, and waits until they serve clients.
    pub fn start(
        edge: &Path,
        record: &Arc<Record>,
        children: &Children,
        executors: usize,
        cpu: u64,
    ) -> Option<Self> {
        let store = Store::new(Arc::clone(record));
        store.put("keyed.op", "config", &configuration().to_string());
        let address = store.start();
        let executors = (0..executors).map(|number| Executor::start(number, cpu, &store, record));
        let mut cell = Self {
            record: Arc::clone(record),
            executors: executors.collect(),
            store,
            fronts: Vec::new(),
            controls: Vec::new(),
            children: Arc::clone(children),
            folder: std::env::temp_dir().join(format!("magnolia-review-{}", std::process::id())),
        };
        std::fs::create_dir_all(&cell.folder).ok()?;
        for number in 0..3 {
            cell.start_daemon(edge, number, address)?;
        }
        cell.wait_ready().then_some(cell)
    }

    fn start_daemon(&mut self, edge: &Path, number: usize, store: SocketAddr) -> Option<()> {
        let [front, ready, control, inner] = free_addresses()?;
        let name = format!("edge-{number}");
        let port = inner.port();
        let text = format!(
            "node = \"{name}\"\nrole = \"edge\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\",\"control_plane\"]\nip = \"127.0.0.1\"\nzone = \"zone-a\"\n\
             region = \"region-a\"\nport_range = [{port},{port}]\nseeds = [\"{control}\"]\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1500\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\"]\n\
             orders = \"invoke\"\n[zones]\nzone-a = \"region-a\"\n[listen_addrs]\n\
             front = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             [bounds]\ncontact_ms = 3000\nack_ms = 4000\ngrace_s = 6\nmax_hold_ms = {MAX_HOLD_MS}\n\
             stop_grace_ms = 200\ngang_wait_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\n\
             finish_s = 14\nstatus_s = 120\n\
             [platform]\naddr = \"{store}\"\nform = \"log\"\nwrites_per_s = 600\n\
             reads_per_s = 2000\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\n"
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).ok()?;
        let log = File::create(self.folder.join(format!("{name}.log"))).ok()?;
        let child = Command::new(edge)
            .env("MAGNOLIAWING_SETTINGS", &settings)
            .stdout(Stdio::from(log.try_clone().ok()?))
            .stderr(Stdio::from(log))
            .spawn()
            .ok()?;
        self.record
            .line(format!("started {name}, process {}", child.id()));
        lock(&self.children).push(child);
        self.fronts.push(front);
        self.controls.push(control);
        Some(())
    }

    fn wait_ready(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < START_LIMIT {
            thread::sleep(Duration::from_millis(100));
            let limit = Duration::from_secs(1);
            let ready = |front: &SocketAddr| {
                let answer = call(*front, "GET", PREFIX, HOST, "", limit);
                answer.is_some_and(|(status, _)| status == 200)
            };
            if self.fronts.iter().all(ready) {
                self.record.line("all daemons serve clients");
                return true;
            }
        }
        false
    }

    /// Sends a request of a client, and records it and the answer.
    pub fn request(
        &self,
        front: usize,
        method: &str,
        id: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let path = format!("{PREFIX}{id}");
        let address = self.fronts[front % self.fronts.len()];
        let sent = self.record.now_ms();
        let answer = call(address, method, &path, HOST, body, CLIENT_LIMIT);
        let text = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        let size = body.len();
        self.record.line(format!(
            "{method} {id} ({size} bytes) sent at {sent}: {text}"
        ));
        answer
    }

    /// Submits a job until it is accepted; 4 retries.
    pub fn submit(&self, id: &str, body: &str) -> bool {
        for attempt in 0..5 {
            let answer = self.request(attempt, "POST", id, body);
            if answer.is_some_and(|(status, _)| status == 200) {
                return true;
            }
            thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Returns the state of a job as a client sees it.
    pub fn state(&self, id: &str) -> String {
        match self.request(0, "GET", id, "") {
            Some((200, body)) => Json::parse(&body).map_or(body, |body| body.text("state")),
            Some((status, _)) => status.to_string(),
            None => "no answer".to_owned(),
        }
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        end_children(&self.children);
        if std::env::var("KEEP").is_err() {
            std::fs::remove_dir_all(&self.folder).ok();
        }
    }
}

/// Ends the processes that the case started.
pub fn end_children(children: &Children) {
    for mut child in lock(children).drain(..) {
        child.kill().ok();
        child.wait().ok();
    }
}

/// Returns free loopback addresses; they are freed for the daemon that binds them next.
fn free_addresses() -> Option<[SocketAddr; 4]> {
    let listeners: Vec<TcpListener> = (0..4)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()
        .ok()?;
    let addresses: Vec<SocketAddr> = listeners
        .iter()
        .map(TcpListener::local_addr)
        .collect::<Result<_, _>>()
        .ok()?;
    addresses.try_into().ok()
}

fn configuration() -> Json {
    let route = table([
        ("name", "route-1".into()),
        ("host", HOST.into()),
        ("path_prefix", PREFIX.into()),
        ("kind", "non_idempotent".into()),
        ("service", "desk".into()),
        ("timeout_ms", 3000.into()),
        ("priority", 2.into()),
        ("max_attempts", 4.into()),
        ("stretch", 4.into()),
        ("target_latency_ms", 60_000.into()),
    ]);
    let service = table([
        ("name", "desk".into()),
        ("max_conns", 64.into()),
        ("rejects_overload", Json::Bool(false)),
    ]);
    table([
        ("version", 1.into()),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", table([("max_body_bytes", 262_144.into())])),
    ])
}
