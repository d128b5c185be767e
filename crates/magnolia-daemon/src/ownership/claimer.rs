//! Claims units without a live owner and starts the owners of those that this daemon holds.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use magnolia_protocol::encode;
use magnolia_state::{ClaimChange, ClaimRecord};
use magnolia_types::{Epoch, Millis, UnitId, rendezvous_order};

use super::claim_book::CLAIM_STREAM;
use super::unit_watch::is_free;
use crate::context::{DaemonContext, LifecyclePhase};
use crate::membership::MemberEntry;
use crate::metrics::names;
use crate::{partition, quick};

/// Longest time between two looks at the units.
const CLAIM_INTERVAL: Duration = Duration::from_millis(200);
/// Time that each better candidate gets to claim before the next one does.
const CANDIDATE_DELAY: Millis = Millis::from_secs(1);
/// Longest wait for the result of a claim.
const READ_BACK_LIMIT: Duration = Duration::from_secs(1);
/// Restatements of a claim within the retention of the log, so that several may be missed.
const RESTATEMENTS_PER_RETENTION: u64 = 4;

/// What the claimer remembers of the units.
#[derive(Default)]
struct ClaimerState {
    /// Units served here with the claim they are served under.
    running: BTreeMap<UnitId, ClaimRecord>,
    /// Since when a unit is free.
    free_since: BTreeMap<UnitId, Millis>,
    /// When a claim was last appended.
    stated: BTreeMap<UnitId, Millis>,
}

/// Claims, starts and stops units until the daemon ends.
pub async fn keep_claiming(context: Arc<DaemonContext>) {
    let mut state = ClaimerState::default();
    let mut changes = context.claims.subscribe();
    loop {
        let units = context
            .with_document(|document| document.units())
            .unwrap_or_default();
        state.stop_lost(&context, &units);
        let phase = *context.phase.borrow();
        if phase == LifecyclePhase::Ready {
            state.start_held(&context, &units);
            let wanted = state.wanted(&context, &units);
            join_all(wanted.iter().map(|unit| claim(&context, unit))).await;
            state.restate(&context).await;
        }
        // Also returns at once when the table has changed since the last look.
        tokio::time::timeout(CLAIM_INTERVAL, changes.changed())
            .await
            .ok();
    }
}

/// Returns the daemon that takes a unit over when this one stops.
pub fn next_candidate(context: &DaemonContext, unit: &UnitId) -> Option<MemberEntry> {
    let mut members = context.members.candidates();
    members.retain(|member| member.daemon != context.identity.daemon);
    let names: Vec<&str> = members
        .iter()
        .map(|member| member.daemon.as_str())
        .collect();
    let first = rendezvous_order(unit.as_str(), &names)
        .first()
        .map(|name| **name)?;
    let found = members
        .iter()
        .find(|member| member.daemon.as_str() == first);
    found.cloned()
}

impl ClaimerState {
    /// Stops the units that this daemon holds no more.
    fn stop_lost(&mut self, context: &Arc<DaemonContext>, units: &[UnitId]) {
        let lost: Vec<ClaimRecord> = self
            .running
            .values()
            .filter(|claim| {
                let released = context.claims.is_released(claim);
                !context.claims.is_current(claim) || released || !units.contains(&claim.unit)
            })
            .cloned()
            .collect();
        for claim in lost {
            self.running.remove(&claim.unit);
            let known = context.claims.get(&claim.unit).map(|known| known.epoch);
            let named = context.claims.superseded_by(&claim.unit);
            let epoch = known.max(named).unwrap_or(claim.epoch);
            stop_unit(context, &claim, epoch);
        }
    }

    /// Starts the units that this daemon holds.
    fn start_held(&mut self, context: &Arc<DaemonContext>, units: &[UnitId]) {
        for unit in units {
            let Some(claim) = context.own_claim(unit) else {
                continue;
            };
            self.free_since.remove(unit);
            if !context.claims.is_released(&claim) && !self.running.contains_key(unit) {
                start_unit(context, &claim);
                self.running.insert(unit.clone(), claim);
            }
        }
    }

    /// Returns the free units that this daemon should claim now.
    fn wanted(&mut self, context: &DaemonContext, units: &[UnitId]) -> Vec<UnitId> {
        if !context.claims.is_log_healthy() || !context.claims.is_caught_up() {
            return Vec::new();
        }
        let candidates = context.members.candidates();
        let names: Vec<&str> = candidates
            .iter()
            .map(|member| member.daemon.as_str())
            .collect();
        let now = context.clock.now();
        let mut wanted = Vec::new();
        for unit in units {
            if context.own_claim(unit).is_some() || !is_free(context, unit) {
                self.free_since.remove(unit);
                continue;
            }
            let since = *self.free_since.entry(unit.clone()).or_insert(now);
            let order = rendezvous_order(unit.as_str(), &names);
            let own = context.identity.daemon.as_str();
            let Some(rank) = order.iter().position(|name| **name == own) else {
                continue;
            };
            let delay = CANDIDATE_DELAY.get().saturating_mul(rank as u64);
            if now.saturating_sub(since).get() >= delay {
                wanted.push(unit.clone());
            }
        }
        wanted
    }

    /// Restates the claims of this daemon so that the log's retention does not drop them.
    async fn restate(&mut self, context: &DaemonContext) {
        let now = context.clock.now();
        let interval = context.settings.log_retention_ms.get() / RESTATEMENTS_PER_RETENTION;
        for claim in self.running.values() {
            let stated = *self.stated.entry(claim.unit.clone()).or_insert(now);
            if now.saturating_sub(stated).get() < interval {
                continue;
            }
            if append(context, &ClaimChange::Restate(claim.clone())).await {
                self.stated.insert(claim.unit.clone(), now);
            }
        }
    }
}

async fn claim(context: &DaemonContext, unit: &UnitId) {
    let epoch = context.claims.with_table(|table| table.next_epoch(unit));
    let record = ClaimRecord {
        unit: unit.clone(),
        epoch,
        daemon: context.identity.daemon.clone(),
        incarnation: context.identity.incarnation,
        address: context.identity.address,
    };
    let mut changes = context.claims.subscribe();
    context.metrics.count(names::CLAIMS_APPENDED);
    if !append(context, &ClaimChange::Claim(record)).await {
        // The record may have been written all the same; the reader of the stream will tell, and
        // an identical second record has no effect.
        return;
    }
    let decided = async {
        while context
            .claims
            .get(unit)
            .is_none_or(|known| known.epoch < epoch)
        {
            if changes.changed().await.is_err() {
                return;
            }
        }
    };
    tokio::time::timeout(READ_BACK_LIMIT, decided).await.ok();
}

async fn append(context: &DaemonContext, change: &ClaimChange) -> bool {
    match encode(change) {
        Ok(data) => context
            .log
            .append(CLAIM_STREAM, Bytes::from(data))
            .await
            .is_ok(),
        Err(_) => false,
    }
}

fn start_unit(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    if claim.unit.partition().is_some() {
        partition::start_owner(context, claim);
    } else {
        quick::start_group(context, claim);
    }
}

fn stop_unit(context: &Arc<DaemonContext>, claim: &ClaimRecord, superseded_by: Epoch) {
    log::info!("{} is lost at epoch {superseded_by}", claim.unit);
    if claim.unit.partition().is_some() {
        partition::stop_owner(context, &claim.unit, superseded_by);
    } else {
        quick::stop_group(context, &claim.unit);
    }
}
