//! Publications and the rule by which readers accept or reject them.

use std::collections::BTreeSet;

use magnolia_types::{ConfigVersion, wire_types};

use crate::{CellConfig, CheckErrors, ConfigDocument, ConfigSection};

wire_types! {
    /// Replaces, adds or removes one section.
    #[serde(deny_unknown_fields)]
    pub struct SectionChange {
        /// Full name of the section.
        pub name: String,
        /// New content; `None` removes the section.
        pub section: Option<ConfigSection>,
    }

    /// Changes of sections that an operator publishes together.
    #[serde(deny_unknown_fields)]
    pub struct ConfigPublication {
        /// Version on which the changes are based.
        pub base: ConfigVersion,
        /// Name of the author.
        pub author: String,
        /// Changed sections.
        pub changes: Vec<SectionChange>,
    }
}

/// Sections that every document has.
const REQUIRED_SECTIONS: [&str; 2] = ["cell", "rules"];

/// Why a publication is rejected.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ApplyError {
    /// A section changed after the base version.
    #[error("section {section} was changed by version {changed_by}, after the base {base}")]
    Conflict {
        /// The section.
        section: String,
        /// Version that last changed the section.
        changed_by: ConfigVersion,
        /// Base of the publication.
        base: ConfigVersion,
    },
    /// The base version does not exist yet.
    #[error("base {base} is newer than the newest version {newest}")]
    FutureBase {
        /// Base of the publication.
        base: ConfigVersion,
        /// Newest version.
        newest: ConfigVersion,
    },
    /// The content of a change belongs to another section than the change names.
    #[error("the change of section {0} carries another section")]
    WrongName(String),
    /// The publication contains no change.
    #[error("the publication changes nothing")]
    Empty,
    /// The publication lists a section twice.
    #[error("section {0} is listed twice; a publication lists each section once")]
    Repeated(String),
    /// The publication removes a section that every document must have.
    #[error("section {0} cannot be removed")]
    Required(String),
    /// The resulting document does not pass the checks.
    #[error("{0}")]
    Invalid(#[from] CheckErrors),
}

impl CellConfig {
    /// Returns the configuration after a publication. The decision depends only on the
    /// configuration and the publication, so that all readers of the log decide alike.
    ///
    /// # Errors
    ///
    /// Returns an error if a section changed after the base version, if the list of changes is
    /// malformed, or if the resulting document does not pass the checks.
    pub fn apply(&self, publication: &ConfigPublication) -> Result<Self, ApplyError> {
        let base = publication.base;
        if base > self.version {
            return Err(ApplyError::FutureBase {
                base,
                newest: self.version,
            });
        }
        check_change_list(&publication.changes)?;
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

    /// Creates the publication that changes this configuration into `wanted`.
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
        let has_same_name = change
            .section
            .as_ref()
            .is_none_or(|section| section.name() == change.name);
        if !has_same_name {
            return Err(ApplyError::WrongName(change.name.clone()));
        }
        match self.section_versions.get(&change.name) {
            Some(&changed_by) if changed_by > base => Err(ApplyError::Conflict {
                section: change.name.clone(),
                changed_by,
                base,
            }),
            _ => Ok(()),
        }
    }
}

fn check_change_list(changes: &[SectionChange]) -> Result<(), ApplyError> {
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
