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
    /// Fillers need processors that other fillers leave, and no free ones.
    filler: bool,
}

/// Number of a class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct NeedClass(u32);

/// Most classes. Callers may name any label; the steps of all further classes share one.
const MAX_CLASSES: usize = 1000;
/// Longest label with a class of its own, in bytes: longer than those of executors.
const MAX_LABEL_BYTES: usize = 128;

/// The classes of the steps that this owner has known. They are never removed.
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
            filler: spec.filler,
        };
        if let Some(class) = self.classes.get(&need) {
            return *class;
        }
        let is_long = |label: &Arc<str>| label.len() > MAX_LABEL_BYTES;
        if self.classes.len() >= MAX_CLASSES || need.label.as_ref().is_some_and(is_long) {
            return NeedClass(u32::MAX);
        }
        let next = NeedClass(u32::try_from(self.classes.len()).unwrap_or(u32::MAX));
        self.classes.insert(need, next);
        next
    }
}
