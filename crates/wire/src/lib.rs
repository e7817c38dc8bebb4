//! Messages between boxes and their framing.
//!
//! One length-delimited frame carries one [`peer::Frame`]. A connection begins with a
//! challenge and its proof under the deployment's key. Each call has a number; its answer is
//! any count of items and exactly one end, which states how many items there were, their
//! encoded length and digest. An answer without that end is an error, never a short success.

mod auth;
mod codec;
mod convert;
mod tally;

/// The generated messages.
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
pub use codec::{CodecError, FrameCodec, MAX_FRAME};
pub use convert::{ConvertError, heartbeat_from_wire, heartbeat_to_wire, parse_id};
pub use tally::{ChecksumMismatch, ResponseChecksum};
