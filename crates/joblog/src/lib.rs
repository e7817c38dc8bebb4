//! The replicated log of a shard: copies, epochs, and who may write.
//!
//! A shard's log lies on a few boxes. The platform's store holds one [`ShardPlan`] for it: the
//! epoch, the box that serves the shard, and the boxes with a copy. A plan changes by conditional
//! write only, and each new plan has a new epoch with a higher token and new files.
//!
//! Three rules keep what was acknowledged:
//!
//! 1. A record is acknowledged once **all** copies of the plan's epoch have it on disk.
//! 2. A copy takes appends only while its epoch is open there. A box closes its copy before it
//!    reads it to serve the shard itself, and a restarted box never opens an old epoch again. So
//!    one closed copy stops the earlier server.
//! 3. A new plan is written only after all of its copies hold everything that the closed copy
//!    held, and the write is conditional on the plan that was read.
//!
//! Two boxes may both try: the store takes one plan, and each of the two candidates holds all
//! that was acknowledged, so either may win. No clock is compared anywhere.

mod copy;
mod duty;
mod former;
mod layout;
mod plan;
mod record;
mod standby;

pub use copy::{CopyError, CopyFolder, LogCopyFile};
pub use duty::{
    LEAVING_PATIENCE, RESTART_PATIENCE, TAKEOVER_TIMEOUT, TakeoverDecision, TakeoverPreference,
    TakeoverView, choose_healthy_partners, choose_partners, decide_takeover, rank_initial_servers,
    shard_of, shard_of_job,
};
pub use former::{EpochTakeover, PlanWriteOutcome, TakeoverError, TakeoverStep, VersionedPlan};
pub use layout::ShardLayout;
pub use plan::{EpochError, EpochId, ShardPlan, StorageBox};
pub use record::{decode_records, encode_record};
pub use standby::active_boxes;
