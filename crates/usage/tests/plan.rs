//! Tests of usage reports when the reporting box changes: no window is skipped, and all reports of
//! a window agree.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use ids::{CustomerName, ObjectVersion};
use usage::{
    ReportAction, ReportPlan, ReportTimes, SendOutcome, StoreOutcome, UnixTime, UsageReport,
    UsageWindow, WindowLength,
};

const LENGTH: Duration = Duration::from_secs(5);
const FIRST: u64 = 100;

fn times() -> ReportTimes {
    let length = WindowLength::new(LENGTH).expect("a positive length");
    ReportTimes::new(length, Duration::from_secs(10))
}

fn plan() -> ReportPlan {
    ReportPlan::new(times(), UsageWindow::new(FIRST))
}

/// Time at `millis` after the end of the first window.
fn after_first(millis: u64) -> UnixTime {
    UnixTime::new((FIRST + 1) * 5_000 + millis)
}

fn report(window: u64, requests: u64) -> UsageReport {
    let customer: CustomerName = "cuka".parse().expect("a valid name");
    UsageReport { window: UsageWindow::new(window), counts: BTreeMap::from([(customer, requests)]) }
}

fn commit(window: u64, version: u64) -> ReportAction {
    let expect = ObjectVersion::new(version);
    ReportAction::Commit { window: UsageWindow::new(window), expect }
}

#[test]
fn window_is_committed_after_settle_time_and_then_sent() {
    let mut plan = plan();
    assert_eq!(plan.poll(after_first(0), true), Some(ReportAction::Read));
    plan.read_done(StoreOutcome::Absent);
    assert_eq!(plan.poll(after_first(1_900), true), None);
    assert_eq!(plan.poll(after_first(2_000), true), Some(commit(FIRST, 0)));
    plan.commit_done(StoreOutcome::Holds(ObjectVersion::new(9), report(FIRST, 4)));
    assert_eq!(plan.poll(after_first(2_000), true), Some(ReportAction::Send(report(FIRST, 4))));
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Accepted);
    assert_eq!(plan.last_delivered(), Some(UsageWindow::new(FIRST)));
    assert_eq!(plan.poll(after_first(6_900), true), None);
    assert_eq!(plan.poll(after_first(7_000), true), Some(commit(FIRST + 1, 9)));
}

#[test]
fn unreachable_boxes_delay_report_by_half_of_due_time() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    assert_eq!(plan.poll(after_first(4_900), false), None);
    assert_eq!(plan.poll(after_first(5_000), false), Some(commit(FIRST, 0)));
}

#[test]
fn failed_report_is_resent_and_refused_one_is_not() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Holds(ObjectVersion::new(3), report(FIRST, 4)));
    let send = Some(ReportAction::Send(report(FIRST, 4)));
    assert_eq!(plan.poll(after_first(2_000), true), send);
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Failed);
    assert_eq!(plan.poll(after_first(2_100), true), send);
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Refused);
    assert_eq!(plan.poll(after_first(7_000), true), Some(commit(FIRST + 1, 3)));
}

#[test]
fn outage_windows_are_reported_in_order_while_kept() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Holds(ObjectVersion::new(3), report(FIRST, 4)));
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Accepted);
    // One minute later, the next window is due first.
    assert_eq!(plan.poll(after_first(60_000), true), Some(commit(FIRST + 1, 3)));
    // Ten minutes later, only the kept windows are due.
    let oldest_kept = FIRST + 1 + 120 - 24;
    assert_eq!(plan.poll(after_first(600_000), true), Some(commit(oldest_kept, 3)));
}

#[test]
fn late_first_report_starts_at_oldest_kept_window() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    let oldest_kept = FIRST + 1 + 120 - 24;
    assert_eq!(plan.poll(after_first(600_000), true), Some(commit(oldest_kept, 0)));
}

#[test]
fn uncertain_write_is_read_back() {
    for outcome in [StoreOutcome::Uncertain, StoreOutcome::Absent] {
        let mut plan = plan();
        plan.read_done(StoreOutcome::Absent);
        plan.commit_done(outcome);
        assert_eq!(plan.poll(after_first(2_000), true), Some(ReportAction::Read));
    }
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    plan.commit_done(StoreOutcome::NotApplied);
    assert_eq!(plan.poll(after_first(2_000), true), Some(commit(FIRST, 0)));
}

/// Store with the object of the last report.
#[derive(Default)]
struct Store {
    version: u64,
    report: Option<UsageReport>,
}

impl Store {
    fn read(&self) -> StoreOutcome {
        match &self.report {
            Some(report) => StoreOutcome::Holds(ObjectVersion::new(self.version), report.clone()),
            None => StoreOutcome::Absent,
        }
    }

    /// Conditional write; returns `true` if it was applied.
    fn write(&mut self, expect: ObjectVersion, report: UsageReport) -> bool {
        if expect.get() != self.version {
            return false;
        }
        self.version += 1;
        self.report = Some(report);
        true
    }
}

#[test]
fn reports_of_one_window_never_differ() {
    arbtest(|u| {
        let mut store = Store::default();
        let mut plans = [plan(), plan(), plan()];
        let mut sent: BTreeMap<UsageWindow, UsageReport> = BTreeMap::new();
        // An action may be executed long after it was polled, and after actions of other boxes.
        let mut pending: [Option<ReportAction>; 3] = [None, None, None];
        let mut now = 0;
        for counted in 0..u.int_in_range(5..=120)? {
            now += u.int_in_range(0..=3_000)?;
            let index: usize = u.int_in_range(0..=2)?;
            if u.ratio(1, 10)? {
                // The box restarts, or acquires the lease again.
                plans[index] = plan();
                pending[index] = None;
                continue;
            }
            let Some(action) = pending[index].take() else {
                pending[index] = plans[index].poll(after_first(now), u.arbitrary()?);
                continue;
            };
            let (lost, failed) = (u.ratio(1, 5)?, u.ratio(1, 5)?);
            match action {
                ReportAction::Read if failed => plans[index].read_done(StoreOutcome::NotApplied),
                ReportAction::Read => plans[index].read_done(store.read()),
                ReportAction::Commit { .. } if failed => {
                    plans[index].commit_done(StoreOutcome::NotApplied);
                }
                ReportAction::Commit { window, expect } => {
                    // Each box has different counts.
                    let committed = report(window.get(), counted);
                    let written = store.write(expect, committed.clone());
                    let outcome = if written && !lost {
                        StoreOutcome::Holds(ObjectVersion::new(store.version), committed)
                    } else {
                        StoreOutcome::Uncertain
                    };
                    plans[index].commit_done(outcome);
                }
                ReportAction::Send(committed) => {
                    let outcome = if failed { SendOutcome::Failed } else { SendOutcome::Accepted };
                    if let Some(earlier) = sent.get(&committed.window) {
                        assert_eq!(*earlier, committed, "two reports of one window");
                    }
                    sent.insert(committed.window, committed.clone());
                    plans[index].send_done(committed.window, outcome);
                }
            }
        }
        Ok(())
    });
}

#[test]
fn alternating_boxes_report_every_window_in_order() {
    let mut store = Store::default();
    let mut delivered = Vec::new();
    let mut now = 2_000;
    for turn in 0..8 {
        // Each turn is another box, which starts by reading the store.
        let mut plan = plan();
        for _ in 0..12 {
            match plan.poll(after_first(now), true) {
                None => now += 1_000,
                Some(ReportAction::Read) => plan.read_done(store.read()),
                Some(ReportAction::Commit { window, expect }) => {
                    let committed = report(window.get(), turn);
                    assert!(store.write(expect, committed.clone()));
                    let version = ObjectVersion::new(store.version);
                    plan.commit_done(StoreOutcome::Holds(version, committed));
                }
                Some(ReportAction::Send(committed)) => {
                    delivered.push(committed.window.get());
                    plan.send_done(committed.window, SendOutcome::Accepted);
                }
            }
        }
    }
    delivered.dedup();
    let last = *delivered.last().expect("at least one report");
    assert!(last > FIRST + 5, "{delivered:?}");
    assert_eq!(delivered, (FIRST..=last).collect::<Vec<_>>());
}
