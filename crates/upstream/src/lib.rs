//! Connections to targets: one request at a time on each, none reused after a surprise.
//!
//! A connection goes back to the pool only when its answer came whole, belonged to the request,
//! was a success, and neither side wants to close. Anything else (an answer to another request,
//! bytes that nobody asked for, an error, a break) closes it, so that late bytes of one request
//! can never be taken for the answer to another.

mod answer;
mod limit;
mod pool;

pub use answer::{FullResponse, TargetResponse, keep_time};
pub use limit::{ConnectionLimit, ConnectionPlace};
pub use pool::{PortState, SendError, TargetPool};
