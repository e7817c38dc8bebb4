//! State of one job, and the log records that restore it.

use std::collections::VecDeque;
use std::sync::Arc;

use ids::{JobId, Moment, RecordLocation};
use prost::Message;
use wire::peer::log_record::Body;
use wire::peer::{
    ItemProgress, Job, JobItem, JobRef, JobResult, ListedResult, LogRecord, RewardCall,
};

use crate::due_order::JobRanks;
use crate::groups::JobGroups;
use crate::item::{ItemPhase, ItemState};
use crate::pack_text;
use crate::trace::StepTrace;
use crate::trainers::DueTime;

/// A result that is on every copy of the log.
#[derive(Debug)]
pub(crate) struct ListedItem {
    /// The result; its text is empty after eviction from memory.
    pub result: JobResult,
    /// Location of its record in this box's copy of the log, if known.
    pub location: Option<RecordLocation>,
}

impl ListedItem {
    /// Returns the location to read the text from, if the text is not in memory.
    pub fn on_disk(&self) -> Option<RecordLocation> {
        self.location.filter(|_| self.result.packed_text.is_empty() && self.result.text_bytes > 0)
    }
}

/// State of one job of a [`JobTable`](crate::JobTable).
#[derive(Debug)]
pub(crate) struct JobState {
    pub job: Arc<Job>,
    pub accepted_at: Moment,
    /// Location of the record that accepted the job, if known.
    pub accepted_location: Option<RecordLocation>,
    pub items: Vec<ItemState>,
    /// Indices of the items to start, in start order.
    pub waiting: VecDeque<u32>,
    /// Results that are on every copy of the log, by position.
    pub listed: Vec<ListedItem>,
    /// Next position to assign; lower ones are listed or being appended to the log.
    pub next_position: u32,
    pub ended: bool,
    /// The end is applied or being appended to the log; no more items start.
    pub ending: bool,
    /// The record that drops the job is being appended to the log.
    pub dropping: bool,
    pub bytes: usize,
    /// Timings, reported when the job ends.
    pub trace: StepTrace,
    pub due: DueTime,
    pub groups: JobGroups,
    /// Ranks of the items; empty if they are ordered by acceptance.
    pub ranks: JobRanks,
}

impl JobState {
    /// Drops the requests, which only an open job needs. Returns the number of bytes freed.
    pub fn drop_requests(&mut self) -> usize {
        let mut job = self.job.as_ref().clone();
        let freed = request_bytes(&job);
        for item in &mut job.items {
            let reward = item.reward.take();
            *item = JobItem {
                id: std::mem::take(&mut item.id),
                // A later job compares the id to decide whether it may reuse the score.
                reward: reward.map(|reward| RewardCall { id: reward.id, ..RewardCall::default() }),
                ..JobItem::default()
            };
        }
        self.job = Arc::new(job);
        self.trace.drop_items();
        self.groups = JobGroups::default();
        self.ranks = JobRanks::default();
        self.bytes = self.bytes.saturating_sub(freed);
        freed
    }

    /// Evicts the texts that can be read from the log. Returns the number of bytes freed.
    pub fn evict_texts(&mut self) -> usize {
        let mut freed = 0;
        for listed in self.listed.iter_mut().filter(|listed| listed.location.is_some()) {
            freed += std::mem::take(&mut listed.result.packed_text).len();
        }
        self.bytes = self.bytes.saturating_sub(freed);
        freed
    }

    /// Returns the record of the job itself for `number` 0, else that of the result at position
    /// `number - 1`.
    pub fn logged_record(&self, id: &JobId, number: usize) -> LogRecord {
        let Some(position) = number.checked_sub(1) else {
            return record(Body::Accepted(self.job.as_ref().clone()));
        };
        record(Body::Listed(ListedResult {
            job: id.to_string(),
            position: u32::try_from(position).unwrap_or(u32::MAX),
            result: self.listed.get(position).map(|listed| listed.result.clone()),
        }))
    }

    /// Returns the records that follow those of all results in a snapshot.
    pub fn final_records(&self, id: &JobId) -> Vec<LogRecord> {
        let job = id.to_string();
        if self.ended {
            return vec![record(Body::Ended(JobRef { job }))];
        }
        unlisted_progress(&job, &self.items).collect()
    }
}

/// Returns progress records with the text of items that are not listed yet.
fn unlisted_progress<'a>(
    job: &'a str,
    items: &'a [ItemState],
) -> impl Iterator<Item = LogRecord> + use<'a> {
    let unlisted = items.iter().enumerate();
    let unlisted = unlisted.filter(|(_, item)| item.phase != ItemPhase::Listed);
    let unlisted = unlisted.filter(|(_, item)| item.events > 0 || item.complete);
    unlisted.map(|(index, item)| {
        record(Body::Progress(ItemProgress {
            job: job.to_owned(),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            from_event: 0,
            // A complete text that was carried over has no event count; replay needs at least one.
            events: item.events.max(1),
            packed_text: pack_text(&item.text),
            versions: item.versions.clone(),
            complete: item.complete,
        }))
    })
}

/// Returns the encoded size of a job's requests, in bytes.
pub(crate) fn request_bytes(job: &Job) -> usize {
    job.items.iter().map(Message::encoded_len).sum()
}

/// Wraps a body in a log record.
pub(crate) fn record(body: Body) -> LogRecord {
    LogRecord { body: Some(body) }
}
