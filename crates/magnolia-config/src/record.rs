//! Records of the configuration stream of the log.

use magnolia_types::{ConfigVersion, LogOffset, wire_types};

use crate::{ApplyError, CellConfig, ConfigPublication};

/// Random id of a publication; a repeated append has the same id, so that readers can skip it.
pub type PublicationId = u128;

wire_types! {
    /// The whole configuration as the writing daemon has read it from the log.
    pub struct ConfigSnapshot {
        /// The configuration.
        pub config: CellConfig,
        /// Offset after the last record that the configuration includes. The maximum offset marks
        /// a snapshot from a daemon's memory that restores records which the log has lost.
        pub next: LogOffset,
        /// Ids of recent publications, oldest first.
        pub recent: Vec<PublicationId>,
    }

    /// A record of the stream `config`.
    #[serde(rename_all = "snake_case")]
    pub enum ConfigRecord {
        /// A publication; each reader decides by the same rules whether it is accepted.
        Publication {
            /// Id of the publication.
            id: PublicationId,
            /// When it was written, in milliseconds of Unix time.
            #[serde(default)]
            written_unix_ms: u64,
            /// The publication.
            publication: ConfigPublication,
        },
        /// The whole configuration, so that the log may drop older records.
        Snapshot {
            /// When it was written, in milliseconds of Unix time.
            written_unix_ms: u64,
            /// The configuration.
            snapshot: Box<ConfigSnapshot>,
        },
    }
}

impl ConfigRecord {
    /// Returns the Unix time in milliseconds at which the record was written.
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

/// Outcome of a publication: the version that it created, or why it was rejected.
pub type PublicationOutcome = Result<ConfigVersion, ApplyError>;
