//! What the reporting box does next.
//!
//! A report is fixed before it is sent: its counts are written to one object of the store, in place of the last report
//! that was read there, and only what stands there is ever sent. So a box that takes the duty over sends the last fixed
//! window again, with the same counts, and goes on after it; a repeat changes nothing at the receiver, while other
//! counts for the same window would contradict what it was told before.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{CustomerName, ObjectVersion, whole_millis};
use serde::{Deserialize, Serialize};

use crate::{UnixTime, UsageWindow, WindowLength};

/// A report as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The window.
    pub window: UsageWindow,
    /// Requests that targets began in it, by customer.
    pub counts: BTreeMap<CustomerName, u64>,
}

/// When windows are reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTimes {
    /// How long a window is.
    pub length: WindowLength,
    /// How long after its end a window's counts are awaited when all boxes are heard.
    pub settle: Duration,
    /// How long when some are not.
    pub patience: Duration,
    /// Windows that a box which takes over catches up at the most.
    pub most_behind: u64,
}

impl ReportTimes {
    /// Times for reports that are due `late` after their window's end. Counts take half a second to the reporter
    /// where nothing is wrong. A report that is fixed halfway to its time still leaves the other half for a change
    /// of the reporting box.
    pub fn new(length: WindowLength, late: Duration) -> Self {
        Self {
            length,
            settle: (late / 5).min(Duration::from_secs(2)),
            patience: late / 2,
            most_behind: MOST_BEHIND,
        }
    }
}

/// Counts are held for as many windows; older ones are lost, and a report of nothing would be a wrong one.
const MOST_BEHIND: u64 = 24;

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportAction {
    /// Read the object of the last report, then call [`ReportPlan::read_done`].
    Read,
    /// Write this report in its place, with the counts of its window, then call [`ReportPlan::commit_done`].
    Commit {
        /// The window whose counts are due.
        window: UsageWindow,
        /// The version that the write is conditional on; zero means that the object must be absent.
        expect: ObjectVersion,
    },
    /// Send this report, then call [`ReportPlan::send_done`].
    Send(UsageReport),
}

/// How a call about the object ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// It holds this report, under this version.
    Holds(ObjectVersion, UsageReport),
    /// There is no such object.
    Absent,
    /// It is another than the write was conditional on, or nobody knows.
    Unsure,
    /// Nothing was done.
    NotApplied,
}

/// How the sending of a report ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// It was taken.
    Taken,
    /// It will never be taken.
    Refused,
    /// It was not taken, or nobody knows.
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum Known {
    /// The object must be read first.
    Nothing,
    /// There is no report yet.
    Absent,
    /// The last report, and whether it was taken.
    Report { version: ObjectVersion, report: UsageReport, taken: bool },
}

/// The reports of one holder of the duty.
#[derive(Debug, Clone)]
pub struct ReportPlan {
    times: ReportTimes,
    known: Known,
    /// The first window that this box may report: counts before its start are not all known.
    first: UsageWindow,
}

impl ReportPlan {
    /// A plan that knows nothing; the deployment's first report is that of `first`.
    pub const fn new(times: ReportTimes, first: UsageWindow) -> Self {
        Self { times, known: Known::Nothing, first }
    }

    /// Forgets what was read: another box may have reported meanwhile.
    pub fn begin_anew(&mut self) {
        self.known = Known::Nothing;
    }

    /// The next action, if one is due. `all_heard` tells whether every box that may hold counts was heard just now.
    pub fn poll(&self, now: UnixTime, all_heard: bool) -> Option<ReportAction> {
        let (window, expect) = match &self.known {
            Known::Nothing => return Some(ReportAction::Read),
            Known::Report { report, taken: false, .. } => {
                return Some(ReportAction::Send(report.clone()));
            }
            Known::Absent => (self.first.max(self.oldest_held(now)), ObjectVersion::default()),
            Known::Report { version, report, .. } => {
                (report.window.next().max(self.oldest_held(now)), *version)
            }
        };
        let wait = if all_heard { self.times.settle } else { self.times.patience };
        let due = self.times.length.end_of(window).millis() + whole_millis(wait);
        (now.millis() >= due).then_some(ReportAction::Commit { window, expect })
    }

    /// The oldest window whose counts are not forgotten.
    const fn oldest_held(&self, now: UnixTime) -> UsageWindow {
        self.times.length.window_of(now).back(self.times.most_behind)
    }

    /// Takes what was read.
    pub fn read_done(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Holds(version, report) => {
                // Whether an earlier holder was answered is not known here.
                self.known = Known::Report { version, report, taken: false };
            }
            StoreOutcome::Absent => self.known = Known::Absent,
            StoreOutcome::Unsure | StoreOutcome::NotApplied => {}
        }
    }

    /// Takes how the write of a report ended.
    pub fn commit_done(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Holds(version, report) => {
                self.known = Known::Report { version, report, taken: false };
            }
            // Written by another box, or by this one without its knowing: what stands there counts.
            StoreOutcome::Absent | StoreOutcome::Unsure => self.known = Known::Nothing,
            StoreOutcome::NotApplied => {}
        }
    }

    /// Takes how the sending of a report ended.
    pub fn send_done(&mut self, window: UsageWindow, outcome: SendOutcome) {
        if let Known::Report { report, taken, .. } = &mut self.known
            && report.window == window
        {
            *taken = outcome != SendOutcome::Failed;
        }
    }

    /// The last window that was taken, as far as this box knows.
    pub const fn last_taken(&self) -> Option<UsageWindow> {
        match &self.known {
            Known::Report { report, taken: true, .. } => Some(report.window),
            _ => None,
        }
    }
}
