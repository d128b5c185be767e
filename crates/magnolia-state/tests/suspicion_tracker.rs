//! Suspicions and proofs, against a model of a daemon that is restarted.

use std::collections::BTreeSet;

use magnolia_state::SuspicionTracker;
use magnolia_types::{DaemonId, Incarnation, Millis};
use quickcheck::quickcheck;

fn peer() -> DaemonId {
    DaemonId::new("peer").expect("a name")
}

/// Evidence as a tracker takes it.
trait Evidence {
    fn learn(&mut self, run: Incarnation, now: Millis);
    fn answer(&mut self, run: Incarnation, sent: Millis, now: Millis);
    fn refusal(&mut self, tried: Millis, now: Millis);
    fn is_ended(&self, run: Incarnation) -> bool;
}

impl Evidence for SuspicionTracker {
    fn learn(&mut self, run: Incarnation, now: Millis) {
        SuspicionTracker::learn(self, &peer(), run, now);
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

/// A broken tracker: any evidence ends all other known runs, whenever they were learned of.
#[derive(Default)]
struct HastyTracker {
    known: BTreeSet<Incarnation>,
    ended: BTreeSet<Incarnation>,
}

impl Evidence for HastyTracker {
    fn learn(&mut self, run: Incarnation, _now: Millis) {
        self.known.insert(run);
    }
    fn answer(&mut self, run: Incarnation, _sent: Millis, now: Millis) {
        let others = self.known.iter().filter(|known| **known != run);
        self.ended.extend(others);
        self.learn(run, now);
    }
    fn refusal(&mut self, _tried: Millis, _now: Millis) {
        self.ended.extend(&self.known);
    }
    fn is_ended(&self, run: Incarnation) -> bool {
        self.ended.contains(&run)
    }
}

/// A message that was handled by the peer and whose result is on its way back.
struct Flight {
    sent: Millis,
    /// The run that answered, or `None` for a refused connection.
    result: Option<Incarnation>,
}

/// Plays restarts, claims read from the log, probes and late results; `true` when no run was taken
/// for ended while it lived.
fn proofs_hold(steps: &[(u8, u8)], tracker: &mut dyn Evidence) -> bool {
    let mut run = Some(Incarnation::new(1));
    let mut runs = 1;
    let mut flights: Vec<Flight> = Vec::new();
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
                    tracker.learn(run, now);
                }
            }
            3 => flights.push(Flight {
                sent: now,
                result: run,
            }),
            4 if !flights.is_empty() => {
                let flight = flights.remove(usize::from(choice) % flights.len());
                match flight.result {
                    Some(run) => tracker.answer(run, flight.sent, now),
                    None => tracker.refusal(flight.sent, now),
                }
            }
            _ => {}
        }
        run.is_none_or(|run| !tracker.is_ended(run))
    })
}

quickcheck! {
    /// Guards against a proof of the end of a daemon that lives, which would let a second owner
    /// place tasks without waiting.
    fn live_run_is_never_proved_ended(steps: Vec<(u8, u8)>) -> bool {
        proofs_hold(&steps, &mut SuspicionTracker::new())
    }

    /// Guards against a suspicion that an answer does not end, and against one without three
    /// failures in a row.
    fn three_failures_raise_and_an_answer_ends_suspicion(steps: Vec<bool>) -> bool {
        let mut tracker = SuspicionTracker::new();
        let mut failures = 0;
        (1_u64..).zip(&steps).all(|(now, answers)| {
            let now = Millis::new(now);
            if *answers {
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

/// Shows that the model finds a broken tracker: a refusal that was on its way when the peer
/// restarted must not count against the new run.
#[test]
fn hasty_tracker_is_caught() {
    let steps = [(0, 0), (3, 0), (1, 1), (2, 1), (4, 0)];
    assert!(!proofs_hold(&steps, &mut HastyTracker::default()));
    assert!(proofs_hold(&steps, &mut SuspicionTracker::new()));
}

/// Guards against takeovers that wait for ever: a refused connection proves the end of a known run.
#[test]
fn refusal_and_other_run_prove_the_end() {
    let mut tracker = SuspicionTracker::new();
    let (first, second) = (Incarnation::new(1), Incarnation::new(2));
    SuspicionTracker::learn(&mut tracker, &peer(), first, Millis::new(1));
    tracker.record_refusal(&peer(), Millis::new(2), Millis::new(3));
    assert_eq!(tracker.proof_of_end(&peer(), first), Some(Millis::new(3)));
    assert!(tracker.is_suspect(&peer(), Millis::new(3)));
    tracker.record_answer(&peer(), second, Millis::new(4), Millis::new(5));
    assert!(!tracker.is_suspect(&peer(), Millis::new(5)));
    tracker.record_answer(&peer(), Incarnation::new(3), Millis::new(6), Millis::new(7));
    assert_eq!(tracker.proof_of_end(&peer(), second), Some(Millis::new(7)));
}

/// Guards against reports that circulate for ever among daemons that repeat them.
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
