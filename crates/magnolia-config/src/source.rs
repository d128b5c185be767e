//! Reads the TOML text of a document and keeps the lines of its sections.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use crate::{CheckError, ConfigDocument, RulesSection};

/// Longest value that a message repeats, in bytes.
const MAX_SHOWN_BYTES: usize = 60;

/// Kinds of sections that a document may have.
const KINDS: [&str; 7] = [
    "cell",
    "rules",
    "data_centre",
    "rack",
    "executor_block",
    "customer",
    "class",
];

/// Lines of the sections and fields of a text.
#[derive(Default)]
pub(crate) struct SourceLines {
    lines: BTreeMap<String, Vec<u32>>,
}

impl SourceLines {
    /// Returns the line of the fault: that of its field, else that of its section.
    pub(crate) fn find(&self, error: &CheckError, occurrence: usize) -> Option<u32> {
        let at = |place: &str| self.lines.get(place)?.get(occurrence).copied();
        let field = error
            .field
            .as_ref()
            .and_then(|field| at(&format!("{}#{field}", error.section)));
        field.or_else(|| at(&error.section))
    }

    fn add(&mut self, place: String, line: u32) {
        self.lines.entry(place).or_default().push(line);
    }
}

/// What came of reading a text.
pub(crate) struct SourceReading {
    /// The document, when every section could be read.
    pub(crate) document: Option<ConfigDocument>,
    /// Lines of its sections.
    pub(crate) lines: SourceLines,
    /// Faults of form.
    pub(crate) errors: Vec<CheckError>,
}

/// Reads a text and finds every fault of form.
pub(crate) fn read_source(text: &str) -> SourceReading {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut reader = SourceReader::new(text);
    for error in &errors {
        let span = error.span().unwrap_or_default();
        reader.report(span, "document", None, error.message().to_owned());
    }
    // Further messages of a line are mostly consequences of its first fault.
    reader.errors.dedup_by_key(|error| error.line);
    // What a syntax error leaves of the text is not worth further messages.
    let document = errors.is_empty().then(|| reader.read_document(table));
    SourceReading {
        document: document.flatten(),
        lines: reader.lines,
        errors: reader.errors,
    }
}

struct SourceReader<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
    lines: SourceLines,
    errors: Vec<CheckError>,
}

impl<'t> SourceReader<'t> {
    fn new(text: &'t str) -> Self {
        let ends = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(ends).collect(),
            lines: SourceLines::default(),
            errors: Vec::new(),
        }
    }

    fn read_document(&mut self, table: Spanned<DeTable<'t>>) -> Option<ConfigDocument> {
        let mut kinds = BTreeMap::new();
        for (key, value) in table.into_inner() {
            let kind = key.get_ref().to_string();
            if !KINDS.contains(&kind.as_str()) {
                let message = format!("unknown section; allowed: {}", KINDS.join(", "));
                self.report(key.span(), &kind, None, message);
            }
            kinds.insert(kind, value);
        }
        let cell = match kinds.remove("cell") {
            Some(value) => self.read_single("cell", value),
            None => {
                let message = "the section is missing; a document has one [cell] with a name";
                self.report(0..0, "cell", None, message.into());
                None
            }
        };
        let rules = match kinds.remove("rules") {
            Some(value) => self.read_single("rules", value),
            None => Some(RulesSection::default()),
        };
        let mut many = |kind: &str| kinds.remove(kind);
        let (centres, racks, blocks) = (many("data_centre"), many("rack"), many("executor_block"));
        let (customers, classes) = (many("customer"), many("class"));
        let document = ConfigDocument {
            data_centres: self.read_many("data_centre", centres),
            racks: self.read_many("rack", racks),
            executor_blocks: self.read_many("executor_block", blocks),
            customers: self.read_many("customer", customers),
            classes: self.read_many("class", classes),
            cell: cell?,
            rules: rules?,
        };
        Some(document)
    }

    fn read_single<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        value: Spanned<DeValue<'t>>,
    ) -> Option<T> {
        if value.get_ref().is_array() {
            let message = format!("the section may occur once; allowed: [{kind}]");
            self.report(value.span(), kind, None, message);
            return None;
        }
        self.read_section(kind, value)
    }

    /// Reads the sections of a kind; those with faults are left out.
    fn read_many<T: DeserializeOwned>(
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
                .filter_map(|element| self.read_section(kind, element))
                .collect(),
            other => {
                let message = format!("found a {}; allowed: [[{kind}]]", other.type_str());
                self.report(span, kind, None, message);
                Vec::new()
            }
        }
    }

    /// Reads one section. After a fault the part at fault is taken out and the rest read again,
    /// so that one reading finds every fault.
    fn read_section<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        mut value: Spanned<DeValue<'t>>,
    ) -> Option<T> {
        let section = section_name(kind, value.get_ref());
        self.note_lines(&section, &value);
        let mut removed: Vec<String> = Vec::new();
        loop {
            let deserializer = ValueDeserializer::from(value.clone());
            let error = match T::deserialize(deserializer) {
                Ok(read) if removed.is_empty() => return Some(read),
                Ok(_) => return None,
                Err(error) => error,
            };
            let is_consequence = |field: &String| {
                error
                    .message()
                    .starts_with(&format!("missing field `{field}`"))
            };
            if removed.iter().any(is_consequence) {
                return None;
            }
            let span = error.span().unwrap_or_else(|| value.span());
            let field = remove_at(&mut value, &span);
            let message = self.describe(&error, &span);
            self.report(span, &section, field.as_deref(), message);
            removed.push(field?);
        }
    }

    /// Repeats the value of a short field in the message.
    fn describe(&self, error: &toml::de::Error, span: &Range<usize>) -> String {
        let message = error.message().trim().to_owned();
        let found = self.text.get(span.clone()).unwrap_or_default().trim();
        let shown = !found.is_empty() && found.len() <= MAX_SHOWN_BYTES && !found.contains('\n');
        if shown && !found.starts_with('[') && !message.contains(found) {
            return format!("{found}: {message}");
        }
        message
    }

    fn note_lines(&mut self, section: &str, value: &Spanned<DeValue<'t>>) {
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
                    self.note_inner_lines(section, key.get_ref(), field);
                    continue;
                }
            };
            for element in field.get_ref().as_array().into_iter().flatten() {
                self.note_lines(&section_name(kind, element.get_ref()), element);
            }
        }
    }

    fn note_inner_lines(&mut self, section: &str, field: &str, value: &Spanned<DeValue<'t>>) {
        for (key, _) in value.get_ref().as_table().into_iter().flatten() {
            let line = self.line(key.span().start);
            let place = format!("{section}#{field}.{}", key.get_ref());
            self.lines.add(place, line);
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

/// Names a section by its kind and, when it has one, its name.
fn section_name(kind: &str, value: &DeValue<'_>) -> String {
    let name = value.get("name").and_then(|name| name.get_ref().as_str());
    match name {
        Some(name) if kind != "cell" => format!("{kind}/{name}"),
        _ => kind.into(),
    }
}

/// Takes the part of a table at `span` out of it: an element of an array of tables, else a whole
/// field. Returns the name of the part.
fn remove_at<'t>(value: &mut Spanned<DeValue<'t>>, span: &Range<usize>) -> Option<String> {
    let DeValue::Table(table) = value.get_mut() else {
        return None;
    };
    let holds = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    let found = table
        .iter()
        .find(|(key, field)| holds(key.span()) || holds(field.span()) || holds_inside(field, span));
    let key = found.map(|(key, _)| key.clone())?;
    let name = key.get_ref().to_string();
    if let Some(DeValue::Array(elements)) = table.get_mut(&key).map(Spanned::get_mut) {
        let index = elements
            .iter()
            .position(|element| holds(element.span()) || holds_inside(element, span));
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

/// Tells whether a part lies inside a value whose own span covers only its header.
fn holds_inside(value: &Spanned<DeValue<'_>>, span: &Range<usize>) -> bool {
    let holds = |outer: Range<usize>| outer.start <= span.start && span.end <= outer.end;
    match value.get_ref() {
        DeValue::Table(table) => table.iter().any(|(key, field)| {
            holds(key.span()) || holds(field.span()) || holds_inside(field, span)
        }),
        DeValue::Array(elements) => elements
            .iter()
            .any(|element| holds(element.span()) || holds_inside(element, span)),
        _ => false,
    }
}
