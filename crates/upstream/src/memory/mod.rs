//! Limit on the bytes that a box buffers for its callers and targets.
//!
//! [`MemoryBudget`] counts the bytes of request bodies, from their receipt until no retry needs
//! them, and of responses, from their receipt until the caller has taken them. [`ReaderPolicy`]
//! decides which slow caller is disconnected when the budget is exhausted.

mod budget;
mod bytes;
mod reader_policy;

pub use budget::{MemoryBudget, MemoryUse, OutOfMemory, Reservation};
pub use bytes::ByteCount;
pub use reader_policy::{READER_TIMEOUT, ReaderPolicy};
