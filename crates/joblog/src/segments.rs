//! What a change of epoch does with the earlier segments: which are sealed, kept or copied.

use ids::FencingToken;

use crate::{EpochId, SealedSegment, ShardPlan};

/// Committed prefixes below this size, in bytes, are copied to the new segment instead of being
/// sealed, so that frequent changes of epoch don't create many small segments.
pub const MIN_SEALED_BYTES: u64 = 256 << 10;
/// Maximum number of sealed segments in a plan. With more, a snapshot replaces them: an entry has
/// about 300 bytes, and an object of the store has at most 1 MB.
pub const MAX_SEALED_SEGMENTS: usize = 32;
/// Length in bytes at which the open segment is sealed, so that old segments can be dropped.
pub const SEGMENT_BYTES: u64 = 16 << 20;

/// The log of a shard as a box has it in memory: all sealed segments of the epoch's plan, and the
/// open segment up to `len`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadedLog {
    /// The epoch of the open segment.
    pub epoch: EpochId,
    /// Bytes of the open segment that are known to be on all of its copies.
    pub committed: u64,
    /// Bytes of the open segment in memory. Those beyond `committed` may be on this box only.
    pub len: u64,
}

/// The records with which a new segment begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SegmentContent {
    /// None.
    Empty,
    /// Records of the open segment of the earlier epoch, from this box's copy.
    Tail {
        /// The earlier epoch.
        of: EpochId,
        /// Offset of the first byte.
        from: u64,
        /// Offset after the last byte.
        until: u64,
    },
    /// All jobs in memory.
    Snapshot,
}

/// The segment that a change of epoch opens, and what becomes of the earlier ones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct NewSegment {
    pub content: SegmentContent,
    /// The sealed prefix of the earlier epoch.
    seal: Option<SealedSegment>,
    /// The oldest segment that is kept; `None` to keep none.
    oldest: Option<FencingToken>,
}

impl NewSegment {
    /// The first segment of a log.
    pub const EMPTY: Self = Self { content: SegmentContent::Empty, seal: None, oldest: None };

    /// Decides about the segments of `plan`, whose log is in memory.
    pub fn after(plan: &ShardPlan, loaded: &LoadedLog, oldest: Option<FencingToken>) -> Self {
        let is_sealed = loaded.committed >= MIN_SEALED_BYTES;
        let from = if is_sealed { loaded.committed } else { 0 };
        let of = loaded.epoch.clone();
        let content = match loaded.len {
            until if until > from => SegmentContent::Tail { of, from, until },
            _ => SegmentContent::Empty,
        };
        let seal = is_sealed.then(|| SealedSegment {
            epoch: loaded.epoch.clone(),
            len: loaded.committed,
            copies: plan.copies.clone(),
        });
        let segment = Self { content, seal, oldest };
        if segment.sealed(Some(plan)).len() > MAX_SEALED_SEGMENTS {
            return Self { content: SegmentContent::Snapshot, seal: None, oldest: None };
        }
        segment
    }

    /// Returns the sealed segments of the new plan, which replaces `plan`.
    pub fn sealed(&self, plan: Option<&ShardPlan>) -> Vec<SealedSegment> {
        let Some(oldest) = self.oldest else { return Vec::new() };
        let earlier = plan.into_iter().flat_map(|plan| &plan.sealed);
        let sealed = earlier.chain(&self.seal).filter(|segment| segment.epoch.token >= oldest);
        sealed.cloned().collect()
    }
}
