//! Checks of a whole document.

mod fault;
mod inventory;
mod limits;
mod names;

pub(crate) use fault::FaultList;
pub use fault::{CheckError, CheckErrors};

use crate::ConfigDocument;

impl ConfigDocument {
    /// Checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Fails with every fault found.
    pub fn check(&self) -> Result<(), CheckErrors> {
        let errors = self.find_faults().into_errors(|_, _| None);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(CheckErrors { errors })
        }
    }

    /// Finds every fault of meaning.
    pub(crate) fn find_faults(&self) -> FaultList {
        let mut faults = FaultList::default();
        names::check_names(self, &mut faults);
        inventory::check_inventory(self, &mut faults);
        limits::check_limits(self, &mut faults);
        faults
    }
}
