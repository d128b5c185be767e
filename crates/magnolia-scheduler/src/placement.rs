//! Choice of executors for a task, and of those to name in a call for eligibility.

use crate::executors::Slot;

/// What a choice sees of an executor.
#[derive(Clone, Debug, PartialEq)]
pub struct RoomView {
    /// Number of the executor.
    pub slot: Slot,
    /// Tasks of the step that fit now.
    pub room: u32,
    /// Processors left after the present work, in thousandths; idle ones for a filler.
    pub spare_cpu: i64,
    /// Measured speed against the mean.
    pub speed: f64,
    /// Whether the data of the step are on its rack, or it needs none.
    pub near: bool,
    /// Whether the task's last run failed there.
    pub avoided: bool,
}

/// Chooses where the next task goes; `spread` prefers fast and empty executors, as urgent work
/// needs, otherwise the fullest one that fits is taken, which keeps room for wide steps.
pub fn choose_executor(views: &[RoomView], spread: bool) -> Option<usize> {
    let key = |view: &RoomView| {
        let order = if spread {
            // Thousandths of speed first: a run is as long as its executor is slow.
            (view.speed * 20.0).round() as i64 * 1_000_000 + view.spare_cpu
        } else {
            -view.spare_cpu
        };
        (!view.avoided, view.near, order)
    };
    views
        .iter()
        .enumerate()
        .filter(|(_, view)| view.room > 0)
        .max_by_key(|(_, view)| key(view))
        .map(|(place, _)| place)
}

/// Chooses the executors to name so that, at the share that is usually eligible, `tasks` find room
/// with a margin; at most `limit`.
///
/// Several steps ask at the same time and see the same room, so that only a part of each executor's
/// room counts, and each step begins at another place (`salt`).
pub fn choose_named(
    views: &mut [RoomView],
    tasks: u32,
    eligible_share: f64,
    limit: usize,
    salt: u64,
) -> Vec<Slot> {
    let counted = tasks.div_ceil(ROOM_PARTS);
    let key = |view: &RoomView| {
        let mixed = (view.slot as u64 ^ salt).wrapping_mul(0x9E37_79B9_7F4A_7C15);
        (!view.near, std::cmp::Reverse(view.room.min(counted)), mixed)
    };
    views.sort_by_key(key);
    let wanted = f64::from(tasks) * NAMING_MARGIN;
    let mut expected = 0.0;
    let mut named = Vec::new();
    for view in views.iter().filter(|view| view.room > 0) {
        if named.len() >= limit || expected >= wanted && named.len() >= MIN_NAMED {
            break;
        }
        expected += f64::from(view.room.min(counted)) * eligible_share;
        named.push(view.slot);
    }
    named
}

/// Room asked for against the tasks that wait; a call that falls short costs another one.
const NAMING_MARGIN: f64 = 1.3;
/// Fewest executors in a call; the base cost of a call is that of many executors.
const MIN_NAMED: usize = 8;
/// Parts of a step that one executor counts for at most one of.
const ROOM_PARTS: u32 = 8;
