//! Errors that the checks of a document find.

use std::fmt;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckError {
    /// Line of the text, from 1; `None` if the document was not parsed from text.
    pub line: Option<u32>,
    /// Section with the error, such as `rack/r01`; `document` for a syntax error.
    pub section: String,
    /// Field with the error, if it is in a single field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// What is wrong, and what is allowed instead.
    pub message: String,
}

impl CheckError {
    /// Tells whether the error is a reference to a section that the document does not have; only
    /// `data_centre` fields are references.
    pub(crate) fn is_unknown_reference(&self) -> bool {
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

/// All errors in a document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CheckErrors {
    /// The errors in order of their lines; those without a line come first.
    pub errors: Vec<CheckError>,
}

impl fmt::Display for CheckErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.errors.iter().map(CheckError::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for CheckErrors {}

/// Collects the errors in a document, each with the occurrence of its section's name.
#[derive(Default)]
pub(crate) struct ErrorList {
    errors: Vec<(CheckError, usize)>,
}

impl ErrorList {
    /// Adds an error in the first section with this name.
    pub(crate) fn add(&mut self, section: &str, field: Option<&str>, message: String) {
        self.add_at(section, 0, field, message);
    }

    /// Adds an error in the given occurrence of a section's name, counted from 0. Names can repeat
    /// in an invalid document.
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
        self.errors.push((error, occurrence));
    }

    /// Adds an error if `value` lies outside `allowed`.
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

    /// Sets the line of each error from `find_line` and returns the errors in order of their lines.
    pub(crate) fn into_errors(
        self,
        find_line: impl Fn(&CheckError, usize) -> Option<u32>,
    ) -> Vec<CheckError> {
        let mut errors: Vec<CheckError> = self
            .errors
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
