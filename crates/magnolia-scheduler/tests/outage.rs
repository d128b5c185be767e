//! Simulates callers during an outage of the store and compares the decisions with refusing all.

mod common;

use common::test_case;
use magnolia_scheduler::{OutageDecision, decide_outage};
use magnolia_types::Millis;

/// Time that a caller waits in all, in milliseconds; as stated by the users' sites.
const CALLER_TIME: u64 = 3000;
/// Most attempts of a caller; as stated by the users' sites.
const CALLER_ATTEMPTS: u32 = 5;
/// Time between two checks of the waiting submissions, in milliseconds.
const POLL_INTERVAL: u64 = 100;

/// How long a caller waits after a refusal before it retries.
#[derive(Clone, Copy, Debug)]
enum RetryBehavior {
    /// As long as it was told, in whole seconds.
    AsTold,
    /// As long as it was told, but at most this share of its remaining time, in percent.
    Sooner(u64),
}

impl RetryBehavior {
    fn pause(self, told: Millis, time_left: u64) -> u64 {
        match self {
            Self::AsTold => told.get().div_ceil(1000) * 1000,
            Self::Sooner(percent) => told.get().min(time_left * percent / 100),
        }
    }
}

/// Outcome of one caller, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CallerOutcome {
    /// Time since the beginning of the outage.
    accepted_at: Option<u64>,
    /// Longest time between an attempt and its refusal.
    longest_wait: u64,
}

/// Simulates a caller that arrives `start` ms after the beginning of an outage of `outage` ms.
fn simulate_caller(
    start: u64,
    outage: u64,
    behavior: RetryBehavior,
    decide: fn(Millis, Millis) -> OutageDecision,
) -> CallerOutcome {
    let leaves = start + CALLER_TIME;
    let mut now = start;
    let mut longest_wait = 0;
    for _ in 0..CALLER_ATTEMPTS {
        let asked = now;
        let refused = loop {
            if now >= outage {
                return CallerOutcome {
                    accepted_at: Some(now),
                    longest_wait,
                };
            }
            match decide(Millis::new(now), Millis::new(leaves.saturating_sub(now))) {
                OutageDecision::Refuse { retry_after } => break retry_after,
                OutageDecision::Wait => now += POLL_INTERVAL,
            }
        };
        longest_wait = longest_wait.max(now - asked);
        now += behavior.pause(refused, leaves.saturating_sub(now));
        if now >= leaves {
            break;
        }
    }
    CallerOutcome {
        accepted_at: None,
        longest_wait,
    }
}

/// Refuses all callers for as long as the outage has lasted; the baseline without waiting.
fn refuse_all(outage: Millis, _: Millis) -> OutageDecision {
    OutageDecision::Refuse {
        retry_after: outage.clamp(Millis::new(1000), Millis::new(4000)),
    }
}

/// Simulates callers that arrive evenly during an outage of `outage` ms; returns how many are
/// accepted and the sum of their waits in milliseconds.
fn simulate_outage(
    outage: u64,
    behavior: RetryBehavior,
    decide: fn(Millis, Millis) -> OutageDecision,
) -> (usize, u64) {
    let starts = (0..outage).step_by(20);
    let accepted: Vec<u64> = starts
        .filter_map(|start| {
            let outcome = simulate_caller(start, outage, behavior, decide);
            Some(outcome.accepted_at? - start)
        })
        .collect();
    (accepted.len(), accepted.iter().sum())
}

const BEHAVIORS: [RetryBehavior; 3] = [
    RetryBehavior::AsTold,
    RetryBehavior::Sooner(35),
    RetryBehavior::Sooner(20),
];

test_case!(
    /// Guards against retry delays that are longer than callers have time left, and against
    /// refusing callers without time for a retry shortly before the store is back.
    more_callers_are_accepted_than_by_refusing_all,
    || {
        for behavior in BEHAVIORS {
            for outage in [1500, 2700, 4200, 5000] {
                let (refused, _) = simulate_outage(outage, behavior, refuse_all);
                let (waiting, _) = simulate_outage(outage, behavior, decide_outage);
                assert!(waiting >= refused, "{behavior:?}, {outage} ms: {refused}, {waiting}");
            }
            // All of these still have time when the store is back.
            let (accepted, _) = simulate_outage(1200, behavior, decide_outage);
            assert_eq!(accepted, 1200 / 20, "{behavior:?}");
        }
        let (refused, _) = simulate_outage(4200, RetryBehavior::AsTold, refuse_all);
        let (told, _) = simulate_outage(4200, RetryBehavior::AsTold, decide_outage);
        assert!(refused == 0 && told >= 90, "{refused}, {told} of 210");
    }
);

test_case!(
    /// Guards against refusals that come too late: callers that can't be served must not be held
    /// past the time for a retry, nor be answered after they have left.
    refusals_come_before_the_caller_leaves,
    || {
        for behavior in BEHAVIORS {
            for start in (0..2000).step_by(20) {
                let outcome = simulate_caller(start, 60_000, behavior, decide_outage);
                assert_eq!(outcome.accepted_at, None);
                assert!(outcome.longest_wait <= 1300, "{behavior:?}, {start}: {outcome:?}");
            }
        }
        let left = Millis::new(150);
        let decision = decide_outage(Millis::new(3000), left);
        assert!(matches!(decision, OutageDecision::Refuse { .. }), "{decision:?}");
    }
);

test_case!(
    /// Guards against holding callers that have time for a retry: they are refused at once.
    callers_with_time_are_told_at_once,
    || {
        for outage in [100, 1000, 3000, 20_000] {
            let decision = decide_outage(Millis::new(outage), Millis::new(3000));
            let OutageDecision::Refuse { retry_after } = decision else {
                panic!("waits after {outage} ms");
            };
            // The retry comes while they still have time.
            let bounds = Millis::new(1000)..=Millis::new(2000);
            assert!(bounds.contains(&retry_after), "{outage}: {retry_after}");
        }
    }
);
