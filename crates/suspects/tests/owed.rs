//! Tests of owed work: when it may run after crashes, and what its crashes mean for other work.

use std::time::Duration;

use ids::{InstanceId, Moment, ServiceName, StartTime, TargetIncarnation, WorkDigest};
use suspects::{QUARANTINE_CRASHES, SuspectTable, SuspectWrite, TargetCrash};

/// An item that waits this long while targets are free counts as lost.
const MAX_WAIT: Duration = Duration::from_secs(5);
const SECOND: Duration = Duration::from_secs(1);
/// Longer than the settle window.
const SETTLE_WAIT: Duration = SECOND;

fn work(name: &str) -> WorkDigest {
    WorkDigest::of(&[name.as_bytes()])
}

fn service() -> ServiceName {
    "desk".parse().expect("a valid ID")
}

fn crash_of(number: usize) -> TargetCrash {
    let instance: InstanceId = format!("i-{number}").parse().expect("a valid ID");
    let life = TargetIncarnation { instance, born: StartTime::default() };
    TargetCrash { life, software: None }
}

fn at(seconds: u64) -> Moment {
    Moment::after_start(Duration::from_secs(seconds))
}

/// Crashes a target that runs all of `works`.
fn crash_under(table: &mut SuspectTable, now: Moment, number: usize, works: &[&str]) {
    for name in works {
        table.record_disconnect(now, work(name), &service(), crash_of(number));
    }
    table.connection_refused(now, &crash_of(number).life);
}

/// Crashes targets under `name`, one each second from `start` on.
fn crash_until_quarantine(table: &mut SuspectTable, start: u64, name: &str) -> Moment {
    for number in 0..QUARANTINE_CRASHES {
        crash_under(table, at(start + number as u64), number, &[name]);
    }
    at(start + QUARANTINE_CRASHES as u64 - 1)
}

fn delay(table: &mut SuspectTable, now: Moment, name: &str) -> Duration {
    table.space_owed(now, work(name), &service())
}

fn is_quarantined(table: &SuspectTable, now: Moment, name: &str) -> bool {
    !table.quarantined_versions(now + SETTLE_WAIT, work(name), &service()).is_empty()
}

/// Guards against items that are never placed again after crashes.
#[test]
fn owed_work_runs_again_however_many_targets_crashed() {
    let mut table = SuspectTable::default();
    assert!(delay(&mut table, at(1), "item").is_zero(), "without crashes");
    crash_under(&mut table, at(1), 100, &["item"]);
    assert!(delay(&mut table, at(1), "item").is_zero(), "after a single crash");
    let mut now = crash_until_quarantine(&mut table, 2, "item");
    for number in 0..20 {
        let wait = delay(&mut table, now, "item");
        assert!(wait > Duration::ZERO && wait < MAX_WAIT, "{wait:?} after {number} more crashes");
        now = now + wait;
        assert!(delay(&mut table, now, "item").is_zero());
        crash_under(&mut table, now, 200 + number, &["item"]);
    }
}

/// Guards against long waits after a burst that had nothing to do with the item.
#[test]
fn burst_at_other_targets_delays_owed_work_only_shortly() {
    let mut table = SuspectTable::default();
    let last = crash_until_quarantine(&mut table, 1, "item");
    assert!(delay(&mut table, last, "item") > SECOND, "only its own targets crashed");
    crash_under(&mut table, last, 100, &["other"]);
    assert!(delay(&mut table, last, "item") < SECOND, "another target crashed too");
    let other_service: ServiceName = "other".parse().expect("a valid ID");
    let mut table = SuspectTable::default();
    let last = crash_until_quarantine(&mut table, 1, "item");
    table.record_disconnect(last, work("other"), &other_service, crash_of(100));
    table.connection_refused(last, &crash_of(100).life);
    assert!(delay(&mut table, last, "item") > SECOND, "a target of another service crashed");
}

/// Guards against a server that takes an item over and runs it right after a crash that the server
/// before it could not publish.
#[test]
fn crashes_published_by_another_box_space_owed_work() {
    let mut observer = SuspectTable::default();
    let last = crash_until_quarantine(&mut observer, 1, "item");
    let writes = observer.due_writes();
    let [SuspectWrite::Publish { record, .. }] = &*writes else { panic!("{writes:?}") };
    let mut table = SuspectTable::default();
    table.apply_record(last, work("item"), 1, record.clone());
    let taken_over_at = last + SECOND * 60;
    let wait = delay(&mut table, taken_over_at, "item");
    assert!(wait > SECOND && wait < MAX_WAIT, "{wait:?}");
    assert!(delay(&mut table, taken_over_at + wait, "item").is_zero());
}

/// Guards against a crash that is laid on innocent work beside an item once the item has succeeded.
#[test]
fn crashes_of_spaced_work_explain_those_of_work_beside_it() {
    for item_runs_again in [false, true] {
        let mut table = SuspectTable::default();
        for number in 0..QUARANTINE_CRASHES - 1 {
            crash_under(&mut table, at(1), number, &["item", "beside"]);
        }
        crash_under(&mut table, at(1), 10, &["item"]);
        crash_under(&mut table, at(1), 11, &["item"]);
        crash_under(&mut table, at(1), 12, &["beside"]);
        if item_runs_again {
            let wait = delay(&mut table, at(2), "item");
            assert!(delay(&mut table, at(2) + wait, "item").is_zero());
            table.succeeded(work("item"));
        }
        assert!(!is_quarantined(&table, at(20), "beside"), "runs again: {item_runs_again}");
    }
}

/// Guards against poison requests that stay free because items run beside them.
#[test]
fn later_crashes_of_spaced_work_explain_nothing() {
    let mut table = SuspectTable::default();
    let last = crash_until_quarantine(&mut table, 1, "item");
    let wait = delay(&mut table, last, "item");
    assert!(wait > Duration::ZERO);
    for number in 0..QUARANTINE_CRASHES {
        assert!(!is_quarantined(&table, at(20), "poison"));
        crash_under(&mut table, at(20), 100 + number, &["item", "poison"]);
    }
    assert!(is_quarantined(&table, at(20), "poison"), "as if the item had not run beside it");
}

/// Guards against delays of items whose crashes other work explains: they run at once, as work that
/// is not owed does, and a success clears them.
#[test]
fn owed_work_beside_poison_work_is_not_spaced() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["item", "poison"]);
    }
    assert!(delay(&mut table, at(1), "item").is_zero());
    table.succeeded(work("item"));
    assert_eq!(table.crash_count(work("item")), 0);
    assert!(is_quarantined(&table, at(1), "poison"));
}
