//! State that all parts of the daemon share.

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

/// Lifecycle phase of the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LifecyclePhase {
    /// The daemon has no configuration yet.
    Starting,
    /// The daemon accepts work.
    Ready,
    /// The daemon is stopping: it fails its readiness check and hands its units over. It refuses
    /// new work after the grace period and the handover.
    Draining,
}

/// Shared state of the daemon.
pub struct DaemonContext {
    /// Settings.
    pub settings: DaemonSettings,
    /// Identity of this daemon.
    pub identity: DaemonIdentity,
    /// Monotonic clock.
    pub clock: DaemonClock,
    /// Recorder of the metrics.
    pub metrics: Arc<MetricRecorder>,
    /// Client of the platform's log.
    pub log: Arc<dyn LogService>,
    /// Client of the platform's instance list.
    pub instances: Arc<dyn InstanceList>,
    /// Client of the workers.
    pub workers: Arc<dyn WorkerClient>,
    /// Client of the executors.
    pub executors: Arc<dyn ExecutorClient>,
    /// HTTP client for the platform, workers and other daemons.
    pub http: HttpClient,
    /// Client of the other daemons.
    pub peers: PeerLink,
    /// Configuration in force.
    pub config: watch::Sender<Arc<CellConfig>>,
    /// State of the configuration feed.
    pub config_feed: ConfigFeed,
    /// The claims of all units (partitions and executor groups), as far as known.
    pub claims: KnownClaims,
    /// The instance list and the evidence about other daemons.
    pub members: MemberList,
    /// Partitions that this daemon owns.
    pub partitions: PartitionRegistry,
    /// State of this daemon as an entry for quick requests.
    pub entry: EntryState,
    /// Executor groups that this daemon owns.
    pub groups: GroupRegistry,
    /// Detects pauses of this process.
    pub pause: Arc<PauseGuard>,
    /// Lifecycle phase.
    pub phase: watch::Sender<LifecyclePhase>,
    /// Whether new work is refused because the daemon is stopping; becomes `true` after the
    /// grace period and the handover of the units.
    pub closing: watch::Sender<bool>,
}

impl DaemonContext {
    /// Creates the context, with HTTP clients for the platform, workers and executors.
    ///
    /// # Errors
    ///
    /// Fails when the metrics socket cannot be opened.
    pub fn new(settings: DaemonSettings) -> std::io::Result<Self> {
        let client = HttpClient::new(PoolSettings::new());
        let clock = DaemonClock::new();
        let pause = Arc::new(PauseGuard::new());
        let pause_guard = Arc::clone(&pause);
        // Executors do not check fencing tokens, so nothing may be sent to them after a pause until
        // the claims are confirmed.
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

    /// Tells whether new work is refused because the daemon is stopping.
    pub fn is_closing(&self) -> bool {
        *self.closing.borrow()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Arc<CellConfig> {
        Arc::clone(&self.config.borrow())
    }

    /// Runs `read` on the configuration document in force, if there is one.
    pub fn with_document<T>(&self, read: impl FnOnce(&ConfigDocument) -> T) -> Option<T> {
        self.config().document.as_ref().map(read)
    }
}
