//! The rules as the policies look them up.

use std::collections::HashMap;

use magnolia_config::{ConfigDocument, RulesSection};
use magnolia_types::{CustomerName, ResourceVector, UrgencyRank, WorkClass};

/// What the rules say of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassRule {
    /// Urgency; higher goes first.
    pub rank: UrgencyRank,
    /// Share in percent that the class keeps.
    pub floor_percent: u8,
    /// Whether its tasks give way to higher ranks.
    pub preemptible: bool,
}

/// What the rules say of a customer.
#[derive(Clone, Copy, Debug)]
pub struct CustomerRule {
    /// Weight of its share.
    pub weight: u32,
    /// Most that its running tasks hold together.
    pub quota: Option<ResourceVector>,
    /// Most requests that it has queued.
    pub max_queued: u32,
}

impl Default for CustomerRule {
    fn default() -> Self {
        Self {
            weight: 1,
            quota: None,
            max_queued: 1000,
        }
    }
}

/// Classes, customers and the numbers that decisions need.
#[derive(Clone, Debug, Default)]
pub struct RulesView {
    classes: HashMap<WorkClass, ClassRule>,
    customers: HashMap<CustomerName, CustomerRule>,
    /// Weight of packing against waiting time, 0 to 100.
    pub packing_weight: u8,
    /// Share of each worker kept for services and urgent work.
    pub headroom_percent: u8,
}

impl RulesView {
    /// Reads the rules of a document.
    pub fn new(document: &ConfigDocument) -> Self {
        let classes = document.classes.iter().map(|class| {
            let rule = ClassRule {
                rank: class.rank,
                floor_percent: class.floor_percent,
                preemptible: class.preemptible,
            };
            (class.name.clone(), rule)
        });
        let customers = document.customers.iter().map(|customer| {
            let rule = CustomerRule {
                weight: customer.weight.max(1),
                quota: customer.quota,
                max_queued: customer.max_queued,
            };
            (customer.name.clone(), rule)
        });
        let RulesSection {
            packing_weight,
            headroom_percent,
            ..
        } = document.rules;
        Self {
            classes: classes.collect(),
            customers: customers.collect(),
            packing_weight: packing_weight.min(100),
            headroom_percent: headroom_percent.min(100),
        }
    }

    /// Returns the rule of a class; a class that is not configured has the lowest rank.
    pub fn class(&self, name: &WorkClass) -> ClassRule {
        self.classes.get(name).copied().unwrap_or_default()
    }

    /// Returns the number of configured classes.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Tells whether work of the class may use the headroom: it never gives way, and some
    /// configured class is less urgent.
    pub fn is_urgent(&self, rule: &ClassRule) -> bool {
        let mut ranks = self.classes.values().map(|class| class.rank);
        !rule.preemptible && ranks.any(|rank| rank < rule.rank)
    }

    /// Returns the rule of a customer; one that is not configured has weight 1 and no quota.
    pub fn customer(&self, name: &CustomerName) -> CustomerRule {
        self.customers.get(name).copied().unwrap_or_default()
    }
}
