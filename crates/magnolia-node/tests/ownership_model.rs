//! Model checker for ownership on a store that fences writers and answers a repeated append as it
//! answered the first one. It visits every order of events of a small cell, once with all rules of
//! `docs/platform.md` and once without each of them.
//!
//! The cell has two daemons, two executors and one job of one task. Calls to the store and orders
//! to executors arrive at any later time or never, and daemons crash at any moment. Any daemon may
//! be paused between two events. An owner counts the lease that it granted as expired at any time;
//! the lease has then expired at the executor too, unless another owner renewed it. Waits that are
//! measured in time, for executors that never answer a new owner, are not part of the model;
//! `crates/magnolia-scheduler/tests/takeover.rs` covers them.

#[path = "ownership_model/takeover.rs"]
mod takeover;

use std::collections::{BTreeSet, HashSet, VecDeque};

/// Epoch after which no daemon claims ownership.
const MAX_EPOCH: u8 = 3;
/// Limit of the starts that one owner orders.
const MAX_STARTS: u8 = 2;
/// Number of states at which a search fails; the whole state space has to be smaller.
const MAX_STATES: usize = 4_000_000;

/// The rules of ownership; each of them is switched off in one test.
#[derive(Clone, Copy, Debug)]
struct OwnershipRules {
    /// A claim names no writer, so that the store does not take it for a repeat of another claim.
    claim_without_writer: bool,
    /// Earlier writers are fenced before the jobs are read.
    fence_before_read: bool,
    /// An owner confirms after reading the jobs that no later claim is stored, because it may have
    /// read jobs that a later owner accepted.
    confirm_after_read: bool,
    /// All executors report what they run before an inherited task is started.
    ask_before_start: bool,
    /// Executors refuse orders of lower epochs.
    fenced_executors: bool,
    /// A start without an answer is withdrawn before its task may start elsewhere.
    withdraw_before_move: bool,
    /// A job is acknowledged to its caller only after it is stored.
    store_before_accept: bool,
    /// An end is acknowledged to the executor only after it is stored.
    store_before_ack: bool,
    /// A task whose executor is lost moves only after the owner has confirmed its claim.
    confirm_before_move: bool,
}

const ALL_RULES: OwnershipRules = OwnershipRules {
    claim_without_writer: true,
    fence_before_read: true,
    confirm_after_read: true,
    ask_before_start: true,
    fenced_executors: true,
    withdraw_before_move: true,
    store_before_accept: true,
    store_before_ack: true,
    confirm_before_move: true,
};

/// State of a daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelDaemon {
    /// End of the stream of claims and last epoch in it, as read before a claim.
    read: Option<(u8, u8)>,
    /// Epoch of the daemon's ownership.
    epoch: Option<u8>,
    /// Whether writers of earlier epochs are fenced.
    fenced: bool,
    /// Whether the jobs have been read.
    loaded: bool,
    /// Whether the claim was still the newest after the jobs had been read.
    confirmed: bool,
    /// Executors that have answered this owner.
    asked: [bool; 2],
    knows_job: bool,
    /// Whether an earlier owner stored the job.
    inherited: bool,
    /// Whether the owner knows of a successful end.
    end_seen: bool,
    end_stored: bool,
    /// Executor and run number of the task.
    placed: Option<(usize, u8)>,
    /// Whether the owner counts the placed run as lost.
    lost: bool,
    /// Number of starts that the owner has ordered.
    starts: u8,
}

/// Content of a write to the stream of jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum JobWrite {
    Accept,
    End,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelExecutor {
    /// Epoch in force at the executor.
    epoch: u8,
    /// Number of the run of the task.
    running: Option<u8>,
    /// Highest run number that was started, stopped or ended there.
    highest: u8,
    /// Whether the executor reports a successful end.
    ended: bool,
    /// Epoch of the owner that last granted or renewed the lease.
    leased_by: u8,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct ModelState {
    daemons: [ModelDaemon; 2],
    executors: [ModelExecutor; 2],
    /// End of the stream of claims.
    claims_end: u8,
    /// Epoch of the newest claim.
    last_epoch: u8,
    /// Epoch in force at the stream of jobs.
    fence: u8,
    job_stored: bool,
    end_stored: bool,
    /// Pending writes: daemon, epoch, content.
    writes: BTreeSet<(usize, u8, JobWrite)>,
    /// Pending starts: executor, epoch, run number.
    orders: BTreeSet<(usize, u8, u8)>,
    /// Whether the job was acknowledged to its caller.
    accepted: bool,
    /// Whether the successful end was acknowledged to the executor.
    end_acknowledged: bool,
    violation: Option<&'static str>,
}

impl ModelState {
    /// Returns the states that follow by one event.
    fn successors(&self, rules: OwnershipRules) -> Vec<Self> {
        let mut next = Vec::new();
        for daemon in 0..2 {
            self.claim(daemon, rules, &mut next);
            self.open_session(daemon, rules, &mut next);
            self.act_as_owner(daemon, rules, &mut next);
            self.crash(daemon, &mut next);
        }
        self.deliver_writes(&mut next);
        self.deliver_orders(rules, &mut next);
        self.end_runs(&mut next);
        next
    }

    fn step(&self, next: &mut Vec<Self>, change: impl FnOnce(&mut Self)) {
        let mut state = self.clone();
        change(&mut state);
        next.push(state);
    }

    /// Reads the stream of claims, or claims ownership at the end that was read.
    fn claim(&self, daemon: usize, rules: OwnershipRules, next: &mut Vec<Self>) {
        let own = &self.daemons[daemon];
        if own.epoch.is_some() {
            return;
        }
        match own.read {
            None if self.last_epoch < MAX_EPOCH => self.step(next, |state| {
                state.daemons[daemon].read = Some((state.claims_end, state.last_epoch));
            }),
            None => {}
            Some((end, epoch)) => self.step(next, |state| {
                let holds = state.claims_end == end;
                // With a writer's epoch and sequence, the store takes a second claim of the epoch
                // for a repeat of the first.
                let repeat = !rules.claim_without_writer && state.last_epoch > epoch;
                let own = &mut state.daemons[daemon];
                own.read = None;
                if holds || repeat {
                    own.epoch = Some(epoch + 1);
                }
                if holds {
                    state.claims_end += 1;
                    state.last_epoch = epoch + 1;
                }
                let [first, second] = &state.daemons;
                if first.epoch.is_some() && first.epoch == second.epoch {
                    state.violation = Some("two owners of one epoch");
                }
            }),
        }
    }

    /// Fences earlier writers, reads the jobs and confirms the claim.
    fn open_session(&self, daemon: usize, rules: OwnershipRules, next: &mut Vec<Self>) {
        let own = &self.daemons[daemon];
        let Some(epoch) = own.epoch else { return };
        if !own.fenced && (rules.fence_before_read || own.loaded) {
            self.step(next, |state| {
                if state.fence > epoch {
                    state.daemons[daemon] = ModelDaemon::default();
                } else {
                    state.fence = epoch;
                    state.daemons[daemon].fenced = true;
                }
            });
        }
        if !own.loaded && (own.fenced || !rules.fence_before_read) {
            self.step(next, |state| {
                let (job, end) = (state.job_stored, state.end_stored);
                let own = &mut state.daemons[daemon];
                own.loaded = true;
                own.knows_job = job;
                own.inherited = job;
                own.end_seen = end;
                own.end_stored = end;
            });
        }
        if own.loaded && !own.confirmed {
            self.step(next, |state| {
                if rules.confirm_after_read && state.last_epoch > epoch {
                    state.daemons[daemon] = ModelDaemon::default();
                } else {
                    state.daemons[daemon].confirmed = true;
                }
            });
        }
        // If a caller asks for its accepted job now, the answer would be that it does not exist.
        let serves = own.confirmed && own.fenced && self.fence == epoch;
        if serves && self.accepted && !own.knows_job {
            self.step(next, |state| {
                state.violation = Some("an accepted job is lost")
            });
        }
    }

    /// Accepts the job, asks executors what they run, starts the task, stores its end and withdraws
    /// starts.
    fn act_as_owner(&self, daemon: usize, rules: OwnershipRules, next: &mut Vec<Self>) {
        let own = &self.daemons[daemon];
        let Some(epoch) = own.epoch else { return };
        if !own.confirmed || !own.fenced {
            return;
        }
        if !own.knows_job && !self.accepted {
            self.step(next, |state| {
                state.writes.insert((daemon, epoch, JobWrite::Accept));
                if !rules.store_before_accept {
                    state.accepted = true;
                    state.daemons[daemon].knows_job = true;
                }
            });
        }
        for executor in 0..2 {
            self.ask_executor(daemon, executor, epoch, rules, next);
            self.start(daemon, executor, epoch, rules, next);
        }
        if own.end_seen && !own.end_stored {
            self.step(next, |state| {
                state.writes.insert((daemon, epoch, JobWrite::End));
            });
        }
        if let Some((executor, run)) = own.placed
            && !own.end_seen
        {
            self.withdraw(daemon, executor, run, epoch, rules, next);
            self.lose_run(daemon, executor, epoch, next);
        }
        if own.lost && !own.end_seen {
            self.step(next, |state| {
                let superseded = state.last_epoch > epoch;
                let own = &mut state.daemons[daemon];
                if rules.confirm_before_move && superseded {
                    *own = ModelDaemon::default();
                } else {
                    own.placed = None;
                    own.lost = false;
                }
            });
        }
    }

    /// Reads what an executor runs and has ended, and acknowledges an end that is stored.
    fn ask_executor(
        &self,
        daemon: usize,
        executor: usize,
        epoch: u8,
        rules: OwnershipRules,
        next: &mut Vec<Self>,
    ) {
        self.step(next, |state| {
            let listed = &mut state.executors[executor];
            if rules.fenced_executors && epoch < listed.epoch {
                state.daemons[daemon] = ModelDaemon::default();
                return;
            }
            listed.epoch = listed.epoch.max(epoch);
            listed.leased_by = epoch;
            let own = &mut state.daemons[daemon];
            own.asked[executor] = true;
            // A run that was counted as lost is reported again.
            own.lost &= own.placed != listed.running.map(|run| (executor, run));
            if let Some(run) = listed.running
                && own.placed.is_none()
            {
                own.placed = Some((executor, run));
            }
            own.end_seen |= listed.ended;
            if listed.ended && (own.end_stored || !rules.store_before_ack) {
                listed.ended = false;
                state.end_acknowledged = true;
            }
        });
    }

    /// Orders a start of the task.
    fn start(
        &self,
        daemon: usize,
        executor: usize,
        epoch: u8,
        rules: OwnershipRules,
        next: &mut Vec<Self>,
    ) {
        let own = &self.daemons[daemon];
        let asked = own.asked == [true, true];
        let settled = asked || !own.inherited || !rules.ask_before_start;
        let free = own.placed.is_none() && !own.end_seen && own.starts < MAX_STARTS;
        // An executor gets tasks only after it has answered this owner.
        if own.knows_job && settled && free && own.asked[executor] {
            self.step(next, |state| {
                let own = &mut state.daemons[daemon];
                own.starts += 1;
                let run = epoch * (MAX_STARTS + 1) + own.starts;
                own.placed = Some((executor, run));
                state.orders.insert((executor, epoch, run));
            });
        }
    }

    /// Withdraws a start that has no answer, so that its task may start elsewhere.
    fn withdraw(
        &self,
        daemon: usize,
        executor: usize,
        run: u8,
        epoch: u8,
        rules: OwnershipRules,
        next: &mut Vec<Self>,
    ) {
        let listed = &self.executors[executor];
        if listed.running == Some(run) || listed.ended || self.daemons[daemon].lost {
            return;
        }
        if !rules.withdraw_before_move {
            self.step(next, |state| state.daemons[daemon].placed = None);
        } else if epoch >= listed.epoch {
            self.step(next, |state| {
                let stopped = &mut state.executors[executor];
                stopped.epoch = epoch;
                stopped.highest = stopped.highest.max(run);
                state.daemons[daemon].placed = None;
            });
        }
    }

    /// Lets the lease expire that the owner granted to the executor of the task. A start that has no
    /// answer may still arrive, so that its lease is not counted as expired.
    fn lose_run(&self, daemon: usize, executor: usize, epoch: u8, next: &mut Vec<Self>) {
        let pending = self.orders.iter().any(|order| order.0 == executor);
        if self.daemons[daemon].lost || pending {
            return;
        }
        self.step(next, |state| {
            state.daemons[daemon].lost = true;
            let expired = &mut state.executors[executor];
            if expired.leased_by <= epoch {
                expired.running = None;
                expired.ended = false;
            }
        });
    }

    /// Crashes a daemon; it restarts without state.
    fn crash(&self, daemon: usize, next: &mut Vec<Self>) {
        if self.daemons[daemon] != ModelDaemon::default() {
            self.step(next, |state| state.daemons[daemon] = ModelDaemon::default());
        }
    }

    /// Delivers a pending write to the store.
    fn deliver_writes(&self, next: &mut Vec<Self>) {
        for write in &self.writes {
            let (daemon, epoch, content) = *write;
            self.step(next, |state| {
                state.writes.remove(write);
                let sender = &mut state.daemons[daemon];
                let alive = sender.epoch == Some(epoch);
                if epoch < state.fence {
                    if alive {
                        *sender = ModelDaemon::default();
                    }
                    return;
                }
                match content {
                    JobWrite::Accept => state.job_stored = true,
                    JobWrite::End => state.end_stored = true,
                }
                match content {
                    JobWrite::Accept if alive => {
                        sender.knows_job = true;
                        state.accepted = true;
                    }
                    JobWrite::End if alive => sender.end_stored = true,
                    _ => {}
                }
            });
        }
    }

    /// Delivers a pending start to its executor.
    fn deliver_orders(&self, rules: OwnershipRules, next: &mut Vec<Self>) {
        for order in &self.orders {
            let (executor, epoch, run) = *order;
            self.step(next, |state| {
                state.orders.remove(order);
                let target = &mut state.executors[executor];
                let fenced = rules.fenced_executors && epoch < target.epoch;
                if fenced || run <= target.highest {
                    return;
                }
                target.epoch = target.epoch.max(epoch);
                target.highest = run;
                target.running = Some(run);
                target.leased_by = target.leased_by.max(epoch);
                if state.end_acknowledged {
                    state.violation = Some("a start after an acknowledged good end");
                }
                if state.executors.iter().all(|one| one.running.is_some()) {
                    state.violation = Some("two runs of one task");
                }
            });
        }
    }

    /// Ends a run successfully.
    fn end_runs(&self, next: &mut Vec<Self>) {
        for executor in 0..2 {
            if self.executors[executor].running.is_some() {
                self.step(next, |state| {
                    let ending = &mut state.executors[executor];
                    ending.running = None;
                    ending.ended = true;
                });
            }
        }
    }
}

/// Visits all reachable states; returns the first violation and the number of visited states.
fn search(rules: OwnershipRules) -> (Option<&'static str>, usize) {
    let first = ModelState::default();
    let mut visited = HashSet::from([first.clone()]);
    let mut frontier = VecDeque::from([first]);
    while let Some(state) = frontier.pop_front() {
        for next in state.successors(rules) {
            if next.violation.is_some() {
                return (next.violation, visited.len());
            }
            if visited.insert(next.clone()) {
                frontier.push_back(next);
            }
        }
        assert!(
            visited.len() < MAX_STATES,
            "the state space of the model is too large to visit"
        );
    }
    (None, visited.len())
}

macro_rules! test_without_rule {
    ($(#[$meta:meta])* $name:ident, $rule:ident, $violation:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let mut rules = ALL_RULES;
            rules.$rule = false;
            assert_eq!(search(rules).0, Some($violation));
        }
    };
}

/// Guards against an order of events that all rules together do not cover.
#[test]
fn all_rules_together_keep_the_promises() {
    let (violation, states) = search(ALL_RULES);
    assert_eq!(violation, None);
    // A model with few states, for example without changes of owner, would prove nothing.
    assert!(states > 10_000, "only {states} states");
}

test_without_rule!(
    /// Guards against two claims of one epoch of which the store takes the second for a repeat, so
    /// that both claimants become owner.
    a_claim_with_a_writer_elects_two_owners,
    claim_without_writer,
    "two owners of one epoch"
);
test_without_rule!(
    /// Guards against jobs that an earlier owner stores after the next owner has read the jobs.
    reading_before_fencing_loses_jobs,
    fence_before_read,
    "an accepted job is lost"
);
test_without_rule!(
    /// Guards against an owner that was paused before it read the jobs, and starts tasks of jobs
    /// that a later owner has accepted and started.
    reading_without_confirming_runs_a_task_twice,
    confirm_after_read,
    "two runs of one task"
);
test_without_rule!(
    /// Guards against the start of a task that an earlier owner has started on another executor.
    starting_before_asking_runs_a_task_twice,
    ask_before_start,
    "two runs of one task"
);
test_without_rule!(
    /// Guards against orders of an earlier owner that arrive late.
    executors_without_fences_run_a_task_twice,
    fenced_executors,
    "two runs of one task"
);
test_without_rule!(
    /// Guards against a start without an answer that the executor carries out after the task was
    /// started elsewhere.
    moving_without_a_stop_runs_a_task_twice,
    withdraw_before_move,
    "two runs of one task"
);
test_without_rule!(
    /// Guards against a crash of the owner between the acknowledgement of a job and its storing.
    accepting_before_storing_loses_jobs,
    store_before_accept,
    "an accepted job is lost"
);
test_without_rule!(
    /// Guards against a crash of the owner between the acknowledgement of an end and its storing.
    acknowledging_before_storing_runs_a_task_again,
    store_before_ack,
    "a start after an acknowledged good end"
);
test_without_rule!(
    /// Guards against an owner that was paused, counts a lease as expired that a later owner has
    /// renewed, and starts a task again that runs or has succeeded under the later owner.
    moving_without_a_confirmation_runs_a_task_twice,
    confirm_before_move,
    "two runs of one task"
);
