//! Connections between boxes.
//!
//! One TCP connection carries many calls. [`LinkPool`] opens connections on demand and makes
//! calls; [`serve_links`] accepts them and hands each request to a [`PeerHandler`]. Both ends
//! check the deployment's key first, and an answer counts as whole only after its explicit
//! end has been checked.
//!
//! The pool says whether a failed call was surely not sent ([`CallError::NotSent`]) or may
//! have run ([`CallError::Broken`]).

mod answer;
mod error;
mod pool;
mod pulse;
mod server;
mod shard;

pub use answer::{ResponseEnd, ResponseSink, ResponseStream};
pub use error::CallError;
pub use pool::{LinkPool, LinkSettings};
pub use pulse::{LinkPulse, PulseStep};
pub use server::{PeerHandler, serve_links};
