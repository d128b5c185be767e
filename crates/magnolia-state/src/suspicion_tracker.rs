//! Failure detection: which daemons are suspected to have failed, and which runs (incarnations) of
//! a daemon have provably ended.

use std::collections::BTreeMap;

use magnolia_types::{DaemonId, Incarnation, Millis};

/// Evidence about one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
struct PeerEvidence {
    /// Number of failed probes since the last answer.
    failures: u32,
    /// When the first of these probes failed.
    failing_since: Option<Millis>,
    /// When the last of these probes failed.
    last_failure: Option<Millis>,
    /// Send time of the newest message that was answered.
    answered: Option<Millis>,
    /// Whether the connection for the last probe was refused.
    refused: bool,
    /// Time of the newest evidence that other daemons reported against this one.
    reported: Option<Millis>,
    /// Whether the daemon reported that it is draining.
    draining: bool,
    /// Incarnation that answered last.
    run: Option<Incarnation>,
}

/// Evidence about one run of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RunEvidence {
    /// When the run was first recorded.
    recorded: Millis,
    /// When its end was proved.
    ended: Option<Millis>,
}

/// Evidence that one daemon has collected about the others.
///
/// Suspicion is a guess from failed probes and reports: a later answer ends it, and so does the
/// lack of new evidence. The end of a run is recorded only when it is certain, and later evidence
/// does not revoke it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspicionTracker {
    peers: BTreeMap<DaemonId, PeerEvidence>,
    runs: BTreeMap<(DaemonId, Incarnation), RunEvidence>,
}

impl SuspicionTracker {
    /// Number of consecutive failed probes after which a daemon is suspected. A single refused
    /// connection is enough as well.
    pub const FAILURE_LIMIT: u32 = 3;
    /// Age at which evidence no longer makes a daemon suspected.
    pub const SUSPICION_LIFETIME: Millis = Millis::from_secs(5);
    /// Age at which the evidence about a daemon that is no longer probed, or about an old run, is
    /// removed.
    pub const EVIDENCE_RETENTION: Millis = Millis::from_secs(3600);

    /// Creates a tracker that suspects no daemon.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run exists, so that later evidence can prove that it has ended.
    pub fn record_run(&mut self, daemon: &DaemonId, incarnation: Incarnation, now: Millis) {
        self.runs
            .entry((daemon.clone(), incarnation))
            .or_insert(RunEvidence {
                recorded: now,
                ended: None,
            });
    }

    /// Records an answer to a message sent at `sent`.
    ///
    /// Two runs of a daemon never overlap, so the answer proves that every other run that was known
    /// before the message was sent has ended.
    pub fn record_answer(
        &mut self,
        daemon: &DaemonId,
        incarnation: Incarnation,
        sent: Millis,
        now: Millis,
    ) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        let answered = peer.answered.map_or(sent, |known| known.max(sent));
        *peer = PeerEvidence {
            answered: Some(answered),
            reported: peer.reported.filter(|evidence| *evidence > sent),
            // A new run does not inherit the draining state of an earlier one.
            draining: peer.draining && peer.run.is_none_or(|run| run == incarnation),
            run: Some(incarnation),
            ..PeerEvidence::default()
        };
        self.end_runs(daemon, Some(incarnation), sent, now);
        self.record_run(daemon, incarnation, now);
    }

    /// Records whether the daemon reports that it is draining.
    pub fn record_draining(&mut self, daemon: &DaemonId, draining: bool) {
        self.peers.entry(daemon.clone()).or_default().draining = draining;
    }

    /// Records a probe that was not answered.
    pub fn record_failure(&mut self, daemon: &DaemonId, now: Millis) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        peer.failures = peer.failures.saturating_add(1);
        peer.failing_since.get_or_insert(now);
        peer.last_failure = Some(now);
        peer.refused = false;
    }

    /// Records a connection that was attempted at `tried` and refused, which proves that every run
    /// known before then has ended.
    pub fn record_refusal(&mut self, daemon: &DaemonId, tried: Millis, now: Millis) {
        self.record_failure(daemon, now);
        if let Some(peer) = self.peers.get_mut(daemon) {
            peer.refused = true;
            peer.draining = false;
        }
        self.end_runs(daemon, None, tried, now);
    }

    /// Records that the instance list has not contained the daemon since `since`. This has to be
    /// longer ago than the list can lag behind; it then proves that every run known before `since`
    /// has ended.
    pub fn record_absence(&mut self, daemon: &DaemonId, since: Millis, now: Millis) {
        self.end_runs(daemon, None, since, now);
    }

    /// Records a report of another daemon; `evidence` is the time of its newest evidence.
    pub fn record_report(&mut self, daemon: &DaemonId, evidence: Millis) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        let newest = peer.reported.map_or(evidence, |known| known.max(evidence));
        peer.reported = Some(newest);
    }

    /// Returns whether `daemon` is suspected: because recent probes by the local daemon failed, or
    /// because another daemon's recent report is newer than its last answer.
    pub fn is_suspect(&self, daemon: &DaemonId, now: Millis) -> bool {
        self.evidence_time(daemon, now).is_some()
    }

    /// Returns whether the daemon last reported that it is draining. An answer of a new run or a
    /// refused connection resets this.
    pub fn is_draining(&self, daemon: &DaemonId) -> bool {
        self.peers.get(daemon).is_some_and(|peer| peer.draining)
    }

    /// Returns the time since which all probes of the daemon have failed. Reports of other daemons
    /// do not count.
    pub fn failing_since(&self, daemon: &DaemonId) -> Option<Millis> {
        self.peers.get(daemon)?.failing_since
    }

    /// Returns the send time of the newest message to the daemon that was answered.
    pub fn answered(&self, daemon: &DaemonId) -> Option<Millis> {
        self.peers.get(daemon)?.answered
    }

    /// Returns when the end of a run was proved.
    pub fn proof_of_end(&self, daemon: &DaemonId, incarnation: Incarnation) -> Option<Millis> {
        self.runs.get(&(daemon.clone(), incarnation))?.ended
    }

    /// Returns the runs that have not been proved to have ended.
    pub fn runs_without_proof_of_end(&self) -> impl Iterator<Item = (&DaemonId, Incarnation)> {
        let open = self.runs.iter().filter(|(_, run)| run.ended.is_none());
        open.map(|((daemon, incarnation), _)| (daemon, *incarnation))
    }

    /// Returns each suspected daemon with the time of the newest evidence.
    pub fn suspects(&self, now: Millis) -> Vec<(DaemonId, Millis)> {
        let daemons = self.peers.keys();
        daemons
            .filter_map(|daemon| Some((daemon.clone(), self.evidence_time(daemon, now)?)))
            .collect()
    }

    /// Removes daemons and runs without recent evidence.
    pub fn forget_old(&mut self, now: Millis) {
        let fresh = |time: Option<Millis>| {
            time.is_some_and(|time| now.saturating_sub(time) < Self::EVIDENCE_RETENTION)
        };
        self.peers.retain(|_, peer| {
            fresh(peer.answered) || fresh(peer.last_failure) || fresh(peer.reported)
        });
        self.runs
            .retain(|_, run| fresh(run.ended.or(Some(run.recorded))));
    }

    /// Returns the time of the newest evidence if the daemon is suspected.
    fn evidence_time(&self, daemon: &DaemonId, now: Millis) -> Option<Millis> {
        let peer = self.peers.get(daemon)?;
        let is_failing = peer.refused || peer.failures >= Self::FAILURE_LIMIT;
        let own = peer.last_failure.filter(|_| is_failing);
        let reported = peer
            .reported
            .filter(|evidence| peer.answered.is_none_or(|answered| answered < *evidence));
        // Without this limit, a daemon that is no longer probed would stay suspected forever.
        own.max(reported)
            .filter(|evidence| now.saturating_sub(*evidence) < Self::SUSPICION_LIFETIME)
    }

    /// Records the end of all runs of the daemon, other than `alive`, that were recorded before the
    /// time `before`.
    fn end_runs(
        &mut self,
        daemon: &DaemonId,
        alive: Option<Incarnation>,
        before: Millis,
        now: Millis,
    ) {
        for ((name, incarnation), run) in &mut self.runs {
            let other = name == daemon && Some(*incarnation) != alive;
            // A run that was recorded in the same millisecond may be newer than the message.
            if other && run.recorded < before && run.ended.is_none() {
                run.ended = Some(now);
            }
        }
    }
}
