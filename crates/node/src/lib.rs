//! What both roles of a box on the platform share.
//!
//! [`NodeView`] is the box's belief: the configuration in force, the targets, the named model
//! versions, and whether the store answers. Followers keep it current; everything on the request
//! path only reads it. [`call_plain`] sends one plain request, with its retries.

pub mod assignments;
mod choice;
mod clock;
mod ends;
pub mod feed;
pub mod follow;
pub mod logs;
mod metrics;
mod plain;
mod probe;
mod settings;
pub mod sinks;
mod slot;
mod stop;
mod suspects;
mod usage;
mod view;
mod work;

pub use choice::{TargetChoice, WorkRequirements, choose_target};
pub use clock::ClockSource;
pub use ends::record_disconnect;
pub use metrics::{NodeMetrics, StoreCall, log_counters, serve_metrics};
pub use plain::{PlainCall, PlainOutcome, call_plain};
pub use probe::ProbePace;
pub use settings::{
    NodeSettings, RawNodeSettings, RawStorageSettings, SettingsError, StorageSettings,
};
pub use slot::SlotGuard;
pub use stop::wait_for_stop;
pub use suspects::{WorkAdmission, suspect_object, sync_suspects};
pub use usage::{UsageTracker, wall_time};
pub use view::NodeView;
pub use work::{item_work, request_work};
