//! Code shared by the two roles of a box on the platform: entry boxes and storage boxes.
//!
//! [`NodeView`] is the box's state: the configuration in force, the targets, the named model
//! versions, and whether the store responds. Watchers keep it up to date; the request path only
//! reads it. [`call_plain`] sends one plain request, with its retries.

mod admission;
pub mod assignments;
mod choice;
mod clock;
mod disconnects;
pub mod feed;
pub mod follow;
pub mod logs;
mod metrics;
mod plain;
mod probe;
mod regions;
mod reload;
mod setting_text;
mod settings;
mod settings_file;
pub mod sinks;
mod slot;
mod stop;
mod suspects;
mod target_speed;
mod usage;
mod view;
mod work;

pub use self::admission::{
    AdmissionClient, AdmissionMode, AdmissionModeError, AdmissionRefusal, PERMIT_SERVED, Permit,
};
pub use choice::{TargetChoice, WorkRequirements, choose_target};
pub use clock::ClockSource;
pub use disconnects::record_disconnect;
pub use metrics::{NodeMetrics, StoreCall, log_counters, serve_metrics};
pub use plain::{
    CONNECT_MARGIN, MIN_CONNECT_TIME, NO_TARGET_IN_REGIONS, PlainCall, PlainOutcome, call_plain,
    reuse_policy,
};
pub use probe::ProbeBackoff;
pub use regions::{ParentRequest, job_scope};
pub use reload::{LiveSettings, ReloadableSettings, SettingChange, SettingsReloader};
pub use settings::{
    JobOrder, NodeSettings, RawNodeSettings, RawStorageSettings, SettingsError, StorageSettings,
};
pub use settings_file::{
    FileStamp, KnownSetting, add_file_values, file_stamp, known_settings, named_settings_file,
    parse_settings_file, read_settings_file,
};
pub use slot::SlotGuard;
pub use stop::wait_for_stop;
pub use suspects::{WorkAdmission, suspect_object, sync_suspects};
pub use target_speed::record_choice;
pub use usage::{UsageTracker, wall_time};
pub use view::NodeView;
pub use work::{item_work, request_work};
