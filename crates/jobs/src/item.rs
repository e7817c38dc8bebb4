//! One item of a job on its way to a result.

use std::fmt;
use std::sync::Arc;

use ids::{JobId, Moment};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, Job, JobItem, LogRecord};

use crate::pack_text;

/// Names an item by its job and index.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemRef {
    /// The job.
    pub job: JobId,
    /// Index of the item in the job.
    pub index: u32,
}

/// What a run of an item needs.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The item.
    pub item: ItemRef,
    /// The job it belongs to.
    pub job: Arc<Job>,
    /// Events of its text that are held already; the run goes on after them.
    pub events: u32,
    /// The newest version that made a part of the held text.
    pub newest: Option<u64>,
    /// Whether the text is whole, and only the reward call is missing.
    pub complete: bool,
    /// Number of this run of the item; the end of an earlier one says nothing.
    pub run: u32,
}

impl RunSpec {
    /// The record for the events that a run which was cut or moved has not given to the log: the
    /// next run begins after them, and its own records must follow what is there.
    pub fn unlogged_progress(&self, end: &RunResult) -> Option<LogRecord> {
        let goes_on = matches!(end.outcome, RunOutcome::Cut | RunOutcome::Moved);
        let more = end.events.len() > end.logged && !self.job.single_version;
        (goes_on && more).then(|| self.progress(&end.events, end.logged))
    }

    /// The record that keeps events of a run which goes on; `sent` of them were kept before.
    pub fn progress(&self, events: &[RunEvent], sent: usize) -> LogRecord {
        let count = |events: usize| u32::try_from(events).unwrap_or(u32::MAX);
        let mut state = ItemState::new();
        state.add(&events[sent..]);
        let progress = ItemProgress {
            job: self.item.job.to_string(),
            index: self.item.index,
            from_event: self.events + count(sent),
            events: state.events,
            packed_text: pack_text(&state.text),
            versions: state.versions,
            complete: false,
        };
        LogRecord { body: Some(Body::Progress(progress)) }
    }

    /// The item's own request.
    pub fn request(&self) -> Option<&JobItem> {
        self.job.items.get(self.item.index as usize)
    }
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The last event came, and the answer ended as it should.
    Complete,
    /// The answer broke off or fell silent; another target goes on after the last whole event.
    Cut,
    /// It was broken off here, to go on at a better target at once.
    Moved,
    /// The target took no work.
    NotRun,
    /// The target answered with an error of its own.
    Failed,
    /// The target said that the item can never be done.
    Impossible,
    /// The answer does not continue the held text: it is of no use.
    Unusable,
}

/// What a run brought.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// How it ended.
    pub outcome: RunOutcome,
    /// The whole events that came, in order.
    pub events: Vec<RunEvent>,
    /// How many of them were given to the log while the run went on.
    pub logged: usize,
}

/// One whole event of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEvent {
    /// Its data.
    pub data: Vec<u8>,
    /// Version of the weights that made it.
    pub version: u64,
}

/// How a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RewardOutcome {
    /// The signature of its success.
    Scored(String),
    /// An error of the target itself; the item may be given up after `attempts` of them.
    Failed {
        /// From the reward call's own route.
        attempts: u32,
    },
    /// It got no answer, or no target took it.
    Missed,
    /// It ends the targets that run it, and was not made.
    Quarantined,
}

/// Why an item is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// Its targets failed at it as often as its route allows, or said that it can never be done.
    Failures,
    /// So did the targets of its reward call.
    RewardFailures,
    /// It has waited for as long as its route allows.
    TooLate,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "its targets failed",
            Self::RewardFailures => "its reward calls failed",
            Self::TooLate => "it waited too long",
        })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemPhase {
    /// To be started.
    Waiting,
    /// A run or a reward call is under way.
    Running,
    /// Its record is on the way to the log, or applied.
    Listed,
}

/// State of an item that is lost with the box.
#[derive(Debug, Clone)]
pub(crate) struct ItemState {
    pub phase: ItemPhase,
    /// Number of the last run.
    pub run: u32,
    pub not_before: Moment,
    /// When the last run was started.
    pub started_at: Moment,
    pub failures: u32,
    pub reward_failures: u32,
    pub reward_attempts: u32,
    /// Data of the events so far, joined by line feeds.
    pub text: Vec<u8>,
    pub events: u32,
    pub versions: Vec<u64>,
    pub complete: bool,
    pub score: Option<String>,
}

impl ItemState {
    pub(crate) const fn new() -> Self {
        Self {
            phase: ItemPhase::Waiting,
            run: 0,
            not_before: Moment::START,
            started_at: Moment::START,
            failures: 0,
            reward_failures: 0,
            reward_attempts: 0,
            text: Vec::new(),
            events: 0,
            versions: Vec::new(),
            complete: false,
            score: None,
        }
    }

    pub(crate) fn add(&mut self, events: &[RunEvent]) {
        for event in events {
            self.add_text(&event.data, 1, &[event.version]);
        }
    }

    /// Adds `events` events whose data is joined already.
    pub(crate) fn add_text(&mut self, text: &[u8], events: u32, versions: &[u64]) {
        if events == 0 {
            return;
        }
        if self.events > 0 {
            self.text.push(b'\n');
        }
        self.text.extend_from_slice(text);
        self.events += events;
        for version in versions {
            if self.versions.last() != Some(version) {
                self.versions.push(*version);
            }
        }
    }

    pub(crate) fn forget_text(&mut self) {
        self.text = Vec::new();
        self.events = 0;
        self.versions = Vec::new();
        self.complete = false;
        self.score = None;
    }

    /// Whether text of these versions may stand in a sample of the job.
    pub(crate) fn fits(versions: &[u64], job: &Job) -> bool {
        let fresh = versions.iter().all(|version| *version >= job.min_version);
        fresh && (!job.single_version || versions.iter().all(|version| *version == versions[0]))
    }
}
