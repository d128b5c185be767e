//! Bounds on the memory that jobs take at their owner, so that no owner is ended by the platform
//! because of the jobs that callers submit. A next owner holds the same jobs.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use std::mem::size_of;

use crate::job::{JobState, OccurrenceState};
use crate::step::StepState;
use crate::{JobSpec, StepSpec};

/// Part of a daemon's memory that the jobs may take, as a divisor. The rest is for what runs, for
/// records on their way to the store and for answers of executors.
const MEMORY_SHARE: u64 = 4;
/// Memory that an allocation takes beyond its size, and the indexes that name a job or a step, in
/// bytes.
const OVERHEAD_BYTES: u64 = 128;

/// Returns the part of a daemon's memory that jobs may take, both in bytes.
pub fn job_memory_share(memory_bytes: u64) -> u64 {
    memory_bytes / MEMORY_SHARE
}

/// Returns the memory of a job in bytes, with all its occurrences open and none of its tasks started.
pub(crate) fn job_memory(spec: &JobSpec) -> u64 {
    let lists = spec.steps.iter().flat_map(|step| {
        let names = [&step.label, &step.data_rack, &step.image];
        let names = names.into_iter().flatten().map(|name| name.len());
        names.chain([size_of_val(step.after.as_slice())])
    });
    let text = lists.fold(spec.payload.len(), usize::saturating_add);
    let text = u64::try_from(text).unwrap_or(u64::MAX);
    let steps = u64::try_from(spec.steps.len()).unwrap_or(u64::MAX);
    let bits = spec.steps.iter().map(|step| u64::from(step.tasks) / 8);
    let occurrence = steps
        .saturating_mul(with_overhead(size_of::<StepState>()))
        .saturating_add(bits.fold(0, u64::saturating_add))
        .saturating_add(with_overhead(size_of::<OccurrenceState>()));
    let occurrences = spec
        .recurrence
        .as_ref()
        .map_or(1, |times| times.count.max(1));
    occurrence
        .saturating_mul(u64::from(occurrences))
        .saturating_add(steps.saturating_mul(with_overhead(size_of::<StepSpec>())))
        .saturating_add(text)
        .saturating_add(with_overhead(size_of::<JobState>()))
}

fn with_overhead(bytes: usize) -> u64 {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    bytes.saturating_add(OVERHEAD_BYTES)
}
