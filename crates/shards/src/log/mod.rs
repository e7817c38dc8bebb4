//! The logs of shards: copies on this box's disk, changes of epoch, appends to all copies, and pulls
//! of missing sealed segments.

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
