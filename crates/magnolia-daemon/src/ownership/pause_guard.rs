//! Detects that this process was paused.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use magnolia_types::{Millis, UnitId};

use crate::context::DaemonContext;
use crate::metrics::names;

/// Time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last heartbeat above which the process counts as paused.
const MAX_HEARTBEAT_AGE: Millis = Millis::from_secs(1);

/// Detects pauses by the age of the last heartbeat. After a pause, every task sees an outdated
/// heartbeat, in whatever order the tasks wake up.
pub struct PauseGuard {
    last_heartbeat: AtomicU64,
}

impl PauseGuard {
    /// Creates a guard whose last heartbeat is at the start of the clock.
    pub fn new() -> Self {
        Self {
            last_heartbeat: AtomicU64::new(0),
        }
    }

    /// Tells whether the process was not paused, or has confirmed its claims since.
    pub fn has_recent_heartbeat(&self, now: Millis) -> bool {
        now.saturating_sub(self.read_heartbeat()) <= MAX_HEARTBEAT_AGE
    }

    /// Sets the time of the last heartbeat.
    pub fn record_heartbeat(&self, now: Millis) {
        self.last_heartbeat.store(now.get(), Ordering::SeqCst);
    }

    fn read_heartbeat(&self) -> Millis {
        Millis::new(self.last_heartbeat.load(Ordering::SeqCst))
    }
}

/// Records heartbeats until the daemon ends; after a pause, only once all claims are confirmed.
pub async fn watch_pauses(context: Arc<DaemonContext>) {
    context.pause.record_heartbeat(context.clock.now());
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let now = context.clock.now();
        if context.pause.has_recent_heartbeat(now) {
            context.pause.record_heartbeat(now);
            continue;
        }
        context.metrics.count(names::PAUSES_NOTICED);
        log::warn!("this process was paused; claims are being confirmed");
        context.claims.forget_confirmation();
        while !confirm_all(&context).await {
            tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        }
        context.pause.record_heartbeat(context.clock.now());
    }
}

/// Confirms the claims of all units that this daemon owns as far as it knows.
async fn confirm_all(context: &DaemonContext) -> bool {
    let own: Vec<UnitId> = context.claims.with_table(|table| {
        let mine = table
            .iter()
            .filter(|claim| claim.daemon == context.identity.daemon);
        mine.map(|claim| claim.unit.clone()).collect()
    });
    let Some(first) = own.first() else {
        return true;
    };
    // One read of the log covers all units. If it shows that a unit is lost, the claimer stops it.
    context.confirm_claim(first).await;
    context.claims.last_confirmation().is_some()
}
