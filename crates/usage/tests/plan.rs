//! Reports of use by boxes that take the duty from each other: never two different ones for a window, none left out.

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
    let length = WindowLength::new(LENGTH).expect("a length");
    ReportTimes::new(length, Duration::from_secs(10))
}

fn plan() -> ReportPlan {
    ReportPlan::new(times(), UsageWindow::new(FIRST))
}

/// So long after the end of the first window.
fn after_first(millis: u64) -> UnixTime {
    UnixTime::new((FIRST + 1) * 5_000 + millis)
}

fn report(window: u64, requests: u64) -> UsageReport {
    let customer: CustomerName = "cuka".parse().expect("a name");
    UsageReport { window: UsageWindow::new(window), counts: BTreeMap::from([(customer, requests)]) }
}

fn fix(window: u64, version: u64) -> ReportAction {
    let expect = ObjectVersion::new(version);
    ReportAction::Commit { window: UsageWindow::new(window), expect }
}

#[test]
fn a_window_is_fixed_once_its_counts_have_had_time_to_come_and_sent_as_fixed() {
    let mut plan = plan();
    assert_eq!(plan.poll(after_first(0), true), Some(ReportAction::Read));
    plan.read_done(StoreOutcome::Absent);
    assert_eq!(plan.poll(after_first(1_900), true), None);
    assert_eq!(plan.poll(after_first(2_000), true), Some(fix(FIRST, 0)));
    plan.commit_done(StoreOutcome::Holds(ObjectVersion::new(9), report(FIRST, 4)));
    assert_eq!(plan.poll(after_first(2_000), true), Some(ReportAction::Send(report(FIRST, 4))));
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Taken);
    assert_eq!(plan.last_taken(), Some(UsageWindow::new(FIRST)));
    assert_eq!(plan.poll(after_first(6_900), true), None);
    assert_eq!(plan.poll(after_first(7_000), true), Some(fix(FIRST + 1, 9)));
}

#[test]
fn counts_of_boxes_that_are_not_heard_are_awaited_for_half_of_the_time() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    assert_eq!(plan.poll(after_first(4_900), false), None);
    assert_eq!(plan.poll(after_first(5_000), false), Some(fix(FIRST, 0)));
}

#[test]
fn a_report_without_an_answer_is_sent_again_and_a_refused_one_is_not() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Holds(ObjectVersion::new(3), report(FIRST, 4)));
    let send = Some(ReportAction::Send(report(FIRST, 4)));
    assert_eq!(plan.poll(after_first(2_000), true), send);
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Failed);
    assert_eq!(plan.poll(after_first(2_100), true), send);
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Refused);
    assert_eq!(plan.poll(after_first(7_000), true), Some(fix(FIRST + 1, 3)));
}

#[test]
fn windows_of_an_outage_are_caught_up_in_order_and_none_whose_counts_are_forgotten() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Holds(ObjectVersion::new(3), report(FIRST, 4)));
    plan.send_done(UsageWindow::new(FIRST), SendOutcome::Taken);
    // A minute later: the very next window comes first.
    assert_eq!(plan.poll(after_first(60_000), true), Some(fix(FIRST + 1, 3)));
    // Ten minutes later only the windows whose counts are held.
    let held = FIRST + 1 + 120 - 24;
    assert_eq!(plan.poll(after_first(600_000), true), Some(fix(held, 3)));
}

#[test]
fn a_deployment_that_reports_for_the_first_time_long_after_its_start_begins_with_what_is_held() {
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    let held = FIRST + 1 + 120 - 24;
    assert_eq!(plan.poll(after_first(600_000), true), Some(fix(held, 0)));
}

#[test]
fn a_write_that_may_have_been_done_is_read_back() {
    for outcome in [StoreOutcome::Unsure, StoreOutcome::Absent] {
        let mut plan = plan();
        plan.read_done(StoreOutcome::Absent);
        plan.commit_done(outcome);
        assert_eq!(plan.poll(after_first(2_000), true), Some(ReportAction::Read));
    }
    let mut plan = plan();
    plan.read_done(StoreOutcome::Absent);
    plan.commit_done(StoreOutcome::NotApplied);
    assert_eq!(plan.poll(after_first(2_000), true), Some(fix(FIRST, 0)));
}

/// The object of the last report.
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

    /// A conditional write; `true` when it took effect.
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
fn no_window_is_ever_sent_with_two_counts_whoever_reports() {
    arbtest(|u| {
        let mut store = Store::default();
        let mut plans = [plan(), plan(), plan()];
        let mut sent: BTreeMap<UsageWindow, UsageReport> = BTreeMap::new();
        // An action that was polled may be carried out much later, after others': a process may be stopped there.
        let mut pending: [Option<ReportAction>; 3] = [None, None, None];
        let mut now = 0;
        for counted in 0..u.int_in_range(5..=120)? {
            now += u.int_in_range(0..=3_000)?;
            let who: usize = u.int_in_range(0..=2)?;
            if u.ratio(1, 10)? {
                // It restarts, or takes the duty anew.
                plans[who] = plan();
                pending[who] = None;
                continue;
            }
            let Some(action) = pending[who].take() else {
                pending[who] = plans[who].poll(after_first(now), u.arbitrary()?);
                continue;
            };
            let (lost, weak) = (u.ratio(1, 5)?, u.ratio(1, 5)?);
            match action {
                ReportAction::Read if weak => plans[who].read_done(StoreOutcome::NotApplied),
                ReportAction::Read => plans[who].read_done(store.read()),
                ReportAction::Commit { .. } if weak => {
                    plans[who].commit_done(StoreOutcome::NotApplied);
                }
                ReportAction::Commit { window, expect } => {
                    // Each box counts differently.
                    let fixed = report(window.get(), counted);
                    let written = store.write(expect, fixed.clone());
                    let outcome = if written && !lost {
                        StoreOutcome::Holds(ObjectVersion::new(store.version), fixed)
                    } else {
                        StoreOutcome::Unsure
                    };
                    plans[who].commit_done(outcome);
                }
                ReportAction::Send(fixed) => {
                    let outcome = if weak { SendOutcome::Failed } else { SendOutcome::Taken };
                    if let Some(earlier) = sent.get(&fixed.window) {
                        assert_eq!(*earlier, fixed, "two reports of one window");
                    }
                    sent.insert(fixed.window, fixed.clone());
                    plans[who].send_done(fixed.window, outcome);
                }
            }
        }
        Ok(())
    });
}

#[test]
fn every_window_is_reported_in_order_by_boxes_that_take_turns() {
    let mut store = Store::default();
    let mut taken = Vec::new();
    let mut now = 2_000;
    for turn in 0..8 {
        // Each turn another box, which knows nothing.
        let mut plan = plan();
        for _ in 0..12 {
            match plan.poll(after_first(now), true) {
                None => now += 1_000,
                Some(ReportAction::Read) => plan.read_done(store.read()),
                Some(ReportAction::Commit { window, expect }) => {
                    let fixed = report(window.get(), turn);
                    assert!(store.write(expect, fixed.clone()));
                    let version = ObjectVersion::new(store.version);
                    plan.commit_done(StoreOutcome::Holds(version, fixed));
                }
                Some(ReportAction::Send(fixed)) => {
                    taken.push(fixed.window.get());
                    plan.send_done(fixed.window, SendOutcome::Taken);
                }
            }
        }
    }
    taken.dedup();
    let last = *taken.last().expect("some were sent");
    assert!(last > FIRST + 5, "{taken:?}");
    assert_eq!(taken, (FIRST..=last).collect::<Vec<_>>());
}
