//! The replicated log of a shard: copies, epochs, and write authority.
//!
//! A shard's log is replicated on several boxes. The platform's store holds one [`ShardPlan`] per
//! shard: the epoch, the box that serves the shard, the boxes with a copy, and the sealed segments of
//! earlier epochs. A plan changes only by conditional write. A change of epoch has a higher token and
//! opens a new segment, which is a new file on each box. An update of the sealed segments (their
//! holders, or those no longer needed) keeps the epoch.
//!
//! Three rules preserve acknowledged records:
//!
//! 1. A record is acknowledged once **all** copies of the plan's epoch have it on disk.
//! 2. A copy accepts appends only while its epoch is open on that box. A box closes its copy
//!    before it reads it to serve the shard itself, and a restarted box never reopens an old
//!    epoch. One closed copy is therefore enough to stop the previous server.
//! 3. The plan of a new epoch is written only after each record of the closed copy that jobs in
//!    memory need is either in a sealed segment, which all boxes that the segment names have, or on
//!    all copies of the new epoch. The write is conditional on the plan that was read.
//!
//! If two boxes attempt a takeover, the store accepts one plan. Both plans include all acknowledged
//! records, so either may win. The protocol compares no clocks.

mod copy;
mod epoch_takeover;
mod layout;
mod plan;
mod pull_rate;
mod record;
mod repair;
mod segment_file;
mod segments;
mod standby;
mod takeover;

pub use copy::{CopyError, CopyFolder, CopySummary, LogCopyFile};
pub use epoch_takeover::{
    EpochTakeover, PlanWriteOutcome, TakeoverError, TakeoverStep, VersionedPlan,
};
pub use layout::ShardLayout;
pub use plan::{EpochError, EpochId, SealedSegment, ShardPlan, StorageBox};
pub use pull_rate::PullLimits;
pub use record::{decode_records, encode_record};
pub use repair::{
    RetryPause, incomplete_segments, missing_segments, order_partners, segment_sources,
    updated_plan,
};
pub use segment_file::{IncomingSegment, SegmentBytes};
pub use segments::{
    LoadedLog, MAX_SEALED_SEGMENTS, MIN_SEALED_BYTES, SEGMENT_BYTES, SegmentContent,
};
pub use standby::active_boxes;
pub use takeover::{
    LEAVING_DELAY, RESTART_GRACE, TAKEOVER_TIMEOUT, TakeoverDecision, TakeoverPreference,
    TakeoverView, choose_healthy_partners, choose_partners, decide_takeover, rank_initial_servers,
    shard_of, shard_of_job,
};
