//! Evidence from other parts of the daemon: proofs that daemons have ended, confirmations of
//! claims.

use magnolia_state::ClaimRecord;
use magnolia_types::{DaemonId, Incarnation, Millis};

use crate::context::DaemonContext;
use crate::ownership::ConfirmationSource;

/// Returns when it was proved that the run of a daemon with this incarnation has ended, on this
/// daemon's clock; `None` if there is no proof.
pub fn proof_of_end(
    context: &DaemonContext,
    daemon: &DaemonId,
    incarnation: Incarnation,
) -> Option<Millis> {
    let own = &context.identity;
    if *daemon == own.daemon && incarnation == own.incarnation {
        // The earlier owner ran in this process, which tells it to stop before the next one starts.
        return Some(context.clock.now());
    }
    context.members.proof_of_end(daemon, incarnation)
}

/// Asks whether a claim is still the current one; returns who confirmed it.
pub async fn confirm_claim(
    context: &DaemonContext,
    claim: &ClaimRecord,
) -> Option<ConfirmationSource> {
    let source = context.confirmation_source(&claim.unit).await?;
    let current = context.own_claim(&claim.unit)?;
    (current.epoch == claim.epoch).then_some(source)
}
