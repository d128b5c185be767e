//! The sections that an operator writes.

use std::net::SocketAddr;
use std::sync::Arc;

use magnolia_types::{
    CustomerName, DataCentreName, ExecutorId, Millis, RackName, ResourceVector, UrgencyRank,
    WorkClass, WorkerId, value_types, wire_types,
};

value_types! {
    /// How tasks are placed on workers.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum PlacementPolicy {
        /// Scores workers for packing, headroom and scarce accelerators.
        #[default]
        Scored,
        /// Baseline: jobs in order of arrival, each on the first worker with room.
        FirstFit,
    }

    /// How quick requests choose an executor.
    #[serde(rename_all = "snake_case")]
    #[derive(Default)]
    pub enum RoutingPolicy {
        /// Two random choices by free slots, same data centre first.
        #[default]
        TwoChoices,
        /// Baseline: a random executor.
        Random,
    }
}

wire_types! {
    /// The cell as a whole.
    #[serde(deny_unknown_fields)]
    pub struct CellSection {
        /// Name shown to operators.
        pub name: Arc<str>,
    }

    /// A data centre.
    #[serde(deny_unknown_fields)]
    pub struct DataCentreSection {
        /// Name.
        pub name: DataCentreName,
        /// Region; partitions do not span regions.
        #[serde(default = "default_region")]
        pub region: Arc<str>,
    }

    /// One worker of a rack.
    #[serde(deny_unknown_fields)]
    pub struct WorkerSection {
        /// Name.
        pub name: WorkerId,
        /// Address of its interface.
        pub address: SocketAddr,
        /// What it has, when it differs from the rack's.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub capacity: Option<ResourceVector>,
    }

    /// A rack of workers.
    #[serde(deny_unknown_fields)]
    pub struct RackSection {
        /// Name.
        pub name: RackName,
        /// Where it stands.
        pub data_centre: DataCentreName,
        /// Partition that owns its workers.
        #[serde(default = "default_partition")]
        pub partition: Arc<str>,
        /// What each worker has.
        pub capacity: ResourceVector,
        /// Whether the rack gets no new work.
        #[serde(default)]
        pub leaving: bool,
        /// Its workers.
        #[serde(default)]
        pub workers: Vec<WorkerSection>,
    }

    /// One executor of a block.
    #[serde(deny_unknown_fields)]
    pub struct ExecutorSection {
        /// Name.
        pub name: ExecutorId,
        /// Address of its interface.
        pub address: SocketAddr,
    }

    /// A block of executors with one owner.
    #[serde(deny_unknown_fields)]
    pub struct ExecutorBlockSection {
        /// Name; also the name of the executor group.
        pub name: Arc<str>,
        /// Where the block stands.
        pub data_centre: DataCentreName,
        /// Slots of each executor.
        pub slots: u32,
        /// Connections that each executor allows.
        pub connections: u32,
        /// Whether the block gets no new work.
        #[serde(default)]
        pub leaving: bool,
        /// Its executors.
        #[serde(default)]
        pub executors: Vec<ExecutorSection>,
    }

    /// A customer with its share.
    #[serde(deny_unknown_fields)]
    pub struct CustomerSection {
        /// Name.
        pub name: CustomerName,
        /// Weight of its share against other customers.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Most that its running tasks may hold together; no bound when absent.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub quota: Option<ResourceVector>,
        /// Most quick requests that it may have queued at one entry.
        #[serde(default = "default_max_queued")]
        pub max_queued: u32,
    }

    /// A class of work.
    #[serde(deny_unknown_fields)]
    pub struct ClassSection {
        /// Name.
        pub name: WorkClass,
        /// Urgency; a higher rank goes first and may preempt lower ones.
        pub rank: UrgencyRank,
        /// Share in percent that the class keeps while others flood.
        #[serde(default)]
        pub floor_percent: u8,
        /// Whether its tasks may be throttled, checkpointed or stopped for higher ranks.
        #[serde(default)]
        pub preemptible: bool,
    }

    /// Rules of the cell.
    #[serde(deny_unknown_fields, default)]
    pub struct RulesSection {
        /// Placement policy.
        pub placement: PlacementPolicy,
        /// Routing policy of quick requests.
        pub routing: RoutingPolicy,
        /// Weight of packing against waiting time, 0 (waiting time only) to 100 (packing only).
        pub packing_weight: u8,
        /// Share of each worker in percent kept for services and urgent work.
        pub headroom_percent: u8,
        /// Length of a worker lease.
        pub lease_ms: Millis,
        /// Oldest clock reading that a start may cite.
        pub start_window_ms: Millis,
        /// Longest deadline of a quick request.
        pub max_deadline_ms: Millis,
        /// Most tasks of a job.
        pub max_tasks: u32,
        /// Hash of the key set that an operator has confirmed after a change of partitions, in hex
        /// because TOML has no unsigned 64-bit numbers.
        #[serde(with = "hex_hash", skip_serializing_if = "Option::is_none")]
        pub key_set_confirmed: Option<u64>,
    }
}

mod hex_hash {
    //! A hash as a string of hex digits.

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
        let allowed = |_| de::Error::custom(format!("{text:?} is not 1 to 16 hex digits"));
        hash.map(Some).map_err(allowed)
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

/// Any section, as a publication carries it.
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
    /// A class.
    Class(ClassSection),
    /// The rules.
    Rules(RulesSection),
}

impl ConfigSection {
    /// Returns the name of the section, `<kind>` or `<kind>/<name>`.
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
