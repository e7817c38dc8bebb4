//! Writes the copies of a new epoch: streams the job table as records to the disks of all its
//! boxes.

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

/// Timeout for a partner to accept one piece of a copy.
const PIECE_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of one piece, in bytes.
const PIECE_BYTES: usize = 1 << 20;

/// Locations of results in a copy, by job and position.
pub type ResultLocations = Vec<(JobId, u32, RecordLocation)>;

/// Writes the job table to this box's new copy and to the partners', and waits until all have
/// synced it. The table doesn't change meanwhile, since the shard is not served.
pub async fn copy_jobs(
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
        // The last piece is empty, so that the next piece can be read while one is sent.
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
        if !sent.into_iter().all(|accepted| accepted) {
            return None;
        }
        let own = own?;
        if copy.last {
            return Some(NewCopy { file: own, locations: reader.locations });
        }
        file = Some(own);
        let following = following?;
        piece = following;
    }
}

/// This box's copy of a new epoch, and the locations of the results in it.
pub struct NewCopy {
    /// The file.
    pub file: LogCopyFile,
    /// Locations by job and position.
    pub locations: ResultLocations,
}

/// Reads the job table as encoded records, piece by piece.
struct SnapshotReader<'a> {
    keeper: &'a ShardKeeper,
    cursor: SnapshotCursor,
    /// Bytes returned so far.
    bytes_read: u64,
    locations: ResultLocations,
}

impl<'a> SnapshotReader<'a> {
    fn new(keeper: &'a ShardKeeper) -> Self {
        let cursor = keeper.jobs().snapshot_cursor();
        Self { keeper, cursor, bytes_read: 0, locations: Vec::new() }
    }

    /// Returns the next piece, empty after the last; `None` when this box's copy can't be read.
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
            let mut location = encode_record(record, &mut bytes);
            location.offset += self.bytes_read;
            if let Some(log_record::Body::Listed(listed)) = &record.body
                && let Ok(job) = listed.job.parse()
            {
                self.locations.push((job, listed.position, location));
            }
        }
        self.bytes_read += bytes.len() as u64;
        Some(bytes)
    }
}

/// Writes a piece to this box's own copy; syncs the last one.
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
    let response = ctx.call_box(&partner.address, PIECE_TIMEOUT, body).await;
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
