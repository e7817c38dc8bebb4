//! Jobs: items, attempts, positions and results, without I/O.
//!
//! A [`JobTable`] holds the jobs of one shard. It changes by two ways only. What must survive a
//! lost box goes through log records: a job taken, a result listed at its position, a job ended.
//! The shell appends each record to every copy of the shard's log and then calls
//! [`JobTable::apply`]; replaying a log gives the same book. What may be lost with a box (which
//! item runs where, text that is not whole yet) changes directly, through [`JobTable::start`],
//! [`JobTable::run_ended`] and [`JobTable::scored`].
//!
//! A result can be read only after its record was applied, so a position that anybody has seen
//! is on every copy.

mod book;
mod item;
mod order;
mod packed;
mod reads;
mod reward_plan;
mod snapshot;
mod state;
mod trace;
mod turns;

pub use book::JobTable;
pub use item::{ItemRef, LossReason, RewardOutcome, RunEvent, RunOutcome, RunResult, RunSpec};
pub use order::run_order;
pub use packed::{UnpackError, pack_text, unpack_text};
pub use reads::{JobCounts, ResultsPage, StepNames};
pub use reward_plan::RewardHedgePlan;
pub use snapshot::{SnapshotCursor, SnapshotPiece};
pub use trace::{BlockReason, ItemTimings, StepTimings};

/// Short names of the reasons for which a shard's server refuses a call.
pub mod reason {
    /// The job is not held, and never was or is dropped.
    pub const NO_JOB: &str = "no_job";
    /// The job has no such item.
    pub const NO_ITEM: &str = "no_item";
    /// The shard is full.
    pub const FULL: &str = "full";
    /// Another customer's job has the id.
    pub const TAKEN: &str = "id_taken";
}
