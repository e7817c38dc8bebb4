//! Messages between boxes and their framing.
//!
//! One length-delimited frame carries one [`peer::Frame`]. A connection begins with a challenge,
//! which the connecting side answers with a MAC under the deployment's key. Each call has a
//! number. Its response consists of any number of items and exactly one end frame, which states
//! the number of items, their encoded length and digest. A response without an end frame is an
//! error.

mod auth;
mod checksum;
mod codec;
mod convert;

/// Generated message types.
#[expect(
    missing_docs,
    clippy::pedantic,
    clippy::empty_structs_with_brackets,
    reason = "generated from proto/peer.proto"
)]
pub mod peer {
    include!("generated/gannetway.peer.rs");
}

pub use auth::{DeploymentKey, KeyError};
pub use checksum::{ChecksumMismatch, ResponseChecksum};
pub use codec::{CodecError, FrameCodec, MAX_FRAME};
pub use convert::{ConvertError, heartbeat_from_wire, heartbeat_to_wire, parse_id};
