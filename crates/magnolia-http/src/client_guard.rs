//! Bounds on what all clients of a listener together can make a process hold: connections, and
//! memory for heads, bodies and calls under way.
//!
//! When a bound is reached, a connection without progress is closed, so that clients that stop in the
//! middle of a request make room for others. Without such a connection, the newcomer is refused.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::memory_budget::{MemoryBudget, MemoryShare};

/// Memory that a connection takes by itself, in bytes: its first read buffer and its state.
const CONNECTION_BYTES: u64 = 12 << 10;
/// Time without progress before which a connection is not closed to make room for another: several
/// round trips on the slowest link.
const MIN_STALL: Duration = Duration::from_secs(1);
/// Turns that the closed connection gets to give its memory back.
const RELEASE_TURNS: usize = 8;

/// Limits on the connections of a listener. Those that are open keep the limits that they began with.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Longest head of a request, in bytes; 431 above.
    pub max_head_bytes: usize,
    /// Time for a head to arrive, from its first byte.
    pub head_timeout: Duration,
    /// Time for which a connection may stay open without a request.
    pub idle_timeout: Duration,
    /// Time without a byte after which a body is given up: 408.
    pub body_stall_timeout: Duration,
    /// Time within which a body has to arrive: 408.
    pub body_timeout: Duration,
    /// Time for which a client may read nothing of an answer.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(10),
            body_stall_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum ConnectionPhase {
    /// A request.
    Idle,
    /// The rest of a head.
    Head,
    /// The rest of a body.
    Body,
    /// The answer of the handler.
    Serving,
}

/// Connections that are closed to make room for others, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// In the middle of a request or an answer, without progress.
    Stalled,
    /// Without a complete head so far. A flood of these must not keep others out, however fresh they
    /// are; a client that sends its head at once is served before its turn comes.
    Unproven,
    /// Waiting for a further request.
    Idle,
}

/// State of one connection.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    id: u64,
    phase: AtomicU8,
    /// Whether the client does not read what is written to it.
    pub(crate) write_blocked: AtomicBool,
    /// Whether a complete head has arrived.
    has_served: AtomicBool,
    progress: Mutex<Instant>,
    evicted: Notify,
}

impl ConnectionState {
    pub(crate) fn phase(&self) -> ConnectionPhase {
        let phase = self.phase.load(Ordering::Relaxed);
        let all = [
            ConnectionPhase::Idle,
            ConnectionPhase::Head,
            ConnectionPhase::Body,
        ];
        all.into_iter()
            .find(|known| *known as u8 == phase)
            .unwrap_or(ConnectionPhase::Serving)
    }

    /// Sets the phase, which counts as progress.
    pub(crate) fn set_phase(&self, phase: ConnectionPhase) {
        self.phase.store(phase as u8, Ordering::Relaxed);
        if phase == ConnectionPhase::Serving {
            self.has_served.store(true, Ordering::Relaxed);
        }
        self.record_progress();
    }

    pub(crate) fn record_progress(&self) {
        *self.progress.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    /// Waits until the connection has to be closed to make room for another.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
    }

    /// Returns how readily the connection is closed, lowest first; none if it has to stay.
    fn eviction_order(&self, now: Instant) -> Option<(EvictionClass, Instant)> {
        let phase = self.phase();
        let blocked = self.write_blocked.load(Ordering::Relaxed);
        let progress = *self.progress.lock().unwrap_or_else(PoisonError::into_inner);
        let stalled = now.saturating_duration_since(progress) >= MIN_STALL;
        let in_request = matches!(phase, ConnectionPhase::Head | ConnectionPhase::Body) || blocked;
        let class = match phase {
            ConnectionPhase::Serving => return None,
            _ if in_request && stalled => EvictionClass::Stalled,
            ConnectionPhase::Body => return None,
            _ if !self.has_served.load(Ordering::Relaxed) => EvictionClass::Unproven,
            _ if stalled => EvictionClass::Idle,
            _ => return None,
        };
        Some((class, progress))
    }
}

/// Numbers of clients that were refused or given up, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuardCounts {
    /// Connections closed at once, because there was room for no more.
    pub refused_connections: u64,
    /// Connections without progress that were closed to make room.
    pub evicted_connections: u64,
    /// Requests refused because there was no memory for their body or call.
    pub refused_requests: u64,
    /// Heads and bodies that did not arrive in time, and answers that were not read.
    pub timeouts: u64,
}

impl GuardCounts {
    /// Returns the sum of all counts.
    pub fn total(&self) -> u64 {
        let sums = [
            self.evicted_connections,
            self.refused_requests,
            self.timeouts,
        ];
        sums.into_iter()
            .fold(self.refused_connections, u64::saturating_add)
    }
}

/// Bounds on what all clients of one or more listeners can make a process hold.
#[derive(Debug)]
pub struct ClientGuard {
    memory: Arc<MemoryBudget>,
    max_connections: usize,
    connections: Mutex<HashMap<u64, Arc<ConnectionState>>>,
    next_id: AtomicU64,
    refused_connections: AtomicU64,
    evicted_connections: AtomicU64,
    refused_requests: AtomicU64,
    timeouts: AtomicU64,
}

impl ClientGuard {
    /// Memory for clients where the memory of the machine is not known, in bytes.
    pub const DEFAULT_MEMORY_BYTES: u64 = 64 << 20;
    /// Connections where the descriptors of the machine are not known.
    pub const DEFAULT_CONNECTIONS: usize = 4096;

    /// Creates a guard with a bound on memory, in bytes, and on connections.
    pub fn new(memory_bytes: u64, max_connections: usize) -> Arc<Self> {
        Arc::new(Self {
            memory: MemoryBudget::new(memory_bytes),
            max_connections,
            connections: Mutex::default(),
            next_id: AtomicU64::new(0),
            refused_connections: AtomicU64::new(0),
            evicted_connections: AtomicU64::new(0),
            refused_requests: AtomicU64::new(0),
            timeouts: AtomicU64::new(0),
        })
    }

    /// Returns how many clients were refused or given up so far.
    pub fn counts(&self) -> GuardCounts {
        let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
        GuardCounts {
            refused_connections: load(&self.refused_connections),
            evicted_connections: load(&self.evicted_connections),
            refused_requests: load(&self.refused_requests),
            timeouts: load(&self.timeouts),
        }
    }

    /// Returns the memory that clients hold, in bytes.
    pub fn memory_used(&self) -> u64 {
        self.memory.used()
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<ConnectionState>>> {
        self.connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Admits a new connection, closing another one if there is no room; none if the new one has to
    /// be closed.
    pub(crate) async fn admit(self: &Arc<Self>) -> Option<ClientHandle> {
        let mut share = self.memory.empty_share();
        for _ in 0..=RELEASE_TURNS {
            let has_slot = self.lock().len() < self.max_connections;
            if has_slot && share.grow(CONNECTION_BYTES, true) {
                return Some(self.register(share));
            }
            if !self.evict_slowest() {
                break;
            }
            tokio::task::yield_now().await;
        }
        self.refused_connections.fetch_add(1, Ordering::Relaxed);
        None
    }

    fn register(self: &Arc<Self>, share: MemoryShare) -> ClientHandle {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState {
            id,
            phase: AtomicU8::new(ConnectionPhase::Idle as u8),
            write_blocked: AtomicBool::new(false),
            has_served: AtomicBool::new(false),
            progress: Mutex::new(Instant::now()),
            evicted: Notify::new(),
        });
        self.lock().insert(id, Arc::clone(&state));
        ClientHandle {
            slot: Arc::new(ConnectionSlot {
                guard: Arc::clone(self),
                state,
                share: Mutex::new(share),
            }),
        }
    }

    /// Closes the connection that has made no progress for longest; returns whether there is one.
    fn evict_slowest(&self) -> bool {
        let now = Instant::now();
        let mut connections = self.lock();
        let slowest = connections
            .values()
            .filter_map(|state| Some((state.eviction_order(now)?, state.id)))
            .min();
        let Some((_, id)) = slowest else {
            return false;
        };
        // Its slot and memory are free once its task has run.
        if let Some(state) = connections.remove(&id) {
            state.evicted.notify_one();
            self.evicted_connections.fetch_add(1, Ordering::Relaxed);
        }
        true
    }

    pub(crate) fn count_timeout(&self) {
        self.timeouts.fetch_add(1, Ordering::Relaxed);
    }

    fn count_refused_request(&self) {
        self.refused_requests.fetch_add(1, Ordering::Relaxed);
    }
}

/// Slot and memory of one connection.
#[derive(Debug)]
struct ConnectionSlot {
    guard: Arc<ClientGuard>,
    state: Arc<ConnectionState>,
    share: Mutex<MemoryShare>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.guard.lock().remove(&self.state.id);
    }
}

/// The connection of a client, as its requests carry it in their extensions.
#[derive(Clone, Debug)]
pub struct ClientHandle {
    slot: Arc<ConnectionSlot>,
}

impl ClientHandle {
    pub(crate) fn state(&self) -> &Arc<ConnectionState> {
        &self.slot.state
    }

    pub(crate) fn guard(&self) -> &Arc<ClientGuard> {
        &self.slot.guard
    }

    /// Takes memory for the read buffer of the connection, which it keeps; returns whether there is
    /// enough. A short call needs no such buffer.
    pub(crate) fn take_buffer(&self, bytes: u64) -> bool {
        let mut share = self
            .slot
            .share
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let taken = share.grow(bytes, false);
        if !taken {
            self.guard().count_refused_request();
        }
        taken
    }

    /// Returns an empty share for a request of the connection.
    pub(crate) fn empty_share(&self) -> MemoryShare {
        self.guard().memory.empty_share()
    }

    /// Takes further memory for a request, closing other connections without progress if there is
    /// not enough; returns whether there is now.
    pub(crate) async fn take(&self, share: &mut MemoryShare, bytes: u64, short: bool) -> bool {
        for _ in 0..=RELEASE_TURNS {
            if share.grow(bytes, short) {
                return true;
            }
            if !self.guard().evict_slowest() {
                break;
            }
            tokio::task::yield_now().await;
        }
        self.guard().count_refused_request();
        false
    }
}
