//! Tests of when work is quarantined, cleared and published.

use std::collections::HashSet;
use std::time::Duration;

use ids::{
    InstanceId, Moment, ServiceName, SoftwareVersion, StartTime, TargetIncarnation, WorkDigest,
};
use suspects::{
    AntiAffinity, MAX_CRASHES, QUARANTINE_CRASHES, SuspectRecord, SuspectTable, SuspectWrite,
    TargetCrash, UNCONDITIONAL_QUARANTINE_CRASHES,
};

/// Longer than the settle window.
const SETTLE_WAIT: Duration = Duration::from_secs(1);

fn work(name: &str) -> WorkDigest {
    WorkDigest::of(&[name.as_bytes()])
}

fn service() -> ServiceName {
    "desk".parse().expect("a valid ID")
}

fn instance(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("a valid ID")
}

fn incarnation(number: usize) -> TargetIncarnation {
    TargetIncarnation { instance: instance(number), born: StartTime::default() }
}

fn software(version: &str) -> SoftwareVersion {
    version.parse().expect("a valid version")
}

fn crash_of(number: usize) -> TargetCrash {
    TargetCrash { life: incarnation(number), software: Some(software("v1")) }
}

fn at(seconds: u64) -> Moment {
    Moment::after_start(Duration::from_secs(seconds))
}

/// Crashes a target that runs all of `works`.
fn crash_under(table: &mut SuspectTable, now: Moment, number: usize, works: &[&str]) {
    for name in works {
        table.record_disconnect(now, work(name), &service(), crash_of(number));
    }
    table.connection_refused(now, &incarnation(number));
}

fn is_quarantined(table: &SuspectTable, now: Moment, name: &str) -> bool {
    !table.quarantined_versions(now + SETTLE_WAIT, work(name), &service()).is_empty()
}

#[test]
fn three_crashes_quarantine_after_settle_window() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        assert!(!is_quarantined(&table, at(9), "a"), "after {number} crashes");
        crash_under(&mut table, at(1), number, &["a"]);
    }
    assert!(
        table.quarantined_versions(at(1), work("a"), &service()).is_empty(),
        "other boxes may still explain the crashes"
    );
    assert!(is_quarantined(&table, at(1), "a"));
    assert!(!is_quarantined(&table, at(1), "b"));
    let other: ServiceName = "other".parse().expect("a valid ID");
    assert!(
        table.quarantined_versions(at(9), work("a"), &other).is_empty(),
        "no target of that service crashed"
    );
}

#[test]
fn each_incarnation_counts_once() {
    let mut table = SuspectTable::default();
    for _ in 0..5 {
        crash_under(&mut table, at(1), 1, &["a"]);
    }
    assert_eq!(table.crash_count(work("a")), 1);
    let later = TargetIncarnation { born: StartTime::new(7), ..incarnation(1) };
    table.record_disconnect(
        at(2),
        work("a"),
        &service(),
        TargetCrash { life: later.clone(), software: None },
    );
    table.connection_refused(at(2), &later);
    assert_eq!(table.crash_count(work("a")), 2);
}

#[test]
fn closed_connection_is_not_a_crash() {
    let mut table = SuspectTable::default();
    for number in 0..9 {
        assert!(
            table.record_disconnect(at(1), work("a"), &service(), crash_of(number)),
            "to be probed"
        );
        assert!(
            !table.record_disconnect(at(1), work("b"), &service(), crash_of(number)),
            "already probed"
        );
    }
    assert!(!is_quarantined(&table, at(1), "a"));
    table.expire(at(60), false);
    assert!(table.is_empty());
}

#[test]
fn unlisted_instance_counts_as_crashed() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        // The next incarnation already accepted connections when the target was probed.
        table.record_disconnect(at(1), work("a"), &service(), crash_of(number));
        table.instance_gone(at(3), &instance(number));
    }
    assert!(is_quarantined(&table, at(3), "a"));
}

#[test]
fn success_clears_work_at_every_box() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["a"]);
    }
    let published = publish_all(&mut table, at(1));
    assert_eq!(published.len(), 1);
    table.succeeded(work("a"));
    assert!(!is_quarantined(&table, at(2), "a"));
    let clear = SuspectWrite::Clear { work: work("a"), revision: 10 };
    assert_eq!(table.due_writes(), std::slice::from_ref(&clear));
    // A record that another box writes meanwhile is cleared as well.
    table.apply_record(at(2), work("a"), 12, published[0].1.clone());
    assert!(!is_quarantined(&table, at(2), "a"));
    table.apply_removal(work("a"));
    assert!(table.is_empty() && table.due_writes().is_empty());
}

/// Confirms all pending records, at revisions from 10 on. Returns them.
fn publish_all(table: &mut SuspectTable, now: Moment) -> Vec<(WorkDigest, SuspectRecord)> {
    let due = table.due_writes();
    let publishes = due.into_iter().filter_map(|write| match write {
        SuspectWrite::Publish { work, record, .. } => Some((work, record)),
        SuspectWrite::Clear { .. } => None,
    });
    let publishes: Vec<_> = publishes.collect();
    for (number, (work, record)) in publishes.iter().enumerate() {
        table.write_confirmed(now, *work, 10 + number as u64, record.clone());
    }
    publishes
}

#[test]
fn first_crash_is_published_only_if_caller_is_unanswered() {
    let mut table = SuspectTable::default();
    crash_under(&mut table, at(1), 1, &["a", "b"]);
    assert!(table.due_writes().is_empty(), "the next attempt may succeed");
    table.caller_unanswered(work("a"));
    assert_eq!(publish_all(&mut table, at(1)).len(), 1);
    assert!(table.due_writes().is_empty(), "it is published");
    crash_under(&mut table, at(2), 2, &["a", "b"]);
    assert_eq!(publish_all(&mut table, at(2)).len(), 2);
}

#[test]
fn starting_box_applies_stored_records_at_once() {
    let mut first = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut first, at(1), number, &["a"]);
    }
    let published = publish_all(&mut first, at(1));
    let mut second = SuspectTable::default();
    second.apply_record(at(0), published[0].0, 10, published[0].1.clone());
    second.apply_listing(&HashSet::from([work("a")]));
    assert!(!second.quarantined_versions(at(0), work("a"), &service()).is_empty());
    // A record that is missing from the next listing is dropped.
    second.apply_listing(&HashSet::new());
    assert!(second.is_empty());
}

#[test]
fn crashes_observed_by_several_boxes_add_up() {
    let mut tables = [SuspectTable::default(), SuspectTable::default(), SuspectTable::default()];
    let mut stored: Option<(u64, SuspectRecord)> = None;
    for (number, table) in tables.iter_mut().enumerate() {
        if let Some((revision, record)) = stored.clone() {
            table.apply_record(at(1), work("a"), revision, record);
        }
        crash_under(table, at(1), number, &["a"]);
        table.caller_unanswered(work("a"));
        let published = publish_all(table, at(1));
        stored = Some((number as u64 + 20, published[0].1.clone()));
    }
    assert!(!is_quarantined(&tables[0], at(2), "a"));
    assert!(is_quarantined(&tables[2], at(2), "a"));
    let (_, record) = stored.expect("published");
    assert_eq!(record.ends.len(), QUARANTINE_CRASHES);
}

#[test]
fn work_is_held_right_after_second_crash() {
    let is_held = |table: &SuspectTable, now| table.anti_affinity(now, work("a")).held;
    let mut table = SuspectTable::default();
    crash_under(&mut table, at(1), 0, &["a"]);
    assert!(!is_held(&table, at(1)), "a single crash");
    // The second target may have crashed as well.
    table.record_disconnect(at(1), work("a"), &service(), crash_of(1));
    assert!(is_held(&table, at(1)));
    table.probe_ended(&incarnation(1));
    assert!(!is_held(&table, at(1)), "the target is alive");
    table.instance_gone(at(3), &instance(1));
    assert!(is_held(&table, at(3)));
    assert!(!is_held(&table, at(3) + SETTLE_WAIT));
}

#[test]
fn next_crash_tells_poison_work_from_its_neighbor() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["poison", "innocent"]);
    }
    assert!(!is_quarantined(&table, at(1), "poison") && !is_quarantined(&table, at(1), "innocent"));
    // They must run at different targets.
    table.work_started(work("poison"), &instance(7));
    let beside = AntiAffinity { targets: vec![instance(7)], required: true, held: false };
    assert_eq!(table.anti_affinity(at(2), work("innocent")), beside);
    assert!(table.anti_affinity(at(2), work("poison")).targets.is_empty());
    let fresh = AntiAffinity { required: false, ..beside };
    assert_eq!(table.anti_affinity(at(2), work("unsuspected")), fresh, "preferred, not required");
    let mut once = SuspectTable::default();
    crash_under(&mut once, at(1), 1, &["a"]);
    once.work_started(work("a"), &instance(7));
    assert_eq!(
        once.anti_affinity(at(2), work("unsuspected")),
        AntiAffinity::default(),
        "a single crash"
    );
    crash_under(&mut table, at(1), 99, &["other crash"]);
    assert_eq!(table.anti_affinity(at(2), work("other crash")), AntiAffinity::default());
    table.work_ended(work("poison"), &instance(7));
    assert!(table.anti_affinity(at(2), work("innocent")).targets.is_empty());
    let mut cleared = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut cleared, at(1), number, &["poison", "innocent"]);
    }
    cleared.succeeded(work("innocent"));
    assert!(is_quarantined(&cleared, at(1), "poison"), "without another crash");
    crash_under(&mut table, at(2), 8, &["poison"]);
    assert!(is_quarantined(&table, at(2), "poison") && !is_quarantined(&table, at(2), "innocent"));
}

#[test]
fn crashes_shared_with_other_work_do_not_quarantine() {
    let mut table = SuspectTable::default();
    crash_under(&mut table, at(1), 1, &["poison", "innocent"]);
    crash_under(&mut table, at(1), 2, &["poison", "innocent"]);
    crash_under(&mut table, at(2), 3, &["poison"]);
    crash_under(&mut table, at(3), 4, &["innocent"]);
    assert!(!is_quarantined(&table, at(3), "innocent"));
    assert!(!is_quarantined(&table, at(3), "poison"), "both are equally likely");
    crash_under(&mut table, at(4), 5, &["poison"]);
    assert!(is_quarantined(&table, at(4), "poison"));
    assert!(!is_quarantined(&table, at(4), "innocent"));
}

#[test]
fn poison_works_that_always_crash_together_are_quarantined() {
    let mut table = SuspectTable::default();
    for number in 0..UNCONDITIONAL_QUARANTINE_CRASHES {
        assert!(!is_quarantined(&table, at(1), "a"));
        crash_under(&mut table, at(1), number, &["a", "b"]);
    }
    assert!(is_quarantined(&table, at(1), "a") && is_quarantined(&table, at(1), "b"));
}

#[test]
fn refusing_incarnation_that_stays_listed_is_cleared() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["a"]);
    }
    publish_all(&mut table, at(1));
    assert!(table.drain_expired_refusals(at(4)).is_empty(), "its entry may not have expired yet");
    let expired = table.drain_expired_refusals(at(8));
    assert_eq!(expired.len(), QUARANTINE_CRASHES);
    assert!(table.drain_expired_refusals(at(9)).is_empty(), "each is returned once");
    table.clear_incarnation(&expired[0]);
    assert!(!is_quarantined(&table, at(8), "a"));
    assert_eq!(publish_all(&mut table, at(8)).len(), 1, "the change is published");
    table.clear_incarnation(&expired[1]);
    table.clear_incarnation(&expired[2]);
    assert!(matches!(table.due_writes()[..], [SuspectWrite::Clear { .. }]));
}

#[test]
fn quarantine_is_per_software_version() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["a"]);
    }
    assert_eq!(table.quarantined_versions(at(3), work("a"), &service()), [Some(software("v1"))]);
    let next = TargetCrash { life: incarnation(9), software: Some(software("v2")) };
    table.record_disconnect(at(4), work("a"), &service(), next);
    table.connection_refused(at(4), &incarnation(9));
    let quarantined = table.quarantined_versions(at(4), work("a"), &service());
    assert_eq!(
        quarantined,
        [Some(software("v1")), Some(software("v2"))],
        "one crash is enough there"
    );
}

#[test]
fn quarantined_work_gets_three_trials_each_at_one_box() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["a"]);
    }
    publish_all(&mut table, at(1));
    let mut other = SuspectTable::default();
    let mut now = at(2);
    assert!(!table.request_trial(now, work("a")), "not due yet");
    let mut trials = 0;
    for hour in 1..20 {
        now = at(hour * 3_600);
        assert!(!table.request_trial(now, work("a")), "not confirmed by the store yet");
        let published = publish_all(&mut table, now);
        if table.request_trial(now, work("a")) {
            trials += 1;
            other.apply_record(now, work("a"), 10 + hour, published[0].1.clone());
            assert!(!other.request_trial(now, work("a")), "one box runs the trial");
            table.work_started(work("a"), &instance(1));
            assert!(!table.request_trial(now, work("a")), "each trial runs once");
        }
    }
    assert_eq!(trials, 3);
    // Everything expires eventually.
    table.expire(now + Duration::from_hours(24), false);
    assert!(!is_quarantined(&table, now, "a"));
    assert!(matches!(table.due_writes()[..], [SuspectWrite::Clear { .. }]));
}

#[test]
fn storage_boxes_clear_records_of_stopped_boxes() {
    let record =
        SuspectRecord { service: service(), ends: vec![crash_of(1), crash_of(2)], trials: 0 };
    let [mut storage_box, mut entry_box] = [SuspectTable::default(), SuspectTable::default()];
    for table in [&mut storage_box, &mut entry_box] {
        table.apply_record(at(1), work("a"), 5, record.clone());
    }
    let later = at(1) + Duration::from_mins(11);
    storage_box.expire(later, true);
    entry_box.expire(later, false);
    assert_eq!(storage_box.due_writes(), [SuspectWrite::Clear { work: work("a"), revision: 5 }]);
    assert!(entry_box.due_writes().is_empty());
    entry_box.expire(later + Duration::from_mins(2), false);
    assert!(entry_box.is_idle(), "dropped locally without a write");
}

#[test]
fn table_is_bounded_and_keeps_the_most_crashes() {
    let mut table = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        crash_under(&mut table, at(1), number, &["poison"]);
    }
    for number in 0..5_000 {
        crash_under(&mut table, at(2), 100 + number, &[&format!("innocent {number}")]);
    }
    assert_eq!(table.len(), 512);
    assert!(is_quarantined(&table, at(2), "poison"));
    for number in 0..50 {
        crash_under(&mut table, at(3), 9_000 + number, &["poison"]);
    }
    let published = publish_all(&mut table, at(3));
    assert!(published[0].1.ends.len() <= MAX_CRASHES);
    assert!(serde_json::to_vec(&published[0].1).expect("the record serializes").len() < 1_024);
    assert!(table.due_writes().is_empty(), "more crashes change nothing");
}

/// Guards against entries that grow without bound while a service's targets close all connections
/// but do not crash.
#[test]
fn unresolved_disconnects_are_bounded() {
    const MAX_DISCONNECTS: usize = 16;
    let mut table = SuspectTable::default();
    for number in 0..=MAX_DISCONNECTS {
        table.record_disconnect(at(1), work("a"), &service(), crash_of(number));
    }
    table.connection_refused(at(2), &incarnation(MAX_DISCONNECTS));
    assert_eq!(table.crash_count(work("a")), 0, "beyond the limit");
    table.connection_refused(at(2), &incarnation(0));
    assert_eq!(table.crash_count(work("a")), 1);
    // A resolved disconnect makes room for another one.
    table.record_disconnect(at(3), work("a"), &service(), crash_of(MAX_DISCONNECTS + 1));
    table.connection_refused(at(3), &incarnation(MAX_DISCONNECTS + 1));
    assert_eq!(table.crash_count(work("a")), 2);
}

/// Guards against quarantine of innocent work that ran beside two poison requests in turn and has
/// as many crashes as either. Each poison request also crashes targets without it.
#[test]
fn work_beside_two_poison_works_in_turn_is_not_quarantined() {
    let mut table = SuspectTable::default();
    let crashes: [&[&str]; 9] = [
        &["poison-1"],
        &["poison-1"],
        &["poison-2", "innocent-1", "innocent-2"],
        &["poison-1", "innocent-1"],
        &["poison-1", "innocent-1"],
        &["poison-2"],
        &["poison-2"],
        &["poison-2", "innocent-1"],
        &["poison-2", "innocent-1", "innocent-2"],
    ];
    for (number, works) in crashes.into_iter().enumerate() {
        crash_under(&mut table, at(1), number, works);
    }
    assert!(is_quarantined(&table, at(1), "poison-1") && is_quarantined(&table, at(1), "poison-2"));
    assert!(!is_quarantined(&table, at(1), "innocent-2"));
    assert!(!is_quarantined(&table, at(1), "innocent-1"), "all of its crashes are explained");
}
