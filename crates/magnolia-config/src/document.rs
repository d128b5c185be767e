//! The configuration document that an operator writes, and lookups in it.

use std::collections::BTreeMap;

use magnolia_types::{
    CustomerName, DataCentreName, ExecutorId, ResourceVector, UnitId, WorkClass, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::source::parse_source;
use crate::{
    CellSection, CheckErrors, ClassSection, ConfigSection, CustomerSection, DataCentreSection,
    ExecutorBlockSection, ExecutorSection, RackSection, RulesSection, WorkerSection,
};

/// Inventory and rules of a cell, without versions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    /// Properties of the cell as a whole.
    pub cell: CellSection,
    /// Rules for placement, routing, leases and limits.
    #[serde(default)]
    pub rules: RulesSection,
    /// Data centres.
    #[serde(default, rename = "data_centre")]
    pub data_centres: Vec<DataCentreSection>,
    /// Racks of workers.
    #[serde(default, rename = "rack")]
    pub racks: Vec<RackSection>,
    /// Blocks of executors.
    #[serde(default, rename = "executor_block")]
    pub executor_blocks: Vec<ExecutorBlockSection>,
    /// Customers.
    #[serde(default, rename = "customer")]
    pub customers: Vec<CustomerSection>,
    /// Classes of work.
    #[serde(default, rename = "class")]
    pub classes: Vec<ClassSection>,
}

impl ConfigDocument {
    /// Parses and checks a TOML document.
    ///
    /// # Errors
    ///
    /// Returns every error found, each with its line.
    pub fn from_toml(text: &str) -> Result<Self, CheckErrors> {
        let parsed = parse_source(text);
        let mut errors = parsed.errors;
        if let Some(document) = parsed.document {
            let semantic_errors = document.find_errors();
            let semantic_errors = semantic_errors
                .into_errors(|error, occurrence| parsed.lines.find(error, occurrence));
            if errors.is_empty() && semantic_errors.is_empty() {
                return Ok(document);
            }
            if errors.is_empty() {
                errors = semantic_errors;
            } else {
                // A section that could not be parsed is missing from the document, so a reference
                // to it may be correct.
                let certain = semantic_errors
                    .into_iter()
                    .filter(|error| !error.is_unknown_reference());
                errors.extend(certain);
            }
        }
        errors.sort_by_key(|error| error.line);
        Err(CheckErrors { errors })
    }

    /// Serializes the document as TOML.
    pub fn to_toml(&self) -> String {
        toml::to_string_pretty(self).unwrap_or_default()
    }

    /// Splits the document into its sections, keyed by their full names.
    pub fn sections(&self) -> BTreeMap<String, ConfigSection> {
        let single = [
            ConfigSection::Cell(self.cell.clone()),
            ConfigSection::Rules(self.rules.clone()),
        ];
        single
            .into_iter()
            .chain(
                self.data_centres
                    .iter()
                    .cloned()
                    .map(ConfigSection::DataCentre),
            )
            .chain(self.racks.iter().cloned().map(ConfigSection::Rack))
            .chain(
                self.executor_blocks
                    .iter()
                    .cloned()
                    .map(ConfigSection::ExecutorBlock),
            )
            .chain(self.customers.iter().cloned().map(ConfigSection::Customer))
            .chain(self.classes.iter().cloned().map(ConfigSection::Class))
            .map(|section| (section.name(), section))
            .collect()
    }

    /// Builds a document from sections; sections of one kind keep the order in which they come.
    pub fn from_sections(sections: impl IntoIterator<Item = ConfigSection>) -> Self {
        let mut document = Self {
            cell: CellSection {
                name: "unnamed".into(),
            },
            rules: RulesSection::default(),
            data_centres: Vec::new(),
            racks: Vec::new(),
            executor_blocks: Vec::new(),
            customers: Vec::new(),
            classes: Vec::new(),
        };
        for section in sections {
            match section {
                ConfigSection::Cell(section) => document.cell = section,
                ConfigSection::Rules(section) => document.rules = section,
                ConfigSection::DataCentre(section) => document.data_centres.push(section),
                ConfigSection::Rack(section) => document.racks.push(section),
                ConfigSection::ExecutorBlock(section) => document.executor_blocks.push(section),
                ConfigSection::Customer(section) => document.customers.push(section),
                ConfigSection::Class(section) => document.classes.push(section),
            }
        }
        document
    }

    /// Returns the units of ownership in the inventory, which are the partitions of racks and the
    /// executor groups, sorted and without duplicates.
    pub fn units(&self) -> Vec<UnitId> {
        let partitions = self
            .racks
            .iter()
            .filter_map(|rack| UnitId::new_partition(&rack.partition).ok());
        let groups = self
            .executor_blocks
            .iter()
            .filter_map(|block| UnitId::new_group(&block.name).ok());
        let mut units: Vec<UnitId> = partitions.chain(groups).collect();
        units.sort();
        units.dedup();
        units
    }

    /// Returns the names of the partitions, sorted and without duplicates.
    pub fn partitions(&self) -> Vec<String> {
        self.units()
            .iter()
            .filter_map(|unit| unit.partition().map(str::to_owned))
            .collect()
    }

    /// Returns each worker of a partition with its rack and its capacity, which is that of the rack
    /// unless the worker has one of its own.
    pub fn workers_of<'a>(
        &'a self,
        partition: &'a str,
    ) -> impl Iterator<Item = (&'a RackSection, &'a WorkerSection, ResourceVector)> + 'a {
        self.racks
            .iter()
            .filter(move |rack| &*rack.partition == partition)
            .flat_map(|rack| {
                rack.workers
                    .iter()
                    .map(move |worker| (rack, worker, worker.capacity.unwrap_or(rack.capacity)))
            })
    }

    /// Returns the block of executors that forms the group.
    pub fn executor_block(&self, group: &str) -> Option<&ExecutorBlockSection> {
        self.executor_blocks
            .iter()
            .find(|block| &*block.name == group)
    }

    /// Returns the executor with this id and its block.
    pub fn executor(&self, id: &ExecutorId) -> Option<(&ExecutorBlockSection, &ExecutorSection)> {
        self.executor_blocks.iter().find_map(|block| {
            block
                .executors
                .iter()
                .find(|executor| executor.name == *id)
                .map(|found| (block, found))
        })
    }

    /// Returns the worker with this id and its rack.
    pub fn worker(&self, id: &WorkerId) -> Option<(&RackSection, &WorkerSection)> {
        self.racks.iter().find_map(|rack| {
            rack.workers
                .iter()
                .find(|worker| worker.name == *id)
                .map(|found| (rack, found))
        })
    }

    /// Returns the customer with this name.
    pub fn customer(&self, name: &CustomerName) -> Option<&CustomerSection> {
        self.customers
            .iter()
            .find(|customer| customer.name == *name)
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &WorkClass) -> Option<&ClassSection> {
        self.classes.iter().find(|class| class.name == *name)
    }

    /// Returns the data centre with this name.
    pub fn data_centre(&self, name: &DataCentreName) -> Option<&DataCentreSection> {
        self.data_centres
            .iter()
            .find(|data_centre| data_centre.name == *name)
    }
}
