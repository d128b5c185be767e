//! Members of the cell: the platform's instance list and the evidence from probes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use magnolia_backing::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_state::SuspicionTracker;
use magnolia_types::{DaemonId, DataCentreName, Incarnation, Millis, stable_hash};
use tokio::sync::{Notify, watch};

use crate::clock::DaemonClock;
use crate::context::DaemonContext;
use crate::metrics::names;

/// Minimum interval between reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between reads of the instance list.
const MAX_LIST_INTERVAL: Duration = Duration::from_secs(600);
/// Delay after a failed read of the instance list.
const LIST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Bytes per second spent on reading the list: a longer list is read less often, except when a peer
/// has read a different one.
const LIST_BYTES_PER_SECOND: u64 = 2_000;
/// Estimated size of one entry of the list in JSON.
const ENTRY_BYTES: u64 = 120;
/// Maximum time by which the instance list lags behind the instances.
const MAX_LIST_LAG: Millis = Millis::from_secs(10);
/// Time for which a daemon is probed after probes of it were requested.
const PROBE_REQUEST_LIFETIME: Millis = Millis::from_secs(3);

/// A daemon in the instance list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize)]
pub struct MemberEntry {
    /// Name of the daemon.
    pub daemon: DaemonId,
    /// Address at which other daemons reach it.
    pub address: SocketAddr,
    /// Data centre of the daemon.
    pub data_centre: DataCentreName,
}

/// The instance list and the evidence that this daemon has about the other daemons.
pub struct MemberList {
    clock: DaemonClock,
    /// The instance list as last read.
    entries: watch::Sender<Arc<Vec<InstanceEntry>>>,
    /// Evidence about the other daemons.
    tracker: Mutex<SuspicionTracker>,
    list_history: Mutex<ListHistory>,
    /// Digest of the instance list as last read.
    digest: AtomicU64,
    /// Wakes the reader of the list when a peer has read a different list.
    list_changed: Notify,
    /// Daemons to probe because of a request, with the time of the last request.
    probe_requests: Mutex<BTreeMap<DaemonId, Millis>>,
    /// Wakes the prober when probes of another daemon are requested.
    probe_requested: Notify,
}

/// When the list was last read, and since when known daemons have been missing from it.
#[derive(Default)]
struct ListHistory {
    /// When the list was last read.
    read_at: Option<Millis>,
    /// Since when each known daemon without proof of its end has been missing from the list.
    absent_since: BTreeMap<DaemonId, Millis>,
}

impl MemberList {
    /// Creates an empty list.
    pub fn new(clock: DaemonClock) -> Self {
        Self {
            clock,
            entries: watch::Sender::new(Arc::default()),
            tracker: Mutex::default(),
            list_history: Mutex::default(),
            digest: AtomicU64::new(0),
            list_changed: Notify::new(),
            probe_requests: Mutex::default(),
            probe_requested: Notify::new(),
        }
    }

    /// Returns the listed daemons that are not leaving, sorted by name.
    pub fn live_daemons(&self) -> Vec<MemberEntry> {
        self.daemons(|entry| entry.state == InstanceState::Live)
    }

    /// Returns all listed daemons, sorted by name.
    pub fn listed_daemons(&self) -> Vec<MemberEntry> {
        self.daemons(|_| true)
    }

    /// Returns the daemons that may claim units: live, not suspected and not draining.
    pub fn candidates(&self) -> Vec<MemberEntry> {
        let now = self.clock.now();
        let mut members = self.live_daemons();
        self.with_tracker(|tracker| {
            members.retain(|member| {
                !tracker.is_suspect(&member.daemon, now) && !tracker.is_draining(&member.daemon)
            });
        });
        members
    }

    /// Returns the listed instances.
    pub fn entries(&self) -> Arc<Vec<InstanceEntry>> {
        Arc::clone(&self.entries.borrow())
    }

    /// Tells whether the instance list marks an instance as leaving.
    pub fn is_leaving(&self, kind: InstanceKind, name: &str) -> bool {
        self.entries().iter().any(|entry| {
            entry.kind == kind && &*entry.instance == name && entry.state == InstanceState::Leaving
        })
    }

    /// Returns the names of the leaving instances of a kind.
    pub fn leaving_names(&self, kind: InstanceKind) -> BTreeSet<Arc<str>> {
        let entries = self.entries();
        let leaving = entries
            .iter()
            .filter(|entry| entry.kind == kind && entry.state == InstanceState::Leaving);
        leaving.map(|entry| Arc::clone(&entry.instance)).collect()
    }

    /// Returns the digest of the list as last read.
    pub fn list_digest(&self) -> u64 {
        self.digest.load(Ordering::SeqCst)
    }

    /// Compares the digest of a peer's list with the local one; if they differ, the list is read
    /// again soon.
    pub fn compare_digest(&self, digest: u64) {
        if digest != self.list_digest() {
            self.list_changed.notify_one();
        }
    }

    /// Returns the listed daemon at an address.
    pub fn daemon_at(&self, address: SocketAddr) -> Option<DaemonId> {
        let members = self.listed_daemons();
        let found = members.into_iter().find(|member| member.address == address);
        found.map(|member| member.daemon)
    }

    /// Returns the address of a listed daemon.
    pub fn address_of(&self, daemon: &DaemonId) -> Option<SocketAddr> {
        let members = self.listed_daemons();
        let found = members.into_iter().find(|member| member.daemon == *daemon);
        found.map(|member| member.address)
    }

    /// Returns when the end of a run of a daemon was proved, on this daemon's clock.
    ///
    /// Without a proof, this daemon probes the other one for some seconds. Code that waits for the
    /// proof has to call this repeatedly to keep the probes going.
    pub fn proof_of_end(&self, daemon: &DaemonId, incarnation: Incarnation) -> Option<Millis> {
        self.record_run(daemon, incarnation);
        let proof = self.with_tracker(|tracker| tracker.proof_of_end(daemon, incarnation));
        if proof.is_none() {
            self.request_probes(daemon);
        }
        proof
    }

    /// Tells whether a daemon is suspected.
    pub fn is_suspect(&self, daemon: &DaemonId) -> bool {
        let now = self.clock.now();
        self.with_tracker(|tracker| tracker.is_suspect(daemon, now))
    }

    /// Tells whether a daemon reports that it is draining or is listed as leaving.
    pub fn is_draining(&self, daemon: &DaemonId) -> bool {
        self.with_tracker(|tracker| tracker.is_draining(daemon))
            || self.is_leaving(InstanceKind::Entry, daemon.as_str())
    }

    /// Records that a run of a daemon exists, so that later evidence can prove its end.
    pub fn record_run(&self, daemon: &DaemonId, incarnation: Incarnation) {
        let now = self.clock.now();
        self.with_tracker(|tracker| tracker.record_run(daemon, incarnation, now));
    }

    /// Makes this daemon probe another one for some seconds, because that daemon is being called or
    /// its end is in question.
    pub fn request_probes(&self, daemon: &DaemonId) {
        let now = self.clock.now();
        let mut requests = self
            .probe_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let known = requests.insert(daemon.clone(), now);
        if known.is_none_or(|time| now.saturating_sub(time) >= PROBE_REQUEST_LIFETIME) {
            self.probe_requested.notify_one();
        }
    }

    /// Waits until probes of a daemon are requested that is not being probed on request already.
    pub async fn new_probe_request(&self) {
        self.probe_requested.notified().await;
    }

    /// Returns the daemons of which probes were requested recently.
    pub fn daemons_to_probe(&self) -> Vec<DaemonId> {
        let now = self.clock.now();
        let mut requests = self
            .probe_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        requests.retain(|_, time| now.saturating_sub(*time) < PROBE_REQUEST_LIFETIME);
        requests.keys().cloned().collect()
    }

    /// Tells whether the list was read within `age` and contains no daemon other than `own`.
    pub fn is_alone(&self, own: &DaemonId, age: Millis) -> bool {
        let now = self.clock.now();
        let history = self
            .list_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let recent = history
            .read_at
            .is_some_and(|read| now.saturating_sub(read) < age);
        drop(history);
        recent
            && self
                .listed_daemons()
                .iter()
                .all(|member| member.daemon == *own)
    }

    /// Runs `action` on the evidence about other daemons.
    pub fn with_tracker<T>(&self, action: impl FnOnce(&mut SuspicionTracker) -> T) -> T {
        action(&mut self.tracker.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the list by one that was requested at `asked`, and records daemons that have been
    /// missing from it for longer than the list can lag behind.
    pub fn replace_entries(&self, entries: Vec<InstanceEntry>, asked: Millis) {
        let now = self.clock.now();
        self.digest.store(digest_of(&entries), Ordering::SeqCst);
        self.entries.send_replace(Arc::new(entries));
        let listed = self.listed_daemons();
        let mut history = self
            .list_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        history.read_at = Some(now);
        self.with_tracker(|tracker| {
            let missing: Vec<DaemonId> = tracker
                .runs_without_proof_of_end()
                .map(|(daemon, _)| daemon.clone())
                .filter(|daemon| listed.iter().all(|member| member.daemon != *daemon))
                .collect();
            history
                .absent_since
                .retain(|daemon, _| missing.contains(daemon));
            for daemon in missing {
                let since = *history.absent_since.entry(daemon.clone()).or_insert(now);
                if asked.saturating_sub(since) > MAX_LIST_LAG {
                    tracker.record_absence(&daemon, since, now);
                }
            }
            tracker.forget_old(now);
        });
    }

    /// Describes the members for the state dump.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let requested = self.daemons_to_probe();
        let listed = self.listed_daemons();
        let described = self.with_tracker(|tracker| {
            let lines = listed.iter().map(|member| {
                let answered = tracker.answered(&member.daemon);
                serde_json::json!({
                    "daemon": member.daemon,
                    "address": member.address,
                    "data_centre": member.data_centre,
                    "suspect": tracker.is_suspect(&member.daemon, now),
                    "draining": tracker.is_draining(&member.daemon),
                    "leaving": self.is_leaving(InstanceKind::Entry, member.daemon.as_str()),
                    "answered_ms_ago": answered.map(|sent| now.saturating_sub(sent)),
                })
            });
            lines.collect::<Vec<_>>()
        });
        let history = self
            .list_history
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        serde_json::json!({
            "daemons": described,
            "probed_besides_ring": requested,
            "list_read_ms_ago": history.read_at.map(|read| now.saturating_sub(read)),
        })
    }

    /// Returns the listed daemons, which are the instances of kind `Entry`, whose entries are
    /// wanted, sorted by name.
    fn daemons(&self, wanted: impl Fn(&InstanceEntry) -> bool) -> Vec<MemberEntry> {
        let entries = self.entries();
        let mut members: Vec<MemberEntry> = entries
            .iter()
            .filter(|entry| entry.kind == InstanceKind::Entry && wanted(entry))
            .filter_map(|entry| {
                let daemon = DaemonId::new(&entry.instance).ok()?;
                let (address, data_centre) = (entry.address, entry.data_centre.clone());
                Some(MemberEntry {
                    daemon,
                    address,
                    data_centre,
                })
            })
            .collect();
        members.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        members
    }
}

/// Reads the instance list until the daemon ends.
pub async fn follow_instances(context: Arc<DaemonContext>) {
    loop {
        let asked = context.clock.now();
        let delay = match context.instances.list().await {
            Ok(entries) => {
                let count = entries.len() as u64;
                context.metrics.gauge(names::INSTANCES_LISTED, count);
                context.members.replace_entries(entries, asked);
                list_interval(count)
            }
            Err(_) => {
                context.metrics.count(names::INSTANCES_READ_FAILED);
                LIST_RETRY_DELAY
            }
        };
        tokio::time::sleep(delay.min(LIST_INTERVAL)).await;
        let remaining = delay.saturating_sub(LIST_INTERVAL);
        tokio::time::timeout(remaining, context.members.list_changed.notified())
            .await
            .ok();
    }
}

/// Returns a digest of the list that does not depend on the order of its entries.
fn digest_of(entries: &[InstanceEntry]) -> u64 {
    let hashes = entries.iter().map(|entry| {
        let InstanceEntry {
            instance,
            kind,
            address,
            state,
            ..
        } = entry;
        stable_hash(format!("{instance} {kind:?} {address} {state:?}").as_bytes())
    });
    hashes.fold(0, u64::wrapping_add)
}

/// Returns the time until the next read of a list with `count` entries.
fn list_interval(count: u64) -> Duration {
    let interval = Duration::from_millis(count * ENTRY_BYTES * 1000 / LIST_BYTES_PER_SECOND);
    interval.clamp(LIST_INTERVAL, MAX_LIST_INTERVAL)
}
