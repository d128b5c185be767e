//! Decides whether a unit may be claimed.

use magnolia_state::ClaimRecord;
use magnolia_types::{Millis, UnitId};

use crate::context::DaemonContext;
use crate::membership::MemberEntry;

/// Time of failed probes of the owner after which a partition is claimed without a proof of its
/// end. The first failure is recorded only when its probe has already lasted half a second.
const PARTITION_FAILURE_TIME: Millis = Millis::new(1000);
/// Time of failed probes of the owner after which an executor group is claimed without a proof of
/// its end. It is longer than [`MAX_CONFIRMATION_AGE`](super::confirmation::MAX_CONFIRMATION_AGE),
/// so that the old owner has stopped sending.
const GROUP_FAILURE_TIME: Millis = Millis::from_secs(3);

/// Maximum age of the newest answer from any other daemon; above it, this daemon does not trust its
/// failed probes, because its own network may have failed.
const MAX_CONTACT_AGE: Millis = Millis::from_secs(3);

/// Tells whether a unit may be claimed: it has no owner, or the owner has released it, has ended or
/// does not answer probes.
pub fn is_free(context: &DaemonContext, unit: &UnitId) -> bool {
    match context.claims.get(unit) {
        None => true,
        Some(claim) => context.claims.is_released(&claim) || is_ended_or_failing(context, &claim),
    }
}

/// Tells whether the last owner of a unit has certainly stopped, if there was one.
pub fn is_proved_free(context: &DaemonContext, unit: &UnitId) -> bool {
    match context.claims.get(unit) {
        None => true,
        Some(claim) => context.claims.is_released(&claim) || is_proved_ended(context, &claim),
    }
}

fn is_proved_ended(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    if claim.daemon == context.identity.daemon {
        // A claim of an earlier run of this daemon, which has ended: two runs never overlap.
        return claim.incarnation != context.identity.incarnation;
    }
    // Asks the tracker alone: `MemberList::proof_of_end` also makes this daemon probe the owner.
    let proof = context
        .members
        .with_tracker(|tracker| tracker.proof_of_end(&claim.daemon, claim.incarnation));
    proof.is_some()
}

fn is_ended_or_failing(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    let members = &context.members;
    members.record_run(&claim.daemon, claim.incarnation);
    if is_proved_ended(context, claim) {
        return true;
    }
    if claim.daemon == context.identity.daemon {
        return false;
    }
    let listed = members.address_of(&claim.daemon).is_some();
    if members.is_suspect(&claim.daemon) || !listed {
        // Suspicions that other daemons report, and absence from the instance list, only start
        // probes. A claim needs failed probes of this daemon itself.
        members.request_probes(&claim.daemon);
    }
    is_failing(context, claim)
}

/// Tells whether this daemon's own probes of the owner have failed for long enough, while it still
/// reaches another daemon.
fn is_failing(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    let limit = if claim.unit.group().is_some() {
        GROUP_FAILURE_TIME
    } else {
        PARTITION_FAILURE_TIME
    };
    let now = context.clock.now();
    let since = context
        .members
        .with_tracker(|tracker| tracker.failing_since(&claim.daemon));
    let failed_long_enough = since.is_some_and(|since| now.saturating_sub(since) >= limit);
    failed_long_enough
        && context.members.is_suspect(&claim.daemon)
        && has_recent_contact(context, claim, now)
}

/// Tells whether a daemon other than the owner has answered recently, or there is none.
///
/// Without this check, a daemon that reaches the log but no other daemon would claim every unit,
/// and lose them again as soon as the others suspect it.
fn has_recent_contact(context: &DaemonContext, claim: &ClaimRecord, now: Millis) -> bool {
    let mut others = context.members.listed_daemons();
    others
        .retain(|member| member.daemon != context.identity.daemon && member.daemon != claim.daemon);
    let answers = |member: &MemberEntry| {
        let answered = context
            .members
            .with_tracker(|tracker| tracker.answered(&member.daemon));
        answered.is_some_and(|sent| now.saturating_sub(sent) < MAX_CONTACT_AGE)
    };
    others.is_empty() || others.iter().any(answers)
}
