//! When the prober is woken.

use futures_util::FutureExt;
use magnolia_types::DaemonId;

use crate::clock::DaemonClock;
use crate::membership::MemberList;

/// Guards against a candidate that learns of an owner's end so late that the next one claims too,
/// and against probes without end for an owner that is asked about again and again.
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
