//! Writes a new segment to the disks of all its boxes: records of the earlier segment, or a
//! snapshot of the job table.

use std::time::Duration;

use futures::future::join_all;
use ids::{FencingToken, ShardIndex};
use joblog::{
    CopyFolder, EpochId, LoadedLog, LogCopyFile, SegmentContent, StorageBox, encode_record,
};
use jobs::{MovedRecord, SnapshotCursor};
use wire::peer::{LogCopy, LogRecord, RoundStart, log_record, shard_request, shard_response};

use crate::context::ShardContext;
use crate::keeper::ShardKeeper;
use crate::log::copies::on_disk;
use crate::log::log_writer::ROUND_TIMEOUT;

/// Timeout for a partner to accept one of several pieces of a copy. The last one is accepted only
/// after the whole copy is on disk.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of one piece, in bytes.
const PIECE_BYTES: usize = 1 << 20;

/// This box's copy of a new segment.
#[derive(Debug)]
pub struct NewCopy {
    /// The file.
    pub file: LogCopyFile,
    /// Where the records of the content are now.
    pub moved: Relocation,
}

impl NewCopy {
    /// Returns the log as in memory once the epoch's plan is in force: the whole copy is on all
    /// boxes.
    pub const fn loaded(&self, epoch: EpochId) -> LoadedLog {
        LoadedLog { epoch, committed: self.file.len(), len: self.file.len() }
    }
}

/// Records that a new segment holds instead of earlier ones.
#[derive(Debug, Default)]
pub enum Relocation {
    /// None.
    #[default]
    None,
    /// The records of segment `of` from offset `from`, moved to the start of segment `to`.
    Tail {
        /// The earlier segment.
        of: FencingToken,
        /// Offset of the first moved byte.
        from: u64,
        /// The new segment.
        to: FencingToken,
    },
    /// All records of the job table.
    Snapshot(Vec<MovedRecord>),
}

/// Writes the new segment to this box's disk and to the partners', and waits until all have synced
/// it. The jobs must not change meanwhile if the content is a snapshot.
pub async fn write_segment(
    ctx: &ShardContext,
    keeper: &ShardKeeper,
    epoch: &EpochId,
    partners: &[StorageBox],
    content: &SegmentContent,
) -> Option<NewCopy> {
    let shard = keeper.shard();
    let mut reader = ContentReader::new(ctx.copies.folder(), keeper, epoch, content);
    let mut file = None;
    let mut records = reader.next().await?;
    loop {
        let last = reader.is_done();
        if last {
            // All copies have the content once a plan names the epoch.
            let round = LogRecord { body: Some(log_record::Body::Round(RoundStart {})) };
            encode_record(&round, epoch.token, &mut records);
        }
        let first = file.is_none();
        let copy = LogCopy { shard: shard.get(), epoch: epoch.to_string(), first, last, records };
        let own = write_piece(ctx.copies.folder(), shard, epoch, file.take(), &copy);
        let sent = join_all(partners.iter().map(|partner| send_piece(ctx, &copy, partner)));
        let following = async { if last { Some(Vec::new()) } else { reader.next().await } };
        let (own, sent, following) = tokio::join!(own, sent, following);
        if !sent.into_iter().all(|accepted| accepted) {
            return None;
        }
        let own = own?;
        if last {
            return Some(NewCopy { file: own, moved: reader.into_relocation(epoch) });
        }
        file = Some(own);
        records = following?;
    }
}

/// Reads the content of a new segment piece by piece.
enum ContentReader<'a> {
    Empty,
    Tail(TailReader<'a>),
    Snapshot(SnapshotReader<'a>),
}

impl<'a> ContentReader<'a> {
    fn new(
        folder: &'a CopyFolder,
        keeper: &'a ShardKeeper,
        epoch: &EpochId,
        content: &'a SegmentContent,
    ) -> Self {
        match content {
            SegmentContent::Empty => Self::Empty,
            SegmentContent::Tail { of, from, until } => Self::Tail(TailReader {
                folder,
                shard: keeper.shard(),
                of,
                from: *from,
                next: *from,
                until: *until,
            }),
            SegmentContent::Snapshot => Self::Snapshot(SnapshotReader::new(keeper, epoch.token)),
        }
    }

    /// Returns the next piece; `None` when this box's copy can't be read.
    async fn next(&mut self) -> Option<Vec<u8>> {
        match self {
            Self::Empty => Some(Vec::new()),
            Self::Tail(reader) => reader.next().await,
            Self::Snapshot(reader) => reader.next().await,
        }
    }

    fn is_done(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Tail(reader) => reader.next >= reader.until,
            Self::Snapshot(reader) => reader.cursor.is_done(),
        }
    }

    fn into_relocation(self, epoch: &EpochId) -> Relocation {
        match self {
            Self::Empty => Relocation::None,
            Self::Tail(reader) => {
                Relocation::Tail { of: reader.of.token, from: reader.from, to: epoch.token }
            }
            Self::Snapshot(reader) => Relocation::Snapshot(reader.moved),
        }
    }
}

/// Reads bytes of this box's copy of the earlier segment.
struct TailReader<'a> {
    folder: &'a CopyFolder,
    shard: ShardIndex,
    of: &'a EpochId,
    from: u64,
    /// Offset of the next piece.
    next: u64,
    until: u64,
}

impl TailReader<'_> {
    async fn next(&mut self) -> Option<Vec<u8>> {
        let end = self.until.min(self.next + PIECE_BYTES as u64);
        let (folder, shard, of) = (self.folder.clone(), self.shard, self.of.clone());
        let range = std::mem::replace(&mut self.next, end)..end;
        on_disk(shard, "read own copy", move || folder.read_bytes(shard, &of, range)).await
    }
}

/// Reads the job table as encoded records.
struct SnapshotReader<'a> {
    keeper: &'a ShardKeeper,
    cursor: SnapshotCursor,
    segment: FencingToken,
    /// Bytes returned so far.
    bytes_read: u64,
    moved: Vec<MovedRecord>,
}

impl<'a> SnapshotReader<'a> {
    fn new(keeper: &'a ShardKeeper, segment: FencingToken) -> Self {
        let cursor = keeper.jobs().snapshot_cursor();
        Self { keeper, cursor, segment, bytes_read: 0, moved: Vec::new() }
    }

    async fn next(&mut self) -> Option<Vec<u8>> {
        let piece = self.keeper.jobs().snapshot_piece(&mut self.cursor, PIECE_BYTES);
        let mut records = piece.records;
        let locations = piece.on_disk.iter().map(|(_, location)| *location).collect();
        let loaded = self.keeper.load(locations).await?;
        for ((index, _), record) in piece.on_disk.into_iter().zip(loaded) {
            records[index] = record;
        }
        let mut bytes = Vec::new();
        for record in &records {
            let mut location = encode_record(record, self.segment, &mut bytes);
            location.offset += self.bytes_read;
            self.moved.extend(MovedRecord::new(record, location));
        }
        self.bytes_read += bytes.len() as u64;
        Some(bytes)
    }
}

/// Writes a piece to this box's own copy; syncs the last one.
async fn write_piece(
    folder: &CopyFolder,
    shard: ShardIndex,
    epoch: &EpochId,
    file: Option<LogCopyFile>,
    copy: &LogCopy,
) -> Option<LogCopyFile> {
    let (folder, epoch) = (folder.clone(), epoch.clone());
    let (records, last) = (copy.records.clone(), copy.last);
    let written = on_disk(shard, "write own copy", move || {
        let mut file = match file {
            Some(file) => file,
            None => folder.create(shard, &epoch)?,
        };
        let offset = file.len();
        file.append(offset, &records)?;
        if last {
            file.sync()?;
        }
        Ok(file)
    });
    written.await
}

async fn send_piece(ctx: &ShardContext, copy: &LogCopy, partner: &StorageBox) -> bool {
    let body = shard_request::Body::Copy(copy.clone());
    // A copy in one piece is about as large as a round.
    let timeout = if copy.first && copy.last { ROUND_TIMEOUT } else { PIECE_TIMEOUT };
    let response = ctx.call_box(&partner.address, timeout, body).await;
    let accepted = matches!(response, Ok(shard_response::Body::Synced(_)));
    if !accepted {
        ctx.peers.record_failure(ctx.view.now(), &partner.box_id);
        log::warn!(
            target: "shard", shard = copy.shard, epoch = copy.epoch.as_str(),
            peer:% = partner.box_id;
            "partner did not accept the copy"
        );
    }
    accepted
}
