//! Calls to the store, directly or through another daemon.
//!
//! The store may reject the calls of one daemon while it serves the others. A daemon that can't
//! reach the store asks a peer to relay the call, so that it keeps its ownership and still reads
//! new configurations.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use magnolia_http::CallLimits;
use magnolia_types::{LogOffset, Millis};
use tokio::time::sleep;

use crate::clock::NodeClock;
use crate::newest_reader::NewestReader;
use crate::peer_messages::{PeerReply, PeerRequest, StoreCall};
use crate::peers::PeerClient;
use crate::ports::{
    AppendCondition, AppendOutcome, NewestPage, StoreError, StreamName, StreamRecord, StreamStore,
    TailPage,
};
use crate::transfer::{append_bytes, link_time, page_transfer_time, transfer_time};

/// Time after a failed direct call during which relays are tried first.
const DIRECT_BACKOFF: Millis = Millis::new(2000);
/// Timeout of a call over all paths, without the time that its data takes. A slow store answers after
/// some 400 ms, and a call that was sent during an outage is never answered.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(700);
/// Further tries of an append by the direct path: as many as fit into the timeout.
const DIRECT_REPEATS: usize = 5;
/// Time without an answer after which a call is also made by the next path, as a multiple of the
/// mean response time of the store.
const HEDGE_FACTOR: f64 = 4.0;
/// Bounds of that time. The lower one is several response times of 5 ms on a slow instance; the
/// upper one leaves the next path time to answer.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(100);
const MAX_HEDGE_DELAY: Duration = Duration::from_millis(450);
/// Weight of one answer in the mean response time: three answers show that the store is slow.
const MEAN_SAMPLE_WEIGHT: f64 = 0.125;
/// Paths that a claim takes in parallel: the direct one and two peers, as one peer may be the
/// failed owner.
const CLAIM_PARALLEL_PATHS: usize = 3;
/// Longest wait for the first byte of a page from a peer, which reads the whole page before.
const RELAYED_PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit of the peers asked for one call. A peer that can't reach the store either answers so at
/// once.
const MAX_RELAYS: usize = 4;

/// A path to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StorePath {
    /// A call from this daemon.
    Direct,
    /// A call through a peer.
    Relay(SocketAddr),
}

/// State of the direct path.
#[derive(Default)]
struct PathState {
    /// Moving average of the response time, in milliseconds.
    mean_ms: f64,
    /// Time until which relays are tried before the direct path.
    prefer_relays_until: Millis,
    /// Start of the latest call that was answered, by any path.
    last_success_at: Millis,
    /// False after a failed direct call, until one succeeds.
    reachable: bool,
}

/// Client of the store that tries several paths.
pub(crate) struct RoutedStore {
    direct: Arc<dyn StreamStore>,
    peers: PeerClient,
    clock: NodeClock,
    /// Peers that can relay calls, the most likely to answer first.
    relays: Mutex<Vec<SocketAddr>>,
    path: Mutex<PathState>,
}

impl RoutedStore {
    pub(crate) fn new(direct: Arc<dyn StreamStore>, peers: PeerClient, clock: NodeClock) -> Self {
        let path = PathState {
            last_success_at: clock.now(),
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

    /// Sets the peers that can relay calls.
    pub(crate) fn set_relays(&self, addresses: Vec<SocketAddr>) {
        let mut relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        // Known peers keep their order, in which those that failed are last.
        relays.retain(|relay| addresses.contains(relay));
        let added = addresses
            .into_iter()
            .filter(|relay| !relays.contains(relay));
        let added: Vec<SocketAddr> = added.collect();
        relays.extend(added);
    }

    /// Returns the start of the latest call that was answered.
    pub(crate) fn last_success_at(&self) -> Millis {
        self.lock_path().last_success_at
    }

    /// Moves a peer that failed to the end of the list.
    fn demote_relay(&self, relay: SocketAddr) {
        let mut relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(index) = relays.iter().position(|known| *known == relay) {
            let failed = relays.remove(index);
            relays.push(failed);
        }
    }

    fn lock_path(&self) -> std::sync::MutexGuard<'_, PathState> {
        self.path.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records an answer by a path; `wait` is how long the store could wait before it answered.
    fn record_success(&self, by: StorePath, started: Millis, wait: Duration) {
        let took = self.clock.now().saturating_sub(started).get() as f64;
        let mut path = self.lock_path();
        // The answer proves contact at the start of the call; it may be read much later if the
        // process was paused.
        path.last_success_at = path.last_success_at.max(started);
        if by != StorePath::Direct {
            return;
        }
        // The time of a call that waited for a record does not show the store's response time.
        if wait.is_zero() {
            let mean = path.mean_ms;
            path.mean_ms += (took - mean) * MEAN_SAMPLE_WEIGHT;
        }
        path.prefer_relays_until = Millis::new(0);
        if !path.reachable {
            path.reachable = true;
            drop(path);
            log::info!("store reachable again");
        }
    }

    /// Records that a direct call failed; relays are tried first for a while.
    fn record_direct_failure(&self, reason: &str) {
        let now = self.clock.now();
        let mut path = self.lock_path();
        path.prefer_relays_until = now.saturating_add(DIRECT_BACKOFF);
        if path.reachable {
            path.reachable = false;
            drop(path);
            log::warn!(reason = reason; "store not reachable directly; asking peers");
        }
    }

    /// Tells whether a direct call failed recently, so that relays are tried first.
    pub(crate) fn prefers_relays(&self) -> bool {
        self.clock.now() < self.lock_path().prefer_relays_until
    }

    /// Returns the paths to try, the most likely to answer first. An append repeats the direct
    /// path, because a call that was sent during an outage is never answered.
    fn paths(&self, call: &StoreCall) -> VecDeque<StorePath> {
        let relays = self.relays.lock().unwrap_or_else(PoisonError::into_inner);
        let relays = relays.iter().take(MAX_RELAYS).copied();
        let mut paths: VecDeque<StorePath> = relays.map(StorePath::Relay).collect();
        if !self.prefers_relays() || is_claim(call) {
            paths.push_front(StorePath::Direct);
        } else {
            paths.push_back(StorePath::Direct);
        }
        if matches!(call, StoreCall::Append { .. }) {
            paths.extend([StorePath::Direct; DIRECT_REPEATS]);
        }
        paths
    }

    /// Makes a call by the first path. The next path is tried in addition after `hedge_delay`
    /// without an answer, and at once after a failure. The first answer is returned. It is safe to
    /// send an append by several paths: the store applies a conditional append only once, and a
    /// registration may be repeated.
    async fn route(&self, call: StoreCall) -> Result<PeerReply, StoreError> {
        let started = self.clock.now();
        let wait = call_wait(&call);
        let mut failure = None;
        let mut paths = self.paths(&call);
        let mut tries = FuturesUnordered::new();
        let mut direct_pending = 0;
        // The cell has no owner until the claim is stored, so a claim does not try the paths one
        // after the other.
        let mut parallel = if is_claim(&call) {
            CLAIM_PARALLEL_PATHS
        } else {
            1
        };
        let limits = RouteLimits::of(&call);
        let hedge_delay = self.hedge_delay() + limits.sending;
        let deadline = sleep(limits.timeout);
        let last_byte = sleep(limits.timeout + limits.receiving);
        tokio::pin!(deadline, last_byte);
        let mut is_over = false;
        loop {
            if is_over {
                // A direct call ends by itself after a time without a byte, so that one that is still
                // pending receives its answer.
                if direct_pending == 0 {
                    break;
                }
                paths.clear();
            }
            for path in paths.drain(..parallel.min(paths.len())) {
                direct_pending += usize::from(path == StorePath::Direct);
                tries.push(self.try_path(path, &call));
            }
            parallel = 1;
            if tries.is_empty() {
                break;
            }
            tokio::select! {
                biased;
                Some((path, result)) = tries.next() => {
                    direct_pending -= usize::from(path == StorePath::Direct);
                    match result {
                        Ok(reply) => {
                            self.record_success(path, started, wait);
                            if direct_pending > 0 && path != StorePath::Direct {
                                self.record_direct_failure("no answer before a relay answered");
                            }
                            return Ok(reply);
                        }
                        Err(error) => {
                            self.record_path_failure(path, &error);
                            if path == StorePath::Direct {
                                // The store rejected the call or could not be reached, or the call
                                // timed out: another direct try would have the same result.
                                paths.retain(|path| *path != StorePath::Direct);
                            }
                            failure = Some(error);
                        }
                    }
                }
                () = sleep(wait + hedge_delay), if limits.hedges && !paths.is_empty() => {}
                () = &mut deadline, if !is_over => is_over = true,
                () = &mut last_byte => break,
            }
        }
        if direct_pending > 0 {
            self.record_direct_failure("no answer");
        }
        Err(failure.unwrap_or_else(|| StoreError::Lost("no answer by any path".into())))
    }

    /// Makes a call by one path. Failures that another path may avoid are returned as errors.
    async fn try_path(
        &self,
        path: StorePath,
        call: &StoreCall,
    ) -> (StorePath, Result<PeerReply, StoreError>) {
        let reply = match path {
            StorePath::Direct => Ok(run_store_call(&*self.direct, call).await),
            StorePath::Relay(relay) => {
                let limits = RouteLimits::of(call).of_relay();
                let message = PeerRequest::Store(call.clone());
                self.peers.call_within(relay, &message, limits).await
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

    /// Records that a call by a path failed, so that other paths are preferred.
    fn record_path_failure(&self, path: StorePath, error: &StoreError) {
        match path {
            StorePath::Direct => self.record_direct_failure(&error.to_string()),
            StorePath::Relay(relay) => self.demote_relay(relay),
        }
    }

    /// Returns the time without an answer after which a call is also made by the next path.
    fn hedge_delay(&self) -> Duration {
        let mean = self.lock_path().mean_ms;
        Duration::from_secs_f64(mean * HEDGE_FACTOR / 1000.0)
            .clamp(MIN_HEDGE_DELAY, MAX_HEDGE_DELAY)
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
            PeerReply::Appended(result) => result,
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
            PeerReply::Newest(result) => result,
            other => Err(unexpected(&other)),
        }
    }

    /// Reads the newest records of all keys. Returns them with the end of the stream as of the first
    /// page.
    pub(crate) async fn read_all(
        &self,
        stream: StreamName,
    ) -> Result<(Vec<StreamRecord>, LogOffset), StoreError> {
        let mut reader = NewestReader::new(stream);
        reader.read(self).await?;
        Ok(reader.finish())
    }

    pub(crate) async fn read_tail(
        &self,
        stream: StreamName,
        from: LogOffset,
        wait: Millis,
    ) -> Result<TailPage, StoreError> {
        match self.route(StoreCall::Tail { stream, from, wait }).await? {
            PeerReply::Tail(result) => result,
            other => Err(unexpected(&other)),
        }
    }
}

/// Makes a call for a peer, unless this daemon's direct calls failed recently as well.
pub(crate) async fn relay_call(store: &RoutedStore, call: &StoreCall) -> PeerReply {
    if !store.prefers_relays() {
        return run_store_call(&*store.direct, call).await;
    }
    let error = StoreError::Unreachable("the peer does not reach the store either".into());
    match call {
        StoreCall::Append { .. } => PeerReply::Appended(Err(error)),
        StoreCall::Newest { .. } => PeerReply::Newest(Err(error)),
        StoreCall::Tail { .. } => PeerReply::Tail(Err(error)),
    }
}

/// Makes a call to the store and wraps its result as a reply.
async fn run_store_call(store: &dyn StreamStore, call: &StoreCall) -> PeerReply {
    match call {
        StoreCall::Append {
            stream,
            records,
            condition,
        } => PeerReply::Appended(store.append(*stream, records, *condition).await),
        StoreCall::Newest { stream, after } => {
            PeerReply::Newest(store.read_newest(*stream, after.as_deref()).await)
        }
        StoreCall::Tail { stream, from, wait } => {
            PeerReply::Tail(store.read_tail(*stream, *from, *wait).await)
        }
    }
}

/// Returns the error of the store that a reply carries.
fn store_error(reply: &PeerReply) -> Option<&StoreError> {
    match reply {
        PeerReply::Appended(Err(error))
        | PeerReply::Newest(Err(error))
        | PeerReply::Tail(Err(error)) => Some(error),
        _ => None,
    }
}

/// Tells whether the call may succeed by another path.
fn is_path_failure(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Busy(_) | StoreError::Unreachable(_) | StoreError::Lost(_)
    )
}

/// Time limits of a call over all paths.
#[derive(Clone, Copy, Debug)]
struct RouteLimits {
    /// Time within which the answer has to begin to arrive: for the store's answer, for the wait that
    /// the call asks for, and for sending its data.
    timeout: Duration,
    /// Time that the data of the call takes on the link of this daemon, if nothing else does.
    sending: Duration,
    /// Longest time that the answer takes from its first byte.
    receiving: Duration,
    /// Whether other paths are tried before the first one has failed.
    hedges: bool,
}

impl RouteLimits {
    fn of(call: &StoreCall) -> Self {
        let timeout = ROUTE_TIMEOUT + call_wait(call);
        match call {
            StoreCall::Append { records, .. } => {
                let bytes = append_bytes(records);
                Self {
                    timeout: timeout + transfer_time(bytes),
                    sending: link_time(bytes),
                    receiving: Duration::ZERO,
                    hedges: true,
                }
            }
            // Every path that is tried would send the page over the link of this daemon.
            StoreCall::Newest { .. } => Self {
                timeout: timeout + page_transfer_time(),
                sending: Duration::ZERO,
                receiving: Duration::ZERO,
                hedges: false,
            },
            StoreCall::Tail { .. } => Self {
                timeout,
                sending: Duration::ZERO,
                receiving: page_transfer_time(),
                hedges: true,
            },
        }
    }

    /// Returns the limits of a call through a peer.
    fn of_relay(&self) -> CallLimits {
        if self.hedges {
            return CallLimits {
                silence: self.timeout,
                ..CallLimits::from(self.timeout)
            };
        }
        let limits = CallLimits {
            silence: RELAYED_PAGE_TIMEOUT,
            ..CallLimits::from(self.timeout)
        };
        limits.with_stall(ROUTE_TIMEOUT)
    }
}

/// Tells whether a call claims ownership.
fn is_claim(call: &StoreCall) -> bool {
    let StoreCall::Append { condition, .. } = call else {
        return false;
    };
    matches!(condition, AppendCondition::EndsAt(_))
}

/// Returns the time for which the store may wait before it answers.
fn call_wait(call: &StoreCall) -> Duration {
    match call {
        StoreCall::Tail { wait, .. } => (*wait).into(),
        _ => Duration::ZERO,
    }
}

fn unexpected(reply: &PeerReply) -> StoreError {
    log::error!(reply:? = reply; "unexpected reply from a peer to a store call");
    StoreError::Malformed("unexpected reply of a peer".into())
}
