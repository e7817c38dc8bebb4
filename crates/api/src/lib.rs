//! JSON messages that trainers, callers and operators exchange with the service over HTTP.
//!
//! Shared by the daemon, the client library of trainers and the command-line tool. Every refusal
//! is an [`ErrorBody`] that says whether the work ran, what to do and when to retry.

mod error;
mod operator;
mod step;

pub use error::{ErrorBody, ErrorKind};
pub use operator::{
    AppliedBody, BoxStatus, HomeStatus, KeeperStatus, PeerStatus, PoolsBody, RolloutStatus,
};
pub use step::{AdvanceBody, CloseBody, OpenBody, PullBody, PullResponse, StepState};

/// Request header: whether a plain request is repeatable, `true` or `false`. Without it, only
/// requests with a safe HTTP method are.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Request header: time limit of the caller, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Response header: digest of the response body.
pub const DIGEST_HEADER: &str = "x-body-digest";
/// Header that carries the request ID on every hop.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
