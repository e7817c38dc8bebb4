//! Snapshots of a [`JobTable`] as log records. A snapshot is produced in pieces, since a box may
//! not have memory for a second copy of the table.

use ids::{JobId, RecordLocation};
use prost::Message;
use wire::peer::LogRecord;

use crate::JobTable;
use crate::state::ListedItem;

/// Progress of a snapshot.
#[derive(Debug, Clone)]
pub struct SnapshotCursor {
    jobs: Vec<JobId>,
    job: usize,
    record: usize,
}

impl SnapshotCursor {
    /// Returns whether all pieces were returned.
    pub const fn is_done(&self) -> bool {
        self.job >= self.jobs.len()
    }
}

/// One piece of a snapshot.
#[derive(Debug, Default)]
pub struct SnapshotPiece {
    /// Records in order; results in `on_disk` lack their text.
    pub records: Vec<LogRecord>,
    /// Records without text: index within the piece and location of the full record in this box's
    /// copy of the log.
    pub on_disk: Vec<(usize, RecordLocation)>,
}

impl JobTable {
    /// Starts a snapshot. Replaying its records in order gives the same table.
    pub fn snapshot_cursor(&self) -> SnapshotCursor {
        let mut jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        jobs.sort_by_key(|id| (self.jobs[id].accepted_at, id.clone()));
        SnapshotCursor { jobs, job: 0, record: 0 }
    }

    /// Returns the next records of a snapshot, about `max_bytes` in total; none once
    /// [`SnapshotCursor::is_done`]. No record may be applied between two pieces.
    pub fn snapshot_piece(&self, cursor: &mut SnapshotCursor, max_bytes: usize) -> SnapshotPiece {
        let mut piece = SnapshotPiece::default();
        let mut bytes = 0;
        while bytes < max_bytes
            && let Some(id) = cursor.jobs.get(cursor.job)
        {
            let from = piece.records.len();
            match self.jobs.get(id) {
                Some(state) if cursor.record <= state.listed.len() => {
                    let listed = cursor.record.checked_sub(1).map(|at| &state.listed[at]);
                    if let Some(location) = listed.and_then(ListedItem::on_disk) {
                        piece.on_disk.push((from, location));
                        bytes += location.len as usize;
                    }
                    piece.records.push(state.logged_record(id, cursor.record));
                    cursor.record += 1;
                }
                at_end => {
                    let last = at_end.into_iter().flat_map(|state| state.final_records(id));
                    piece.records.extend(last);
                    cursor.job += 1;
                    cursor.record = 0;
                }
            }
            bytes += piece.records[from..].iter().map(Message::encoded_len).sum::<usize>();
        }
        piece
    }
}
