//! Creates the policies that the configured rules select.

use magnolia_config::{ConfigDocument, PlacementPolicy, RoutingPolicy};

use crate::{
    AdmissionPolicy, FairShareAdmission, FirstFitEngine, PlacementEngine, RandomChooser,
    RoutingChooser, ScoredEngine, TwoChoiceChooser,
};

/// Creates the placement engine that the rules select, with the rules set and without workers.
pub fn new_engine(document: &ConfigDocument) -> Box<dyn PlacementEngine> {
    let mut engine: Box<dyn PlacementEngine> = match document.rules.placement {
        PlacementPolicy::Scored => Box::new(ScoredEngine::new()),
        PlacementPolicy::FirstFit => Box::new(FirstFitEngine::new()),
    };
    engine.set_rules(document);
    engine
}

/// Creates the admission policy for `slots` slots.
///
/// The rules offer no choice of admission policy; the FIFO baseline exists for benchmarks.
pub fn new_admission(document: &ConfigDocument, slots: u32) -> Box<dyn AdmissionPolicy> {
    let mut admission = Box::new(FairShareAdmission::new(document));
    admission.set_slots(slots);
    admission
}

/// Creates the chooser that the rules select.
pub fn new_chooser(document: &ConfigDocument) -> Box<dyn RoutingChooser> {
    match document.rules.routing {
        RoutingPolicy::TwoChoices => Box::new(TwoChoiceChooser::new()),
        RoutingPolicy::Random => Box::new(RandomChooser::new()),
    }
}
