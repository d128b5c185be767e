//! The sections of a configuration document.

use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{
    CustomerName, DataCentreName, ExecutorId, Millis, RackName, ResourceVector, UrgencyRank,
    WorkClass, WorkerId, value_types, wire_types,
};

value_types! {
    /// Policy that places tasks on workers.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum PlacementPolicy {
        /// Scores the workers with enough free capacity by how evenly and how little of it is left
        /// over; headroom and the capacity set aside for free accelerators do not count as free.
        #[default]
        Scored,
        /// Baseline for comparisons: takes jobs in order of arrival and places each on the first
        /// worker with enough free capacity.
        FirstFit,
    }

    /// Policy that routes quick requests to executors.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum RoutingPolicy {
        /// Picks two random executors with free slots, in the data centre of the routing daemon if
        /// possible, and takes the one with more free slots.
        #[default]
        TwoChoices,
        /// Baseline for comparisons: picks a random executor with free slots.
        Random,
    }
}

wire_types! {
    /// Properties of the cell as a whole.
    #[serde(deny_unknown_fields)]
    pub struct CellSection {
        /// Display name for operators.
        pub name: Arc<str>,
    }

    /// A data centre.
    #[serde(deny_unknown_fields)]
    pub struct DataCentreSection {
        /// Unique name of the data centre.
        pub name: DataCentreName,
        /// Region of the data centre; a partition lies within one region.
        #[serde(default = "default_region")]
        pub region: Arc<str>,
    }

    /// One worker of a rack.
    #[serde(deny_unknown_fields)]
    pub struct WorkerSection {
        /// Unique id of the worker.
        pub name: WorkerId,
        /// Address of the worker's HTTP interface.
        pub address: SocketAddr,
        /// Capacity, if it differs from the capacity given for the rack.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub capacity: Option<ResourceVector>,
    }

    /// A rack of workers.
    #[serde(deny_unknown_fields)]
    pub struct RackSection {
        /// Unique name of the rack.
        pub name: RackName,
        /// Data centre of the rack.
        pub data_centre: DataCentreName,
        /// Partition to which the workers belong; one daemon at a time owns it.
        #[serde(default = "default_partition")]
        pub partition: Arc<str>,
        /// Capacity of each worker that has none of its own.
        pub capacity: ResourceVector,
        /// Whether the rack is being removed and gets no new work.
        #[serde(default)]
        pub leaving: bool,
        /// Workers of the rack.
        #[serde(default)]
        pub workers: Vec<WorkerSection>,
    }

    /// One executor of a block.
    #[serde(deny_unknown_fields)]
    pub struct ExecutorSection {
        /// Unique id of the executor.
        pub name: ExecutorId,
        /// Address of the executor's HTTP interface.
        pub address: SocketAddr,
    }

    /// A block of executors, which form one group that one daemon owns.
    #[serde(deny_unknown_fields)]
    pub struct ExecutorBlockSection {
        /// Unique name of the block, also the name of the executor group.
        pub name: Arc<str>,
        /// Data centre of the block.
        pub data_centre: DataCentreName,
        /// Number of slots of each executor.
        pub slots: u32,
        /// Number of connections that each executor accepts.
        pub connections: u32,
        /// Whether the block is being removed and gets no new work.
        #[serde(default)]
        pub leaving: bool,
        /// Executors of the block.
        #[serde(default)]
        pub executors: Vec<ExecutorSection>,
    }

    /// A customer with its share, quota and queue limit.
    #[serde(deny_unknown_fields)]
    pub struct CustomerSection {
        /// Unique name of the customer.
        pub name: CustomerName,
        /// Weight of the customer's share relative to other customers.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Maximum sum of the sizes of the customer's running tasks; unlimited if absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub quota: Option<ResourceVector>,
        /// Maximum number of the customer's quick requests queued at one entry daemon, the daemon
        /// that received them.
        #[serde(default = "default_max_queued")]
        pub max_queued: u32,
    }

    /// A class of work.
    #[serde(deny_unknown_fields)]
    pub struct ClassSection {
        /// Unique name of the class.
        pub name: WorkClass,
        /// Urgency; a higher rank is served first and may preempt lower ones.
        pub rank: UrgencyRank,
        /// Guaranteed minimum share of the workers' resources and of the executors' slots in
        /// percent, also while other classes are overloaded. Classes that use less than this are
        /// served before all others, whatever their rank.
        #[serde(default)]
        pub floor_percent: u8,
        /// Whether tasks of the class may be throttled, checkpointed or stopped for higher ranks.
        #[serde(default)]
        pub preemptible: bool,
    }

    /// Rules for placement, routing, leases and limits.
    #[serde(deny_unknown_fields, default)]
    pub struct RulesSection {
        /// Policy that places tasks on workers.
        pub placement: PlacementPolicy,
        /// Policy that routes quick requests to executors.
        pub routing: RoutingPolicy,
        /// Weight of dense packing of workers relative to short mean waiting times of jobs, from 0
        /// (only waiting time counts) to 100 (only packing counts).
        pub packing_weight: u8,
        /// Share of each worker in percent that is reserved for services, urgent work and classes
        /// below their floor.
        pub headroom_percent: u8,
        /// Duration of the lease of a task attempt on a worker, counted from the clock reading in
        /// the command batch that grants or renews it.
        pub lease_ms: Millis,
        /// Maximum age of the clock reading in a command batch; the worker refuses to start
        /// attempts if the reading is older.
        pub start_window_ms: Millis,
        /// Maximum deadline of a quick request.
        pub max_deadline_ms: Millis,
        /// Maximum number of tasks of a job.
        pub max_tasks: u32,
        /// Hash of the [`KeySet`](crate::KeySet) that an operator has confirmed after a change of
        /// partitions, as a hexadecimal string because TOML has no unsigned 64-bit numbers.
        #[serde(with = "hex_hash", skip_serializing_if = "Option::is_none")]
        pub key_set_confirmed: Option<u64>,
    }
}

mod hex_hash {
    //! Serializes a 64-bit hash as a string of hexadecimal digits.

    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(hash: &Option<u64>, out: S) -> Result<S::Ok, S::Error> {
        match hash {
            Some(hash) => out.serialize_str(&format!("{hash:016x}")),
            None => out.serialize_none(),
        }
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Option<u64>, D::Error> {
        let Some(text) = Option::<String>::deserialize(from)? else {
            return Ok(None);
        };
        let hash = u64::from_str_radix(&text, 16);
        let invalid = |_| de::Error::custom(format!("{text:?} is not 1 to 16 hex digits"));
        hash.map(Some).map_err(invalid)
    }
}

fn default_region() -> Arc<str> {
    "default".into()
}

fn default_partition() -> Arc<str> {
    "p0".into()
}

fn default_weight() -> u32 {
    1
}

fn default_max_queued() -> u32 {
    1000
}

impl Default for RulesSection {
    fn default() -> Self {
        Self {
            placement: PlacementPolicy::default(),
            routing: RoutingPolicy::default(),
            packing_weight: 50,
            headroom_percent: 5,
            lease_ms: Millis::from_secs(30),
            start_window_ms: Millis::from_secs(12),
            max_deadline_ms: Millis::from_secs(60),
            max_tasks: 100_000,
            key_set_confirmed: None,
        }
    }
}

/// Content of a section of any kind, as publications carry it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigSection {
    /// The cell.
    Cell(CellSection),
    /// A data centre.
    DataCentre(DataCentreSection),
    /// A rack.
    Rack(RackSection),
    /// A block of executors.
    ExecutorBlock(ExecutorBlockSection),
    /// A customer.
    Customer(CustomerSection),
    /// A class of work.
    Class(ClassSection),
    /// The rules.
    Rules(RulesSection),
}

impl ConfigSection {
    /// Returns the full name of the section, `<kind>` or `<kind>/<name>`.
    pub fn name(&self) -> String {
        match self {
            Self::Cell(_) => "cell".into(),
            Self::DataCentre(section) => format!("data_centre/{}", section.name),
            Self::Rack(section) => format!("rack/{}", section.name),
            Self::ExecutorBlock(section) => format!("executor_block/{}", section.name),
            Self::Customer(section) => format!("customer/{}", section.name),
            Self::Class(section) => format!("class/{}", section.name),
            Self::Rules(_) => "rules".into(),
        }
    }
}
