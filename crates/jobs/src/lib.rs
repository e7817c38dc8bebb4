//! Jobs: items, attempts, positions and results, without I/O.
//!
//! A [`JobTable`] holds the jobs of one shard. Durable state changes only through log records:
//! a job is accepted, a result is listed at its position, a job ends. The caller appends each
//! record to every copy of the shard's log and then calls [`JobTable::apply`]. Replaying a log
//! gives the same table. Volatile state (running items, incomplete text) changes directly through
//! [`JobTable::start_ready`], [`JobTable::run_ended`] and [`JobTable::scored`], and may be lost
//! with the box.
//!
//! A result can be read only after its record was applied, so every position that a reader has
//! seen is on every copy.

mod due_order;
mod groups;
mod item;
mod length;
mod order;
mod packed;
mod reads;
mod reward_plan;
mod scheduling;
mod segments;
mod snapshot;
mod state;
mod table;
mod trace;
mod trainers;
mod urgency;
mod yielding;

pub use due_order::{ModelDemand, StartOrder};
pub use item::{ItemRef, LossReason, RewardOutcome, RunEvent, RunOutcome, RunResult, RunSpec};
pub use length::LengthForecast;
pub use order::run_order;
pub use packed::{UnpackError, pack_text, unpack_text};
pub use reads::{JobCounts, ResultsPage, StepInfo};
pub use reward_plan::RewardHedgePlan;
pub use segments::MovedRecord;
pub use snapshot::{SnapshotCursor, SnapshotPiece};
pub use table::JobTable;
pub use trace::{BlockReason, ItemTimings, StepSlack, StepTimings};
pub use urgency::{GroupStanding, JobStanding, Urgency};
pub use yielding::{SlotYield, UrgencyReports};

/// Short names of the reasons why a shard's server refuses a call.
pub mod reason {
    /// The job is unknown or was dropped.
    pub const NO_JOB: &str = "no_job";
    /// The job has no such item.
    pub const NO_ITEM: &str = "no_item";
    /// The shard is full.
    pub const FULL: &str = "full";
    /// The id is used by a job of another customer.
    pub const TAKEN: &str = "id_taken";
}
