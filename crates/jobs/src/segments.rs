//! Which segments of the log a [`JobTable`] needs, and where its records were moved.

use ids::{FencingToken, JobId, RecordLocation};
use wire::peer::LogRecord;
use wire::peer::log_record::Body;

use crate::JobTable;
use crate::item::ItemState;
use crate::state::JobState;

/// A record of a snapshot, and its location in the new segment.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MovedRecord {
    /// The job.
    pub job: JobId,
    /// Position of the result; `None` for the record that accepts the job.
    pub position: Option<u32>,
    /// The new location.
    pub location: RecordLocation,
}

impl MovedRecord {
    /// Describes a record of a snapshot; `None` for records that are never read by location.
    pub fn new(record: &LogRecord, location: RecordLocation) -> Option<Self> {
        let (job, position) = match record.body.as_ref()? {
            Body::Accepted(job) => (&job.id, None),
            Body::Listed(listed) => (&listed.job, Some(listed.position)),
            _ => return None,
        };
        Some(Self { job: job.parse().ok()?, position, location })
    }
}

impl JobState {
    /// Returns the segment with the record that accepted the job; the lowest if it is unknown.
    fn segment(&self) -> FencingToken {
        self.accepted_location.map_or(FencingToken::default(), |location| location.segment)
    }

    /// Returns the oldest segment that is needed to replay an item of this job.
    pub(crate) fn segment_of(&self, item: &ItemState) -> FencingToken {
        let own = self.segment();
        item.carried_from.map_or(own, |carried_from| carried_from.min(own))
    }

    /// Returns the oldest segment that is needed to replay this job. Without the text that an
    /// earlier job left over, the records of its continuation would not fit.
    fn oldest_segment(&self) -> FencingToken {
        let items = self.items.iter().map(|item| self.segment_of(item));
        items.min().unwrap_or_else(|| self.segment())
    }

    /// Applies `change` to the locations of all records.
    fn relocate(&mut self, change: impl Fn(&mut RecordLocation)) {
        let listed = self.listed.iter_mut().filter_map(|listed| listed.location.as_mut());
        listed.chain(&mut self.accepted_location).for_each(change);
    }
}

impl JobTable {
    /// Returns the oldest segment of the log that is needed to replay the jobs; `None` if there are
    /// no jobs. Earlier segments hold only records of dropped jobs.
    pub fn oldest_segment(&self) -> Option<FencingToken> {
        self.jobs.values().map(JobState::oldest_segment).min()
    }

    /// Sets the locations of records in a snapshot of this table.
    pub fn relocate(&mut self, moved: &[MovedRecord]) {
        for record in moved {
            let Some(state) = self.jobs.get_mut(&record.job) else { continue };
            if let Some(position) = record.position {
                if let Some(listed) = state.listed.get_mut(position as usize) {
                    listed.location = Some(record.location);
                }
            } else {
                state.accepted_location = Some(record.location);
                // A snapshot includes the text that earlier jobs left over.
                state.items.iter_mut().for_each(|item| item.carried_from = None);
            }
        }
    }

    /// Updates the locations after the records of segment `of` from offset `from` were copied to
    /// the start of segment `to`.
    pub fn relocate_tail(&mut self, of: FencingToken, from: u64, to: FencingToken) {
        for state in self.jobs.values_mut() {
            state.relocate(|location| {
                if location.segment == of && location.offset >= from {
                    location.segment = to;
                    location.offset -= from;
                }
            });
        }
    }
}
