//! The entry role: callers' requests to targets, trainers' calls to the shards of jobs.
//!
//! An entry box lets in whom the configuration in force knows, and keeps nothing. It knows the configuration, the targets and who serves which
//! shard, all from followers, and answers every request at once when it gives it up: with a
//! promise that it has not run only where that is certain.

mod admission;
mod answer;
mod isolation;
mod jobs_api;
mod plain;
mod role;
mod search;
mod server;
mod stream;

pub use isolation::ReachDoubt;
pub use role::{EntryListeners, run_entry};
pub use search::{JobPlaces, JobSearch, ShardFault};
