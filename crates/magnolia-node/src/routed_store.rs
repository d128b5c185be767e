//! The store, reached directly or through another daemon.
//!
//! The store may turn one daemon away while it serves the others. A daemon that can't reach it asks
//! a peer to make the call, so that neither ownership nor the configuration is lost by that.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use magnolia_types::{LogOffset, Millis};
use tokio::time::sleep;

use crate::clock::NodeClock;
use crate::inner::{InnerCall, InnerReply, StoreCall};
use crate::peers::PeerClient;
use crate::ports::{
    AppendCondition, AppendOutcome, NewestPage, StoreError, StreamName, StreamRecord, StreamStore,
    TailPage,
};

/// Time for which a daemon that could not reach the store uses its peers first.
const DIRECT_PAUSE: Millis = Millis::new(2000);
/// Longest call by all paths together: a slow store takes some 400 ms, and a call that was sent before
/// the store came back is never answered.
const ROUTE_LIMIT: Duration = Duration::from_millis(700);
/// Further tries of an append by the direct path: as many as fit into the longest call.
const DIRECT_REPEATS: usize = 5;
/// Time without an answer, against the mean, after which another path is tried too.
const USUAL_FACTOR: f64 = 4.0;
/// Bounds of that time: several answer times of 5 ms on a slow instance, and what leaves the other path
/// time to answer.
const MIN_USUAL_TIME: Duration = Duration::from_millis(100);
const MAX_USUAL_TIME: Duration = Duration::from_millis(450);
/// Weight of one answer in the mean time: a slow store is known after three.
const MEAN_WEIGHT: f64 = 0.125;
/// Paths that a claim takes at once: the direct one, and peers of which one may be the lost owner.
const CLAIM_PATHS: usize = 3;
/// Peers asked for one call; a peer that can't reach the store itself says so at once.
const PEERS_ASKED: usize = 4;

/// A way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorePath {
    Direct,
    /// Through a peer.
    Relay(SocketAddr),
}

/// State of the direct path.
#[derive(Default)]
struct PathState {
    /// Mean time of an answer, in milliseconds.
    mean_ms: f64,
    /// Until when peers are asked first.
    avoid_until: Millis,
    /// When a call last had an outcome, by either path.
    reached_at: Millis,
    reachable: bool,
}

/// Store with a second path.
pub(crate) struct RoutedStore {
    direct: Arc<dyn StreamStore>,
    peers: PeerClient,
    clock: NodeClock,
    /// Daemons to ask, the most likely to answer first.
    relays: Mutex<Vec<SocketAddr>>,
    path: Mutex<PathState>,
}

impl RoutedStore {
    pub(crate) fn new(direct: Arc<dyn StreamStore>, peers: PeerClient, clock: NodeClock) -> Self {
        let path = PathState {
            reached_at: clock.now(),
            reachable: true,
            ..PathState::default()
        };
        Self {
            direct,
            peers,
            clock,
            relays: Mutex::default(),
            path: Mutex::new(path),
        }
    }

    /// Sets the daemons to ask.
    pub(crate) fn set_relays(&self, wanted: Vec<SocketAddr>) {
        let mut relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        // Peers that are known keep their order, which tells those that served before the others.
        relays.retain(|relay| wanted.contains(relay));
        let added = wanted.into_iter().filter(|relay| !relays.contains(relay));
        let added: Vec<SocketAddr> = added.collect();
        relays.extend(added);
    }

    /// Returns when a call last had an outcome.
    pub(crate) fn reached_at(&self) -> Millis {
        self.lock_path().reached_at
    }

    /// Asks a peer that failed last from now on.
    fn demote_relay(&self, relay: SocketAddr) {
        let mut relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(place) = relays.iter().position(|known| *known == relay) {
            let failed = relays.remove(place);
            relays.push(failed);
        }
    }

    fn lock_path(&self) -> std::sync::MutexGuard<'_, PathState> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note_reached(&self, by: StorePath, started: Millis, wait: Duration) {
        let took = self.clock.now().saturating_sub(started).get() as f64;
        let mut path = self.lock_path();
        // The answer proves contact when the call was sent, not when it arrives after a freeze.
        path.reached_at = path.reached_at.max(started);
        if by != StorePath::Direct {
            return;
        }
        // A call that waited for a record says nothing of the store's speed.
        if wait.is_zero() {
            let mean = path.mean_ms;
            path.mean_ms += (took - mean) * MEAN_WEIGHT;
        }
        path.avoid_until = Millis::new(0);
        if !path.reachable {
            path.reachable = true;
            drop(path);
            log::info!("store reached again");
        }
    }

    fn note_direct_failure(&self, reason: &str) {
        let now = self.clock.now();
        let mut path = self.lock_path();
        path.avoid_until = now.saturating_add(DIRECT_PAUSE);
        if path.reachable {
            path.reachable = false;
            drop(path);
            log::warn!(reason = reason; "store not reached directly; asking peers");
        }
    }

    /// Tells whether a call lately failed on the direct path.
    pub(crate) fn avoids_direct(&self) -> bool {
        self.clock.now() < self.lock_path().avoid_until
    }

    /// Returns the paths to try, the most likely to answer first. An append takes the direct path again
    /// and again: what was sent while the store was silent is never answered.
    fn paths(&self, call: &StoreCall) -> VecDeque<StorePath> {
        let relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        let relays = relays.iter().take(PEERS_ASKED).copied();
        let mut paths: VecDeque<StorePath> = relays.map(StorePath::Relay).collect();
        if !self.avoids_direct() || is_claim(call) {
            paths.push_front(StorePath::Direct);
        } else {
            paths.push_back(StorePath::Direct);
        }
        if matches!(call, StoreCall::Append { .. }) {
            paths.extend([StorePath::Direct; DIRECT_REPEATS]);
        }
        paths
    }

    /// Makes a call by the first path; the next one joins in when there is no answer in the usual time,
    /// and at once after a failure. The first answer counts: appends can be repeated safely.
    async fn route(&self, call: StoreCall) -> Result<InnerReply, StoreError> {
        let started = self.clock.now();
        let wait = call_wait(&call);
        let mut failure = None;
        let mut paths = self.paths(&call);
        let mut tries = FuturesUnordered::new();
        let mut direct_open = 0;
        // A claim ends the time without an owner, so that it does not wait for one path after the other.
        let mut at_once = if is_claim(&call) { CLAIM_PATHS } else { 1 };
        let deadline = sleep(ROUTE_LIMIT + wait);
        tokio::pin!(deadline);
        loop {
            for path in paths.drain(..at_once.min(paths.len())) {
                direct_open += usize::from(path == StorePath::Direct);
                tries.push(self.try_path(path, &call));
            }
            at_once = 1;
            if tries.is_empty() {
                break;
            }
            tokio::select! {
                biased;
                Some((path, result)) = tries.next() => {
                    direct_open -= usize::from(path == StorePath::Direct);
                    match result {
                        Ok(reply) => {
                            self.note_reached(path, started, wait);
                            if direct_open > 0 && path != StorePath::Direct {
                                self.note_direct_failure("no answer in the usual time");
                            }
                            return Ok(reply);
                        }
                        Err(error) => {
                            self.note_path_failure(path, &error);
                            if path == StorePath::Direct {
                                // It was turned away, or waited as long as a call may: another try would not differ.
                                paths.retain(|path| *path != StorePath::Direct);
                            }
                            failure = Some(error);
                        }
                    }
                }
                () = sleep(wait + self.usual_time()), if !paths.is_empty() => {}
                () = &mut deadline => break,
            }
        }
        if direct_open > 0 {
            self.note_direct_failure("no answer");
        }
        Err(failure.unwrap_or_else(|| StoreError::Lost("no answer by any path".into())))
    }

    async fn try_path(
        &self,
        path: StorePath,
        call: &StoreCall,
    ) -> (StorePath, Result<InnerReply, StoreError>) {
        let reply = match path {
            StorePath::Direct => Ok(run_store_call(&*self.direct, call).await),
            StorePath::Relay(relay) => {
                let limit = ROUTE_LIMIT + call_wait(call);
                let message = InnerCall::Store(call.clone());
                self.peers.call(relay, &message, limit, limit).await
            }
        };
        let result = match reply {
            Ok(reply) => match store_error(&reply) {
                Some(error) if is_path_failure(error) => Err(error.clone()),
                _ => Ok(reply),
            },
            Err(error) if error.is_not_sent() => {
                Err(StoreError::Unreachable(error.to_string().into()))
            }
            Err(error) => Err(StoreError::Lost(error.to_string().into())),
        };
        (path, result)
    }

    fn note_path_failure(&self, path: StorePath, error: &StoreError) {
        match path {
            StorePath::Direct => self.note_direct_failure(&error.to_string()),
            StorePath::Relay(relay) => self.demote_relay(relay),
        }
    }

    /// Returns the time after which a call without an answer is also made by another path.
    fn usual_time(&self) -> Duration {
        let mean = self.lock_path().mean_ms;
        Duration::from_secs_f64(mean * USUAL_FACTOR / 1000.0).clamp(MIN_USUAL_TIME, MAX_USUAL_TIME)
    }

    pub(crate) async fn append(
        &self,
        stream: StreamName,
        records: &[StreamRecord],
        condition: AppendCondition,
    ) -> Result<AppendOutcome, StoreError> {
        let call = StoreCall::Append {
            stream,
            records: records.to_vec(),
            condition,
        };
        match self.route(call).await? {
            InnerReply::Appended(result) => result,
            other => Err(unexpected(&other)),
        }
    }

    pub(crate) async fn read_newest(
        &self,
        stream: StreamName,
        after: Option<&str>,
    ) -> Result<NewestPage, StoreError> {
        let after = after.map(Into::into);
        match self.route(StoreCall::Newest { stream, after }).await? {
            InnerReply::Newest(result) => result,
            other => Err(unexpected(&other)),
        }
    }

    /// Reads all newest records, page by page; returns them with the end before the first page.
    pub(crate) async fn read_all(
        &self,
        stream: StreamName,
    ) -> Result<(Vec<StreamRecord>, LogOffset), StoreError> {
        let mut page = self.read_newest(stream, None).await?;
        let end = page.end;
        let mut records = std::mem::take(&mut page.records);
        while page.more {
            let after = records.last().map(|record| Arc::clone(&record.key));
            page = self.read_newest(stream, after.as_deref()).await?;
            if page.records.is_empty() {
                break;
            }
            records.append(&mut page.records);
        }
        Ok((records, end))
    }

    pub(crate) async fn read_tail(
        &self,
        stream: StreamName,
        from: LogOffset,
        wait: Millis,
    ) -> Result<TailPage, StoreError> {
        match self.route(StoreCall::Tail { stream, from, wait }).await? {
            InnerReply::Tail(result) => result,
            other => Err(unexpected(&other)),
        }
    }
}

/// Makes a call for a peer, unless this daemon can't reach the store either.
pub(crate) async fn relay_call(store: &RoutedStore, call: &StoreCall) -> InnerReply {
    if !store.avoids_direct() {
        return run_store_call(&*store.direct, call).await;
    }
    let error = StoreError::Unreachable("the peer does not reach the store either".into());
    match call {
        StoreCall::Append { .. } => InnerReply::Appended(Err(error)),
        StoreCall::Newest { .. } => InnerReply::Newest(Err(error)),
        StoreCall::Tail { .. } => InnerReply::Tail(Err(error)),
    }
}

/// Makes a call on a store.
async fn run_store_call(store: &dyn StreamStore, call: &StoreCall) -> InnerReply {
    match call {
        StoreCall::Append {
            stream,
            records,
            condition,
        } => InnerReply::Appended(store.append(*stream, records, *condition).await),
        StoreCall::Newest { stream, after } => {
            InnerReply::Newest(store.read_newest(*stream, after.as_deref()).await)
        }
        StoreCall::Tail { stream, from, wait } => {
            InnerReply::Tail(store.read_tail(*stream, *from, *wait).await)
        }
    }
}

fn store_error(reply: &InnerReply) -> Option<&StoreError> {
    match reply {
        InnerReply::Appended(Err(error))
        | InnerReply::Newest(Err(error))
        | InnerReply::Tail(Err(error)) => Some(error),
        _ => None,
    }
}

/// Tells whether the failure is one of the path, so that another path may do better.
fn is_path_failure(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Busy(_) | StoreError::Unreachable(_) | StoreError::Lost(_)
    )
}

/// Tells whether a call claims ownership.
fn is_claim(call: &StoreCall) -> bool {
    let StoreCall::Append { condition, .. } = call else {
        return false;
    };
    matches!(condition, AppendCondition::EndsAt(_))
}

/// Returns the time that a call waits on purpose.
fn call_wait(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Tail { wait, .. } => (*wait).into(),
        _ => Duration::ZERO,
    }
}

fn unexpected(reply: &InnerReply) -> StoreError {
    log::error!(reply:? = reply; "unexpected reply of a peer to a store call");
    StoreError::Malformed("unexpected reply of a peer".into())
}
