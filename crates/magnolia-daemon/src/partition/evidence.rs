//! What other parts of the daemon say about claims and the ends of daemons.

use magnolia_state::ClaimRecord;
use magnolia_types::{DaemonId, Incarnation, Millis};

use crate::context::DaemonContext;
use crate::ownership::ConfirmationSource;

/// Returns when the end of a run of a daemon was proved, on this daemon's clock.
pub fn proof_of_end(
    context: &DaemonContext,
    daemon: &DaemonId,
    incarnation: Incarnation,
) -> Option<Millis> {
    let own = &context.identity;
    if *daemon == own.daemon && incarnation == own.incarnation {
        // The earlier owner ran in this process and was stopped before the next one started.
        return Some(context.clock.now());
    }
    context.members.proof_of_end(daemon, incarnation)
}

/// Returns who confirms that the claim of an owner is still the current one.
pub async fn confirm_claim(
    context: &DaemonContext,
    claim: &ClaimRecord,
) -> Option<ConfirmationSource> {
    let source = context.confirmation_source(&claim.unit).await?;
    let current = context.own_claim(&claim.unit)?;
    (current.epoch == claim.epoch).then_some(source)
}
