//! What other parts of the daemon say about claims and the ends of daemons.

use bytes::Bytes;
use magnolia_protocol::decode;
use magnolia_state::{ClaimChange, ClaimRecord, ClaimTable};
use magnolia_types::{DaemonId, Incarnation, LogOffset, Millis};

use crate::context::DaemonContext;

const CLAIM_STREAM: &str = "claims";
const READ_RECORDS: usize = 256;

/// Returns when the end of a run of a daemon was proved, on this daemon's clock.
pub fn proof_of_end(
    context: &DaemonContext,
    daemon: &DaemonId,
    incarnation: Incarnation,
) -> Option<Millis> {
    // Without evidence from the members, only this process knows about itself.
    let is_self = *daemon == context.identity.daemon && incarnation == context.identity.incarnation;
    is_self.then(|| context.clock.now())
}

/// Tells whether a claim is current by the newest records of the stream of claims.
pub async fn confirm_claim(context: &DaemonContext, claim: &ClaimRecord) -> bool {
    let mut table = ClaimTable::new();
    let mut next = LogOffset::new(0);
    loop {
        let page = context
            .log
            .read(CLAIM_STREAM, next, Millis::new(0), READ_RECORDS)
            .await;
        let Ok(page) = page else {
            return false;
        };
        let Some(last) = page.records.last() else {
            return table.get(&claim.unit) == Some(claim);
        };
        next = last.offset.saturating_add(LogOffset::new(1));
        let records: Vec<Bytes> = page.records.into_iter().map(|record| record.data).collect();
        let changes = records
            .iter()
            .filter_map(|data| decode::<ClaimChange>(data).ok());
        changes.for_each(|change| {
            table.apply(&change);
        });
    }
}
