//! Semantic checks of a whole document.

mod error;
mod inventory;
mod limits;
mod names;

pub(crate) use error::ErrorList;
pub use error::{CheckError, CheckErrors};

use crate::ConfigDocument;

impl ConfigDocument {
    /// Checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn check(&self) -> Result<(), CheckErrors> {
        let errors = self.find_errors().into_errors(|_, _| None);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(CheckErrors { errors })
        }
    }

    /// Finds every semantic error.
    pub(crate) fn find_errors(&self) -> ErrorList {
        let mut errors = ErrorList::default();
        names::check_names(self, &mut errors);
        inventory::check_inventory(self, &mut errors);
        limits::check_limits(self, &mut errors);
        errors
    }
}
