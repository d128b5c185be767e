//! A cell of daemons and stand-ins.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::Full;
use magnolia_config::{
    CellConfig, CellSection, ClassSection, ConfigDocument, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, RackSection, RulesSection, WorkerSection,
};
use magnolia_http::{HttpClient, HttpError, PoolSettings};
use magnolia_platform::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_types::{
    CustomerName, DataCentreName, ExecutorId, ParseIdError, RackName, ResourceVector, WorkClass,
    WorkerId,
};

use super::ChildProcess;

/// Longest time until a new cell answers.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Time between two looks at a starting cell.
const START_POLL: Duration = Duration::from_millis(50);
/// Longest time of a call of the lab.
const CALL_LIMIT: Duration = Duration::from_secs(5);
/// Workers of a rack.
const WORKERS_PER_RACK: usize = 8;

/// Why a cell did not start.
#[derive(Debug, thiserror::Error)]
pub enum CellError {
    /// A process or file failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// A call failed.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// A name breaks the naming rules.
    #[error(transparent)]
    Name(#[from] ParseIdError),
    /// The cell did not answer in time.
    #[error("the cell did not become ready: {0}")]
    NotReady(String),
}

/// Sizes of a cell.
pub struct CellBuilder {
    program: PathBuf,
    folder: PathBuf,
    daemons: usize,
    workers: usize,
    executors: usize,
    data_centres: usize,
}

impl CellBuilder {
    /// Creates a cell of one daemon, four workers and four executors in one data centre.
    ///
    /// `program` is `magnolia-lab` itself; `folder` takes the configuration file.
    pub fn new(program: &Path, folder: &Path) -> Self {
        Self {
            program: program.into(),
            folder: folder.into(),
            daemons: 1,
            workers: 4,
            executors: 4,
            data_centres: 1,
        }
    }

    /// Sets the number of daemons.
    #[must_use]
    pub fn with_daemons(mut self, daemons: usize) -> Self {
        self.daemons = daemons;
        self
    }

    /// Sets the number of workers and executors.
    #[must_use]
    pub fn with_backends(mut self, workers: usize, executors: usize) -> Self {
        self.workers = workers;
        self.executors = executors;
        self
    }

    /// Sets the number of data centres.
    #[must_use]
    pub fn with_data_centres(mut self, data_centres: usize) -> Self {
        self.data_centres = data_centres;
        self
    }

    /// Starts the processes, publishes the configuration and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails when a process does not start or the cell does not become ready in time.
    pub async fn start(self) -> Result<RunningCell, CellError> {
        let document = self.document()?;
        let log = free_address()?;
        let instances = free_address()?;
        std::fs::create_dir_all(&self.folder)?;
        let file = self.folder.join("cell.toml");
        std::fs::write(&file, document.to_toml())?;
        let path = file.display().to_string();
        let mut cell = RunningCell {
            client: HttpClient::new(PoolSettings::new()),
            log,
            instances,
            daemons: Vec::new(),
            standins: vec![
                self.standin("log", "--listen", &log.to_string())?,
                self.standin("instances", "--listen", &instances.to_string())?,
                self.standin("workers", "--config", &path)?,
                self.standin("executors", "--config", &path)?,
            ],
        };
        for index in 0..self.daemons {
            cell.daemons.push(self.daemon(index, log, instances)?);
        }
        cell.announce_instances().await?;
        cell.publish(&document).await?;
        cell.wait_ready().await?;
        Ok(cell)
    }

    fn standin(&self, name: &str, flag: &str, value: &str) -> std::io::Result<ChildProcess> {
        ChildProcess::new(&self.program, &[name.into(), flag.into(), value.into()])
    }

    fn daemon(
        &self,
        index: usize,
        log: SocketAddr,
        instances: SocketAddr,
    ) -> Result<CellDaemon, CellError> {
        let name = format!("d{index}");
        let data_centre = format!("dc{}", index % self.data_centres);
        let (callers, inner) = (free_address()?, free_address()?);
        let args = [
            "daemon".to_owned(),
            format!("--daemon={name}"),
            format!("--data-centre={data_centre}"),
            format!("--listen={callers}"),
            format!("--inner-listen={inner}"),
            format!("--log={log}"),
            format!("--instances={instances}"),
        ];
        let process = Some(ChildProcess::new(&self.program, &args)?);
        Ok(CellDaemon {
            name,
            data_centre,
            callers,
            inner,
            process,
        })
    }

    /// Makes the inventory and rules of the cell.
    fn document(&self) -> Result<ConfigDocument, CellError> {
        let centres = (0..self.data_centres).map(|index| {
            Ok(DataCentreSection {
                name: centre_name(index)?,
                region: "default".into(),
            })
        });
        let racks = (0..self.workers.div_ceil(WORKERS_PER_RACK)).map(|index| self.rack(index));
        let blocks = (0..self.data_centres).map(|index| self.executor_block(index));
        let customers = ["board", "guild"].into_iter().map(|name| {
            let name = CustomerName::new(name)?;
            Ok(CustomerSection {
                name,
                weight: 1,
                quota: None,
                max_queued: 1000,
            })
        });
        let classes = [
            ("batch", 1, 20, true),
            ("service", 5, 20, false),
            ("quick", 7, 20, false),
        ];
        let classes = classes
            .into_iter()
            .map(|(name, rank, floor_percent, preemptible)| {
                Ok(ClassSection {
                    name: WorkClass::new(name)?,
                    rank,
                    floor_percent,
                    preemptible,
                })
            });
        Ok(ConfigDocument {
            cell: CellSection { name: "lab".into() },
            rules: RulesSection::default(),
            data_centres: centres.collect::<Result<_, CellError>>()?,
            racks: racks.collect::<Result<_, CellError>>()?,
            executor_blocks: blocks.collect::<Result<_, CellError>>()?,
            customers: customers.collect::<Result<_, CellError>>()?,
            classes: classes.collect::<Result<_, CellError>>()?,
        })
    }

    fn rack(&self, index: usize) -> Result<RackSection, CellError> {
        let first = index * WORKERS_PER_RACK;
        let last = self.workers.min(first + WORKERS_PER_RACK);
        let workers = (first..last).map(|worker| {
            let name = WorkerId::new(&format!("w{worker:03}"))?;
            Ok(WorkerSection {
                name,
                address: free_address()?,
                capacity: None,
            })
        });
        Ok(RackSection {
            name: RackName::new(&format!("r{index:02}"))?,
            data_centre: centre_name(index % self.data_centres)?,
            partition: "p0".into(),
            capacity: ResourceVector::new(32_000, 128 << 10, 0),
            leaving: false,
            workers: workers.collect::<Result<_, CellError>>()?,
        })
    }

    fn executor_block(&self, index: usize) -> Result<ExecutorBlockSection, CellError> {
        let mine = (index..self.executors).step_by(self.data_centres);
        let executors = mine.map(|executor| {
            let name = ExecutorId::new(&format!("e{executor:03}"))?;
            Ok(ExecutorSection {
                name,
                address: free_address()?,
            })
        });
        Ok(ExecutorBlockSection {
            name: format!("g{index}").into(),
            data_centre: centre_name(index)?,
            slots: 8,
            connections: 64,
            leaving: false,
            executors: executors.collect::<Result<_, CellError>>()?,
        })
    }
}

/// One daemon of a running cell.
pub struct CellDaemon {
    /// Name.
    pub name: String,
    /// Where it runs.
    pub data_centre: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub inner: SocketAddr,
    /// The process, unless it was ended.
    pub process: Option<ChildProcess>,
}

/// A running cell; its processes end when it is dropped.
pub struct RunningCell {
    /// Client of the lab.
    pub client: HttpClient,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Daemons.
    pub daemons: Vec<CellDaemon>,
    #[expect(dead_code, reason = "the stand-ins end when the cell is dropped")]
    standins: Vec<ChildProcess>,
}

impl RunningCell {
    /// Publishes a configuration through the first daemon.
    ///
    /// # Errors
    ///
    /// Fails when the publication is not accepted in time.
    pub async fn publish(&self, document: &ConfigDocument) -> Result<(), CellError> {
        let publication = CellConfig::new().publication_to(document, "lab");
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let address = self.daemons[0].callers;
            let path = "/v1/config/publish";
            let result = self
                .client
                .post_json(address, path, &publication, CALL_LIMIT)
                .await;
            match result {
                Ok(answer) if answer.status.is_success() => return Ok(()),
                Ok(answer) if Instant::now() > deadline => {
                    let text = String::from_utf8_lossy(&answer.body).into_owned();
                    return Err(CellError::NotReady(text));
                }
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                _ => tokio::time::sleep(START_POLL).await,
            }
        }
    }

    async fn announce_instances(&self) -> Result<(), CellError> {
        let entries = self.daemons.iter().map(|daemon| {
            Ok(InstanceEntry {
                instance: daemon.name.as_str().into(),
                kind: InstanceKind::Entry,
                address: daemon.inner,
                data_centre: DataCentreName::new(&daemon.data_centre)?,
                state: InstanceState::Live,
            })
        });
        let entries = entries.collect::<Result<Vec<_>, CellError>>()?;
        let body = serde_json::to_vec(&entries).map_err(std::io::Error::other)?;
        let deadline = Instant::now() + START_LIMIT;
        loop {
            let request = Request::builder()
                .method(Method::PUT)
                .uri("/v1/instances")
                .body(Full::new(Bytes::from(body.clone())))
                .map_err(std::io::Error::other)?;
            match self.client.call(self.instances, request, CALL_LIMIT).await {
                Ok(_) => return Ok(()),
                Err(error) if Instant::now() > deadline => return Err(error.into()),
                Err(_) => tokio::time::sleep(START_POLL).await,
            }
        }
    }

    async fn wait_ready(&self) -> Result<(), CellError> {
        let deadline = Instant::now() + START_LIMIT;
        for daemon in &self.daemons {
            loop {
                let answer = self.client.get(daemon.callers, "/readyz", CALL_LIMIT).await;
                if answer.is_ok_and(|answer| answer.status.is_success()) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(CellError::NotReady(daemon.name.clone()));
                }
                tokio::time::sleep(START_POLL).await;
            }
        }
        Ok(())
    }
}

fn centre_name(index: usize) -> Result<DataCentreName, ParseIdError> {
    DataCentreName::new(&format!("dc{index}"))
}

/// Finds an unused loopback address.
fn free_address() -> std::io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
