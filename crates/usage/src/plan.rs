//! Decides the next action of the reporting box.
//!
//! A report is committed before it is sent: its counts replace the last report in one object of the
//! store, and only the stored report is sent. A box that takes over sends the last committed window
//! again, with the same counts, and continues after it. The receiver ignores repeats, but different
//! counts for the same window would contradict the earlier report.

use std::collections::BTreeMap;
use std::time::Duration;

use ids::{CustomerName, ObjectVersion, whole_millis};
use serde::{Deserialize, Serialize};

use crate::{UnixTime, UsageWindow, WindowLength};

/// A report as stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The reported window.
    pub window: UsageWindow,
    /// Number of requests that started at targets in the window, by customer.
    pub counts: BTreeMap<CustomerName, u64>,
}

/// Timing of reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportTimes {
    /// Length of a window.
    pub length: WindowLength,
    /// Delay after the end of a window if all boxes are reachable.
    pub settle: Duration,
    /// Delay after the end of a window if some boxes are unreachable.
    pub timeout: Duration,
    /// Maximum number of past windows to report; older ones are skipped.
    pub max_behind: u64,
}

impl ReportTimes {
    /// Derives the times for reports due `late` after the end of their window. Half of that time
    /// remains for a change of the reporting box.
    pub fn new(length: WindowLength, late: Duration) -> Self {
        Self {
            length,
            settle: (late / 5).min(Duration::from_secs(2)),
            timeout: late / 2,
            max_behind: MAX_BEHIND,
        }
    }
}

/// Maximum number of past windows to report. Boxes may have dropped the counts of older ones.
const MAX_BEHIND: u64 = 24;

/// Next action of the reporting box.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReportAction {
    /// Read the object of the last report, then call [`ReportPlan::read_done`].
    Read,
    /// Write the counts of this window to the object, then call [`ReportPlan::commit_done`].
    Commit {
        /// The window to report.
        window: UsageWindow,
        /// Expected version of the object; zero if it must not exist.
        expect: ObjectVersion,
    },
    /// Send this report, then call [`ReportPlan::send_done`].
    Send(UsageReport),
}

/// Outcome of a read or write of the object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOutcome {
    /// The object holds this report, at this version.
    Holds(ObjectVersion, UsageReport),
    /// The object does not exist.
    Absent,
    /// The write may have been applied, or the object's version did not match.
    Uncertain,
    /// The call definitely had no effect.
    NotApplied,
}

/// Outcome of sending a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// The receiver accepted it.
    Accepted,
    /// The receiver refused it permanently.
    Refused,
    /// It was not accepted, or the outcome is unknown.
    Failed,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum LastReport {
    /// The object must be read first.
    Unread,
    /// The object does not exist.
    Absent,
    /// The last report; `delivered` once the receiver has accepted it or refused it permanently.
    Report { version: ObjectVersion, report: UsageReport, delivered: bool },
}

/// Report state of one leaseholder.
#[derive(Debug, Clone)]
pub struct ReportPlan {
    times: ReportTimes,
    last: LastReport,
    /// The window to start with if no report is stored. Counts of earlier windows are incomplete.
    first: UsageWindow,
}

impl ReportPlan {
    /// Creates a plan that starts by reading the store. `first` is used if no report exists yet.
    pub const fn new(times: ReportTimes, first: UsageWindow) -> Self {
        Self { times, last: LastReport::Unread, first }
    }

    /// Discards what was read: another box may have reported since.
    pub fn reset(&mut self) {
        self.last = LastReport::Unread;
    }

    /// Returns the next action, if one is due. `all_reachable` is whether every box that may hold
    /// counts has been reachable recently.
    pub fn poll(&self, now: UnixTime, all_reachable: bool) -> Option<ReportAction> {
        let (window, expect) = match &self.last {
            LastReport::Unread => return Some(ReportAction::Read),
            LastReport::Report { report, delivered: false, .. } => {
                return Some(ReportAction::Send(report.clone()));
            }
            LastReport::Absent => (self.first.max(self.oldest_kept(now)), ObjectVersion::default()),
            LastReport::Report { version, report, .. } => {
                (report.window.next().max(self.oldest_kept(now)), *version)
            }
        };
        let wait = if all_reachable { self.times.settle } else { self.times.timeout };
        let due = self.times.length.end_of(window).millis() + whole_millis(wait);
        (now.millis() >= due).then_some(ReportAction::Commit { window, expect })
    }

    /// The oldest window that is reported; boxes keep the counts at least that long.
    const fn oldest_kept(&self, now: UnixTime) -> UsageWindow {
        self.times.length.window_of(now).back(self.times.max_behind)
    }

    /// Applies the outcome of a read.
    pub fn read_done(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Holds(version, report) => {
                // It is unknown whether the previous leaseholder sent it.
                self.last = LastReport::Report { version, report, delivered: false };
            }
            StoreOutcome::Absent => self.last = LastReport::Absent,
            StoreOutcome::Uncertain | StoreOutcome::NotApplied => {}
        }
    }

    /// Applies the outcome of a write.
    pub fn commit_done(&mut self, outcome: StoreOutcome) {
        match outcome {
            StoreOutcome::Holds(version, report) => {
                self.last = LastReport::Report { version, report, delivered: false };
            }
            // Reads back the stored report: this write or another box's may have been applied.
            StoreOutcome::Absent | StoreOutcome::Uncertain => self.last = LastReport::Unread,
            StoreOutcome::NotApplied => {}
        }
    }

    /// Applies the outcome of sending a report.
    pub fn send_done(&mut self, window: UsageWindow, outcome: SendOutcome) {
        if let LastReport::Report { report, delivered, .. } = &mut self.last
            && report.window == window
        {
            *delivered = outcome != SendOutcome::Failed;
        }
    }

    /// The last window that the receiver accepted or refused; `None` if not known.
    pub const fn last_delivered(&self) -> Option<UsageWindow> {
        match &self.last {
            LastReport::Report { report, delivered: true, .. } => Some(report.window),
            _ => None,
        }
    }
}
