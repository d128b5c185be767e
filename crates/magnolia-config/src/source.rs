//! Parses the TOML text of a document and records the lines of its sections and fields.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::{CheckError, ConfigDocument, RulesSection};

/// Maximum length of a value that an error message quotes, in bytes.
const MAX_QUOTED_BYTES: usize = 60;

/// Names of the tables that a document may have.
const SECTION_KINDS: [&str; 7] = [
    "cell",
    "rules",
    "data_centre",
    "rack",
    "executor_block",
    "customer",
    "class",
];

/// Line numbers of the sections and fields of a text, counted from 1. A name that occurs several
/// times has one line for each occurrence.
#[derive(Default)]
pub(crate) struct SourceLines {
    lines: BTreeMap<String, Vec<u32>>,
}

impl SourceLines {
    /// Returns the line of the field with the error, or else the line of its section.
    /// `occurrence` selects one of several sections with the same name, counted from 0.
    pub(crate) fn find(&self, error: &CheckError, occurrence: usize) -> Option<u32> {
        let line_of = |path: &str| self.lines.get(path)?.get(occurrence).copied();
        let field = error
            .field
            .as_ref()
            .and_then(|field| line_of(&format!("{}#{field}", error.section)));
        field.or_else(|| line_of(&error.section))
    }

    fn add(&mut self, path: String, line: u32) {
        self.lines.entry(path).or_default().push(line);
    }
}

/// Result of parsing a text.
pub(crate) struct ParsedSource {
    /// The document without the sections that have errors; `None` after a syntax error, if `cell`
    /// is missing, and if `cell` or `rules` could not be parsed.
    pub(crate) document: Option<ConfigDocument>,
    /// Lines of the sections and fields.
    pub(crate) lines: SourceLines,
    /// Syntax errors, unknown or missing fields, and values of a wrong type.
    pub(crate) errors: Vec<CheckError>,
}

/// Parses a text. Reports the first syntax error of each line or, if the syntax is correct, the
/// errors in the fields of each section.
pub(crate) fn parse_source(text: &str) -> ParsedSource {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut parser = SourceParser::new(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        parser.report(span, "document", None, error.message().to_owned());
    }
    // Further errors on a line are mostly consequences of the first one.
    parser.errors.dedup_by_key(|error| error.line);
    // After a syntax error, the recovered part of the text would only give misleading errors.
    let document = errors.is_empty().then(|| parser.parse_document(table));
    ParsedSource {
        document: document.flatten(),
        lines: parser.lines,
        errors: parser.errors,
    }
}

/// State while a text is parsed.
struct SourceParser<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
    lines: SourceLines,
    errors: Vec<CheckError>,
}

impl<'t> SourceParser<'t> {
    fn new(text: &'t str) -> Self {
        let ends = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(ends).collect(),
            lines: SourceLines::default(),
            errors: Vec::new(),
        }
    }

    fn parse_document(&mut self, table: Spanned<DeTable<'t>>) -> Option<ConfigDocument> {
        let mut kinds = BTreeMap::new();
        for (key, value) in table.into_inner() {
            let kind = key.get_ref().to_string();
            if !SECTION_KINDS.contains(&kind.as_str()) {
                let message = format!("unknown section; allowed: {}", SECTION_KINDS.join(", "));
                self.report(key.span(), &kind, None, message);
            }
            kinds.insert(kind, value);
        }
        let cell = match kinds.remove("cell") {
            Some(value) => self.parse_single("cell", value),
            None => {
                let message = "the section is missing; a document has one [cell] with a name";
                self.report(0..0, "cell", None, message.into());
                None
            }
        };
        let rules = match kinds.remove("rules") {
            Some(value) => self.parse_single("rules", value),
            None => Some(RulesSection::default()),
        };
        let mut take = |kind: &str| kinds.remove(kind);
        let (data_centres, racks, blocks) =
            (take("data_centre"), take("rack"), take("executor_block"));
        let (customers, classes) = (take("customer"), take("class"));
        let document = ConfigDocument {
            data_centres: self.parse_many("data_centre", data_centres),
            racks: self.parse_many("rack", racks),
            executor_blocks: self.parse_many("executor_block", blocks),
            customers: self.parse_many("customer", customers),
            classes: self.parse_many("class", classes),
            cell: cell?,
            rules: rules?,
        };
        Some(document)
    }

    fn parse_single<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        value: Spanned<DeValue<'t>>,
    ) -> Option<T> {
        if value.get_ref().is_array() {
            let message = format!("the section may occur once; allowed: [{kind}]");
            self.report(value.span(), kind, None, message);
            return None;
        }
        self.parse_section(kind, value)
    }

    /// Parses an array of sections; those with errors are reported and left out.
    fn parse_many<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        value: Option<Spanned<DeValue<'t>>>,
    ) -> Vec<T> {
        let Some(value) = value else {
            return Vec::new();
        };
        let span = value.span();
        match value.into_inner() {
            DeValue::Array(elements) => elements
                .into_iter()
                .filter_map(|element| self.parse_section(kind, element))
                .collect(),
            other => {
                let message = format!("found a {}; allowed: [[{kind}]]", other.type_str());
                self.report(span, kind, None, message);
                Vec::new()
            }
        }
    }

    /// Parses one section. The deserializer stops at the first error, so the part with the error is
    /// removed and the rest is parsed again. A missing field ends the search, because there is no
    /// part to remove; of several missing fields, only the first is reported.
    fn parse_section<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        mut value: Spanned<DeValue<'t>>,
    ) -> Option<T> {
        let section = section_name(kind, value.get_ref());
        self.record_lines(&section, &value);
        let mut removed: Vec<String> = Vec::new();
        loop {
            let deserializer = ValueDeserializer::from(value.clone());
            let error = match T::deserialize(deserializer) {
                Ok(section) if removed.is_empty() => return Some(section),
                Ok(_) => return None,
                Err(error) => error,
            };
            // A required field that was removed because of its own error is reported as missing.
            let is_consequence = |field: &String| {
                error
                    .message()
                    .starts_with(&format!("missing field `{field}`"))
            };
            if removed.iter().any(is_consequence) {
                return None;
            }
            let span = error.span().unwrap_or_else(|| value.span());
            let field = remove_part(&mut value, &span);
            let message = self.describe(&error, &span);
            self.report(span, &section, field.as_deref(), message);
            removed.push(field?);
        }
    }

    /// Returns the message of an error, preceded by the text at `span` if that is short and not yet
    /// part of the message.
    fn describe(&self, error: &toml::de::Error, span: &Range<usize>) -> String {
        let message = error.message().trim().to_owned();
        let found = self.text.get(span.clone()).unwrap_or_default().trim();
        let is_short =
            !found.is_empty() && found.len() <= MAX_QUOTED_BYTES && !found.contains('\n');
        if is_short && !found.starts_with('[') && !message.contains(found) {
            return format!("{found}: {message}");
        }
        message
    }

    fn record_lines(&mut self, section: &str, value: &Spanned<DeValue<'t>>) {
        self.lines
            .add(section.into(), self.line(value.span().start));
        let Some(table) = value.get_ref().as_table() else {
            return;
        };
        for (key, field) in table {
            let line = self.line(key.span().start);
            self.lines.add(format!("{section}#{}", key.get_ref()), line);
            let kind = match key.get_ref().as_ref() {
                "workers" => "worker",
                "executors" => "executor",
                _ => {
                    self.record_nested_lines(section, key.get_ref(), field);
                    continue;
                }
            };
            for element in field.get_ref().as_array().into_iter().flatten() {
                self.record_lines(&section_name(kind, element.get_ref()), element);
            }
        }
    }

    fn record_nested_lines(&mut self, section: &str, field: &str, value: &Spanned<DeValue<'t>>) {
        for (key, _) in value.get_ref().as_table().into_iter().flatten() {
            let line = self.line(key.span().start);
            let path = format!("{section}#{field}.{}", key.get_ref());
            self.lines.add(path, line);
        }
    }

    fn report(&mut self, span: Range<usize>, section: &str, field: Option<&str>, message: String) {
        self.errors.push(CheckError {
            line: Some(self.line(span.start)),
            section: section.into(),
            field: field.map(Into::into),
            message,
        });
    }

    fn line(&self, offset: usize) -> u32 {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        u32::try_from(line).unwrap_or(u32::MAX)
    }
}

/// Returns the full name of a section: its kind, followed by its name if it has one. The name of
/// the cell is only for display, so it is not included.
fn section_name(kind: &str, value: &DeValue<'_>) -> String {
    let name = value.get("name").and_then(|name| name.get_ref().as_str());
    match name {
        Some(name) if kind != "cell" => format!("{kind}/{name}"),
        _ => kind.into(),
    }
}

/// Removes the part of a table that contains `span`: an element of an array, or else a whole
/// field. Returns the name of the part.
fn remove_part<'t>(value: &mut Spanned<DeValue<'t>>, span: &Range<usize>) -> Option<String> {
    let DeValue::Table(table) = value.get_mut() else {
        return None;
    };
    let contains = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    let found = table.iter().find(|(key, field)| {
        contains(key.span()) || contains(field.span()) || contains_nested(field, span)
    });
    let key = found.map(|(key, _)| key.clone())?;
    let name = key.get_ref().to_string();
    if let Some(DeValue::Array(elements)) = table.get_mut(&key).map(Spanned::get_mut) {
        let index = elements
            .iter()
            .position(|element| contains(element.span()) || contains_nested(element, span));
        if let Some(index) = index {
            let kept = elements.clone().into_iter().enumerate();
            let kept = kept.filter(|(at, _)| *at != index);
            *elements = kept.map(|(_, element)| element).collect();
            return Some(format!("{name}[{index}]"));
        }
    }
    table.remove(&key);
    Some(name)
}

/// Tells whether `span` lies in a part of the value. The span of a table with a header covers only
/// the header, so the parts are searched one by one.
fn contains_nested(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> bool {
    let contains = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    match value.get_ref() {
        DeValue::Table(table) => table.iter().any(|(key, field)| {
            contains(key.span()) || contains(field.span()) || contains_nested(field, span)
        }),
        DeValue::Array(elements) => elements
            .iter()
            .any(|element| contains(element.span()) || contains_nested(element, span)),
        _ => false,
    }
}
