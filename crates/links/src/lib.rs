//! Connections between boxes.
//!
//! Each TCP connection multiplexes many calls. [`LinkPool`] opens connections on demand and makes
//! calls; [`serve_links`] accepts connections and passes each request to a [`PeerHandler`]. The
//! accepting side first authenticates its peer with the deployment key. A response is complete
//! only after its explicit end frame has been verified.
//!
//! A failed call is either guaranteed not to have been sent ([`CallError::NotSent`]) or may have
//! run ([`CallError::Broken`], [`CallError::LinkLost`]).

mod error;
mod liveness;
mod pool;
mod response;
mod server;
mod shard;

pub use error::CallError;
pub use liveness::{LinkAction, LinkLiveness};
pub use pool::{LinkPool, LinkSettings};
pub use response::{ResponseEnd, ResponseSink, ResponseStream};
pub use server::{PeerHandler, serve_links};
