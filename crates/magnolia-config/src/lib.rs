//! The configuration of a cell: document format, validation, diffs, versions and publications.
//!
//! A document consists of an inventory (data centres, racks, workers, executors) and rules. It is
//! split into named sections. Operators publish changes of sections to a stream of the platform's
//! append-only log, and all daemons that replay the stream reach the same configuration.

mod apply;
mod cell_config;
mod check;
mod diff;
mod document;
mod key_sets;
mod record;
mod replay;
mod section;
mod source;

pub use apply::{ApplyError, ConfigPublication, SectionChange};
pub use cell_config::CellConfig;
pub use check::{CheckError, CheckErrors};
pub use diff::{ConfigDiff, FieldDiff, SectionDiff};
pub use document::ConfigDocument;
pub use key_sets::{KEY_RETENTION, KeySet};
pub use record::{ConfigRecord, ConfigSnapshot, PublicationId, PublicationOutcome};
pub use replay::ConfigReplay;
pub use section::{
    CellSection, ClassSection, ConfigSection, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, PlacementPolicy, RackSection, RoutingPolicy,
    RulesSection, WorkerSection,
};
