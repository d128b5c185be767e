//! Addresses and configuration of a cell.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use magnolia_config::{
    CellSection, ClassSection, ConfigDocument, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, RackSection, RulesSection, WorkerSection,
};
use magnolia_types::{
    CustomerName, DataCentreName, ExecutorId, ParseIdError, RackName, ResourceVector, WorkClass,
    WorkerId,
};

/// Largest number of workers in a rack.
const WORKERS_PER_RACK: usize = 8;
/// Resources of a worker: 32 cores, 128 GiB of memory and no accelerators.
const WORKER_CAPACITY: ResourceVector = ResourceVector::new(32_000, 128 << 10, 0);
/// Slots of an executor.
const EXECUTOR_SLOTS: u32 = 8;
/// Connections of an executor.
const EXECUTOR_CONNECTIONS: u32 = 64;

/// Ports of each kind of address; daemons, workers and executors count up from the first port.
///
/// They are below the range from which the kernel picks the local ports of outgoing connections, so
/// that no connection can occupy one.
pub mod ports {
    /// Log service.
    pub const LOG: usize = 12_000;
    /// Instance list.
    pub const INSTANCES: usize = 12_001;
    /// First daemon, for callers.
    pub const CALLERS: usize = 12_100;
    /// First daemon, for other daemons.
    pub const INNER: usize = 12_200;
    /// First worker.
    pub const WORKERS: usize = 13_000;
    /// First executor.
    pub const EXECUTORS: usize = 14_000;
    /// Added to a port to get that of the proxy in front of it; the log has a proxy per daemon.
    pub const PROXY: usize = 10_000;
}

/// Sizes and addresses of a cell.
#[derive(Clone)]
pub struct CellLayout {
    /// Loopback address, chosen at random so that cells that run at the same time do not collide.
    host: Ipv4Addr,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of workers.
    pub workers: usize,
    /// Number of executors.
    pub executors: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Section `rules` of the configuration.
    pub rules: RulesSection,
}

impl CellLayout {
    /// Creates a cell of one daemon, four workers and four executors in one data centre.
    pub fn new() -> Self {
        let [_, b, c, d] = rand::random::<u32>().to_be_bytes();
        Self {
            host: Ipv4Addr::new(127, b.clamp(1, 254), c, d.clamp(1, 254)),
            daemons: 1,
            workers: 4,
            executors: 4,
            data_centres: 1,
            rules: RulesSection::default(),
        }
    }

    /// Returns the address of a port of this cell.
    pub fn address(&self, port: usize) -> SocketAddr {
        let port = u16::try_from(port).expect("ports of a cell are below 65536");
        SocketAddr::new(IpAddr::V4(self.host), port)
    }

    /// Returns the configuration. The offsets are added to the ports of workers and executors, so
    /// that it can name their proxies instead.
    ///
    /// # Errors
    ///
    /// Fails when a name breaks the naming rules.
    pub fn document(
        &self,
        worker_offset: usize,
        executor_offset: usize,
    ) -> Result<ConfigDocument, ParseIdError> {
        let racks = 0..self.workers.div_ceil(WORKERS_PER_RACK);
        let data_centres = (0..self.data_centres).map(|index| {
            Ok(DataCentreSection {
                name: data_centre_name(index)?,
                region: "default".into(),
            })
        });
        let racks = racks.map(|index| self.rack(index, worker_offset));
        let blocks = (0..self.data_centres).map(|index| self.block(index, executor_offset));
        Ok(ConfigDocument {
            cell: CellSection { name: "lab".into() },
            rules: self.rules.clone(),
            data_centres: data_centres.collect::<Result<_, ParseIdError>>()?,
            racks: racks.collect::<Result<_, _>>()?,
            executor_blocks: blocks.collect::<Result<_, _>>()?,
            customers: customers()?,
            classes: classes()?,
        })
    }

    fn rack(&self, index: usize, offset: usize) -> Result<RackSection, ParseIdError> {
        let first = index * WORKERS_PER_RACK;
        let last = self.workers.min(first + WORKERS_PER_RACK);
        let workers = (first..last).map(|worker| {
            Ok(WorkerSection {
                name: WorkerId::new(&format!("w{worker:03}"))?,
                address: self.address(ports::WORKERS + worker + offset),
                capacity: None,
            })
        });
        Ok(RackSection {
            name: RackName::new(&format!("r{index:02}"))?,
            data_centre: data_centre_name(index % self.data_centres)?,
            partition: "p0".into(),
            capacity: WORKER_CAPACITY,
            leaving: false,
            workers: workers.collect::<Result<_, ParseIdError>>()?,
        })
    }

    fn block(&self, index: usize, offset: usize) -> Result<ExecutorBlockSection, ParseIdError> {
        let indices = (index..self.executors).step_by(self.data_centres);
        let executors = indices.map(|executor| {
            Ok(ExecutorSection {
                name: ExecutorId::new(&format!("e{executor:03}"))?,
                address: self.address(ports::EXECUTORS + executor + offset),
            })
        });
        Ok(ExecutorBlockSection {
            name: format!("g{index}").into(),
            data_centre: data_centre_name(index)?,
            slots: EXECUTOR_SLOTS,
            connections: EXECUTOR_CONNECTIONS,
            leaving: false,
            executors: executors.collect::<Result<_, ParseIdError>>()?,
        })
    }
}

impl Default for CellLayout {
    fn default() -> Self {
        Self::new()
    }
}

fn customers() -> Result<Vec<CustomerSection>, ParseIdError> {
    let customers = ["board", "guild"].into_iter().map(|name| {
        Ok(CustomerSection {
            name: CustomerName::new(name)?,
            weight: 1,
            quota: None,
            max_queued: 1000,
        })
    });
    customers.collect()
}

fn classes() -> Result<Vec<ClassSection>, ParseIdError> {
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
    classes.collect()
}

/// Returns the name of a data centre.
///
/// # Errors
///
/// Never fails for indices of a cell.
pub fn data_centre_name(index: usize) -> Result<DataCentreName, ParseIdError> {
    DataCentreName::new(&format!("dc{index}"))
}
