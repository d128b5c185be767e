//! Test cell: daemons in this process that share an in-memory log and in-memory workers.
#![allow(dead_code, missing_docs)]

pub mod fleet;
pub mod gate;
pub mod log;

use std::collections::BTreeSet;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use magnolia_backing::{InstanceEntry, InstanceKind, InstanceState};
use magnolia_config::{CellConfig, ConfigDocument};
use magnolia_daemon::partition::{run_local, start_owner};
use magnolia_daemon::{DaemonContext, DaemonSettings, InnerHandler, LifecyclePhase, MemberEntry};
use magnolia_protocol::{JobOperation, JobReply, JobView, encode};
use magnolia_state::{ClaimChange, ClaimRecord};
use magnolia_types::{
    Epoch, JobId, JobKind, JobSpec, JobState, Millis, ResourceVector, ResultCode, UnitId,
};

use tokio::net::TcpListener;

use fleet::{FakeFleet, GatedFleet};
use gate::PauseGate;
use log::{FakeLog, GatedLog};

/// Maximum time that a test waits for a condition. It only bounds the duration of a failing test.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Duration of a lease in the tests.
pub const LEASE_MS: u64 = 1000;
/// Partition of all tests.
pub const PARTITION: &str = "p0";
/// Stream of the journal of [`PARTITION`].
pub const JOURNAL: &str = "partition-p0";

/// The log, the workers and the inventory that all daemons of a test share.
pub struct TestCell {
    pub log: Arc<FakeLog>,
    pub fleet: Arc<FakeFleet>,
    pub document: ConfigDocument,
    pub append_delay: Duration,
}

/// One daemon of a test.
pub struct TestDaemon {
    pub context: Arc<DaemonContext>,
    /// Pauses all calls of the daemon.
    pub gate: PauseGate,
    /// Pauses only its calls of the log.
    pub log_gate: PauseGate,
    /// Workers that the daemon cannot reach.
    pub unreachable: Arc<Mutex<BTreeSet<SocketAddr>>>,
}

pub fn worker_address(index: usize) -> SocketAddr {
    SocketAddr::from((
        [127, 0, 0, 1],
        10_000 + u16::try_from(index).expect("a small index"),
    ))
}

/// Creates an inventory with `workers` workers of 8 processors, 4 in each rack.
pub fn document(workers: usize) -> ConfigDocument {
    let mut text = format!(
        "[cell]\nname = \"test\"\n[rules]\nlease_ms = {LEASE_MS}\nstart_window_ms = 400\n\
         headroom_percent = 0\n[[data_centre]]\nname = \"dc0\"\n[[customer]]\nname = \"guild\"\n\
         [[class]]\nname = \"batch\"\nrank = 1\n[[class]]\nname = \"service\"\nrank = 2\n"
    );
    for index in 0..workers {
        if index % 4 == 0 {
            text += &format!(
                "[[rack]]\nname = \"r{}\"\ndata_centre = \"dc0\"\n\
                 capacity = {{ cpu_millis = 8000, memory_mib = 8000 }}\n",
                index / 4
            );
        }
        text += &format!(
            "[[rack.workers]]\nname = \"w{index:03}\"\naddress = \"{}\"\n",
            worker_address(index)
        );
    }
    ConfigDocument::from_toml(&text).expect("a document")
}

impl TestCell {
    pub fn new(workers: usize) -> Self {
        let cell = Self {
            log: Arc::default(),
            fleet: Arc::new(FakeFleet::new()),
            document: document(workers),
            append_delay: Duration::from_millis(2),
        };
        cell.document
            .workers_of(PARTITION)
            .for_each(|(_, worker, capacity)| {
                cell.fleet.add(worker.address, &worker.name, capacity)
            });
        cell
    }

    /// Creates a daemon that other daemons cannot reach.
    pub fn daemon(&self, name: &str) -> TestDaemon {
        self.daemon_at(name, SocketAddr::from(([127, 0, 0, 1], 9)))
    }

    /// Creates a daemon that serves calls of other daemons.
    pub async fn reachable_daemon(&self, name: &str) -> (TestDaemon, MemberEntry) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let daemon = self.daemon_at(name, address);
        let context = &daemon.context;
        context.phase.send_replace(LifecyclePhase::Ready);
        let handler = Arc::new(InnerHandler::new(Arc::clone(context)));
        let stop = std::future::pending();
        tokio::spawn(magnolia_http::serve(
            listener,
            handler,
            stop,
            Duration::ZERO,
        ));
        let member = MemberEntry {
            daemon: context.identity.daemon.clone(),
            address,
            data_centre: context.identity.data_centre.clone(),
        };
        (daemon, member)
    }

    /// Creates a daemon whose address for other daemons is `inner`.
    pub fn daemon_at(&self, name: &str, inner: SocketAddr) -> TestDaemon {
        let args = [
            "magnoliad".into(),
            format!("--daemon={name}"),
            "--data-centre=dc0".into(),
            "--listen=127.0.0.1:8".into(),
            format!("--inner-listen={inner}"),
            "--log=127.0.0.1:9".into(),
            "--instances=127.0.0.1:9".into(),
            "--log-retention-ms=10000".into(),
        ];
        let settings = DaemonSettings::from_args(args.map(OsString::from));
        let settings = settings.unwrap_or_else(|error| panic!("{error}"));
        let mut context = DaemonContext::new(settings).expect("a context");
        let (gate, log_gate) = (PauseGate::new(), PauseGate::new());
        let unreachable: Arc<Mutex<BTreeSet<SocketAddr>>> = Arc::default();
        context.log = Arc::new(GatedLog {
            log: Arc::clone(&self.log),
            gate: gate.clone(),
            log_gate: log_gate.clone(),
            delay: self.append_delay,
        });
        context.workers = Arc::new(GatedFleet {
            fleet: Arc::clone(&self.fleet),
            gate: gate.clone(),
            unreachable: Arc::clone(&unreachable),
        });
        let context = Arc::new(context);
        set_config(&context, 1, self.document.clone());
        TestDaemon {
            context,
            gate,
            log_gate,
            unreachable,
        }
    }
}

pub fn set_config(context: &DaemonContext, version: u64, document: ConfigDocument) {
    let mut config = CellConfig::new();
    config.version = magnolia_types::ConfigVersion::new(version);
    config.document = Some(document);
    context.config.send_replace(Arc::new(config));
}

pub fn unit() -> UnitId {
    UnitId::new_partition(PARTITION).expect("a unit")
}

impl TestDaemon {
    /// Claims the partition at `epoch` and starts its owner.
    pub async fn claim(&self, epoch: u64) {
        let claim = ClaimRecord {
            unit: unit(),
            epoch: Epoch::new(epoch),
            daemon: self.context.identity.daemon.clone(),
            incarnation: self.context.identity.incarnation,
            address: self.context.identity.address,
        };
        let data = encode(&ClaimChange::Claim(claim.clone())).expect("a claim");
        let log = &self.context.log;
        log.append("claims", Bytes::from(data))
            .await
            .expect("an append");
        start_owner(&self.context, &claim);
    }

    /// Makes workers unreachable for this daemon.
    pub fn make_unreachable(&self, workers: impl IntoIterator<Item = SocketAddr>) {
        let mut unreachable = self
            .unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unreachable.extend(workers);
    }

    /// Makes a worker reachable again for this daemon.
    pub fn make_reachable(&self, worker: SocketAddr) {
        let mut unreachable = self
            .unreachable
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        unreachable.remove(&worker);
    }

    /// Puts another daemon into the instance list of this one.
    pub fn list_daemon(&self, member: &MemberEntry) {
        let entry = InstanceEntry {
            instance: member.daemon.as_str().into(),
            kind: InstanceKind::Entry,
            address: member.address,
            data_centre: member.data_centre.clone(),
            state: InstanceState::Live,
        };
        let now = self.context.clock.now();
        self.context.members.replace_entries(vec![entry], now);
    }

    /// Runs an operation at the owner in this daemon.
    pub async fn run(&self, operation: JobOperation) -> JobReply {
        run_local(&self.context, PARTITION, operation).await
    }

    /// Submits a job; retries until the owner has opened its journal.
    pub async fn submit(&self, spec: JobSpec) -> JobId {
        let job = JobId::new_in(PARTITION, rand::random()).expect("an id");
        let started = Instant::now();
        loop {
            let operation = JobOperation::Submit {
                job: job.clone(),
                spec: spec.clone(),
            };
            match self.run(operation).await {
                JobReply::Job(view) => return view.job,
                JobReply::Refused {
                    code: ResultCode::NoOwner,
                    ..
                } => {}
                other => panic!("not accepted: {other:?}"),
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "the owner does not open");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Returns the view of a job; `None` if the owner refuses the operation.
    pub async fn view(&self, job: &JobId) -> Option<JobView> {
        match self.run(JobOperation::Get { job: job.clone() }).await {
            JobReply::Job(view) => Some(view),
            _ => None,
        }
    }

    /// Waits until a job is in a state.
    pub async fn wait_state(&self, job: &JobId, state: JobState) -> JobView {
        let started = Instant::now();
        loop {
            let view = self.view(job).await;
            if let Some(view) = view.clone().filter(|view| view.state == state) {
                return view;
            }
            if started.elapsed() > WAIT_TIMEOUT {
                let explanation = self.run(JobOperation::Explain { job: job.clone() }).await;
                panic!("{job} is not {state:?}: {view:?}, {explanation:?}");
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Returns the value of a counter, 0 if it was never counted.
    pub fn counter(&self, name: &str) -> u64 {
        self.context
            .metrics
            .counters()
            .get(name)
            .copied()
            .unwrap_or(0)
    }
}

/// Waits until a condition holds; `what` describes it in the failure.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Returns a batch job with tasks of 1 processor.
pub fn batch(tasks: u32, run_ms: u64) -> JobSpec {
    JobSpec {
        customer: "guild".parse().expect("a name"),
        class: "batch".parse().expect("a name"),
        kind: JobKind::Batch,
        tasks,
        size: ResourceVector::new(1000, 500, 0),
        run_ms: Some(Millis::new(run_ms)),
        repeatable: true,
        idempotency_key: None,
        max_attempts: 3,
    }
}

/// Returns a service with tasks of 1 processor.
pub fn service(tasks: u32) -> JobSpec {
    JobSpec {
        class: "service".parse().expect("a name"),
        kind: JobKind::Service,
        run_ms: None,
        ..batch(tasks, 0)
    }
}
