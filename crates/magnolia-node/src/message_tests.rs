//! Property tests of the messages between daemons and of the stored claims: damaged ones are
//! rejected and never panic.

use magnolia_bench::property_test;
use magnolia_types::{DaemonId, Epoch, Incarnation};

use crate::membership::{CellView, MemberRecord, OwnerClaim, claim_record, member_record};
use crate::peer_messages::{PeerReply, PeerRequest, PingReply, PingRequest, StoreCall};
use crate::ports::{AppendCondition, StreamName, StreamRecord};

/// Number of inputs of each property.
const INPUTS: u64 = 5000;

fn member() -> MemberRecord {
    MemberRecord {
        name: DaemonId::new("edge-1").expect("valid name"),
        address: "127.0.0.1:80".parse().expect("an address"),
        incarnation: Incarnation::new(7),
        weight: 250,
        memory_bytes: Some(260_000_000),
    }
}

/// Replaces bytes of a message.
fn damage(mut bytes: Vec<u8>, changes: &[(u16, u8)]) -> Vec<u8> {
    for (position, byte) in changes {
        let position = usize::from(*position) % bytes.len();
        bytes[position] = *byte;
    }
    bytes
}

/// Guards the listener for other daemons.
#[test]
fn damaged_messages_of_daemons_are_rejected() {
    fn property(changes: Vec<(u16, u8)>) -> bool {
        let requests = [
            PeerRequest::Ping(PingRequest {
                name: member().name,
                incarnation: Incarnation::new(7),
                epoch: Epoch::new(3),
                stopping: false,
            }),
            PeerRequest::Store(StoreCall::Append {
                stream: StreamName::Jobs,
                records: vec![StreamRecord {
                    key: "key".into(),
                    value: vec![1, 2, 3],
                }],
                condition: AppendCondition::Always,
            }),
            PeerRequest::TakeOver(Epoch::new(3)),
        ];
        for request in requests {
            let bytes = rmp_serde::to_vec(&request).expect("encoded");
            let _ = rmp_serde::from_slice::<PeerRequest>(&damage(bytes, &changes));
        }
        let reply = PeerReply::Ping(PingReply {
            incarnation: Incarnation::new(7),
            owned: Some(Epoch::new(3)),
            stopping: false,
            live: vec![member().name],
            version: magnolia_scheduler::CellVersion::new(2),
        });
        let bytes = rmp_serde::to_vec(&reply).expect("encoded");
        let _ = rmp_serde::from_slice::<PeerReply>(&damage(bytes, &changes));
        true
    }
    property_test(INPUTS).quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}

/// Guards the stream of claims: a damaged record leaves the known owner in place, and the next
/// claim can be made.
#[test]
fn damaged_claims_are_skipped() {
    fn property(changes: Vec<(u16, u8)>) -> bool {
        let mut view = CellView::default();
        let claim = OwnerClaim::new(member(), None, 1000);
        let records = [
            member_record(&member()).expect("encoded"),
            claim_record(&claim).expect("encoded"),
        ];
        for mut record in records {
            record.value = damage(record.value, &changes);
            view.apply(&record);
        }
        view.candidates();
        let next = OwnerClaim::new(member(), view.owner.as_ref(), u64::MAX);
        view.owner.is_none_or(|owner| next.epoch > owner.epoch)
    }
    property_test(INPUTS).quickcheck(property as fn(Vec<(u16, u8)>) -> bool);
}
