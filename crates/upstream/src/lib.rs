//! HTTP connections to targets, with one request at a time on each.
//!
//! A connection returns to the pool only if its response was complete, belonged to the request and
//! was a success, or a refusal that the [`ReusePolicy`] allows, and neither side wants to close the
//! connection. In all other cases (a response to another request, unexpected bytes, an error, a
//! disconnect) the connection is closed. Late bytes of one request are thus never mistaken for the
//! response to another.
//!
//! A request is not sent again on the connection on which it was answered or refused (module
//! `request_tag`): the target may answer it there a second time, late. For a while after a
//! response to another request, each connection to its target carries a single request.
//!
//! Bytes that a target sends without end are read up to a limit (module `read_limit`); then the
//! connection is closed and the request fails.
//!
//! Bytes of responses are reserved in the box's [`MemoryBudget`] while they are buffered.

mod connection;
mod limit;
mod memory;
mod pool;
mod read_limit;
mod request_tag;
mod response;

pub use limit::{ConnectionLimit, ConnectionPermit};
pub use memory::{
    ByteCount, MemoryBudget, MemoryUse, OutOfMemory, READER_TIMEOUT, ReaderPolicy, Reservation,
};
pub use pool::{PortState, SendError, TargetPool};
pub use response::{FullResponse, ReadError, ReusePolicy, TargetResponse, keep_alive_time};
