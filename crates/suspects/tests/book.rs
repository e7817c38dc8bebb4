//! When work is condemned, and when it is free again.

use std::collections::HashSet;
use std::time::Duration;

use ids::{
    InstanceId, Moment, ServiceName, SoftwareVersion, StartTime, TargetIncarnation, WorkDigest,
};
use suspects::{
    AntiAffinity, MAX_CRASHES, QUARANTINE_CRASHES, SuspectRecord, SuspectTable, SuspectWrite,
    TargetCrash, UNCONDITIONAL_QUARANTINE_CRASHES,
};

/// Longer than other boxes' news take.
const SETTLED: Duration = Duration::from_secs(1);

fn work(name: &str) -> WorkDigest {
    WorkDigest::of(&[name.as_bytes()])
}

fn service() -> ServiceName {
    "desk".parse().expect("an id")
}

fn instance(number: usize) -> InstanceId {
    format!("i-{number}").parse().expect("an id")
}

fn life(number: usize) -> TargetIncarnation {
    TargetIncarnation { instance: instance(number), born: StartTime::default() }
}

fn software(version: &str) -> SoftwareVersion {
    version.parse().expect("a version")
}

fn end_of(number: usize) -> TargetCrash {
    TargetCrash { life: life(number), software: Some(software("v1")) }
}

fn at(seconds: u64) -> Moment {
    Moment::after_start(Duration::from_secs(seconds))
}

/// A target ends under all of these.
fn end_under(book: &mut SuspectTable, now: Moment, number: usize, works: &[&str]) {
    for name in works {
        book.record_break(now, work(name), &service(), end_of(number));
    }
    book.connection_refused(now, &life(number));
}

fn is_condemned(book: &SuspectTable, now: Moment, name: &str) -> bool {
    !book.quarantined_versions(now + SETTLED, work(name), &service()).is_empty()
}

#[test]
fn three_ends_condemn_once_news_have_settled() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        assert!(!is_condemned(&book, at(9), "a"), "after {number} ends");
        end_under(&mut book, at(1), number, &["a"]);
    }
    assert!(
        book.quarantined_versions(at(1), work("a"), &service()).is_empty(),
        "others may explain it yet"
    );
    assert!(is_condemned(&book, at(1), "a"));
    assert!(!is_condemned(&book, at(1), "b"));
    let other: ServiceName = "other".parse().expect("an id");
    assert!(
        book.quarantined_versions(at(9), work("a"), &other).is_empty(),
        "it has ended nobody there"
    );
}

#[test]
fn one_life_counts_once_and_a_later_life_of_the_same_id_again() {
    let mut book = SuspectTable::default();
    for _ in 0..5 {
        end_under(&mut book, at(1), 1, &["a"]);
    }
    assert_eq!(book.crash_count(work("a")), 1);
    let later = TargetIncarnation { born: StartTime::new(7), ..life(1) };
    book.record_break(
        at(2),
        work("a"),
        &service(),
        TargetCrash { life: later.clone(), software: None },
    );
    book.connection_refused(at(2), &later);
    assert_eq!(book.crash_count(work("a")), 2);
}

#[test]
fn a_closed_connection_is_no_end() {
    let mut book = SuspectTable::default();
    for number in 0..9 {
        assert!(book.record_break(at(1), work("a"), &service(), end_of(number)), "to be looked at");
        assert!(!book.record_break(at(1), work("b"), &service(), end_of(number)), "somebody looks");
    }
    assert!(!is_condemned(&book, at(1), "a"));
    book.expire(at(60), false);
    assert!(book.is_empty());
}

#[test]
fn a_life_that_is_taken_off_the_list_has_ended() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        // It was back so soon that it took connections when it was looked at.
        book.record_break(at(1), work("a"), &service(), end_of(number));
        book.instance_gone(at(3), &instance(number));
    }
    assert!(is_condemned(&book, at(3), "a"));
}

#[test]
fn an_answer_frees_the_work_everywhere() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["a"]);
    }
    let told = tell_all(&mut book, at(1));
    assert_eq!(told.len(), 1);
    book.succeeded(work("a"));
    assert!(!is_condemned(&book, at(2), "a"));
    let clear = SuspectWrite::Clear { work: work("a"), revision: 10 };
    assert_eq!(book.due_writes(), std::slice::from_ref(&clear));
    // Another box tells of it meanwhile: it is cleared away all the same.
    book.apply_record(at(2), work("a"), 12, told[0].1.clone());
    assert!(!is_condemned(&book, at(2), "a"));
    book.apply_removal(work("a"));
    assert!(book.is_empty() && book.due_writes().is_empty());
}

/// Has all that is due taken by the store, at revisions from 10 on.
fn tell_all(book: &mut SuspectTable, now: Moment) -> Vec<(WorkDigest, SuspectRecord)> {
    let due = book.due_writes();
    let tells = due.into_iter().filter_map(|write| match write {
        SuspectWrite::Publish { work, record, .. } => Some((work, record)),
        SuspectWrite::Clear { .. } => None,
    });
    let tells: Vec<_> = tells.collect();
    for (number, (work, record)) in tells.iter().enumerate() {
        book.write_confirmed(now, *work, 10 + number as u64, record.clone());
    }
    tells
}

#[test]
fn a_first_end_is_told_only_of_work_that_is_given_up() {
    let mut book = SuspectTable::default();
    end_under(&mut book, at(1), 1, &["a", "b"]);
    assert!(book.due_writes().is_empty(), "its next try may be answered");
    book.caller_unanswered(work("a"));
    assert_eq!(tell_all(&mut book, at(1)).len(), 1);
    assert!(book.due_writes().is_empty(), "it is told");
    end_under(&mut book, at(2), 2, &["a", "b"]);
    assert_eq!(tell_all(&mut book, at(2)).len(), 2);
}

#[test]
fn a_box_that_starts_knows_what_is_told() {
    let mut first = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut first, at(1), number, &["a"]);
    }
    let told = tell_all(&mut first, at(1));
    let mut second = SuspectTable::default();
    second.apply_record(at(0), told[0].0, 10, told[0].1.clone());
    second.apply_listing(&HashSet::from([work("a")]));
    assert!(!second.quarantined_versions(at(0), work("a"), &service()).is_empty());
    // What the store does not hold any more is free.
    second.apply_listing(&HashSet::new());
    assert!(second.is_empty());
}

#[test]
fn ends_seen_at_several_boxes_count_together() {
    let mut books = [SuspectTable::default(), SuspectTable::default(), SuspectTable::default()];
    let mut stored: Option<(u64, SuspectRecord)> = None;
    for (number, book) in books.iter_mut().enumerate() {
        if let Some((revision, record)) = stored.clone() {
            book.apply_record(at(1), work("a"), revision, record);
        }
        end_under(book, at(1), number, &["a"]);
        book.caller_unanswered(work("a"));
        let told = tell_all(book, at(1));
        stored = Some((number as u64 + 20, told[0].1.clone()));
    }
    assert!(!is_condemned(&books[0], at(2), "a"));
    assert!(is_condemned(&books[2], at(2), "a"));
    let (_, record) = stored.expect("told");
    assert_eq!(record.ends.len(), QUARANTINE_CRASHES);
}

#[test]
fn work_that_always_runs_beside_a_lethal_one_is_told_apart_by_the_next_end() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["lethal", "innocent"]);
    }
    assert!(!is_condemned(&book, at(1), "lethal") && !is_condemned(&book, at(1), "innocent"));
    // They run apart from each other.
    book.work_started(work("lethal"), &instance(7));
    let beside = AntiAffinity { targets: vec![instance(7)], required: true };
    assert_eq!(book.anti_affinity(work("innocent")), beside);
    assert!(book.anti_affinity(work("lethal")).targets.is_empty());
    let fresh = AntiAffinity { required: false, ..beside };
    assert_eq!(book.anti_affinity(work("of no suspicion")), fresh, "it may, but had better not");
    let mut once = SuspectTable::default();
    end_under(&mut once, at(1), 1, &["a"]);
    once.work_started(work("a"), &instance(7));
    assert_eq!(once.anti_affinity(work("of no suspicion")), AntiAffinity::default(), "one crash");
    end_under(&mut book, at(1), 99, &["of another crash"]);
    assert_eq!(book.anti_affinity(work("of another crash")), AntiAffinity::default());
    book.work_ended(work("lethal"), &instance(7));
    assert!(book.anti_affinity(work("innocent")).targets.is_empty());
    let mut answered = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut answered, at(1), number, &["lethal", "innocent"]);
    }
    answered.succeeded(work("innocent"));
    assert!(is_condemned(&answered, at(1), "lethal"), "without another end");
    end_under(&mut book, at(2), 8, &["lethal"]);
    assert!(is_condemned(&book, at(2), "lethal") && !is_condemned(&book, at(2), "innocent"));
}

#[test]
fn crashes_beside_two_ends_under_other_work_condemn_nobody() {
    let mut book = SuspectTable::default();
    end_under(&mut book, at(1), 1, &["lethal", "innocent"]);
    end_under(&mut book, at(1), 2, &["lethal", "innocent"]);
    end_under(&mut book, at(2), 3, &["lethal"]);
    end_under(&mut book, at(3), 4, &["innocent"]);
    assert!(!is_condemned(&book, at(3), "innocent"));
    assert!(!is_condemned(&book, at(3), "lethal"), "as likely as the other");
    end_under(&mut book, at(4), 5, &["lethal"]);
    assert!(is_condemned(&book, at(4), "lethal"));
    assert!(!is_condemned(&book, at(4), "innocent"));
}

#[test]
fn two_lethal_works_that_always_end_targets_together_are_condemned_in_the_end() {
    let mut book = SuspectTable::default();
    for number in 0..UNCONDITIONAL_QUARANTINE_CRASHES {
        assert!(!is_condemned(&book, at(1), "a"));
        end_under(&mut book, at(1), number, &["a", "b"]);
    }
    assert!(is_condemned(&book, at(1), "a") && is_condemned(&book, at(1), "b"));
}

#[test]
fn a_life_behind_a_cut_that_refuses_has_not_ended() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["a"]);
    }
    tell_all(&mut book, at(1));
    assert!(book.drain_expired_refusals(at(4)).is_empty(), "its entry may stand that long");
    let lapsed = book.drain_expired_refusals(at(8));
    assert_eq!(lapsed.len(), QUARANTINE_CRASHES);
    assert!(book.drain_expired_refusals(at(9)).is_empty(), "each is named once");
    book.clear_incarnation(&lapsed[0]);
    assert!(!is_condemned(&book, at(8), "a"));
    assert_eq!(tell_all(&mut book, at(8)).len(), 1, "the others hear of it");
    book.clear_incarnation(&lapsed[1]);
    book.clear_incarnation(&lapsed[2]);
    assert!(matches!(book.due_writes()[..], [SuspectWrite::Clear { .. }]));
}

#[test]
fn other_software_may_bear_the_work() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["a"]);
    }
    assert_eq!(book.quarantined_versions(at(3), work("a"), &service()), [Some(software("v1"))]);
    let next = TargetCrash { life: life(9), software: Some(software("v2")) };
    book.record_break(at(4), work("a"), &service(), next);
    book.connection_refused(at(4), &life(9));
    let condemned = book.quarantined_versions(at(4), work("a"), &service());
    assert_eq!(condemned, [Some(software("v1")), Some(software("v2"))], "one end is enough there");
}

#[test]
fn condemned_work_is_tried_three_times_by_one_box_each_time() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["a"]);
    }
    tell_all(&mut book, at(1));
    let mut other = SuspectTable::default();
    let mut now = at(2);
    assert!(!book.request_trial(now, work("a")), "not so soon");
    let mut trials = 0;
    for hour in 1..20 {
        now = at(hour * 3_600);
        assert!(!book.request_trial(now, work("a")), "the store must hear of it first");
        let told = tell_all(&mut book, now);
        if book.request_trial(now, work("a")) {
            trials += 1;
            other.apply_record(now, work("a"), 10 + hour, told[0].1.clone());
            assert!(!other.request_trial(now, work("a")), "one box makes it");
            book.work_started(work("a"), &instance(1));
            assert!(!book.request_trial(now, work("a")), "once");
        }
    }
    assert_eq!(trials, 3);
    // In the end all is forgotten.
    book.expire(now + Duration::from_hours(24), false);
    assert!(!is_condemned(&book, now, "a"));
    assert!(matches!(book.due_writes()[..], [SuspectWrite::Clear { .. }]));
}

#[test]
fn what_boxes_that_are_gone_have_told_is_cleared_away_by_those_that_keep_data() {
    let record = SuspectRecord { service: service(), ends: vec![end_of(1), end_of(2)], trials: 0 };
    let [mut keeps, mut serves] = [SuspectTable::default(), SuspectTable::default()];
    for book in [&mut keeps, &mut serves] {
        book.apply_record(at(1), work("a"), 5, record.clone());
    }
    let later = at(1) + Duration::from_mins(11);
    keeps.expire(later, true);
    serves.expire(later, false);
    assert_eq!(keeps.due_writes(), [SuspectWrite::Clear { work: work("a"), revision: 5 }]);
    assert!(serves.due_writes().is_empty());
    serves.expire(later + Duration::from_mins(2), false);
    assert!(serves.is_idle(), "cut off, it forgets as well");
}

#[test]
fn what_is_remembered_is_bounded_and_the_worst_is_kept() {
    let mut book = SuspectTable::default();
    for number in 0..QUARANTINE_CRASHES {
        end_under(&mut book, at(1), number, &["lethal"]);
    }
    for number in 0..5_000 {
        end_under(&mut book, at(2), 100 + number, &[&format!("innocent {number}")]);
    }
    assert_eq!(book.len(), 512);
    assert!(is_condemned(&book, at(2), "lethal"));
    for number in 0..50 {
        end_under(&mut book, at(3), 9_000 + number, &["lethal"]);
    }
    let told = tell_all(&mut book, at(3));
    assert!(told[0].1.ends.len() <= MAX_CRASHES);
    assert!(serde_json::to_vec(&told[0].1).expect("it is written").len() < 1_024);
    assert!(book.due_writes().is_empty(), "more ends say nothing new");
}

/// A service that breaks everything off, though its targets live: what is remembered of each piece of work stays small.
#[test]
fn breaks_that_wait_for_word_of_their_targets_are_bounded() {
    const MOST_BREAKS: usize = 16;
    let mut book = SuspectTable::default();
    for number in 0..=MOST_BREAKS {
        book.record_break(at(1), work("a"), &service(), end_of(number));
    }
    book.connection_refused(at(2), &life(MOST_BREAKS));
    assert_eq!(book.crash_count(work("a")), 0, "one more than are remembered");
    book.connection_refused(at(2), &life(0));
    assert_eq!(book.crash_count(work("a")), 1);
    // The place of a break whose target has ended is free for the next.
    book.record_break(at(3), work("a"), &service(), end_of(MOST_BREAKS + 1));
    book.connection_refused(at(3), &life(MOST_BREAKS + 1));
    assert_eq!(book.crash_count(work("a")), 2);
}

/// As seen in a run of real processes: two lethal requests at once on three targets, and work that by chance ran beside
/// each of them in turn. It has as many ends as either, and each of them is also an end of one of the two, which have
/// ended targets without it.
#[test]
fn work_that_ran_beside_two_lethal_ones_in_turn_is_condemned_for_neithers_ends() {
    let mut book = SuspectTable::default();
    let ends: [&[&str]; 9] = [
        &["lethal-1"],
        &["lethal-1"],
        &["lethal-2", "innocent-1", "innocent-2"],
        &["lethal-1", "innocent-1"],
        &["lethal-1", "innocent-1"],
        &["lethal-2"],
        &["lethal-2"],
        &["lethal-2", "innocent-1"],
        &["lethal-2", "innocent-1", "innocent-2"],
    ];
    for (number, works) in ends.into_iter().enumerate() {
        end_under(&mut book, at(1), number, works);
    }
    assert!(is_condemned(&book, at(1), "lethal-1") && is_condemned(&book, at(1), "lethal-2"));
    assert!(!is_condemned(&book, at(1), "innocent-2"));
    assert!(!is_condemned(&book, at(1), "innocent-1"), "all that it is held for is explained");
}
