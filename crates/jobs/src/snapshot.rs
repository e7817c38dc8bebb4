//! A book as records, in pieces: it may be much larger than what a box can hold twice.

use ids::{JobId, RecordLocation};
use prost::Message;
use wire::peer::LogRecord;

use crate::JobTable;
use crate::state::ListedItem;

/// How far a snapshot has come.
#[derive(Debug, Clone)]
pub struct SnapshotCursor {
    jobs: Vec<JobId>,
    job: usize,
    record: usize,
}

/// Records of a snapshot.
#[derive(Debug, Default)]
pub struct SnapshotPiece {
    /// In order; some results lack their text.
    pub records: Vec<LogRecord>,
    /// Indices of these, and where their whole records lie in the copy that the book is of.
    pub on_disk: Vec<(usize, RecordLocation)>,
}

impl JobTable {
    /// Begins a snapshot: records that give the same book when they are replayed, in order.
    pub fn snapshot_cursor(&self) -> SnapshotCursor {
        let mut jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        jobs.sort_by_key(|id| (self.jobs[id].taken_at, id.clone()));
        SnapshotCursor { jobs, job: 0, record: 0 }
    }

    /// The next records of a snapshot, about `max_bytes` of them; none after the last. Between
    /// two pieces no record may be applied.
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
                    if let Some(place) = listed.and_then(ListedItem::on_disk) {
                        piece.on_disk.push((from, place));
                        bytes += place.len as usize;
                    }
                    piece.records.push(state.logged_record(id, cursor.record));
                    cursor.record += 1;
                }
                held => {
                    let last = held.into_iter().flat_map(|state| state.last_records(id));
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
