//! Inventory and rules: their format, checks, sections and versions.

mod apply;
mod cell_config;
mod check;
mod document;
mod section;

pub use apply::{ApplyError, ConfigPublication, SectionChange};
pub use cell_config::CellConfig;
pub use check::{CheckError, CheckErrors};
pub use document::ConfigDocument;
pub use section::{
    CellSection, ClassSection, ConfigSection, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, PlacementPolicy, RackSection, RoutingPolicy,
    RulesSection, WorkerSection,
};
