//! A running cell and the operations of the lab on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use magnolia_backing::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_config::{CellConfig, ConfigDocument, ConfigPublication};
use magnolia_http::HttpClient;
use magnolia_types::DataCentreName;
use nix::sys::signal::Signal;
use serde_json::Value;

use super::layout::{CellLayout, ports};
use super::{CellError, ChildProcess};
use crate::history::{History, HistoryError, HistoryEvent, HistoryWriter};
use crate::proxy::TcpProxy;

/// Timeout of the wait until a cell is ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval at which a starting cell is checked.
const START_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a call of the lab.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a planned stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// One daemon of a running cell.
pub struct CellDaemon {
    /// Name.
    pub name: Arc<str>,
    /// Data centre.
    pub data_centre: DataCentreName,
    /// Address that callers use.
    pub callers: SocketAddr,
    /// Address that other daemons use.
    pub inner: SocketAddr,
    /// State in the instance list.
    pub state: InstanceState,
    /// Command-line arguments.
    pub args: Vec<String>,
    /// The process, unless it was killed or stopped.
    pub process: Option<ChildProcess>,
}

/// A running cell; dropping it ends its processes and proxies.
pub struct RunningCell {
    /// HTTP client for the calls of the lab.
    pub client: HttpClient,
    pub(super) program: PathBuf,
    pub(super) folder: PathBuf,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Daemons.
    pub daemons: Vec<CellDaemon>,
    pub(super) layout: CellLayout,
    /// Proxies by name, as [`ProxyPlan`](super::ProxyPlan) describes them.
    pub proxies: BTreeMap<String, TcpProxy>,
    /// First configuration that the lab publishes.
    pub document: ConfigDocument,
    /// Writer of the events of the lab.
    pub history: HistoryWriter,
    #[expect(dead_code, reason = "the stand-ins end when the cell is dropped")]
    pub(super) standins: Vec<ChildProcess>,
}

impl RunningCell {
    /// Returns the folder of the histories.
    pub fn history_folder(&self) -> PathBuf {
        self.folder.join("history")
    }

    /// Reads and merges the histories written so far.
    ///
    /// # Errors
    ///
    /// Fails when a history cannot be read.
    pub fn read_history(&self) -> Result<History, HistoryError> {
        History::read(&self.history_folder())
    }

    /// Returns the names of all daemons and their addresses for callers.
    pub fn daemon_addresses(&self) -> Vec<(Arc<str>, SocketAddr)> {
        let entries = self.daemons.iter();
        entries
            .map(|daemon| (Arc::clone(&daemon.name), daemon.callers))
            .collect()
    }

    /// Returns the address of a worker itself, not that of its proxy.
    pub fn worker(&self, index: usize) -> SocketAddr {
        self.layout.address(ports::WORKERS + index)
    }

    /// Returns the address of an executor itself, not that of its proxy.
    pub fn executor(&self, index: usize) -> SocketAddr {
        self.layout.address(ports::EXECUTORS + index)
    }

    /// Returns a proxy.
    ///
    /// # Panics
    ///
    /// Panics when the cell has no proxy of this name.
    pub fn proxy(&self, name: &str) -> &TcpProxy {
        self.proxies
            .get(name)
            .unwrap_or_else(|| panic!("the cell has no proxy {name}"))
    }

    /// Starts a daemon, or restarts it after its end.
    ///
    /// # Errors
    ///
    /// Fails when the process does not start.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), CellError> {
        let daemon = &mut self.daemons[index];
        let output = self.folder.join(format!("{}.log", daemon.name));
        daemon.process = Some(ChildProcess::new(&self.program, &daemon.args, &output)?);
        daemon.state = InstanceState::Live;
        let daemon = Arc::clone(&daemon.name);
        self.history.write(HistoryEvent::DaemonStarted { daemon });
        Ok(())
    }

    /// Kills a daemon and removes it from the instance list.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be killed.
    pub async fn kill_daemon(&mut self, index: usize) -> Result<(), CellError> {
        let daemon = Arc::clone(&self.daemons[index].name);
        self.history.write(HistoryEvent::DaemonKilled { daemon });
        if let Some(mut process) = self.daemons[index].process.take() {
            process.kill()?;
        }
        self.announce_instances().await
    }

    /// Pauses a daemon with SIGSTOP.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn pause_daemon(&self, index: usize) -> Result<(), CellError> {
        let daemon = Arc::clone(&self.daemons[index].name);
        self.history.write(HistoryEvent::DaemonPaused { daemon });
        self.signal(index, Signal::SIGSTOP)
    }

    /// Resumes a paused daemon.
    ///
    /// # Errors
    ///
    /// Fails when the process has ended.
    pub fn resume_daemon(&self, index: usize) -> Result<(), CellError> {
        self.signal(index, Signal::SIGCONT)?;
        let daemon = Arc::clone(&self.daemons[index].name);
        self.history.write(HistoryEvent::DaemonResumed { daemon });
        Ok(())
    }

    /// Stops a daemon with SIGTERM, waits until it exits and returns its exit status.
    ///
    /// After the signal the instance list shows it as leaving, as on the platform when an instance
    /// is replaced.
    ///
    /// # Errors
    ///
    /// Fails when the process does not exit in time.
    pub async fn stop_daemon(&mut self, index: usize) -> Result<Option<i32>, CellError> {
        let daemon = Arc::clone(&self.daemons[index].name);
        let name = Arc::clone(&daemon);
        self.history
            .write(HistoryEvent::DaemonStopping { daemon: name });
        self.signal(index, Signal::SIGTERM)?;
        self.daemons[index].state = InstanceState::Leaving;
        self.announce_instances().await?;
        let status = match &mut self.daemons[index].process {
            Some(process) => process.wait(STOP_TIMEOUT).await?,
            None => None,
        };
        self.daemons[index].process = None;
        self.history
            .write(HistoryEvent::DaemonStopped { daemon, status });
        self.announce_instances().await?;
        Ok(status)
    }

    fn signal(&self, index: usize, signal: Signal) -> Result<(), CellError> {
        let daemon = &self.daemons[index];
        match &daemon.process {
            Some(process) => Ok(process.signal(signal)?),
            None => Err(CellError::NotReady(format!(
                "{} is not running",
                daemon.name
            ))),
        }
    }

    /// Replaces the faults of a stand-in.
    ///
    /// # Errors
    ///
    /// Fails when the stand-in does not answer or rejects them.
    pub async fn set_faults(&self, standin: SocketAddr, faults: &Value) -> Result<(), CellError> {
        self.put(standin, "/faults", faults).await
    }

    /// Replaces the instance list with the running daemons.
    ///
    /// # Errors
    ///
    /// Fails when the list does not answer in time.
    pub async fn announce_instances(&self) -> Result<(), CellError> {
        let running = self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some());
        let entries: Vec<InstanceEntry> = running
            .map(|daemon| InstanceEntry {
                instance: Arc::clone(&daemon.name),
                kind: InstanceKind::Entry,
                address: daemon.inner,
                data_centre: daemon.data_centre.clone(),
                state: daemon.state,
            })
            .collect();
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.put(self.instances, "/v1/instances", &entries).await {
                Err(CellError::Http(_)) if Instant::now() < deadline => {
                    tokio::time::sleep(START_POLL_INTERVAL).await;
                }
                result => return result,
            }
        }
    }

    async fn put<T: serde::Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        body: &T,
    ) -> Result<(), CellError> {
        let body = serde_json::to_vec(body).map_err(std::io::Error::other)?;
        let request = Request::builder()
            .method(Method::PUT)
            .uri(path)
            .body(Full::new(Bytes::from(body)))
            .map_err(std::io::Error::other)?;
        let answer = self.client.call(address, request, CALL_TIMEOUT).await?;
        if answer.status.is_success() {
            return Ok(());
        }
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        Err(CellError::NotReady(format!("PUT {path}: {text}")))
    }

    /// Publishes the first configuration through the first daemon.
    ///
    /// # Errors
    ///
    /// Fails when the publication is not accepted in time.
    pub async fn publish_first(&self, document: &ConfigDocument) -> Result<(), CellError> {
        let publication = CellConfig::new().publication_to(document, "lab");
        let deadline = Instant::now() + START_TIMEOUT;
        loop {
            match self.publish(0, &publication).await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error),
                Err(_) => tokio::time::sleep(START_POLL_INTERVAL).await,
            }
        }
    }

    /// Publishes through a daemon and returns the accepted version.
    ///
    /// # Errors
    ///
    /// Fails when the publication is refused or no answer comes.
    pub async fn publish(
        &self,
        index: usize,
        publication: &ConfigPublication,
    ) -> Result<u64, CellError> {
        let address = self.daemons[index].callers;
        let path = "/v1/config/publish";
        let answer = self
            .client
            .post_json(address, path, publication, CALL_TIMEOUT)
            .await?;
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        let body: Value = answer.json()?;
        let version = body["version"]
            .as_u64()
            .filter(|_| answer.status.is_success());
        let version = version.ok_or(CellError::NotReady(text))?;
        self.history.write(HistoryEvent::ConfigAccepted { version });
        Ok(version)
    }

    /// Reads the state of a daemon.
    ///
    /// # Errors
    ///
    /// Fails when no answer comes.
    pub async fn state(&self, index: usize) -> Result<Value, CellError> {
        let address = self.daemons[index].callers;
        let answer = self.client.get(address, "/v1/state", CALL_TIMEOUT).await?;
        Ok(answer.json()?)
    }

    /// Returns the index of the daemon that owns a unit, a worker partition or an executor group,
    /// according to the daemon `through`.
    ///
    /// # Errors
    ///
    /// Fails when no daemon of this cell owns it or no answer comes.
    pub async fn owner(&self, through: usize, unit: &str) -> Result<usize, CellError> {
        let state = self.state(through).await?;
        let claims = state["claims"].as_array().cloned().unwrap_or_default();
        let claim = claims.iter().find(|claim| claim["unit"] == unit);
        let owner = claim.and_then(|claim| claim["daemon"].as_str());
        let index = self
            .daemons
            .iter()
            .position(|daemon| Some(&*daemon.name) == owner);
        index.ok_or_else(|| CellError::NotReady(format!("{unit} has no owner")))
    }

    /// Waits until the daemon `through` knows an owner of every unit of the configuration.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn wait_owners(&self, through: usize) -> Result<(), CellError> {
        let deadline = Instant::now() + START_TIMEOUT;
        for unit in self.document.units() {
            while let Err(error) = self.owner(through, unit.as_str()).await {
                if Instant::now() > deadline {
                    return Err(error);
                }
                tokio::time::sleep(START_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every stand-in answers.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub(super) async fn wait_standins(&self) -> Result<(), CellError> {
        let deadline = Instant::now() + START_TIMEOUT;
        let workers = (0..self.layout.workers).map(|index| self.worker(index));
        let executors = (0..self.layout.executors).map(|index| self.executor(index));
        let standins = [self.log, self.instances].into_iter();
        for standin in standins.chain(workers).chain(executors) {
            while let Err(error) = self.client.get(standin, "/faults", CALL_TIMEOUT).await {
                if Instant::now() > deadline {
                    return Err(error.into());
                }
                tokio::time::sleep(START_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Waits until every running daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails when that takes too long.
    pub async fn wait_ready(&self) -> Result<(), CellError> {
        let deadline = Instant::now() + START_TIMEOUT;
        for daemon in self
            .daemons
            .iter()
            .filter(|daemon| daemon.process.is_some())
        {
            loop {
                let answer = self
                    .client
                    .get(daemon.callers, "/readyz", CALL_TIMEOUT)
                    .await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(CellError::NotReady(daemon.name.to_string()));
                }
                tokio::time::sleep(START_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}
