//! Judges whether a unit may be claimed.

use magnolia_state::ClaimRecord;
use magnolia_types::{Millis, UnitId};

use crate::context::DaemonContext;
use crate::membership::MemberEntry;

/// Time of failed probes after which a partition is claimed without a proof; the first failure is
/// noted when its probe has already lasted half a second.
const PARTITION_FAILING: Millis = Millis::new(1000);
/// Time of failed probes after which an executor group is claimed without a proof. Longer than the
/// freshness rule, so that the old owner has stopped sending.
const GROUP_FAILING: Millis = Millis::from_secs(3);

/// Age of the last answer of any other daemon within which this daemon trusts its own probes.
const CONTACT_AGE: Millis = Millis::from_secs(3);

/// Tells whether a unit has no owner that could still act, as far as claims go.
pub fn is_free(context: &DaemonContext, unit: &UnitId) -> bool {
    match context.claims.get(unit) {
        None => true,
        Some(claim) => context.claims.is_released(&claim) || has_ended(context, &claim),
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
        // An earlier run of this daemon; two runs never overlap.
        return claim.incarnation != context.identity.incarnation;
    }
    // Asks the tracker alone: `MemberList::proof_of_end` also makes this daemon probe the owner.
    let proof = context
        .members
        .with_tracker(|tracker| tracker.proof_of_end(&claim.daemon, claim.incarnation));
    proof.is_some()
}

fn has_ended(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    let members = &context.members;
    members.learn(&claim.daemon, claim.incarnation);
    if is_proved_ended(context, claim) {
        return true;
    }
    if claim.daemon == context.identity.daemon {
        return false;
    }
    let listed = members.address_of(&claim.daemon).is_some();
    if members.is_suspect(&claim.daemon) || !listed {
        // Reports and the list only start probes; a claim needs evidence of this daemon's own.
        members.note_interest(&claim.daemon);
    }
    is_failing(context, claim)
}

fn is_failing(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    let limit = if claim.unit.group().is_some() {
        GROUP_FAILING
    } else {
        PARTITION_FAILING
    };
    let now = context.clock.now();
    let since = context
        .members
        .with_tracker(|tracker| tracker.failing_since(&claim.daemon));
    let lasted = since.is_some_and(|since| now.saturating_sub(since) >= limit);
    lasted && context.members.is_suspect(&claim.daemon) && has_contact(context, claim, now)
}

/// Tells whether another daemon has answered lately, if there are further ones to ask.
///
/// A daemon that reaches the log but no other daemon would otherwise take every unit, to lose them
/// again as soon as the others suspect it.
fn has_contact(context: &DaemonContext, claim: &ClaimRecord, now: Millis) -> bool {
    let mut others = context.members.listed_daemons();
    others
        .retain(|member| member.daemon != context.identity.daemon && member.daemon != claim.daemon);
    let answers = |member: &MemberEntry| {
        let answered = context
            .members
            .with_tracker(|tracker| tracker.answered(&member.daemon));
        answered.is_some_and(|sent| now.saturating_sub(sent) < CONTACT_AGE)
    };
    others.is_empty() || others.iter().any(answers)
}
