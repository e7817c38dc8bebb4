//! The storage role: shards of jobs, their logs, runs of items, orders to engines.
//!
//! A box with a disk serves some shards and holds copies of the logs of others. For each shard a
//! [`ShardKeeper`] follows the plan in the store and serves the shard while the plan names this
//! box. The server of the shard to which a service's name maps also orders that service's engines
//! to load weights. The server of the shard of the accounting lease sends usage reports and
//! replica orders. One box at a time does each of these, under a lease (`claim.rs`). Without a
//! lease, any storage box grants permits for services that are short of slots (`admission.rs`).

mod accounting;
mod admission;
mod backlog;
mod claim;
mod context;
mod dispatch;
mod engine_assignments;
mod handler;
mod hosts;
mod job_order;
mod keeper;
mod keepers;
mod loads;
mod log;
mod order;
mod peers;
mod plan_update;
mod replicas;
mod reports;
mod reward;
mod role;
mod rollout;
mod run;
mod run_reason;
mod takeover;
mod timings;

pub use backlog::BacklogTable;
pub use context::ShardContext;
pub use job_order::UrgencyTable;
pub use keeper::ShardKeeper;
pub use loads::{LoadTable, apply_loads};
pub use log::held::HeldReport;
pub use role::run_storage;
