//! Records of the log's configuration stream.

use magnolia_types::{ConfigVersion, LogOffset, wire_types};

use crate::{ApplyError, CellConfig, ConfigPublication};

/// Id of a publication; the same for each repeat of its append.
pub type PublicationId = u128;

wire_types! {
    /// The whole configuration as its writer had read it.
    pub struct ConfigSnapshot {
        /// The configuration.
        pub config: CellConfig,
        /// Offset after the last record that the configuration includes. The maximum means that
        /// the log had lost records, and the snapshot restores them from a daemon's memory.
        pub next: LogOffset,
        /// Ids of recent publications, oldest first.
        pub recent: Vec<PublicationId>,
    }

    /// A record of stream `config`.
    #[serde(rename_all = "snake_case")]
    pub enum ConfigRecord {
        /// A publication; readers decide whether it is accepted.
        Publication {
            /// Id of the publication.
            id: PublicationId,
            /// When it was written, in milliseconds of Unix time.
            #[serde(default)]
            written_unix_ms: u64,
            /// The publication.
            publication: ConfigPublication,
        },
        /// The whole configuration, so that older records may go out of the log.
        Snapshot {
            /// When it was written, in milliseconds of Unix time.
            written_unix_ms: u64,
            /// The configuration.
            snapshot: Box<ConfigSnapshot>,
        },
    }
}

impl ConfigRecord {
    /// Returns when the record was written, in milliseconds of Unix time.
    pub fn written_unix_ms(&self) -> u64 {
        match self {
            Self::Publication {
                written_unix_ms, ..
            }
            | Self::Snapshot {
                written_unix_ms, ..
            } => *written_unix_ms,
        }
    }
}

/// What the log order decided about a publication.
pub type PublicationVerdict = Result<ConfigVersion, ApplyError>;
