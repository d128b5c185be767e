//! Claims units without a live owner and starts the owners of those that this daemon holds.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use magnolia_protocol::encode;
use magnolia_state::{ClaimChange, ClaimRecord};
use magnolia_types::{UnitId, rendezvous_order};

use super::claim_book::CLAIM_STREAM;
use crate::context::{DaemonContext, LifecyclePhase};
use crate::membership::MemberEntry;
use crate::{partition, quick};

/// Time between two looks at the units.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);

/// Claims and starts units until the daemon ends.
pub async fn keep_claiming(context: Arc<DaemonContext>) {
    loop {
        if *context.phase.borrow() == LifecyclePhase::Ready {
            let members = context.members.live_daemons();
            let units = context
                .with_document(|document| document.units())
                .unwrap_or_default();
            for unit in units {
                look_after(&context, &members, &unit).await;
            }
        }
        tokio::time::sleep(CLAIM_INTERVAL).await;
    }
}

async fn look_after(context: &Arc<DaemonContext>, members: &[MemberEntry], unit: &UnitId) {
    match context.claims.get(unit) {
        Some(claim) if is_mine(context, &claim) => start_unit(context, &claim),
        Some(claim) if members.iter().any(|member| member.daemon == claim.daemon) => {}
        _ if is_first_candidate(context, members, unit) => claim(context, unit).await,
        _ => {}
    }
}

fn is_mine(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    claim.daemon == context.identity.daemon && claim.incarnation == context.identity.incarnation
}

fn is_first_candidate(context: &DaemonContext, members: &[MemberEntry], unit: &UnitId) -> bool {
    let names: Vec<&str> = members
        .iter()
        .map(|member| member.daemon.as_str())
        .collect();
    let order = rendezvous_order(unit.as_str(), &names);
    order
        .first()
        .is_some_and(|first| **first == context.identity.daemon.as_str())
}

async fn claim(context: &DaemonContext, unit: &UnitId) {
    let record = ClaimRecord {
        unit: unit.clone(),
        epoch: context.claims.with_table(|table| table.next_epoch(unit)),
        daemon: context.identity.daemon.clone(),
        incarnation: context.identity.incarnation,
        address: context.identity.address,
    };
    let Ok(data) = encode(&ClaimChange::Claim(record)) else {
        return;
    };
    let mut changes = context.claims.subscribe();
    if context
        .log
        .append(CLAIM_STREAM, Bytes::from(data))
        .await
        .is_ok()
    {
        // The reader of the stream decides who won; waiting here avoids a second claim.
        tokio::time::timeout(Duration::from_secs(1), changes.changed())
            .await
            .ok();
    }
}

fn start_unit(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    if claim.unit.partition().is_some() {
        partition::start_owner(context, claim);
    } else {
        quick::start_group(context, claim);
    }
}
