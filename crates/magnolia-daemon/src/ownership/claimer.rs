//! Claims units without a live owner, and starts and stops the units that this daemon owns.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use magnolia_config::ConfigDocument;
use magnolia_protocol::encode;
use magnolia_state::{ClaimChange, ClaimRecord};
use magnolia_types::{Epoch, Millis, UnitId, rendezvous_order};

use super::announce::{announce, serve_after_announcement};
use super::claim_eligibility::{is_free, is_proved_free};
use super::known_claims::CLAIM_STREAM;
use crate::context::{DaemonContext, LifecyclePhase};
use crate::membership::MemberEntry;
use crate::metrics::names;
use crate::{partition, quick};

/// Maximum time between two checks of the units.
const CLAIM_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time by which each candidate claims later than the one before it in the order, so that usually
/// only the first one claims.
const CANDIDATE_DELAY: Millis = Millis::from_secs(1);
/// Maximum time to read back the result of a claim.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of restatements of a claim within the retention of the log, so that several may fail.
const RESTATEMENTS_PER_RETENTION: u64 = 4;

/// State of the claimer.
#[derive(Default)]
struct ClaimerState {
    /// Units that run here, with the claim under which they run.
    running: BTreeMap<UnitId, ClaimRecord>,
    /// Since when each free unit has been free.
    free_since: BTreeMap<UnitId, Millis>,
    /// Units that this daemon claims although their last owner may still be running.
    contested: BTreeSet<UnitId>,
    /// When the claim of each unit was last appended.
    last_appended: BTreeMap<UnitId, Millis>,
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
            state.start_owned(&context, &units);
            let units_to_claim = state.units_to_claim(&context, &units);
            state.record_contested(&context, &units_to_claim);
            join_all(units_to_claim.iter().map(|unit| claim(&context, unit))).await;
            state.restate(&context).await;
        }
        // Returns at once if the claims have changed since the last check.
        tokio::time::timeout(CLAIM_CHECK_INTERVAL, changes.changed())
            .await
            .ok();
    }
}

/// Returns the daemon that takes a unit over when this one stops.
pub fn next_candidate(context: &DaemonContext, unit: &UnitId) -> Option<MemberEntry> {
    let order = candidates_in_order(context, unit);
    let mut others = order.into_iter();
    others.find(|member| member.daemon != context.identity.daemon)
}

/// Returns the candidates for a unit in the order in which they claim it: the daemons of its
/// region, or all daemons if the region has none.
fn candidates_in_order(context: &DaemonContext, unit: &UnitId) -> Vec<MemberEntry> {
    let mut members = context.members.candidates();
    let in_region: Vec<MemberEntry> = context
        .with_document(|document| {
            let region = region_of(document, unit);
            let is_in_region = |member: &&MemberEntry| {
                let data_centre = document.data_centre(&member.data_centre);
                region.is_some() && data_centre.map(|section| &section.region) == region
            };
            members.iter().filter(is_in_region).cloned().collect()
        })
        .unwrap_or_default();
    if !in_region.is_empty() {
        members = in_region;
    }
    let names: Vec<&str> = members
        .iter()
        .map(|member| member.daemon.as_str())
        .collect();
    let order = rendezvous_order(unit.as_str(), &names);
    let find = |name: &&&str| {
        let mut all = members.iter();
        all.find(|member| member.daemon.as_str() == **name).cloned()
    };
    order.iter().filter_map(find).collect()
}

/// Returns the region of a unit's workers or executors.
fn region_of<'a>(document: &'a ConfigDocument, unit: &UnitId) -> Option<&'a Arc<str>> {
    let data_centre = match (unit.group(), unit.partition()) {
        (Some(group), _) => &document.executor_block(group)?.data_centre,
        (_, Some(partition)) => {
            let mut racks = document.racks.iter();
            &racks
                .find(|rack| &*rack.partition == partition)?
                .data_centre
        }
        _ => return None,
    };
    Some(&document.data_centre(data_centre)?.region)
}

impl ClaimerState {
    /// Stops the units that this daemon no longer owns or has released, and those that are not in
    /// the configuration any more.
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
            let reported = context.claims.superseded_by(&claim.unit);
            let epoch = known.max(reported).unwrap_or(claim.epoch);
            stop_unit(context, &claim, epoch);
        }
    }

    /// Starts the units that this daemon owns.
    fn start_owned(&mut self, context: &Arc<DaemonContext>, units: &[UnitId]) {
        for unit in units {
            let Some(claim) = context.own_claim(unit) else {
                continue;
            };
            self.free_since.remove(unit);
            if !context.claims.is_released(&claim) && !self.running.contains_key(unit) {
                start_unit(context, &claim, self.contested.remove(unit));
                self.running.insert(unit.clone(), claim);
            }
        }
    }

    /// Records which of the units to claim are contested: their last owner is not proved to have
    /// stopped.
    fn record_contested(&mut self, context: &DaemonContext, units_to_claim: &[UnitId]) {
        for unit in units_to_claim {
            if is_proved_free(context, unit) {
                self.contested.remove(unit);
            } else {
                self.contested.insert(unit.clone());
            }
        }
    }

    /// Returns the free units that this daemon should claim now.
    fn units_to_claim(&mut self, context: &DaemonContext, units: &[UnitId]) -> Vec<UnitId> {
        if !context.claims.is_log_healthy() || !context.claims.is_caught_up() {
            return Vec::new();
        }
        let now = context.clock.now();
        let mut units_to_claim = Vec::new();
        for unit in units {
            if context.own_claim(unit).is_some() || !is_free(context, unit) {
                self.free_since.remove(unit);
                continue;
            }
            let since = *self.free_since.entry(unit.clone()).or_insert(now);
            let order = candidates_in_order(context, unit);
            let own = &context.identity.daemon;
            let Some(rank) = order.iter().position(|member| member.daemon == *own) else {
                continue;
            };
            let delay = CANDIDATE_DELAY.get().saturating_mul(rank as u64);
            if now.saturating_sub(since).get() >= delay {
                units_to_claim.push(unit.clone());
            }
        }
        units_to_claim
    }

    /// Appends the claims of running units again (restates them) before the retention of the log
    /// drops them.
    async fn restate(&mut self, context: &DaemonContext) {
        let now = context.clock.now();
        let interval = context.settings.log_retention_ms.get() / RESTATEMENTS_PER_RETENTION;
        for claim in self.running.values() {
            let last_appended = *self.last_appended.entry(claim.unit.clone()).or_insert(now);
            if now.saturating_sub(last_appended).get() < interval {
                continue;
            }
            if append(context, &ClaimChange::Restate(claim.clone())).await {
                self.last_appended.insert(claim.unit.clone(), now);
            }
        }
    }
}

/// Appends a claim of a unit and waits until it, or another claim of the same epoch, is read back.
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
    let asked = context.clock.now();
    context.metrics.count(names::CLAIMS_APPENDED);
    if !append(context, &ClaimChange::Claim(record)).await {
        // The record may still have been written. The reader of the stream finds out, and a second
        // identical record has no effect.
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
    if tokio::time::timeout(READ_BACK_TIMEOUT, decided)
        .await
        .is_ok()
    {
        // The stream was read up to a record that was appended after `asked`.
        context.claims.record_confirmation(asked);
    }
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

fn start_unit(context: &Arc<DaemonContext>, claim: &ClaimRecord, is_contested: bool) {
    let (shared, record) = (Arc::clone(context), claim.clone());
    if claim.unit.partition().is_none() && is_contested {
        tokio::spawn(serve_after_announcement(shared, record));
        return;
    }
    if claim.unit.partition().is_some() {
        partition::start_owner(context, claim);
    } else {
        quick::start_group(context, claim);
    }
    tokio::spawn(async move { announce(&shared, &record).await });
}

fn stop_unit(context: &Arc<DaemonContext>, claim: &ClaimRecord, superseded_by: Epoch) {
    log::info!(
        "stopping {}: lost, released or no longer configured; newest known epoch {superseded_by}",
        claim.unit
    );
    if claim.unit.partition().is_some() {
        partition::stop_owner(context, &claim.unit, superseded_by);
    } else {
        quick::stop_group(context, &claim.unit);
    }
}
