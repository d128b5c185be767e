//! What all parts of the daemon share.

use std::sync::Arc;

use magnolia_backing::{
    ExecutorClient, HttpExecutorClient, HttpInstanceList, HttpLogService, HttpWorkerClient,
    InstanceList, LogService, WorkerClient,
};
use magnolia_config::{CellConfig, ConfigDocument};
use magnolia_http::{HttpClient, PoolSettings, WriteGuard};
use magnolia_types::Incarnation;
use tokio::sync::watch;

use crate::clock::DaemonClock;
use crate::config_feed::ConfigFeed;
use crate::identity::DaemonIdentity;
use crate::membership::MemberList;
use crate::metrics::MetricRecorder;
use crate::ownership::{KnownClaims, PauseGuard};
use crate::partition::PartitionRegistry;
use crate::peers::PeerLink;
use crate::quick::{EntryState, GroupRegistry};
use crate::settings::DaemonSettings;

/// Where the daemon is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LifecyclePhase {
    /// No configuration yet.
    Starting,
    /// Takes work.
    Ready,
    /// Finishes what is in flight and takes nothing new.
    Draining,
}

/// Shared parts of the daemon.
pub struct DaemonContext {
    /// Settings.
    pub settings: DaemonSettings,
    /// Who this daemon is.
    pub identity: DaemonIdentity,
    /// Monotonic clock.
    pub clock: DaemonClock,
    /// Metrics.
    pub metrics: Arc<MetricRecorder>,
    /// The platform's log.
    pub log: Arc<dyn LogService>,
    /// The platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Workers.
    pub workers: Arc<dyn WorkerClient>,
    /// Executors.
    pub executors: Arc<dyn ExecutorClient>,
    /// Connections to all peers.
    pub http: HttpClient,
    /// Calls to other daemons.
    pub peers: PeerLink,
    /// Configuration in force.
    pub config: watch::Sender<Arc<CellConfig>>,
    /// How the configuration came here.
    pub config_feed: ConfigFeed,
    /// Known claims.
    pub claims: KnownClaims,
    /// Live daemons.
    pub members: MemberList,
    /// Partitions that this daemon owns.
    pub partitions: PartitionRegistry,
    /// What this daemon as an entry knows of the executor groups.
    pub entry: EntryState,
    /// Executor groups that this daemon owns.
    pub groups: GroupRegistry,
    /// Notices pauses of this process.
    pub pause: Arc<PauseGuard>,
    /// Phase of life.
    pub phase: watch::Sender<LifecyclePhase>,
    /// Whether new work is refused, which begins some time after the start of draining.
    pub closing: watch::Sender<bool>,
}

impl DaemonContext {
    /// Creates the context with HTTP clients of the platform.
    ///
    /// # Errors
    ///
    /// Fails when the metrics socket cannot be opened.
    pub fn new(settings: DaemonSettings) -> std::io::Result<Self> {
        let client = HttpClient::new(PoolSettings::new());
        let clock = DaemonClock::new();
        let pause = Arc::new(PauseGuard::new());
        let pause_guard = Arc::clone(&pause);
        // Executors have no fence, so nothing may reach them after an unnoticed pause.
        let guard = WriteGuard::new(move || pause_guard.has_recent_heartbeat(clock.now()));
        let executor_client = HttpClient::new(PoolSettings::new().with_write_guard(guard));
        let identity = DaemonIdentity {
            daemon: settings.daemon.clone(),
            incarnation: Incarnation::new(rand::random()),
            data_centre: settings.data_centre.clone(),
            address: settings.inner_advertise,
        };
        Ok(Self {
            metrics: Arc::new(MetricRecorder::new(settings.statsd)?),
            log: Arc::new(HttpLogService::new(client.clone(), settings.log)),
            instances: Arc::new(HttpInstanceList::new(client.clone(), settings.instances)),
            workers: Arc::new(HttpWorkerClient::new(client.clone())),
            executors: Arc::new(HttpExecutorClient::new(executor_client)),
            peers: PeerLink::new(client.clone()),
            http: client,
            config: watch::Sender::new(Arc::new(CellConfig::new())),
            config_feed: ConfigFeed::new(),
            claims: KnownClaims::new(),
            members: MemberList::new(clock),
            partitions: PartitionRegistry::new(),
            entry: EntryState::new(),
            groups: GroupRegistry::new(clock),
            pause,
            closing: watch::Sender::new(false),
            phase: watch::Sender::new(LifecyclePhase::Starting),
            clock,
            identity,
            settings,
        })
    }

    /// Tells whether new work is refused because the daemon stops.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<CellConfig> {
        Arc::clone(&self.config.borrow())
    }

    /// Runs `read` on the inventory and rules in force, if there are any.
    pub fn with_document<T>(&self, read: impl FnOnce(&ConfigDocument) -> T) -> Option<T> {
        self.config().document.as_ref().map(read)
    }
}
