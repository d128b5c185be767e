//! Model checker for takeovers in which executors are out of contact.
//!
//! The cell has a stored job of one task, some owners in series and some executors, of which one is
//! recorded from the start. Any contact, of an owner with the store or with an executor, may fail to
//! happen for as long as it likes, and owners crash at any moment.
//!
//! Time is abstract. A wait of a later owner covers the limit of evidence, the longest delay of an
//! order and one lease. When it is over, the permissions that earlier owners gained before it are
//! gone, and so are their orders under way. What runs under their leases has expired, unless the
//! owner that granted the lease has gathered evidence since the wait began.
//!
//! The rules rest on an assumption: a restart of an executor takes longer than evidence and answers
//! count and an order is then under way, taken together. Otherwise an executor answers a later owner,
//! forgets its epoch, and carries out a start that rests on an answer of before that owner's claim.
//!
//! The model is smaller than the real cell in these points:
//! - A claim, the fencing of earlier writers and the reading of the records are one event. Before
//!   it, an earlier owner can do whatever it can do between the three.
//! - An owner gathers evidence as soon as it can; later evidence allows no more.
//! - Writes of records are stored when they are sent, and only their answers may be late. An owner
//!   whose write is under way can do no more than one that has not sent it.
//! - The confirmation after a wait arrives as the wait ends, or never.
//! - An owner orders one start. No run fails or is moved: whatever follows can also follow if the
//!   run was never started.
//! - The last owner does not crash, because no later owner depends on it.
//! - Executors with the same history are interchangeable.
//! - An answer of an executor allows starts on it until it has restarted; the product forgets it
//!   sooner.
//! - There are two owners at most in the searches with restarts or three executors.
//!
//! That an owner reads jobs and claims in the right order, stores ends and withdraws starts is
//! part of the other model and not of this one.
//!
//! Neither of these is covered:
//! - New tasks that are submitted during a takeover.
//! - Changes of records before the earlier owners are excluded. The product then stores records with
//!   `witness: false` and new lives of witnesses; the model changes no record.

#[path = "takeover_state.rs"]
mod takeover_state;

use std::collections::HashSet;

use takeover_state::{ModelState, epoch_of};

/// Limit of the number of executors.
const EXECUTORS: usize = 3;
/// Limit of the number of owners; owner `n` has the epoch `n + 1`.
const OWNERS: usize = 3;
/// Number of states at which a search fails; the whole state space has to be smaller.
const MAX_STATES: usize = 4_000_000;

/// The rules for orders and waits; each of them is switched off in one test.
#[derive(Clone, Copy, Debug)]
struct TakeoverRules {
    /// Starts and renewals need evidence of the time before that the claim was in force.
    evidence_before_orders: bool,
    /// A start needs a recent answer of its own executor.
    answer_before_start: bool,
    /// Evidence from executors takes more than half of those in the record.
    evidence_of_majority: bool,
    /// Records count against an owner from the sending of their write to its answer.
    count_pending_writes: bool,
    /// Only the life of an executor that its record names is a witness.
    witness_of_recorded_life: bool,
    /// Without the store, evidence ends some time after the store's last confirmation.
    outage_limit: bool,
    /// A wait for silent executors begins once half of those in the record have answered.
    majority_before_wait: bool,
    /// Records of executors do not change before a wait has begun.
    keep_witnesses: bool,
    /// An executor is given up only after the store has confirmed the claim after the wait.
    confirm_after_wait: bool,
    /// The assumption on restarts.
    slow_restarts: bool,
}

const ALL_RULES: TakeoverRules = TakeoverRules {
    evidence_before_orders: true,
    answer_before_start: true,
    evidence_of_majority: true,
    count_pending_writes: true,
    witness_of_recorded_life: true,
    outage_limit: true,
    majority_before_wait: true,
    keep_witnesses: true,
    confirm_after_wait: true,
    slow_restarts: true,
};

/// Limits of a search.
#[derive(Clone, Copy, Debug)]
struct CellSize {
    owners: usize,
    executors: usize,
    /// Limit of the restarts of all executors.
    restarts: u8,
}

const THREE_OWNERS: CellSize = CellSize {
    owners: 3,
    executors: 2,
    restarts: 0,
};
const THREE_EXECUTORS: CellSize = CellSize {
    owners: 2,
    executors: 3,
    restarts: 0,
};
const WITH_RESTARTS: CellSize = CellSize {
    owners: 2,
    executors: 2,
    restarts: 1,
};
const THREE_EXECUTORS_WITH_RESTARTS: CellSize = CellSize {
    owners: 2,
    executors: 3,
    restarts: 1,
};

/// Visits all reachable states; returns the events that lead to two runs first, if any do, and the
/// number of visited states.
fn search(rules: TakeoverRules, size: CellSize) -> (Option<Vec<String>>, usize) {
    let first = ModelState::first(size).sorted();
    let mut visited = HashSet::from([first]);
    let mut reached = vec![(first, 0)];
    let mut position = 0;
    while position < reached.len() {
        for (_, state) in reached[position].0.successors(rules, size) {
            let state = state.sorted();
            if !visited.insert(state) {
                continue;
            }
            reached.push((state, position));
            if state.has_two_runs() {
                return (Some(describe(&reached, rules, size)), reached.len());
            }
        }
        position += 1;
        assert!(
            reached.len() < MAX_STATES,
            "the state space of the model is too large to visit"
        );
    }
    (None, reached.len())
}

/// Describes the events that led to the last state.
fn describe(reached: &[(ModelState, usize)], rules: TakeoverRules, size: CellSize) -> Vec<String> {
    let mut path = Vec::new();
    let mut position = reached.len() - 1;
    while position > 0 {
        path.push(reached[position].0);
        position = reached[position].1;
    }
    // Sorting changes the indices of executors, so that the events are repeated without it.
    let mut state = ModelState::first(size);
    let mut events = Vec::new();
    for sorted in path.iter().rev() {
        let mut next = state.successors(rules, size).into_iter();
        let Some((label, followed)) = next.find(|(_, state)| state.sorted() == *sorted) else {
            unreachable!("the state has been reached by an event");
        };
        let (name, owner, executor) = label;
        let owner = owner.map(|owner| format!("{} ", epoch_of(owner)));
        let executor = executor.map(|executor| format!(" {}", char::from(b'A' + executor as u8)));
        events.push(format!(
            "{}{name}{}",
            owner.unwrap_or_default(),
            executor.unwrap_or_default()
        ));
        state = followed;
    }
    events
}

macro_rules! test_without_rule {
    ($(#[$meta:meta])* $name:ident, $rule:ident, $size:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let mut rules = ALL_RULES;
            rules.$rule = false;
            let (violation, states) = search(rules, $size);
            println!("{states} states: {violation:?}");
            assert!(violation.is_some(), "no task ran twice in {states} states");
        }
    };
}

macro_rules! test_all_rules {
    ($(#[$meta:meta])* $name:ident, $size:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let (violation, states) = search(ALL_RULES, $size);
            println!("{states} states");
            assert_eq!(violation, None);
            // A model with few states, for example without changes of owner, would prove nothing.
            assert!(states > 10_000, "only {states} states");
        }
    };
}

test_all_rules!(
    /// Guards against an order of events that all rules together do not cover.
    all_rules_together_run_no_task_twice,
    THREE_OWNERS
);
test_all_rules!(
    /// Guards against an order of events in which a majority is more than one executor and less
    /// than all of them.
    all_rules_together_hold_for_three_executors,
    THREE_EXECUTORS
);
test_all_rules!(
    /// Guards against an order of events with restarts that all rules together do not cover.
    all_rules_together_hold_in_restarts,
    WITH_RESTARTS
);
test_all_rules!(
    /// Guards against an order of events in which an owner has fresh evidence from other executors
    /// while one restarts.
    all_rules_together_hold_in_restarts_of_three_executors,
    THREE_EXECUTORS_WITH_RESTARTS
);

test_without_rule!(
    /// Guards against an owner that was paused and orders after the next owner's wait.
    orders_without_evidence_run_a_task_twice,
    evidence_before_orders,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against a start on an executor that has restarted and forgotten the later epoch, while
    /// others were witnesses of the earlier one.
    starts_without_an_answer_run_a_task_twice,
    answer_before_start,
    THREE_EXECUTORS_WITH_RESTARTS
);
test_without_rule!(
    /// Guards against witnesses that are cut off together with an earlier owner.
    evidence_of_few_runs_a_task_twice,
    evidence_of_majority,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against a record that the next owner has read and its writer does not count.
    evidence_despite_pending_writes_runs_a_task_twice,
    count_pending_writes,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against the evidence of an executor that has forgotten the later epoch.
    evidence_of_a_later_life_runs_a_task_twice,
    witness_of_recorded_life,
    WITH_RESTARTS
);
test_without_rule!(
    /// Guards against an earlier owner that goes on for longer than the next one waits in an outage.
    evidence_without_a_limit_runs_a_task_twice,
    outage_limit,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against a wait that begins while an earlier owner can gather evidence.
    waiting_before_half_have_answered_runs_a_task_twice,
    majority_before_wait,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against new records that make half of the witnesses of executors that the earlier
    /// owner does not count.
    changing_records_before_the_wait_runs_a_task_twice,
    keep_witnesses,
    THREE_OWNERS
);
test_without_rule!(
    /// Guards against an owner that was paused at the end of its wait, while a later one renewed the
    /// leases of the executors that it waited for.
    giving_up_without_a_confirmation_runs_a_task_twice,
    confirm_after_wait,
    THREE_OWNERS
);
test_without_rule!(
    /// Shows that the rules need the assumption on restarts. An executor that is back sooner may
    /// carry out a start that it would have rejected before.
    quick_restarts_run_a_task_twice,
    slow_restarts,
    WITH_RESTARTS
);
