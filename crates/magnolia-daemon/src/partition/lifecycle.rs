//! Starts and stops owners and hands their state over to other daemons.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use magnolia_protocol::{Handover, PeerReply, PeerRequest};
use magnolia_state::ClaimRecord;
use magnolia_types::{Epoch, ResultCode, UnitId};
use tokio::sync::{mpsc, oneshot};

use super::events::OwnerEvent;
use super::opening::open_journal;
use super::owner::PartitionOwner;
use super::registry::{OwnerHandle, OwnerInsertion};
use crate::context::DaemonContext;
use crate::membership::MemberEntry;
use crate::metrics::names;

/// Maximum number of operations that wait for the owner.
const MAX_QUEUED_COMMANDS: usize = 1024;
/// Timeout for the owner's reply to a handover request. It is longer than `MAX_DRAIN_TIME`,
/// after which the owner ends its drain in any case.
const DRAIN_REPLY_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for the handover message.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts the owner of a claimed partition, at most once per epoch.
pub fn start_owner(context: &Arc<DaemonContext>, claim: &ClaimRecord) {
    let (commands, command_receiver) = mpsc::channel(MAX_QUEUED_COMMANDS);
    let (events, event_receiver) = mpsc::unbounded_channel();
    let handle = OwnerHandle {
        epoch: claim.epoch,
        commands,
        events: events.clone(),
        description: Arc::new(Mutex::default()),
    };
    match context.partitions.insert(&claim.unit, handle.clone()) {
        OwnerInsertion::Added(None) => {}
        OwnerInsertion::Added(Some(replaced)) => {
            replaced
                .events
                .send(OwnerEvent::Superseded(claim.epoch))
                .ok();
        }
        OwnerInsertion::Refused => return,
    }
    log::info!(
        "starting the owner of {} at epoch {}",
        claim.unit,
        claim.epoch
    );
    let handover = context.partitions.take_handover(&claim.unit, claim.epoch);
    tokio::spawn(open(
        Arc::clone(context),
        claim.clone(),
        handover,
        events.clone(),
    ));
    let owner = PartitionOwner::new(
        Arc::clone(context),
        claim.clone(),
        events,
        handle.description,
    );
    tokio::spawn(owner.run(command_receiver, event_receiver));
}

async fn open(
    context: Arc<DaemonContext>,
    claim: ClaimRecord,
    handover: Option<Handover>,
    events: mpsc::UnboundedSender<OwnerEvent>,
) {
    tokio::select! {
        opened = open_journal(&context, &claim, handover) => {
            let event = match opened {
                Ok(journal) => OwnerEvent::Opened(Box::new(journal)),
                Err(epoch) => OwnerEvent::Superseded(epoch),
            };
            events.send(event).ok();
        }
        () = events.closed() => {}
    }
}

/// Stops the owner of a partition that was superseded at epoch `superseded_by`.
pub fn stop_owner(context: &DaemonContext, unit: &UnitId, superseded_by: Epoch) {
    if let Some(owner) = context.partitions.get(unit)
        && owner.epoch < superseded_by
    {
        owner
            .events
            .send(OwnerEvent::Superseded(superseded_by))
            .ok();
    }
}

/// Drains the owner of a partition and sends its state to `successor`.
///
/// Returns whether the successor has accepted it. When it has not, the state is stored, so that the
/// next call can send it to another daemon. An owner that was still reading its journal goes on;
/// any other has stopped in either case.
pub async fn hand_over(
    context: &Arc<DaemonContext>,
    unit: &UnitId,
    successor: &MemberEntry,
) -> bool {
    let Some(handover) = drained_state(context, unit).await else {
        return false;
    };
    let request = PeerRequest::Handover(handover.clone());
    let reply = context
        .call_peer(successor.address, request, HANDOVER_TIMEOUT)
        .await;
    let accepted = matches!(reply.map(|reply| reply.body), Ok(PeerReply::HandoverTaken));
    log::info!(
        "handover of {unit} to {}: accepted {accepted}",
        successor.daemon
    );
    if !accepted {
        context.partitions.keep_handover(handover);
    }
    accepted
}

/// Drains the owner of a partition and returns its state, or the stored state of an owner that has
/// already drained.
async fn drained_state(context: &DaemonContext, unit: &UnitId) -> Option<Handover> {
    let Some(owner) = context.partitions.get(unit) else {
        // The owner has already drained; its state is stored if no successor has accepted it.
        let claim = context.own_claim(unit)?;
        let next = claim.epoch.saturating_add(Epoch::new(1));
        return context.partitions.take_handover(unit, next);
    };
    let (reply, drained) = oneshot::channel();
    owner.events.send(OwnerEvent::HandOver(reply)).ok()?;
    match tokio::time::timeout(DRAIN_REPLY_TIMEOUT, drained).await {
        Ok(Ok(Some(handover))) => Some(handover),
        _ => {
            log::warn!("{unit}: no handover: the owner was not serving or did not drain in time");
            None
        }
    }
}

/// Stores the state that the previous owner sends, for [`start_owner`].
pub fn accept_handover(context: &Arc<DaemonContext>, handover: Handover) -> PeerReply {
    let known = context.claims.get(&handover.unit).map(|claim| claim.epoch);
    if handover.unit.partition().is_none() || known > Some(handover.epoch) {
        return PeerReply::Refused {
            code: ResultCode::NotOwner,
            message: "the epoch of the handover is superseded".into(),
        };
    }
    context.metrics.count(names::PARTITION_HANDOVERS_TAKEN);
    context.partitions.keep_handover(handover);
    PeerReply::HandoverTaken
}
