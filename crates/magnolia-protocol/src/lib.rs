//! The protocol between daemons: MessagePack messages over HTTP.

mod client;
mod codec;
mod message;

pub use client::{PeerClient, PeerError};
pub use codec::{CodecError, decode, encode};
pub use message::{
    Handover, INNER_PATH, JobOperation, JobReply, JobView, PROTOCOL_VERSION, PeerEnvelope,
    PeerReply, PeerRequest, PingReply, QuickForward, QuickOutcome, SupersededClaim, SuspectReport,
    TaskCounts,
};
