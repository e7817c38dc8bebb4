//! State of one item of a job, and the runs and reward calls that produce its result.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use ids::{FencingToken, JobId, Moment};
use wire::peer::log_record::Body;
use wire::peer::{ItemProgress, Job, JobItem, LogRecord};

use crate::{LengthForecast, Urgency, pack_text};

/// Identifies an item by its job and index.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ItemRef {
    /// The job.
    pub job: JobId,
    /// Index of the item in the job.
    pub index: u32,
}

/// Inputs of one run of an item.
#[derive(Debug, Clone)]
pub struct RunSpec {
    /// The item to run.
    pub item: ItemRef,
    /// The job that contains the item.
    pub job: Arc<Job>,
    /// Number of events already in the text; the run continues after them.
    pub events: u32,
    /// Size of the text so far, in bytes.
    pub text_bytes: usize,
    /// Newest weight version in the text so far.
    pub newest: Option<u64>,
    /// Whether the text is complete and only the reward call is missing.
    pub complete: bool,
    /// Number of this run of the item; results of earlier runs are ignored.
    pub run: u32,
    /// Number of runs since the last event that were ended since their target was silent.
    pub silent_runs: u32,
    /// Predicted length of the text.
    pub forecast: LengthForecast,
    /// Urgency of the item; `None` if items are ordered by acceptance.
    pub urgency: Option<Urgency>,
}

impl RunSpec {
    /// Returns the record for the events that a cut or moved run has not logged. The next run
    /// starts after them, and its records must continue the logged text without a gap.
    pub fn unlogged_progress(&self, result: &RunResult) -> Option<LogRecord> {
        let continues =
            matches!(result.outcome, RunOutcome::Cut | RunOutcome::Silent | RunOutcome::Moved);
        let has_unlogged = result.events.len() > result.logged && !self.job.single_version;
        (continues && has_unlogged).then(|| self.progress(&result.events, result.logged))
    }

    /// Returns the record that logs the events of a run after the first `logged` ones, which are
    /// logged already.
    pub fn progress(&self, events: &[RunEvent], logged: usize) -> LogRecord {
        let count = |events: usize| u32::try_from(events).unwrap_or(u32::MAX);
        let mut state = ItemState::new();
        state.add_events(&events[logged..]);
        let progress = ItemProgress {
            job: self.item.job.to_string(),
            index: self.item.index,
            from_event: self.events + count(logged),
            events: state.events,
            packed_text: pack_text(&state.text),
            versions: state.versions,
            complete: false,
        };
        LogRecord { body: Some(Body::Progress(progress)) }
    }

    /// Returns the item's request.
    pub fn request(&self) -> Option<&JobItem> {
        self.job.items.get(self.item.index as usize)
    }
}

/// How a run of an item ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The response ended correctly after its last event.
    Complete,
    /// The response broke off; another target continues after the last complete event.
    Cut,
    /// The target was silent for too long; another target continues as for [`Self::Cut`].
    Silent,
    /// This box ended the run to continue it on a faster target immediately.
    Moved,
    /// The target did not accept the work.
    NotRun,
    /// The target responded with an error.
    Failed,
    /// The item can never succeed; it is given up.
    Impossible,
}

/// Result of a run.
#[derive(Debug, Clone)]
pub struct RunResult {
    /// How it ended.
    pub outcome: RunOutcome,
    /// Complete events received, in order.
    pub events: Vec<RunEvent>,
    /// Number of these events that were logged during the run.
    pub logged: usize,
}

/// One complete event of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEvent {
    /// Data of the event.
    pub data: Vec<u8>,
    /// Weight version that generated it.
    pub version: u64,
}

/// How a reward call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RewardOutcome {
    /// The call succeeded with this score.
    Scored(String),
    /// The target responded with an error; the item may be given up after `attempts` such
    /// errors, or after as many as its own route allows, whichever is more.
    Failed {
        /// Attempts allowed by the reward call's route.
        attempts: u32,
    },
    /// No usable response arrived, or no target accepted the call.
    Missed,
    /// Targets have just crashed under the call; it was not made, and may be made after this time.
    Delayed(Duration),
}

/// Why an item is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// Its runs failed as often as its route allows, or it can never succeed.
    Failures,
    /// Its reward calls failed too often.
    RewardFailures,
    /// It waited longer than its route allows.
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

/// Phase of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ItemPhase {
    /// Queued to start.
    Waiting,
    /// A run or a reward call is in progress.
    Running,
    /// Its record is being appended to the log, or applied.
    Listed,
}

/// Volatile state of an item, lost with the box.
#[derive(Debug, Clone)]
pub(crate) struct ItemState {
    pub phase: ItemPhase,
    /// Number of the last run.
    pub run: u32,
    /// Number of runs since the last event that were ended since their target was silent.
    pub silent_runs: u32,
    pub not_before: Moment,
    /// Start of the last run.
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
    /// The oldest segment of the log that is needed to replay the text, if an earlier job left the
    /// text over.
    pub carried_from: Option<FencingToken>,
}

impl ItemState {
    pub(crate) const fn new() -> Self {
        Self {
            phase: ItemPhase::Waiting,
            run: 0,
            silent_runs: 0,
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
            carried_from: None,
        }
    }

    pub(crate) fn add_events(&mut self, events: &[RunEvent]) {
        for event in events {
            self.add_text(&event.data, 1, &[event.version]);
        }
    }

    /// Appends the joined data of `events` events.
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

    pub(crate) fn clear_text(&mut self) {
        self.text = Vec::new();
        self.events = 0;
        self.versions = Vec::new();
        self.complete = false;
        self.score = None;
        self.carried_from = None;
    }

    /// Whether the job allows a sample with these versions.
    pub(crate) fn versions_fit(versions: &[u64], job: &Job) -> bool {
        let fresh = versions.iter().all(|version| *version >= job.min_version);
        fresh && (!job.single_version || versions.iter().all(|version| *version == versions[0]))
    }
}
