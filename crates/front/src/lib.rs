//! The entry role: forwards callers' requests to targets and trainers' calls to the job shards.
//!
//! An entry box authenticates callers by the active configuration and stores no data. It tracks the
//! configuration, the targets and the assignments of shards to boxes. When it gives up a request it
//! responds immediately, and says that the request did not run only if that is certain.

mod admission;
mod caller_stream;
mod callers;
mod isolation;
mod jobs_api;
mod plain;
mod response;
mod role;
mod search;
mod server;
mod stream;
mod stream_copy;

pub use isolation::ReachabilityAlarm;
pub use role::{EntryListeners, run_entry};
pub use search::{JobLocations, JobSearch, ShardFault};
