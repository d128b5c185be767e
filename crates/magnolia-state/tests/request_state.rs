//! What may be said of a quick request, against a model of what really ran.

use magnolia_state::{RequestPhase, RequestState, RetryBudget};
use magnolia_types::Ran;
use quickcheck::quickcheck;

/// Rule by which a driver ends a request without an answer.
type Verdict = fn(&mut RequestState) -> Ran;

/// Drives a request through generated steps; `true` when nothing false was said or done.
///
/// Each step ends an attempt or sends one. An attempt that is lost ran or did not, as the step says.
fn holds(steps: &[(u8, bool)], repeatable: bool, verdict: Verdict) -> bool {
    let mut state = RequestState::new(repeatable);
    let mut open = 0_u32;
    let mut ran = 0_u32;
    for &(step, executed) in steps {
        match step % 5 {
            0 => {
                state.queue().ok();
            }
            1 => open += u32::from(state.send().is_ok()),
            2 if open > 0 => {
                open -= 1;
                ran += 1;
                state.attempt_answered().expect("an open attempt");
            }
            3 if open > 0 => {
                open -= 1;
                state.attempt_refused().expect("an open attempt");
            }
            4 if open > 0 => {
                open -= 1;
                ran += u32::from(executed);
                state.attempt_lost().expect("an open attempt");
            }
            _ => {}
        }
    }
    let answered = state.phase() == RequestPhase::Answered;
    let said = verdict(&mut state);
    // An attempt that is still open may run at any time.
    let truthful = match said {
        Ran::No => ran == 0 && open == 0,
        Ran::Yes => answered,
        Ran::Unknown => true,
    };
    truthful && (repeatable || ran + open <= 1)
}

quickcheck! {
    /// Guards against "not run" for work that ran, and against a second run of work that may not
    /// repeat.
    fn not_run_is_only_said_when_true(steps: Vec<(u8, bool)>, repeatable: bool) -> bool {
        holds(&steps, repeatable, RequestState::give_up)
    }

    /// Guards against retries that multiply the load on a failing peer.
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

/// Shows that the check can fail: a driver that says "not run" whenever no answer came is caught
/// by an attempt that ran and was lost.
#[test]
fn careless_verdict_is_caught() {
    let careless: Verdict = |_| Ran::No;
    assert!(!holds(&[(1, true), (4, true)], true, careless));
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

/// Guards against work that may not repeat being sent again after its first attempt was lost.
#[test]
fn lost_attempt_of_unrepeatable_work_is_not_sent_again() {
    let mut state = RequestState::new(false);
    state.send().expect("the first attempt");
    state.attempt_lost().expect("an open attempt");
    assert!(state.send().is_err());
    assert_eq!(state.give_up(), Ran::Unknown);
}
