//! Graceful stop: hands the owned units over while requests are still accepted, then refuses new
//! work.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_types::UnitId;

use crate::context::{DaemonContext, LifecyclePhase};
use crate::ownership::next_candidate;
use crate::{partition, quick};

/// Maximum time to hand all units over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(15);
/// Maximum number of attempts to hand one unit over, each to the daemon that is the first candidate
/// by then.
const MAX_HANDOVER_ATTEMPTS: usize = 2;

/// Drains the daemon; when this returns, new work is refused.
///
/// The readiness check fails first. Requests are accepted for the grace period, so that a load
/// balancer that polls the readiness stops sending before requests are refused.
pub async fn drain(context: &Arc<DaemonContext>) {
    log::info!("draining");
    context.phase.send_replace(LifecyclePhase::Draining);
    let grace = tokio::time::sleep(context.settings.drain_grace.into());
    let handover = tokio::time::timeout(HANDOVER_TIMEOUT, hand_over_all(context));
    let (handed_over, ()) = tokio::join!(handover, grace);
    if handed_over.is_err() {
        log::warn!("timed out while handing units over");
    }
    context.closing.send_replace(true);
}

/// Hands the groups over one after another, so that most of their capacity stays in use, and all
/// partitions at the same time.
async fn hand_over_all(context: &Arc<DaemonContext>) {
    let groups = async {
        for unit in context.groups.units() {
            hand_over(context, &unit).await;
        }
    };
    let units = context
        .with_document(|document| document.units())
        .unwrap_or_default();
    let partitions = units
        .iter()
        .filter(|unit| unit.partition().is_some() && context.partitions.get(unit).is_some());
    let partitions = join_all(partitions.map(|unit| hand_over(context, unit)));
    tokio::join!(groups, partitions);
}

/// Hands one unit over to the first candidate among the other daemons; tries again if that fails.
async fn hand_over(context: &Arc<DaemonContext>, unit: &UnitId) {
    let Some(claim) = context.own_claim(unit) else {
        return;
    };
    for _ in 0..MAX_HANDOVER_ATTEMPTS {
        let Some(successor) = next_candidate(context, unit) else {
            log::info!("no other daemon can take {unit} over");
            return;
        };
        let accepted = if unit.group().is_some() {
            quick::hand_over_group(context, &claim, &successor).await
        } else {
            partition::hand_over(context, unit, &successor).await
        };
        if accepted {
            context.claims.record_release(unit, claim.epoch);
            log::info!("handed {unit} over to {}", successor.daemon);
            return;
        }
    }
}
