//! Publications and the rule that decides between conflicting ones.

use std::collections::BTreeSet;

use magnolia_types::{ConfigVersion, wire_types};

use crate::{CellConfig, CheckErrors, ConfigDocument, ConfigSection};

wire_types! {
    /// A change of one section.
    #[serde(deny_unknown_fields)]
    pub struct SectionChange {
        /// Name of the section.
        pub name: String,
        /// New content; `None` removes the section.
        pub section: Option<ConfigSection>,
    }

    /// A change that an operator publishes.
    #[serde(deny_unknown_fields)]
    pub struct ConfigPublication {
        /// Version that the operator saw.
        pub base: ConfigVersion,
        /// Who published.
        pub author: String,
        /// Changed sections.
        pub changes: Vec<SectionChange>,
    }
}

/// Sections that every document has.
const REQUIRED_SECTIONS: [&str; 2] = ["cell", "rules"];

/// Why a publication is not accepted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// A section changed after the base.
    #[error("section {section} was changed by version {won}, after the base {base}")]
    Conflict {
        /// The section.
        section: String,
        /// Version that changed it.
        won: ConfigVersion,
        /// Base of the publication.
        base: ConfigVersion,
    },
    /// The base is a version that does not exist yet.
    #[error("base {base} is newer than the newest version {newest}")]
    FutureBase {
        /// Base of the publication.
        base: ConfigVersion,
        /// Newest version.
        newest: ConfigVersion,
    },
    /// A change does not carry the section that it names.
    #[error("the change of section {0} carries another section")]
    WrongName(String),
    /// The publication lists no change.
    #[error("the publication changes nothing")]
    Empty,
    /// The publication lists a section twice.
    #[error("section {0} is listed twice; a publication lists each section once")]
    Repeated(String),
    /// The publication takes out a section that every document has.
    #[error("section {0} cannot be removed")]
    Required(String),
    /// The result does not pass the checks.
    #[error("{0}")]
    Invalid(#[from] CheckErrors),
}

impl CellConfig {
    /// Applies a publication; every reader of the log decides the same.
    ///
    /// # Errors
    ///
    /// Fails when a section changed after the base or the result does not pass the checks.
    pub fn apply(&self, publication: &ConfigPublication) -> Result<Self, ApplyError> {
        let base = publication.base;
        if base > self.version {
            return Err(ApplyError::FutureBase {
                base,
                newest: self.version,
            });
        }
        check_list(&publication.changes)?;
        let mut sections = self
            .document
            .as_ref()
            .map(ConfigDocument::sections)
            .unwrap_or_default();
        let mut next = self.clone();
        next.version = self.version.saturating_add(ConfigVersion::new(1));
        for change in &publication.changes {
            self.check_change(base, change)?;
            next.section_versions
                .insert(change.name.clone(), next.version);
            match &change.section {
                Some(section) => sections.insert(change.name.clone(), section.clone()),
                None => sections.remove(&change.name),
            };
        }
        let document = ConfigDocument::from_sections(sections.into_values());
        document.check()?;
        next.document = Some(document);
        Ok(next)
    }

    /// Makes the publication that turns this configuration into `wanted`.
    pub fn publication_to(&self, wanted: &ConfigDocument, author: &str) -> ConfigPublication {
        let old = self
            .document
            .as_ref()
            .map(ConfigDocument::sections)
            .unwrap_or_default();
        let new = wanted.sections();
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        let removed = removed.map(|name| SectionChange {
            name: name.clone(),
            section: None,
        });
        let changed = new
            .iter()
            .filter(|(name, section)| old.get(*name) != Some(*section));
        let changed = changed.map(|(name, section)| SectionChange {
            name: name.clone(),
            section: Some(section.clone()),
        });
        ConfigPublication {
            base: self.version,
            author: author.into(),
            changes: removed.chain(changed).collect(),
        }
    }

    fn check_change(&self, base: ConfigVersion, change: &SectionChange) -> Result<(), ApplyError> {
        let named = change
            .section
            .as_ref()
            .is_none_or(|section| section.name() == change.name);
        if !named {
            return Err(ApplyError::WrongName(change.name.clone()));
        }
        match self.section_versions.get(&change.name) {
            Some(&won) if won > base => Err(ApplyError::Conflict {
                section: change.name.clone(),
                won,
                base,
            }),
            _ => Ok(()),
        }
    }
}

fn check_list(changes: &[SectionChange]) -> Result<(), ApplyError> {
    if changes.is_empty() {
        return Err(ApplyError::Empty);
    }
    let mut names = BTreeSet::new();
    for change in changes {
        if !names.insert(&change.name) {
            return Err(ApplyError::Repeated(change.name.clone()));
        }
        if change.section.is_none() && REQUIRED_SECTIONS.contains(&change.name.as_str()) {
            return Err(ApplyError::Required(change.name.clone()));
        }
    }
    Ok(())
}
