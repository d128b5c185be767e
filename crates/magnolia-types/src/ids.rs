//! Identifiers of daemons, back ends, customers and work.

use crate::{number_type, text_id};

/// Longest identifier, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// An identifier that breaks the naming rules.
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
    /// A `magnoliad` process by its configured name.
    DaemonId
);
text_id!(
    /// A worker of the inventory.
    WorkerId
);
text_id!(
    /// A rack of the inventory.
    RackName
);
text_id!(
    /// A data centre of the inventory.
    DataCentreName
);
text_id!(
    /// An executor of the inventory.
    ExecutorId
);
text_id!(
    /// A customer (team) with its own share and quota.
    CustomerName
);
text_id!(
    /// A unit of ownership: `partition:<name>` or `group:<name>`.
    UnitId
);
text_id!(
    /// A job, `<partition>.<random hex>`; the prefix routes to the owner of the partition.
    JobId
);
text_id!(
    /// One try to run a task, unique for ever.
    AttemptId
);
text_id!(
    /// A quick request.
    RequestId
);
text_id!(
    /// A key chosen by the caller; work with the same key and customer runs at most once.
    IdempotencyKey
);

number_type!(
    /// Ownership epoch of a unit; only rises.
    Epoch,
    ""
);
number_type!(
    /// One run of a process; drawn at random at its start.
    Incarnation,
    ""
);
number_type!(
    /// Position of a record in a stream of the log.
    LogOffset,
    ""
);
number_type!(
    /// Count of accepted publications; only rises.
    ConfigVersion,
    ""
);

impl UnitId {
    /// Prefix of worker partitions.
    const PARTITION: &'static str = "partition:";
    /// Prefix of executor groups.
    const GROUP: &'static str = "group:";

    /// Names the worker partition `name`.
    ///
    /// # Errors
    ///
    /// Fails when the name breaks the naming rules.
    pub fn new_partition(name: &str) -> Result<Self, ParseIdError> {
        Self::new(&format!("{}{name}", Self::PARTITION))
    }

    /// Names the executor group `name`.
    ///
    /// # Errors
    ///
    /// Fails when the name breaks the naming rules.
    pub fn new_group(name: &str) -> Result<Self, ParseIdError> {
        Self::new(&format!("{}{name}", Self::GROUP))
    }

    /// Returns the name when the unit is a worker partition.
    pub fn partition(&self) -> Option<&str> {
        self.as_str().strip_prefix(Self::PARTITION)
    }

    /// Returns the name when the unit is an executor group.
    pub fn group(&self) -> Option<&str> {
        self.as_str().strip_prefix(Self::GROUP)
    }
}

impl JobId {
    /// Names a job of `partition` with a random number.
    ///
    /// # Errors
    ///
    /// Fails when the partition name breaks the naming rules.
    pub fn new_in(partition: &str, random: u64) -> Result<Self, ParseIdError> {
        Self::new(&format!("{partition}.{random:016x}"))
    }

    /// Returns the partition that owns the job, if the id names one.
    pub fn partition(&self) -> Option<&str> {
        self.as_str()
            .rsplit_once('.')
            .map(|(partition, _)| partition)
    }
}
