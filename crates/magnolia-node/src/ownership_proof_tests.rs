//! Tests of the evidence for ownership.

use magnolia_scheduler::SchedulerSettings;
use magnolia_types::Millis;

use crate::ownership_proof::{EvidenceSource, OwnershipProof};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Defines a test that starts from a proof that was confirmed at 1000 ms. Evidence counts for 2 s,
/// and that of witnesses for 60 s after the store has answered.
macro_rules! proof_test {
    ($(#[$meta:meta])* $name:ident, $body:expr) => {
        $(#[$meta])*
        #[test]
        fn $name() {
            let check: fn(OwnershipProof) = $body;
            let settings = SchedulerSettings::new(at(6000));
            check(OwnershipProof::new(at(1000), &settings));
        }
    };
}

proof_test!(
    /// Guards against orders on evidence that is older than the next owner assumes.
    evidence_expires,
    |proof| {
        assert_eq!(proof.source(at(3000), false), EvidenceSource::Store);
        assert_eq!(proof.source(at(3001), false), EvidenceSource::None);
    }
);

proof_test!(
    /// Guards against leases that expire during an outage of the store although most executors
    /// accept the epoch.
    witnesses_count_while_the_store_is_unavailable,
    |mut proof| {
        assert_eq!(proof.source(at(3500), false), EvidenceSource::None);
        proof.attest(at(2900));
        assert_eq!(proof.source(at(3000), false), EvidenceSource::Store);
        assert_eq!(proof.source(at(4900), false), EvidenceSource::Witnesses);
        assert_eq!(proof.source(at(4901), false), EvidenceSource::None);
    }
);

proof_test!(
    /// Guards against an owner that goes on for longer than a next owner waits that reaches few
    /// executors.
    witnesses_count_for_a_limited_time_without_the_store,
    |mut proof| {
        proof.attest(at(61_000));
        assert_eq!(proof.source(at(61_000), false), EvidenceSource::Witnesses);
        assert_eq!(proof.source(at(61_001), false), EvidenceSource::None);
        proof.confirm(at(60_000));
        assert_eq!(proof.source(at(61_001), false), EvidenceSource::Store);
    }
);

proof_test!(
    /// Guards against an answer that was received before a pause and is read after it.
    evidence_counts_from_the_time_of_the_call,
    |mut proof| {
        // The process is paused from 1100 ms to 5000 ms and then reads what has arrived.
        proof.attest(at(1050));
        proof.confirm(at(1080));
        assert_eq!(proof.check_pause(at(5000)), Some(at(4000)));
        assert_eq!(proof.source(at(5000), false), EvidenceSource::None);
        proof.confirm(at(5001));
        assert_eq!(proof.source(at(5002), false), EvidenceSource::Store);
    }
);

proof_test!(
    /// Guards against an owner that goes on by its witnesses while an executor knows a later owner.
    only_the_store_counts_against_a_higher_epoch,
    |mut proof| {
        proof.attest(at(3500));
        assert_eq!(proof.source(at(4000), false), EvidenceSource::Witnesses);
        assert_eq!(proof.source(at(4000), true), EvidenceSource::None);
        proof.confirm(at(3900));
        assert_eq!(proof.source(at(4000), true), EvidenceSource::Store);
    }
);
