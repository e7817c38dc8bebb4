//! Fetches sealed segments that this box lacks, before it takes a shard over.

use ids::ShardIndex;
use joblog::SealedSegment;
use links::LinkPool;

use crate::log::copies::OpenCopies;

/// Why sealed segments could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// No box that the plan names returned the segment.
    #[error("no box returned the sealed segment {0}")]
    NotAvailable(joblog::EpochId),
}

/// Fetches sealed segments that aren't on this box's disk, oldest first, from the boxes that they
/// name.
#[expect(clippy::unused_async, reason = "no request reads a segment of another box yet")]
pub async fn fetch_segments(
    _copies: &OpenCopies,
    _links: &LinkPool,
    _shard: ShardIndex,
    missing: &[SealedSegment],
) -> Result<(), FetchError> {
    match missing.first() {
        Some(segment) => Err(FetchError::NotAvailable(segment.epoch.clone())),
        None => Ok(()),
    }
}
