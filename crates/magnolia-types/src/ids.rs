//! Identifiers of daemons, workers, executors, customers and work.

use crate::{number_type, text_id};

/// Maximum length of an identifier, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An identifier is empty, too long or contains a character that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind}: {text:?} is not 1 to {MAX_NAME_BYTES} ASCII letters, digits, '-', '_', '.' or ':'"
)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
}

impl ParseIdError {
    #[doc(hidden)]
    pub fn check(kind: &'static str, text: &str) -> Result<(), Self> {
        let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        if !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(allowed) {
            return Ok(());
        }
        let text = text.chars().take(MAX_NAME_BYTES).collect();
        Err(Self { kind, text })
    }
}

text_id!(
    /// Configured name of a daemon (`magnoliad`); it stays the same when the process restarts.
    DaemonId
);
text_id!(
    /// Identifies a worker of the inventory.
    WorkerId
);
text_id!(
    /// Name of a rack of the inventory.
    RackName
);
text_id!(
    /// Name of a data centre of the inventory.
    DataCentreName
);
text_id!(
    /// Identifies an executor of the inventory.
    ExecutorId
);
text_id!(
    /// Name of a customer (team) with its own share and quota.
    CustomerName
);
text_id!(
    /// Identifies a unit of ownership, a worker partition or an executor group: `partition:<name>`
    /// or `group:<name>`.
    UnitId
);
text_id!(
    /// Identifies a job: `<partition>.<random hex>`. Requests are routed by the prefix to the owner
    /// of the partition.
    JobId
);
text_id!(
    /// Identifies one attempt to run a task; never reused.
    AttemptId
);
text_id!(
    /// Identifies a quick request.
    RequestId
);
text_id!(
    /// A key chosen by the caller. Work with the same key and customer is accepted only once.
    IdempotencyKey
);

number_type!(
    /// Ownership epoch of a unit. Each valid claim increases it by 1.
    Epoch,
    ""
);
number_type!(
    /// Identifies one run of a process; drawn at random when the process starts.
    Incarnation,
    ""
);
number_type!(
    /// Position of a record in a stream of the log service.
    LogOffset,
    ""
);
number_type!(
    /// Version of the configuration: the number of accepted publications.
    ConfigVersion,
    ""
);

impl UnitId {
    /// Prefix of the ids of worker partitions.
    const PARTITION: &'static str = "partition:";
    /// Prefix of the ids of executor groups.
    const GROUP: &'static str = "group:";

    /// Creates the id of the worker partition `name`.
    ///
    /// # Errors
    ///
    /// Fails when the name is not a valid identifier.
    pub fn new_partition(name: &str) -> Result<Self, ParseIdError> {
        Self::new(&format!("{}{name}", Self::PARTITION))
    }

    /// Creates the id of the executor group `name`.
    ///
    /// # Errors
    ///
    /// Fails when the name is not a valid identifier.
    pub fn new_group(name: &str) -> Result<Self, ParseIdError> {
        Self::new(&format!("{}{name}", Self::GROUP))
    }

    /// Returns the name of the partition if the unit is a worker partition.
    pub fn partition(&self) -> Option<&str> {
        self.as_str().strip_prefix(Self::PARTITION)
    }

    /// Returns the name of the group if the unit is an executor group.
    pub fn group(&self) -> Option<&str> {
        self.as_str().strip_prefix(Self::GROUP)
    }
}

impl JobId {
    /// Creates the id of a job of `partition` from a random number.
    ///
    /// # Errors
    ///
    /// Fails when the partition name is not valid in an identifier.
    pub fn new_in(partition: &str, random: u64) -> Result<Self, ParseIdError> {
        Self::new(&format!("{partition}.{random:016x}"))
    }

    /// Returns the partition of the job, or `None` if the id has no partition prefix.
    pub fn partition(&self) -> Option<&str> {
        self.as_str()
            .rsplit_once('.')
            .map(|(partition, _)| partition)
    }
}
