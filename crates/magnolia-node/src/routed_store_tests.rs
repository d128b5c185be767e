//! Tests of the choice of paths to the store after an outage.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use magnolia_types::{LogOffset, Millis};
use tokio::net::TcpListener;

use crate::clock::NodeClock;
use crate::peers::PeerClient;
use crate::ports::{
    AppendCondition, AppendOutcome, NewestPage, StoreError, StreamName, StreamRecord, StreamStore,
    TailPage,
};
use crate::routed_store::RoutedStore;

/// A store that is unavailable or answers at once.
#[derive(Default)]
struct FakeStore {
    unavailable: AtomicBool,
}

impl FakeStore {
    fn answer<T: Send + 'static>(&self, good: T) -> BoxFuture<'static, Result<T, StoreError>> {
        let answer = if self.unavailable.load(Ordering::SeqCst) {
            Err(StoreError::Busy("away".into()))
        } else {
            Ok(good)
        };
        async move { answer }.boxed()
    }
}

impl StreamStore for FakeStore {
    fn append<'a>(
        &'a self,
        _: StreamName,
        _: &'a [StreamRecord],
        _: AppendCondition,
    ) -> BoxFuture<'a, Result<AppendOutcome, StoreError>> {
        let end = LogOffset::new(1);
        self.answer(AppendOutcome::Stored { end })
    }

    fn read_newest<'a>(
        &'a self,
        _: StreamName,
        _: Option<&'a str>,
    ) -> BoxFuture<'a, Result<NewestPage, StoreError>> {
        unreachable!("only appends are made")
    }

    fn read_tail<'a>(
        &'a self,
        _: StreamName,
        _: LogOffset,
        _: Millis,
    ) -> BoxFuture<'a, Result<TailPage, StoreError>> {
        unreachable!("only appends are made")
    }
}

/// Returns the address of a peer that accepts connections and never answers, as an instance does
/// that lost its power.
async fn silent_peer() -> (SocketAddr, TcpListener) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    (listener.local_addr().expect("an address"), listener)
}

/// Guards against a claim that tries silent peers one after the other, and the direct path last
/// because it failed during the outage. The cell would have no owner for all that time.
#[tokio::test]
async fn a_claim_after_an_outage_does_not_wait_for_silent_peers() {
    let direct = Arc::new(FakeStore::default());
    let shared = Arc::clone(&direct) as Arc<dyn StreamStore>;
    let store = RoutedStore::new(shared, PeerClient::new(), NodeClock::new());
    let peers = [
        silent_peer().await,
        silent_peer().await,
        silent_peer().await,
    ];
    direct.unavailable.store(true, Ordering::SeqCst);
    let claim = AppendCondition::EndsAt(LogOffset::new(0));
    let outcome = store.append(StreamName::Cell, &[], claim).await;
    assert!(outcome.is_err(), "{outcome:?}");
    assert!(store.prefers_relays());
    store.set_relays(peers.iter().map(|(address, _)| *address).collect());
    direct.unavailable.store(false, Ordering::SeqCst);
    let asked = Instant::now();
    let outcome = store.append(StreamName::Cell, &[], claim).await;
    assert!(
        matches!(outcome, Ok(AppendOutcome::Stored { .. })),
        "{outcome:?}"
    );
    // If the claim tried the paths one after the other, the second try alone would start only after
    // 100 ms, the lower bound of the hedge delay.
    let took = asked.elapsed();
    assert!(took < Duration::from_millis(100), "{took:?}");
}
