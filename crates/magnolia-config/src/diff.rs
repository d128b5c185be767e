//! Differences between two configuration documents.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use magnolia_types::wire_types;
use serde_json::Value;

use crate::{ConfigDocument, ConfigSection};

wire_types! {
    /// A field that differs between two versions of a section.
    pub struct FieldDiff {
        /// Path of the field within its section, such as `workers/w1/address`.
        pub field: String,
        /// Old value; `None` if the field was added.
        pub old: Option<Value>,
        /// New value; `None` if the field was removed.
        pub new: Option<Value>,
    }

    /// How a section differs.
    #[serde(rename_all = "lowercase", tag = "change", content = "fields")]
    pub enum SectionDiff {
        /// The section was added.
        Added,
        /// The section was removed.
        Removed,
        /// These fields were added, removed or changed.
        Changed(Vec<FieldDiff>),
    }

    /// The sections that differ between two documents.
    pub struct ConfigDiff {
        /// Differences by the section's full name.
        pub sections: BTreeMap<String, SectionDiff>,
    }
}

impl ConfigDiff {
    /// Compares two documents; `None` stands for a cell without a configuration.
    pub fn new(old: Option<&ConfigDocument>, new: Option<&ConfigDocument>) -> Self {
        let old = old.map(ConfigDocument::sections).unwrap_or_default();
        let new = new.map(ConfigDocument::sections).unwrap_or_default();
        let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
        let sections = names.into_iter().filter_map(|name| {
            let diff = diff_section(old.get(name), new.get(name))?;
            Some((name.clone(), diff))
        });
        Self {
            sections: sections.collect(),
        }
    }

    /// Tells whether nothing differs.
    pub fn is_empty(&self) -> bool {
        self.sections.is_empty()
    }
}

impl fmt::Display for ConfigDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, diff) in &self.sections {
            match diff {
                SectionDiff::Added => writeln!(f, "+ {name}")?,
                SectionDiff::Removed => writeln!(f, "- {name}")?,
                SectionDiff::Changed(fields) => {
                    writeln!(f, "~ {name}")?;
                    fields
                        .iter()
                        .try_for_each(|field| writeln!(f, "    {field}"))?;
                }
            }
        }
        Ok(())
    }
}

impl fmt::Display for FieldDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let format_value = |value: &Option<Value>| match value {
            Some(value) => value.to_string(),
            None => "(none)".into(),
        };
        write!(
            f,
            "{}: {} -> {}",
            self.field,
            format_value(&self.old),
            format_value(&self.new)
        )
    }
}

fn diff_section(old: Option<&ConfigSection>, new: Option<&ConfigSection>) -> Option<SectionDiff> {
    match (old, new) {
        (None, None) => None,
        (None, Some(_)) => Some(SectionDiff::Added),
        (Some(_), None) => Some(SectionDiff::Removed),
        (Some(old), Some(new)) if old == new => None,
        (Some(old), Some(new)) => {
            let (old, new) = (section_fields(old), section_fields(new));
            let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            let fields = names
                .into_iter()
                .filter(|name| old.get(*name) != new.get(*name));
            let fields = fields.map(|name| FieldDiff {
                field: name.clone(),
                old: old.get(name).cloned(),
                new: new.get(name).cloned(),
            });
            Some(SectionDiff::Changed(fields.collect()))
        }
    }
}

/// Returns every scalar value of a section by its path.
fn section_fields(section: &ConfigSection) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    // The outer object of the JSON representation only names the kind of the section.
    if let Ok(Value::Object(kind)) = serde_json::to_value(section) {
        kind.into_values()
            .for_each(|value| collect_fields("", value, &mut fields));
    }
    fields
}

fn collect_fields(path: &str, value: Value, fields: &mut BTreeMap<String, Value>) {
    let join = |name: &str| match path {
        "" => name.to_owned(),
        path => format!("{path}/{name}"),
    };
    match value {
        Value::Object(object) => object
            .into_iter()
            .for_each(|(name, value)| collect_fields(&join(&name), value, fields)),
        Value::Array(elements) => {
            for (index, mut element) in elements.into_iter().enumerate() {
                // The name identifies a worker or an executor, not its index: an insertion in the
                // middle must not make all later elements differ.
                let name = element
                    .as_object_mut()
                    .and_then(|object| object.remove("name"));
                let name = match name {
                    Some(Value::String(name)) => name,
                    _ => index.to_string(),
                };
                collect_fields(&join(&name), element, fields);
            }
        }
        value => {
            fields.insert(path.into(), value);
        }
    }
}
