//! Graceful stop: hands the owned units over while requests are still accepted, then refuses new
//! work.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use magnolia_protocol::{PeerReply, PeerRequest};
use magnolia_state::ClaimRecord;
use magnolia_types::UnitId;
use tokio::time::Instant;

use crate::context::{DaemonContext, LifecyclePhase};
use crate::membership::MemberEntry;
use crate::ownership::next_candidate;
use crate::probing::PROBE_INTERVAL;
use crate::{partition, quick};

/// Maximum time to hand all units over.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(15);
/// Number of attempts to hand one unit over, each to the daemon that is the first candidate by then.
/// Further attempts follow until the grace period ends.
const MIN_HANDOVER_ATTEMPTS: usize = 2;
/// Delay between two attempts. Another daemon may be starting, or not be in the instance list yet.
const HANDOVER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Drains the daemon; when this returns, new work is refused.
///
/// The readiness check fails first. Requests are accepted for the grace period, so that a load
/// balancer that polls the readiness stops sending before requests are refused.
pub async fn drain(context: &Arc<DaemonContext>) {
    log::info!("draining");
    context.phase.send_replace(LifecyclePhase::Draining);
    let grace_end = Instant::now() + context.settings.drain_grace.into();
    let handover = tokio::time::timeout(HANDOVER_TIMEOUT, hand_over_all(context, grace_end));
    let (handed_over, ()) = tokio::join!(handover, tokio::time::sleep_until(grace_end));
    if handed_over.is_err() {
        log::warn!("timed out while handing units over");
    }
    context.closing.send_replace(true);
}

/// Hands the groups over one after another, so that most of their capacity stays in use, and all
/// partitions at the same time.
async fn hand_over_all(context: &Arc<DaemonContext>, grace_end: Instant) {
    let groups = async {
        for unit in context.groups.units() {
            hand_over(context, &unit, grace_end).await;
        }
    };
    let units = context
        .with_document(|document| document.units())
        .unwrap_or_default();
    let partitions = units
        .iter()
        .filter(|unit| unit.partition().is_some() && context.partitions.get(unit).is_some());
    let partitions = join_all(partitions.map(|unit| hand_over(context, unit, grace_end)));
    tokio::join!(groups, partitions);
}

/// Hands one unit over to the first candidate among the other daemons. Tries again until the grace
/// period ends.
async fn hand_over(context: &Arc<DaemonContext>, unit: &UnitId, grace_end: Instant) {
    let Some(claim) = context.own_claim(unit) else {
        return;
    };
    for attempt in 1.. {
        if let Some(successor) = next_candidate(context, unit)
            && is_ready(context, &successor).await
            && hand_over_to(context, &claim, &successor).await
        {
            context.claims.record_release(unit, claim.epoch);
            log::info!("handed {unit} over to {}", successor.daemon);
            return;
        }
        if attempt >= MIN_HANDOVER_ATTEMPTS && Instant::now() >= grace_end {
            break;
        }
        tokio::time::sleep(HANDOVER_RETRY_DELAY).await;
    }
    log::info!("no other daemon took {unit} over");
}

/// Tells whether a daemon answers and is not stopping itself. The unit is served until then.
async fn is_ready(context: &DaemonContext, successor: &MemberEntry) -> bool {
    let reply = context
        .call_peer(successor.address, PeerRequest::Ping, PROBE_INTERVAL)
        .await;
    matches!(reply.map(|reply| reply.body), Ok(PeerReply::Pong(pong)) if !pong.draining)
}

/// Hands one unit over to a daemon; returns whether that accepted it.
async fn hand_over_to(
    context: &Arc<DaemonContext>,
    claim: &ClaimRecord,
    successor: &MemberEntry,
) -> bool {
    if claim.unit.group().is_some() {
        quick::hand_over_group(context, claim, successor).await
    } else {
        partition::hand_over(context, &claim.unit, successor).await
    }
}
