//! Builder that starts a cell of daemons and stand-ins.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use magnolia_config::RulesSection;
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use magnolia_types::ParseIdError;

use super::layout::{CellLayout, ports};
use super::running::{CellDaemon, RunningCell};
use super::{ChildProcess, data_centre_name};
use crate::history::HistoryWriter;
use crate::proxy::TcpProxy;

/// Reasons for which a cell did not start or a call to it failed.
#[derive(Debug, thiserror::Error)]
pub enum CellError {
    /// A process or file failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A name is invalid.
    #[error(transparent)]
    Name(#[from] ParseIdError),
    /// A part of the cell is not ready or refused a call of the lab.
    #[error("the cell is not ready or refused a call: {0}")]
    NotReady(String),
}

/// Connections of the cell that pass through proxies.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProxyPlan {
    /// Between each daemon and the log; proxies `log:<daemon>`.
    pub log: bool,
    /// In front of each daemon's address for other daemons; proxies `inner:<daemon>`.
    pub inner: bool,
    /// In front of each daemon's address for callers; proxies `callers:<daemon>`.
    pub callers: bool,
    /// In front of each worker; proxies `worker:<worker>`.
    pub workers: bool,
    /// In front of each executor; proxies `executor:<executor>`.
    pub executors: bool,
}

impl ProxyPlan {
    /// Enables all proxies.
    pub fn new_everywhere() -> Self {
        Self {
            log: true,
            inner: true,
            callers: true,
            workers: true,
            executors: true,
        }
    }
}

/// Settings of a cell to start.
pub struct CellBuilder {
    program: PathBuf,
    folder: PathBuf,
    layout: CellLayout,
    plan: ProxyPlan,
    seed: u64,
    instance_lag_ms: u64,
    worker_faults: String,
    executor_faults: String,
}

impl CellBuilder {
    /// Creates the settings of a cell of one daemon, four workers and four executors in one data
    /// centre.
    ///
    /// `program` is the path of `magnolia-lab` itself. The cell deletes the contents of `folder`
    /// and writes its configuration, output and histories there.
    pub fn new(program: &Path, folder: &Path) -> Self {
        Self {
            program: program.into(),
            folder: folder.into(),
            layout: CellLayout::new(),
            plan: ProxyPlan::default(),
            seed: 0,
            instance_lag_ms: 0,
            worker_faults: "{}".into(),
            executor_faults: "{}".into(),
        }
    }

    /// Sets the number of daemons.
    #[must_use]
    pub fn with_daemons(mut self, daemons: usize) -> Self {
        self.layout.daemons = daemons;
        self
    }

    /// Sets the number of workers and executors.
    #[must_use]
    pub fn with_backends(mut self, workers: usize, executors: usize) -> Self {
        self.layout.workers = workers;
        self.layout.executors = executors;
        self
    }

    /// Sets the number of data centres.
    #[must_use]
    pub fn with_data_centres(mut self, data_centres: usize) -> Self {
        self.layout.data_centres = data_centres;
        self
    }

    /// Sets the rules.
    #[must_use]
    pub fn with_rules(mut self, rules: RulesSection) -> Self {
        self.layout.rules = rules;
        self
    }

    /// Sets which connections pass through proxies.
    #[must_use]
    pub fn with_proxies(mut self, plan: ProxyPlan) -> Self {
        self.plan = plan;
        self
    }

    /// Sets the seed of the stand-ins.
    #[must_use]
    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the time until readers see a change of the instance list.
    #[must_use]
    pub fn with_instance_lag_ms(mut self, lag_ms: u64) -> Self {
        self.instance_lag_ms = lag_ms;
        self
    }

    /// Sets the faults of all workers and of all executors from the start, in JSON.
    #[must_use]
    pub fn with_backend_faults(mut self, workers: &str, executors: &str) -> Self {
        self.worker_faults = workers.into();
        self.executor_faults = executors.into();
        self
    }

    /// Starts the processes, publishes the configuration and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the cell does not become ready in time.
    pub async fn start(self) -> Result<RunningCell, CellError> {
        let mut cell = self.start_unpublished().await?;
        for index in 0..cell.daemons.len() {
            cell.start_daemon(index)?;
        }
        cell.announce_instances().await?;
        let document = cell.document.clone();
        cell.publish_first(&document).await?;
        cell.wait_ready().await?;
        Ok(cell)
    }

    /// Starts the stand-ins and proxies and waits until the stand-ins answer. Starts no daemon and
    /// publishes no configuration.
    ///
    /// # Errors
    ///
    /// Fails when a process or proxy does not start.
    pub async fn start_unpublished(&self) -> Result<RunningCell, CellError> {
        if self.folder.exists() {
            std::fs::remove_dir_all(&self.folder)?;
        }
        std::fs::create_dir_all(self.history_folder())?;
        let layout = &self.layout;
        let offset = |is_proxied| if is_proxied { ports::PROXY } else { 0 };
        let document = layout.document(offset(self.plan.workers), offset(self.plan.executors))?;
        let file = self.folder.join("backends.toml");
        std::fs::write(&file, layout.document(0, 0)?.to_toml())?;
        let config = format!("--config={}", file.display());
        let log = format!("--listen={}", layout.address(ports::LOG));
        let instances = format!("--listen={}", layout.address(ports::INSTANCES));
        let lag = format!("{{\"lag_ms\": {}}}", self.instance_lag_ms);
        let standins = vec![
            self.standin("log", &log, "{}")?,
            self.standin("instances", &instances, &lag)?,
            self.standin("workers", &config, &self.worker_faults)?,
            self.standin("executors", &config, &self.executor_faults)?,
        ];
        let daemons = (0..layout.daemons).map(|index| self.daemon(index));
        let history = HistoryWriter::open(&self.history_folder().join("lab.jsonl"))?;
        let proxies = self.proxies(&history).await?;
        let cell = RunningCell {
            client: HttpClient::new(PoolSettings::new()),
            program: self.program.clone(),
            folder: self.folder.clone(),
            log: layout.address(ports::LOG),
            instances: layout.address(ports::INSTANCES),
            daemons: daemons.collect::<Result<_, CellError>>()?,
            layout: layout.clone(),
            proxies,
            document,
            history,
            standins,
        };
        cell.wait_standins().await?;
        Ok(cell)
    }

    fn history_folder(&self) -> PathBuf {
        self.folder.join("history")
    }

    fn standin(&self, name: &str, flag: &str, faults: &str) -> std::io::Result<ChildProcess> {
        let history = self.history_folder().join(format!("{name}.jsonl"));
        let args = [
            name.to_owned(),
            flag.to_owned(),
            format!("--history={}", history.display()),
            format!("--seed={}", self.seed),
            format!("--faults={faults}"),
        ];
        let output = self.folder.join(format!("{name}.log"));
        ChildProcess::new(&self.program, &args, &output)
    }

    fn daemon(&self, index: usize) -> Result<CellDaemon, CellError> {
        let layout = &self.layout;
        let data_centre = data_centre_name(index % layout.data_centres)?;
        let address = |port: usize, is_proxied: bool| {
            let port = port + index;
            layout.address(if is_proxied {
                port + ports::PROXY
            } else {
                port
            })
        };
        let name = format!("d{index}");
        let log = match self.plan.log {
            true => log_proxy_port(index),
            false => ports::LOG,
        };
        let args = vec![
            "daemon".to_owned(),
            format!("--daemon={name}"),
            format!("--data-centre={data_centre}"),
            format!("--listen={}", address(ports::CALLERS, false)),
            format!("--inner-listen={}", address(ports::INNER, false)),
            format!(
                "--inner-advertise={}",
                address(ports::INNER, self.plan.inner)
            ),
            format!("--log={}", layout.address(log)),
            format!("--instances={}", layout.address(ports::INSTANCES)),
        ];
        Ok(CellDaemon {
            name: name.as_str().into(),
            data_centre,
            callers: address(ports::CALLERS, self.plan.callers),
            inner: address(ports::INNER, self.plan.inner),
            state: magnolia_backing::InstanceState::Live,
            args,
            process: None,
        })
    }

    async fn proxies(
        &self,
        history: &HistoryWriter,
    ) -> Result<BTreeMap<String, TcpProxy>, CellError> {
        let layout = &self.layout;
        let mut wanted = Vec::new();
        for index in 0..layout.daemons {
            // Whether the proxy is wanted, its kind, its port and that of its target.
            let ends = [
                (self.plan.log, "log", log_proxy_port(index), ports::LOG),
                self.daemon_proxy(self.plan.inner, "inner", ports::INNER + index),
                self.daemon_proxy(self.plan.callers, "callers", ports::CALLERS + index),
            ];
            let ends = ends.into_iter().filter(|(is_wanted, ..)| *is_wanted);
            wanted.extend(ends.map(|(_, kind, from, to)| (format!("{kind}:d{index}"), from, to)));
        }
        let backends = [
            (
                self.plan.workers,
                "worker:w",
                ports::WORKERS,
                layout.workers,
            ),
            (
                self.plan.executors,
                "executor:e",
                ports::EXECUTORS,
                layout.executors,
            ),
        ];
        for (_, kind, first, count) in backends.into_iter().filter(|(is_wanted, ..)| *is_wanted) {
            let ends = (0..count).map(|index| (index, first + index));
            wanted.extend(
                ends.map(|(index, port)| (format!("{kind}{index:03}"), port + ports::PROXY, port)),
            );
        }
        let mut proxies = BTreeMap::new();
        for (name, from, to) in wanted {
            let (from, to) = (layout.address(from), layout.address(to));
            let proxy = TcpProxy::start(&name, from, to, history.clone()).await?;
            proxies.insert(name, proxy);
        }
        Ok(proxies)
    }

    /// Describes the proxy in front of a port of a daemon.
    fn daemon_proxy(
        &self,
        is_wanted: bool,
        kind: &'static str,
        port: usize,
    ) -> (bool, &'static str, usize, usize) {
        (is_wanted, kind, port + ports::PROXY, port)
    }
}

/// Returns the port of the proxy between a daemon and the log.
fn log_proxy_port(index: usize) -> usize {
    ports::LOG + ports::PROXY + index
}
