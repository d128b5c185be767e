//! Compares what `RequestState` reports about a quick request with a model of what ran.

use magnolia_state::{RequestPhase, RequestState, RetryBudget};
use magnolia_types::Ran;
use quickcheck::quickcheck;

/// Ends a request without an answer and reports whether it ran.
type GiveUpRule = fn(&mut RequestState) -> Ran;

/// Drives a request through generated steps. Returns whether the report at the end is true, and
/// work that is not repeatable ran at most once.
///
/// Each step queues the request, sends an attempt or ends one. The step's flag decides whether a
/// lost attempt ran.
fn holds(steps: &[(u8, bool)], repeatable: bool, give_up: GiveUpRule) -> bool {
    let mut state = RequestState::new(repeatable);
    let mut in_flight = 0_u32;
    let mut ran = 0_u32;
    for &(step, executed) in steps {
        match step % 5 {
            0 => {
                state.queue().ok();
            }
            1 => in_flight += u32::from(state.send().is_ok()),
            2 if in_flight > 0 => {
                in_flight -= 1;
                ran += 1;
                state.attempt_answered().expect("an attempt in flight");
            }
            3 if in_flight > 0 => {
                in_flight -= 1;
                state.attempt_refused().expect("an attempt in flight");
            }
            4 if in_flight > 0 => {
                in_flight -= 1;
                ran += u32::from(executed);
                state.attempt_lost().expect("an attempt in flight");
            }
            _ => {}
        }
    }
    let answered = state.phase() == RequestPhase::Answered;
    let reported = give_up(&mut state);
    // An attempt in flight may still run.
    let is_true = match reported {
        Ran::No => ran == 0 && in_flight == 0,
        Ran::Yes => answered,
        Ran::Unknown => true,
    };
    is_true && (repeatable || ran + in_flight <= 1)
}

quickcheck! {
    /// Guards against reporting "not run" for work that ran or may still run, and against a second
    /// run of work that is not repeatable.
    fn not_run_is_only_said_when_true(steps: Vec<(u8, bool)>, repeatable: bool) -> bool {
        holds(&steps, repeatable, RequestState::give_up)
    }

    /// Guards against retries multiplying the load on a failing target.
    fn retries_stay_within_a_tenth_and_the_burst(steps: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new();
        let (mut requests, mut retries) = (0_usize, 0_usize);
        steps.iter().all(|is_request| {
            if *is_request {
                requests += 1;
                budget.record_request();
            } else {
                retries += usize::from(budget.try_retry());
            }
            retries <= 10 + requests / 10
        })
    }
}

/// Checks that the model detects a false report: a rule that reports "not run" whenever no answer
/// came fails on an attempt that ran and whose answer was lost.
#[test]
fn false_not_run_report_is_detected() {
    let always_not_run: GiveUpRule = |_| Ran::No;
    assert!(!holds(&[(1, true), (4, true)], true, always_not_run));
    assert!(holds(&[(1, true), (4, true)], true, RequestState::give_up));
}

/// Guards against a budget that never refuses.
#[test]
fn budget_is_spent_after_its_burst() {
    let mut budget = RetryBudget::new();
    let granted = (0..100).filter(|_| budget.try_retry()).count();
    assert_eq!(granted, 10);
    (0..10).for_each(|_| budget.record_request());
    assert!(budget.try_retry());
    assert!(!budget.try_retry());
}

/// Guards against sending work that is not repeatable again after its first attempt was lost.
#[test]
fn lost_attempt_of_unrepeatable_work_is_not_sent_again() {
    let mut state = RequestState::new(false);
    state.send().expect("the first attempt");
    state.attempt_lost().expect("an attempt in flight");
    assert!(state.send().is_err());
    assert_eq!(state.give_up(), Ran::Unknown);
}
