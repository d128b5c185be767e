//! Notices that this process was paused.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use magnolia_types::{Millis, UnitId};

use crate::context::DaemonContext;
use crate::metrics::names;

/// Time between two pulses.
const PULSE_INTERVAL: Duration = Duration::from_millis(100);
/// Age of the last pulse above which the process counts as paused.
const PAUSE_LIMIT: Millis = Millis::from_secs(1);

/// Time of the last pulse. A task that runs first after a pause sees it outdated, whatever order
/// the tasks wake in.
pub struct PauseGuard {
    pulse: AtomicU64,
}

impl PauseGuard {
    /// Creates a guard with a pulse at the start of the clock.
    pub fn new() -> Self {
        Self {
            pulse: AtomicU64::new(0),
        }
    }

    /// Tells whether the process was not paused, or has confirmed its claims since.
    pub fn is_steady(&self, now: Millis) -> bool {
        now.saturating_sub(self.last_pulse()) <= PAUSE_LIMIT
    }

    /// Sets the time of the last pulse.
    pub fn beat(&self, now: Millis) {
        self.pulse.store(now.get(), Ordering::SeqCst);
    }

    fn last_pulse(&self) -> Millis {
        Millis::new(self.pulse.load(Ordering::SeqCst))
    }
}

/// Beats until the daemon ends; after a pause only once all claims are confirmed.
pub async fn watch_pauses(context: Arc<DaemonContext>) {
    context.pause.beat(context.clock.now());
    loop {
        tokio::time::sleep(PULSE_INTERVAL).await;
        let now = context.clock.now();
        if context.pause.is_steady(now) {
            context.pause.beat(now);
            continue;
        }
        context.metrics.count(names::PAUSES_NOTICED);
        log::warn!("this process was paused; claims are being confirmed");
        context.claims.forget_confirmation();
        while !confirm_all(&context).await {
            tokio::time::sleep(PULSE_INTERVAL).await;
        }
        context.pause.beat(context.clock.now());
    }
}

/// Confirms the claims of all units that this daemon believes to own.
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
    // One reading covers all units; a claim that it shows as lost is stopped by the claimer.
    context.confirm_claim(first).await;
    context.claims.last_confirmation().is_some()
}
