//! Makes the copies of a new epoch: the book as records, piece by piece, on all of its disks.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use ids::{JobId, RecordLocation, ShardIndex};
use joblog::{EpochId, LogCopyFile, StorageBox, encode_record};
use jobs::SnapshotCursor;
use wire::peer::{LogCopy, log_record, shard_request, shard_response};

use crate::context::ShardContext;
use crate::copies::on_disk;
use crate::keeper::ShardKeeper;

/// Longest time for a partner to take one piece of a copy.
const PIECE_TIME: Duration = Duration::from_secs(1);
/// Bytes of one piece.
const PIECE_BYTES: usize = 1 << 20;

/// Where results lie in a copy, by job and position.
pub type ResultPlaces = Vec<(JobId, u32, RecordLocation)>;

/// Writes the book to this box's new copy and to the partners', piece by piece, and waits for all
/// disks. Nothing is applied to the book meanwhile, since the shard is not served.
pub async fn copy_book(
    ctx: &Arc<ShardContext>,
    keeper: &ShardKeeper,
    epoch: &EpochId,
    partners: &[StorageBox],
) -> Option<NewCopy> {
    let shard = keeper.shard();
    let mut reader = SnapshotReader::new(keeper);
    let mut file = None;
    let mut piece = reader.next().await?;
    loop {
        // The last piece is an empty one, so that the next can be read while this one is sent.
        let copy = LogCopy {
            shard: shard.get(),
            epoch: epoch.to_string(),
            first: file.is_none(),
            last: piece.is_empty(),
            records: piece,
        };
        let own = write_piece(ctx, shard, epoch, file.take(), &copy);
        let sent = join_all(partners.iter().map(|partner| send_piece(ctx, &copy, partner)));
        let (own, sent, following) = tokio::join!(own, sent, reader.next());
        if !sent.into_iter().all(|taken| taken) {
            return None;
        }
        let own = own?;
        if copy.last {
            return Some(NewCopy { file: own, places: reader.places });
        }
        file = Some(own);
        let following = following?;
        piece = following;
    }
}

/// This box's copy of a new epoch, and where the results lie in it.
pub struct NewCopy {
    /// The file.
    pub file: LogCopyFile,
    /// Places by job and position.
    pub places: ResultPlaces,
}

/// Gives the book as encoded records, piece by piece.
struct SnapshotReader<'a> {
    keeper: &'a ShardKeeper,
    cursor: SnapshotCursor,
    /// Bytes given so far.
    given: u64,
    places: ResultPlaces,
}

impl<'a> SnapshotReader<'a> {
    fn new(keeper: &'a ShardKeeper) -> Self {
        let cursor = keeper.book().snapshot_cursor();
        Self { keeper, cursor, given: 0, places: Vec::new() }
    }

    /// The next piece, empty after the last; `None` when this box's copy cannot be read.
    async fn next(&mut self) -> Option<Vec<u8>> {
        let piece = self.keeper.book().snapshot_piece(&mut self.cursor, PIECE_BYTES);
        let mut records = piece.records;
        let places = piece.on_disk.iter().map(|(_, place)| *place).collect();
        let loaded = self.keeper.load(places).await?;
        for ((index, _), record) in piece.on_disk.into_iter().zip(loaded) {
            records[index] = record;
        }
        let mut bytes = Vec::new();
        for record in &records {
            let mut place = encode_record(record, &mut bytes);
            place.offset += self.given;
            if let Some(log_record::Body::Listed(listed)) = &record.body
                && let Ok(job) = listed.job.parse()
            {
                self.places.push((job, listed.position, place));
            }
        }
        self.given += bytes.len() as u64;
        Some(bytes)
    }
}

/// Writes a piece to this box's own copy; the last one is synced.
async fn write_piece(
    ctx: &ShardContext,
    shard: ShardIndex,
    epoch: &EpochId,
    file: Option<LogCopyFile>,
    copy: &LogCopy,
) -> Option<LogCopyFile> {
    let (folder, epoch) = (ctx.copies.folder().clone(), epoch.clone());
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
    let answer = ctx.ask(&partner.address, PIECE_TIME, body).await;
    let taken = matches!(answer, Ok(shard_response::Body::Synced(_)));
    if !taken {
        ctx.peers.failed(ctx.view.now(), &partner.box_id);
        log::warn!(
            target: "shard", shard = copy.shard, epoch = copy.epoch.as_str(),
            peer:% = partner.box_id;
            "partner did not take the copy"
        );
    }
    taken
}
