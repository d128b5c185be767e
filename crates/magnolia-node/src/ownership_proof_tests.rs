//! Tests of the evidence for ownership.

use magnolia_types::Millis;

use crate::ownership_proof::OwnershipProof;

const LIMIT: Millis = Millis::new(2000);

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Defines a test that starts from a proof that was confirmed at 1000 ms.
macro_rules! proof_test {
    ($(#[$meta:meta])* $name:ident, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let check: fn(OwnershipProof) = $body;
            check(OwnershipProof::new(at(1000), LIMIT));
        }
    };
}

proof_test!(
    /// Guards against orders on evidence that is older than the next owner assumes.
    evidence_expires,
    |proof| {
        assert!(proof.allows_orders(at(3000), false, false));
        assert!(!proof.allows_orders(at(3001), false, false));
    }
);

proof_test!(
    /// Guards against leases that expire during an outage of the store although peers are in
    /// contact.
    pings_count_while_the_store_is_unavailable,
    |mut proof| {
        proof.record_echo(at(2900));
        assert!(proof.allows_orders(at(4900), false, false));
        assert!(!proof.allows_orders(at(4901), false, false));
    }
);

proof_test!(
    /// Guards against a ping or an answer that was received before a pause and is read after it.
    evidence_counts_from_the_time_of_the_call,
    |mut proof| {
        // The process is paused from 1100 ms to 5000 ms and then reads what has arrived.
        proof.record_echo(at(1050));
        proof.confirm(at(1080));
        proof.check_pause(at(5000));
        assert!(!proof.allows_orders(at(5000), false, false));
        proof.confirm(at(5001));
        assert!(proof.allows_orders(at(5002), false, false));
    }
);

proof_test!(
    /// Guards against a daemon that stops its own work because it is the only one.
    the_only_member_needs_no_evidence,
    |mut proof| {
        for ms in (1000..9000).step_by(100) {
            proof.check_pause(at(ms));
            assert!(proof.allows_orders(at(ms), true, false));
        }
    }
);

proof_test!(
    /// Guards against a daemon that was paused while another one registered and claimed ownership.
    the_only_member_needs_evidence_after_a_pause,
    |mut proof| {
        assert!(!proof.allows_orders(at(9000), true, false), "before the next check");
        proof.check_pause(at(9000));
        assert!(!proof.allows_orders(at(9100), true, false));
        proof.check_pause(at(9200));
        proof.confirm(at(9001));
        assert!(proof.allows_orders(at(9200), true, false));
    }
);

/// Guards against an owner that goes on by the evidence of its peers while an executor knows a later
/// owner that neither the owner nor its peers know of.
#[test]
fn only_the_store_counts_against_a_higher_epoch() {
    let mut proof = OwnershipProof::new(at(1000), LIMIT);
    proof.record_echo(at(3500));
    assert!(proof.allows_orders(at(4000), false, false));
    assert!(!proof.allows_orders(at(4000), false, true));
    assert!(!proof.allows_orders(at(4000), true, true));
    proof.confirm(at(3900));
    assert!(proof.allows_orders(at(4000), false, true));
}
