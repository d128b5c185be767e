//! Classes of steps that compete for the same executors.

use std::collections::HashMap;
use std::sync::Arc;

use crate::{ServiceName, StepSpec};

/// What decides on which executors a step can run, apart from its size.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct StepNeed {
    service: ServiceName,
    label: Option<Arc<str>>,
    accelerators: bool,
}

/// Number of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NeedClass(u32);

/// The classes of all steps that this owner has known.
#[derive(Debug, Default)]
pub(crate) struct NeedClasses {
    classes: HashMap<StepNeed, NeedClass>,
}

impl NeedClasses {
    /// Returns the class of a step of a service.
    pub(crate) fn class_of(&mut self, service: &ServiceName, spec: &StepSpec) -> NeedClass {
        let need = StepNeed {
            service: service.clone(),
            label: spec.label.clone(),
            accelerators: spec.need.accelerators > 0,
        };
        let next = u32::try_from(self.classes.len()).unwrap_or(u32::MAX);
        *self.classes.entry(need).or_insert(NeedClass(next))
    }
}
