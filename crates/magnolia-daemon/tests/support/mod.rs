//! A cell for tests: complete daemons in this process, each on its own runtime, with simple fakes
//! of the log, the instance list and the executors.

#![allow(dead_code, unused_imports, reason = "each test binary uses a part")]

mod executor;
mod platform;

pub use executor::{ExecutorMode, FakeExecutor};
pub use platform::FakeLog;

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use base64::prelude::{BASE64_STANDARD, Engine};
use magnolia_backing::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_config::{
    CellConfig, CellSection, ClassSection, ConfigDocument, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, RulesSection,
};
use magnolia_daemon::{DaemonSettings, ExitStatus, run_daemon};
use magnolia_http::{HttpAnswer, HttpClient, HttpError, PoolSettings};
use magnolia_protocol::decode;
use magnolia_state::ClaimChange;
use magnolia_types::{CustomerName, DataCentreName, ExecutorId, Millis, WorkClass};
use platform::{FakeInstances, LogPath};
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Timeout of `wait_for` and of HTTP calls.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// Default grace period of a stop, in milliseconds.
pub const SHORT_GRACE_MS: u64 = 500;
/// Number of slots of each executor.
pub const SLOTS: u32 = 4;

/// One daemon on its own runtime.
pub struct TestDaemon {
    pub name: String,
    /// Address for callers and operators.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    inner_address: SocketAddr,
    log_path: Arc<LogPath>,
    /// The instance list as this daemon reads it.
    instances: Arc<FakeInstances>,
    runtime: Option<Runtime>,
    stop: Option<oneshot::Sender<()>>,
    ended: Option<JoinHandle<ExitStatus>>,
}

/// A cell of daemons, with a fake log, instance list and executors.
pub struct TestCell {
    pub client: HttpClient,
    /// Grace period of a stop.
    grace_ms: u64,
    pub daemons: Vec<TestDaemon>,
    /// Executors of each group.
    pub groups: Vec<Vec<Arc<FakeExecutor>>>,
    pub log: Arc<FakeLog>,
    /// Accepts connections and answers nothing.
    silent: TcpListener,
    /// Daemons that are cut off from the log and from all other daemons.
    isolated: BTreeSet<usize>,
}

/// Returns an address that nothing else uses.
///
/// A port chosen by the kernel could be taken by an outgoing connection before the daemon listens
/// on it. Therefore the ports are below the ephemeral range. The loopback address is random, so
/// that test processes that run at the same time do not use the same addresses.
pub fn free_address() -> SocketAddr {
    static HOST: OnceLock<Ipv4Addr> = OnceLock::new();
    static NEXT_PORT: AtomicU16 = AtomicU16::new(15_000);
    let host = *HOST.get_or_init(|| {
        let [_, b, c, d] = rand::random::<u32>().to_be_bytes();
        Ipv4Addr::new(127, b.clamp(1, 254), c, d.clamp(1, 254))
    });
    (host, NEXT_PORT.fetch_add(1, Ordering::SeqCst)).into()
}

impl TestCell {
    /// Starts daemons and groups with the given numbers of executors, publishes the inventory, and
    /// waits until every group has an owner.
    pub async fn start(daemons: usize, groups: &[usize]) -> Self {
        Self::start_on(FakeLog::default(), daemons, groups, SHORT_GRACE_MS).await
    }

    /// Starts a cell with a given log and grace period of a stop.
    pub async fn start_on(log: FakeLog, daemons: usize, groups: &[usize], grace_ms: u64) -> Self {
        let log = Arc::new(log);
        let mut cell = Self {
            client: HttpClient::new(PoolSettings::new()),
            grace_ms,
            daemons: Vec::new(),
            groups: Vec::new(),
            log,
            silent: TcpListener::bind(("127.0.0.1", 0)).expect("a port"),
            isolated: BTreeSet::new(),
        };
        for (group, count) in groups.iter().enumerate() {
            let mut executors = Vec::new();
            for index in 0..*count {
                executors.push(FakeExecutor::start(&format!("e{group}-{index}"), SLOTS).await);
            }
            cell.groups.push(executors);
        }
        for index in 0..daemons {
            cell.start_daemon(&format!("d{index}"));
        }
        cell.publish().await;
        cell.wait_for_owners().await;
        cell
    }

    /// Decodes the records of stream `claims`.
    pub fn claims(&self) -> Vec<ClaimChange> {
        let records = self.log.records("claims");
        let decoded = records.iter().map(|data| {
            let bytes = BASE64_STANDARD.decode(data).expect("base64");
            decode(&bytes).expect("a claim")
        });
        decoded.collect()
    }

    /// Starts a daemon and adds it to the instance list.
    pub fn start_daemon(&mut self, name: &str) {
        let (caller_address, inner_address) = (free_address(), free_address());
        let log_path = Arc::new(LogPath {
            log: Arc::clone(&self.log),
            is_cut: AtomicBool::new(false),
        });
        let instances = Arc::new(FakeInstances::default());
        let log_address = platform::start(Arc::clone(&log_path) as _);
        let instance_address = platform::start(Arc::clone(&instances) as _);
        let args = [
            "magnoliad".to_owned(),
            format!("--daemon={name}"),
            "--data-centre=dc0".to_owned(),
            format!("--listen={caller_address}"),
            format!("--inner-listen={inner_address}"),
            format!("--log={log_address}"),
            format!("--instances={instance_address}"),
            format!("--drain-grace-ms={}", self.grace_ms),
        ];
        let args = args.into_iter().map(Into::into);
        let settings = DaemonSettings::from_args(args).expect("settings");
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let (stop, stopped) = oneshot::channel();
        let ended = runtime.spawn(async move {
            let stop = async {
                stopped.await.ok();
            };
            run_daemon(settings, stop).await.expect("a daemon")
        });
        self.daemons.push(TestDaemon {
            name: name.to_owned(),
            caller_address,
            inner_address,
            log_path,
            instances,
            runtime: Some(runtime),
            stop: Some(stop),
            ended: Some(ended),
        });
        self.update_instance_list();
    }

    /// Ends a daemon and its connections without a graceful stop.
    pub fn kill(&mut self, index: usize) {
        let daemon = &mut self.daemons[index];
        daemon.runtime.take().expect("alive").shutdown_background();
    }

    /// Pauses a daemon until the result is dropped, by blocking its only thread.
    #[must_use]
    pub fn pause(&self, index: usize) -> std::sync::mpsc::Sender<()> {
        let (paused, resumed) = std::sync::mpsc::channel();
        let runtime = self.daemons[index].runtime.as_ref().expect("alive");
        runtime.spawn(async move {
            resumed.recv().ok();
        });
        paused
    }

    /// Starts a graceful stop of a daemon; the task returns its exit status.
    pub fn stop(&mut self, index: usize) -> JoinHandle<ExitStatus> {
        let daemon = &mut self.daemons[index];
        daemon.stop.take().expect("not stopped").send(()).ok();
        daemon.ended.take().expect("not stopped")
    }

    /// Returns the index of the daemon that serves a group, according to the state dumps.
    pub async fn owner(&self, group: usize) -> Option<usize> {
        for (index, daemon) in self.daemons.iter().enumerate() {
            if daemon.runtime.is_some()
                && let Some(state) = self.state(index).await
                && state["groups"]["groups"][format!("group:g{group}")].is_object()
            {
                return Some(index);
            }
        }
        None
    }

    /// Reads the state dump of a daemon.
    pub async fn state(&self, index: usize) -> Option<Value> {
        let daemon = &self.daemons[index];
        let answer = self
            .client
            .get(daemon.caller_address, "/v1/state", TIMEOUT)
            .await;
        answer.ok()?.json().ok()
    }

    /// Sends a repeatable quick request to a daemon.
    pub async fn request(
        &self,
        index: usize,
        body: &str,
        deadline_ms: u64,
    ) -> Result<HttpAnswer, HttpError> {
        let address = self.daemons[index].caller_address;
        send_request(&self.client, address, body, deadline_ms).await
    }

    /// Sends requests until one is answered.
    pub async fn wait_until_answered(&self, index: usize, body: &str) {
        wait_for("an answer", async || {
            let answer = self.request(index, body, 2000).await;
            answer.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Waits until every group has an owner for which all slots of the executors are free.
    pub async fn wait_for_owners(&self) {
        for group in 0..self.groups.len() {
            let executors = u64::try_from(self.groups[group].len()).expect("a small number");
            wait_for("an owner with slots", async || {
                let Some(owner) = self.owner(group).await else {
                    return false;
                };
                let state = self.state(owner).await.unwrap_or_default();
                let free = state["groups"]["free_slots"][format!("group:g{group}")].as_u64();
                free == Some(executors * u64::from(SLOTS))
            })
            .await;
        }
    }

    /// Cuts daemons off, together, from the log and from all other daemons, in silence.
    pub fn isolate(&mut self, daemons: &[usize]) {
        self.isolated.extend(daemons);
        for index in &self.isolated {
            let path = &self.daemons[*index].log_path;
            path.is_cut.store(true, Ordering::SeqCst);
        }
        self.update_instance_list();
    }

    /// Replaces the instance lists by the daemons that are running. Those behind a cut have an
    /// address that answers nothing.
    pub fn update_instance_list(&self) {
        for (reader, daemon) in self.daemons.iter().enumerate() {
            let is_inside = self.isolated.contains(&reader);
            let listed = (0..).zip(&self.daemons);
            let running = listed.filter(|(_, daemon)| daemon.runtime.is_some());
            let entries = running.map(|(index, daemon)| InstanceEntry {
                instance: daemon.name.as_str().into(),
                kind: InstanceKind::Entry,
                address: if self.isolated.contains(&index) == is_inside {
                    daemon.inner_address
                } else {
                    self.silent.local_addr().expect("an address")
                },
                data_centre: DataCentreName::new("dc0").expect("a name"),
                state: InstanceState::Live,
            });
            daemon.instances.set(entries.collect());
        }
    }

    /// Publishes the inventory.
    async fn publish(&self) {
        let publication = CellConfig::new().publication_to(&self.document(), "test");
        let address = self.daemons[0].caller_address;
        wait_for("a publication", async || {
            let path = "/v1/config/publish";
            let answer = self.client.post_json(address, path, &publication, TIMEOUT);
            answer.await.is_ok_and(|answer| answer.status.is_success())
        })
        .await;
    }

    /// Returns a configuration document with the executor groups of this cell.
    fn document(&self) -> ConfigDocument {
        let centre = DataCentreName::new("dc0").expect("a name");
        let blocks = self.groups.iter().enumerate().map(|(group, executors)| {
            let sections = executors.iter().map(|executor| ExecutorSection {
                name: ExecutorId::new(&executor.name).expect("a name"),
                address: executor.address,
            });
            ExecutorBlockSection {
                name: format!("g{group}").into(),
                data_centre: centre.clone(),
                slots: SLOTS,
                connections: 16,
                leaving: false,
                executors: sections.collect(),
            }
        });
        ConfigDocument {
            cell: CellSection {
                name: "test".into(),
            },
            rules: RulesSection::default(),
            data_centres: vec![DataCentreSection {
                name: centre.clone(),
                region: "default".into(),
            }],
            racks: Vec::new(),
            executor_blocks: blocks.collect(),
            customers: vec![CustomerSection {
                name: CustomerName::new("board").expect("a name"),
                weight: 1,
                quota: None,
                max_queued: 1000,
            }],
            classes: vec![ClassSection {
                name: WorkClass::new("quick").expect("a name"),
                rank: 7,
                floor_percent: 20,
                preemptible: false,
            }],
        }
    }
}

impl Drop for TestCell {
    fn drop(&mut self) {
        // Dropping a runtime blocks, which is not allowed in an asynchronous context.
        for daemon in &mut self.daemons {
            if let Some(runtime) = daemon.runtime.take() {
                runtime.shutdown_background();
            }
        }
    }
}

/// Sends a repeatable quick request.
pub async fn send_request(
    client: &HttpClient,
    address: SocketAddr,
    body: &str,
    deadline_ms: u64,
) -> Result<HttpAnswer, HttpError> {
    let request = json!({
        "customer": "board", "class": "quick", "deadline_ms": Millis::new(deadline_ms),
        "body": body,
    });
    client
        .post_json(address, "/v1/requests", &request, TIMEOUT)
        .await
}

/// Waits until a condition holds; panics with `what` after `TIMEOUT`.
pub async fn wait_for(what: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + TIMEOUT;
    while !condition().await {
        assert!(tokio::time::Instant::now() < deadline, "no {what} in time");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
