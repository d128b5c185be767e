//! Checks of a whole document.

use std::collections::BTreeSet;
use std::fmt;

use crate::ConfigDocument;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckError {
    /// Line of the text, from 1, when the document came as text.
    pub line: Option<u32>,
    /// Section at fault.
    pub section: String,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: {}", self.section, self.message)
    }
}

/// Every fault of a document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckErrors {
    /// The faults, in the order of the document.
    pub errors: Vec<CheckError>,
}

impl CheckErrors {
    /// Makes the fault of a text that is not a document.
    pub fn new_parse(text: &str, error: &toml::de::Error) -> Self {
        let before = |start: usize| text.get(..start).unwrap_or(text).matches('\n').count() + 1;
        let line = error
            .span()
            .and_then(|span| u32::try_from(before(span.start)).ok());
        let message = error.message().to_owned();
        Self {
            errors: vec![CheckError {
                line,
                section: "document".into(),
                message,
            }],
        }
    }
}

impl fmt::Display for CheckErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(CheckError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for CheckErrors {}

impl ConfigDocument {
    /// Checks the document as a whole.
    ///
    /// # Errors
    ///
    /// Fails with every fault found.
    pub fn check(&self) -> Result<(), CheckErrors> {
        let mut errors = Vec::new();
        self.check_names(&mut errors);
        self.check_references(&mut errors);
        if errors.is_empty() {
            Ok(())
        } else {
            Err(CheckErrors { errors })
        }
    }

    fn check_names(&self, errors: &mut Vec<CheckError>) {
        let workers = self.racks.iter().flat_map(|rack| &rack.workers);
        let executors = self
            .executor_blocks
            .iter()
            .flat_map(|block| &block.executors);
        let names = (self
            .data_centres
            .iter()
            .map(|centre| format!("data_centre:{}", centre.name)))
        .chain(self.racks.iter().map(|rack| format!("rack:{}", rack.name)))
        .chain(
            self.executor_blocks
                .iter()
                .map(|block| format!("executor_block:{}", block.name)),
        )
        .chain(
            self.customers
                .iter()
                .map(|customer| format!("customer:{}", customer.name)),
        )
        .chain(
            self.classes
                .iter()
                .map(|class| format!("class:{}", class.name)),
        )
        .chain(workers.map(|worker| format!("worker:{}", worker.name)))
        .chain(executors.map(|executor| format!("executor:{}", executor.name)));
        let mut seen = BTreeSet::new();
        for name in names {
            if !seen.insert(name.clone()) {
                errors.push(fault(&name, "the name is used twice"));
            }
        }
    }

    fn check_references(&self, errors: &mut Vec<CheckError>) {
        let known = |name| self.data_centre(name).is_some();
        for rack in self.racks.iter().filter(|rack| !known(&rack.data_centre)) {
            let message = format!("data centre {} is not in the inventory", rack.data_centre);
            errors.push(fault(&format!("rack:{}", rack.name), &message));
        }
        for block in self
            .executor_blocks
            .iter()
            .filter(|block| !known(&block.data_centre))
        {
            let message = format!("data centre {} is not in the inventory", block.data_centre);
            errors.push(fault(&format!("executor_block:{}", block.name), &message));
        }
    }
}

fn fault(section: &str, message: &str) -> CheckError {
    CheckError {
        line: None,
        section: section.into(),
        message: message.into(),
    }
}
