//! Configured rules in the form in which the policies look them up.

use std::collections::HashMap;

use magnolia_config::{ConfigDocument, RulesSection};
use magnolia_types::{CustomerName, ResourceVector, UrgencyRank, WorkClass};

/// Rules of a class.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClassRule {
    /// Urgency; higher goes first.
    pub rank: UrgencyRank,
    /// Guaranteed share in percent of the resources or slots.
    pub floor_percent: u8,
    /// Whether its tasks may be preempted by classes of higher rank.
    pub preemptible: bool,
}

/// Rules of a customer.
#[derive(Clone, Copy, Debug)]
pub struct CustomerRule {
    /// Weight of its fair share.
    pub weight: u32,
    /// Maximum total resources of its running tasks.
    pub quota: Option<ResourceVector>,
    /// Maximum number of its queued requests.
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

/// Rules of all classes and customers, and the parameters of placement.
#[derive(Clone, Debug, Default)]
pub struct RulesView {
    classes: HashMap<WorkClass, ClassRule>,
    customers: HashMap<CustomerName, CustomerRule>,
    /// Weight of packing against waiting time, 0 (waiting time only) to 100 (packing only).
    pub packing_weight: u8,
    /// Percentage of each worker that is kept free for services, urgent work and classes below
    /// their floor.
    pub headroom_percent: u8,
}

impl RulesView {
    /// Extracts the rules from a configuration document.
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

    /// Returns the rule of a class; a class that is not configured has the lowest rank and
    /// no floor, and is not preemptible.
    pub fn class(&self, name: &WorkClass) -> ClassRule {
        self.classes.get(name).copied().unwrap_or_default()
    }

    /// Returns the number of configured classes.
    pub fn class_count(&self) -> usize {
        self.classes.len()
    }

    /// Tells whether the class is urgent, so that its work may use the headroom: it is not
    /// preemptible, and some configured class has a lower rank.
    pub fn is_urgent(&self, rule: &ClassRule) -> bool {
        let mut ranks = self.classes.values().map(|class| class.rank);
        !rule.preemptible && ranks.any(|rank| rank < rule.rank)
    }

    /// Returns the rule of a customer; one that is not configured has weight 1, no quota and at
    /// most 1000 queued requests.
    pub fn customer(&self, name: &CustomerName) -> CustomerRule {
        self.customers.get(name).copied().unwrap_or_default()
    }
}
