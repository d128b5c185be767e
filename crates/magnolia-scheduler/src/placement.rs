//! Choice of the executor for a task and of the executors to name in an eligibility request.

#![deny(
    clippy::arithmetic_side_effects,
    reason = "the values come from outside"
)]

use crate::executors::ExecutorIndex;

/// An executor that tasks of a step may go to, as seen by the choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Index of the executor.
    pub executor_index: ExecutorIndex,
    /// Number of tasks of the step that fit now.
    pub fitting_tasks: u32,
    /// Unreserved processors, in thousandths; for a filler step, less those that fillers would use.
    pub spare_cpu: i64,
    /// Measured speed relative to the other executors; 1.0 is average.
    pub speed: f64,
    /// Tier of that speed; see [`speed_tier`](crate::speed_tier).
    pub speed_tier: i64,
    /// Whether the step's data is on the rack of the executor; true if the step names no rack.
    pub near_data: bool,
    /// Whether the last run of a waiting task of the step failed or hung there.
    pub avoided: bool,
}

/// What the tasks of a step need of an executor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementAim {
    /// A short run: urgent tasks, whose objective leaves little beyond the run itself.
    Speed,
    /// Company that disturbs little: tasks that last and fillers, which gain nothing by speed.
    Room,
    /// Few gaps: batch tasks, whose objective has slack.
    Fit,
}

/// Chooses the executor of the next task and returns its position in `candidates`.
///
/// Load: executors of unlike speeds in a cell that is half full or more. Executors that are not
/// `avoided` come first, then those near the step's data. Urgent tasks go to the fastest ones, and
/// among these to those with many spare processors. Other tasks leave the fast executors to them as
/// long as slower ones have room: those that last go where most processors are spare, batch tasks to
/// the fullest executor on which they fit (best fit), which leaves large gaps for steps of many tasks.
pub fn choose_executor(candidates: &[Candidate], aim: PlacementAim) -> Option<usize> {
    let key = |candidate: &Candidate| {
        let order = match aim {
            // In steps of 5%: speed decides how long a run takes.
            PlacementAim::Speed => ((candidate.speed * 20.0).round() as i64, candidate.spare_cpu),
            PlacementAim::Room => (candidate.speed_tier.saturating_neg(), candidate.spare_cpu),
            PlacementAim::Fit => (
                candidate.speed_tier.saturating_neg(),
                candidate.spare_cpu.saturating_neg(),
            ),
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

/// Chooses at most `limit` executors to name in an eligibility request, so that with a share of
/// `eligible_share` being eligible, `tasks` fit with a margin.
///
/// Several steps send requests at the same time and see the same free capacity. Therefore only a
/// part of the capacity of each executor counts, and each step starts at another executor (`salt`).
pub fn choose_executors_to_ask(
    candidates: &mut [Candidate],
    tasks: u32,
    eligible_share: f64,
    limit: usize,
    salt: u64,
    aim: PlacementAim,
) -> Vec<ExecutorIndex> {
    let counted = tasks.div_ceil(ASSUMED_SPREAD);
    let key = |candidate: &Candidate| {
        let mixed = (candidate.executor_index as u64 ^ salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let tier = candidate.speed_tier;
        let tier = match aim {
            PlacementAim::Speed => tier.saturating_neg(),
            PlacementAim::Room | PlacementAim::Fit => tier,
        };
        (
            !candidate.near_data,
            tier,
            std::cmp::Reverse(candidate.fitting_tasks.min(counted)),
            mixed,
        )
    };
    candidates.sort_by_cached_key(key);
    let wanted = f64::from(tasks) * CAPACITY_MARGIN;
    let mut expected = 0.0;
    let mut named = Vec::new();
    for candidate in candidates
        .iter()
        .filter(|candidate| candidate.fitting_tasks > 0)
    {
        if named.len() >= limit || expected >= wanted && named.len() >= MIN_EXECUTORS_PER_REQUEST {
            break;
        }
        expected += f64::from(candidate.fitting_tasks.min(counted)) * eligible_share;
        named.push(candidate.executor_index);
    }
    named
}

/// Capacity to ask for, as a multiple of the waiting tasks: a request that falls short costs
/// another one.
const CAPACITY_MARGIN: f64 = 1.3;
/// Fewest executors in a request: the base cost of a request equals that of many executors.
const MIN_EXECUTORS_PER_REQUEST: usize = 8;
/// Number of executors over which the tasks are assumed to spread: each counts for at most its
/// share of the tasks.
const ASSUMED_SPREAD: u32 = 8;
