//! What trainers, callers and operators send and receive over HTTP, as JSON.
//!
//! Shared by the daemon, the trainer's client library and the command-line tool. Every refusal
//! is an [`ErrorBody`] that says whether the work ran, what to do, and when to come back.

mod error;
mod operator;
mod step;

pub use error::{ErrorBody, ErrorKind};
pub use operator::{
    AppliedBody, BoxStatus, HomeStatus, KeeperStatus, PeerStatus, PoolsBody, RolloutStatus,
};
pub use step::{AdvanceBody, CloseBody, OpenBody, PullBody, PullResponse, StepState};

/// Header that marks a plain request as repeatable (`true`) or not (`false`, the default).
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Header that states the time a caller allows, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header of an answer that carries the digest of its body.
pub const DIGEST_HEADER: &str = "x-body-digest";
/// Header that names the request on every hop.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
