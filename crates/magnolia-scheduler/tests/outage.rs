//! What callers get from an outage of the store, against refusing all of them.

mod common;

use common::test_case;
use magnolia_scheduler::{OutageDecision, decide_outage};
use magnolia_types::Millis;

/// Time that a caller has, and its tries, as the sites name them.
const CALLER_TIME: u64 = 3000;
const CALLER_TRIES: u32 = 5;
/// Time between two passes over those that wait.
const PASS: u64 = 100;

/// How long a caller stays away after a refusal.
#[derive(Clone, Copy, Debug)]
enum CallerHabit {
    /// As long as it was told.
    Obedient,
    /// At most this share of its time left, in percent.
    Hasty(u64),
}

impl CallerHabit {
    fn pause(self, told: Millis, time_left: u64) -> u64 {
        match self {
            Self::Obedient => told.get().div_ceil(1000) * 1000,
            Self::Hasty(percent) => told.get().min(time_left * percent / 100),
        }
    }
}

/// What one caller got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallerFate {
    accepted_at: Option<u64>,
    /// Longest time between a try and its refusal.
    longest_wait: u64,
}

/// Plays a caller that comes `start` after the store went away for `outage`.
fn play_caller(
    start: u64,
    outage: u64,
    habit: CallerHabit,
    decide: fn(Millis, Millis) -> OutageDecision,
) -> CallerFate {
    let leaves = start + CALLER_TIME;
    let mut now = start;
    let mut longest_wait = 0;
    for _ in 0..CALLER_TRIES {
        let asked = now;
        let refused = loop {
            if now >= outage {
                return CallerFate {
                    accepted_at: Some(now),
                    longest_wait,
                };
            }
            match decide(Millis::new(now), Millis::new(leaves.saturating_sub(now))) {
                OutageDecision::Refuse { retry_after } => break retry_after,
                OutageDecision::Wait => now += PASS,
            }
        };
        longest_wait = longest_wait.max(now - asked);
        now += habit.pause(refused, leaves.saturating_sub(now));
        if now >= leaves {
            break;
        }
    }
    CallerFate {
        accepted_at: None,
        longest_wait,
    }
}

/// Refuses all, as long as the outage has lasted: the decision before callers could wait.
fn refuse_all(away: Millis, _: Millis) -> OutageDecision {
    OutageDecision::Refuse {
        retry_after: away.clamp(Millis::new(1000), Millis::new(4000)),
    }
}

/// Plays callers that come evenly during an outage; returns how many are accepted and the sum of their
/// waits.
fn play_outage(
    outage: u64,
    habit: CallerHabit,
    decide: fn(Millis, Millis) -> OutageDecision,
) -> (usize, u64) {
    let starts = (0..outage).step_by(20);
    let accepted: Vec<u64> = starts
        .filter_map(|start| {
            let fate = play_caller(start, outage, habit, decide);
            Some(fate.accepted_at? - start)
        })
        .collect();
    (accepted.len(), accepted.iter().sum())
}

const HABITS: [CallerHabit; 3] = [
    CallerHabit::Obedient,
    CallerHabit::Hasty(35),
    CallerHabit::Hasty(20),
];

test_case!(
    /// Guards callers against being told to come back after they have left, and those without time for
    /// another try against a refusal shortly before the store is back.
    more_callers_are_accepted_than_by_refusing_all,
    || {
        for habit in HABITS {
            for outage in [1500, 2700, 4200, 5000] {
                let (refused, _) = play_outage(outage, habit, refuse_all);
                let (waiting, _) = play_outage(outage, habit, decide_outage);
                assert!(waiting >= refused, "{habit:?}, {outage} ms: {refused}, {waiting}");
            }
            // All of these still have time when the store is back.
            let (accepted, _) = play_outage(1200, habit, decide_outage);
            assert_eq!(accepted, 1200 / 20, "{habit:?}");
        }
        let (refused, _) = play_outage(4200, CallerHabit::Obedient, refuse_all);
        let (told, _) = play_outage(4200, CallerHabit::Obedient, decide_outage);
        assert!(refused == 0 && told >= 90, "{refused}, {told} of 210");
    }
);

test_case!(
    /// Guards callers that can't be served against a wait beyond the time in which they could have come
    /// back, and against an answer after they have left.
    refusals_come_before_the_caller_leaves,
    || {
        for habit in HABITS {
            for start in (0..2000).step_by(20) {
                let fate = play_caller(start, 60_000, habit, decide_outage);
                assert_eq!(fate.accepted_at, None);
                assert!(fate.longest_wait <= 1300, "{habit:?}, {start}: {fate:?}");
            }
        }
        let left = Millis::new(150);
        let verdict = decide_outage(Millis::new(3000), left);
        assert!(matches!(verdict, OutageDecision::Refuse { .. }), "{verdict:?}");
    }
);

test_case!(
    /// Guards callers with time to spare against being held: they are told at once.
    callers_with_time_are_told_at_once,
    || {
        for away in [100, 1000, 3000, 20_000] {
            let verdict = decide_outage(Millis::new(away), Millis::new(3000));
            let OutageDecision::Refuse { retry_after } = verdict else {
                panic!("held after {away} ms");
            };
            // They are back while they still have time.
            let bounds = Millis::new(1000)..=Millis::new(2000);
            assert!(bounds.contains(&retry_after), "{away}: {retry_after}");
        }
    }
);
