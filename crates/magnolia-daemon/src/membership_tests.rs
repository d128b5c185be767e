//! Tests when requests for probes wake the prober.

use futures_util::FutureExt;
use magnolia_types::DaemonId;

use crate::clock::DaemonClock;
use crate::membership::MemberList;

/// Guards against a candidate that learns of an owner's end so late that the next candidate claims
/// too, and against a new round of probes for each of many requests about one owner.
#[test]
fn only_new_probe_requests_wake_the_prober() {
    let members = MemberList::new(DaemonClock::new());
    let owner = DaemonId::new("d0").expect("a name");
    assert!(members.new_probe_request().now_or_never().is_none());
    members.request_probes(&owner);
    assert!(members.new_probe_request().now_or_never().is_some());
    members.request_probes(&owner);
    assert!(members.new_probe_request().now_or_never().is_none());
}
