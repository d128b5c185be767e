//! Inventory and rules: their format, checks, sections and versions.

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
pub use key_sets::{KEY_MEMORY, KeySet};
pub use record::{ConfigRecord, ConfigSnapshot, PublicationId, PublicationVerdict};
pub use replay::ConfigReplay;
pub use section::{
    CellSection, ClassSection, ConfigSection, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, PlacementPolicy, RackSection, RoutingPolicy,
    RulesSection, WorkerSection,
};
