//! Reports that a box has not sent yet, by the cell that they are for.

use std::collections::VecDeque;
use std::time::Duration;

use ids::Moment;

use crate::{CellLayout, TargetReport};

/// Maximum number of reports that wait for one cell; bounds the size of an ask.
const MAX_REPORTS_PER_CELL: usize = 16;
/// Reports that are older are dropped: they say little about a target's load, and a failure that
/// is reported late would keep a recovered target from getting requests.
const REPORT_MAX_AGE: Duration = Duration::from_secs(1);

/// Reports about the targets of one service. The home of a cell knows only its own targets, so a
/// report waits until this box asks the home of its target's cell.
#[derive(Debug, Clone, Default)]
pub struct ReportBuffer {
    reports: VecDeque<(Moment, TargetReport)>,
}

impl ReportBuffer {
    /// Adds a report, unless as many wait for its cell already or the target is in no cell.
    pub fn add(&mut self, now: Moment, cells: &CellLayout, report: TargetReport) {
        self.drop_expired(now);
        let Some(cell) = cells.cell_of(&report.target) else { return };
        let same_cell =
            |(_, other): &&(Moment, TargetReport)| cells.cell_of(&other.target) == Some(cell);
        if self.reports.iter().filter(same_cell).count() < MAX_REPORTS_PER_CELL {
            self.reports.push_back((now, report));
        }
    }

    /// Removes and returns the reports for a cell, oldest first.
    pub fn take(&mut self, now: Moment, cells: &CellLayout, cell: u32) -> Vec<TargetReport> {
        self.drop_expired(now);
        let (taken, kept) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition(|(_, report)| cells.cell_of(&report.target) == Some(cell));
        self.reports = kept;
        let taken: VecDeque<(Moment, TargetReport)> = taken;
        taken.into_iter().map(|(_, report)| report).collect()
    }

    fn drop_expired(&mut self, now: Moment) {
        while self.reports.front().is_some_and(|(at, _)| now.since(*at) >= REPORT_MAX_AGE) {
            self.reports.pop_front();
        }
    }
}
