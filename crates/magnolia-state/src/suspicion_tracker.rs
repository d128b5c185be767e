//! Which daemons are suspected, and which runs of a daemon have provably ended.

use std::collections::BTreeMap;

use magnolia_types::{DaemonId, Incarnation, Millis};

/// Evidence about one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
struct PeerEvidence {
    /// Failed probes since the last answer.
    failures: u32,
    /// When the first of these failed.
    failing_since: Option<Millis>,
    /// When the last of these failed.
    last_failure: Option<Millis>,
    /// When the last answered probe was sent.
    answered: Option<Millis>,
    /// Whether the last probe was refused.
    refused: bool,
    /// Newest evidence of another daemon against this one.
    reported: Option<Millis>,
    /// Whether the daemon said that it is draining.
    draining: bool,
    /// The run that answered last.
    run: Option<Incarnation>,
}

/// What is known of one run of a daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RunEvidence {
    learned: Millis,
    ended: Option<Millis>,
}

/// Suspicions and proofs as seen by one daemon.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SuspicionTracker {
    peers: BTreeMap<DaemonId, PeerEvidence>,
    runs: BTreeMap<(DaemonId, Incarnation), RunEvidence>,
}

impl SuspicionTracker {
    /// Consecutive failures that raise suspicion.
    pub const FAILURE_LIMIT: u32 = 3;
    /// Age at which evidence counts no longer.
    pub const REPORT_LIFETIME: Millis = Millis::from_secs(5);
    /// Age at which evidence about a daemon that nobody probes is forgotten.
    pub const EVIDENCE_LIFETIME: Millis = Millis::from_secs(3600);

    /// Creates a tracker that suspects nobody.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run exists, so that later evidence can prove its end.
    pub fn learn(&mut self, daemon: &DaemonId, incarnation: Incarnation, now: Millis) {
        self.runs
            .entry((daemon.clone(), incarnation))
            .or_insert(RunEvidence {
                learned: now,
                ended: None,
            });
    }

    /// Records an answer to a message sent at `sent`.
    ///
    /// Two runs of a daemon never overlap, so the answer proves the end of every other run that
    /// was known before the message was sent.
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
            // A new run is not draining because the last one was.
            draining: peer.draining && peer.run.is_none_or(|run| run == incarnation),
            run: Some(incarnation),
            ..PeerEvidence::default()
        };
        self.end_runs(daemon, Some(incarnation), sent, now);
        self.learn(daemon, incarnation, now);
    }

    /// Records whether the daemon says that it is draining.
    pub fn record_draining(&mut self, daemon: &DaemonId, draining: bool) {
        self.peers.entry(daemon.clone()).or_default().draining = draining;
    }

    /// Records a probe without an answer.
    pub fn record_failure(&mut self, daemon: &DaemonId, now: Millis) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        peer.failures = peer.failures.saturating_add(1);
        peer.failing_since.get_or_insert(now);
        peer.last_failure = Some(now);
        peer.refused = false;
    }

    /// Records a refused connection: every run known when it was tried has ended.
    pub fn record_refusal(&mut self, daemon: &DaemonId, tried: Millis, now: Millis) {
        self.record_failure(daemon, now);
        if let Some(peer) = self.peers.get_mut(daemon) {
            peer.refused = true;
            peer.draining = false;
        }
        self.end_runs(daemon, None, tried, now);
    }

    /// Records that the instance list has not named the daemon since `since`, which is longer
    /// than the list can lag.
    pub fn record_dropped(&mut self, daemon: &DaemonId, since: Millis, now: Millis) {
        self.end_runs(daemon, None, since, now);
    }

    /// Records evidence from `evidence` that another daemon passed on.
    pub fn record_report(&mut self, daemon: &DaemonId, evidence: Millis) {
        let peer = self.peers.entry(daemon.clone()).or_default();
        let newest = peer.reported.map_or(evidence, |known| known.max(evidence));
        peer.reported = Some(newest);
    }

    /// Tells whether the daemon is suspected, by failed probes of its own or by a fresh report that
    /// no later answer contradicts.
    pub fn is_suspect(&self, daemon: &DaemonId, now: Millis) -> bool {
        self.evidence_time(daemon, now).is_some()
    }

    /// Tells whether the daemon says that it is draining.
    pub fn is_draining(&self, daemon: &DaemonId) -> bool {
        self.peers.get(daemon).is_some_and(|peer| peer.draining)
    }

    /// Returns since when probes of this daemon itself have failed without an answer between.
    pub fn failing_since(&self, daemon: &DaemonId) -> Option<Millis> {
        self.peers.get(daemon)?.failing_since
    }

    /// Returns when the last answered message to the daemon was sent.
    pub fn answered(&self, daemon: &DaemonId) -> Option<Millis> {
        self.peers.get(daemon)?.answered
    }

    /// Returns when the end of a run was proved.
    pub fn proof_of_end(&self, daemon: &DaemonId, incarnation: Incarnation) -> Option<Millis> {
        self.runs.get(&(daemon.clone(), incarnation))?.ended
    }

    /// Returns the runs without a proof of their end.
    pub fn open_runs(&self) -> impl Iterator<Item = (&DaemonId, Incarnation)> {
        let open = self.runs.iter().filter(|(_, run)| run.ended.is_none());
        open.map(|((daemon, incarnation), _)| (daemon, *incarnation))
    }

    /// Returns each suspected daemon with the time of the newest evidence.
    pub fn suspects(&self, now: Millis) -> Vec<(DaemonId, Millis)> {
        let found = self.peers.keys();
        found
            .filter_map(|daemon| Some((daemon.clone(), self.evidence_time(daemon, now)?)))
            .collect()
    }

    /// Forgets daemons without recent evidence.
    pub fn forget_old(&mut self, now: Millis) {
        let fresh = |time: Option<Millis>| {
            time.is_some_and(|time| now.saturating_sub(time) < Self::EVIDENCE_LIFETIME)
        };
        self.peers.retain(|_, peer| {
            fresh(peer.answered) || fresh(peer.last_failure) || fresh(peer.reported)
        });
        self.runs
            .retain(|_, run| fresh(run.ended.or(Some(run.learned))));
    }

    fn evidence_time(&self, daemon: &DaemonId, now: Millis) -> Option<Millis> {
        let peer = self.peers.get(daemon)?;
        let raised = peer.refused || peer.failures >= Self::FAILURE_LIMIT;
        let own = peer.last_failure.filter(|_| raised);
        let reported = peer
            .reported
            .filter(|evidence| peer.answered.is_none_or(|answered| answered < *evidence));
        // A daemon that is probed no longer would stay suspected for ever without this limit.
        own.max(reported)
            .filter(|evidence| now.saturating_sub(*evidence) < Self::REPORT_LIFETIME)
    }

    /// Ends the runs other than `alive` that were known at `known`.
    fn end_runs(
        &mut self,
        daemon: &DaemonId,
        alive: Option<Incarnation>,
        known: Millis,
        now: Millis,
    ) {
        for ((name, incarnation), run) in &mut self.runs {
            let other = name == daemon && Some(*incarnation) != alive;
            // A run learned of in the same millisecond may be younger than the message.
            if other && run.learned < known && run.ended.is_none() {
                run.ended = Some(now);
            }
        }
    }
}
