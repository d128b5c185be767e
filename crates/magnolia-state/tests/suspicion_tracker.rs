//! Suspicions and proofs of ended runs, compared with a model of a daemon that restarts.

use std::collections::BTreeSet;

use magnolia_state::SuspicionTracker;
use magnolia_types::{DaemonId, Incarnation, Millis};
use quickcheck::quickcheck;

fn peer() -> DaemonId {
    DaemonId::new("peer").expect("a name")
}

/// The operations of a tracker that the model uses.
trait RunTracker {
    fn record_run(&mut self, run: Incarnation, now: Millis);
    fn answer(&mut self, run: Incarnation, sent: Millis, now: Millis);
    fn refusal(&mut self, tried: Millis, now: Millis);
    fn is_ended(&self, run: Incarnation) -> bool;
}

impl RunTracker for SuspicionTracker {
    fn record_run(&mut self, run: Incarnation, now: Millis) {
        SuspicionTracker::record_run(self, &peer(), run, now);
    }
    fn answer(&mut self, run: Incarnation, sent: Millis, now: Millis) {
        self.record_answer(&peer(), run, sent, now);
    }
    fn refusal(&mut self, tried: Millis, now: Millis) {
        self.record_refusal(&peer(), tried, now);
    }
    fn is_ended(&self, run: Incarnation) -> bool {
        self.proof_of_end(&peer(), run).is_some()
    }
}

/// A broken tracker: evidence ends all other known runs, even those recorded after the message
/// was sent.
#[derive(Default)]
struct UntimedTracker {
    known: BTreeSet<Incarnation>,
    ended: BTreeSet<Incarnation>,
}

impl RunTracker for UntimedTracker {
    fn record_run(&mut self, run: Incarnation, _now: Millis) {
        self.known.insert(run);
    }
    fn answer(&mut self, run: Incarnation, _sent: Millis, now: Millis) {
        let others = self.known.iter().filter(|known| **known != run);
        self.ended.extend(others);
        self.record_run(run, now);
    }
    fn refusal(&mut self, _tried: Millis, _now: Millis) {
        self.ended.extend(&self.known);
    }
    fn is_ended(&self, run: Incarnation) -> bool {
        self.ended.contains(&run)
    }
}

/// A message whose result has been decided at the peer and has not been received yet.
struct PendingResult {
    sent: Millis,
    /// The run that answered, or `None` for a refused connection.
    result: Option<Incarnation>,
}

/// Simulates restarts, claims read from the log, probes and late results. Returns whether the
/// tracker never recorded the end of a run that was alive.
fn proofs_are_correct(steps: &[(u8, u8)], tracker: &mut dyn RunTracker) -> bool {
    let mut run = Some(Incarnation::new(1));
    let mut runs = 1;
    let mut pending: Vec<PendingResult> = Vec::new();
    let mut now = Millis::new(0);
    steps.iter().all(|&(step, choice)| {
        now = now.saturating_add(Millis::new(u64::from(choice % 3)));
        match step % 5 {
            0 => run = None,
            1 if run.is_none() => {
                runs += 1;
                run = Some(Incarnation::new(runs));
            }
            2 => {
                if let Some(run) = run {
                    tracker.record_run(run, now);
                }
            }
            3 => pending.push(PendingResult {
                sent: now,
                result: run,
            }),
            4 if !pending.is_empty() => {
                let received = pending.remove(usize::from(choice) % pending.len());
                match received.result {
                    Some(run) => tracker.answer(run, received.sent, now),
                    None => tracker.refusal(received.sent, now),
                }
            }
            _ => {}
        }
        run.is_none_or(|run| !tracker.is_ended(run))
    })
}

quickcheck! {
    /// Guards against recording the end of a run that is alive, which would let a second owner
    /// place tasks while the first one still starts them.
    fn live_run_is_never_proved_ended(steps: Vec<(u8, u8)>) -> bool {
        proofs_are_correct(&steps, &mut SuspicionTracker::new())
    }

    /// Guards against a suspicion that outlasts an answer, and against one that is raised before
    /// three consecutive failures.
    fn three_failures_raise_and_an_answer_ends_suspicion(steps: Vec<bool>) -> bool {
        let mut tracker = SuspicionTracker::new();
        let mut failures = 0;
        (1_u64..).zip(&steps).all(|(now, is_answered)| {
            let now = Millis::new(now);
            if *is_answered {
                failures = 0;
                tracker.record_answer(&peer(), Incarnation::new(1), now, now);
            } else {
                failures += 1;
                tracker.record_failure(&peer(), now);
            }
            tracker.is_suspect(&peer(), now) == (failures >= 3)
        })
    }
}

/// Checks that the model detects a broken tracker: a connection that was refused before the peer
/// restarted must not end the new run.
#[test]
fn tracker_that_ignores_send_times_is_detected() {
    let steps = [(0, 0), (3, 0), (1, 1), (2, 1), (4, 0)];
    assert!(!proofs_are_correct(&steps, &mut UntimedTracker::default()));
    assert!(proofs_are_correct(&steps, &mut SuspicionTracker::new()));
}

/// Guards against takeovers that never complete: a refused connection, or an answer of another run,
/// proves the end of a known run.
#[test]
fn refusal_and_other_run_prove_the_end() {
    let mut tracker = SuspicionTracker::new();
    let (first, second) = (Incarnation::new(1), Incarnation::new(2));
    SuspicionTracker::record_run(&mut tracker, &peer(), first, Millis::new(1));
    tracker.record_refusal(&peer(), Millis::new(2), Millis::new(3));
    assert_eq!(tracker.proof_of_end(&peer(), first), Some(Millis::new(3)));
    assert!(tracker.is_suspect(&peer(), Millis::new(3)));
    tracker.record_answer(&peer(), second, Millis::new(4), Millis::new(5));
    assert!(!tracker.is_suspect(&peer(), Millis::new(5)));
    tracker.record_answer(&peer(), Incarnation::new(3), Millis::new(6), Millis::new(7));
    assert_eq!(tracker.proof_of_end(&peer(), second), Some(Millis::new(7)));
}

/// Guards against reports circulating forever among daemons that pass them on.
#[test]
fn report_expires_and_an_answer_contradicts_it() {
    let mut tracker = SuspicionTracker::new();
    tracker.record_report(&peer(), Millis::new(1000));
    assert!(tracker.is_suspect(&peer(), Millis::new(1500)));
    assert!(!tracker.is_suspect(&peer(), Millis::new(6000)));
    tracker.record_answer(
        &peer(),
        Incarnation::new(1),
        Millis::new(1200),
        Millis::new(1300),
    );
    assert!(!tracker.is_suspect(&peer(), Millis::new(1500)));
}
