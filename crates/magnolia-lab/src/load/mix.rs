//! Weights of the kinds of work in a load.

use std::str::FromStr;

/// Kinds of work of a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WorkKind {
    /// Quick request that may repeat.
    Quick,
    /// Quick request that is not repeatable.
    Once,
    /// Batch job.
    Batch,
    /// Batch job whose tasks are not repeatable.
    BatchOnce,
    /// Gang, whose tasks start together.
    Gang,
    /// Service, cancelled at the end of the load.
    Service,
}

impl WorkKind {
    /// All kinds with their names, in the order of reports.
    pub const ALL: [(Self, &'static str); 6] = [
        (Self::Quick, "quick"),
        (Self::Once, "once"),
        (Self::Batch, "batch"),
        (Self::BatchOnce, "batch-once"),
        (Self::Gang, "gang"),
        (Self::Service, "service"),
    ];

    /// Returns the name.
    pub fn name(self) -> &'static str {
        Self::ALL
            .iter()
            .find(|(kind, _)| *kind == self)
            .map_or("", |(_, name)| name)
    }
}

/// A mix that is malformed, names an unknown kind or has no weight above 0.
#[derive(Debug, thiserror::Error)]
#[error("mix {0:?}: expected pairs such as quick=80,batch=20 with a sum above 0")]
pub struct ParseMixError(String);

/// Weights of the kinds.
#[derive(Clone, Debug)]
pub struct LoadMix {
    weights: Vec<(WorkKind, u32)>,
}

impl LoadMix {
    /// Creates a mix of only quick requests that may repeat.
    pub fn new_quick() -> Self {
        Self {
            weights: vec![(WorkKind::Quick, 1)],
        }
    }

    /// Creates a mix of all kinds, mostly quick requests.
    pub fn new_mixed() -> Self {
        Self {
            weights: vec![
                (WorkKind::Quick, 76),
                (WorkKind::Once, 10),
                (WorkKind::Batch, 10),
                (WorkKind::BatchOnce, 1),
                (WorkKind::Gang, 2),
                (WorkKind::Service, 1),
            ],
        }
    }

    /// Creates a mix of only batch jobs whose tasks may repeat.
    pub fn new_batch() -> Self {
        Self {
            weights: vec![(WorkKind::Batch, 1)],
        }
    }

    /// Returns the kind for a random number below [`total`](Self::total).
    pub fn pick(&self, mut draw: u32) -> WorkKind {
        for (kind, weight) in &self.weights {
            if draw < *weight {
                return *kind;
            }
            draw -= weight;
        }
        WorkKind::Quick
    }

    /// Returns the sum of the weights.
    pub fn total(&self) -> u32 {
        self.weights.iter().map(|(_, weight)| weight).sum()
    }
}

impl FromStr for LoadMix {
    type Err = ParseMixError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let pair = |pair: &str| {
            let (name, weight) = pair.split_once('=')?;
            let kind = WorkKind::ALL.iter().find(|(_, known)| *known == name)?.0;
            Some((kind, weight.parse().ok()?))
        };
        let weights = text.split(',').map(pair).collect::<Option<Vec<_>>>();
        let mix = weights.map(|weights| Self { weights });
        mix.filter(|mix| mix.total() > 0)
            .ok_or_else(|| ParseMixError(text.to_owned()))
    }
}
