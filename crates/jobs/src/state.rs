//! State of one job, and the records that give it again.

use std::collections::VecDeque;
use std::sync::Arc;

use ids::{JobId, Moment, RecordLocation};
use prost::Message;
use wire::peer::log_record::Body;
use wire::peer::{
    ItemProgress, Job, JobItem, JobRef, JobResult, ListedResult, LogRecord, RewardCall,
};

use crate::item::{ItemPhase, ItemState};
use crate::pack_text;
use crate::trace::StepTrace;

/// A result that is on every copy of the log.
#[derive(Debug)]
pub(crate) struct ListedItem {
    /// The result; without its text once that is read from the log alone.
    pub result: JobResult,
    /// Where its record lies in this box's copy, if that is known.
    pub place: Option<RecordLocation>,
}

impl ListedItem {
    /// Where the text has to be read, if it is not held.
    pub fn on_disk(&self) -> Option<RecordLocation> {
        self.place.filter(|_| self.result.packed_text.is_empty() && self.result.text_bytes > 0)
    }
}

/// A job of the book.
#[derive(Debug)]
pub(crate) struct JobState {
    pub job: Arc<Job>,
    pub taken_at: Moment,
    pub items: Vec<ItemState>,
    /// Items to start, best first.
    pub waiting: VecDeque<u32>,
    /// Results that are on every copy of the log, by position.
    pub listed: Vec<ListedItem>,
    /// Positions handed out, listed or on the way to the log.
    pub positions: u32,
    pub ended: bool,
    /// The end is on its way to the log: nothing more is started.
    pub ending: bool,
    pub dropping: bool,
    pub bytes: usize,
    /// What its trainer waits for.
    pub trace: StepTrace,
}

impl JobState {
    /// Forgets what only a job that runs needs: requests and bodies. Says how many bytes.
    pub fn strip(&mut self) -> usize {
        let mut job = self.job.as_ref().clone();
        let freed = request_bytes(&job);
        for item in &mut job.items {
            let reward = item.reward.take();
            *item = JobItem {
                id: std::mem::take(&mut item.id),
                // By its id a later job tells whether a score may be used again.
                reward: reward.map(|reward| RewardCall { id: reward.id, ..RewardCall::default() }),
                ..JobItem::default()
            };
        }
        self.job = Arc::new(job);
        self.trace.strip();
        self.bytes = self.bytes.saturating_sub(freed);
        freed
    }

    /// Forgets the texts that can be read from the log. Says how many bytes.
    pub fn forget_texts(&mut self) -> usize {
        let mut freed = 0;
        for listed in self.listed.iter_mut().filter(|listed| listed.place.is_some()) {
            freed += std::mem::take(&mut listed.result.packed_text).len();
        }
        self.bytes = self.bytes.saturating_sub(freed);
        freed
    }

    /// The record of the job itself, or of the result before position `number`.
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

    /// The records after those of all results.
    pub fn last_records(&self, id: &JobId) -> Vec<LogRecord> {
        let job = id.to_string();
        if self.ended {
            return vec![record(Body::Ended(JobRef { job }))];
        }
        unlisted_text(&job, &self.items).collect()
    }
}

/// The text of items that are not listed yet.
fn unlisted_text<'a>(
    job: &'a str,
    items: &'a [ItemState],
) -> impl Iterator<Item = LogRecord> + use<'a> {
    let held = items.iter().enumerate();
    let held = held.filter(|(_, item)| item.phase != ItemPhase::Listed);
    let held = held.filter(|(_, item)| item.events > 0 || item.complete);
    held.map(|(index, item)| {
        record(Body::Progress(ItemProgress {
            job: job.to_owned(),
            index: u32::try_from(index).unwrap_or(u32::MAX),
            from_event: 0,
            // How many events made a whole text that was carried over does not matter any more.
            events: item.events.max(1),
            packed_text: pack_text(&item.text),
            versions: item.versions.clone(),
            complete: item.complete,
        }))
    })
}

/// Bytes of a job's requests.
pub(crate) fn request_bytes(job: &Job) -> usize {
    job.items.iter().map(Message::encoded_len).sum()
}

/// A log record of this body.
pub(crate) fn record(body: Body) -> LogRecord {
    LogRecord { body: Some(body) }
}
