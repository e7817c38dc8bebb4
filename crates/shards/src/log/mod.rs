//! The logs of shards: copies on this box's disk, new segments, appends to all copies.

pub mod copies;
pub mod copying;
pub mod epoch_change;
pub mod fetch;
pub mod held;
pub mod log_writer;
pub mod plan_store;
pub mod repair;
pub mod retry_delay;
pub mod segment_read;
