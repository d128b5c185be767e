//! Output as text for people or as JSON for programs.

use std::io::Write;

use serde_json::Value;

use crate::endpoint::CallFailure;

/// Writes results to standard output and remarks to standard error.
///
/// Write errors are ignored, because a reader such as `head` that closes the pipe early is not a
/// failure of the command.
#[derive(Clone, Copy, Debug)]
pub struct CommandOutput {
    is_json: bool,
}

impl CommandOutput {
    /// Creates an output that writes results as JSON or as text.
    pub fn new(is_json: bool) -> Self {
        Self { is_json }
    }

    /// Writes a result, either as JSON or as text.
    pub fn result(&self, json: &Value, text: &str) {
        let shown = match self.is_json {
            true => format!("{json:#}\n"),
            false => text.to_owned(),
        };
        let mut out = std::io::stdout().lock();
        out.write_all(shown.as_bytes()).ok();
        if !shown.is_empty() && !shown.ends_with('\n') {
            out.write_all(b"\n").ok();
        }
    }

    /// Writes a failure, either as JSON to standard output or as text to standard error.
    pub fn failure(&self, failure: &CallFailure) {
        match self.is_json {
            true => self.result(&failure.json, ""),
            false => self.print_message(&format!("magnoliactl: {}", failure.message)),
        }
    }

    /// Writes a message to standard error, such as one about progress or a failure.
    pub fn print_message(&self, text: &str) {
        writeln!(std::io::stderr().lock(), "{text}").ok();
    }
}

/// Aligns the cells of rows in columns; the first row is the heading.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(String::len).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let cells: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
