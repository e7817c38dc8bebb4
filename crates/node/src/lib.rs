//! What both roles of a box on the platform share.
//!
//! [`NodeView`] is the box's belief: the configuration in force, the targets, the named model
//! versions, and whether the store answers. Followers keep it current; everything on the request
//! path only reads it. [`call_plain`] sends one plain request, with its retries.

mod choice;
mod clock;
pub mod duties;
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

pub use choice::{TargetChoice, WorkNeed, choose_target};
pub use clock::ClockSource;
pub use ends::note_break;
pub use metrics::{NodeMetrics, StoreCall, serve_metrics, tell_counts};
pub use plain::{PlainCall, PlainEnd, call_plain};
pub use probe::ProbePace;
pub use settings::{
    NodeSettings, RawNodeSettings, RawStorageSettings, SettingsError, StorageSettings,
};
pub use slot::RunningSlot;
pub use stop::wait_for_stop;
pub use suspects::{WorkGate, keep_suspects, suspect_object};
pub use usage::{UsageBoard, wall_time};
pub use view::NodeView;
pub use work::{item_work, request_work};
