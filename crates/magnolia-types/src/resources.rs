//! CPU, memory and accelerators as one vector.

use crate::{CpuMillis, MemoryMib};

/// The amount of each resource that a worker has or a task needs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(deny_unknown_fields)]
pub struct ResourceVector {
    /// CPU in thousandths of a core.
    pub cpu_millis: CpuMillis,
    /// Memory in MiB.
    pub memory_mib: MemoryMib,
    /// Number of accelerators; they are not divided between tasks.
    #[serde(default)]
    pub accelerators: u32,
}

impl ResourceVector {
    /// Creates the vector from its amounts.
    pub const fn new(cpu_millis: u64, memory_mib: u64, accelerators: u32) -> Self {
        Self {
            cpu_millis: CpuMillis::new(cpu_millis),
            memory_mib: MemoryMib::new(memory_mib),
            accelerators,
        }
    }

    /// Returns whether no amount exceeds that of `other`.
    pub fn fits_in(&self, other: &Self) -> bool {
        self.cpu_millis <= other.cpu_millis
            && self.memory_mib <= other.memory_mib
            && self.accelerators <= other.accelerators
    }

    /// Returns whether every amount is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Adds each amount, saturating at the maximum value.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts each amount; returns `None` if one would become negative.
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        other.fits_in(self).then(|| Self {
            cpu_millis: self.cpu_millis.saturating_sub(other.cpu_millis),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators - other.accelerators,
        })
    }
}

impl std::fmt::Display for ResourceVector {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} cpu, {}, {} accelerators",
            self.cpu_millis, self.memory_mib, self.accelerators
        )
    }
}
