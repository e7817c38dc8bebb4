//! Fetches sealed segments that this box lacks from the boxes that hold them.

use std::time::Duration;

use futures::{StreamExt, TryStreamExt, stream};
use ids::{ByteRate, ShardIndex, whole_millis};
use joblog::{EpochId, IncomingSegment, SealedSegment, StorageBox};
use links::{CallError, LinkPool};
use tokio::time::{self, Instant};
use wire::peer::{SegmentPiece, SegmentRead, shard_request, shard_response};

use crate::log::copies::{OpenCopies, on_disk};
use crate::log::segment_read::SEGMENT_PIECE_BYTES;

/// Timeout for one piece. A slower source is replaced by the next one.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of segments that a takeover fetches at the same time. A piece needs a round trip of up to
/// 60 ms between regions, which limits a single fetch to about 4 MB/s.
const CONCURRENT_FETCHES: usize = 4;

/// Why a segment could not be fetched.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum FetchError {
    /// No box that the plan names returned the whole segment, or it could not be stored.
    #[error("no box returned the sealed segment {0} completely, or it could not be stored")]
    NotAvailable(EpochId),
}

/// A segment to fetch, and the boxes that hold it, best first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingSegment {
    /// The segment.
    pub segment: SealedSegment,
    /// The boxes to ask.
    pub sources: Vec<StorageBox>,
}

/// Fetches segments of a shard's log to this box's disk.
#[derive(Debug, Clone)]
pub struct SegmentFetcher {
    copies: OpenCopies,
    links: LinkPool,
    shard: ShardIndex,
    /// Maximum rate; `None` for no limit.
    rate: Option<ByteRate>,
}

impl SegmentFetcher {
    /// Creates a fetcher of at most this rate, if given.
    pub const fn new(
        copies: OpenCopies,
        links: LinkPool,
        shard: ShardIndex,
        rate: Option<ByteRate>,
    ) -> Self {
        Self { copies, links, shard, rate }
    }

    /// Fetches all of these segments, several at a time.
    pub async fn fetch_all(&self, missing: &[MissingSegment]) -> Result<(), FetchError> {
        let fetches: Vec<_> = missing.iter().map(|missing| self.fetch(missing)).collect();
        stream::iter(fetches).buffer_unordered(CONCURRENT_FETCHES).try_collect().await
    }

    /// Fetches one segment. Asks each source until one returns it completely.
    pub async fn fetch(&self, missing: &MissingSegment) -> Result<(), FetchError> {
        let segment = &missing.segment;
        // A box that missed the last appends of this epoch may still have its copy open. The file must
        // not be replaced while it accepts appends.
        self.copies.close(self.shard, &segment.epoch).await;
        for source in &missing.sources {
            let started_at = Instant::now();
            if self.fetch_from(source, segment).await.is_some() {
                log::info!(
                    target: "shard", shard = self.shard.get(), epoch:% = segment.epoch,
                    bytes = segment.len, peer:% = source.box_id,
                    took_ms = whole_millis(started_at.elapsed()),
                    reason = if self.rate.is_some() { "copy missing" } else { "takeover" };
                    "segment pulled"
                );
                return Ok(());
            }
        }
        Err(FetchError::NotAvailable(segment.epoch.clone()))
    }

    async fn fetch_from(&self, source: &StorageBox, segment: &SealedSegment) -> Option<()> {
        let shard = self.shard;
        let (folder, epoch) = (self.copies.folder().clone(), segment.epoch.clone());
        let created =
            on_disk(shard, "start segment", move || folder.receive_segment(shard, &epoch));
        let mut incoming = created.await?;
        let started_at = Instant::now();
        while incoming.len() < segment.len {
            let piece = self.read_piece(source, segment, incoming.len()).await?;
            incoming = append(shard, incoming, piece.records).await?;
            if let Some(rate) = self.rate {
                time::sleep_until(started_at + rate.time_of(incoming.len())).await;
            }
        }
        let len = segment.len;
        on_disk(shard, "check segment", move || incoming.finish(len)).await
    }

    /// Reads the piece at `offset`; `None` if the source does not return one. Failures are logged.
    async fn read_piece(
        &self,
        source: &StorageBox,
        segment: &SealedSegment,
        offset: u64,
    ) -> Option<SegmentPiece> {
        let left = u32::try_from(segment.len - offset).unwrap_or(u32::MAX);
        let read = SegmentRead {
            shard: self.shard.get(),
            epoch: segment.epoch.to_string(),
            offset,
            max_bytes: left.min(SEGMENT_PIECE_BYTES),
        };
        let body = shard_request::Body::SegmentRead(read);
        let response = self.links.call_shard_unary(&source.address, PIECE_TIMEOUT, body).await;
        match check_piece(response, left) {
            Ok(piece) => Some(piece),
            Err(error) => {
                log::warn!(
                    target: "shard", shard = self.shard.get(), epoch:% = segment.epoch,
                    peer:% = source.box_id, offset = offset, error:% = error;
                    "segment not read from box"
                );
                None
            }
        }
    }
}

/// Checks that a response is a piece of a source that can return the remaining `left` bytes.
fn check_piece(
    response: Result<shard_response::Body, CallError>,
    left: u32,
) -> Result<SegmentPiece, CallError> {
    let shard_response::Body::SegmentPiece(piece) = response? else {
        return Err(CallError::Broken { why: "unexpected kind of response" });
    };
    let len = u32::try_from(piece.records.len()).unwrap_or(u32::MAX);
    if len == 0 || len > left || (piece.end && len < left) {
        return Err(CallError::Broken { why: "the source does not have the whole segment" });
    }
    Ok(piece)
}

async fn append(
    shard: ShardIndex,
    mut incoming: IncomingSegment,
    records: Vec<u8>,
) -> Option<IncomingSegment> {
    let appended = on_disk(shard, "write segment", move || {
        incoming.append(&records)?;
        Ok(incoming)
    });
    appended.await
}
