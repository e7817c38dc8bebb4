//! Answers reads of segments from this box's disk.

use ids::ShardIndex;
use joblog::{CopyFolder, EpochId};
use wire::peer::{SegmentPiece, SegmentRead};

use crate::log::copies::on_disk;

/// Maximum size of one piece of a segment, in bytes.
pub const SEGMENT_PIECE_BYTES: u32 = 256 << 10;

/// Reads a piece of a segment. `None` if this box has no such bytes.
pub async fn read_piece(
    folder: &CopyFolder,
    epoch: EpochId,
    read: &SegmentRead,
) -> Option<SegmentPiece> {
    let (folder, shard) = (folder.clone(), ShardIndex::new(read.shard));
    let (offset, max_bytes) = (read.offset, read.max_bytes.min(SEGMENT_PIECE_BYTES));
    let piece = on_disk(shard, "read segment", move || {
        folder.read_segment(shard, &epoch, offset, max_bytes as usize)
    });
    let piece = piece.await.flatten()?;
    Some(SegmentPiece { records: piece.bytes, end: piece.end })
}
