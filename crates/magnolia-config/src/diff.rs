//! Differences between two documents.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use magnolia_types::wire_types;
use serde_json::Value;

use crate::{ConfigDocument, ConfigSection};

wire_types! {
    /// One field that differs.
    pub struct FieldDiff {
        /// Path of the field within its section, such as `workers/w1/address`.
        pub field: String,
        /// Old value; `None` when the field is new.
        pub old: Option<Value>,
        /// New value; `None` when the field is gone.
        pub new: Option<Value>,
    }

    /// What happened to a section.
    #[serde(rename_all = "lowercase", tag = "change", content = "fields")]
    pub enum SectionDiff {
        /// The section is new.
        Added,
        /// The section is gone.
        Removed,
        /// These fields differ.
        Changed(Vec<FieldDiff>),
    }

    /// Sections that differ, by name.
    pub struct ConfigDiff {
        /// The sections.
        pub sections: BTreeMap<String, SectionDiff>,
    }
}

impl ConfigDiff {
    /// Compares two documents; `None` is a cell without configuration.
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
        let show = |value: &Option<Value>| match value {
            Some(value) => value.to_string(),
            None => "(none)".into(),
        };
        write!(
            f,
            "{}: {} -> {}",
            self.field,
            show(&self.old),
            show(&self.new)
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

/// Returns every single value of a section by its path.
fn section_fields(section: &ConfigSection) -> BTreeMap<String, Value> {
    let mut fields = BTreeMap::new();
    // The outer object of the JSON form only names the kind.
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
                // Workers and executors are told apart by name, so that a new one in the middle
                // does not make all later ones differ.
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
