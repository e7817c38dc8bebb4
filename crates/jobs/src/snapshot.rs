//! A book as records, in pieces: it may be much larger than what a box can hold twice.

use ids::JobId;
use prost::Message;
use wire::peer::LogRecord;

use crate::JobBook;

/// How far a snapshot has come.
#[derive(Debug, Clone)]
pub struct SnapshotCursor {
    jobs: Vec<JobId>,
    job: usize,
    record: usize,
}

impl JobBook {
    /// Begins a snapshot: records that give the same book when they are replayed, in order.
    pub fn snapshot_cursor(&self) -> SnapshotCursor {
        let mut jobs: Vec<JobId> = self.jobs.keys().cloned().collect();
        jobs.sort_by_key(|id| (self.jobs[id].taken_at, id.clone()));
        SnapshotCursor { jobs, job: 0, record: 0 }
    }

    /// The next records of a snapshot, about `most_bytes` of them; none after the last. Between
    /// two pieces no record may be applied.
    pub fn snapshot_piece(&self, cursor: &mut SnapshotCursor, most_bytes: usize) -> Vec<LogRecord> {
        let mut records = Vec::new();
        let mut bytes = 0;
        while bytes < most_bytes
            && let Some(id) = cursor.jobs.get(cursor.job)
        {
            let from = records.len();
            match self.jobs.get(id) {
                Some(state) if cursor.record <= state.listed.len() => {
                    records.push(state.logged_record(id, cursor.record));
                    cursor.record += 1;
                }
                held => {
                    records.extend(held.into_iter().flat_map(|state| state.last_records(id)));
                    cursor.job += 1;
                    cursor.record = 0;
                }
            }
            bytes += records[from..].iter().map(Message::encoded_len).sum::<usize>();
        }
        records
    }
}
