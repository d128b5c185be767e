//! A small cell: the store, executors and processes of the project's program.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::executor::{Executor, MAX_LEASE_MS};
use crate::net::{Json, call, serve};
use crate::record::Record;
use crate::store::Store;

/// Daemons of the cell, one a zone.
const DAEMONS: usize = 3;
/// Host and path of the queue.
const HOST: &str = "desk.example";
const PREFIX: &str = "/jobs/";
/// Memory of a process (`memory_mb`), in MiB.
const MEMORY_MB: u64 = 260;
/// Time after which the platform starts a killed process again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The same after a kill for its memory; other daemons take over in this time.
const MEMORY_RESTART_DELAY: Duration = Duration::from_millis(3000);
/// Time that a client waits for a response.
const DEADLINE: Duration = Duration::from_millis(3000);

struct Daemon {
    child: Child,
    name: String,
    front: SocketAddr,
    ready: SocketAddr,
    /// When the platform starts the process again.
    restart_at: Option<Instant>,
    memory_kills: usize,
}

pub struct Cell {
    pub store: Arc<Store>,
    pub record: Arc<Record>,
    daemons: Vec<Daemon>,
    folder: PathBuf,
    program: PathBuf,
    /// Speed of the link between a daemon and the store, in Mbit/s; no limit if there is none.
    link_mbps: Option<u64>,
}

impl Cell {
    /// Starts the store and the daemons; `program` is that of the deploy file.
    pub fn start(program: &Path, record: Arc<Record>, link_mbps: Option<u64>) -> Result<Self, String> {
        let store = Arc::new(Store::default());
        let config = format!(
            "{{\"version\":1,\"routes\":[{{\"name\":\"queue\",\"host\":\"{HOST}\",\
             \"path_prefix\":\"{PREFIX}\",\"service\":\"desk\",\"priority\":1,\"max_attempts\":3,\
             \"stretch\":3.0,\"target_latency_ms\":2000}}],\"services\":[{{\"name\":\"desk\",\
             \"rejects_overload\":false}}],\"limits\":{{\"max_body_bytes\":262144}}}}"
        );
        store.put("keyed.op", "config", &config);
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let program = program.to_owned();
        let mut cell = Self { store, record, daemons: Vec::new(), folder, program, link_mbps };
        for number in 0..DAEMONS {
            let server = Arc::clone(&cell.store);
            let store = serve(move |request| server.answer(number, &request));
            let address = link_mbps.map_or(store, |mbps| slow_link(store, mbps));
            let daemon = cell.start_daemon(number, address)?;
            cell.daemons.push(daemon);
        }
        Ok(cell)
    }

    fn start_daemon(&self, number: usize, store: SocketAddr) -> Result<Daemon, String> {
        let (first, last) = free_ports(number as u16)?;
        let front = SocketAddr::from(([127, 0, 0, 1], first + 2));
        let ready = SocketAddr::from(([127, 0, 0, 1], first + 3));
        let control = SocketAddr::from(([127, 0, 0, 1], first + 4));
        let name = format!("edge-{number}");
        // The machines of two of the users' sites.
        let (cpu_share, memory_mb, link_mbps) = match self.link_mbps {
            Some(mbps) => (0.12, 160, mbps),
            None => (0.25, MEMORY_MB, 1000),
        };
        let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
        let text = format!(
            "node = \"{name}\"\nrole = \"edge\"\nmachine_class = \"edge\"\n\
             serves = [\"edge\", \"control_plane\"]\nip = \"127.0.0.1\"\nzone = \"{zone}\"\n\
             region = \"region\"\nport_range = [{first}, {last}]\nseeds = []\nbootstrap = true\n\
             in_tolerance = false\ndiscovery = \"platform\"\nentry = \"vip\"\n\
             heartbeat_ms = 1500\norders = \"invoke\"\n\
             [listen_addrs]\nfront = \"{front}\"\nready = \"{ready}\"\ncontrol = \"{control}\"\n\
             [limits]\ncpu_share = {}\ncores = 1\nmemory_mb = {}\nmax_fds = 4100\n\
             link_mbps = {}.0\ndisk_mb = 0\n\
             [bounds]\ndrain_ms = 2000\ngrace_s = 6\nmax_hold_ms = {MAX_LEASE_MS}\n\
             stop_grace_ms = 200\nvisible_ms = 3000\nfinish_s = 14\nstatus_s = 120\n\
             [platform]\naddr = \"{store}\"\nform = \"log\"\nwrites_per_s = 600.0\n\
             reads_per_s = 2000.0\nparts = 24\nrecord_bytes = 262144\ncall_bytes = 2097152\n",
            cpu_share, memory_mb, link_mbps
        );
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|error| error.to_string())?;
        let child = self.spawn(&name)?;
        Ok(Daemon { child, name, front, ready, restart_at: None, memory_kills: 0 })
    }

    fn spawn(&self, name: &str) -> Result<Child, String> {
        Command::new(&self.program)
            .env("MAGNOLIAWING_SETTINGS", self.folder.join(format!("{name}.toml")))
            .stdin(Stdio::null())
            .stdout(self.log_file(name)?)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program.display()))
    }

    /// Kills and restarts the processes that exceed their memory, as the platform does; returns how
    /// many there were in this call.
    pub fn check_memory(&mut self) -> Result<usize, String> {
        let mut killed = 0;
        for number in 0..self.daemons.len() {
            let daemon = &mut self.daemons[number];
            if daemon.restart_at.is_some_and(|at| Instant::now() >= at) {
                let name = daemon.name.clone();
                let child = self.spawn(&name)?;
                let daemon = &mut self.daemons[number];
                (daemon.child, daemon.restart_at) = (child, None);
                continue;
            }
            let resident = resident_mb(daemon.child.id());
            if daemon.restart_at.is_none() && resident > MEMORY_MB {
                daemon.child.kill().map_err(|error| error.to_string())?;
                daemon.child.wait().map_err(|error| error.to_string())?;
                daemon.restart_at = Some(Instant::now() + MEMORY_RESTART_DELAY);
                daemon.memory_kills += 1;
                killed += 1;
                let text = format!("{}: killed, {resident} MB of memory in use", daemon.name);
                self.record.line(&text);
            }
        }
        Ok(killed)
    }

    /// Returns how often each process was killed for its memory.
    pub fn memory_kills(&self) -> Vec<usize> {
        self.daemons.iter().map(|daemon| daemon.memory_kills).collect()
    }

    /// Kills the process that last wrote to the store under a condition, and starts it again.
    pub fn kill_owner(&mut self) -> Result<(), String> {
        let number = self.store.last_writer();
        let name = self.daemons[number].name.clone();
        let child = &mut self.daemons[number].child;
        child.kill().map_err(|error| error.to_string())?;
        child.wait().map_err(|error| error.to_string())?;
        self.record.line(&format!("{name}: process killed; it last wrote to the store"));
        thread::sleep(RESTART_DELAY);
        self.daemons[number].child = self.spawn(&name)?;
        self.record.line(&format!("{name}: process started again"));
        Ok(())
    }

    fn log_file(&self, name: &str) -> Result<Stdio, String> {
        match std::env::var_os("KEEP_LOGS") {
            Some(folder) => {
                let path = Path::new(&folder).join(format!("{name}.log"));
                std::fs::OpenOptions::new().create(true).append(true).open(path).map(Stdio::from).map_err(|error| error.to_string())
            }
            None => Ok(Stdio::null()),
        }
    }

    pub fn executor(&self, id: &str, capacity: (u64, u64, u64), labels: &[&str]) -> Arc<Executor> {
        Executor::start(id, capacity, labels, &self.store, &self.record)
    }

    /// Waits until every daemon is ready and a first job has completed.
    pub fn wait_until_serving(&mut self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        let is_ready = |daemon: &Daemon| {
            let answer = call(daemon.ready, "GET", "/api/ready", "platform", "", DEADLINE);
            matches!(answer, Some((200, _)))
        };
        while !self.daemons.iter().all(is_ready) {
            if Instant::now() > deadline {
                return Err("the daemons did not become ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        let first = "00000000000000aa";
        // Its estimate is that of the later jobs: the queue's jobs are alike.
        let body = job(1, 30_000, 20_000, "", "").replace("ms=20000", "ms=50");
        while self.submit(0, first, &body) != 200 {
            if Instant::now() > deadline {
                return Err("the first job was not accepted".into());
            }
            thread::sleep(Duration::from_millis(300));
        }
        while self.state(0, first) != "completed" {
            if Instant::now() > deadline {
                return Err("the first job did not complete".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
        for daemon in &mut self.daemons {
            if !matches!(daemon.child.try_wait(), Ok(None)) {
                return Err(format!("{} ended by itself", daemon.name));
            }
        }
        // All executors have answered the owner by then.
        thread::sleep(Duration::from_millis(2000));
        Ok(())
    }

    fn call(&self, daemon: usize, method: &str, path: &str, body: &str) -> (u16, String) {
        let front = self.daemons[daemon % self.daemons.len()].front;
        let answer = call(front, method, path, HOST, body, DEADLINE);
        let (status, text) = answer.unwrap_or((0, String::new()));
        let shown: String = body.chars().take(160).collect();
        self.record.line(&format!("client: {method} {path} {shown} -> {status} {text}"));
        (status, text)
    }

    /// Submits a job and returns the status, 0 if there was no response.
    pub fn submit(&self, daemon: usize, id: &str, body: &str) -> u16 {
        self.call(daemon, "POST", &format!("{PREFIX}{id}"), body).0
    }

    pub fn state(&self, daemon: usize, id: &str) -> String {
        let (_, body) = self.call(daemon, "GET", &format!("{PREFIX}{id}"), "");
        let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
        body.text("state").to_owned()
    }

    /// Returns the number of jobs of the queue that are said to wait.
    pub fn pending_jobs(&self, daemon: usize) -> Option<u64> {
        let (status, body) = self.call(daemon, "GET", PREFIX, "");
        let body = Json::parse(body.as_bytes())?;
        (status == 200 && body.get("pending_jobs").is_some()).then(|| body.number("pending_jobs"))
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.child.kill().ok();
            daemon.child.wait().ok();
        }
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

/// Returns the address of a link to `server` that passes on its responses at `mbps` in all.
fn slow_link(server: SocketAddr, mbps: u64) -> SocketAddr {
    const CHUNK: usize = 16 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    // Holds the time until which the link is busy.
    let busy_until = Arc::new(Mutex::new(Instant::now()));
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(server) else { continue };
            client.set_nodelay(true).ok();
            server.set_nodelay(true).ok();
            let (Ok(mut from_client), Ok(mut to_server)) = (client.try_clone(), server.try_clone())
            else {
                continue;
            };
            thread::spawn(move || {
                std::io::copy(&mut from_client, &mut to_server).ok();
                to_server.shutdown(Shutdown::Write).ok();
            });
            let busy_until = Arc::clone(&busy_until);
            let (mut from_server, mut to_client) = (server, client);
            thread::spawn(move || {
                let mut chunk = [0; CHUNK];
                while let Ok(length) = from_server.read(&mut chunk) {
                    if length == 0 {
                        break;
                    }
                    let sent_at = {
                        let mut busy_until = busy_until.lock().unwrap();
                        let micros = length as u64 * 8 / mbps;
                        *busy_until = (*busy_until).max(Instant::now()) + Duration::from_micros(micros);
                        *busy_until
                    };
                    thread::sleep(sent_at.saturating_duration_since(Instant::now()));
                    if to_client.write_all(&chunk[..length]).is_err() {
                        break;
                    }
                }
                to_client.shutdown(Shutdown::Both).ok();
                from_server.shutdown(Shutdown::Both).ok();
            });
        }
    });
    address
}

/// Returns the body of a job with one step; `more` holds further fields of the step.
pub fn job(tasks: u64, cpu: u64, run_ms: u64, label: &str, more: &str) -> String {
    let label = match label {
        "" => String::new(),
        label => format!(",\"required_label\":\"{label}\""),
    };
    format!(
        "{{\"spec\":\"ms={run_ms}\",\"phases\":[{{\"count\":{tasks},\"cpu\":{cpu},\"mem_mb\":64,\
         \"est_runtime_ms\":{run_ms}{label}{more}}}]}}"
    )
}

/// Returns the resident memory of a process, in MiB.
fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kibibytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kibibytes.unwrap_or(0) / 1024
}

/// Returns the first and the last of some free ports in a row, which differ for each daemon.
fn free_ports(number: u16) -> Result<(u16, u16), String> {
    const PORTS: u16 = 5;
    const PROCESSES: u32 = 400;
    // Below the ports that the system gives out by itself.
    let mut first = 12_000 + (std::process::id() % PROCESSES) as u16 * 50 + number * PORTS;
    for _ in 0..3 {
        let ports: Vec<_> = (first..first + PORTS)
            .map(|port| TcpListener::bind(("127.0.0.1", port)))
            .collect();
        if ports.iter().all(Result::is_ok) {
            return Ok((first, first + PORTS - 1));
        }
        first += DAEMONS as u16 * PORTS;
    }
    Err("no free ports".into())
}
