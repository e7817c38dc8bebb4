//! The keeping role: shards of jobs, their logs, runs of items, orders to engines.
//!
//! A box with a disk may serve some shards and hold copies of others' logs. For each shard a
//! [`ShardKeeper`] follows the plan in the store and serves the shard while the plan names this
//! box. The box that serves the shard of a service's name also orders that service's engines to
//! load weights, and the one that serves the shard of the accounts speaks to these: reports of use, orders of
//! replicas. Each such duty is one box's at a time, under a lease (`claim.rs`).

mod account;
mod accounts;
mod claim;
mod conductor;
mod context;
mod copies;
mod copying;
mod dispatch;
mod followers;
mod forming;
mod handler;
mod keeper;
mod keepers;
mod loads;
mod log_writer;
mod order;
mod peers;
mod replicas;
mod reports;
mod reward;
mod role;
mod run;
mod run_reason;
mod work;

pub use context::ShardContext;
pub use keeper::ShardKeeper;
pub use loads::{LoadBoard, hear_loads};
pub use role::run_storage;
