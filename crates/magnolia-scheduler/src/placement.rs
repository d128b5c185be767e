//! Choice of executors for a task, and of those to name in a call for eligibility.

use crate::executors::ExecutorIndex;

/// What a choice sees of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Number of the executor.
    pub executor_index: ExecutorIndex,
    /// Tasks of the step that fit now.
    pub fitting_tasks: u32,
    /// Processors left after the present work, in thousandths; idle ones for a filler.
    pub spare_cpu: i64,
    /// Measured speed against the mean.
    pub speed: f64,
    /// Whether the data of the step are on its rack, or it needs none.
    pub near_data: bool,
    /// Whether the task's last run failed there.
    pub avoided: bool,
}

/// Chooses where the next task goes; `spread` prefers fast and empty executors, as urgent work
/// needs, otherwise the fullest one that fits is taken, which keeps room for wide steps.
pub fn choose_executor(candidates: &[Candidate], spread: bool) -> Option<usize> {
    let key = |candidate: &Candidate| {
        let order = if spread {
            // Thousandths of speed first: a run is as long as its executor is slow.
            (candidate.speed * 20.0).round() as i64 * 1_000_000 + candidate.spare_cpu
        } else {
            -candidate.spare_cpu
        };
        (!candidate.avoided, candidate.near_data, order)
    };
    candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.fitting_tasks > 0)
        .max_by_key(|(_, candidate)| key(candidate))
        .map(|(position, _)| position)
}

/// Chooses the executors to name so that, at the share that is usually eligible, `tasks` find room
/// with a margin; at most `limit`.
///
/// Several steps ask at the same time and see the same room, so that only a part of each executor's
/// room counts, and each step begins at another place (`salt`).
pub fn choose_executors_to_ask(
    candidates: &mut [Candidate],
    tasks: u32,
    eligible_share: f64,
    limit: usize,
    salt: u64,
) -> Vec<ExecutorIndex> {
    let counted = tasks.div_ceil(ASSUMED_SPREAD);
    let key = |candidate: &Candidate| {
        let mixed = (candidate.executor_index as u64 ^ salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (
            !candidate.near_data,
            std::cmp::Reverse(candidate.fitting_tasks.min(counted)),
            mixed,
        )
    };
    candidates.sort_by_key(key);
    let wanted = f64::from(tasks) * CAPACITY_MARGIN;
    let mut expected = 0.0;
    let mut named = Vec::new();
    for candidate in candidates
        .iter()
        .filter(|candidate| candidate.fitting_tasks > 0)
    {
        if named.len() >= limit || expected >= wanted && named.len() >= MIN_EXECUTORS_PER_CALL {
            break;
        }
        expected += f64::from(candidate.fitting_tasks.min(counted)) * eligible_share;
        named.push(candidate.executor_index);
    }
    named
}

/// Room asked for against the tasks that wait; a call that falls short costs another one.
const CAPACITY_MARGIN: f64 = 1.3;
/// Fewest executors in a call; the base cost of a call is that of many executors.
const MIN_EXECUTORS_PER_CALL: usize = 8;
/// Parts of a step that one executor counts for at most one of.
const ASSUMED_SPREAD: u32 = 8;
