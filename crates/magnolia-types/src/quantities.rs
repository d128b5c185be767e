//! Numeric types with units.

use crate::number_type;

/// A text is not a whole number, with or without the unit of the expected quantity.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {text:?} is not a whole number of units")]
pub struct ParseQuantityError {
    kind: &'static str,
    text: String,
}

impl ParseQuantityError {
    #[doc(hidden)]
    pub fn new(kind: &'static str, text: &str) -> Self {
        Self {
            kind,
            text: text.chars().take(64).collect(),
        }
    }
}

number_type!(
    /// Milliseconds: a duration, or a time on a monotonic or wall clock. Wall-clock times count
    /// from the Unix epoch.
    Millis,
    "ms"
);
number_type!(
    /// CPU in thousandths of a core.
    CpuMillis,
    "m"
);
number_type!(
    /// Memory in mebibytes.
    MemoryMib,
    "MiB"
);

impl Millis {
    /// Creates the value from whole seconds.
    pub const fn from_secs(seconds: u64) -> Self {
        Self::new(seconds.saturating_mul(1000))
    }
}

impl From<Millis> for std::time::Duration {
    fn from(millis: Millis) -> Self {
        Self::from_millis(millis.get())
    }
}
