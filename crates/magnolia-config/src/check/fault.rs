//! Faults of a document.

use std::fmt;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckError {
    /// Line of the text, from 1, when the document came as text.
    pub line: Option<u32>,
    /// Section at fault, such as `rack/r01`; `document` for the text as a whole.
    pub section: String,
    /// Field at fault, if the fault is in one field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong and what is allowed.
    pub message: String,
}

impl CheckError {
    /// Tells whether the fault is a reference to a section that the document does not have.
    pub(crate) fn is_reference(&self) -> bool {
        self.field.as_deref() == Some("data_centre")
    }
}

impl fmt::Display for CheckError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        write!(f, "{}: ", self.section)?;
        if let Some(field) = &self.field {
            write!(f, "{field}: ")?;
        }
        f.write_str(&self.message)
    }
}

/// Every fault of a document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckErrors {
    /// The faults, in the order of the document.
    pub errors: Vec<CheckError>,
}

impl fmt::Display for CheckErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(CheckError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for CheckErrors {}

/// Collects the faults of a document.
#[derive(Default)]
pub(crate) struct FaultList {
    faults: Vec<(CheckError, usize)>,
}

impl FaultList {
    /// Adds a fault of the section of this name.
    pub(crate) fn add(&mut self, section: &str, field: Option<&str>, message: String) {
        self.add_at(section, 0, field, message);
    }

    /// Adds a fault of the section that has the name for the `occurrence`th time, from 0.
    pub(crate) fn add_at(
        &mut self,
        section: &str,
        occurrence: usize,
        field: Option<&str>,
        message: String,
    ) {
        let error = CheckError {
            line: None,
            section: section.into(),
            field: field.map(Into::into),
            message,
        };
        self.faults.push((error, occurrence));
    }

    /// Adds a fault when `value` lies outside `allowed`.
    pub(crate) fn check_range(
        &mut self,
        section: &str,
        field: &str,
        value: u64,
        allowed: std::ops::RangeInclusive<u64>,
    ) {
        if !allowed.contains(&value) {
            let (low, high) = allowed.into_inner();
            let message = format!("{value} is not allowed; allowed: {low} to {high}");
            self.add(section, Some(field), message);
        }
    }

    /// Returns the faults with lines from `find_line`, in order of the lines.
    pub(crate) fn into_errors(
        self,
        find_line: impl Fn(&CheckError, usize) -> Option<u32>,
    ) -> Vec<CheckError> {
        let mut errors: Vec<CheckError> = self
            .faults
            .into_iter()
            .map(|(mut error, occurrence)| {
                error.line = find_line(&error, occurrence);
                error
            })
            .collect();
        errors.sort_by_key(|error| error.line);
        errors
    }
}
