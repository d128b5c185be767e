//! Tests of the session of an owner on a platform that is unavailable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use magnolia_scheduler::{
    CellRules, ExecutorEntry, ExecutorReport, PaceOrder, RenewalPlan, SchedulerSettings,
    StartAnswer, StartOrder, StopOrder,
};
use magnolia_types::{DaemonId, DataCentreName, Epoch, Incarnation, LogOffset, Millis};

use crate::guarded_tasks::spawn_restarting;
use crate::membership::{EarlierClaim, MemberRecord};
use crate::metrics::NodeMetrics;
use crate::node::{CellNode, NodePorts};
use crate::owner::OwnerSession;
use crate::ports::{
    AppendCondition, AppendOutcome, DocumentDecoder, EntryError, ExecutorPort, NewestPage,
    OrderError, StartReply, StoreError, StreamName, StreamRecord, StreamStore, TailPage,
};
use crate::settings::NodeSettings;

/// A platform on which every call fails.
struct AbsentPlatform;

fn busy<T: Send + 'static>() -> BoxFuture<'static, Result<T, StoreError>> {
    async { Err(StoreError::Busy("away".into())) }.boxed()
}

fn unreachable<T: Send + 'static>() -> BoxFuture<'static, Result<T, OrderError>> {
    async { Err(OrderError::NotSent("connection refused".into())) }.boxed()
}

impl StreamStore for AbsentPlatform {
    fn append<'a>(
        &'a self,
        _: StreamName,
        _: &'a [StreamRecord],
        _: AppendCondition,
    ) -> BoxFuture<'a, Result<AppendOutcome, StoreError>> {
        busy()
    }

    fn read_newest<'a>(
        &'a self,
        _: StreamName,
        _: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>> {
        busy()
    }

    fn read_tail<'a>(
        &'a self,
        _: StreamName,
        _: LogOffset,
        _: Millis,
    ) -> BoxFuture<'a, Result<TailPage, StoreError>> {
        busy()
    }
}

impl ExecutorPort for AbsentPlatform {
    fn renew_lease<'a>(
        &'a self,
        _: &'a ExecutorEntry,
        _: &'a RenewalPlan,
    ) -> BoxFuture<'a, Result<ExecutorReport, OrderError>> {
        unreachable()
    }

    fn start<'a>(&'a self, _: SocketAddr, _: &'a StartOrder) -> BoxFuture<'a, StartReply> {
        let reply = StartReply {
            answer: StartAnswer::NotSent,
            clock: None,
        };
        async move { reply }.boxed()
    }

    fn stop<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a StopOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>> {
        unreachable()
    }

    fn pace<'a>(
        &'a self,
        _: SocketAddr,
        _: &'a PaceOrder,
    ) -> BoxFuture<'a, Result<(), OrderError>> {
        unreachable()
    }
}

impl DocumentDecoder for AbsentPlatform {
    fn rules(&self, _: &StreamRecord) -> Option<CellRules> {
        None
    }

    fn executor(&self, _: &StreamRecord) -> Result<ExecutorEntry, EntryError> {
        Err(EntryError::new(&"away"))
    }
}

/// Creates a daemon on the absent platform.
fn node() -> Arc<CellNode> {
    let settings = NodeSettings {
        name: DaemonId::new("edge-1").expect("valid name"),
        data_centre: DataCentreName::new("here").expect("valid name"),
        inner_address: "127.0.0.1:1".parse().expect("an address"),
        weight: 250,
        memory_bytes: None,
        scheduler: Arc::new(SchedulerSettings::new(Millis::new(6000))),
        stop_limit: Duration::from_secs(6),
        drain_delay: Duration::from_secs(2),
    };
    let ports = NodePorts {
        store: Arc::new(AbsentPlatform),
        executors: Arc::new(AbsentPlatform),
        eligibility: None,
        decoder: Arc::new(AbsentPlatform),
    };
    CellNode::new(settings, ports, Arc::new(NodeMetrics::default()))
}

/// Guards against an owner that keeps its claim after one of its tasks panicked: the cell would have
/// an owner that renews no leases or plans no starts.
#[tokio::test]
async fn an_owner_gives_up_when_one_of_its_tasks_panics() {
    let session = OwnerSession::open(node(), Epoch::new(3));
    session.spawn(async {});
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(!session.is_closed(), "a task that ends is no failure");
    session.spawn(async { panic!("an unexpected error") });
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert!(session.is_closed());
}

/// Guards against a new owner that shortens its wait for the leases of an earlier owner whose address
/// refuses connections: that owner may be alive behind a firewall and renew leases.
#[tokio::test]
async fn a_refused_connection_does_not_end_an_earlier_owner() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    drop(listener);
    let claim = EarlierClaim {
        epoch: Epoch::new(2),
        member: MemberRecord {
            name: DaemonId::new("edge-2").expect("valid name"),
            address,
            incarnation: Incarnation::new(7),
            weight: 250,
            memory_bytes: None,
        },
        replaced_unix_ms: 0,
    };
    assert!(!node().has_ended(&claim).await);
}

/// Guards against a daemon that no longer follows the claims or the configuration after a panic.
#[tokio::test]
async fn a_task_of_the_daemon_is_started_again_after_a_panic() {
    static STARTS: AtomicU32 = AtomicU32::new(0);
    spawn_restarting("test", || async {
        assert!(
            STARTS.fetch_add(1, Ordering::SeqCst) > 0,
            "the first start fails"
        );
    });
    tokio::time::sleep(Duration::from_millis(2500)).await;
    assert_eq!(
        STARTS.load(Ordering::SeqCst),
        2,
        "a task that ends is not started again"
    );
}
